//! The decisions of one pass: which tasks wait for their racks, and which workers others
//! avoid.

use std::collections::HashMap;
use std::time::Duration;

use rustc_hash::FxHashSet;
use slotmap::{SlotMap, new_key_type};

use super::{RackLoad, RemoteFactor, WaitingTask};
use crate::fleet::{Worker, WorkerKey};
use crate::moment::Moment;
use crate::workflow::{Ledger, Stage, Step, Task, TaskKey, TaskName};

new_key_type! {
    /// The key of a rack in one pass.
    struct RackKey;
}

/// A rack of one pool that waiting tasks name, with its open workers.
#[derive(Debug, Default)]
struct Rack {
    workers: Vec<WorkerKey>,
    /// The load that a task finds that is not best-effort.
    declared: RackLoad,
    /// The load that a best-effort task finds: processors that others leave idle.
    idle: RackLoad,
    /// Whether a task waits for the rack.
    awaited: bool,
}

impl Rack {
    fn load(&self, step: &Step) -> RackLoad {
        if step.best_effort {
            self.idle
        } else {
            self.declared
        }
    }

    /// Adds work that a task asks for. Best-effort tasks wait behind all others, which do not
    /// wait behind them.
    fn add_work(&mut self, step: &Step, work: u64) {
        self.idle.work = self.idle.work.saturating_add(work);
        if !step.best_effort {
            self.declared.work = self.declared.work.saturating_add(work);
        }
    }
}

/// Which waiting tasks go on waiting for the rack of their data, as decided for one pass.
#[derive(Debug, Clone, Default)]
pub struct RackWaits {
    /// The tasks that wait; of a gang, the first.
    waiting: FxHashSet<TaskName>,
    /// The open workers on the racks for which tasks wait.
    awaited: FxHashSet<WorkerKey>,
}

impl RackWaits {
    /// Decides for all waiting tasks; `waiting` are their keys, the first to be placed first.
    /// Has no effect if none of them names a rack.
    pub fn decide(
        ledger: &Ledger,
        workers: &SlotMap<WorkerKey, Worker>,
        waiting: impl Iterator<Item = TaskKey>,
        factor: RemoteFactor,
        now: Moment,
    ) -> Self {
        let tasks = waiting.filter_map(|key| ledger.tasks.get(key));
        let near: Vec<&Task> = tasks.filter(|task| is_near_task(ledger, task)).collect();
        if near.is_empty() {
            return Self::default();
        }
        let mut racks = Racks::default();
        for task in &near {
            let workflow = &ledger.workflows[task.workflow];
            let rack = workflow.step(task.name).data_rack.as_deref();
            racks.add(&workflow.queue.pool, rack.unwrap_or_default());
        }
        for (key, worker) in workers.iter().filter(|(_, worker)| worker.is_open(now)) {
            racks.add_worker(key, worker, ledger, factor, now);
        }
        let mut waits = Self::default();
        for task in near {
            if racks.decide(task, ledger, workers, factor, now) {
                waits.waiting.insert(task.name);
            }
        }
        let awaited = racks.racks.values().filter(|rack| rack.awaited);
        waits.awaited = awaited
            .flat_map(|rack| rack.workers.iter().copied())
            .collect();
        waits
    }

    /// Returns whether a task of this step goes on waiting for the rack of its data.
    pub fn waits(&self, step: &Step, name: TaskName) -> bool {
        let name = if step.gang {
            TaskName { index: 0, ..name }
        } else {
            name
        };
        step.data_rack.is_some() && self.waiting.contains(&name)
    }

    /// Returns whether a worker is on a rack for which tasks wait.
    pub fn is_awaited(&self, worker: WorkerKey) -> bool {
        self.awaited.contains(&worker)
    }
}

/// Whether a task is to be decided: it waits and names a rack. A gang is decided as a whole
/// with its first task.
fn is_near_task(ledger: &Ledger, task: &Task) -> bool {
    let workflow = &ledger.workflows[task.workflow];
    let step = workflow.step(task.name);
    let waits = task.stage == Stage::Waiting && !workflow.state.is_final();
    let first = !step.gang || task.name.index == 0;
    waits && first && step.data_rack.is_some()
}

