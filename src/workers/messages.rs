//! The messages of the `sync` call between a shard's owner and a worker.

use serde::{Deserialize, Serialize};

use crate::configuration::Size;
use crate::ids::{Attempt, Epoch, RequestId, ShardId, TaskId};

/// Identifies one run of a worker process; a restarted worker has a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BootId(pub u64);

/// Permission to start tasks and to renew their leases. A worker issues a
/// ticket with each report and accepts it for
/// [`TICKET_LIFETIME`](super::TICKET_LIFETIME), measured by its own clock, so that a
/// call delayed in transit starts and renews nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Ticket(pub u64);

/// The commands of a shard's owner to a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The shard that the worker belongs to.
    pub shard: ShardId,
    /// The epoch of the owner.
    pub epoch: Epoch,
    /// The number of this call; increases with each call of the epoch.
    pub number: u64,
    /// The ticket of the last report, required for starts and lease renewals; `None`
    /// while the owner has none.
    pub ticket: Option<Ticket>,
    /// The process that issued the ticket. The next one may issue a ticket with the same
    /// number, so it accepts none that names another process; `None` without a ticket.
    pub boot: Option<BootId>,
    /// The lease of each task: how long it keeps running without a further call, in
    /// milliseconds.
    pub lease_ms: u64,
    /// The tasks to start.
    pub starts: Vec<StartTask>,
    /// The tasks to stop.
    pub stops: Vec<StopTask>,
    /// The ended attempts to remove from the report.
    pub forget: Vec<TaskAttempt>,
    /// The interactive requests whose outcome the owner does not know.
    #[serde(rename = "settle")]
    pub resolve: Vec<RequestId>,
    /// The speed limit for batch tasks, in percent of full speed.
    #[serde(rename = "throttle")]
    pub batch_speed: u32,
}

/// Identifies one attempt at a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TaskAttempt {
    /// The id of the task.
    pub task: TaskId,
    /// The epoch and number of the attempt.
    pub attempt: Attempt,
}

/// The command to start an attempt at a task. Repeating it has no effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartTask {
    /// The id of the task.
    pub task: TaskId,
    /// The epoch and number of the attempt.
    pub attempt: Attempt,
    /// The name of the job class.
    pub class: String,
    /// The resources that the task requests.
    pub size: Size,
    /// The declared run time, in milliseconds.
    pub duration_ms: u64,
    /// The checkpoint to resume from: the work already done, in milliseconds.
    pub checkpoint: u64,
    /// The payload that the submitter gave the task.
    pub payload: String,
}

/// The command to stop an attempt at a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopTask {
    /// The id of the task.
    pub task: TaskId,
    /// The epoch and number of the attempt.
    pub attempt: Attempt,
}

/// The state of one attempt at a task, as its worker reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// The attempt is running.
    Running,
    /// The attempt finished successfully.
    Finished,
    /// The task itself failed.
    Failed,
    /// The attempt was stopped by the owner, or because its lease expired.
    Stopped,
    /// The attempt was never started, because the worker had no capacity for it or the
    /// ticket had expired.
    Refused,
}

impl TaskState {
    /// Returns whether the attempt is no longer running.
    pub const fn is_ended(self) -> bool {
        match self {
            Self::Running => false,
            Self::Finished | Self::Failed | Self::Stopped | Self::Refused => true,
        }
    }
}

/// The report on one attempt at a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The id of the task.
    pub task: TaskId,
    /// The epoch and number of the attempt.
    pub attempt: Attempt,
    /// The state of the attempt.
    pub state: TaskState,
    /// The work done up to the last checkpoint, in milliseconds.
    pub checkpoint: u64,
    /// The resources that the attempt actually uses.
    pub used: Size,
    /// The time that the attempt has run, in milliseconds.
    pub ran_ms: u64,
}

/// The state of an interactive request, as its worker reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestState {
    /// The request is running.
    Running,
    /// The request ran to its end.
    Ended,
    /// The request never ran and never will: the worker refuses it from now on.
    NotRun,
}

/// The report on one interactive request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestReport {
    /// The id of the request.
    pub request: RequestId,
    /// The state of the request.
    #[serde(rename = "fate")]
    pub state: RequestState,
}

/// Everything that a worker is running.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The current run of the worker process. Nothing started by an earlier run is
    /// still running.
    pub boot: BootId,
    /// The permission for the next starts and lease renewals.
    pub ticket: Ticket,
    /// All running attempts, and the ended ones that the owner has not yet told the
    /// worker to forget.
    pub tasks: Vec<TaskReport>,
    /// All running interactive requests.
    pub requests: Vec<RequestId>,
    /// The states of the requests that the owner asked about.
    #[serde(rename = "settled")]
    pub resolved: Vec<RequestReport>,
    /// The processor utilization at the last measurement, in percent.
    pub load: u32,
}

/// The reason why a worker refused a `sync` call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SyncRefusal {
    /// The worker has seen a higher epoch.
    OldEpoch,
    /// The worker has seen a later call.
    OldNumber,
}

/// The answer to a `sync` call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SyncReply {
    /// The commands were accepted; the report shows the state afterwards.
    Report(Report),
    /// The call was refused and none of its commands was carried out.
    Refused(SyncRefusal),
}
