//! Chooses a worker for a task.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use crate::fleet::{Capacity, Worker, WorkerKey};
use crate::interference::ImageKey;
use crate::moment::Moment;
use crate::workflow::{ActiveWorkflow, Step, Task, TaskKey, TaskName};

use super::{Scheduler, WaitReason};

/// The processors that serving tasks use in the mean, as a share of what
/// they declare.
const SERVING_SHARE: f64 = 0.46;
/// The share of its processors that a filling task must find idle.
const FILLING_SHARE: f64 = 1.0;
/// Memory that filling tasks leave to urgent ones, as a share of the worker's.
const URGENT_MEMORY: f64 = 0.08;
/// What a worker that serves only the task's own image counts more, and what
/// each other serving image there counts less, in millicores.
const SAME_IMAGE: i64 = 20_000;
const OTHER_IMAGE: i64 = 8_000;
/// What a worker on the rack of the data counts more, in millicores.
const LOCAL_BONUS: i64 = 1_000_000;
/// A filling task that has waited for this long takes a risk: the logarithm of
/// the odds that it disturbs.
const RISKS_AFTER: Duration = Duration::from_millis(1000);
const RISK: f64 = 1.5;
/// A filling task that has waited for this long in a pool that is mostly free,
/// and of whose job nothing runs, takes any risk; its pace then follows what it
/// disturbs.
const STUCK_AFTER: Duration = Duration::from_millis(2000);
/// How long after a tail over its target a worker takes no such tasks.
const RECOVERS: Duration = Duration::from_secs(3);
/// How long a task waits at the most for a worker near its data; on any other
/// it would take several times as long.
const LONGEST_PATIENCE: Duration = Duration::from_millis(1500);
/// What each task of the same step on the worker counts less, in millicores.
const CROWDING: i64 = 500;

/// The workers that a task may be given to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Among {
    /// All of its pool.
    All,
    /// Those of one rack.
    Rack(String),
}

impl Among {
    fn has(&self, worker: &Worker) -> bool {
        match self {
            Self::All => true,
            Self::Rack(rack) => rack == worker.entry.rack(),
        }
    }
}

/// What tasks that could not be placed in this pass asked for.
#[derive(Debug, Default)]
pub(super) struct Misses {
    rows: Vec<Miss>,
    held: Vec<bool>,
}

/// A task without a worker. Filling tasks of another image may find one.
#[derive(Debug)]
struct Miss {
    pool: String,
    image: Option<String>,
    fills: bool,
    need: Capacity,
}

impl Misses {
    /// Whether a task of this step would also find no worker.
    pub fn covers(&self, pool: &str, step: &Step) -> bool {
        let alike = |miss: &Miss| {
            let image = miss.image.as_ref().is_none_or(|image| *image == step.image);
            image
                && miss.pool == pool
                && miss.fills == step.best_effort
                && step.need.holds(miss.need)
        };
        self.held.contains(&step.best_effort) || self.rows.iter().any(alike)
    }

    /// Holds all tasks of the same kind back that come after a gang.
    pub fn hold_back(&mut self, gang: &Step) {
        self.held.push(gang.best_effort);
    }

    /// Notes a step without a worker. Steps with conditions of their own say
    /// nothing about others.
    pub fn note(&mut self, pool: &str, step: &Step) {
        let free = step.label.is_none() && step.worker_limit.is_none();
        let plain = free && step.data_rack.is_none() && !step.gang;
        if plain {
            self.rows.push(Miss {
                pool: pool.to_owned(),
                image: step.best_effort.then(|| step.image.clone()),
                fills: step.best_effort,
                need: step.need,
            });
        }
    }
}

impl Scheduler {
    /// The best worker for a task that has waited since a moment, if any can
    /// take it now.
    pub(super) fn choose(
        &self,
        flow: &ActiveWorkflow,
        task: &Task,
        among: &Among,
        now: Moment,
    ) -> Option<WorkerKey> {
        let (step, name) = (flow.step(task.name), task.name);
        let patient = now - task.ready < step.estimate.min(LONGEST_PATIENCE);
        let image = self.images.find(&step.image);
        let impatient = now - task.ready >= RISKS_AFTER;
        let stuck = self.is_stuck_task(flow, task, now);
        let risk = if stuck {
            f64::INFINITY
        } else if impatient {
            RISK
        } else {
            0.0
        };
        let fitting = self.workers.iter().filter(|(_, worker)| {
            worker.entry.pool == flow.queue.pool
                && worker.is_open(now)
                && among.has(worker)
                && (!patient || is_near(worker, step))
                && !(stuck && is_recovering(worker, now))
                && fits(worker, step, name)
                && !(step.best_effort && self.harms(worker, image, risk))
        });
        let scored = fitting.map(|(key, worker)| {
            let company = company(worker, step, image);
            (score(worker, step, name) + company, key)
        });
        scored.max().map(|(_, key)| key)
    }

    /// Whether nothing runs of the job of a filling task that has waited for long,
    /// although most of its pool is free.
    pub(super) fn is_stuck(&self, key: TaskKey, now: Moment) -> bool {
        let task = &self.ledger.tasks[key];
        self.is_stuck_task(&self.ledger.workflows[task.workflow], task, now)
    }

