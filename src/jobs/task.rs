//! One task of a job.

use super::Outcome;
use crate::ids::{Attempt, JobKey, TaskId, WorkerKey};
use crate::moment::Moment;

/// Why the owner stops an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// To make room; the task resumes later.
    Evicted,
    /// The job was cancelled.
    Cancelled,
}

/// Where a task stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskStage {
    /// It waits for a worker.
    Waiting,
    /// It waits after a failure.
    Delayed {
        /// Until when.
        until: Moment,
    },
    /// It must not run twice: its start is being logged.
    Intending {
        /// The worker.
        worker: WorkerKey,
        /// The attempt.
        attempt: Attempt,
    },
    /// It was given to a worker.
    Placed {
        /// The worker.
        worker: WorkerKey,
        /// The attempt.
        attempt: Attempt,
        /// The number of the call that told the worker, none before.
        told: Option<u64>,
        /// Whether a report has shown it.
        seen: bool,
        /// Why it is being stopped.
        stop: Option<StopReason>,
    },
    /// It ended, and the log does not say so yet.
    Ending {
        /// How it ended.
        outcome: Outcome,
    },
    /// The log says that it ended.
    Ended {
        /// How.
        outcome: Outcome,
    },
}

/// One task.
#[derive(Debug, Clone)]
pub struct Task {
    /// Its id.
    pub id: TaskId,
    /// Its job.
    pub job: JobKey,
    /// Where it stands.
    pub stage: TaskStage,
    /// The work that is saved, in milliseconds.
    pub checkpoint: u64,
    /// How often it failed.
    pub failures: u32,
    /// Whether its one permitted start is in the log.
    pub intended: bool,
    /// The work that an eviction would lose, in milliseconds.
    pub loss: u64,
    /// The attempt whose failure was counted last.
    pub failed: Option<Attempt>,
    /// The worker on which it failed last.
    pub avoid: Option<WorkerKey>,
}

impl Task {
    pub(super) const fn new(id: TaskId, job: JobKey) -> Self {
        Self {
            id,
            job,
            stage: TaskStage::Waiting,
            checkpoint: 0,
            failures: 0,
            intended: false,
            loss: 0,
            failed: None,
            avoid: None,
        }
    }

    /// Whether it waits to be started.
    pub const fn is_waiting(&self) -> bool {
        matches!(self.stage, TaskStage::Waiting | TaskStage::Delayed { .. })
    }

    /// The worker that counts this task's size.
    pub const fn worker(&self) -> Option<WorkerKey> {
        match self.stage {
            TaskStage::Intending { worker, .. } | TaskStage::Placed { worker, .. } => Some(worker),
            TaskStage::Waiting
            | TaskStage::Delayed { .. }
            | TaskStage::Ending { .. }
            | TaskStage::Ended { .. } => None,
        }
    }

    /// Whether its end is decided.
    pub const fn is_ending(&self) -> bool {
        matches!(
            self.stage,
            TaskStage::Ending { .. } | TaskStage::Ended { .. }
        )
    }
}
