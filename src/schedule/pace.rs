//! Slows filling tasks down where serving tasks suffer from them.

use std::time::Duration;

use super::{Note, Order, Scheduler};
use crate::fleet::{Look, StopOrder, WorkerKey};
use crate::moment::Moment;
use crate::workflow::{FULL_SPEED, Stage, TaskKey};

/// A change shows in the reports after this time.
const SETTLES: Duration = Duration::from_millis(700);
/// The tail against its target, in percent, at which filling tasks are slowed.
const HARMED: u32 = 90;
/// The tail against its target, in percent, below which they are speeded up.
const RELAXED: u32 = 65;
/// Below this share of its speed a filling task is paused.
const SLOWEST_PACE: u8 = 20;
/// By how much the share rises at a time, in percent.
const RISE: u8 = 25;

impl Scheduler {
    /// Takes in the tails that a worker reports, and changes the pace of its
    /// filling tasks.
    pub(super) fn adjust_pace(&mut self, key: WorkerKey, look: &Look, now: Moment) {
        let strain = self.strain(look);
        let worker = &mut self.workers[key];
        worker.strain = strain;
        if now - worker.paced < SETTLES {
            return;
        }
        let pace = next_pace(worker.pace, strain);
        if pace == worker.pace {
            return;
        }
        worker.pace = pace;
        worker.paced = now;
        let worker_name = worker.entry.id.clone();
        self.note(Note::Paced {
            worker: worker_name,
            strain,
            percent: pace,
        });
        for task in self.filling_tasks(key) {
            self.ledger.tasks[task].pace = pace;
            let order = self.stop_order(task);
            self.order(key, Order::Pace(order, pace));
        }
    }

    /// The worst tail against its target, in percent.
    fn strain(&self, look: &Look) -> u32 {
        let ratios = look.running.iter().filter_map(|run| {
            let task = self.ledger.find_task(run.task)?;
            let flow = self.ledger.flows.get(self.ledger.tasks[task].flow)?;
            let target = flow.step(run.task).tail_target?.as_millis() as u32;
            Some(run.figure * 100 / target.max(1))
        });
        ratios.max().unwrap_or_default()
    }

    fn filling_tasks(&self, key: WorkerKey) -> Vec<TaskKey> {
        let tasks = self.workers[key].tasks.values().copied();
        let filling = tasks.filter(|task| {
            let task = &self.ledger.tasks[*task];
            let flow = self.ledger.flows.get(task.flow);
            task.stage == Stage::Running(key) && flow.is_some_and(|flow| flow.step(task.name).fills)
        });
        filling.collect()
    }

    /// Names the current run of a task.
    pub(super) fn stop_order(&self, task: TaskKey) -> StopOrder {
        let task = &self.ledger.tasks[task];
        StopOrder {
            task: task.name,
            run: task.run,
            fence: self.term.fence,
        }
    }
}

fn next_pace(pace: u8, strain: u32) -> u8 {
    if strain > HARMED {
        let halved = pace / 2;
        return if halved < SLOWEST_PACE { 0 } else { halved };
    }
    if strain < RELAXED {
        return (pace + RISE).min(FULL_SPEED);
    }
    pace
}
