//! The workers that the registry lists.

use std::collections::HashSet;
use std::time::Duration;

use super::{Note, RosterEntry, Scheduler};
use crate::fleet::{Availability, Registration, Worker, WorkerKey};
use crate::moment::Moment;
use crate::workflow::TaskKey;

/// A worker that was silent for longer than this is closed in the roster.
const CLOSES: Duration = Duration::from_millis(1100);

impl Scheduler {
    /// Takes in the registry's entries for this shard. Returns new workers.
    pub fn on_registry(&mut self, entries: Vec<Registration>, now: Moment) -> Vec<WorkerKey> {
        let listed: HashSet<String> = entries.iter().map(|entry| entry.id.clone()).collect();
        let mut added = Vec::new();
        for entry in entries {
            match self.by_id.get(&entry.id).copied() {
                Some(key) => self.update_worker(key, entry, now),
                None => added.push(self.add_worker(entry, now)),
            }
        }
        let gone: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.listed && !listed.contains(&worker.entry.id))
            .map(|(key, _)| key)
            .collect();
        for key in gone {
            self.workers[key].listed = false;
            self.note_worker(key, "no longer registered");
        }
        added
    }

    /// Takes in the workers that a former owner may have used. Returns them.
    pub fn on_roster(&mut self, roster: Vec<RosterEntry>, now: Moment) -> Vec<WorkerKey> {
        let mut added = Vec::new();
        for entry in roster {
            let key = match self.by_id.get(&entry.id).copied() {
                Some(key) => key,
                None => {
                    let key = self.add_worker(entry.registration(), now);
                    self.workers[key].listed = false;
                    added.push(key);
                    key
                }
            };
            match entry.closed {
                Some(tasks) => {
                    self.closed.insert(key, tasks);
                }
                None => {
                    self.workers[key].in_roster = true;
                    self.former.insert(key);
                }
            }
        }
        self.writes.roster_read();
        added
    }

    pub(super) fn roster_read(&self) -> bool {
        self.writes.has_roster()
    }

    pub(super) fn note_worker(&mut self, key: WorkerKey, change: &'static str) {
        let worker = &self.workers[key];
        let note = Note::WorkerChanged {
            worker: worker.entry.id.clone(),
            change,
            tasks: worker.tasks.len(),
            labels: worker.entry.labels.join(" "),
        };
        self.note(note);
    }

    pub(super) fn remove_worker(&mut self, key: WorkerKey, change: &'static str) {
        self.note_worker(key, change);
        if let Some(worker) = self.workers.remove(key) {
            self.by_id.remove(&worker.entry.id);
        }
        self.former.remove(&key);
        self.closed.remove(&key);
        self.writes.enrol();
    }

    fn add_worker(&mut self, entry: Registration, now: Moment) -> WorkerKey {
        let id = entry.id.clone();
        let key = self.workers.insert(Worker::new(entry, now));
        self.by_id.insert(id, key);
        self.writes.enrol();
        self.note_worker(key, "registered");
        key
    }

    fn update_worker(&mut self, key: WorkerKey, entry: Registration, now: Moment) {
        let worker = &mut self.workers[key];
        let leaving = worker.entry.availability == Availability::Ready
            && entry.availability == Availability::Draining;
        let returned = !worker.listed;
        let born = worker.entry.incarnation;
        worker.listed = true;
        // The worker itself says when its former runs are gone.
        worker.entry = Registration {
            incarnation: born,
            ..entry
        };
        if returned {
            self.note_worker(key, "registered again");
        }
        if leaving {
            self.note_worker(key, "draining");
            self.evacuate(key, now);
        }
    }

    /// Moves lasting tasks away from a worker that is about to leave.
    fn evacuate(&mut self, key: WorkerKey, now: Moment) {
        let tasks: Vec<TaskKey> = self.workers[key].tasks.values().copied().collect();
        for task in tasks {
            let known = &self.ledger.tasks[task];
            let flow = &self.ledger.workflows[known.workflow];
            if flow.step(known.name).long_running {
                self.stop(task, "the worker is draining", now);
            }
        }
    }

    /// Closes workers that are silent: they get no starts, and the roster says
    /// which tasks they may be running.
    pub(super) fn close_silent(&mut self, now: Moment) {
        let silent = self.workers.iter().filter(|(_, worker)| {
            worker.in_roster && worker.synced && now > worker.last_contact + CLOSES
        });
        let keys: Vec<WorkerKey> = silent.map(|(key, _)| key).collect();
        for key in keys {
            self.workers[key].in_roster = false;
            self.workers[key].responsive = false;
            self.writes.enrol();
            self.note_worker(key, "closed, as it is silent");
        }
    }
}
