//! The workers of a shard: their capacity, their runs and the leases of the runs.
//!
//! Serves the users' platform; the counterpart for lycheelock's own protocol is
//! `placement`.

mod capacity;
mod fences;
mod lease;
mod leases;
mod messages;
mod pool;
mod priority;
mod suspicion;
#[cfg(test)]
mod tests;
mod worker;

pub use capacity::Capacity;
pub use fences::Fences;
pub use lease::{
    Clock, HEARTBEAT_LEASE, MAX_LATENESS, MAX_WORKER_LEASE, MIN_CLOCK_RATE, RUN_LEASE, longest_span,
};
pub use leases::Leases;
pub use messages::{
    Availability, EndedRun, LiveRun, PollOrder, Registration, RunOutcome, StartAnswer, StartOrder,
    StartReply, StopOrder, WorkerReport,
};
pub use pool::PoolLoad;
pub use priority::PriorityUse;
pub use suspicion::Suspicion;
pub use worker::{FailureHistory, UnknownRun, Worker, WorkerKey};
