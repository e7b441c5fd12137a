//! Updates the ledger from a worker's report.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::change::{Change, Outcome};
use super::ledger::{DelayedTask, Ledger, QueuedCommands};
use super::task::{StopReason, Task, TaskStage};
use crate::ids::{TaskKey, WorkerKey};
use crate::kind::RetryReason;
use crate::moment::Moment;
use crate::placement::Placement;
use crate::workers::{Report, StopTask, TaskAttempt, TaskReport, TaskState};

/// The longest delay after a failure, as a multiple of the first.
const MAX_DELAY_FACTOR: u32 = 64;
/// The delay of a task after the second attempt in a row that was lost with its worker.
const LOSS_DELAY: Duration = Duration::from_secs(5);

impl Ledger {
    /// Applies a worker's report, which answers the call with this number.
    pub fn on_report(
        &mut self,
        worker: WorkerKey,
        number: u64,
        report: &Report,
        placement: &mut Placement,
        now: Moment,
    ) {
        let reported: HashMap<TaskAttempt, &TaskReport> = report
            .tasks
            .iter()
            .map(|each| (reported_attempt(each), each))
            .collect();
        let placed: BTreeSet<TaskKey> = self.placed.get(&worker).cloned().unwrap_or_default();
        let mut matched = BTreeSet::new();
        let former = self.boots.insert(worker, report.boot);
        let restarted = former.is_some_and(|boot| boot != report.boot);
        for key in placed {
            if let Some(attempt) = self.placed_attempt(key)
                && let Some(found) = reported.get(&attempt)
            {
                matched.insert(found.task);
                let refused = found.state == TaskState::Refused;
                if refused && restarted && self.was_sent_before(key, number) {
                    // The former process may have started the attempt.
                    self.on_absent(key, placement, now);
                } else {
                    self.on_task_report(key, found, placement, now);
                }
            } else if !restarted && self.was_withheld(worker, key, number) {
                self.withdraw(key, placement, now);
            } else if self.must_be_reported(key, number) {
                self.on_absent(key, placement, now);
            }
        }
        for each in &report.tasks {
            if !matched.contains(&each.task) {
                self.on_unplaced(worker, each, placement, now);
            }
        }
        self.queue_commands(worker, report);
        if let Some(name) = placement.get(worker).map(|worker| worker.name.clone()) {
            self.record_reported(&name);
        }
    }

    fn record_reported(&mut self, name: &str) {
        if self.unreported.remove(name) && self.unreported.is_empty() {
            self.end_cancelled();
        }
    }

    /// Ends the waiting tasks of cancelled jobs. Called when every worker has
    /// reported, so that none of these tasks can still run.
    pub(super) fn end_cancelled(&mut self) {
        let cancelled = self.jobs.values().filter(|job| job.cancelled);
        let keys: Vec<TaskKey> = cancelled.flat_map(|job| job.tasks.clone()).collect();
        for key in keys {
            if self.tasks[key].is_waiting() {
                self.end_task(key, Outcome::Cancelled);
            }
        }
    }

    fn placed_attempt(&self, key: TaskKey) -> Option<TaskAttempt> {
        let task = &self.tasks[key];
        match task.stage {
            TaskStage::Placed { attempt, .. } => Some(TaskAttempt {
                task: task.id,
                attempt,
            }),
            _ => None,
        }
    }

    /// Whether the report for this call must contain the task if the worker has it.
    fn must_be_reported(&self, key: TaskKey, number: u64) -> bool {
        match self.tasks[key].stage {
            TaskStage::Placed {
                sent_call,
                seen,
                stop,
                ..
            } => seen || sent_call.is_some_and(|sent| sent <= number) || stop.is_some(),
            _ => false,
        }
    }

    /// Whether a call before the one with this number carried the start of the task.
    fn was_sent_before(&self, key: TaskKey, number: u64) -> bool {
        match self.tasks[key].stage {
            TaskStage::Placed { sent_call, .. } => sent_call.is_some_and(|sent| sent < number),
            _ => false,
        }
    }

    /// Whether the call with this number left out a start that earlier calls carried and
    /// that no report has confirmed. If the report for this call does not contain the
    /// attempt either, the worker never starts it: it refuses the earlier calls from now
    /// on, because their numbers are lower.
    fn was_withheld(&self, worker: WorkerKey, key: TaskKey, number: u64) -> bool {
        let withheld = self.withheld.get(&worker) == Some(&number);
        match self.tasks[key].stage {
            TaskStage::Placed {
                sent_call: Some(sent),
                seen: false,
                stop: None,
                ..
            } => withheld && sent < number,
            _ => false,
        }
    }

