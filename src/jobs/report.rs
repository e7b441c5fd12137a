//! What follows from a worker's report.

use std::collections::{BTreeSet, HashMap};

use super::change::{Change, Outcome};
use super::ledger::{DelayedTask, Ledger};
use super::run::Orders;
use super::task::{StopReason, TaskStage};
use crate::ids::{TaskKey, WorkerKey};
use crate::kind::RetryReason;
use crate::moment::Moment;
use crate::placement::Placement;
use crate::workers::{Report, StopTask, TaskAttempt, TaskReport, TaskState};

/// The longest wait after a failure, as a multiple of the first.
const MOST_DELAYS: u32 = 64;

impl Ledger {
    /// Takes a worker's answer to the call with this number.
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
            .map(|each| (running_key(each), each))
            .collect();
        let placed: BTreeSet<TaskKey> = self.placed.get(&worker).cloned().unwrap_or_default();
        let mut matched = BTreeSet::new();
        for key in placed {
            if let Some(running) = self.running_key(key)
                && let Some(state) = reported.get(&running)
            {
                matched.insert(state.task);
                self.on_state(key, state, placement, now);
            } else if self.was_told(key, number) {
                self.on_absent(key, placement);
            }
        }
        for each in &report.tasks {
            if !matched.contains(&each.task) {
                self.on_unplaced(worker, each, placement, now);
            }
        }
        self.gather_orders(worker, report);
        if let Some(name) = placement.get(worker).map(|worker| worker.name.clone()) {
            self.note_asked(&name);
        }
    }

    fn note_asked(&mut self, name: &str) {
        if self.unasked.remove(name) && self.unasked.is_empty() {
            self.end_cancelled();
        }
    }

    /// Ends the waiting tasks of cancelled jobs once it is sure that none runs.
    fn end_cancelled(&mut self) {
        let cancelled = self.jobs.values().filter(|job| job.cancelled);
        let keys: Vec<TaskKey> = cancelled.flat_map(|job| job.tasks.clone()).collect();
        for key in keys {
            if self.tasks[key].is_waiting() {
                self.end_task(key, Outcome::Cancelled);
            }
        }
    }

    fn running_key(&self, key: TaskKey) -> Option<TaskAttempt> {
        let task = &self.tasks[key];
        match task.stage {
            TaskStage::Placed { attempt, .. } => Some(TaskAttempt {
                task: task.id,
                attempt,
            }),
            _ => None,
        }
    }

    /// Whether a report for this call must show the task if the worker has it.
    fn was_told(&self, key: TaskKey, number: u64) -> bool {
        match self.tasks[key].stage {
            TaskStage::Placed {
                told, seen, stop, ..
            } => seen || told.is_some_and(|told| told <= number) || stop.is_some(),
            _ => false,
        }
    }

    fn on_state(
        &mut self,
        key: TaskKey,
        state: &TaskReport,
        placement: &mut Placement,
        now: Moment,
    ) {
        let worker = self.tasks[key].worker();
        if state.state == TaskState::Running {
            if let TaskStage::Placed { seen, .. } = &mut self.tasks[key].stage {
                *seen = true;
            }
            self.tasks[key].loss = state.ran_ms.saturating_sub(state.checkpoint);
            return;
        }
        let stop = match self.tasks[key].stage {
            TaskStage::Placed { stop, .. } => stop,
            _ => None,
        };
        self.release(key, placement);
        if let Some(worker) = worker.and_then(|worker| placement.get_mut(worker)) {
            match state.state {
                TaskState::Finished => worker.note_success(),
                TaskState::Failed => worker.note_failure(now),
                TaskState::Running | TaskState::Stopped | TaskState::Refused => {
                    worker.end_probe(now);
                }
            }
        }
        self.settle(key, state, worker, stop, placement, now);
    }

    /// Decides what follows from the end of an attempt.
    fn settle(
        &mut self,
        key: TaskKey,
        state: &TaskReport,
        worker: Option<WorkerKey>,
        stop: Option<StopReason>,
        placement: &mut Placement,
        now: Moment,
    ) {
        let job = &self.jobs[self.tasks[key].job];
        let idempotent = job.record.idempotent;
        match (state.state, stop) {
            (TaskState::Running, _) => {}
            (TaskState::Finished, _) => {
                let record = &job.record;
                placement.estimates.add(
                    &record.team,
                    &record.class,
                    record.duration,
                    state.ran_ms + self.tasks[key].checkpoint,
                    record.size,
                    state.used,
                );
                self.end_task(key, Outcome::Finished);
            }
            (_, Some(StopReason::Cancelled)) => self.end_task(key, Outcome::Cancelled),
            (TaskState::Failed, _) => self.on_failure(key, state, worker, now),
            (TaskState::Refused, _) => {
                self.tasks[key].intended = false;
                self.enqueue(key);
            }
            (TaskState::Stopped, _) if !idempotent => self.end_task(key, Outcome::Unknown),
            (TaskState::Stopped, stop) => {
                self.save(key, state.checkpoint);
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
        state: &TaskReport,
        worker: Option<WorkerKey>,
        now: Moment,
    ) {
        let record = &self.jobs[self.tasks[key].job].record;
        let (most, idempotent) = (record.attempts, record.idempotent);
        let task = &mut self.tasks[key];
        if task.failed != Some(state.attempt) {
            task.failed = Some(state.attempt);
            task.failures += 1;
            task.avoid = worker;
        }
        let failures = task.failures;
        if failures >= most || !idempotent {
            self.end_task(key, Outcome::Failed);
            return;
        }
        self.retries.push(RetryReason::TaskFailed);
        self.dequeue(key);
        let factor = 1_u32.checked_shl(failures - 1).unwrap_or(MOST_DELAYS);
        let until = now + self.settings.delay * factor.min(MOST_DELAYS);
        self.tasks[key].stage = TaskStage::Delayed { until };
        self.delayed.insert(DelayedTask { until, task: key });
    }

    /// A task that its worker does not know: the worker restarted, or the task
    /// was called back before the worker was told.
    pub(super) fn on_absent(&mut self, key: TaskKey, placement: &mut Placement) {
        let (stop, told) = match self.tasks[key].stage {
            TaskStage::Placed {
                stop, told, seen, ..
            } => (stop, seen || told.is_some()),
            _ => return,
        };
        self.release(key, placement);
        match (stop, told) {
            (Some(StopReason::Cancelled), _) => self.end_task(key, Outcome::Cancelled),
            (_, false) => {
                self.tasks[key].intended = false;
                self.enqueue(key);
            }
            (_, true) => self.lose(key),
        }
    }

    fn lose(&mut self, key: TaskKey) {
        if !self.jobs[self.tasks[key].job].record.idempotent {
            self.end_task(key, Outcome::Unknown);
            return;
        }
        self.retries.push(RetryReason::TaskLost);
        self.enqueue(key);
    }

    /// An attempt that this ledger did not place here: a former owner did, or
    /// it was given up.
    fn on_unplaced(
        &mut self,
        worker: WorkerKey,
        state: &TaskReport,
        placement: &mut Placement,
        now: Moment,
    ) {
        let Some(key) = self.task_key(state.task) else {
            return;
        };
        if !self.tasks[key].is_waiting() {
            return;
        }
        if state.state == TaskState::Running {
            self.adopt(key, worker, state, placement);
            return;
        }
        let counted = self.tasks[key].failed == Some(state.attempt);
        let stopped = state.state == TaskState::Stopped;
        let refused = state.state == TaskState::Refused;
        let idempotent = self.jobs[self.tasks[key].job].record.idempotent;
        if counted || refused {
            return;
        }
        if stopped && idempotent {
            self.save(key, state.checkpoint);
            return;
        }
        self.dequeue(key);
        self.settle(key, state, Some(worker), None, placement, now);
    }

    /// Takes over a running attempt of a former owner.
    fn adopt(
        &mut self,
        key: TaskKey,
        worker: WorkerKey,
        state: &TaskReport,
        placement: &mut Placement,
    ) {
        self.dequeue(key);
        let job = &self.jobs[self.tasks[key].job];
        placement.take_room(worker, job.record.size);
        let stage = TaskStage::Placed {
            worker,
            attempt: state.attempt,
            told: None,
            seen: true,
            stop: job.cancelled.then_some(StopReason::Cancelled),
        };
        self.set_placed(key, worker, stage);
    }

    /// Attempts that are not wanted are stopped; ended ones are forgotten once
    /// the log holds their end.
    fn gather_orders(&mut self, worker: WorkerKey, report: &Report) {
        let mut orders = Orders::default();
        for state in &report.tasks {
            let key = running_key(state);
            let stage = self.task_key(state.task).map(|key| self.tasks[key].stage);
            let here = match stage {
                Some(TaskStage::Placed {
                    worker: on,
                    attempt,
                    ..
                }) => on == worker && attempt == state.attempt,
                _ => false,
            };
            let ending = matches!(stage, Some(TaskStage::Ending { .. }));
            match state.state.is_ended() {
                true if !ending => orders.forget.push(key),
                false if !here => orders.stops.push(StopTask {
                    task: key.task,
                    attempt: key.attempt,
                }),
                _ => {}
            }
        }
        self.orders.insert(worker, orders);
    }
}

fn running_key(state: &TaskReport) -> TaskAttempt {
    TaskAttempt {
        task: state.task,
        attempt: state.attempt,
    }
}
