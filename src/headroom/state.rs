//! The headroom of all pools of a shard.

use std::collections::HashMap;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use super::pool::{Pool, PoolHeadroom};
use crate::fleet::{Capacity, Worker};
use crate::moment::Moment;
use crate::workflow::{ActiveWorkflow, Task, WorkflowKey};

/// The longest time for which a task is held back, so that a pool that never has enough free
/// beside a long-running task serves it nevertheless. Long-running tasks keep what they take
/// for about as long, so a shorter limit lets them in one after the other while the pool is full.
const MAX_HOLD: Duration = Duration::from_secs(60);

new_key_type! {
    /// The key of a pool.
    struct PoolKey;
}

/// What a waiting task means for the headroom of its pool.
#[derive(Debug, Clone, Copy)]
enum Interest {
    /// Nothing.
    None,
    /// The processors are asked for, at this priority.
    Short(PoolKey, u32, u64),
    /// The task may be held back, unless it has run before.
    LongRunning(PoolKey),
}

/// The headroom of the pools of a shard, as its owner has learned it.
///
/// ```
/// use lycheelock::headroom::Headroom;
///
/// assert!(Headroom::default().readings().is_empty());
/// ```
#[derive(Debug, Default)]
pub struct Headroom {
    pools: SlotMap<PoolKey, Pool>,
    by_name: HashMap<String, PoolKey>,
    last_pass: Moment,
}

impl Headroom {
    /// Learns from the waiting tasks and from the workers of each pool that accept tasks, before
    /// the tasks are placed.
    pub(crate) fn observe<'a, W: Iterator<Item = &'a Worker>>(
        &mut self,
        waiting: impl Iterator<Item = (&'a ActiveWorkflow, &'a Task)>,
        workers: impl Fn(&str) -> W,
        now: Moment,
    ) {
        let elapsed = now - self.last_pass;
        self.last_pass = now;
        self.pools.values_mut().for_each(Pool::begin);
        self.survey(waiting, &workers, now);
        for pool in self.pools.values_mut() {
            let open = workers(&pool.name);
            pool.look(open, elapsed, now);
        }
        self.pools.retain(|_, pool| !pool.is_over());
        let pools = &self.pools;
        self.by_name.retain(|_, key| pools.contains_key(*key));
    }

    /// Records the waiting tasks. Those of one step follow one another, so that each step is
    /// looked up once.
    fn survey<'a, W: Iterator<Item = &'a Worker>>(
        &mut self,
        waiting: impl Iterator<Item = (&'a ActiveWorkflow, &'a Task)>,
        workers: &impl Fn(&str) -> W,
        now: Moment,
    ) {
        let mut last: Option<(WorkflowKey, u32, Interest)> = None;
        let mut labels = HashMap::new();
        for (workflow, task) in waiting {
            let step = task.name.step;
            let known = last.filter(|known| (known.0, known.1) == (task.workflow, step));
            let interest = known.map_or_else(
                || self.interest(workflow, task, &mut labels, workers),
                |known| known.2,
            );
            last = Some((task.workflow, step, interest));
            match interest {
                Interest::Short(pool, priority, millicores) => {
                    self.pools[pool].add_short(priority, millicores);
                }
                Interest::LongRunning(pool) if !task.has_run() => {
                    self.pools[pool].add_long_running(workflow.step(task.name), now);
                }
                Interest::LongRunning(_) | Interest::None => {}
            }
        }
    }

    /// Finds out what the tasks of a step mean for the headroom. Short tasks that no open worker
    /// could hold ask for nothing.
    fn interest<'a, W: Iterator<Item = &'a Worker>>(
        &mut self,
        workflow: &'a ActiveWorkflow,
        task: &Task,
        labels: &mut HashMap<(PoolKey, &'a str), bool>,
        workers: &impl Fn(&str) -> W,
    ) -> Interest {
        let step = workflow.step(task.name);
        if step.best_effort {
            return Interest::None;
        }
        let name = &workflow.queue.pool;
        let pool = self.pool(name);
        if step.long_running {
            return Interest::LongRunning(pool);
        }
        let mut has_worker = |label: &'a str| {
            let known = labels.entry((pool, label));
            *known.or_insert_with(|| {
                workers(name).any(|worker| worker.registration.has_label(Some(label)))
            })
        };
        let labelled = step.label.as_deref().is_none_or(&mut has_worker);
        if labelled && self.pools[pool].holds(step.need) {
            let priority = workflow.queue.priority;
            Interest::Short(pool, priority, u64::from(step.need.millicores))
        } else {
            Interest::None
        }
    }

    fn pool(&mut self, name: &str) -> PoolKey {
        if let Some(key) = self.by_name.get(name) {
            return *key;
        }
        let key = self.pools.insert(Pool::new(name));
        self.by_name.insert(name.to_owned(), key);
        key
    }

    fn find(&self, workflow: &ActiveWorkflow) -> Option<PoolKey> {
        self.by_name.get(&workflow.queue.pool).copied()
    }

    /// Whether a waiting task is held back, so that short tasks of its priority and more urgent
    /// ones find free processors. Only long-running tasks that have never run are, for 60 s at
    /// most.
    pub(crate) fn holds_back(&self, workflow: &ActiveWorkflow, task: &Task, now: Moment) -> bool {
        let step = workflow.step(task.name);
        let may_hold = step.long_running && !step.best_effort && !task.has_run();
        if !may_hold || now - task.ready >= MAX_HOLD {
            return false;
        }
        let pool = self.find(workflow).map(|key| &self.pools[key]);
        pool.is_some_and(|pool| pool.holds_back(step, workflow.queue.priority, now))
    }

    /// Counts a task that is held back in this pass; the first task of a gang stands for all.
    pub(crate) fn add_held_back(&mut self, workflow: &ActiveWorkflow, task: &Task) {
        if let Some(key) = self.find(workflow) {
            self.pools[key].add_held_back(workflow.step(task.name));
        }
    }

    /// Subtracts what tasks of a step take that were placed on a worker; `taken` is the sum.
    pub(crate) fn on_placed(
        &mut self,
        workflow: &ActiveWorkflow,
        task: &Task,
        worker: &Worker,
        taken: Capacity,
        now: Moment,
    ) {
        let Some(key) = self.find(workflow) else {
            return;
        };
        let step = workflow.step(task.name);
        let pool = &mut self.pools[key];
        if !step.best_effort && !step.long_running {
            pool.on_short_placed(workflow.queue.priority, u64::from(taken.millicores));
        }
        pool.on_placed(worker, taken, now);
    }

    /// Returns what each pool keeps free, sorted by the name of the pool.
    pub fn readings(&self) -> Vec<PoolHeadroom> {
        let mut readings: Vec<_> = self.pools.values().map(Pool::reading).collect();
        readings.sort_unstable_by(|one, other| one.pool.cmp(&other.pool));
        readings
    }
}
