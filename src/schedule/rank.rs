//! The order in which waiting tasks are placed.

use std::time::Duration;

use crate::moment::Moment;
use crate::workflow::{ActiveWorkflow, OVERDUE_FACTOR, Task, TaskKey};

/// Whether the job can still end in time if the task starts now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timeliness {
    /// The job can end within its allowed time.
    InTime,
    /// The job will end late, but is still of use.
    Late,
    /// The job will end too late to be of use.
    Overdue,
}

/// By how many seconds the latest start of a job is deferred for each second of
/// its remaining work. If not all jobs can end in time, small and nearly done
/// ones thus come first.
const START_DEFERRAL: f64 = 0.1;

/// The sort key of a waiting task; the smallest is placed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// The priority of the queue as set by the operator; 0 is the most urgent.
    pub priority: u32,
    /// Whether the job can still end in time.
    pub timeliness: Timeliness,
    /// The latest start with which the job ends in time, deferred in
    /// proportion to its remaining work.
    pub latest_start: Moment,
    /// The task itself, which makes each rank unique.
    pub task: TaskKey,
}

/// Computes the rank of a waiting task. Long-running tasks always count as in
/// time.
pub fn rank(workflow: &ActiveWorkflow, key: TaskKey, task: &Task, now: Moment) -> Rank {
    let due = workflow.occurrences[task.name.occurrence as usize].due;
    let begin = workflow.accepted.max(due);
    let allowed = workflow.objective() - workflow.accepted;
    let remaining = remaining_path(workflow, task.name.step as usize);
    let end = begin + allowed;
    let work = remaining_work(workflow, task.name.occurrence as usize);
    let timeliness = if now + remaining <= end {
        Timeliness::InTime
    } else if now + remaining <= begin + allowed * OVERDUE_FACTOR {
        Timeliness::Late
    } else {
        Timeliness::Overdue
    };
    Rank {
        priority: workflow.queue.priority,
        timeliness: if workflow.step(task.name).long_running {
            Timeliness::InTime
        } else {
            timeliness
        },
        latest_start: Moment::default()
            + (end - Moment::default()).saturating_sub(remaining)
            + work.mul_f64(START_DEFERRAL),
        task: key,
    }
}

/// The estimated duration of the longest chain of steps from this step to the
/// end of the job.
fn remaining_path(workflow: &ActiveWorkflow, step: usize) -> Duration {
    let steps = &workflow.spec.steps;
    let mut remaining = vec![Duration::ZERO; steps.len()];
    for number in (step..steps.len()).rev() {
        let later = steps[number + 1..].iter().enumerate();
        let longest = later
            .filter(|(_, later)| later.after.contains(&number))
            .map(|(offset, _)| remaining[number + 1 + offset])
            .max();
        remaining[number] = steps[number].estimate + longest.unwrap_or_default();
    }
    remaining[step]
}

/// The estimated work of all unfinished tasks of an occurrence.
fn remaining_work(workflow: &ActiveWorkflow, occurrence: usize) -> Duration {
    let remaining = &workflow.occurrences[occurrence].remaining;
    let steps = workflow.spec.steps.iter().zip(remaining);
    steps
        .map(|(step, remaining)| step.estimate * *remaining)
        .sum()
}
