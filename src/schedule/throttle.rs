//! Throttles best-effort tasks that interfere with serving tasks.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::{Event, Order, Scheduler};
use crate::fleet::{LiveRun, StopOrder, WorkerKey, WorkerReport};
use crate::interference::{ImageKey, Neighbour, Observation, Tail};
use crate::moment::Moment;
use crate::workflow::{FULL_SPEED, Stage, Step, Task, TaskKey, Workflow};

/// The time until a changed speed takes effect in the reports.
const THROTTLE_DELAY: Duration = Duration::from_millis(700);
/// A tail that is over its target for this long pauses all best-effort tasks on
/// the worker, whichever of them is the cause.
const ALARM_DELAY: Duration = Duration::from_millis(1200);
/// The time span that a report covers; one report in each span is evaluated.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// The interval at which the speed of a run that uses no processors is ordered again, as an
/// earlier order to pause it may have been carried out late.
const REPEAT_INTERVAL: Duration = Duration::from_secs(3);
/// The lowest speed of a best-effort task, in percent; below it the task is
/// paused.
const MIN_SPEED: u8 = 25;
/// The step by which the speed is raised, in percent of full speed.
const SPEED_STEP: u8 = 25;

/// A reported run with its task, image and job.
struct ReportedTask<'a> {
    run: &'a LiveRun,
    task: TaskKey,
    image: ImageKey,
    workflow: Arc<Workflow>,
}

impl ReportedTask<'_> {
    fn step(&self) -> &Step {
        &self.workflow.steps[self.run.task.step as usize]
    }
}

/// What is done with a best-effort run after a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Adjustment {
    /// Its speed stays as it is.
    Keep,
    /// It goes on at this speed, in percent of full speed.
    Speed(u8),
    /// It need not be slow any more.
    FullSpeed,
    /// It is stopped for this reason, to continue elsewhere.
    Stop(&'static str),
}

impl Scheduler {
    /// Updates the evidence for interference from the tails that a worker
    /// reports, and throttles the best-effort tasks that cause it.
    pub(super) fn adjust_speeds(&mut self, key: WorkerKey, report: &WorkerReport, now: Moment) {
        if now - self.workers[key].evaluated_at < REPORT_INTERVAL {
            return;
        }
        self.workers[key].evaluated_at = now;
        let reported = self.reported_tasks(report);
        let neighbours = self.neighbours(key, &reported);
        let alone = !reported.iter().any(|row| row.step().best_effort);
        // The tails of a cold worker are high, whatever runs there.
        let cold = self.workers[key].is_cold(now);
        let mut over_target = Vec::new();
        let mut worst_tail = 0;
        for row in &reported {
            let Some(percent) = row.step().tail_percent(row.run.measurement) else {
                continue;
            };
            worst_tail = worst_tail.max(percent);
            let baseline = self.baselines.entry(row.image).or_default();
            if alone && !cold {
                baseline.learn(percent);
            }
            let tail = baseline.classify(percent);
            if !cold {
                self.pairs.learn(&Observation {
                    serving: row.image,
                    tail,
                    neighbours: &neighbours,
                });
            }
            if tail == Tail::OverTarget {
                over_target.push(row.image);
            }
        }
        let worker = &mut self.workers[key];
        worker.worst_tail = worst_tail;
        if over_target.is_empty() {
            worker.on_target_at = now;
        } else {
            worker.over_target_at = Some(now);
        }
        self.throttle_tasks(key, &reported, &over_target, now);
    }

