//! Applies registry entries and the stored roster to the known workers.

use std::collections::HashSet;
use std::time::Duration;

use super::closed::{ClosedWorker, MIN_RECOVERY, PossibleRuns};
use super::{Event, Order, RosterEntry, Scheduler};
use crate::evacuation::{Evacuations, ZoneRuns};
use crate::fleet::{Availability, Fences, MAX_LATENESS, Registration, Worker, WorkerKey};
use crate::moment::Moment;
use crate::workflow::{Stage, TaskKey, TaskName};

/// How long a worker may be silent before the roster marks it as closed.
const MAX_SILENCE: Duration = Duration::from_millis(1100);

impl Scheduler {
    /// Applies the registry's entries for this shard. Returns the workers to connect to: new
    /// ones, and those that came back at another address.
    pub fn on_registry(&mut self, entries: Vec<Registration>, now: Moment) -> Vec<WorkerKey> {
        self.registry_read = now;
        let listed: HashSet<String> = entries.iter().map(|entry| entry.id.clone()).collect();
        let mut connect = Vec::new();
        for entry in entries {
            match self.by_id.get(&entry.id).copied() {
                Some(key) => {
                    let moved = entry.address != self.workers[key].registration.address;
                    self.update_worker(key, entry, now);
                    if moved {
                        self.on_moved(key);
                        connect.push(key);
                    }
                }
                None => connect.push(self.add_worker(entry, now)),
            }
        }
        let gone: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.listed && !listed.contains(&worker.registration.id))
            .map(|(key, _)| key)
            .collect();
        for key in gone {
            self.workers[key].listed = false;
            self.record_worker_change(key, "no longer registered");
        }
        connect
    }

    /// Applies the requests to evacuate zones that this host knows. Must be called before each
    /// pass and before each start order is built.
    pub fn set_evacuations(&mut self, known: &Evacuations) {
        if !self.zones.follow(known) {
            return;
        }
        for worker in self.workers.values_mut() {
            worker.evacuated = self.zones.is_evacuated(&worker.registration.zone);
        }
    }

    /// Whether a zone is to be evacuated, as far as the scheduler was told.
    #[cfg(test)]
    pub(crate) fn is_zone_evacuated(&self, zone: &str) -> bool {
        self.zones.is_evacuated(zone)
    }

    /// Records what has changed in the evacuated zones.
    pub(super) fn record_zone_changes(&mut self, now: Moment) {
        if self.zones.is_idle() {
            return;
        }
        let mut zones = std::mem::take(&mut self.zones);
        let changes = zones.observe(|zone| self.runs_in(zone));
        self.zones = zones;
        let events = changes
            .into_iter()
            .map(|change| Event::of_zone(change, now));
        let events: Vec<Event> = events.collect();
        events.into_iter().for_each(|event| self.record(event));
    }

    /// The number of runs that may exist in evacuated zones.
    pub fn runs_in_evacuated_zones(&self) -> usize {
        let evacuated = self.workers.values().filter(|worker| worker.evacuated);
        let runs = |worker: &Worker| worker.tasks.len() + worker.unknown_runs.len();
        evacuated.map(runs).sum()
    }

    /// What the workers of a zone run. A worker that has not answered this owner may have runs
    /// of a former one until the recovery has ended.
    fn runs_in(&self, zone: &str) -> ZoneRuns {
        let mut found = ZoneRuns::default();
        let in_zone = |row: &(WorkerKey, &Worker)| row.1.registration.zone == zone;
        for (key, worker) in self.workers.iter().filter(in_zone) {
            let former = self.recovering || self.closed_workers.contains_key(&key);
            found.workers += 1;
            found.runs += worker.tasks.len() + worker.unknown_runs.len();
            found.unknown |= !worker.caught_up && former;
        }
        found
    }

    /// Repeats the orders that were queued for a worker's former address. Its first report
    /// tells whether it has restarted.
    fn on_moved(&mut self, key: WorkerKey) {
        self.record_worker_change(key, "at another address");
        self.writes.mark_roster_changed();
        let tasks: Vec<TaskKey> = self.workers[key].tasks.values().copied().collect();
        for task in tasks {
            let run = self.ledger.tasks[task].run;
            match self.ledger.tasks[task].stage {
                Stage::Starting(_) => self.order(key, Order::Start { task, run }),
                Stage::Stopping(_) => {
                    let order = self.stop_order(task);
                    self.order(key, Order::Stop(order));
                }
                _ => {}
            }
        }
        let unknown: Vec<(TaskName, u64)> =
            self.workers[key].unknown_runs.keys().copied().collect();
        for run in unknown {
            self.order_stop(key, run, "the worker is at another address");
        }
    }

    /// Adds the workers that a former owner may have used, from the roster that was stored at
    /// `revision`. Returns those that were not known yet.
    pub fn on_roster(
        &mut self,
        roster: Vec<RosterEntry>,
        revision: u64,
        now: Moment,
    ) -> Vec<WorkerKey> {
        // A former owner that has stored no roster may still have prolonged leases.
        let by_former = revision >= self.term.former_epoch;
        let mut added = Vec::new();
        for entry in roster {
            let key = match self.by_id.get(&entry.id).copied() {
                Some(key) => key,
                None => {
                    let Some(registration) = entry.registration() else {
                        continue;
                    };
                    let key = self.add_worker(registration, now);
                    self.workers[key].listed = false;
                    added.push(key);
                    key
                }
            };
            self.apply_roster_entry(key, &entry, by_former, now);
        }
        self.writes.mark_roster_read();
        if self.term.recovery_deadline.is_some() {
            self.former_read = Some(now);
        }
        if let Some(deadline) = &mut self.term.recovery_deadline {
            *deadline = (*deadline).max(now + MIN_RECOVERY);
        }
        added
    }

    /// Applies an entry of the former owner's roster. `by_former` says whether the last owner
    /// stored it; an owner before it may have been followed by one that prolonged leases.
    fn apply_roster_entry(
        &mut self,
        key: WorkerKey,
        entry: &RosterEntry,
        by_former: bool,
        now: Moment,
    ) {
        let longest = self.longest_lease;
        let worker = &mut self.workers[key];
        worker.in_roster = entry.closed.is_none();
        worker.former_incarnation = entry.incarnation;
        let newest = worker.registered.max(worker.registration.incarnation);
        let restarted = entry.incarnation.is_some_and(|known| newest > known);
        // The registry may lag behind the former owner, or not list the worker.
        if let Some(known) = entry.incarnation.filter(|_| !worker.synced) {
            worker.registration.incarnation = newest.max(known);
        }
        if let Some(left) = entry.overlong_left {
            worker
                .leases
                .prolong_overlong(now + Duration::from_millis(left));
        }
        if restarted {
            // Orders of former owners may still reach the new incarnation.
            worker.leases.prolong_overlong(now + MAX_LATENESS + longest);
        }
        // Polls begin before the roster is read; a worker that has answered them holds
        // no unknown run of the former owner.
        if worker.caught_up {
            worker.leases.end_former_orders(now, longest);
            return;
        }
        let overlong = worker.leases.overlong();
        let (runs, leases_end) = match &entry.closed {
            Some(tasks) => {
                let left = entry.lease_left.filter(|_| by_former);
                let left = left.map(Duration::from_millis);
                let end = left.map(|left| now + left.max(MIN_RECOVERY));
                (PossibleRuns::Listed(tasks.clone()), end)
            }
            None if overlong > self.former_leases_end() => (PossibleRuns::Any, None),
            None => {
                self.former_workers.insert(key);
                return;
            }
        };
        // A restart ends what the roster says of the former incarnation's leases.
        let leases_end = match overlong > now {
            false => leases_end,
            true if restarted => Some(overlong),
            true => Some(overlong.max(leases_end.unwrap_or(self.former_leases_end()))),
        };
        let closed = ClosedWorker { runs, leases_end };
        self.record_former_worker(key, &closed, now);
        self.closed_workers.insert(key, closed);
    }

    /// Records what the former owner's roster and the registry tell about a worker.
    pub(super) fn record_former_worker(
        &mut self,
        key: WorkerKey,
        closed: &ClosedWorker,
        now: Moment,
    ) {
        let worker = &self.workers[key];
        self.record(Event::FormerWorker {
            worker: worker.registration.id.clone(),
            known: worker.former_incarnation,
            registered: worker.registered,
            tasks: closed.tasks().map(Vec::len),
            leases_left: closed.leases_end.map(|end| (end - now).as_millis() as u64),
        });
    }

    pub(super) fn has_roster(&self) -> bool {
        self.writes.has_roster()
    }

    pub(super) fn record_worker_change(&mut self, key: WorkerKey, change: &'static str) {
        let worker = &self.workers[key];
        let event = Event::WorkerChanged {
            worker: worker.registration.id.clone(),
            change,
            tasks: worker.tasks.len(),
            unstored: worker.unstored_ends(self.writes.written()),
            labels: worker.registration.labels.join(" "),
        };
        self.record(event);
    }

    pub(super) fn remove_worker(&mut self, key: WorkerKey, change: &'static str) {
        self.record_worker_change(key, change);
        if let Some(worker) = self.workers.remove(key) {
            self.removed_fence = self.removed_fence.max(worker.fences.leased());
            self.by_id.remove(&worker.registration.id);
        }
        self.former_workers.remove(&key);
        self.closed_workers.remove(&key);
        self.writes.mark_roster_changed();
    }

    fn add_worker(&mut self, entry: Registration, now: Moment) -> WorkerKey {
        let id = entry.id.clone();
        let evacuated = self.zones.is_evacuated(&entry.zone);
        let key = self.workers.insert(Worker {
            evacuated,
            // The worker may have been removed before, and know the highest token.
            fences: Fences::new(self.fence, self.removed_fence),
            ..Worker::new(entry, now)
        });
        self.by_id.insert(id, key);
        self.writes.mark_roster_changed();
        self.record_worker_change(key, "registered");
        key
    }

    fn update_worker(&mut self, key: WorkerKey, entry: Registration, now: Moment) {
        let worker = &mut self.workers[key];
        let leaving = worker.registration.availability == Availability::Ready
            && entry.availability == Availability::Draining;
        let returned = !worker.listed;
        let (incarnation, registered) = (worker.registration.incarnation, entry.incarnation);
        worker.update_cold(entry.cold_left, registered > worker.registered, now);
        worker.listed = true;
        worker.evacuated = self.zones.is_evacuated(&entry.zone);
        worker.registered = registered;
        worker.registration = Registration {
            incarnation,
            ..entry
        };
        let known = match incarnation {
            0 => worker.former_incarnation.unwrap_or_default(),
            known => known,
        };
        if known > 0 && registered > known {
            self.on_restart_registered(key, registered, now);
        }
        if returned {
            self.record_worker_change(key, "registered again");
        }
        if leaving {
            self.record_worker_change(key, "draining");
            self.stop_long_running(key, now);
        }
    }

    /// Stops the long-running tasks of a draining worker, so that they start
    /// again elsewhere.
    fn stop_long_running(&mut self, key: WorkerKey, now: Moment) {
        let tasks: Vec<TaskKey> = self.workers[key].tasks.values().copied().collect();
        for task in tasks {
            let known = &self.ledger.tasks[task];
            let workflow = &self.ledger.workflows[known.workflow];
            if workflow.step(known.name).long_running {
                self.stop(task, "the worker is draining", now);
            }
        }
    }

    /// Closes silent workers: they get no new tasks, and the roster lists the
    /// tasks that they may still be running.
    pub(super) fn close_silent(&mut self, now: Moment) {
        let silent = self.workers.iter().filter(|(_, worker)| {
            worker.in_roster && worker.caught_up && now > worker.last_contact + MAX_SILENCE
        });
        let keys: Vec<WorkerKey> = silent.map(|(key, _)| key).collect();
        for key in keys {
            self.workers[key].in_roster = false;
            self.workers[key].responsive = false;
            self.writes.mark_roster_changed();
            self.record_worker_change(key, "closed, as it does not answer");
        }
    }
}
