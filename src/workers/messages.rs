//! The messages of the `sync` call.

use serde::{Deserialize, Serialize};

use crate::configuration::Size;
use crate::ids::{Attempt, Epoch, RequestId, ShardId, TaskId};

/// One run of a worker process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BootId(pub u64);

/// Permission to start tasks and to renew their leases. A worker issues one
/// with each report and takes it for [`TICKET_LIFE`](super::TICKET_LIFE) from
/// then on by its own clock, so that a call that is delayed on the way starts
/// and renews nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Ticket(pub u64);

/// The owner's commands to a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The shard.
    pub shard: ShardId,
    /// The owner's epoch.
    pub epoch: Epoch,
    /// Grows with each call of the epoch.
    pub number: u64,
    /// The ticket of the last report, for starts and renewals.
    pub ticket: Option<Ticket>,
    /// How long each task goes on without a further call, in milliseconds.
    pub lease_ms: u64,
    /// Tasks to start.
    pub starts: Vec<StartTask>,
    /// Tasks to stop.
    pub stops: Vec<StopTask>,
    /// Ended tasks to drop from the report.
    pub forget: Vec<RunningKey>,
    /// Interactive requests whose fate is asked for.
    pub settle: Vec<RequestId>,
    /// The speed limit of batch work, in percent.
    pub throttle: u32,
}

/// A task and its attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RunningKey {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
}

/// A task to start. Starting it again has no effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartTask {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
    /// The job class.
    pub class: String,
    /// What it takes.
    pub size: Size,
    /// How long it is declared to run, in milliseconds.
    pub duration_ms: u64,
    /// The checkpoint to resume from: work done, in milliseconds.
    pub checkpoint: u64,
    /// What the submitter gave the task.
    pub payload: String,
}

/// A task to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopTask {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
}

/// What a worker says of one attempt at a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// It runs.
    Running,
    /// It ended well.
    Finished,
    /// It ended with a failure of its own.
    Failed,
    /// It was stopped by the owner or because its lease ended.
    Stopped,
    /// It was never started, because the worker could not hold it or the ticket had ended.
    Refused,
}

impl TaskState {
    /// Whether the attempt runs no longer.
    pub const fn ended(self) -> bool {
        match self {
            Self::Running => false,
            Self::Finished | Self::Failed | Self::Stopped | Self::Refused => true,
        }
    }
}

/// One attempt in a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningTask {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
    /// Its state.
    pub state: TaskState,
    /// The work done up to the last checkpoint, in milliseconds.
    pub checkpoint: u64,
    /// What it really takes.
    pub used: Size,
    /// How long it has run, in milliseconds.
    pub ran_ms: u64,
}

/// The fate of an interactive request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fate {
    /// It runs.
    Running,
    /// It ran to its end.
    Ended,
    /// It never ran, and never will: the worker refuses it from now on.
    NotRun,
}

/// A request and its fate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settled {
    /// The request.
    pub request: RequestId,
    /// Its fate.
    pub fate: Fate,
}

/// Everything that a worker runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The worker process. Nothing of an earlier one runs any more.
    pub boot: BootId,
    /// The permission for the next starts.
    pub ticket: Ticket,
    /// All tasks that run, and those that ended and were not forgotten.
    pub tasks: Vec<RunningTask>,
    /// All interactive requests that run.
    pub requests: Vec<RequestId>,
    /// The fates that were asked for.
    pub settled: Vec<Settled>,
    /// The use of the processors at the last measurement, in percent.
    pub load: u32,
}

/// Why a worker refused a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SyncRefusal {
    /// The worker has seen a higher epoch.
    OldEpoch,
    /// The worker has seen a later call.
    OldNumber,
}

/// The answer to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SyncReply {
    /// The commands were taken.
    Report(Report),
    /// Nothing was done.
    Refused(SyncRefusal),
}
