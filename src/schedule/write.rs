//! What the store must be told, and which ends that covers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Scheduler;
use crate::fleet::{Availability, Capacity, Registration, Worker, WorkerKey};
use crate::moment::Moment;
use crate::workflow::{Progress, TaskName, WorkflowId, WorkflowKey, WorkflowState};

/// A worker that an owner may have used.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterEntry {
    /// Its id.
    pub id: String,
    /// Where it takes orders.
    pub address: String,
    /// Its availability zone.
    pub zone: String,
    /// If it gets no further tasks: those that it may still be running.
    pub closed: Option<Vec<TaskName>>,
}

impl RosterEntry {
    /// A worker of which only this is known.
    pub fn registration(&self) -> Registration {
        Registration {
            id: self.id.clone(),
            incarnation: 0,
            pool: String::new(),
            address: self.address.clone(),
            zone: self.zone.clone(),
            labels: Vec::new(),
            capacity: Capacity::default(),
            availability: Availability::Draining,
            remaining: None,
        }
    }
}

/// A job whose state is to be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedFlow {
    /// The job.
    pub flow: WorkflowKey,
    /// Its id.
    pub id: WorkflowId,
    /// Its state.
    pub state: WorkflowState,
    /// The revision of its record as this owner knows it.
    pub revision: u64,
}

/// What is to be written next.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Batch {
    /// The number of the write.
    pub number: u64,
    /// Jobs that ended.
    pub ended: Vec<EndedFlow>,
    /// Jobs that started to run.
    pub started: Vec<EndedFlow>,
    /// The progress of jobs that go on.
    pub progress: Vec<(WorkflowKey, WorkflowId, Progress)>,
    /// The workers that may be used, if they changed.
    pub roster: Option<Vec<RosterEntry>>,
    /// Which state of the roster that is.
    pub roster_state: u64,
    /// How many jobs of each queue have not started, if that changed.
    pub pending: Option<BTreeMap<String, u64>>,
    /// What is known of interference, now and then.
    pub pairs: Option<Vec<PairRecord>>,
}

/// The evidence that a filling image disturbs a serving one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PairRecord {
    /// The serving image.
    pub serving: String,
    /// The filling image.
    pub filling: String,
    /// The logarithm of the odds.
    pub odds: f64,
}

/// Between two writes of what is known of interference.
const PAIRS: Duration = Duration::from_secs(3);

/// What was not written yet.
#[derive(Debug, Default)]
pub(super) struct Writes {
    ended: BTreeSet<WorkflowKey>,
    started: BTreeSet<WorkflowKey>,
    touched: BTreeSet<WorkflowKey>,
    roster: Enrolment,
    /// Counts the changes of the roster, as one may come during a write.
    roster_state: u64,
    counts: BTreeMap<String, u64>,
    pairs: Moment,
    begun: u64,
    written: u64,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum Enrolment {
    /// The former owner's roster was not read yet.
    #[default]
    Unread,
    /// The store has the roster.
    Written,
    /// The roster grew.
    Changed,
}

impl Writes {
    /// The number of the write that covers what happens now.
    pub const fn next(&self) -> u64 {
        self.begun + 1
    }

    /// All up to this number are written.
    pub const fn written(&self) -> u64 {
        self.written
    }

    pub fn end(&mut self, flow: WorkflowKey) {
        self.ended.insert(flow);
    }

    pub fn touch(&mut self, flow: WorkflowKey) {
        self.touched.insert(flow);
    }

    pub fn enrol(&mut self) {
        self.roster_state += 1;
        if self.roster == Enrolment::Written {
            self.roster = Enrolment::Changed;
        }
    }

    pub fn roster_read(&mut self) {
        self.roster = Enrolment::Changed;
    }

    pub fn has_roster(&self) -> bool {
        self.roster != Enrolment::Unread
    }

    pub fn forget(&mut self, flow: WorkflowKey) {
        self.ended.remove(&flow);
        self.started.remove(&flow);
        self.touched.remove(&flow);
    }
}

impl Scheduler {
    /// Whether something waits that callers would like to know at once.
    pub fn is_urgent(&self) -> bool {
        !self.writes.ended.is_empty() || self.writes.roster == Enrolment::Changed
    }

    /// What is to be written now. Only a `whole` batch covers the ends that
    /// were taken in before.
    pub fn collect(&mut self, whole: bool, now: Moment) -> Batch {
        let ended: Vec<WorkflowKey> = self.writes.ended.iter().copied().collect();
        let mut batch = Batch {
            ended: ended
                .into_iter()
                .filter_map(|key| self.ended(key))
                .collect(),
            ..Batch::default()
        };
        if self.writes.roster == Enrolment::Changed {
            batch.roster = Some(self.roster());
            batch.roster_state = self.writes.roster_state;
        }
        if whole {
            self.writes.begun += 1;
            self.collect_rest(&mut batch);
            if now - self.writes.pairs >= PAIRS {
                self.writes.pairs = now;
                batch.pairs = self.pair_records();
            }
        }
        batch.number = self.writes.begun;
        batch
    }

    /// Takes in that all of a batch is in the store.
    pub fn on_written(&mut self, batch: &Batch, whole: bool) {
        if let Some(roster) = &batch.roster {
            self.enrol(roster, batch.roster_state);
        }
        if let Some(counts) = &batch.pending {
            self.writes.counts.clone_from(counts);
        }
        if !whole {
            return;
        }
        self.writes.written = batch.number;
        for worker in self.workers.values_mut() {
            worker.acknowledge(batch.number);
        }
    }

