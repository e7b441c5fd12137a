//! Slows filling tasks down where serving tasks suffer from them.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Note, Order, Scheduler};
use crate::fleet::{LiveRun, StopOrder, WorkerKey, WorkerReport};
use crate::interference::{ImageKey, Neighbour, Observation, Tail};
use crate::moment::Moment;
use crate::workflow::{FULL_SPEED, Stage, Step, TaskKey};

/// A change of pace shows in the reports after this time.
const SETTLES: Duration = Duration::from_millis(700);
/// A tail over its target for this long stops all filling tasks beside it,
/// whichever is the cause.
const ALARM: Duration = Duration::from_millis(1200);
/// Reports cover this time; evidence is taken once in it.
const REPORT_SPAN: Duration = Duration::from_millis(500);
/// Below this share of its speed a filling task is paused.
const SLOWEST_PACE: u8 = 25;
/// By how much the share rises at a time, in percent.
const RISE: u8 = 25;

/// A task that a worker reports, with its step.
struct Reported<'a> {
    run: &'a LiveRun,
    task: TaskKey,
    image: ImageKey,
    step: Step,
}

impl Scheduler {
    /// Learns from the tails that a worker reports, and changes the pace of the
    /// filling tasks that disturb its serving ones.
    pub(super) fn adjust_pace(&mut self, key: WorkerKey, look: &WorkerReport, now: Moment) {
        if now - self.workers[key].observed < REPORT_SPAN {
            return;
        }
        self.workers[key].observed = now;
        let reported = self.reported(look);
        let neighbours = self.neighbours(key, &reported);
        let mut strained = Vec::new();
        let mut strain = 0;
        for row in &reported {
            let Some(percent) = row.step.tail_percent(row.run.measurement) else {
                continue;
            };
            strain = strain.max(percent);
            let baseline = self.baselines.entry(row.image).or_default();
            if neighbours.is_empty() {
                baseline.learn(percent);
            }
            let tail = baseline.classify(percent);
            self.pairs.learn(&Observation {
                serving: row.image,
                tail,
                neighbours: &neighbours,
            });
            if tail == Tail::OverTarget {
                strained.push(row.image);
            }
        }
        let worker = &mut self.workers[key];
        worker.worst_tail = strain;
        if strained.is_empty() {
            worker.on_target = now;
        } else {
            worker.over_target = Some(now);
        }
        self.pace_all(key, &reported, &strained, now);
    }

    /// Paces each filling task by whether it disturbs a strained neighbour.
    fn pace_all(
        &mut self,
        key: WorkerKey,
        rows: &[Reported<'_>],
        strained: &[ImageKey],
        now: Moment,
    ) {
        let alarm = now - self.workers[key].on_target >= ALARM;
        if !alarm && now - self.workers[key].throttled < SETTLES {
            return;
        }
        let mut changed = false;
        let mut moved = Vec::new();
        let filling = rows.iter().filter(|row| row.step.best_effort);
        for row in filling {
            let pace = self.ledger.tasks[row.task].speed;
            let harmful = |serving: &ImageKey| self.pairs.is_harmful(*serving, row.image);
            let harms = strained.iter().any(harmful);
            let running = self.ledger.tasks[row.task].stage == Stage::Running(key);
            if harms && running && row.step.checkpoints {
                moved.push(row.task);
                continue;
            }
            let next = if alarm { 0 } else { next_pace(pace, harms) };
            if next != pace && running {
                self.ledger.tasks[row.task].speed = next;
                let order = self.stop_order(row.task);
                self.order(key, Order::Pace(order, next));
                changed = true;
            }
        }
        for task in &moved {
            self.stop(*task, "it disturbs a serving task", now);
        }
        if changed || !moved.is_empty() {
            let worker = &mut self.workers[key];
            worker.throttled = now;
            let note = Note::Paced {
                worker: worker.entry.id.clone(),
                strain: worker.worst_tail,
            };
            self.note(note);
        }
    }

    fn reported<'a>(&mut self, look: &'a WorkerReport) -> Vec<Reported<'a>> {
        let mut rows = Vec::with_capacity(look.running.len());
        for run in &look.running {
            let Some(task) = self.ledger.find_task(run.task) else {
                continue;
            };
            let flow = &self.ledger.workflows[self.ledger.tasks[task].workflow];
            let step = flow.step(run.task).clone();
            let image = self.images.key(&step.image);
            rows.push(Reported {
                run,
                task,
                image,
                step,
            });
        }
        rows
    }

    /// The filling images among what a worker reports, with their shares.
    fn neighbours(&self, key: WorkerKey, reported: &[Reported<'_>]) -> Vec<Neighbour> {
        let whole = f64::from(self.workers[key].entry.capacity.millicores.max(1));
        let mut used: BTreeMap<ImageKey, u32> = BTreeMap::new();
        for row in reported.iter().filter(|row| row.step.best_effort) {
            *used.entry(row.image).or_default() += row.run.measurement;
        }
        let shares = used.into_iter().map(|(image, millicores)| Neighbour {
            image,
            share: f64::from(millicores) / whole,
        });
        shares.collect()
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

fn next_pace(pace: u8, harms: bool) -> u8 {
    if !harms {
        return (pace + RISE).min(FULL_SPEED);
    }
    let halved = pace / 2;
    if halved < SLOWEST_PACE { 0 } else { halved }
}
