//! Processes worker reports: which runs go on, have ended or no longer exist.

use std::time::Duration;

use rustc_hash::FxHashSet;

use super::{Event, Order, Scheduler};
use crate::fleet::{
    Availability, Clock, EndedRun, LiveRun, RunOutcome, StopOrder, UnknownRun, WorkerKey,
    WorkerReport,
};
use crate::moment::Moment;
use crate::workflow::{FULL_SPEED, JobTransition, Stage, TaskKey, TaskName, WorkflowKey};

/// The largest number of ends in one report; a report with that many may be
/// incomplete.
const MAX_REPORTED_ENDS: usize = 500;
/// The delay after which a stop order for the same run is repeated.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(600);
/// Stands for the end of a lease, in milliseconds, that cannot be compared with the worker's
/// clock, as it was set on the clock of a former incarnation.
const NO_LEASE_END: u64 = u64::MAX;

impl Scheduler {
    /// Processes the report with which a worker answered a poll sent at `sent`.
    pub fn on_report(&mut self, key: WorkerKey, sent: Moment, report: &WorkerReport, now: Moment) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        if worker.is_outdated(report) {
            return;
        }
        self.check_incarnation(key, sent, report, now);
        self.end_former_orders(key, report.incarnation, now);
        let settled = self.settle_orders(key, report, now);
        self.check_lost(key, report.incarnation, now);
        let worker = &mut self.workers[key];
        worker.clock = Some(Clock::new(report.clock, now));
        worker.last_contact = now;
        worker.responsive = true;
        worker.replaced = false;
        worker.poll_failed = false;
        worker.synced = true;
        if !worker.in_roster {
            // The next write of the roster marks the worker as open.
            self.writes.mark_roster_changed();
        }
        let complete = is_complete(report);
        let live = live_runs(report);
        self.process_ends(key, &report.ended, now);
        self.process_running(key, sent, settled, report, &live, now);
        if complete {
            self.lose_missing(key, sent, settled, report.clock, &live, now);
        }
        if !self.check_worker(key, report, now) {
            self.adjust_speeds(key, report, now);
        }
        let written = self.writes.written();
        self.workers[key].acknowledge(written);
        if complete && !std::mem::replace(&mut self.workers[key].caught_up, true) {
            self.former_workers.remove(&key);
            self.closed_workers.remove(&key);
            self.finish_recovery(now);
        }
    }

    /// Processes a worker's confirmation of a stop order: the run is ending, or
    /// will never begin.
    pub fn on_stop(&mut self, key: WorkerKey, order: &StopOrder, now: Moment) {
        let unknown = self.unknown_run(key, order);
        if let Some(unknown) = unknown {
            unknown.confirmed.get_or_insert(now);
        }
        let Some(task) = self.ledger.find_task(order.task) else {
            return;
        };
        let known = &mut self.ledger.tasks[task];
        if known.stage == Stage::Stopping(key) && known.run == order.run && !known.confirmed {
            known.confirmed = true;
            known.since = now;
        }
    }

    /// Whether a stop order still has to be carried out: the run is stopping, or
    /// does not match the ledger.
    pub fn wants_stop(&self, key: WorkerKey, order: &StopOrder) -> bool {
        let Some(worker) = self.workers.get(key) else {
            return false;
        };
        let stopping = |task: TaskKey| {
            let known = &self.ledger.tasks[task];
            known.stage == Stage::Stopping(key) && known.run == order.run
        };
        let ours = self.ledger.find_task(order.task).is_some_and(stopping);
        ours || worker.unknown_runs.contains_key(&(order.task, order.run))
    }

    fn unknown_run(&mut self, key: WorkerKey, order: &StopOrder) -> Option<&mut UnknownRun> {
        let worker = self.workers.get_mut(key)?;
        worker.unknown_runs.get_mut(&(order.task, order.run))
    }

    /// Whether a worker has reported ends that are not acknowledged yet.
    pub fn has_unacknowledged_ends(&self, key: WorkerKey) -> bool {
        let worker = self.workers.get(key);
        worker.is_some_and(|worker| !worker.pending_ends.is_empty())
    }

    /// Processes a failed poll. `refused` means that the connection was refused:
    /// a draining, unregistered worker without runs has then left. A network
    /// partition may also reset connections, so runs count as lost only when
    /// their leases have ended.
    pub fn on_poll_failed(&mut self, key: WorkerKey, refused: bool) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        worker.poll_failed = true;
        if !refused && worker.leases.renewed() > worker.last_contact {
            worker.leases.on_unanswered(worker.leases.renewed());
        }
        let gone = refused && worker.synced && !worker.listed;
        let leaving = worker.registration.availability == Availability::Draining;
        let empty = worker.tasks.is_empty() && worker.unknown_runs.is_empty();
        if gone && leaving && empty {
            self.remove_worker(key, "left");
        }
    }

    /// Treats the runs of a silent worker as lost once all leases on it have ended.
    pub(super) fn expire_leases(&mut self, now: Moment) {
        let expired = self.workers.iter().filter(|(_, worker)| {
            let silent = now > worker.last_contact + crate::fleet::RUN_LEASE;
            let used = worker.synced || !worker.tasks.is_empty();
            used && silent && worker.leases.given() < self.confirmed
        });
        let keys: Vec<WorkerKey> = expired.map(|(key, _)| key).collect();
        for key in keys {
            let lost = self.expired_tasks(key, now);
            if !lost.is_empty() {
                self.keep_lost(key, &lost, now);
                self.hold_suspects(key, &lost, now);
                self.lose_all(&lost, "its lease has ended on a silent worker", now);
            }
            let worker = &self.workers[key];
            if !worker.tasks.is_empty() || worker.runs_end() >= self.confirmed {
                continue;
            }
            self.workers[key].unknown_runs.clear();
            if !self.workers[key].listed {
                self.remove_worker(key, "lost");
            }
        }
    }

    /// The tasks of a worker whose leases have ended that cannot run there any more. An open copy
    /// of a start order counts as refused after the end of its lease only if the registry, read
    /// since, shows no restart.
    fn expired_tasks(&self, key: WorkerKey, now: Moment) -> Vec<TaskKey> {
        let worker = &self.workers[key];
        let has_expired = |(name, task): &(&TaskName, &TaskKey)| {
            let end = worker.run_end(**name);
            let unread = self.registry_read <= end;
            end < self.confirmed && !(unread && self.may_arrive(**task, now))
        };
        let tasks = worker.tasks.iter().filter(has_expired);
        tasks.map(|(_, task)| *task).collect()
    }

    pub(super) fn record_failure(&mut self, key: WorkerKey, workflow: WorkflowKey, now: Moment) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if worker.failures.record_failure(workflow, now) {
            self.record_worker_change(key, "its results are not trusted for a time");
        }
    }

    pub(super) fn lose_all(&mut self, tasks: &[TaskKey], reason: &'static str, now: Moment) {
        for task in tasks {
            self.ledger.tasks[*task].restart_gate = now;
            self.lose(*task, reason, now);
        }
    }

    fn process_ends(&mut self, key: WorkerKey, ends: &[EndedRun], now: Moment) {
        for end in ends {
            if end.number <= self.workers[key].last_end {
                continue;
            }
            self.workers[key].last_end = end.number;
            self.workers[key].unknown_runs.remove(&(end.task, end.run));
            let must_store = self.process_end(key, end, now);
            let write = if must_store { self.writes.next() } else { 0 };
            self.workers[key]
                .pending_ends
                .push_back((end.number, write));
        }
    }

    /// Processes one end. Returns whether it must be stored before the worker may
    /// forget it.
    fn process_end(&mut self, key: WorkerKey, end: &EndedRun, now: Moment) -> bool {
        let Some(task) = self.ledger.find_task(end.task) else {
            return false;
        };
        // The leases of its runs had ended before it began to move.
        if self.moves.is_pending(self.ledger.tasks[task].workflow) {
            return false;
        }
        let current = self.ledger.tasks[task].run == end.run;
        let stage = self.ledger.tasks[task].stage;
        let ours = current && stage.worker() == Some(key);
        let recovering = stage == Stage::Recovering;
        let counts = matches!(end.outcome, RunOutcome::Done | RunOutcome::Failed);
        if !ours && !recovering && !counts {
            return false;
        }
        self.record_end(key, task, end, now);
        if end.outcome == RunOutcome::Done {
            self.record_duplicate(key, task, end.run, true);
        }
        self.apply_end(key, task, end, ours, now)
    }

    /// Records that a worker reports a run of a task that was started again since, unless
    /// a long-running task is done: it is started again after any outcome.
    fn record_duplicate(&mut self, key: WorkerKey, task: TaskKey, earlier: u64, done: bool) {
        let run = self.ledger.tasks[task].run;
        let stage = self.ledger.tasks[task].stage;
        let restarted = earlier < run && (done || stage.worker().is_some());
        if !restarted || (done && self.step_of(task).long_running) {
            return;
        }
        let name = self.ledger.tasks[task].name;
        let worker = self.worker_name(key);
        self.record(Event::DuplicateRun {
            task: name.to_string(),
            run,
            earlier,
            worker,
            done,
        });
    }

    fn record_end(&mut self, key: WorkerKey, task: TaskKey, end: &EndedRun, now: Moment) {
        let since = self.ledger.tasks[task].since;
        let worker = self.worker_name(key);
        self.record(Event::RunEnded {
            task: end.task.to_string(),
            run: end.run,
            worker,
            outcome: end.outcome,
            ran: (now - since).as_millis() as u64,
        });
    }

    /// Updates the task and its job after an end. Only the end of the current run
    /// releases the task, as a former owner may have started a later run
    /// elsewhere.
    fn apply_end(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        end: &EndedRun,
        ours: bool,
        now: Moment,
    ) -> bool {
        let workflow = self.ledger.tasks[task].workflow;
        let long_running = self.ledger.workflows[workflow].step(end.task).long_running;
        if ours && matches!(end.outcome, RunOutcome::Done | RunOutcome::Failed) {
            self.record_own_end(task);
        }
        if ours {
            self.release(task, end.outcome, now);
        }
        if !end.checkpoint.is_empty() {
            self.ledger.tasks[task]
                .checkpoint
                .clone_from(&end.checkpoint);
        }
        let transition = match end.outcome {
            RunOutcome::Done if !long_running => {
                self.workers[key].failures.record_success();
                self.stop_later_run(task, now);
                self.finish(task, end.run, now)
            }
            RunOutcome::Failed => {
                // A run may have failed because a cold worker is slow.
                if !self.workers[key].is_cold(now) {
                    self.record_failure(key, workflow, now);
                }
                self.ledger.fail(task, end.run)
            }
            _ => JobTransition::Unchanged,
        };
        self.apply_transition(workflow, transition, now);
        self.forget_ended(workflow, now);
        if !long_running && self.ledger.workflows.contains_key(workflow) {
            self.writes.mark_progress_changed(workflow);
        }
        !long_running
    }

    /// Releases a task whose current run has ended. If it failed during recovery, it
    /// waits until all former workers have answered: they may hold earlier failures that
    /// the former owner did not store, and the task may have no attempt left.
    fn release(&mut self, task: TaskKey, outcome: RunOutcome, now: Moment) {
        self.unassign(task);
        self.ledger.requeue(task, now);
        let long_running = self.step_of(task).long_running;
        let workflow = self.ledger.tasks[task].workflow;
        let inherited = self.is_inherited(self.ledger.workflows[workflow].revision);
        if outcome == RunOutcome::Failed && inherited && !long_running {
            self.ledger.set_stage(task, Stage::Recovering, now);
        }
    }

    /// Stops the current run of a task when an earlier run is found to be done.
    fn stop_later_run(&mut self, task: TaskKey, now: Moment) {
        let Some(worker) = self.ledger.tasks[task].stage.worker() else {
            return;
        };
        let order = self.stop_order(task);
        self.hold_capacity(task, now);
        self.unassign(task);
        self.order(worker, Order::Stop(order));
    }

    /// Marks a task as done, as the given run of it is. When one member of a gang is
    /// done, the whole gang is.
    fn finish(&mut self, task: TaskKey, run: u64, now: Moment) -> JobTransition {
        if !self.is_gang(task) {
            return self.ledger.finish(task, now);
        }
        let mut transition = JobTransition::Unchanged;
        for member in self.members(task) {
            if self.ledger.tasks[member].run == run {
                self.hold_capacity(member, now);
                self.unassign(member);
            } else {
                self.stop_later_run(member, now);
            }
            let ended = self.ledger.finish(member, now);
            transition = if ended == JobTransition::Unchanged {
                transition
            } else {
                ended
            };
        }
        transition
    }

    /// Reserves the capacity of a task's run: its worker gets no new tasks until it
    /// reports that the run is gone.
    fn hold_capacity(&mut self, task: TaskKey, now: Moment) {
        let known = &self.ledger.tasks[task];
        let (run, worker) = ((known.name, known.run), known.stage.worker());
        let began = matches!(known.stage, Stage::Running(_));
        let lease_end = known.lease_end.filter(|_| !began);
        if let Some(worker) = worker.and_then(|worker| self.workers.get_mut(worker)) {
            let unknown = UnknownRun::new(lease_end, now);
            worker.unknown_runs.insert(run, unknown);
        }
    }

    fn process_running(
        &mut self,
        key: WorkerKey,
        sent: Moment,
        settled: bool,
        report: &WorkerReport,
        live: &LiveRuns,
        now: Moment,
    ) {
        for run in &report.running {
            match self.ledger.find_task(run.task) {
                Some(task) => self.process_run(key, task, run, now),
                None => self.stop_unknown(key, run, now),
            }
        }
        self.workers[key].unknown_runs.retain(|run, state| {
            live.contains(run) || (!settled && state.may_exist(sent, report.clock))
        });
    }

    fn process_run(&mut self, key: WorkerKey, task: TaskKey, run: &LiveRun, now: Moment) {
        let known = &self.ledger.tasks[task];
        let (stage, number, workflow) = (known.stage, known.run, known.workflow);
        let ended = self.ledger.workflows[workflow].state.is_final();
        match stage {
            Stage::Recovering => self.adopt(key, task, run, now),
            Stage::Starting(worker) if worker == key && number == run.run => {
                self.ledger.set_stage(task, Stage::Running(key), now);
                self.mark_started(workflow);
            }
            Stage::Running(worker) if worker == key && number == run.run => {}
            Stage::Stopping(worker) if worker == key && number == run.run => {
                self.ledger.tasks[task].begun = true;
                self.repeat_stop(key, task, now);
                return;
            }
            _ => return self.stop_unknown(key, run, now),
        }
        self.record_survival(task, now);
        let known = &mut self.ledger.tasks[task];
        if known.checkpoint != run.checkpoint && !run.checkpoint.is_empty() {
            known.checkpoint.clone_from(&run.checkpoint);
        }
        if ended && self.ledger.tasks[task].stage == Stage::Running(key) {
            self.stop(task, "the job has ended", now);
        }
    }

    fn adopt(&mut self, key: WorkerKey, task: TaskKey, run: &LiveRun, now: Moment) {
        self.ledger.tasks[task].run = run.run;
        self.ledger.tasks[task].allowed_speed = FULL_SPEED;
        self.ledger.set_stage(task, Stage::Running(key), now);
        self.add_usage(task, key);
        // The former owner may have throttled the run; its speed is not stored.
        if self.step_of(task).best_effort {
            self.ledger.tasks[task].speed_unknown = true;
            self.throttle(task, key, FULL_SPEED, now);
        }
        let workflow = self.ledger.tasks[task].workflow;
        self.mark_started(workflow);
        let worker = self.worker_name(key);
        self.record(Event::Adopted {
            task: run.task.to_string(),
            run: run.run,
            worker,
        });
    }

    fn repeat_stop(&mut self, key: WorkerKey, task: TaskKey, now: Moment) {
        if now - self.ledger.tasks[task].since < STOP_RETRY_DELAY {
            return;
        }
        self.ledger.tasks[task].since = now;
        let order = self.stop_order(task);
        self.order(key, Order::Stop(order));
    }

    /// Stops a run that does not match the ledger.
    fn stop_unknown(&mut self, key: WorkerKey, run: &LiveRun, now: Moment) {
        let unknown_runs = &mut self.workers[key].unknown_runs;
        let known = unknown_runs.get_mut(&(run.task, run.run));
        if known.is_some_and(|known| now - known.stopped < STOP_RETRY_DELAY) {
            return;
        }
        unknown_runs.insert((run.task, run.run), UnknownRun::new(None, now));
        if let Some(task) = self.ledger.find_task(run.task) {
            self.record_duplicate(key, task, run.run, false);
        }
        self.order_stop(key, (run.task, run.run), "the run is not wanted");
    }

    /// Stops a run that a worker does not list but may begin later. The worker refuses the start
    /// once it has confirmed the stop order.
    pub(super) fn stop_unlisted(
        &mut self,
        key: WorkerKey,
        run: (TaskName, u64),
        reason: &'static str,
        now: Moment,
    ) {
        let unknown = UnknownRun::new(Some(NO_LEASE_END), now);
        self.workers[key].unknown_runs.insert(run, unknown);
        self.order_stop(key, run, reason);
    }

    pub(super) fn order_stop(
        &mut self,
        key: WorkerKey,
        (task, run): (TaskName, u64),
        reason: &'static str,
    ) {
        let worker = self.worker_name(key);
        self.record(Event::Stopping {
            task: task.to_string(),
            run,
            worker,
            reason,
        });
        let fence = self.fence;
        let order = self.with_fence(key, StopOrder { task, run, fence });
        self.order(key, Order::Stop(order));
    }

    /// Treats runs as lost which the report does not list, if the worker had begun them,
    /// or could not begin them any more, when it answered: it confirmed the last order
    /// before the poll was sent, the lease in the start order has ended, or the worker has restarted
    /// and the report is `settled`.
    fn lose_missing(
        &mut self,
        key: WorkerKey,
        sent: Moment,
        settled: bool,
        clock: u64,
        live: &LiveRuns,
        now: Moment,
    ) {
        let tasks: Vec<TaskKey> = self.workers[key].tasks.values().copied().collect();
        for task in tasks {
            let known = &self.ledger.tasks[task];
            let confirmed = known.confirmed && known.since < sent;
            let lease_ended = known.lease_end.is_some_and(|end| end < clock);
            if !(settled || confirmed || lease_ended) || live.contains(&(known.name, known.run)) {
                continue;
            }
            // An earlier run that a late copy has begun is being stopped, too.
            if !live.iter().any(|(task, _)| *task == known.name) {
                self.lose(task, "the worker does not list it", now);
            }
        }
    }
}

/// Whether a report lists all ends that the worker has not forgotten.
pub(super) const fn is_complete(report: &WorkerReport) -> bool {
    report.ended.len() < MAX_REPORTED_ENDS
}

/// The live runs in a report, by task and number.
pub(super) type LiveRuns = FxHashSet<(TaskName, u64)>;

/// Returns the live runs in a report.
pub(super) fn live_runs(report: &WorkerReport) -> LiveRuns {
    let rows = report.running.iter();
    rows.map(|run| (run.task, run.run)).collect()
}
