//! Collects the writes to the store, and tracks which reported ends they cover.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::pairs::{MAX_IMAGE_BYTES, MAX_STORED_PAIRS, check_records};
use super::{Batch, PairRecord, RosterEntry, Scheduler, StateRecord};
use crate::fleet::{Worker, WorkerKey};
use crate::interference::{Evidence, ImageKey};
use crate::moment::Moment;
use crate::workflow::{Progress, TaskName, WorkflowKey, WorkflowState};

/// The interval at which the evidence for interference is written, and at which that of
/// other shards' owners is read.
pub const PAIRS_INTERVAL: Duration = Duration::from_secs(3);

/// The interval at which the roster is written again while it names overlong leases: a successor
/// counts the time that is left of them from when it reads the roster.
const OVERLONG_INTERVAL: Duration = Duration::from_secs(1);

/// The changes that are not written yet.
#[derive(Debug, Default)]
pub(super) struct Writes {
    /// The jobs whose end is not written yet.
    ended: BTreeSet<WorkflowKey>,
    /// The jobs whose start is not written yet.
    started: BTreeSet<WorkflowKey>,
    /// The jobs whose progress is not written yet.
    progressed: BTreeSet<WorkflowKey>,
    roster: RosterState,
    /// The version of the roster; shows whether it changed during a write.
    roster_version: u64,
    /// When the roster was last collected for a write.
    roster_collected: Moment,
    /// Whether the store has the mark that no former owner gives orders any more.
    recovery_written: bool,
    /// The number of pending jobs in each queue, as last written.
    counts: BTreeMap<String, u64>,
    /// When the evidence for interference was last collected for a write.
    pairs_collected: Moment,
    /// The number of the last started full write.
    begun: u64,
    /// The number of the last completed full write.
    written: u64,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum RosterState {
    /// The former owner's roster has not been read yet.
    #[default]
    Unread,
    /// The store has the current roster.
    Written,
    /// The roster has changed since the last write.
    Changed,
}

impl Writes {
    /// The number of the next full write, which covers changes made now.
    pub const fn next(&self) -> u64 {
        self.begun + 1
    }

    /// The number of the last completed full write.
    pub const fn written(&self) -> u64 {
        self.written
    }

    pub fn mark_ended(&mut self, workflow: WorkflowKey) {
        self.ended.insert(workflow);
    }

    pub fn mark_progress_changed(&mut self, workflow: WorkflowKey) {
        self.progressed.insert(workflow);
    }

    pub fn mark_roster_changed(&mut self) {
        self.roster_version += 1;
        if self.roster == RosterState::Written {
            self.roster = RosterState::Changed;
        }
    }

    /// The version of the roster that the next write has.
    pub const fn roster_version(&self) -> u64 {
        self.roster_version
    }

    pub fn mark_roster_read(&mut self) {
        self.roster = RosterState::Changed;
    }

    pub fn has_roster(&self) -> bool {
        self.roster != RosterState::Unread
    }

    pub fn forget(&mut self, workflow: WorkflowKey) {
        self.ended.remove(&workflow);
        self.started.remove(&workflow);
        self.progressed.remove(&workflow);
    }
}

impl Scheduler {
    /// Whether a change should be written without delay: the end of a job, which
    /// its caller waits for, or a change of the roster.
    pub fn is_urgent(&self) -> bool {
        !self.writes.ended.is_empty()
            || self.writes.roster == RosterState::Changed
            || self.moves.has_pending()
    }

    /// Collects the changes to write now. Only a full batch covers the ends that were
    /// processed before. A batch with a roster always does, as the roster relies on them.
    pub fn collect(&mut self, full: bool, now: Moment) -> Batch {
        let full = full || self.writes.roster == RosterState::Changed;
        let ended: Vec<WorkflowKey> = self.writes.ended.iter().copied().collect();
        let mut batch = Batch {
            ended: ended
                .into_iter()
                .filter_map(|key| self.state_record(key))
                .collect(),
            moves: self.move_records(),
            ..Batch::default()
        };
        if self.writes.roster == RosterState::Changed || (full && self.has_old_overlong(now)) {
            self.writes.roster_collected = now;
            batch.roster = Some(self.roster(now));
            batch.roster_version = self.writes.roster_version;
        }
        if full {
            self.writes.begun += 1;
            self.collect_rest(&mut batch);
            if now - self.writes.pairs_collected >= PAIRS_INTERVAL {
                self.writes.pairs_collected = now;
                batch.pairs = self.pair_records();
            }
        }
        batch.number = self.writes.begun;
        batch.full = full;
        batch
    }

