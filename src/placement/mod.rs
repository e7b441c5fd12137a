//! Which worker gets the next piece of work.
//!
//! Keeps one count for each worker that this host commands: interactive
//! requests by slot and connection, batch tasks by size. Workers that fail
//! everything are quarantined and probed; what batch work costs the services
//! beside it is learned from reports.

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
pub use state::{Placement, SettledRequest};
pub use worker::{Contact, Health, Worker, WorkerView};