    fn is_stuck_task(&self, flow: &ActiveWorkflow, task: &Task, now: Moment) -> bool {
        let waits = flow.step(task.name).best_effort && now - task.ready >= STUCK_AFTER;
        waits && self.roomy.contains(&flow.queue.pool) && self.ledger.is_idle(task.workflow)
    }

    /// The pools of which more than half is idle on the open workers.
    pub(super) fn roomy_pools(&self, now: Moment) -> HashSet<String> {
        let mut pools: HashMap<&str, i64> = HashMap::new();
        for worker in self.workers.values().filter(|worker| worker.is_open(now)) {
            let whole = i64::from(worker.entry.capacity.millicores);
            *pools.entry(&worker.entry.pool).or_default() += idle(worker) * 2 - whole;
        }
        let roomy = pools.into_iter().filter(|(_, surplus)| *surplus > 0);
        roomy.map(|(pool, _)| pool.to_owned()).collect()
    }

    /// Why no worker takes a task now.
    pub(super) fn wait_reason(
        &self,
        flow: &ActiveWorkflow,
        step: &Step,
        now: Moment,
    ) -> WaitReason {
        let open = self
            .workers
            .values()
            .filter(|worker| worker.entry.pool == flow.queue.pool && worker.is_open(now));
        let open: Vec<&Worker> = open.collect();
        let labelled = |worker: &&&Worker| has_label(worker, step);
        let large = |worker: &&Worker| worker.entry.capacity.holds(step.need);
        if open.is_empty() {
            WaitReason::NoWorker
        } else if !open.iter().any(|worker| labelled(&worker)) {
            WaitReason::NoLabel
        } else if !open.iter().filter(labelled).any(large) {
            WaitReason::TooLarge
        } else {
            WaitReason::NoRoom
        }
    }

    /// Whether a filling image probably disturbs what a worker serves; `risk`
    /// is the logarithm of the odds that is still accepted.
    fn harms(&self, worker: &Worker, image: Option<ImageKey>, risk: f64) -> bool {
        let Some(image) = image else {
            return false;
        };
        let mut served = worker.serving_images.keys();
        served.any(|serving| self.pairs.log_odds(*serving, image) > risk)
    }
}

/// Whether a tail on the worker was over its target a short while ago.
fn is_recovering(worker: &Worker, now: Moment) -> bool {
    worker.over_target.is_some_and(|at| now - at < RECOVERS)
}

/// Serving tasks of one image go together, so that filling tasks find workers
/// that serve nothing they would disturb.
fn company(worker: &Worker, step: &Step, image: Option<ImageKey>) -> i64 {
    if step.tail_target.is_none() {
        return 0;
    }
    let served = worker.serving_images.keys();
    let others = served.filter(|served| Some(**served) != image).count() as i64;
    let same = image.is_some_and(|image| worker.serving_images.contains_key(&image));
    i64::from(same) * SAME_IMAGE - others * OTHER_IMAGE
}

/// Whether the worker is on the rack of the task's data, if it has one.
fn is_near(worker: &Worker, step: &Step) -> bool {
    let rack = step.data_rack.as_deref();
    rack.is_none_or(|rack| rack == worker.entry.rack())
}

fn fits(worker: &Worker, step: &Step, name: TaskName) -> bool {
    has_label(worker, step)
        && step
            .worker_limit
            .is_none_or(|limit| of_step(worker, name) < limit as usize)
        && has_room(worker, step)
}

fn has_label(worker: &Worker, step: &Step) -> bool {
    let labels = &worker.entry.labels;
    step.label
        .as_ref()
        .is_none_or(|label| labels.contains(label))
}

fn has_room(worker: &Worker, step: &Step) -> bool {
    let free = worker.free();
    if !step.best_effort {
        return free.holds(step.need);
    }
    let reserve = f64::from(worker.entry.capacity.memory) * URGENT_MEMORY;
    let memory = f64::from(free.memory) - reserve >= f64::from(step.need.memory);
    let idle = idle(worker) as f64 >= f64::from(step.need.millicores) * FILLING_SHARE;
    memory && idle && free.accelerators >= step.need.accelerators
}

/// The processors, in millicores, that a further filling task would find.
fn idle(worker: &Worker) -> i64 {
    let declared = i64::from(worker.used.millicores);
    let serving = i64::from(worker.long_running);
    let busy = declared - serving + (serving as f64 * SERVING_SHARE) as i64;
    i64::from(worker.entry.capacity.millicores) - busy - i64::from(worker.best_effort)
}

fn score(worker: &Worker, step: &Step, name: TaskName) -> i64 {
    let room = if step.best_effort || !step.long_running {
        idle(worker)
    } else {
        // The tightest fit leaves room for wide tasks elsewhere.
        i64::from(worker.free().millicores)
    };
    let bonus = if is_near(worker, step) {
        LOCAL_BONUS
    } else {
        0
    };
    let crowd = if step.long_running {
        of_step(worker, name) as i64
    } else {
        0
    };
    room + bonus - crowd * CROWDING
}

/// How many tasks of the same step and repetition the worker may be running.
fn of_step(worker: &Worker, name: TaskName) -> usize {
    let first = TaskName { index: 0, ..name };
    let last = TaskName {
        index: u32::MAX,
        ..name
    };
    worker.tasks.range(first..=last).count()
}