    /// Marks the content of a batch as stored.
    pub fn on_written(&mut self, batch: &Batch) {
        if let Some(roster) = &batch.roster {
            self.on_roster_written(roster, batch.roster_version);
        }
        self.writes.recovery_written |= batch.recovered;
        if let Some(counts) = &batch.pending {
            self.writes.counts.clone_from(counts);
        }
        if !batch.full {
            return;
        }
        self.writes.written = batch.number;
        for worker in self.workers.values_mut() {
            worker.acknowledge(batch.number);
        }
    }

    /// Marks the end of a job as stored, also if the store already had another
    /// end of it.
    pub fn on_end_written(&mut self, key: WorkflowKey, now: Moment) {
        self.writes.ended.remove(&key);
        self.writes.progressed.remove(&key);
        self.forget_ended(key, now);
    }

    /// Marks the start of a job as stored; its record now has this revision.
    pub fn on_start_written(&mut self, key: WorkflowKey, revision: u64) {
        self.writes.started.remove(&key);
        if let Some(workflow) = self.ledger.workflows.get_mut(key) {
            workflow.record_revision = revision;
        }
    }

    /// Marks the progress of a job as stored, unless it has changed since.
    pub fn on_progress_written(&mut self, key: WorkflowKey, progress: &Progress) {
        if self.ledger.workflows.contains_key(key) && self.ledger.progress(key) == *progress {
            self.writes.progressed.remove(&key);
        }
    }

    /// Forgets a job whose end is stored and that has no runs left.
    pub(super) fn forget_ended(&mut self, key: WorkflowKey, now: Moment) {
        let Some(workflow) = self.ledger.workflows.get(key) else {
            return;
        };
        let written = workflow.state.is_final() && !self.writes.ended.contains(&key);
        if written && self.ledger.is_idle(key) {
            self.recently_ended.insert(workflow.id, now);
            self.ledger.forget(key);
            self.writes.forget(key);
        }
    }

    /// Marks a job as running when one of its tasks has started.
    pub(super) fn mark_started(&mut self, key: WorkflowKey) {
        let workflow = &mut self.ledger.workflows[key];
        if workflow.state == WorkflowState::Queued {
            workflow.state = WorkflowState::Running;
            self.writes.started.insert(key);
        }
    }

    fn state_record(&self, key: WorkflowKey) -> Option<StateRecord> {
        let workflow = self.ledger.workflows.get(key)?;
        Some(StateRecord {
            workflow: key,
            id: workflow.id,
            state: workflow.state,
            revision: workflow.record_revision,
        })
    }

    /// Whether the stored roster names overlong leases and was written some time ago. They go
    /// along with writes that are due anyway.
    fn has_old_overlong(&self, now: Moment) -> bool {
        let is_old = now - self.writes.roster_collected >= OVERLONG_INTERVAL;
        let stored = self.writes.roster == RosterState::Written;
        let mut workers = self.workers.values();
        stored && is_old && workers.any(|worker| worker.overlong_leases_end() > now)
    }

    fn roster(&self, now: Moment) -> Vec<RosterEntry> {
        let keys = self.workers.keys();
        keys.map(|key| self.roster_entry(key, now)).collect()
    }

    pub(super) fn roster_entry(&self, key: WorkerKey, now: Moment) -> RosterEntry {
        let registration = &self.workers[key].registration;
        let worker = &self.workers[key];
        // No order to former incarnations reaches a replaced worker.
        let overlong = match worker.replaced {
            true => Moment::default(),
            false => worker.overlong_leases_end(),
        };
        RosterEntry {
            id: registration.id.clone(),
            address: registration.address.to_string(),
            zone: registration.zone.clone(),
            closed: self.closed_tasks(key),
            lease_left: None,
            overlong_left: (overlong > now).then(|| (overlong - now).as_millis() as u64 + 1),
            incarnation: Some(registration.incarnation).filter(|incarnation| *incarnation > 0),
        }
    }

