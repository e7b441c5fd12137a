//! The store of the fuzz test: what the owners of a shard write, and under which conditions.

use std::collections::BTreeMap;

use super::super::*;
use crate::schedule::Change;
use crate::shards::{Incarnations, Owner};

/// A job in the store.
#[derive(Debug)]
pub(super) struct StoredJob {
    pub spec: Arc<Workflow>,
    pub accepted: u64,
    /// The revision at which it was accepted.
    pub revision: u64,
    /// The revision of its record.
    pub record: u64,
    pub state: WorkflowState,
    /// Whether the shard's owner still has to work on it.
    pub open: bool,
    /// The revision of its cancellation.
    pub cancelled: Option<u64>,
}

/// A group of changes that takes effect only under these conditions.
#[derive(Debug, Clone)]
pub(super) struct Write {
    pub fence: u64,
    pub previous: u64,
    pub group: Vec<Change>,
}

/// The result of a write.
#[derive(Debug, Clone)]
pub(super) enum Commit {
    Done(u64),
    Conflict(Snapshot),
}

/// What a conflict shows of the store.
#[derive(Debug, Clone)]
pub(super) struct Snapshot {
    pub epoch: u64,
    pub written: u64,
    /// The revision and the state of each job's record.
    pub jobs: BTreeMap<WorkflowId, (u64, WorkflowState)>,
}

/// The state of the store.
#[derive(Debug, Default)]
pub(super) struct Store {
    pub revision: u64,
    pub epoch: u64,
    pub owner: Option<Owner>,
    /// The index of the owner with the owner lease, and when it expires.
    pub lease: Option<(usize, u64)>,
    pub written: u64,
    /// The revision of the last heartbeat or claim.
    pub heartbeat: u64,
    /// For how long the owners before had sent none by then.
    pub former_age: Duration,
    /// The revisions of all claims.
    pub claims: Vec<u64>,
    pub jobs: BTreeMap<WorkflowId, StoredJob>,
    pub progress: BTreeMap<WorkflowId, Progress>,
    pub roster: Vec<RosterEntry>,
    /// The revision at which the roster was stored.
    pub roster_revision: u64,
    /// The revision of the mark that no earlier owner gives orders.
    pub recovered: u64,
    pub incarnations: Incarnations,
}

impl Store {
    pub fn next(&mut self) -> u64 {
        self.revision += 1;
        self.revision
    }

    /// Writes a heartbeat of the owner with this fencing token. Returns whether it is the owner.
    pub fn beat(&mut self, fence: u64, former_age: Duration) -> bool {
        let accepted = self.epoch == fence;
        if accepted {
            self.heartbeat = self.next();
            self.former_age = former_age;
        }
        accepted
    }

    pub fn accept(&mut self, id: WorkflowId, spec: Arc<Workflow>, now: u64) {
        let revision = self.next();
        let job = StoredJob {
            spec,
            accepted: now,
            revision,
            record: revision,
            state: WorkflowState::Queued,
            open: true,
            cancelled: None,
        };
        self.jobs.insert(id, job);
    }

    /// Cancels a job. Returns whether it had not ended.
    pub fn cancel(&mut self, id: WorkflowId) -> bool {
        let revision = self.next();
        let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.state.is_final()) else {
            return false;
        };
        job.state = WorkflowState::Cancelled;
        job.record = revision;
        job.cancelled = Some(revision);
        true
    }

    pub fn commit(&mut self, write: &Write) -> Commit {
        let meets = |change: &Change| match change {
            Change::End(end) if end.state == WorkflowState::Cancelled => true,
            Change::End(record) | Change::Start(record) => {
                self.jobs[&record.id].record == record.revision
            }
            _ => true,
        };
        let current = self.epoch == write.fence && self.written == write.previous;
        if !current || !write.group.iter().all(meets) {
            let jobs = self.jobs.iter();
            return Commit::Conflict(Snapshot {
                epoch: self.epoch,
                written: self.written,
                jobs: jobs
                    .map(|(id, job)| (*id, (job.record, job.state)))
                    .collect(),
            });
        }
        let revision = self.next();
        self.written = revision;
        write
            .group
            .iter()
            .for_each(|change| self.apply(change, revision));
        Commit::Done(revision)
    }

    fn apply(&mut self, change: &Change, revision: u64) {
        match change {
            Change::End(end) => {
                self.progress.remove(&end.id);
                let job = self.jobs.get_mut(&end.id).expect("the job was accepted");
                job.open = false;
                if end.state != WorkflowState::Cancelled {
                    job.state = end.state;
                    job.record = revision;
                }
            }
            Change::Start(start) => {
                let job = self.jobs.get_mut(&start.id).expect("the job was accepted");
                job.state = start.state;
                job.record = revision;
            }
            Change::Progress(_, id, progress) => {
                self.progress.insert(*id, progress.clone());
            }
            Change::Roster(roster) => {
                self.roster.clone_from(roster);
                self.roster_revision = revision;
            }
            Change::Recovered => self.recovered = revision,
            Change::Move(_) => unreachable!("there is one shard"),
            Change::Pending(_) | Change::Pairs(_) => {}
        }
    }
}