    fn on_task_report(
        &mut self,
        key: TaskKey,
        report: &TaskReport,
        placement: &mut Placement,
        now: Moment,
    ) {
        let worker = self.tasks[key].worker();
        if report.state == TaskState::Running {
            if let TaskStage::Placed { seen, .. } = &mut self.tasks[key].stage {
                *seen = true;
            }
            // The checkpoint includes the work that the attempt resumed from, `ran_ms` does not.
            let task = &mut self.tasks[key];
            task.unsaved_work = (task.checkpoint + report.ran_ms).saturating_sub(report.checkpoint);
            return;
        }
        let stop = match self.tasks[key].stage {
            TaskStage::Placed { stop, .. } => stop,
            _ => None,
        };
        self.release(key, placement);
        if let Some(worker) = worker.and_then(|worker| placement.get_mut(worker)) {
            match report.state {
                TaskState::Finished => worker.record_success(),
                TaskState::Failed => worker.record_failure(now),
                TaskState::Running | TaskState::Stopped | TaskState::Refused => {
                    worker.end_probe(now);
                }
            }
        }
        self.on_attempt_ended(key, report, worker, stop, placement, now);
    }

    /// Ends a task after an attempt, or queues it for another one.
    fn on_attempt_ended(
        &mut self,
        key: TaskKey,
        report: &TaskReport,
        worker: Option<WorkerKey>,
        stop: Option<StopReason>,
        placement: &mut Placement,
        now: Moment,
    ) {
        let job = &self.jobs[self.tasks[key].job];
        let idempotent = job.record.idempotent;
        self.tasks[key].losses = 0;
        match (report.state, stop) {
            (TaskState::Running, _) => {}
            (TaskState::Finished, _) => {
                let record = &job.record;
                placement.estimates.add(
                    &record.team,
                    &record.class,
                    record.duration,
                    report.ran_ms + self.tasks[key].checkpoint,
                    record.size,
                    report.used,
                );
                self.end_task(key, Outcome::Finished);
            }
            (_, Some(StopReason::Cancelled)) => self.end_task(key, Outcome::Cancelled),
            (TaskState::Failed, _) => self.on_failure(key, report, worker, now),
            (TaskState::Refused, _) => {
                self.tasks[key].intent_logged = false;
                self.enqueue(key);
            }
            (TaskState::Stopped, _) if !idempotent => self.end_task(key, Outcome::Unknown),
            (TaskState::Stopped, stop) => {
                self.save(key, report.checkpoint);
                let reason = match stop {
                    Some(_) => RetryReason::TaskEvicted,
                    None => RetryReason::TaskLost,
                };
                self.evicted += u64::from(stop.is_some());
                self.retries.push(reason);
                self.enqueue(key);
            }
        }
    }

    fn save(&mut self, key: TaskKey, checkpoint: u64) {
        let task = &self.tasks[key];
        if checkpoint > task.checkpoint {
            let task = task.id;
            self.changes.push(Change::Saved { task, checkpoint });
            self.raise_checkpoint(key, checkpoint);
        }
    }

    fn on_failure(
        &mut self,
        key: TaskKey,
        report: &TaskReport,
        worker: Option<WorkerKey>,
        now: Moment,
    ) {
        let record = &self.jobs[self.tasks[key].job].record;
        let (max_failures, idempotent) = (record.attempts, record.idempotent);
        let task = &mut self.tasks[key];
        if task.last_failed != Some(report.attempt) {
            task.last_failed = Some(report.attempt);
            task.failures += 1;
            task.avoid = worker;
        }
        let failures = task.failures;
        if failures >= max_failures || !idempotent {
            self.end_task(key, Outcome::Failed);
            return;
        }
        self.retries.push(RetryReason::TaskFailed);
        self.delay(key, self.settings.retry_delay, failures - 1, now);
    }

