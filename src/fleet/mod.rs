//! The workers of a shard: their capacity, their runs and the leases on these.
//!
//! Serves the users' platform; the counterpart for the own protocol is `placement`.

mod capacity;
mod lease;
mod messages;
#[cfg(test)]
mod tests;
mod worker;

pub use capacity::Capacity;
pub use lease::{Clock, LEASE, SLOWEST};
pub use messages::{
    EndedRun, Ending, LiveRun, Look, LookOrder, Registration, Standing, StartOrder, StartReply,
    StopOrder,
};
pub use worker::{Trust, Worker, WorkerKey};
