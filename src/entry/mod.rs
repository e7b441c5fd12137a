//! The entry daemon: the state that makes all decisions, and the tasks that
//! execute them.
//!
//! Serves lycheelock's own protocol; the counterpart for the users' platform is
//! [`daemon`](crate::daemon).

mod batch;
mod connections;
mod core;
mod node;
mod serve;
mod start;
mod tasks;
#[cfg(test)]
mod tests;

pub use core::{
    ArrivedRequest, Core, CoreSettings, Effect, EvacuationView, LogResult, NextStep, PendingChange,
    RequestAttempt, ShardOwner, SyncCall, TaskCounts,
};
pub use node::{Node, RunningNode};
