//! The state of one task of a job.

use super::Outcome;
use crate::ids::{Attempt, JobKey, TaskId, WorkerKey};
use crate::moment::Moment;

/// The reason for which the owner stops an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// Its capacity or its worker is needed otherwise; the task is started again later.
    Evicted,
    /// The job of the task was cancelled.
    Cancelled,
}

/// The stage of a task between its submission and its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskStage {
    /// The task waits for a worker.
    Waiting,
    /// The task is delayed after a failure.
    Delayed {
        /// The time at which the task waits for a worker again.
        until: Moment,
    },
    /// The task is not idempotent, and the intent to start it is being logged.
    IntentPending {
        /// The worker on which the task is placed.
        worker: WorkerKey,
        /// The current attempt.
        attempt: Attempt,
    },
    /// The task is placed on a worker.
    Placed {
        /// The worker on which the task is placed.
        worker: WorkerKey,
        /// The current attempt.
        attempt: Attempt,
        /// The number of the call that first sent the start to the worker; none before it.
        sent_call: Option<u64>,
        /// Whether a report has contained the attempt.
        seen: bool,
        /// The reason why the attempt is being stopped; none if it is not.
        stop: Option<StopReason>,
    },
    /// The task ended, and its end is being logged.
    EndPending {
        /// The outcome that is being logged.
        outcome: Outcome,
    },
    /// The end of the task is logged.
    Ended {
        /// The logged outcome.
        outcome: Outcome,
    },
}

/// The state of one task.
#[derive(Debug, Clone)]
pub struct Task {
    /// The id of the job and the index of the task within it.
    pub id: TaskId,
    /// The key of its job in the ledger.
    pub job: JobKey,
    /// The current stage.
    pub stage: TaskStage,
    /// The run time covered by the last checkpoint, in milliseconds.
    pub checkpoint: u64,
    /// The part of the checkpoint that the log contains, in milliseconds.
    pub logged_checkpoint: u64,
    /// The number of failed attempts.
    pub failures: u32,
    /// The number of attempts that were lost with their worker since one ended otherwise.
    pub losses: u32,
    /// Whether the intent of the only permitted start is logged; used for tasks that are not
    /// idempotent.
    pub intent_logged: bool,
    /// The work since the last checkpoint in milliseconds, which an eviction would lose.
    pub unsaved_work: u64,
    /// The last attempt that was counted as a failure; none before the first.
    pub last_failed: Option<Attempt>,
    /// The worker on which it failed last, avoided by the next attempt; none before a failure.
    pub avoid: Option<WorkerKey>,
}

impl Task {
    pub(super) const fn new(id: TaskId, job: JobKey) -> Self {
        Self {
            id,
            job,
            stage: TaskStage::Waiting,
            checkpoint: 0,
            logged_checkpoint: 0,
            failures: 0,
            losses: 0,
            intent_logged: false,
            unsaved_work: 0,
            last_failed: None,
            avoid: None,
        }
    }

    /// Whether the task waits for a worker or is delayed.
    pub const fn is_waiting(&self) -> bool {
        matches!(self.stage, TaskStage::Waiting | TaskStage::Delayed { .. })
    }

    /// The worker on which the size of this task is reserved.
    pub const fn worker(&self) -> Option<WorkerKey> {
        match self.stage {
            TaskStage::IntentPending { worker, .. } | TaskStage::Placed { worker, .. } => {
                Some(worker)
            }
            TaskStage::Waiting
            | TaskStage::Delayed { .. }
            | TaskStage::EndPending { .. }
            | TaskStage::Ended { .. } => None,
        }
    }

    /// Whether the log lacks what a report showed: the end of the task or its checkpoint.
    pub const fn is_unlogged(&self) -> bool {
        let ending = matches!(self.stage, TaskStage::EndPending { .. });
        ending || self.checkpoint > self.logged_checkpoint
    }
}
