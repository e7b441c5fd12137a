//! Chooses a worker for a task.

use std::collections::HashMap;
use std::time::Duration;

use crate::fleet::{Worker, WorkerKey};
use crate::interference::ImageKey;
use crate::moment::Moment;
use crate::workflow::{ActiveWorkflow, FULL_SPEED, Step, Task, TaskKey, TaskName};

use super::fit::{count_of_step, fits, has_label, has_memory, has_processors, is_on_data_rack};
use super::placement::{ACCEPTED_LOG_ODDS, Placement, Risk, Tolerance};
use super::trial::is_overdue;
use super::{Scheduler, WaitReason, WorkerCounts};

/// The score, in millicores, that a worker gains if it already serves the image
/// of a serving task.
const SAME_IMAGE_BONUS: i64 = 20_000;
/// The score, in millicores, that a worker loses for each other image that it
/// serves.
const OTHER_IMAGE_PENALTY: i64 = 8_000;
/// The score, in millicores, that a worker loses for each best-effort image that it runs and
/// that interferes with a serving task.
const HARMFUL_IMAGE_PENALTY: i64 = 4_000;
/// The score for best-effort tasks, in millicores, that a worker loses for each percent of its
/// worst tail.
const TAIL_PENALTY: i64 = 80;
/// The limit on the worst tail in that calculation, in percent of its target.
const MAX_PENALISED_TAIL: u32 = 200;
/// The score, in millicores, that a worker on the rack of the task's data gains.
const DATA_RACK_BONUS: i64 = 1_000_000;
/// The score, in millicores, that a cold worker loses: more than a worker has processors, so that
/// any warm worker with the free capacity goes first.
const COLD_PENALTY: i64 = 200_000;
/// The score, in millicores, that a worker loses for tasks without data on its rack while
/// others wait for that rack. More than the processors of a worker, so that any other worker
/// with room is preferred.
const AWAITED_RACK_PENALTY: i64 = 200_000;
/// The waiting time after which a best-effort task may be placed although it may
/// interfere with a serving task.
const RISK_DELAY: Duration = Duration::from_millis(1000);
/// The waiting time after which a task is placed on a worker in quarantine, if most
/// workers are: then the work is the more probable cause of the failures.
const MAX_QUARANTINE_DELAY: Duration = Duration::from_secs(2);
/// The score, in millicores, that a worker loses for each task of the same step
/// that it already runs.
const CROWDING_PENALTY: i64 = 500;

/// The workers of each pool that accept new tasks, as looked up once for several tasks.
#[derive(Debug, Default)]
pub(super) struct OpenWorkers {
    pools: HashMap<String, Vec<WorkerKey>>,
}

impl OpenWorkers {
    pub fn of_pool(&self, pool: &str) -> &[WorkerKey] {
        self.pools.get(pool).map(Vec::as_slice).unwrap_or_default()
    }
}

/// The workers on which a task may be placed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Candidates {
    /// All workers of the task's pool.
    All,
    /// The workers of the pool that are on one rack.
    Rack(String),
}

impl Candidates {
    fn contains(&self, worker: &Worker) -> bool {
        match self {
            Self::All => true,
            Self::Rack(rack) => rack == worker.registration.rack(),
        }
    }
}

impl Scheduler {
    /// Looks up the workers that accept new tasks, in quarantine or not.
    pub(super) fn open_workers(&self, now: Moment) -> OpenWorkers {
        let mut open = OpenWorkers::default();
        let accepting = |(_, worker): &(WorkerKey, &Worker)| worker.accepts_tasks(now);
        for (key, worker) in self.workers.iter().filter(accepting) {
            match open.pools.get_mut(&worker.registration.pool) {
                Some(keys) => keys.push(key),
                None => {
                    let pool = worker.registration.pool.clone();
                    open.pools.insert(pool, vec![key]);
                }
            }
        }
        open
    }

    /// Chooses the best of these workers for a waiting task, if any can take it now.
    pub(super) fn choose(
        &self,
        workflow: &ActiveWorkflow,
        task: &Task,
        open: &OpenWorkers,
        candidates: &Candidates,
        tolerance: Tolerance,
        now: Moment,
    ) -> Option<Placement> {
        let (step, name) = (workflow.step(task.name), task.name);
        let image = self.images.find(&step.image);
        let risk = tolerance.risk;
        let trial = self.trial_rule(workflow, task, now);
        let waits_for_rack = self.rack_waits.waits(step, name);
        let is_eligible = |(key, worker): &(WorkerKey, &Worker)| {
            candidates.contains(worker)
                && has_label(worker, step)
                && (!waits_for_rack || is_on_data_rack(worker, step))
                && self.allows(trial, *key, name)
        };
        let open = open.of_pool(&workflow.queue.pool);
        let workers = || open.iter().map(|key| (*key, &self.workers[*key]));
        let quarantine =
            tolerance.quarantine && is_mostly_quarantined(workers().filter(is_eligible), now);
        let is_usable = |row: &(WorkerKey, &Worker)| {
            (quarantine || !row.1.failures.is_quarantined(now)) && is_eligible(row)
        };
        let fitting = workers().filter(|(key, worker)| {
            fits(worker, step, name)
                && is_usable(&(*key, worker))
                && !(step.best_effort && self.endangers(worker, image, risk))
        });
        let scored = fitting.map(|(key, worker)| {
            let image_affinity = self.image_affinity(worker, step, image);
            let penalty =
                cold_penalty(worker, step, now) + self.awaited_rack_penalty(key, worker, step);
            let score = score(worker, step, name) + image_affinity - penalty;
            (self.trial_score(trial, key, task), score, key)
        });
        let fast = scored.max().map(|(_, _, worker)| Placement {
            worker,
            speed: FULL_SPEED,
        });
        // A slow run on the rack takes longer than the wait for it.
        if fast.is_some() || risk < Risk::Slow || waits_for_rack {
            return fast;
        }
        self.choose_slow(workers().filter(is_usable), step, name, now)
    }

