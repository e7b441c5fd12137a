//! Accounts for the capacity that tasks use on their workers.

use std::collections::BTreeMap;

use super::Scheduler;
use super::place::OpenWorkers;
use crate::fleet::{Capacity, WorkerKey};
use crate::headroom::PoolHeadroom;
use crate::moment::Moment;
use crate::workflow::{Stage, TaskKey};

impl Scheduler {
    /// Adds a task and the capacity that it uses to a worker.
    pub(super) fn add_usage(&mut self, key: TaskKey, worker: WorkerKey) {
        let task = &self.ledger.tasks[key];
        let workflow = &self.ledger.workflows[task.workflow];
        let step = workflow.step(task.name);
        let target = &mut self.workers[worker];
        if target.tasks.insert(task.name, key).is_some() {
            return;
        }
        let mut need = step.need;
        if step.best_effort {
            let cpu = need.at_speed(task.allowed_speed);
            target.best_effort_cpu = target.best_effort_cpu.saturating_add(cpu);
            need.millicores = 0;
            let image = self.images.key(&step.image);
            self.exposure.add_best_effort(target, image);
        } else if step.long_running {
            target.long_running_cpu = target.long_running_cpu.saturating_add(need.millicores);
        } else {
            let priority = workflow.queue.priority;
            target.short_use.add(priority, need.millicores);
        }
        if step.tail_target.is_some() {
            let image = self.images.key(&step.image);
            self.exposure.add_serving(target, image);
        }
        target.used += need;
    }

    /// Removes a task and the capacity that it uses from its worker.
    pub(super) fn unassign(&mut self, key: TaskKey) {
        let task = &self.ledger.tasks[key];
        let Some(worker) = task.stage.worker() else {
            return;
        };
        let workflow = &self.ledger.workflows[task.workflow];
        let step = workflow.step(task.name);
        let Some(target) = self.workers.get_mut(worker) else {
            return;
        };
        if target.tasks.remove(&task.name).is_none() {
            return;
        }
        let mut need = step.need;
        if step.best_effort {
            let cpu = need.at_speed(task.allowed_speed);
            target.best_effort_cpu = target.best_effort_cpu.saturating_sub(cpu);
            need.millicores = 0;
            let image = self.images.key(&step.image);
            self.exposure.remove_best_effort(target, image);
        } else if step.long_running {
            target.long_running_cpu = target.long_running_cpu.saturating_sub(need.millicores);
        } else {
            let priority = workflow.queue.priority;
            target.short_use.subtract(priority, need.millicores);
        }
        if step.tail_target.is_some() {
            let image = self.images.key(&step.image);
            self.exposure.remove_serving(target, image);
        }
        target.used -= need;
    }

    /// Lets the headroom of each pool follow the waiting tasks and the open workers.
    pub(super) fn observe_headroom(&mut self, queue: &[TaskKey], open: &OpenWorkers, now: Moment) {
        let waiting = queue.iter().filter_map(|key| {
            let task = self.ledger.tasks.get(*key)?;
            let workflow = &self.ledger.workflows[task.workflow];
            let waits = task.stage == Stage::Waiting && !workflow.state.is_final();
            waits.then_some((workflow, task))
        });
        let workers = |pool: &str| open.of_pool(pool).iter().map(|key| &self.workers[*key]);
        self.headroom.observe(waiting, workers, now);
    }

    /// Lets the headroom follow the placement of a task or, for a gang, of all its members.
    pub(super) fn update_headroom(&mut self, key: TaskKey, now: Moment) {
        let task = &self.ledger.tasks[key];
        let workflow = &self.ledger.workflows[task.workflow];
        let step = workflow.step(task.name);
        let members = if step.gang {
            self.members(key)
        } else {
            vec![key]
        };
        let mut need = step.need;
        if step.best_effort {
            need.millicores = 0;
        }
        let mut taken: BTreeMap<WorkerKey, Capacity> = BTreeMap::new();
        let stages = members
            .iter()
            .map(|member| self.ledger.tasks[*member].stage);
        for worker in stages.filter_map(Stage::worker) {
            *taken.entry(worker).or_default() += need;
        }
        for (worker, taken) in taken {
            let worker = &self.workers[worker];
            self.headroom.on_placed(workflow, task, worker, taken, now);
        }
    }

    /// Returns what each pool keeps free for short tasks, for the metrics.
    pub fn headroom_readings(&self) -> Vec<PoolHeadroom> {
        self.headroom.readings()
    }

    /// Divides the use of short tasks anew, after the priorities of queues have changed.
    pub(super) fn recount_short_use(&mut self) {
        for worker in self.workers.values_mut() {
            worker.short_use.clear();
            let tasks = worker.tasks.values();
            for task in tasks.filter_map(|key| self.ledger.tasks.get(*key)) {
                let workflow = &self.ledger.workflows[task.workflow];
                let step = workflow.step(task.name);
                if !step.best_effort && !step.long_running {
                    let priority = workflow.queue.priority;
                    worker.short_use.add(priority, step.need.millicores);
                }
            }
        }
    }
}
