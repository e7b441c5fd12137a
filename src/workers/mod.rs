//! The protocol between entry hosts and workers, and its client.
//!
//! Part of lycheelock's own protocol; `platform/fleet` has the client for workers
//! of the users' platform. Each interactive request is a call of its own.
//! Everything else goes through `sync`: a numbered call that carries the owner's
//! commands and returns a full report. A worker refuses a call with an older
//! epoch or number, so the answer to the newest call also tells the outcome of
//! every earlier one.

mod client;
mod messages;
#[cfg(test)]
mod tests;

pub use client::{
    AttemptOutcome, HeaderLine, WorkerAnswer, WorkerClient, WorkerRequest, http_client,
    is_forwarded,
};
pub use messages::{
    BootId, Report, RequestReport, RequestState, StartTask, StopTask, SyncRefusal, SyncReply,
    SyncRequest, TaskAttempt, TaskReport, TaskState, Ticket,
};

/// Header with the request id, in a request to a worker and in its answer.
pub const REQUEST_HEADER: &str = "lycheelock-request";
/// Header with the shard and the epoch of the sender.
pub const EPOCH_HEADER: &str = "lycheelock-epoch";
/// Header with the process of the worker that a request is meant for.
pub const BOOT_HEADER: &str = "lycheelock-boot";
/// Header with the time left until the deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "lycheelock-deadline-ms";
/// Header of an answer: the worker started nothing; its value is the reason.
pub const NOT_RUN_HEADER: &str = "lycheelock-not-run";
/// How long a worker accepts a ticket after issuing it.
pub const TICKET_LIFETIME: std::time::Duration = std::time::Duration::from_secs(3);
