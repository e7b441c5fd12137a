//! Processes the restart of a worker under its id.

use std::collections::BTreeSet;
use std::time::Duration;

use super::ends::{is_complete, live_runs};
use super::{Event, Order, Scheduler};
use crate::fleet::{MAX_LATENESS, WorkerKey, WorkerReport};
use crate::moment::Moment;
use crate::workflow::{Stage, TaskKey, TaskName};

/// A restart of a worker under its id.
pub(super) struct Restart {
    incarnation: u64,
    /// What shows the restart.
    evidence: &'static str,
    /// The tasks whose current run the new incarnation has begun.
    listed: Vec<TaskKey>,
    /// The tasks of which the new incarnation may run something else; absent if that is not known,
    /// as late copies of orders may still reach it.
    open: Option<Vec<TaskKey>>,
}

impl Scheduler {
    /// Compares the incarnation in a worker's report with the known one. The runs of the
    /// former incarnation have ended; those that the report lists began after the restart.
    pub(super) fn check_incarnation(
        &mut self,
        key: WorkerKey,
        sent: Moment,
        report: &WorkerReport,
        now: Moment,
    ) {
        let worker = &self.workers[key];
        let (known, incarnation) = (worker.registration.incarnation, report.incarnation);
        if known == incarnation || incarnation == 0 {
            return self.check_suspicion(key, sent, report, now);
        }
        let restart = self.reported_restart(key, incarnation, report, "it has a new incarnation");
        self.process_restart(key, restart, now);
    }

    /// The restart that a worker's report shows.
    pub(super) fn reported_restart(
        &self,
        key: WorkerKey,
        incarnation: u64,
        report: &WorkerReport,
        evidence: &'static str,
    ) -> Restart {
        let live = live_runs(report);
        let names: BTreeSet<TaskName> = live.iter().map(|(name, _)| *name).collect();
        let tasks = self.workers[key].tasks.values().copied();
        let is_live = |task: &TaskKey| names.contains(&self.ledger.tasks[*task].name);
        let is_current = |task: &TaskKey| {
            let task = &self.ledger.tasks[*task];
            live.contains(&(task.name, task.run))
        };
        let (listed, earlier) = tasks.filter(is_live).partition(is_current);
        let settled = is_complete(report) && self.workers[key].fences.is_settled();
        Restart {
            incarnation,
            evidence,
            listed,
            // All that orders to the former incarnation have begun, or will begin, is listed.
            open: settled.then_some(earlier),
        }
    }

    /// Processes a worker's first report to this owner: it follows no former owner any more. If
    /// the former owner knew an earlier incarnation, it gave leases by that one's clock.
    pub(super) fn end_former_orders(&mut self, key: WorkerKey, incarnation: u64, now: Moment) {
        let longest = self.longest_lease;
        let worker = &mut self.workers[key];
        let known = worker.leases;
        let former = worker.former_incarnation.take();
        if former.is_some_and(|known| incarnation > known) {
            worker.leases.prolong_overlong(now + longest);
        }
        if !std::mem::replace(&mut worker.was_heard, true) {
            worker.leases.end_former_orders(now, longest);
        }
        if worker.leases != known {
            self.writes.mark_roster_changed();
        }
    }

    /// Processes a registration that shows a later incarnation of a worker than its reports. The
    /// worker may be cut off from this host.
    pub(super) fn on_restart_registered(&mut self, key: WorkerKey, incarnation: u64, now: Moment) {
        let worker = &self.workers[key];
        let begun = worker.suspicion.iter().flat_map(|known| &known.begun);
        let listed = begun.filter_map(|name| worker.tasks.get(name).copied());
        let restart = Restart {
            incarnation,
            evidence: "the registry shows a new incarnation",
            listed: listed.collect(),
            open: None,
        };
        self.process_unreported_restart(key, restart, now);
    }

