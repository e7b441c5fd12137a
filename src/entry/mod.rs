//! The entry daemon: the decisions of all slices in one state, and the tasks
//! that carry them out.

mod batch;
mod core;
mod node;
mod serve;
mod tasks;
#[cfg(test)]
mod tests;

pub use core::{
    Arrived, Attempted, Core, CoreSettings, Effect, Home, LogResult, Next, SyncCall, TaskCounts,
    Token,
};
pub use node::{Node, Started};
