//! Maintains the roster of workers that may run a shard's tasks, and removes
//! old jobs and keys from its ledger.

use std::collections::BTreeSet;

use super::WallClock;
use super::change::Change;
use super::ledger::Ledger;
use crate::ids::WorkerKey;
use crate::moment::Moment;
use crate::placement::{Contact, Placement};

impl Ledger {
    /// Treats tasks as lost if their worker has been silent for the recovery delay,
    /// adds workers to the roster or removes them, and removes old jobs and keys.
    pub fn maintain(&mut self, placement: &mut Placement, now: Moment, wall: WallClock) {
        for worker in placement.of_shard(self.shard).to_vec() {
            self.maintain_worker(worker, placement, now);
        }
        self.expire(wall);
    }

    fn maintain_worker(&mut self, key: WorkerKey, placement: &mut Placement, now: Moment) {
        let Some(worker) = placement.get(key) else {
            return;
        };
        let name = worker.name.clone();
        let mut address = worker.address.clone();
        let listed_address = worker.listed_address.clone();
        let (listed, leaving, moving) = (worker.listed, worker.leaving, worker.is_moving());
        let silent = matches!(worker.contact, Contact::Silent { .. });
        let expired = silent
            && worker
                .last_report
                .is_some_and(|at| now - at >= self.settings.recovery_delay());
        if expired {
            self.on_worker_lost(key, placement, now);
        }
        let empty = self.placed.get(&key).is_none_or(BTreeSet::is_empty);
        let reported = !self.unreported.contains(&name) || now >= self.recovery_deadline;
        if leaving || moving {
            self.drain_worker(key);
        }
        if moving && empty && reported {
            address = listed_address;
            if let Some(worker) = placement.get_mut(key) {
                worker.move_to(&address);
            }
        }
        match self.roster.get(&name) {
            None if listed && !leaving => self.add_to_roster(&name, address),
            Some(entry) if entry.logged && !entry.removing => {
                let known = entry.address == address;
                if !listed && empty && reported && (expired || !silent) {
                    self.remove_from_roster(&name);
                    if let Some(worker) = placement.get_mut(key) {
                        // It may be listed again while its removal is being logged.
                        worker.in_roster = false;
                    }
                } else if !known && listed && !leaving {
                    self.add_to_roster(&name, address);
                } else if let Some(worker) = placement.get_mut(key) {
                    worker.in_roster = known;
                }
            }
            Some(_) => {
                if let Some(worker) = placement.get_mut(key) {
                    worker.in_roster = false;
                }
            }
            None => {}
        }
        let gone = !listed && !self.roster.contains_key(&name) && empty;
        if gone {
            self.queued.remove(&key);
            self.placed.remove(&key);
            self.boots.remove(&key);
            placement.remove(key);
        }
    }

    fn add_to_roster(&mut self, name: &str, address: String) {
        let entry = super::ledger::RosterEntry {
            address: address.clone(),
            logged: false,
            removing: false,
        };
        self.roster.insert(name.to_owned(), entry);
        self.changes.push(Change::WorkerJoined {
            name: name.to_owned(),
            address,
        });
    }

    fn remove_from_roster(&mut self, name: &str) {
        if let Some(entry) = self.roster.get_mut(name) {
            entry.removing = true;
        }
        self.unreported.remove(name);
        let name = name.to_owned();
        self.changes.push(Change::WorkerLeft { name });
    }

    /// Handles every task on a silent worker, whose leases have all expired, as lost.
    fn on_worker_lost(&mut self, worker: WorkerKey, placement: &mut Placement, now: Moment) {
        let keys = self.placed.get(&worker).cloned().unwrap_or_default();
        for key in keys {
            self.on_absent(key, placement, now);
        }
    }

    /// Evicts the tasks of a leaving worker that resume from a checkpoint, so that
    /// no work is lost.
    fn drain_worker(&mut self, worker: WorkerKey) {
        let keys = self.placed.get(&worker).cloned().unwrap_or_default();
        for key in keys {
            let resumes = self.jobs[self.tasks[key].job].record.checkpointable;
            if resumes && self.is_evictable(key) {
                self.evict(key);
            }
        }
    }

    /// Removes ended jobs, redirects and keys that are older than their retention time. A job
    /// stays while moved tasks of it are not accepted: its log entries are all that names them.
    fn expire(&mut self, wall: WallClock) {
        let job_retention = self.settings.job_retention;
        let mut dropped = Vec::new();
        for job in self.jobs.values_mut() {
            let moves = &self.pending_moves;
            let moving = job.moves.iter().any(|each| moves.contains_key(&each.to));
            if job.open > 0 || moving {
                continue;
            }
            let ended = *job.ended_at.get_or_insert(wall);
            if wall.0.saturating_sub(ended.0) >= job_retention {
                dropped.push(job.record.id);
                job.ended_at = Some(wall);
            }
        }
        for redirect in self.redirects.values_mut() {
            if wall.0.saturating_sub(redirect.at.0) >= job_retention {
                dropped.push(redirect.job);
                redirect.at = wall;
            }
        }
        let drops = dropped.into_iter().map(|job| Change::Dropped { job });
        self.changes.extend(drops);
        let before = WallClock(wall.0.saturating_sub(self.settings.key_retention));
        let keys = self.keys.expire(before);
        self.changes.extend(keys);
    }
}