    /// Processes a restart of which no report tells yet. The worker has no runs but those of the
    /// listed tasks, and those that open copies of start orders begin.
    fn process_unreported_restart(&mut self, key: WorkerKey, restart: Restart, now: Moment) {
        let former = self.workers[key].clone();
        self.process_restart(key, restart, now);
        let worker = &mut self.workers[key];
        worker.caught_up = former.caught_up;
        worker.responsive = former.responsive;
        worker.poll_failed = former.poll_failed;
        worker.last_contact = former.last_contact;
        if !former.synced {
            self.await_restarted(key, now);
        }
    }

    /// Ends the runs of a worker's former incarnation and continues, or withdraws, what the new one
    /// may run.
    pub(super) fn process_restart(&mut self, key: WorkerKey, restart: Restart, now: Moment) {
        let Restart {
            incarnation,
            evidence,
            listed,
            open,
        } = restart;
        for task in &listed {
            self.unassign(*task);
        }
        let is_settled = open.is_some();
        let in_progress = self.newest_order(key, &listed, now);
        let ended = match is_settled {
            true => BTreeSet::new(),
            false => self.ended_open_runs(key, now),
        };
        let mut open = open.unwrap_or_else(|| self.open_tasks(key, now));
        let worker = &self.workers[key];
        let former = worker.registration.incarnation;
        let known = worker.synced || !worker.tasks.is_empty();
        if known {
            // Unless another worker at its former address has shown the crash before.
            if !self.workers[key].replaced {
                self.record_crash(key, evidence, now);
            }
            self.lose_ended(key, &open, now);
        } else {
            open.clear();
        }
        let former_leases = self.workers[key].leases;
        let mut leases = match &self.workers[key].suspicion {
            _ if !known => former_leases,
            _ if is_settled => former_leases.with_next_incarnation(now + self.longest_lease, now),
            // No order with a lease was sent since the first sign.
            Some(suspicion) => former_leases.with_next_incarnation(suspicion.leases_end, now),
            None => former_leases.restarted(in_progress, now, self.longest_lease),
        };
        if is_settled {
            // This ends the doubt about earlier incarnations, too.
            leases.end_former_orders(now, self.longest_lease);
        }
        if incarnation != former {
            self.workers[key].ended_incarnation = former;
        }
        self.workers[key].registration.incarnation = incarnation;
        self.workers[key].reset(now);
        self.workers[key].fences.on_restart(is_settled || !known);
        self.workers[key].leases = leases;
        if known {
            // A successor must know of the restart before the worker gets new tasks.
            self.writes.mark_roster_changed();
            self.workers[key].in_roster = false;
            self.workers[key].roster_version = self.writes.roster_version();
        }
        let (begun, withdrawn) = (listed.len(), open.len() + ended.len());
        for task in listed {
            self.continue_run(key, task, now);
        }
        for task in open {
            self.withdraw_open(key, task, now);
        }
        for run in ended {
            self.stop_unlisted(key, run, "the worker restarted", now);
        }
        self.record_worker_change(key, "restarted");
        let leases_left = self.workers[key].leases.end() - now;
        self.record(Event::WorkerRestarted {
            worker: self.worker_name(key),
            former,
            incarnation,
            evidence,
            listed: begun,
            open: withdrawn,
            leases_left: leases_left.as_millis() as u64,
        });
    }

    /// The runs that are not current on a worker, and of whose start orders the next incarnation
    /// may carry out a copy: they ended, were taken back, or were lost with the worker's leases.
    fn ended_open_runs(&self, key: WorkerKey, now: Moment) -> BTreeSet<(TaskName, u64)> {
        let worker = &self.workers[key];
        let copies = worker.open_copies.iter();
        let open = copies.filter(|(_, sent)| now < **sent + MAX_LATENESS);
        let mut runs: BTreeSet<(TaskName, u64)> = open.map(|(run, _)| *run).collect();
        runs.extend(self.lost_open_runs(key));
        let current = worker.tasks.values().map(|task| &self.ledger.tasks[*task]);
        for task in current {
            runs.remove(&(task.name, task.run));
        }
        runs
    }