    /// Takes in that a job's end is in the store, or that another end was
    /// there before.
    pub fn on_end_written(&mut self, key: WorkflowKey, now: Moment) {
        self.writes.ended.remove(&key);
        self.writes.touched.remove(&key);
        self.forget_ended(key, now);
    }

    /// Takes in that a job's record now has this revision.
    pub fn on_start_written(&mut self, key: WorkflowKey, revision: u64) {
        self.writes.started.remove(&key);
        if let Some(flow) = self.ledger.workflows.get_mut(key) {
            flow.record_revision = revision;
        }
    }

    /// Takes in that a job's progress is in the store, as of that batch.
    pub fn on_progress_written(&mut self, key: WorkflowKey, progress: &Progress) {
        if self.ledger.workflows.contains_key(key) && self.ledger.progress(key) == *progress {
            self.writes.touched.remove(&key);
        }
    }

    /// Forgets a job whose end is written and of which nothing runs.
    pub(super) fn forget_ended(&mut self, key: WorkflowKey, now: Moment) {
        let Some(flow) = self.ledger.workflows.get(key) else {
            return;
        };
        let written = flow.state.is_final() && !self.writes.ended.contains(&key);
        if written && self.ledger.is_idle(key) {
            self.ended.insert(flow.id, now);
            self.ledger.forget(key);
            self.writes.forget(key);
        }
    }

    /// Notes that a task of a job has started.
    pub(super) fn note_started(&mut self, key: WorkflowKey) {
        let flow = &mut self.ledger.workflows[key];
        if flow.state == WorkflowState::Queued {
            flow.state = WorkflowState::Running;
            self.writes.started.insert(key);
        }
    }

    fn ended(&self, key: WorkflowKey) -> Option<EndedFlow> {
        let flow = self.ledger.workflows.get(key)?;
        Some(EndedFlow {
            flow: key,
            id: flow.id,
            state: flow.state,
            revision: flow.record_revision,
        })
    }

    fn roster(&self) -> Vec<RosterEntry> {
        let rows = self.workers.iter().map(|(key, worker)| RosterEntry {
            id: worker.entry.id.clone(),
            address: worker.entry.address.clone(),
            zone: worker.entry.zone.clone(),
            closed: self.closed_tasks(key),
        });
        rows.collect()
    }

    /// What a worker that gets no further tasks may be running; none if it is
    /// to be open.
    fn closed_tasks(&self, key: WorkerKey) -> Option<Vec<TaskName>> {
        if let Some(tasks) = self.closed.get(&key) {
            return Some(tasks.clone());
        }
        let worker = &self.workers[key];
        let silent = worker.synced && !worker.in_roster && !worker.responsive;
        silent.then(|| worker.tasks.keys().copied().collect())
    }

    fn enrol(&mut self, roster: &[RosterEntry], state: u64) {
        for entry in roster.iter().filter(|entry| entry.closed.is_none()) {
            if let Some(key) = self.by_id.get(&entry.id) {
                self.workers[*key].in_roster = true;
            }
        }
        let settled = |worker: &Worker| worker.in_roster || (worker.synced && !worker.responsive);
        let all = self.workers.values().all(settled);
        self.writes.roster = if all && state == self.writes.roster_state {
            Enrolment::Written
        } else {
            Enrolment::Changed
        };
    }

    fn collect_rest(&mut self, batch: &mut Batch) {
        let started = std::mem::take(&mut self.writes.started);
        batch.started = started.iter().filter_map(|key| self.ended(*key)).collect();
        batch.started.retain(|flow| !flow.state.is_final());
        self.writes.started = batch.started.iter().map(|flow| flow.flow).collect();
        let touched: Vec<WorkflowKey> = self.writes.touched.iter().copied().collect();
        for key in touched {
            let Some(flow) = self.ledger.workflows.get(key) else {
                self.writes.touched.remove(&key);
                continue;
            };
            if !flow.state.is_final() {
                batch
                    .progress
                    .push((key, flow.id, self.ledger.progress(key)));
            }
        }
        let counts = self.pending_counts();
        if counts != self.writes.counts {
            batch.pending = Some(counts);
        }
    }

    /// Takes up what a former owner knew of interference.
    pub fn on_pairs(&mut self, records: &[PairRecord]) {
        for record in records {
            let serving = self.images.key(&record.serving);
            let filling = self.images.key(&record.filling);
            self.pairs.restore(serving, filling, record.odds);
        }
    }

    fn pair_records(&self) -> Option<Vec<PairRecord>> {
        let all = self.pairs.all().into_iter();
        let records: Vec<PairRecord> = all
            .map(|(serving, filling, odds)| PairRecord {
                serving: self.images.name(serving).to_owned(),
                filling: self.images.name(filling).to_owned(),
                odds,
            })
            .collect();
        (!records.is_empty()).then_some(records)
    }

    fn pending_counts(&self) -> BTreeMap<String, u64> {
        let mut counts = BTreeMap::new();
        for flow in self.ledger.workflows.values() {
            let waits = flow.state == WorkflowState::Queued;
            *counts.entry(flow.queue.name.clone()).or_default() += u64::from(waits);
        }
        counts
    }
}
