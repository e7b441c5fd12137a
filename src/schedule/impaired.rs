//! Finds workers that answer while what they run stands still or crawls, and
//! moves their tasks elsewhere.

use std::time::Duration;

use super::Scheduler;
use crate::fleet::{LiveRun, WorkerKey, WorkerReport};
use crate::moment::Moment;
use crate::workflow::{FULL_SPEED, Stage, TaskKey};

/// If no serving task's tail is below this, in percent of its target, the
/// worker itself is the cause: neighbours add far less.
const IMPAIRED_TAIL: u32 = 2000;
/// How long an impaired worker gets no tasks after its last bad report.
const AVOIDED: Duration = Duration::from_secs(3);
/// A run at full speed that reports no progress for this long stands still.
const STANDS_STILL: Duration = Duration::from_millis(1600);
/// The same as a part of the estimate: progress is reported in whole percents.
const STANDS_STILL_PART: u32 = 20;
/// So many runs that stand still speak against their worker.
const STILL_RUNS: usize = 2;
/// Runs that are further than this, in percent, are left to end on a slow worker.
const NEARLY_DONE: u8 = 75;
/// How many lasting tasks are moved away at a time.
const MOVED_AT_ONCE: usize = 2;

impl Scheduler {
    /// Whether a report shows that the worker itself is impaired. If so, new
    /// tasks avoid it and its tasks are moved.
    pub(super) fn check_worker(
        &mut self,
        key: WorkerKey,
        look: &WorkerReport,
        now: Moment,
    ) -> bool {
        let still = self.standing_still(key, look, now);
        let impaired = still.len() >= STILL_RUNS || self.has_impaired_tails(look);
        for task in still {
            self.stop(task, "it makes no progress", now);
        }
        if impaired {
            self.avoid(key, now);
            self.relieve(key, look, now);
        }
        impaired
    }

    fn has_impaired_tails(&self, look: &WorkerReport) -> bool {
        let tails = look.running.iter().filter_map(|run| self.tail_percent(run));
        tails.min().is_some_and(|lowest| lowest >= IMPAIRED_TAIL)
    }

    fn tail_percent(&self, run: &LiveRun) -> Option<u32> {
        let task = self.ledger.find_task(run.task)?;
        self.step_of(task).tail_percent(run.measurement)
    }

    /// Notes the progress of all runs. Returns those that make none.
    fn standing_still(&mut self, key: WorkerKey, look: &WorkerReport, now: Moment) -> Vec<TaskKey> {
        let mut still = Vec::new();
        for run in &look.running {
            let Some(task) = self.ledger.find_task(run.task) else {
                continue;
            };
            let step = self.step_of(task);
            let (lasting, patience) = (step.long_running, step.estimate / STANDS_STILL_PART);
            let known = &mut self.ledger.tasks[task];
            let moves = known.progress.record(run.run, run.progress, now);
            let waits = now - moves >= STANDS_STILL.max(patience);
            let able = known.speed == FULL_SPEED && run.measurement > 0;
            if waits && able && !lasting && known.stage == Stage::Running(key) {
                still.push(task);
            }
        }
        still
    }

    fn avoid(&mut self, key: WorkerKey, now: Moment) {
        let worker = &mut self.workers[key];
        let known = worker.avoided_until.is_some_and(|until| now < until);
        worker.avoided_until = Some(now + AVOIDED);
        if !known {
            self.note_worker(key, "impaired: what it runs stands still or crawls");
        }
    }

    /// Moves tasks away from an impaired worker: those that have much left to
    /// do, and lasting ones for which there is room elsewhere.
    fn relieve(&mut self, key: WorkerKey, look: &WorkerReport, now: Moment) {
        let mut moved = 0;
        for run in &look.running {
            let Some(task) = self.ledger.find_task(run.task) else {
                continue;
            };
            if self.ledger.tasks[task].stage != Stage::Running(key) {
                continue;
            }
            let step = self.step_of(task);
            if !step.long_running {
                if !step.gang && run.progress < NEARLY_DONE {
                    self.stop(task, "its worker is impaired", now);
                }
            } else if moved < MOVED_AT_ONCE && self.may_move(task, now) {
                moved += 1;
                self.stop(task, "its worker is impaired", now);
            }
        }
    }

    /// Whether a lasting task has room elsewhere and its step bears its absence.
    fn may_move(&self, task: TaskKey, now: Moment) -> bool {
        let step = self.step_of(task);
        let members = self.members(task);
        let running =
            |task: &&TaskKey| matches!(self.ledger.tasks[**task].stage, Stage::Running(_));
        let away = members.len() - members.iter().filter(running).count();
        let bearable = step.may_miss == 0 || away < step.may_miss as usize;
        bearable && !step.gang && self.choose_for(task, now).is_some()
    }
}
