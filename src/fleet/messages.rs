//! What an owner tells a worker, and what it learns from it.

use std::time::Duration;

use super::Capacity;
use crate::workflow::TaskName;

/// Whether a worker takes new tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It takes them.
    Ready,
    /// It is about to leave.
    Draining,
}

/// What the registry says of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Registration {
    /// Its id.
    pub id: String,
    /// When this life of it began, in Unix milliseconds; tells lives apart.
    pub born: u64,
    /// The pool that it belongs to.
    pub pool: String,
    /// Where it takes orders.
    pub address: String,
    /// Its availability zone.
    pub zone: String,
    /// Its kind and its rack.
    pub labels: Vec<String>,
    /// What it can hold.
    pub capacity: Capacity,
    /// Whether it takes new tasks.
    pub standing: Standing,
    /// How long it stays at least, while it drains.
    pub remaining: Option<Duration>,
}

impl Registration {
    /// The rack; empty if the worker names none.
    pub fn rack(&self) -> &str {
        self.labels.get(1).map(String::as_str).unwrap_or_default()
    }
}

/// An order to start a run of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// The task.
    pub task: TaskName,
    /// The number of the run; higher than those of all earlier runs.
    pub run: u64,
    /// What the caller gave for its tasks.
    pub payload: String,
    /// The end of the lease, in milliseconds of the worker's clock.
    pub until: u64,
    /// The owner's fencing token.
    pub fence: u64,
    /// What the run resumes from; empty for a run from the beginning.
    pub checkpoint: String,
}

/// What a worker answered to a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartReply {
    /// The run is there.
    Running,
    /// This or a later run of the task was stopped or ended there.
    Superseded,
    /// The lease was over on arrival; the worker's clock in milliseconds.
    Late(u64),
    /// The worker has no room.
    NoRoom,
}

/// An order to stop a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopOrder {
    /// The task.
    pub task: TaskName,
    /// The run.
    pub run: u64,
    /// The owner's fencing token.
    pub fence: u64,
}

/// An order to prolong all leases and to say what runs and what has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LookOrder {
    /// The end of the leases, in milliseconds of the worker's clock.
    pub until: Option<u64>,
    /// The owner's fencing token.
    pub fence: u64,
    /// Ends up to this number may be forgotten.
    pub acknowledged: u64,
    /// How long the worker waits for an end before it answers.
    pub wait: Duration,
}

/// What runs and what has ended on a worker.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Look {
    /// The worker's clock in milliseconds.
    pub clock: u64,
    /// Which life of the worker this is.
    pub born: u64,
    /// What runs.
    pub running: Vec<LiveRun>,
    /// Ends that were not acknowledged, the oldest first.
    pub ended: Vec<EndedRun>,
}

/// A run that a worker reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveRun {
    /// The task.
    pub task: TaskName,
    /// The run.
    pub run: u64,
    /// Its last checkpoint; empty if there is none.
    pub checkpoint: String,
    /// How far it is, in percent; a lasting task is at work at 100.
    pub progress: u8,
    /// For a task with a tail target its tail in milliseconds, else its
    /// processor use in millicores, over the last half second.
    pub figure: u32,
}

/// The end of a run that a worker reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRun {
    /// Counts the ends of this life of the worker, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// The run.
    pub run: u64,
    /// How it ended.
    pub ending: Ending,
    /// Its last checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// It completed.
    Done,
    /// It or its worker failed.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease ended.
    Lapsed,
    /// Another task of its gang ended.
    MemberEnded,
    /// The other tasks of its gang did not come.
    GangIncomplete,
}
