//! Chooses the worker for each interactive request and batch task.
//!
//! Serves lycheelock's own protocol; the counterpart for the users' platform is
//! [`fleet`](crate::fleet), and [`interference`](crate::interference) for the
//! submodule of the same name.
//!
//! Keeps the usage of each worker in the shards that this host owns: interactive
//! requests by slot and connection, batch tasks by size. A worker that fails
//! several times in a row is quarantined and then probed. The slowdown that batch
//! work causes to interactive requests is learned from request latencies and the
//! load in the workers' reports.

mod estimate;
mod interference;
mod policy;
mod state;
#[cfg(test)]
mod tests;
mod worker;

pub use estimate::{Estimates, Ratio};
pub use interference::Interference;
pub use policy::Policy;
pub use state::{Placement, ResolvedRequest};
pub use worker::{Contact, Health, Worker, WorkerView};
