//! Whether a worker can take a task.

use crate::fleet::Worker;
use crate::workflow::{Step, TaskName};

/// The processors that must be idle for a best-effort task, as a share of what
/// it asks for.
const REQUIRED_IDLE_SHARE: f64 = 1.0;
/// The memory that best-effort tasks leave free for urgent ones, as a share of
/// the worker's memory.
const URGENT_MEMORY_SHARE: f64 = 0.08;

/// Whether the worker is on the rack of the task's data; true for tasks without
/// such a rack.
pub(super) fn is_on_data_rack(worker: &Worker, step: &Step) -> bool {
    let rack = step.data_rack.as_deref();
    rack.is_none_or(|rack| rack == worker.registration.rack())
}

/// Whether the worker has all that a task of the step needs free.
pub(super) fn fits(worker: &Worker, step: &Step, name: TaskName) -> bool {
    has_capacity(worker, step) && has_label(worker, step) && is_below_limit(worker, step, name)
}

/// Whether the worker runs fewer tasks of the step than it may.
pub(super) fn is_below_limit(worker: &Worker, step: &Step, name: TaskName) -> bool {
    let limit = step.worker_limit;
    limit.is_none_or(|limit| count_of_step(worker, name) < limit as usize)
}

/// Whether the worker has the label that the step needs, if any.
pub(super) fn has_label(worker: &Worker, step: &Step) -> bool {
    worker.registration.has_label(step.label.as_deref())
}

fn has_capacity(worker: &Worker, step: &Step) -> bool {
    let accelerators = worker.free().accelerators >= step.need.accelerators;
    accelerators && has_memory(worker, step) && has_processors(worker, step)
}

/// Whether the worker has the memory free that a task of the step needs.
pub(super) fn has_memory(worker: &Worker, step: &Step) -> bool {
    let free = worker.free().memory;
    if !step.best_effort {
        return free >= step.need.memory;
    }
    let whole = f64::from(worker.registration.capacity.memory);
    let (need, reserve) = (f64::from(step.need.memory), whole * URGENT_MEMORY_SHARE);
    // A task that never fits beside the reserve may use it.
    let reserve = if need + reserve > whole { 0.0 } else { reserve };
    f64::from(free) - reserve >= need
}

/// Whether the worker has the processors that a task of the step needs: those that no task
/// declares or, for a best-effort task, idle ones.
pub(super) fn has_processors(worker: &Worker, step: &Step) -> bool {
    if !step.best_effort {
        return worker.free().millicores >= step.need.millicores;
    }
    worker.idle() as f64 >= f64::from(step.need.millicores) * REQUIRED_IDLE_SHARE
}

/// The number of tasks of the same step and occurrence that the worker may be
/// running.
pub(super) fn count_of_step(worker: &Worker, name: TaskName) -> usize {
    let first = TaskName { index: 0, ..name };
    let last = TaskName {
        index: u32::MAX,
        ..name
    };
    worker.tasks.range(first..=last).count()
}
