//! Recovery after a takeover: when tasks that a former owner may have started start again.

use std::collections::HashSet;

use super::closed::{ClosedWorker, MIN_RECOVERY, PossibleRuns};
use super::{Event, RosterEntry, Scheduler};
use crate::fleet::{MAX_LATENESS, Worker, WorkerKey};
use crate::moment::Moment;
use crate::workflow::{Stage, Task, TaskKey, TaskName};

/// The largest number of unanswering workers that one log line names.
const MAX_NAMED_WORKERS: usize = 5;

impl Scheduler {
    /// Lets tasks that a former owner may have started start again, once no run
    /// of them can exist any more.
    pub(super) fn finish_recovery(&mut self, now: Moment) {
        if !self.tasks_recovering {
            return;
        }
        let answered = self.former_workers.is_empty() && self.has_roster();
        let deadline = self.term.recovery_deadline;
        let expired = self.has_roster() && deadline.is_some_and(|at| self.confirmed >= at);
        if self.recovering && !answered && !expired {
            return;
        }
        let silent = self.former_workers.iter().take(MAX_NAMED_WORKERS);
        let silent = silent.map(|key| self.worker_name(*key)).collect();
        if expired {
            let confirmed = self.confirmed;
            self.closed_workers
                .retain(|_, closed| closed.leases_end.is_some_and(|end| end > confirmed));
            self.remove_former();
        }
        self.recovering = false;
        self.tasks_recovering = !self.closed_workers.is_empty();
        let kept = self.kept_tasks();
        let all_kept = self.may_run_any();
        let may_restart = |task: &Task| {
            task.stage == Stage::Recovering && !all_kept && !kept.contains(&task.name)
        };
        let recovering = self
            .ledger
            .tasks
            .iter()
            .filter(|(_, task)| may_restart(task));
        let keys: Vec<TaskKey> = recovering.map(|(key, _)| key).collect();
        if keys.is_empty() && self.tasks_recovering {
            return;
        }
        self.record(Event::RecoveryFinished {
            tasks: keys.len(),
            kept: kept.len(),
            answered,
            silent,
        });
        let mut workflows = HashSet::new();
        for key in keys {
            workflows.insert(self.ledger.tasks[key].workflow);
            self.ledger.tasks[key].restart_gate = now;
            self.ledger.requeue(key, now);
        }
        for workflow in workflows {
            self.enqueue(workflow, now);
        }
    }

    /// The tasks that closed workers may still be running. Those on workers whose leases have
    /// ended are forgotten.
    fn kept_tasks(&mut self) -> HashSet<TaskName> {
        let confirmed = self.confirmed;
        for closed in self.closed_workers.values_mut() {
            if closed.has_ended(confirmed) {
                closed.runs = PossibleRuns::Listed(Vec::new());
            }
        }
        let closed = self.closed_workers.values();
        closed
            .flat_map(|closed| closed.tasks().into_iter().flatten().copied())
            .collect()
    }

    /// Whether a worker that has not answered may run any task of the former owners.
    pub(super) fn may_run_any(&self) -> bool {
        let mut closed = self.closed_workers.values();
        closed.any(|closed| closed.runs == PossibleRuns::Any)
    }

    /// Waits for a worker that has restarted and has not answered this owner: orders of former
    /// owners may still reach the new incarnation.
    pub(super) fn await_restarted(&mut self, key: WorkerKey, now: Moment) {
        let runs = match self.closed_workers.remove(&key) {
            Some(closed) => closed.runs,
            None if self.former_workers.remove(&key) => PossibleRuns::Any,
            None => return,
        };
        let end = now + MAX_LATENESS + self.longest_lease;
        self.workers[key].leases.prolong_overlong(end);
        let leases_end = Some(end.max(self.former_leases_end()));
        let closed = ClosedWorker { runs, leases_end };
        self.record_former_worker(key, &closed, now);
        self.closed_workers.insert(key, closed);
        self.tasks_recovering = true;
        self.writes.mark_roster_changed();
    }

    /// Forgets the overlong leases that have ended, so that the roster no longer names them.
    pub(super) fn forget_overlong_leases(&mut self) {
        let confirmed = self.confirmed;
        let mut changed = false;
        for worker in self.workers.values_mut() {
            changed |= worker.leases.forget_overlong(confirmed);
        }
        if changed {
            self.writes.mark_roster_changed();
        }
    }

    /// Ends all orders, as this owner releases the shard. Returns the roster to store with the
    /// release: it names for each worker what it may still run. `None` before the former owner's
    /// roster was read.
    pub fn release_shard(&mut self, now: Moment) -> Option<Vec<RosterEntry>> {
        self.released = true;
        let keys = self.workers.keys();
        let entries = keys.map(|key| self.final_entry(key, now));
        self.has_roster().then(|| entries.collect())
    }

    /// An entry of the last roster. A worker is open in it if not all that it may run, or all
    /// whose ends are not stored, are known.
    fn final_entry(&self, key: WorkerKey, now: Moment) -> RosterEntry {
        let worker = &self.workers[key];
        let mut entry = self.roster_entry(key, now);
        let unstored = worker.unstored_ends(self.writes.written()) > 0;
        let closed = self.closed_workers.get(&key);
        let any = closed.is_some_and(|closed| closed.runs == PossibleRuns::Any);
        if unstored || any || self.former_workers.contains(&key) {
            entry.closed = None;
            return entry;
        }
        let mut tasks = worker.possible_tasks();
        let mut leases_end = worker.runs_end();
        match closed {
            Some(closed) => {
                tasks.extend(closed.tasks().into_iter().flatten().copied());
                leases_end = leases_end.max(closed.leases_end.unwrap_or(self.former_leases_end()));
            }
            // It may still hold a lease of a former owner.
            None => leases_end = leases_end.max(self.former_leases_end()),
        }
        entry.closed = Some(tasks.into_iter().collect());
        entry.lease_left = Some((leases_end - now).as_millis() as u64 + 1);
        entry
    }

    /// When all leases that former owners gave have ended.
    pub(super) fn former_leases_end(&self) -> Moment {
        self.term.recovery_deadline.unwrap_or_default()
    }

    /// Whether no former owner gives orders any more that a worker carries out.
    pub const fn has_recovered(&self) -> bool {
        self.former_ended || !self.tasks_recovering
    }

    /// Records that the former owner, and those before it, are known to have ended.
    pub const fn on_former_ended(&mut self) {
        self.former_ended = true;
    }

    /// Brings the recovery deadline forward when all leases that former owners gave are known
    /// to end by `deadline`. Workers still get the time to report their ended runs.
    pub fn shorten_recovery(&mut self, deadline: Moment, now: Moment) {
        if let Some(known) = &mut self.term.recovery_deadline {
            *known = deadline.max(now + MIN_RECOVERY).min(*known);
        }
    }

    /// Removes workers that only the former owner used and that never answered
    /// this owner.
    fn remove_former(&mut self) {
        self.former_workers.clear();
        let is_unknown = |(key, worker): &(WorkerKey, &Worker)| {
            let awaited = self.closed_workers.contains_key(key) || !worker.tasks.is_empty();
            !worker.listed && !worker.synced && !awaited
        };
        let unknown = self.workers.iter().filter(is_unknown);
        let keys: Vec<WorkerKey> = unknown.map(|(key, _)| key).collect();
        for key in keys {
            self.remove_worker(key, "never answered");
        }
    }
}
