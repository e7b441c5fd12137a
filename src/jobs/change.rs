//! The changes that a shard's log holds.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Wall;
use crate::configuration::Size;
use crate::ids::{Attempt, JobId, ShardId, TaskId};
use crate::workers::HeaderLine;

/// One change of a shard's ledger.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// A job was accepted.
    Accepted(Box<JobRecord>),
    /// A task that is not idempotent is about to be started, once.
    Intent {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
    },
    /// A task was stopped after saving its work.
    Saved {
        /// The task.
        task: TaskId,
        /// The work done, in milliseconds.
        checkpoint: u64,
    },
    /// A task ended for good.
    Ended {
        /// The task.
        task: TaskId,
        /// How.
        outcome: Outcome,
    },
    /// Tasks ended for good; in snapshots, one for all with the same outcome.
    EndedAll {
        /// The job.
        job: JobId,
        /// How.
        outcome: Outcome,
        /// The tasks, by index.
        tasks: Vec<u32>,
    },
    /// A job whose tasks have all ended, with their outcomes; in snapshots.
    Closed {
        /// The job.
        record: Box<JobRecord>,
        /// Whether it was cancelled.
        cancelled: bool,
        /// How many tasks ended in which way.
        ended: BTreeMap<Outcome, u32>,
    },
    /// A job was cancelled.
    Cancelled {
        /// The job.
        job: JobId,
    },
    /// A job belongs to another shard, because no worker of this one holds it.
    Redirected {
        /// The job, as it was submitted here.
        job: JobId,
        /// The shard that takes it.
        to: ShardId,
        /// When.
        at: Wall,
    },
    /// Waiting tasks of a job go to another shard, because no worker of this
    /// one holds them any more.
    Moved {
        /// The job.
        job: JobId,
        /// The job that takes its tasks.
        to: JobId,
        /// The tasks, by index.
        tasks: Vec<u32>,
    },
    /// The other shard has accepted the moved tasks.
    MoveDone {
        /// The job that was moved.
        job: JobId,
        /// The job that took its tasks.
        to: JobId,
    },
    /// An old job left the ledger.
    Dropped {
        /// The job.
        job: JobId,
    },
    /// A request with an idempotency key is about to be sent.
    KeyIntent {
        /// The hash of team and key.
        key: u64,
        /// The hash of the request.
        digest: u64,
        /// When.
        at: Wall,
    },
    /// A request with an idempotency key ended.
    KeyEnded {
        /// The hash of team and key.
        key: u64,
        /// How.
        outcome: KeyOutcome,
    },
    /// An old key left the ledger.
    KeyDropped {
        /// The hash of team and key.
        key: u64,
    },
    /// A worker may be given tasks of this shard from now on.
    WorkerJoined {
        /// Its name.
        name: String,
        /// Its address.
        address: String,
    },
    /// A worker runs no task of this shard and will be given none.
    WorkerLeft {
        /// Its name.
        name: String,
    },
}

/// An accepted job. It keeps what its class said at the time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Its id.
    pub id: JobId,
    /// The hash of the submission, to tell a repeat from another job.
    pub digest: u64,
    /// The team.
    pub team: String,
    /// The class.
    pub class: String,
    /// How many tasks it has.
    pub tasks: u32,
    /// What the submitter gave each task.
    pub payload: String,
    /// The work that moved tasks have saved, in milliseconds; empty for none.
    #[serde(default)]
    pub saved: Vec<u64>,
    /// When it was accepted.
    pub submitted: Wall,
    /// Its deadline.
    pub deadline: Wall,
    /// How long a task is declared to run, in milliseconds.
    pub duration: u64,
    /// What a task is declared to take.
    pub size: Size,
    /// Whether a task can resume from a checkpoint.
    pub checkpoint: bool,
    /// Whether a task that may have run may run again.
    pub idempotent: bool,
    /// Whether it goes before other work.
    pub urgent: bool,
    /// Whether it may wait overnight.
    pub overnight: bool,
    /// How often a failing task is tried.
    pub attempts: u32,
}

/// How a task ended for good.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It finished.
    Finished,
    /// It failed as often as its class allows.
    Failed,
    /// It was cancelled.
    Cancelled,
    /// It may have run, and must not run again.
    Unknown,
    /// No worker could hold it before its deadline.
    NeverFit,
    /// It went to a job of another shard.
    Moved,
}

impl Outcome {
    /// Every outcome.
    pub const ALL: [Self; 6] = [
        Self::Finished,
        Self::Failed,
        Self::Cancelled,
        Self::Unknown,
        Self::NeverFit,
        Self::Moved,
    ];

    /// The name in accounts.
    ///
    /// ```
    /// assert_eq!(lycheelock::jobs::Outcome::NeverFit.name(), "never_fit");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            Self::Finished => "finished",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
            Self::Unknown => "unknown",
            Self::NeverFit => "never_fit",
            Self::Moved => "moved",
        }
    }
}

/// How a keyed request ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyOutcome {
    /// It ran, and this was the answer.
    Answered(KeptAnswer),
    /// It ran, and the answer was too large to keep.
    TooLarge,
    /// It did not run; the key may be used again.
    NotRun,
    /// It may have run.
    Unknown,
}

impl KeyOutcome {
    /// The bytes that its kept answer takes in the log.
    pub fn weight(&self) -> usize {
        match self {
            Self::Answered(answer) => answer.weight(),
            Self::TooLarge | Self::NotRun | Self::Unknown => 0,
        }
    }
}

/// The answer of a keyed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: Vec<HeaderLine>,
    /// The body.
    #[serde(with = "crate::bytes")]
    pub body: Vec<u8>,
}

impl KeptAnswer {
    /// Its bytes in the log: two hexadecimal digits for each byte of the body.
    fn weight(&self) -> usize {
        let headers = self
            .headers
            .iter()
            .map(|line| line.name.len() + line.value.len() + 24);
        headers.sum::<usize>() + self.body.len() * 2
    }
}
