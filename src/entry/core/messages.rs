//! What the decision logic returns, and what its caller has to execute.

use std::time::Duration;

use crate::ids::{Epoch, HostId, JobId, RequestId, RequestKey, ShardId, WorkerKey};
use crate::jobs::PendingMove;
use crate::kind::ErrorKind;
use crate::moment::Moment;
use crate::ownership::{CallId, PeerMessage};
use crate::platform::StoreOp;
use crate::workers::{BootId, RequestState, SyncRequest};

/// Identifies a change whose log result a task waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PendingChange {
    /// Acceptance of a job.
    Job(JobId),
    /// Cancellation of a job.
    Cancel(JobId),
    /// Intent record of a request with an idempotency key (shard, hash of the key).
    Key(ShardId, u64),
}

/// Whether a change was written to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogResult {
    /// The log contains the change.
    Logged,
    /// The log may contain the change; the result of the write is unknown.
    Unknown,
    /// The log certainly does not contain the change.
    NotLogged,
}

/// An action that the caller of [`Core`](super::Core) must execute.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Call the store and pass the reply to [`Core::on_store`](super::Core::on_store).
    Store {
        /// Id of the call.
        call: CallId,
        /// Operation to execute.
        op: StoreOp,
    },
    /// Send a message to another entry host.
    Send {
        /// Recipient.
        to: HostId,
        /// Message to send.
        message: PeerMessage,
    },
    /// Wake a request that waits for a slot.
    Wake(RequestKey),
    /// Notify the tasks that wait for the log result of a change.
    Logged(PendingChange, LogResult),
    /// Notify the task that waits to know whether a request with a lost answer ran.
    Resolved(RequestId, RequestState),
    /// Send a `sync` call to this worker without delay.
    Sync(WorkerKey),
    /// Submit moved tasks to their new shard.
    Move {
        /// Shard that the tasks leave.
        from: ShardId,
        /// Submission to the new shard.
        pending: PendingMove,
    },
    /// Log that a zone is evacuated, or may be used again.
    ZoneChanged {
        /// Name of the zone.
        zone: String,
        /// Whether the zone is evacuated now.
        evacuated: bool,
    },
    /// Log and count that this host claimed a shard.
    Claimed {
        /// Claimed shard.
        shard: ShardId,
        /// Whether the former owner had not released the shard.
        takeover: bool,
    },
}

/// A `sync` call to a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct SyncCall {
    /// Address of the worker.
    pub address: String,
    /// Body of the call.
    pub request: SyncRequest,
}

/// An interactive request that was accepted for dispatch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ArrivedRequest {
    /// Key of the request in [`Dispatch`](crate::dispatch::Dispatch).
    pub key: RequestKey,
    /// First step of the request.
    pub next: NextStep,
}

/// The next step of a request; the slot that it needs is already taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request to a worker.
    Send {
        /// Worker that was chosen.
        worker: WorkerKey,
        /// Time after which the attempt is given up.
        timeout: Duration,
        /// Attempt, which occupies a slot of the worker.
        attempt: RequestAttempt,
    },
    /// Forward the request to this entry host.
    Forward(HostId),
    /// Wait until the request is woken, at most until this moment.
    Wait(Moment),
    /// Answer the request with a refusal of this kind.
    Refuse(ErrorKind),
}

/// An attempt to run a request on a worker, with its slot taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestAttempt {
    /// Id of the attempt, unique per entry host process.
    pub id: RequestId,
    /// Shard of the worker.
    pub shard: ShardId,
    /// Epoch under which this host owns the shard.
    pub epoch: Epoch,
    /// Process of the worker that the attempt is meant for; another one refuses it.
    pub boot: BootId,
    /// Address of the worker.
    pub address: String,
}

/// The host that serves a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShardOwner {
    /// This host.
    Local,
    /// Another entry host.
    Peer(HostId),
    /// No host that can be reached and may act for the shard.
    Unreachable,
}

/// Counts of batch tasks, summed over the ledgers of the owned shards.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TaskCounts {
    /// Number of task starts.
    pub started: u64,
    /// Number of tasks that finished.
    pub finished: u64,
    /// Number of tasks that were evicted.
    pub evicted: u64,
    /// Number of starts that were withdrawn because their zone is evacuated.
    pub withdrawn: u64,
}
