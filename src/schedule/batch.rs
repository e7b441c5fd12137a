//! What an owner writes to the store at one time, and in which order.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::MoveRecord;
use crate::fleet::{Availability, Capacity, Registration};
use crate::workflow::{Progress, TaskName, WorkflowId, WorkflowKey, WorkflowState};

/// A worker that an owner may have used.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterEntry {
    /// The id of the worker.
    pub id: String,
    /// The address at which the worker takes orders.
    pub address: String,
    /// The availability zone of the worker.
    pub zone: String,
    /// The tasks that a closed worker may still be running; `None` if the worker
    /// is open to new tasks.
    pub closed: Option<Vec<TaskName>>,
    /// For how long the leases on a closed worker may go on, in milliseconds; `None` if its owner
    /// may have prolonged them after this entry was written. It holds for the next owner only,
    /// which may prolong them before it stores a roster.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease_left: Option<u64>,
    /// For how long leases on the worker may go on that orders by the clock of a former incarnation
    /// gave or may still give, in milliseconds; `None` if there are none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub overlong_left: Option<u64>,
    /// The incarnation of the worker that the orders are meant for; `None` if it is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<u64>,
}

impl RosterEntry {
    /// Builds a registration for a worker of which only the roster entry is
    /// known. It is marked as draining, so that it gets no tasks. `None` if the
    /// address is invalid: no owner could send orders to such a worker.
    pub fn registration(&self) -> Option<Registration> {
        Some(Registration {
            id: self.id.clone(),
            incarnation: 0,
            pool: String::new(),
            address: self.address.parse().ok()?,
            zone: self.zone.clone(),
            labels: Vec::new(),
            capacity: Capacity::default(),
            availability: Availability::Draining,
            remaining: None,
            cold_left: Duration::ZERO,
        })
    }
}

/// A job whose changed state is to be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StateRecord {
    /// The key of the job.
    pub workflow: WorkflowKey,
    /// The id of the job.
    pub id: WorkflowId,
    /// The state to write.
    pub state: WorkflowState,
    /// The store revision of the job's record, as last seen by this owner.
    pub revision: u64,
}

/// The content of the next write.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Batch {
    /// The number of the last started full write.
    pub number: u64,
    /// Whether the batch covers all ends that were processed before.
    pub full: bool,
    /// Jobs that have ended.
    pub ended: Vec<StateRecord>,
    /// Jobs whose first task has started.
    pub started: Vec<StateRecord>,
    /// The progress of jobs that have not ended.
    pub progress: Vec<(WorkflowKey, WorkflowId, Progress)>,
    /// Jobs that move to other shards.
    pub moves: Vec<MoveRecord>,
    /// The workers that this owner may use; `None` if unchanged.
    pub roster: Option<Vec<RosterEntry>>,
    /// The version of the roster in this batch.
    pub roster_version: u64,
    /// Whether no former owner gives orders any more and this is not written yet.
    pub recovered: bool,
    /// The number of jobs in each queue that have not started; `None` if
    /// unchanged.
    pub pending: Option<BTreeMap<String, u64>>,
    /// The evidence for interference; `None` if it is not due to be written.
    pub pairs: Option<Vec<PairRecord>>,
}

/// The evidence that a best-effort image interferes with a serving image.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PairRecord {
    /// The name of the serving image.
    pub serving: String,
    /// The name of the best-effort image.
    #[serde(rename = "filling")]
    pub best_effort: String,
    /// The log odds of interference.
    #[serde(rename = "odds")]
    pub log_odds: f64,
    /// The log odds that the owners of the shard have observed in sum; see
    /// [`Evidence::observed`](crate::interference::Evidence::observed).
    #[serde(default)]
    pub observed: f64,
}

/// One change to write.
#[derive(Debug, Clone)]
pub enum Change {
    /// A job has ended.
    End(StateRecord),
    /// The first task of a job has started.
    Start(StateRecord),
    /// A job has progressed.
    Progress(WorkflowKey, WorkflowId, Progress),
    /// A job moves to another shard.
    Move(Box<MoveRecord>),
    /// The workers that the owner may use have changed.
    Roster(Vec<RosterEntry>),
    /// No former owner gives orders any more.
    Recovered,
    /// The numbers of jobs that have not started have changed.
    Pending(BTreeMap<String, u64>),
    /// There is new evidence for interference.
    Pairs(Vec<PairRecord>),
}

impl Batch {
    /// Returns the changes in the order in which they are to be written.
    ///
    /// The roster comes after all ends: it no longer names tasks whose ends were processed, and
    /// an owner that finds neither the task nor its end in the store starts it again.
    pub fn changes(&self) -> Vec<Change> {
        let roster = self.roster.iter().cloned().map(Change::Roster);
        let ends = self.ended.iter().copied().map(Change::End);
        let starts = self.started.iter().copied().map(Change::Start);
        let progress = self.progress.iter().cloned();
        let progress = progress.map(|(key, id, progress)| Change::Progress(key, id, progress));
        let moves = self.moves.iter().cloned();
        let moves = moves.map(|moved| Change::Move(Box::new(moved)));
        let recovered = self.recovered.then_some(Change::Recovered);
        let pending = self.pending.iter().cloned().map(Change::Pending);
        let pairs = self.pairs.iter().cloned().map(Change::Pairs);
        ends.chain(starts)
            .chain(progress)
            .chain(moves)
            .chain(roster)
            .chain(recovered)
            .chain(pending)
            .chain(pairs)
            .collect()
    }
}
