//! The orders of a shard's owner to a worker, and the worker's answers.

use std::net::SocketAddr;
use std::time::Duration;

use super::Capacity;
use crate::workflow::TaskName;

/// Whether a worker accepts new tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// The worker accepts new tasks.
    Ready,
    /// The worker is about to leave and accepts no new tasks.
    Draining,
}

/// The registry's entry of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Registration {
    /// The worker's id.
    pub id: String,
    /// The incarnation of the worker: the Unix time in milliseconds at which its
    /// process started.
    pub incarnation: u64,
    /// The pool that the worker belongs to.
    pub pool: String,
    /// The address to which orders are sent.
    pub address: SocketAddr,
    /// The worker's availability zone.
    pub zone: String,
    /// The worker's kind and its rack, in this order.
    pub labels: Vec<String>,
    /// The total resources of the worker.
    pub capacity: Capacity,
    /// Whether the worker accepts new tasks.
    pub availability: Availability,
    /// The shortest time for which a draining worker stays; absent if the registry
    /// does not say.
    pub remaining: Option<Duration>,
    /// How much longer the worker is slow after its start, when the entry was written.
    pub cold_left: Duration,
}

impl Registration {
    /// Returns the worker's rack; empty if the worker names none.
    pub fn rack(&self) -> &str {
        self.labels.get(1).map(String::as_str).unwrap_or_default()
    }

    /// Whether the worker has the label that a task needs; true if it needs none.
    pub fn has_label(&self, label: Option<&str>) -> bool {
        label.is_none_or(|needed| self.labels.iter().any(|label| label == needed))
    }
}

/// An order to start a run of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// The task to start.
    pub task: TaskName,
    /// The number of the run, higher than that of every earlier run of the task.
    pub run: u64,
    /// The text that the caller submitted for its tasks.
    pub payload: String,
    /// The end of the run's lease, in milliseconds of the worker's clock.
    pub lease_end: u64,
    /// The owner's fencing token.
    pub fence: u64,
    /// The checkpoint that the run resumes from; empty to start from the beginning.
    pub checkpoint: String,
    /// The incarnation of the worker by whose clock the lease is given. It is not sent: the
    /// worker's next incarnation cannot tell the order from one that was meant for it.
    pub incarnation: u64,
}

/// A worker's answer to a start order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartReply {
    /// The run has started, now or by an earlier copy of the order.
    Running,
    /// This run or a later one of the task was already stopped or ended on the worker.
    Superseded,
    /// The lease had expired on arrival; holds the worker's clock in milliseconds.
    LeaseExpired(u64),
    /// The worker has too little free capacity.
    NoCapacity,
}

impl StartReply {
    /// Returns the name of the reply in the log.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Superseded => "superseded",
            Self::LeaseExpired(_) => "lease_expired",
            Self::NoCapacity => "no_capacity",
        }
    }
}

/// A worker's answer to a copy of a start order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartAnswer {
    /// What the worker did.
    pub reply: StartReply,
    /// The worker's clock in milliseconds; absent if the answer had none.
    pub clock: Option<u64>,
}

/// An order to stop a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopOrder {
    /// The task to stop.
    pub task: TaskName,
    /// The number of the run to stop.
    pub run: u64,
    /// The owner's fencing token.
    pub fence: u64,
}

/// An order to renew all leases and to report the live runs and the ended ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollOrder {
    /// The new end of the leases, in milliseconds of the worker's clock; absent if they
    /// are not renewed.
    pub lease_end: Option<u64>,
    /// The owner's fencing token.
    pub fence: u64,
    /// The worker may forget ended runs up to this number.
    pub acknowledged: u64,
    /// How long the worker may wait for a run to end before it answers.
    pub wait: Duration,
}

/// A worker's report of its live runs and its ended ones.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WorkerReport {
    /// The worker's clock, in milliseconds.
    pub clock: u64,
    /// The incarnation of the worker; 0 if it does not say.
    pub incarnation: u64,
    /// The runs that are live.
    pub running: Vec<LiveRun>,
    /// The ended runs that were not acknowledged, the oldest first.
    pub ended: Vec<EndedRun>,
}

/// A live run in a worker's report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveRun {
    /// The task of the run.
    pub task: TaskName,
    /// The number of the run.
    pub run: u64,
    /// The last checkpoint of the run; empty if there is none.
    pub checkpoint: String,
    /// The progress of the run in percent; 100 for a long-running task that works.
    pub progress: u8,
    /// The tail latency in milliseconds for a task with a tail target, otherwise the
    /// processor use in millicores, over the last half second.
    pub measurement: u32,
}

/// An ended run in a worker's report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRun {
    /// The number of this end, counted from 1 for each incarnation of the worker.
    pub number: u64,
    /// The task of the run.
    pub task: TaskName,
    /// The number of the run.
    pub run: u64,
    /// The way in which the run ended.
    pub outcome: RunOutcome,
    /// The last checkpoint of the run; empty if there is none.
    pub checkpoint: String,
}

/// The way in which a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// The run completed.
    Done,
    /// The run or its worker failed.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The lease of the run expired.
    Lapsed,
    /// Another task of the same gang ended.
    MemberEnded,
    /// The other tasks of the same gang did not start.
    GangIncomplete,
}
