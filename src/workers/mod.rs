//! The protocol towards workers and the client that speaks it.
//!
//! Interactive requests go one by one. Everything else goes by `sync`: a
//! numbered call that carries the owner's commands and returns the whole
//! report. A worker refuses a call with an older epoch or number, so the
//! answer to the newest call settles every earlier one.

mod client;
mod messages;

pub use client::{AttemptEnd, AttemptRequest, HeaderLine, WorkerAnswer, WorkerClient, passes};
pub use messages::{
    BootId, Fate, Report, RunningKey, RunningTask, Settled, StartTask, StopTask, SyncRefusal,
    SyncReply, SyncRequest, TaskState, Ticket,
};

/// The request id, in a request to a worker and in its answer.
pub const REQUEST_HEADER: &str = "lycheelock-request";
/// The shard and epoch of the sender.
pub const EPOCH_HEADER: &str = "lycheelock-epoch";
/// The milliseconds left until the deadline.
pub const DEADLINE_HEADER: &str = "lycheelock-deadline-ms";
/// Says in an answer that the worker started nothing, and why.
pub const NOT_RUN_HEADER: &str = "lycheelock-not-run";
/// How long a worker takes a ticket after it issued it.
pub const TICKET_LIFE: std::time::Duration = std::time::Duration::from_secs(3);
