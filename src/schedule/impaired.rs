//! Detects workers that answer although their runs are stalled or slow, and
//! moves their tasks elsewhere.

use std::time::Duration;

use super::Scheduler;
use super::placement::Tolerance;
use crate::fleet::{LiveRun, WorkerKey, WorkerReport};
use crate::moment::Moment;
use crate::workflow::{FULL_SPEED, Stage, TaskKey};

/// The tail, in percent of its target, that shows an impaired worker if all
/// serving tasks there reach it. Interference from neighbours adds far less.
const IMPAIRED_TAIL_PERCENT: u32 = 2000;
/// How long new tasks avoid an impaired worker after its last bad report.
const AVOIDANCE_PERIOD: Duration = Duration::from_secs(3);
/// A run at full speed is stalled if it reports no progress for this long.
const STALL_TIMEOUT: Duration = Duration::from_millis(1600);
/// The stall timeout is at least the estimate divided by this, as progress is
/// reported in whole percents.
const STALL_DIVISOR: u32 = 20;
/// A run that uses more of the processors that it asks for than this, in percent, is not
/// slowed down by an order of a former owner.
const MAX_SLOW_PERCENT: u8 = 50;
/// The number of stalled runs at which their worker counts as impaired.
const STALLED_RUN_LIMIT: usize = 2;
/// Runs with at least this progress, in percent, finish on an impaired worker
/// instead of being moved.
const NEARLY_DONE_PERCENT: u8 = 75;
/// The largest number of long-running tasks that are moved after one report.
const MAX_MOVES: usize = 2;

impl Scheduler {
    /// Stops the stalled runs of a report. Returns whether the report shows that
    /// the worker itself is impaired; if so, new tasks avoid it and its tasks are
    /// moved. The reports of a cold worker show neither: it becomes fast by itself.
    pub(super) fn check_worker(
        &mut self,
        key: WorkerKey,
        report: &WorkerReport,
        now: Moment,
    ) -> bool {
        let stalled = self.stalled_tasks(key, report, now);
        if self.workers[key].is_cold(now) {
            return false;
        }
        let impaired = stalled.len() >= STALLED_RUN_LIMIT || self.has_impaired_tails(report);
        for task in stalled {
            self.stop(task, "it makes no progress", now);
        }
        if impaired {
            self.avoid(key, now);
            self.move_tasks(key, report, now);
        }
        impaired
    }

    fn has_impaired_tails(&self, report: &WorkerReport) -> bool {
        let tails = report
            .running
            .iter()
            .filter_map(|run| self.tail_percent(run));
        tails
            .min()
            .is_some_and(|lowest| lowest >= IMPAIRED_TAIL_PERCENT)
    }

    fn tail_percent(&self, run: &LiveRun) -> Option<u32> {
        let task = self.ledger.find_task(run.task)?;
        self.step_of(task).tail_percent(run.measurement)
    }

    /// Records the progress of all reported runs. Returns the tasks whose runs are
    /// stalled.
    fn stalled_tasks(
        &mut self,
        key: WorkerKey,
        report: &WorkerReport,
        now: Moment,
    ) -> Vec<TaskKey> {
        let cold_until = self.workers[key].cold_until;
        let mut stalled = Vec::new();
        for run in &report.running {
            let Some(task) = self.ledger.find_task(run.task) else {
                continue;
            };
            let step = self.step_of(task);
            let (long_running, timeout) = (step.long_running, step.estimate / STALL_DIVISOR);
            let fast = run.measurement > step.need.at_speed(MAX_SLOW_PERCENT);
            let known = &mut self.ledger.tasks[task];
            known.speed_unknown &= !fast;
            let progressed = known.progress.record(run.run, run.progress, now);
            // A run may make no progress for long while its worker is cold.
            let since = progressed.max(cold_until);
            let stalls = now - since >= STALL_TIMEOUT.max(timeout);
            let full_speed = known.speed == FULL_SPEED && !known.speed_unknown;
            let can_progress = full_speed && run.measurement > 0;
            if stalls && can_progress && !long_running && known.stage == Stage::Running(key) {
                stalled.push(task);
            }
        }
        stalled
    }

    fn avoid(&mut self, key: WorkerKey, now: Moment) {
        let worker = &mut self.workers[key];
        let known = worker.avoided_until.is_some_and(|until| now < until);
        worker.avoided_until = Some(now + AVOIDANCE_PERIOD);
        if !known {
            self.record_worker_change(key, "impaired: its runs are stalled or slow");
        }
    }

    /// Moves tasks away from an impaired worker: those that are not nearly done,
    /// and long-running ones that another worker has capacity for.
    fn move_tasks(&mut self, key: WorkerKey, report: &WorkerReport, now: Moment) {
        let mut moved = 0;
        for run in &report.running {
            let Some(task) = self.ledger.find_task(run.task) else {
                continue;
            };
            if self.ledger.tasks[task].stage != Stage::Running(key) {
                continue;
            }
            let step = self.step_of(task);
            if !step.long_running {
                if !step.gang && run.progress < NEARLY_DONE_PERCENT {
                    self.stop(task, "its worker is impaired", now);
                }
            } else if moved < MAX_MOVES && self.may_move(task, now) {
                moved += 1;
                self.stop(task, "its worker is impaired", now);
            }
        }
    }

    /// Whether another worker can take a long-running task, and its step allows
    /// one more task to be interrupted.
    fn may_move(&self, task: TaskKey, now: Moment) -> bool {
        let step = self.step_of(task);
        let members = self.members(task);
        let running =
            |task: &&TaskKey| matches!(self.ledger.tasks[**task].stage, Stage::Running(_));
        let down = members.len() - members.iter().filter(running).count();
        let tolerable = step.may_miss == 0 || down < step.may_miss as usize;
        if !tolerable || step.gang {
            return false;
        }
        let open = self.open_workers(now);
        self.choose_for(task, &open, Tolerance::NONE, now).is_some()
    }
}
