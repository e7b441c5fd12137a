//! The workers of a shard: what they can hold, what they run, until when.

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
