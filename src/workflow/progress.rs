//! The stored form of a job's progress.

use serde::{Deserialize, Serialize};

use super::CrashRecord;

/// The progress of a job as it is stored.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The tasks that completed, failed at least once, have a checkpoint or had their
    /// worker crash; all others start from the beginning.
    pub tasks: Vec<TaskRecord>,
}

/// The progress of one task as it is stored.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// The index of the job's occurrence, from 0.
    pub occurrence: u32,
    /// The index of the step in the job, from 0.
    pub step: u32,
    /// The index of the task in its step, from 0.
    pub index: u32,
    /// Whether the task completed.
    pub done: bool,
    /// The numbers of the runs that failed.
    pub failed: Vec<u64>,
    /// The last checkpoint of the task; empty if there is none.
    pub checkpoint: String,
    /// The crashes of workers under the task; records of earlier versions have none.
    #[serde(default, skip_serializing_if = "CrashRecord::is_empty")]
    pub crashes: CrashRecord,
}

/// What a job takes along when it moves to another shard.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MovedJob {
    /// The progress of the job when it was moved.
    pub progress: Progress,
    /// The highest number of a run of its tasks; 0 if none has started.
    pub last_run: u64,
    /// How often the job was moved, this time included.
    pub moves: u32,
}
