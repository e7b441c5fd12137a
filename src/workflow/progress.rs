//! What is kept of a job's progress.

use serde::{Deserialize, Serialize};

/// The progress of a job, as it is kept in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The tasks that ended at least once, the others have not.
    pub tasks: Vec<TaskRecord>,
}

/// What is kept of one task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Which repetition of the job.
    pub occurrence: u32,
    /// The step.
    pub step: u32,
    /// The task of the step.
    pub index: u32,
    /// Whether it ended well.
    pub done: bool,
    /// The runs that failed.
    pub failed: Vec<u64>,
    /// The last checkpoint; empty if there is none.
    pub checkpoint: String,
}