    /// The score that a worker loses because others wait for its rack.
    fn awaited_rack_penalty(&self, key: WorkerKey, worker: &Worker, step: &Step) -> i64 {
        let near = step.data_rack.as_deref() == Some(worker.registration.rack());
        if self.rack_waits.is_awaited(key) && !near {
            AWAITED_RACK_PENALTY
        } else {
            0
        }
    }

    /// What a waiting task accepts now.
    pub(super) fn tolerance(
        &self,
        workflow: &ActiveWorkflow,
        task: &Task,
        now: Moment,
    ) -> Tolerance {
        Tolerance {
            risk: self.risk(workflow, task, now),
            quarantine: now - task.ready >= MAX_QUARANTINE_DELAY,
            overdue: is_overdue(workflow, task, now),
        }
    }

    fn risk(&self, workflow: &ActiveWorkflow, task: &Task, now: Moment) -> Risk {
        if self.is_stuck(workflow, task, now) {
            Risk::Slow
        } else if now - task.ready >= RISK_DELAY {
            Risk::Possible
        } else {
            Risk::Unlikely
        }
    }

    /// Finds out why no worker can take a task now.
    pub(super) fn wait_reason(
        &self,
        workflow: &ActiveWorkflow,
        task: &Task,
        now: Moment,
    ) -> WaitReason {
        let step = workflow.step(task.name);
        let open = self.workers.values().filter(|worker| {
            worker.registration.pool == workflow.queue.pool && worker.is_open(now)
        });
        let open: Vec<&Worker> = open.collect();
        let labelled: Vec<&Worker> = open
            .iter()
            .copied()
            .filter(|worker| has_label(worker, step))
            .collect();
        let large = |worker: &&Worker| worker.registration.capacity.holds(step.need);
        let fitting: Vec<&Worker> = labelled
            .iter()
            .copied()
            .filter(|worker| fits(worker, step, task.name))
            .collect();
        let too_few = !labelled.iter().any(large);
        if too_few && self.could_run_in_evacuated_zone(workflow, step, now) {
            WaitReason::ZoneEvacuated
        } else if open.is_empty() {
            WaitReason::NoWorker
        } else if labelled.is_empty() {
            WaitReason::NoLabel
        } else if too_few {
            WaitReason::TooLarge
        } else if fitting.is_empty() {
            capacity_wait_reason(&labelled, step)
        } else if self.headroom.holds_back(workflow, task, now) {
            WaitReason::Headroom
        } else {
            self.fitting_wait_reason(&fitting, step, task.name)
        }
    }

    /// Whether a worker of an evacuated zone could hold a task of this step.
    fn could_run_in_evacuated_zone(
        &self,
        workflow: &ActiveWorkflow,
        step: &Step,
        now: Moment,
    ) -> bool {
        self.workers.values().any(|worker| {
            let known = &worker.registration;
            worker.evacuated
                && known.pool == workflow.queue.pool
                && worker.is_usable(now)
                && has_label(worker, step)
                && known.capacity.holds(step.need)
        })
    }

    /// Counts the workers that pass each check for a waiting task.
    pub(super) fn worker_counts(
        &self,
        workflow: &ActiveWorkflow,
        task: &Task,
        now: Moment,
    ) -> WorkerCounts {
        let step = workflow.step(task.name);
        let image = self.images.find(&step.image);
        let mut counts = WorkerCounts::default();
        let open = self.workers.values().filter(|worker| {
            worker.registration.pool == workflow.queue.pool && worker.is_open(now)
        });
        for worker in open {
            let fits = fits(worker, step, task.name);
            let interferes =
                step.best_effort && self.would_interfere(worker, image, ACCEPTED_LOG_ODDS);
            counts.open += 1;
            counts.fitting += usize::from(fits);
            counts.harmless += usize::from(fits && !interferes);
            counts.on_target += usize::from(fits && !worker.was_over_target(now));
        }
        counts
    }