/// The racks that waiting tasks name, by pool and name.
#[derive(Debug, Default)]
struct Racks<'a> {
    keys: HashMap<(&'a str, &'a str), RackKey>,
    racks: SlotMap<RackKey, Rack>,
}

impl<'a> Racks<'a> {
    fn add(&mut self, pool: &'a str, rack: &'a str) {
        let racks = &mut self.racks;
        let key = self.keys.entry((pool, rack));
        key.or_insert_with(|| racks.insert(Rack::default()));
    }

    /// Adds an open worker, and what its tasks still ask for, to its rack.
    fn add_worker(
        &mut self,
        key: WorkerKey,
        worker: &'a Worker,
        ledger: &Ledger,
        factor: RemoteFactor,
        now: Moment,
    ) {
        let registration = &worker.registration;
        let name = (registration.pool.as_str(), registration.rack());
        let Some(rack) = self.keys.get(&name) else {
            return;
        };
        let rack = &mut self.racks[*rack];
        rack.workers.push(key);
        let whole = registration.capacity.millicores;
        let free_of = |used: u32| u64::from(whole.saturating_sub(used));
        rack.declared.processors += free_of(worker.long_running_cpu);
        rack.idle.processors += free_of(worker.long_running_usage());
        for task in worker.tasks.values() {
            let task = &ledger.tasks[*task];
            let step = ledger.workflows[task.workflow].step(task.name);
            rack.add_work(
                step,
                work_left(task, step, registration.rack(), factor, now),
            );
        }
    }

    /// Decides for the next waiting task. If it waits, later ones find its work before them.
    fn decide(
        &mut self,
        task: &Task,
        ledger: &Ledger,
        workers: &SlotMap<WorkerKey, Worker>,
        factor: RemoteFactor,
        now: Moment,
    ) -> bool {
        let workflow = &ledger.workflows[task.workflow];
        let step = workflow.step(task.name);
        let name = step.data_rack.as_deref().unwrap_or_default();
        let rack = self.keys[&(workflow.queue.pool.as_str(), name)];
        let rack = &mut self.racks[rack];
        let waiting = WaitingTask {
            estimate: step.estimate,
            waited: now - task.ready,
            long_running: step.long_running,
        };
        let mut open = rack.workers.iter().map(|key| &workers[*key]);
        let has_worker = open.any(|worker| can_hold(worker, step));
        let waits = has_worker && waiting.waits_for(rack.load(step), factor);
        if waits {
            let tasks = if step.gang { step.count } else { 1 };
            let work = processor_time(step, step.estimate) * u64::from(tasks);
            if !step.long_running {
                rack.add_work(step, work);
            }
            rack.awaited = true;
        }
        waits
    }
}

/// Whether a worker can hold a task of this step once its tasks that end have ended.
fn can_hold(worker: &Worker, step: &Step) -> bool {
    let registration = &worker.registration;
    let whole = registration.capacity.millicores;
    let processors = whole.saturating_sub(worker.long_running_cpu);
    let has_processors = step.best_effort || processors >= step.need.millicores;
    registration.has_label(step.label.as_deref())
        && registration.capacity.holds(step.need)
        && has_processors
}

/// What a run still asks for, by the estimate. Long-running tasks are not counted, as what
/// they hold is not counted among the rack's processors either.
fn work_left(task: &Task, step: &Step, rack: &str, factor: RemoteFactor, now: Moment) -> u64 {
    if step.long_running || !matches!(task.stage, Stage::Starting(_) | Stage::Running(_)) {
        return 0;
    }
    let near = step.data_rack.as_deref().is_none_or(|data| data == rack);
    let whole = if near {
        step.estimate
    } else {
        factor.remote_time(step.estimate)
    };
    processor_time(step, whole.saturating_sub(now - task.since))
}

/// The processor time of one task, in millicores times milliseconds.
fn processor_time(step: &Step, time: Duration) -> u64 {
    u64::from(step.need.millicores).saturating_mul(time.as_millis() as u64)
}
