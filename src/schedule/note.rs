//! What the scheduler decided, for the log.

use serde::Serialize;

use crate::fleet::RunOutcome;
use crate::workflow::WorkflowState;

/// Why no worker takes a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitReason {
    /// No worker of the pool is open.
    NoWorker,
    /// No open worker has the label.
    NoLabel,
    /// No open worker is large enough, even when empty.
    TooLarge,
    /// All that fit are full, or serve what the task would disturb.
    NoRoom,
}

/// One decision, with what decided it. Spans of time are in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Note {
    /// A job was taken in from the store.
    Queued {
        /// The job.
        id: String,
        /// Its queue.
        queue: String,
        /// The revision at which it was accepted.
        revision: u64,
        /// How many tasks may start at once.
        tasks: usize,
    },
    /// A worker was chosen for a task.
    Placed {
        /// The task.
        task: String,
        /// The run.
        run: u64,
        /// The worker.
        worker: String,
        /// How long the task had waited.
        waited: u64,
        /// How old the last report of the worker was.
        report_age: u64,
        /// The worker's free processors, in millicores, before.
        free: u32,
    },
    /// A task has waited for some time; noted once a job.
    Waiting {
        /// The task.
        task: String,
        /// How long it has waited.
        waited: u64,
        /// Why no worker takes it.
        reason: WaitReason,
        /// The label that it needs; empty if it needs none.
        label: String,
    },
    /// A run of a former owner goes on.
    Adopted {
        /// The task.
        task: String,
        /// The run.
        run: u64,
        /// The worker.
        worker: String,
    },
    /// A run ended.
    RunEnded {
        /// The task.
        task: String,
        /// The run.
        run: u64,
        /// The worker.
        worker: String,
        /// How.
        ending: RunOutcome,
        /// How long it ran.
        ran: u64,
    },
    /// A run is gone without an end.
    RunLost {
        /// The task.
        task: String,
        /// The run.
        run: u64,
        /// The worker.
        worker: String,
        /// How that is known.
        reason: &'static str,
    },
    /// A run is to be stopped.
    Stopping {
        /// The task.
        task: String,
        /// The run.
        run: u64,
        /// The worker.
        worker: String,
        /// Why.
        reason: &'static str,
    },
    /// A job ended.
    JobEnded {
        /// The job.
        id: String,
        /// How.
        state: WorkflowState,
        /// How long after it was accepted.
        after: u64,
    },
    /// A worker was found, changed or lost.
    WorkerChanged {
        /// The worker.
        worker: String,
        /// What is new.
        change: &'static str,
        /// How many tasks it may be running.
        tasks: usize,
        /// Its kind and its rack.
        labels: String,
    },
    /// Filling tasks of a worker are slowed down or speeded up.
    Paced {
        /// The worker.
        worker: String,
        /// The worst tail against its target, in percent.
        strain: u32,
    },
    /// Tasks of a former owner that no worker runs may start again.
    Settled {
        /// How many.
        tasks: usize,
        /// How many may still run on workers that the former owner closed.
        kept: usize,
        /// Whether every worker answered, or the time of all leases passed.
        answered: bool,
        /// Some of the workers that did not answer.
        silent: Vec<String>,
    },
}
