//! Slow runs: a best-effort task of an idle job runs at a low speed where it would interfere
//! with serving tasks at full speed.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::Scheduler;
use super::fit::{has_label, has_memory, is_below_limit};
use super::placement::{Placement, Tolerance};
use crate::fleet::{Worker, WorkerKey};
use crate::moment::Moment;
use crate::workflow::{ActiveWorkflow, FULL_SPEED, Step, Task, TaskKey, TaskName};

/// The waiting time after which a best-effort task may run slowly where it probably
/// interferes, if no task of its job runs and most of its pool is idle.
const IDLE_POOL_DELAY: Duration = Duration::from_millis(2000);
/// The same for the tasks of a job that is overdue or whose pool gets no new jobs, also if
/// the pool is busy.
const BUSY_POOL_DELAY: Duration = Duration::from_millis(1500);
/// The time without a new job after which a pool's processors need not be kept for jobs
/// that may still end in time.
const DEMAND_TIMEOUT: Duration = Duration::from_secs(3);
/// The share of a worker's processors that its slow tasks use. A best-effort task that
/// uses so little hardly interferes.
const SLOW_SHARE: f64 = 0.04;
/// The lower limit on the speed of a slow task, in percent of full speed.
const MIN_SLOW_SPEED: u8 = 1;
/// The speed, in percent, at which a slow task must find idle processors.
const REQUIRED_SLOW_SPEED: u8 = 10;
/// The upper limit on the speed of a slow task, in percent of full speed.
const MAX_SLOW_SPEED: u8 = 90;
/// The shortest time between two moves of slow tasks.
const MOVE_INTERVAL: Duration = Duration::from_millis(500);

impl Scheduler {
    /// Chooses the worker for a task that runs slowly: the one on which it is fastest,
    /// preferably without a recent tail over its target.
    pub(super) fn choose_slow<'a>(
        &self,
        workers: impl Iterator<Item = (WorkerKey, &'a Worker)>,
        step: &Step,
        name: TaskName,
        now: Moment,
    ) -> Option<Placement> {
        let fitting = workers.filter(|(_, worker)| fits_slowly(worker, step, name));
        let ranked = fitting.map(|(key, worker)| {
            let need = self.slow_need(worker) + u64::from(step.need.millicores);
            let whole = u64::from(worker.registration.capacity.millicores.max(1));
            let strained = worker.was_over_target(now);
            (strained, need * 1000 / whole, worker.worst_tail, need, key)
        });
        let (_, _, _, need, worker) = ranked.min()?;
        let speed = slow_speed(&self.workers[worker], need);
        Some(Placement { worker, speed })
    }

    /// The processors, in millicores, that the slow tasks of a worker would use at full
    /// speed.
    fn slow_need(&self, worker: &Worker) -> u64 {
        let tasks = worker.tasks.values();
        let slow = tasks.filter(|key| self.is_slow(**key));
        slow.map(|key| u64::from(self.step_of(*key).need.millicores))
            .sum()
    }

    /// Whether the speed of a task's run is limited because it would interfere.
    pub(super) fn is_slow(&self, key: TaskKey) -> bool {
        self.ledger.tasks[key].allowed_speed < FULL_SPEED
    }

    /// Divides the share of the slow tasks on a worker among them.
    pub(super) fn divide_slow_share(&mut self, worker: WorkerKey) {
        let speed = slow_speed(&self.workers[worker], self.slow_need(&self.workers[worker]));
        let tasks: Vec<TaskKey> = self.workers[worker].tasks.values().copied().collect();
        for task in tasks {
            if self.is_slow(task) {
                self.allow_speed(task, worker, speed);
            }
        }
    }

    /// Whether a slow task no longer interferes on its worker, which has the processors for
    /// it at full speed.
    pub(super) fn can_speed_up(&self, key: TaskKey, worker: WorkerKey) -> bool {
        let need = self.step_of(key).need;
        let used = need.at_speed(self.ledger.tasks[key].allowed_speed);
        let left = i64::from(need.millicores) - i64::from(used);
        !self.would_interfere_on(key, worker) && self.workers[worker].idle() >= left
    }

    /// Whether a slow task may be stopped to continue at full speed on another worker.
    /// One moves at a time, as all would see the same free processors.
    pub(super) fn can_move(&self, key: TaskKey, worker: WorkerKey, now: Moment) -> bool {
        let waits = now - self.moved_at < MOVE_INTERVAL;
        if waits || self.is_gang(key) {
            return false;
        }
        let placement = self.choose_for(key, &self.open_workers(now), Tolerance::NONE, now);
        placement.is_some_and(|placement| placement.worker != worker)
    }

    /// Changes the highest speed of a task's run, and what it counts as using.
    pub(super) fn allow_speed(&mut self, task: TaskKey, worker: WorkerKey, speed: u8) {
        self.unassign(task);
        self.ledger.tasks[task].allowed_speed = speed;
        self.add_usage(task, worker);
    }

    /// Whether a best-effort task has waited for long and no task of its job runs,
    /// although most of its pool is idle, its job is overdue or no new job comes.
    pub(super) fn is_stuck(&self, workflow: &ActiveWorkflow, task: &Task, now: Moment) -> bool {
        let waited = now - task.ready;
        if !workflow.step(task.name).best_effort || waited < BUSY_POOL_DELAY {
            return false;
        }
        let idle_pool = || self.idle_pools.contains(&workflow.queue.pool);
        let is_overdue = || workflow.overdue().is_some_and(|overdue| overdue <= now);
        let is_quiet = || !self.has_demand(&workflow.queue.pool, now);
        let may_run = (waited >= IDLE_POOL_DELAY && idle_pool()) || is_quiet() || is_overdue();
        may_run && self.ledger.is_idle(task.workflow)
    }

    /// Whether a job of the pool was accepted recently.
    fn has_demand(&self, pool: &str, now: Moment) -> bool {
        let newest = self.newest_jobs.get(pool);
        newest.is_some_and(|accepted| now - *accepted < DEMAND_TIMEOUT)
    }

    /// Finds the pools whose open workers have more than half of their processors
    /// idle.
    pub(super) fn find_idle_pools(&self, now: Moment) -> HashSet<String> {
        let mut pools: HashMap<&str, i64> = HashMap::new();
        for worker in self.workers.values().filter(|worker| worker.is_open(now)) {
            let whole = i64::from(worker.registration.capacity.millicores);
            *pools.entry(&worker.registration.pool).or_default() += worker.idle() * 2 - whole;
        }
        let idle_pools = pools.into_iter().filter(|(_, surplus)| *surplus > 0);
        idle_pools.map(|(pool, _)| pool.to_owned()).collect()
    }
}

/// Whether a best-effort task fits on the worker if it runs slowly.
fn fits_slowly(worker: &Worker, step: &Step, name: TaskName) -> bool {
    has_label(worker, step)
        && is_below_limit(worker, step, name)
        && worker.free().accelerators >= step.need.accelerators
        && has_memory(worker, step)
        && worker.idle() >= i64::from(step.need.at_speed(REQUIRED_SLOW_SPEED))
}

/// The speed, in percent, of the slow tasks on a worker that would use `need` millicores
/// at full speed.
fn slow_speed(worker: &Worker, need: u64) -> u8 {
    let whole = f64::from(worker.registration.capacity.millicores);
    let speed = (whole * SLOW_SHARE) as u64 * 100 / need.max(1);
    speed.clamp(u64::from(MIN_SLOW_SPEED), u64::from(MAX_SLOW_SPEED)) as u8
}
