//! Accounts for the capacity that tasks use on their workers.

use super::Scheduler;
use crate::fleet::WorkerKey;
use crate::workflow::TaskKey;

impl Scheduler {
    /// Adds a task and the capacity that it uses to a worker.
    pub(super) fn add_usage(&mut self, key: TaskKey, worker: WorkerKey) {
        let task = &self.ledger.tasks[key];
        let step = self.ledger.workflows[task.workflow].step(task.name);
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
        let step = self.ledger.workflows[task.workflow].step(task.name);
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
        }
        if step.tail_target.is_some() {
            let image = self.images.key(&step.image);
            self.exposure.remove_serving(target, image);
        }
        target.used -= need;
    }
}
