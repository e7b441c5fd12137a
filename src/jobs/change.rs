//! The changes that are written to a shard's log.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::WallClock;
use crate::configuration::Size;
use crate::ids::{Attempt, JobId, ShardId, TaskId};
use crate::workers::HeaderLine;

/// One change of a shard's ledger, as it is stored in the log and in snapshots.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// A job was accepted.
    Accepted(Box<JobRecord>),
    /// A task that is not idempotent is about to be started for the only time.
    Intent {
        /// The task to be started.
        task: TaskId,
        /// The attempt that is about to start.
        attempt: Attempt,
    },
    /// A task was stopped after it had saved a checkpoint.
    Saved {
        /// The stopped task.
        task: TaskId,
        /// The run time covered by the checkpoint, in milliseconds.
        checkpoint: u64,
    },
    /// A task ended and will not be tried again.
    Ended {
        /// The ended task.
        task: TaskId,
        /// The way in which it ended.
        outcome: Outcome,
    },
    /// Several tasks of a job ended with the same outcome. Snapshots contain one of these changes
    /// for each outcome instead of one for each task.
    EndedAll {
        /// The job of the tasks.
        job: JobId,
        /// The outcome that the tasks have in common.
        outcome: Outcome,
        /// The indices of the tasks within the job.
        tasks: Vec<u32>,
    },
    /// All tasks of a job have ended. Occurs only in snapshots.
    Closed {
        /// The job as it was accepted.
        record: Box<JobRecord>,
        /// Whether the submitter cancelled it.
        cancelled: bool,
        /// The number of tasks by outcome.
        ended: BTreeMap<Outcome, u32>,
    },
    /// A job was cancelled.
    Cancelled {
        /// The cancelled job.
        job: JobId,
    },
    /// A job belongs to another shard, because no worker of this one is large enough for its tasks.
    Redirected {
        /// The id under which the job was submitted to this shard.
        job: JobId,
        /// The shard that accepts the job instead.
        to: ShardId,
        /// The time of the decision.
        at: WallClock,
    },
    /// Waiting tasks of a job move to another shard, because no worker of this
    /// one is large enough for them any more.
    Moved {
        /// The job that the tasks leave.
        job: JobId,
        /// The job in the other shard that receives the tasks.
        to: JobId,
        /// The indices of the tasks within the job that they leave.
        tasks: Vec<u32>,
    },
    /// The other shard has accepted the moved tasks.
    MoveDone {
        /// The job that the tasks left.
        job: JobId,
        /// The job in the other shard that received the tasks.
        to: JobId,
    },
    /// A job or redirect was removed from the ledger after its retention time.
    Dropped {
        /// The removed job.
        job: JobId,
    },
    /// A request with an idempotency key is about to be sent.
    KeyIntent {
        /// The hash of the team name and the idempotency key.
        key: u64,
        /// The hash of the request, to detect a key that is reused for another request.
        digest: u64,
        /// The time of the request.
        at: WallClock,
    },
    /// The outcome of a request with an idempotency key is known.
    KeyEnded {
        /// The hash of the team name and the idempotency key.
        key: u64,
        /// The outcome of the request.
        outcome: KeyOutcome,
    },
    /// A key was removed from the ledger after its retention time.
    KeyDropped {
        /// The hash of the team name and the idempotency key.
        key: u64,
    },
    /// A worker may be given tasks of this shard from now on.
    WorkerJoined {
        /// The name of the worker.
        name: String,
        /// The address at which entry hosts call the worker.
        address: String,
    },
    /// A worker runs no task of this shard and will be given none.
    WorkerLeft {
        /// The name of the worker.
        name: String,
    },
}

/// An accepted job with the settings that its class had at the time of submission.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job id, which includes its shard.
    pub id: JobId,
    /// The hash of the submission, which tells a repeated submission from a different job with
    /// the same id.
    pub digest: u64,
    /// The name of the team that submitted it.
    pub team: String,
    /// The name of its job class.
    pub class: String,
    /// The number of tasks in the job.
    pub tasks: u32,
    /// The input that the submitter passes to each task.
    pub payload: String,
    /// For a job that received moved tasks, the checkpoint of each task in milliseconds; empty
    /// for a job that was submitted directly.
    #[serde(default)]
    #[serde(rename = "saved")]
    pub checkpoints: Vec<u64>,
    /// The time of the submission.
    pub submitted: WallClock,
    /// The time by which all its tasks should have finished.
    pub deadline: WallClock,
    /// The declared run time of a task, in milliseconds.
    pub duration: u64,
    /// The declared resources of a task.
    pub size: Size,
    /// Whether a task can resume from a checkpoint.
    #[serde(rename = "checkpoint")]
    pub checkpointable: bool,
    /// Whether a task may be started again after an attempt that may have run.
    pub idempotent: bool,
    /// Whether its tasks start before those of other jobs and may evict them.
    pub urgent: bool,
    /// Whether its tasks may wait overnight.
    pub overnight: bool,
    /// The number of failed attempts after which a task ends as failed.
    pub attempts: u32,
}

/// The final outcome of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The task finished.
    Finished,
    /// The task failed as often as its class allows.
    Failed,
    /// The task was cancelled with its job.
    Cancelled,
    /// The task may have run, and is not idempotent, so it is not started again.
    Unknown,
    /// No worker was large enough for the task up to its deadline.
    NeverFit,
    /// The task moved to a job in another shard.
    Moved,
}

impl Outcome {
    /// All outcomes in the order of declaration.
    pub const ALL: [Self; 6] = [
        Self::Finished,
        Self::Failed,
        Self::Cancelled,
        Self::Unknown,
        Self::NeverFit,
        Self::Moved,
    ];

    /// The name of the outcome in accounts.
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

/// The outcome of a request with an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyOutcome {
    /// The request ran and had this answer.
    Answered(StoredAnswer),
    /// The request ran, and its answer was too large to store.
    TooLarge,
    /// The request did not run; the key may be used again.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl KeyOutcome {
    /// The approximate number of bytes that the stored answer takes in the log.
    pub fn estimated_bytes(&self) -> usize {
        match self {
            Self::Answered(answer) => answer.estimated_bytes(),
            Self::TooLarge | Self::NotRun | Self::Unknown => 0,
        }
    }
}

/// The stored answer to a request with an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The HTTP status code.
    pub status: u16,
    /// The response headers.
    pub headers: Vec<HeaderLine>,
    /// The response body.
    #[serde(with = "crate::bytes")]
    pub body: Vec<u8>,
}

impl StoredAnswer {
    /// The approximate number of bytes in the log, where each byte of the body takes two
    /// hexadecimal digits.
    fn estimated_bytes(&self) -> usize {
        let headers = self
            .headers
            .iter()
            .map(|line| line.name.len() + line.value.len() + 24);
        headers.sum::<usize>() + self.body.len() * 2
    }
}