    /// Sets the speed of each best-effort task, by whether it interferes with a
    /// serving image that is over its target. Tasks that interfere and write
    /// checkpoints are stopped instead, so that they continue elsewhere; slow tasks
    /// only if another worker can run them at full speed.
    fn throttle_tasks(
        &mut self,
        key: WorkerKey,
        rows: &[ReportedTask<'_>],
        over_target: &[ImageKey],
        now: Moment,
    ) {
        let alarm = now - self.workers[key].on_target_at >= ALARM_DELAY;
        if !alarm && now - self.workers[key].throttled_at < THROTTLE_DELAY {
            return;
        }
        self.divide_slow_share(key);
        let running = rows.iter().filter(|row| {
            let stage = self.ledger.tasks[row.task].stage;
            row.step().best_effort && stage == Stage::Running(key)
        });
        let rows: Vec<&ReportedTask<'_>> = running.collect();
        let mut changed = false;
        for row in rows {
            let task = row.task;
            match self.adjustment(key, row, over_target, alarm, now) {
                Adjustment::Keep => continue,
                Adjustment::Speed(speed) => self.throttle(task, key, speed, now),
                Adjustment::FullSpeed => {
                    self.allow_speed(task, key, FULL_SPEED);
                    self.throttle(task, key, FULL_SPEED, now);
                }
                Adjustment::Stop(reason) => {
                    if self.is_slow(task) {
                        self.moved_at = now;
                    }
                    self.stop(task, reason, now);
                }
            }
            changed = true;
        }
        if changed {
            let worker = &mut self.workers[key];
            worker.throttled_at = now;
            let event = Event::Throttled {
                worker: worker.registration.id.clone(),
                worst_tail: worker.worst_tail,
            };
            self.record(event);
        }
    }

    /// Decides what is done with a best-effort run after a report.
    fn adjustment(
        &self,
        worker: WorkerKey,
        row: &ReportedTask<'_>,
        over_target: &[ImageKey],
        alarm: bool,
        now: Moment,
    ) -> Adjustment {
        let task = &self.ledger.tasks[row.task];
        let is_slow = task.allowed_speed < FULL_SPEED;
        let interferes_with = |serving: &ImageKey| self.pairs.is_harmful(*serving, row.image);
        let interferes = over_target.iter().any(interferes_with);
        if is_slow && self.can_speed_up(row.task, worker) {
            return Adjustment::FullSpeed;
        }
        if is_slow && row.step().checkpoints && self.can_move(row.task, worker, now) {
            return Adjustment::Stop("another worker can run it at full speed");
        }
        if row.step().checkpoints && !is_slow && interferes {
            return Adjustment::Stop("it interferes with a serving task");
        }
        let next = if alarm {
            0
        } else {
            next_speed(task.speed, interferes).min(task.allowed_speed)
        };
        if next == task.speed && !repeats(task, row, now) {
            Adjustment::Keep
        } else {
            Adjustment::Speed(next)
        }
    }

    /// Orders a worker to run a task at a speed, in percent of full speed.
    pub(super) fn throttle(&mut self, task: TaskKey, worker: WorkerKey, speed: u8, now: Moment) {
        let known = &mut self.ledger.tasks[task];
        known.speed = speed;
        known.speed_ordered = now;
        known.speed_pending = true;
        let order = self.stop_order(task);
        self.order(worker, Order::Throttle(order, speed));
    }

    /// Whether a queued throttle order is to be sent, which is then taken as done. Of the
    /// orders for one run that wait behind others only one is sent, with the newest speed,
    /// so that repeated ones do not hold up starts and stops.
    pub fn begin_throttle(
        &mut self,
        worker: WorkerKey,
        order: &StopOrder,
        speed: u8,
        now: Moment,
    ) -> bool {
        let Some(task) = self.ledger.find_task(order.task) else {
            return false;
        };
        let task = &mut self.ledger.tasks[task];
        let current = task.run == order.run && task.stage.worker() == Some(worker);
        let wanted = current && task.speed == speed && task.speed_pending;
        if wanted {
            task.speed_ordered = now;
            task.speed_pending = false;
        }
        wanted
    }

    fn reported_tasks<'a>(&mut self, report: &'a WorkerReport) -> Vec<ReportedTask<'a>> {
        let mut rows = Vec::with_capacity(report.running.len());
        for run in &report.running {
            let Some(task) = self.ledger.find_task(run.task) else {
                continue;
            };
            let workflow = &self.ledger.workflows[self.ledger.tasks[task].workflow];
            let image = self.images.key(&workflow.step(run.task).image);
            rows.push(ReportedTask {
                run,
                task,
                image,
                workflow: workflow.spec.clone(),
            });
        }
        rows
    }

    /// The best-effort images that a worker reports, each with its share of the
    /// worker's processors. Slow runs are left out: they use too little to say how the
    /// image behaves at full speed.
    fn neighbours(&self, key: WorkerKey, reported: &[ReportedTask<'_>]) -> Vec<Neighbour> {
        let whole = f64::from(self.workers[key].registration.capacity.millicores.max(1));
        let mut used: BTreeMap<ImageKey, u32> = BTreeMap::new();
        let full_speed =
            |row: &&ReportedTask<'_>| row.step().best_effort && !self.is_slow(row.task);
        for row in reported.iter().filter(full_speed) {
            *used.entry(row.image).or_default() += row.run.measurement;
        }
        let shares = used.into_iter().map(|(image, millicores)| Neighbour {
            image,
            share: f64::from(millicores) / whole,
        });
        shares.collect()
    }

    /// The stop order for the current run of a task; it also names the run in
    /// throttle orders.
    pub(super) fn stop_order(&self, task: TaskKey) -> StopOrder {
        let task = &self.ledger.tasks[task];
        let order = StopOrder {
            task: task.name,
            run: task.run,
            fence: self.fence,
        };
        match task.stage.worker() {
            Some(worker) => self.with_fence(worker, order),
            None => order,
        }
    }
}

/// Whether the speed of a run is ordered again, as the report shows that it is not in force.
/// An answer to the order does not show that it is: an older order without an answer may
/// have been carried out since.
fn repeats(task: &Task, row: &ReportedTask<'_>, now: Moment) -> bool {
    let (used, since_order) = (row.run.measurement, now - task.speed_ordered);
    if task.speed > 0 && used == 0 {
        return since_order >= REPEAT_INTERVAL;
    }
    let allowed = row.step().need.at_speed(task.speed);
    let exceeds = used > allowed + allowed / 2;
    exceeds && task.speed < FULL_SPEED && since_order >= THROTTLE_DELAY
}

fn next_speed(speed: u8, interferes: bool) -> u8 {
    if !interferes {
        return (speed + SPEED_STEP).min(FULL_SPEED);
    }
    let halved = speed / 2;
    if halved < MIN_SPEED { 0 } else { halved }
}
