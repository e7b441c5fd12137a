//! Processes the restart of a worker under its id.

use std::time::Duration;

use super::Scheduler;
use super::ends::live_runs;
use crate::fleet::{MAX_CLOCK_SLOWDOWN, MAX_WORKER_LEASE, WorkerKey, WorkerReport};
use crate::moment::Moment;
use crate::workflow::{Stage, TaskKey};

impl Scheduler {
    /// Compares the incarnation in a worker's report with the known one. The runs of the
    /// former incarnation have ended; those that the report lists began after the restart.
    pub(super) fn check_incarnation(&mut self, key: WorkerKey, report: &WorkerReport, now: Moment) {
        let worker = &self.workers[key];
        let incarnation = report.incarnation;
        if worker.registration.incarnation == incarnation || incarnation == 0 {
            return;
        }
        let listed = self.listed_tasks(key, report);
        for task in &listed {
            self.unassign(*task);
        }
        let mut open = Vec::new();
        let lost_open = self.lost_open_runs(key);
        let known = self.workers[key].synced;
        if known {
            // Unless another worker at its former address has shown the crash before.
            if !self.workers[key].replaced {
                self.record_crash(key, "it has a new incarnation", now);
            }
            open = self.lose_ended(key, now);
        }
        self.workers[key].registration.incarnation = incarnation;
        self.workers[key].reset(now);
        if known {
            // The last orders gave a lease by the clock of the former incarnation, which may
            // be far ahead of the new one.
            let longest = MAX_WORKER_LEASE.mul_f64(MAX_CLOCK_SLOWDOWN);
            self.workers[key].lease_deadline = now + longest;
        }
        for task in listed {
            self.continue_run(key, task, now);
        }
        for task in open {
            self.withdraw_open(key, task, now);
        }
        for run in lost_open {
            self.stop_unlisted(key, run, "the worker restarted", now);
        }
        self.record_worker_change(key, "restarted");
    }

    /// Releases the tasks whose runs ended with the former incarnation. Returns those
    /// whose start may still reach the new one.
    fn lose_ended(&mut self, key: WorkerKey, now: Moment) -> Vec<TaskKey> {
        let tasks: Vec<TaskKey> = self.workers[key].tasks.values().copied().collect();
        let (open, ended): (Vec<TaskKey>, Vec<TaskKey>) =
            tasks.into_iter().partition(|task| self.may_arrive(*task));
        for task in &open {
            self.unassign(*task);
            self.ledger.tasks[*task].restart_gate = now;
        }
        for task in ended {
            self.ledger.tasks[task].restart_gate = now;
            self.lose(task, "the worker restarted", now);
        }
        open
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
            self.stop(task, "the worker restarted", now);
        }
    }

    /// The tasks of a worker whose current run a report lists.
    fn listed_tasks(&self, key: WorkerKey, report: &WorkerReport) -> Vec<TaskKey> {
        let live = live_runs(report);
        let tasks = self.workers[key].tasks.values().copied();
        let is_listed = |key: &TaskKey| {
            let task = &self.ledger.tasks[*key];
            live.contains(&(task.name, task.run))
        };
        tasks.filter(is_listed).collect()
    }

    /// Whether a copy of a task's start order may be on its way to the new incarnation,
    /// which has seen no fencing token and accepts it.
    pub(super) fn may_arrive(&self, key: TaskKey) -> bool {
        let task = &self.ledger.tasks[key];
        task.unanswered_copies > 0 || (!task.confirmed && task.lease_end.is_some())
    }
}