    /// The tasks that a closed worker may still be running; `None` if the worker
    /// is open.
    fn closed_tasks(&self, key: WorkerKey) -> Option<Vec<TaskName>> {
        if let Some(closed) = self.closed_workers.get(&key) {
            return closed.tasks().cloned();
        }
        let worker = &self.workers[key];
        let silent = !worker.responsive || worker.is_doubtful();
        let closed = worker.caught_up && !worker.in_roster && silent;
        closed.then(|| worker.possible_tasks().into_iter().collect())
    }

    fn on_roster_written(&mut self, roster: &[RosterEntry], version: u64) {
        for entry in roster.iter().filter(|entry| entry.closed.is_none()) {
            let worker = self.by_id.get(&entry.id).map(|key| &mut self.workers[*key]);
            // A write that was in progress at a restart does not tell of it.
            if let Some(worker) = worker.filter(|worker| worker.roster_version <= version) {
                worker.in_roster = true;
            }
        }
        let is_recorded = |(key, worker): (WorkerKey, &Worker)| {
            let closed = worker.caught_up && (!worker.responsive || worker.is_doubtful());
            worker.in_roster || closed || self.closed_workers.contains_key(&key)
        };
        let all = self.workers.iter().all(is_recorded);
        self.writes.roster = if all && version == self.writes.roster_version {
            RosterState::Written
        } else {
            RosterState::Changed
        };
    }

    fn collect_rest(&mut self, batch: &mut Batch) {
        batch.recovered = self.has_recovered() && !self.writes.recovery_written;
        let started = std::mem::take(&mut self.writes.started);
        batch.started = started
            .iter()
            .filter_map(|key| self.state_record(*key))
            .collect();
        batch.started.retain(|started| {
            !started.state.is_final() && !self.moves.is_pending(started.workflow)
        });
        self.writes.started = batch
            .started
            .iter()
            .map(|started| started.workflow)
            .collect();
        let progressed: Vec<WorkflowKey> = self.writes.progressed.iter().copied().collect();
        for key in progressed {
            let Some(workflow) = self.ledger.workflows.get(key) else {
                self.writes.progressed.remove(&key);
                continue;
            };
            if !workflow.state.is_final() && !self.moves.is_pending(key) {
                batch
                    .progress
                    .push((key, workflow.id, self.ledger.progress(key)));
            }
        }
        let counts = self.pending_counts();
        if counts != self.writes.counts {
            batch.pending = Some(counts);
        }
    }

    /// Restores the evidence for interference that a former owner of `shard` stored. Returns
    /// false if it is refused.
    pub fn on_pairs(&mut self, shard: &str, records: &[PairRecord]) -> bool {
        if let Err(field) = check_records(records) {
            self.record(field.refused(shard));
            return false;
        }
        for record in records {
            let serving = self.images.key(&record.serving);
            let best_effort = self.images.key(&record.best_effort);
            let stored = Evidence {
                log_odds: record.log_odds,
                observed: record.observed,
            };
            self.pairs.restore(serving, best_effort, stored);
        }
        true
    }

    /// The evidence to store: of the pairs about which most is known, if there are too many,
    /// and of none with a very long name.
    fn pair_records(&self) -> Option<Vec<PairRecord>> {
        let mut all = self.pairs.all();
        let is_short = |image: ImageKey| self.images.name(image).len() <= MAX_IMAGE_BYTES;
        all.retain(|(serving, best_effort, _)| is_short(*serving) && is_short(*best_effort));
        if all.len() > MAX_STORED_PAIRS {
            let certainty = |evidence: &Evidence| evidence.log_odds.abs();
            all.sort_by(|a, b| certainty(&b.2).total_cmp(&certainty(&a.2)));
            all.truncate(MAX_STORED_PAIRS);
        }
        let records: Vec<PairRecord> = all
            .into_iter()
            .map(|(serving, best_effort, evidence)| PairRecord {
                serving: self.images.name(serving).to_owned(),
                best_effort: self.images.name(best_effort).to_owned(),
                log_odds: evidence.log_odds,
                observed: evidence.observed,
            })
            .collect();
        (!records.is_empty()).then_some(records)
    }

    fn pending_counts(&self) -> BTreeMap<String, u64> {
        let mut counts = BTreeMap::new();
        for workflow in self.ledger.workflows.values() {
            let waits = workflow.state == WorkflowState::Queued;
            *counts.entry(workflow.queue.name.clone()).or_default() += u64::from(waits);
        }
        counts
    }
}