    /// Finds out why a task waits although these workers have the capacity for it.
    fn fitting_wait_reason(&self, fitting: &[&Worker], step: &Step, name: TaskName) -> WaitReason {
        let image = self.images.find(&step.image);
        let interferes = |worker: &&Worker| self.would_interfere(worker, image, ACCEPTED_LOG_ODDS);
        let waits_for_rack = self.rack_waits.waits(step, name);
        if step.best_effort && fitting.iter().all(interferes) {
            WaitReason::Interference
        } else if waits_for_rack && !fitting.iter().any(|worker| is_on_data_rack(worker, step)) {
            WaitReason::DataRack
        } else {
            WaitReason::HeldBack
        }
    }

    /// Whether a best-effort image may interfere with an image that a worker serves, by more
    /// than `risk` accepts.
    fn endangers(&self, worker: &Worker, image: Option<ImageKey>, risk: Risk) -> bool {
        self.would_interfere(worker, image, risk.log_odds())
            || (risk < Risk::Slow && self.is_overexposed(worker, image))
    }

    /// The score for placing a serving task beside the images that a worker serves.
    /// Tasks of one image are placed together, so that best-effort tasks find workers
    /// without an image that they would interfere with. Workers with best-effort images that
    /// interfere with the task are avoided.
    fn image_affinity(&self, worker: &Worker, step: &Step, image: Option<ImageKey>) -> i64 {
        let Some(image) = image.filter(|_| step.tail_target.is_some()) else {
            return 0;
        };
        let served = worker.serving_images.keys();
        let others = served.filter(|served| **served != image).count() as i64;
        let same = i64::from(worker.serving_images.contains_key(&image));
        let best_effort = worker.best_effort_images.keys();
        let harmful = best_effort.filter(|other| self.pairs.is_harmful(image, **other));
        same * SAME_IMAGE_BONUS
            - others * OTHER_IMAGE_PENALTY
            - harmful.count() as i64 * HARMFUL_IMAGE_PENALTY
    }

    /// Whether a task probably interferes with an image that a worker serves.
    pub(super) fn would_interfere_on(&self, key: TaskKey, worker: WorkerKey) -> bool {
        let image = self.images.find(&self.step_of(key).image);
        self.would_interfere(&self.workers[worker], image, ACCEPTED_LOG_ODDS)
    }

    /// Whether a best-effort image probably interferes with an image that a worker
    /// serves. `risk` is the highest log odds that are still accepted.
    fn would_interfere(&self, worker: &Worker, image: Option<ImageKey>, risk: f64) -> bool {
        let Some(image) = image else {
            return false;
        };
        let mut served = worker.serving_images.keys();
        served.any(|serving| self.pairs.log_odds(*serving, image) > risk)
    }
}

/// Whether more than half of the workers are in quarantine.
fn is_mostly_quarantined<'a>(
    workers: impl Iterator<Item = (WorkerKey, &'a Worker)>,
    now: Moment,
) -> bool {
    let (mut all, mut quarantined) = (0, 0);
    for (_, worker) in workers {
        all += 1;
        quarantined += usize::from(worker.failures.is_quarantined(now));
    }
    quarantined * 2 > all
}

/// Finds out which resource none of these workers has free for a task.
fn capacity_wait_reason(workers: &[&Worker], step: &Step) -> WaitReason {
    let memory = workers.iter().any(|worker| has_memory(worker, step));
    let processors = workers.iter().any(|worker| has_processors(worker, step));
    match (processors, memory) {
        (false, true) => WaitReason::NoProcessors,
        (true, false) => WaitReason::NoMemory,
        _ => WaitReason::NoCapacity,
    }
}

fn score(worker: &Worker, step: &Step, name: TaskName) -> i64 {
    let capacity = if step.best_effort {
        worker.idle() - tail_penalty(worker)
    } else if step.long_running {
        // Declared processors, as the use of a task that runs for long varies.
        i64::from(worker.free().millicores)
    } else {
        worker.idle()
    };
    let bonus = if is_on_data_rack(worker, step) {
        DATA_RACK_BONUS
    } else {
        0
    };
    let step_tasks = if step.long_running {
        count_of_step(worker, name) as i64
    } else {
        0
    };
    capacity + bonus - step_tasks * CROWDING_PENALTY
}

/// The score that a worker loses for best-effort tasks because its serving tasks are close to
/// their targets or beyond them.
fn tail_penalty(worker: &Worker) -> i64 {
    i64::from(worker.worst_tail.min(MAX_PENALISED_TAIL)) * TAIL_PENALTY
}

/// The score that a cold worker loses for tasks that have callers waiting for them, and for
/// gangs, which are as slow as their slowest member.
fn cold_penalty(worker: &Worker, step: &Step, now: Moment) -> i64 {
    let prefers_warm = !step.best_effort || step.gang;
    i64::from(prefers_warm && worker.is_cold(now)) * COLD_PENALTY
}