    /// The tasks of a worker of which the next incarnation may carry out a start order.
    pub(super) fn open_tasks(&self, key: WorkerKey, now: Moment) -> Vec<TaskKey> {
        let worker = &self.workers[key];
        let is_open = |task: &TaskKey| {
            let name = self.ledger.tasks[*task].name;
            // A copy of an earlier run's order begins that run.
            let mut copies = worker.open_copies.iter();
            let earlier = copies.any(|((of, _), sent)| *of == name && now < *sent + MAX_LATENESS);
            earlier || self.may_arrive(*task, now)
        };
        worker.tasks.values().copied().filter(is_open).collect()
    }

    /// Releases the tasks whose runs ended with the former incarnation. The `open` ones stay, as
    /// the new incarnation may run them.
    fn lose_ended(&mut self, key: WorkerKey, open: &[TaskKey], now: Moment) {
        let tasks: Vec<TaskKey> = self.workers[key].tasks.values().copied().collect();
        let ended = tasks.into_iter().filter(|task| !open.contains(task));
        let ended: Vec<TaskKey> = ended.collect();
        for task in open {
            self.unassign(*task);
            self.ledger.tasks[*task].restart_gate = now;
        }
        for task in ended {
            self.ledger.tasks[task].restart_gate = now;
            self.lose(task, "the worker restarted", now);
        }
    }

    /// Keeps a run that began after the restart.
    fn continue_run(&mut self, key: WorkerKey, task: TaskKey, now: Moment) {
        self.add_usage(task, key);
        let known = &mut self.ledger.tasks[task];
        known.survived = Duration::ZERO;
        if known.stage == Stage::Running(key) {
            known.since = now;
        }
    }

    /// Withdraws a run whose start order may still reach the new incarnation.
    fn withdraw_open(&mut self, key: WorkerKey, task: TaskKey, now: Moment) {
        self.add_usage(task, key);
        // The end of the lease is a time on the clock of the former incarnation.
        self.ledger.tasks[task].lease_end = None;
        if self.ledger.tasks[task].stage != Stage::Stopping(key) {
            return self.stop(task, "the worker restarted", now);
        }
        // The new incarnation knows nothing of a stop order that the former one confirmed.
        self.ledger.tasks[task].confirmed = false;
        self.ledger.tasks[task].since = now;
        let order = self.stop_order(task);
        self.order(key, Order::Stop(order));
    }

    /// When the newest order with a lease was sent that may still be carried out by the next
    /// incarnation of a worker. The worker has answered the start orders of the `listed` tasks.
    pub(super) fn newest_order(
        &self,
        key: WorkerKey,
        listed: &[TaskKey],
        now: Moment,
    ) -> Option<Moment> {
        let worker = &self.workers[key];
        let tasks = worker.tasks.values().copied();
        let open = tasks.filter(|task| !listed.contains(task) && self.may_arrive(*task, now));
        let starts = open.map(|task| self.ledger.tasks[task].last_copy);
        let renewed = worker.leases.renewed();
        let renewal = (renewed > worker.last_contact).then_some(renewed);
        let former = self.former_read.filter(|read| now < *read + MAX_LATENESS);
        starts.chain(renewal).chain(former).max()
    }

    /// Whether a copy of a task's start order may be on its way to the new incarnation,
    /// which has seen no fencing token and accepts it.
    pub(super) fn may_arrive(&self, key: TaskKey, now: Moment) -> bool {
        let task = &self.ledger.tasks[key];
        let sent = task.unanswered_copies > 0 || (!task.confirmed && task.lease_end.is_some());
        // Only the former owner knew whether all copies of its orders were answered.
        let inherited = task.former_run || (task.run > 0 && !self.is_own_run(task.run));
        let former = self.former_read.filter(|_| inherited);
        sent && now < task.last_copy + MAX_LATENESS
            || former.is_some_and(|read| now < read + MAX_LATENESS)
    }
}