    /// Handles a task that its worker does not report: the worker restarted or has
    /// been silent for the recovery delay, or the task was stopped before its start
    /// was sent. Also handles one whose earlier start the worker's former process may
    /// have carried out.
    pub(super) fn on_absent(&mut self, key: TaskKey, placement: &mut Placement, now: Moment) {
        let (stop, sent) = match self.tasks[key].stage {
            TaskStage::Placed {
                stop,
                sent_call,
                seen,
                ..
            } => (stop, seen || sent_call.is_some()),
            _ => return,
        };
        let worker = self.tasks[key].worker();
        self.release(key, placement);
        if let Some(worker) = worker.and_then(|worker| placement.get_mut(worker)) {
            worker.end_probe(now);
        }
        match (stop, sent) {
            (Some(StopReason::Cancelled), _) => self.end_task(key, Outcome::Cancelled),
            (_, false) => {
                self.tasks[key].intent_logged = false;
                self.enqueue(key);
            }
            (_, true) => self.on_lost(key, now),
        }
    }

    /// Handles an attempt that was lost with its worker. After the second loss in a row the
    /// task waits, each time twice as long, as it may be what ends the workers.
    fn on_lost(&mut self, key: TaskKey, now: Moment) {
        if !self.jobs[self.tasks[key].job].record.idempotent {
            self.end_task(key, Outcome::Unknown);
            return;
        }
        self.retries.push(RetryReason::TaskLost);
        self.tasks[key].losses += 1;
        match self.tasks[key].losses.checked_sub(2) {
            None => self.enqueue(key),
            Some(earlier) => self.delay(key, LOSS_DELAY, earlier, now),
        }
    }

    /// Lets a task wait for `delay`, doubled `doublings` times.
    fn delay(&mut self, key: TaskKey, delay: Duration, doublings: u32, now: Moment) {
        self.dequeue(key);
        let factor = 1_u32.checked_shl(doublings).unwrap_or(MAX_DELAY_FACTOR);
        let until = now + delay * factor.min(MAX_DELAY_FACTOR);
        self.tasks[key].stage = TaskStage::Delayed { until };
        self.delayed.insert(DelayedTask { until, task: key });
    }

    /// Handles an attempt that this ledger does not count on the worker: a former
    /// owner placed it, or this ledger has already treated it as lost.
    fn on_unplaced(
        &mut self,
        worker: WorkerKey,
        report: &TaskReport,
        placement: &mut Placement,
        now: Moment,
    ) {
        let Some(key) = self.task_key(report.task) else {
            return;
        };
        if !self.tasks[key].is_waiting() {
            return;
        }
        if report.state == TaskState::Running {
            self.adopt(key, worker, report, placement);
            return;
        }
        let counted = self.tasks[key].last_failed == Some(report.attempt);
        let stopped = report.state == TaskState::Stopped;
        let refused = report.state == TaskState::Refused;
        let idempotent = self.jobs[self.tasks[key].job].record.idempotent;
        if counted || refused {
            return;
        }
        if stopped && idempotent {
            self.save(key, report.checkpoint);
            return;
        }
        self.dequeue(key);
        self.on_attempt_ended(key, report, Some(worker), None, placement, now);
    }

    /// Counts a running attempt of a former owner as placed, and stops it if its
    /// job is cancelled.
    fn adopt(
        &mut self,
        key: TaskKey,
        worker: WorkerKey,
        report: &TaskReport,
        placement: &mut Placement,
    ) {
        self.dequeue(key);
        let job = &self.jobs[self.tasks[key].job];
        placement.adopt(worker, job.record.size);
        let stage = TaskStage::Placed {
            worker,
            attempt: report.attempt,
            sent_call: None,
            seen: true,
            stop: job.cancelled.then_some(StopReason::Cancelled),
        };
        self.set_placed(key, worker, stage);
    }

    /// Queues commands that stop attempts which the ledger does not count on the
    /// worker, and that forget ended attempts once their end and their checkpoint are logged.
    fn queue_commands(&mut self, worker: WorkerKey, report: &Report) {
        let mut queued = QueuedCommands::default();
        for each in &report.tasks {
            let reported = reported_attempt(each);
            let task = self.task_key(each.task).map(|key| &self.tasks[key]);
            let placed_here = match task.map(|task| task.stage) {
                Some(TaskStage::Placed {
                    worker: on,
                    attempt,
                    ..
                }) => on == worker && attempt == each.attempt,
                _ => false,
            };
            let unlogged = task.is_some_and(Task::is_unlogged);
            match each.state.is_ended() {
                true if !unlogged => queued.forget.push(reported),
                false if !placed_here => queued.stops.push(StopTask {
                    task: reported.task,
                    attempt: reported.attempt,
                }),
                _ => {}
            }
        }
        self.queued.insert(worker, queued);
    }
}

fn reported_attempt(report: &TaskReport) -> TaskAttempt {
    TaskAttempt {
        task: report.task,
        attempt: report.attempt,
    }
}
