//! The order in which waiting tasks are placed.

use std::time::Duration;

use crate::moment::Moment;
use crate::workflow::{ActiveWorkflow, Task, TaskKey};

/// A job is worth nothing once it takes this many times its allowed time.
const WORTHLESS_AFTER: u32 = 3;

/// How much the caller still gains if the task starts now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Prospect {
    /// The job can still end in time.
    InTime,
    /// The job will be late.
    Late,
    /// The job is too late to be of use.
    Overdue,
}

/// How much later a job may start for each second of work that is left of it:
/// where not all can end in time, small jobs and those nearly done come first.
const WORK_WEIGHT: f64 = 0.1;

/// The place of a task in the queue; the smallest comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// The operator's priority, 0 first.
    pub priority: u32,
    /// What the caller still gains.
    pub prospect: Prospect,
    /// The latest start that ends the job in time, later for much work.
    pub latest: Moment,
    /// Keeps ranks apart.
    pub task: TaskKey,
}

/// Ranks a waiting task.
pub fn rank(flow: &ActiveWorkflow, key: TaskKey, task: &Task, now: Moment) -> Rank {
    let due = flow.occurrences[task.name.occurrence as usize].due;
    let begin = flow.accepted.max(due);
    let allowed = flow.objective() - flow.accepted;
    let rest = rest_of_chain(flow, task.name.step as usize);
    let end = begin + allowed;
    let work = work_left(flow, task.name.occurrence as usize);
    let prospect = if now + rest <= end {
        Prospect::InTime
    } else if now + rest <= begin + allowed * WORTHLESS_AFTER {
        Prospect::Late
    } else {
        Prospect::Overdue
    };
    Rank {
        priority: flow.queue.priority,
        prospect: if flow.step(task.name).long_running {
            Prospect::InTime
        } else {
            prospect
        },
        latest: Moment::default()
            + (end - Moment::default()).saturating_sub(rest)
            + work.mul_f64(WORK_WEIGHT),
        task: key,
    }
}

/// The estimated work from the begin of a step to the end of the job.
fn rest_of_chain(flow: &ActiveWorkflow, step: usize) -> Duration {
    let steps = &flow.spec.steps;
    let mut rest = vec![Duration::ZERO; steps.len()];
    for number in (step..steps.len()).rev() {
        let later = steps[number + 1..].iter().enumerate();
        let longest = later
            .filter(|(_, later)| later.after.contains(&number))
            .map(|(offset, _)| rest[number + 1 + offset])
            .max();
        rest[number] = steps[number].estimate + longest.unwrap_or_default();
    }
    rest[step]
}

/// The estimated work of all tasks of a repetition that are not done.
fn work_left(flow: &ActiveWorkflow, occurrence: usize) -> Duration {
    let left = &flow.occurrences[occurrence].remaining;
    let steps = flow.spec.steps.iter().zip(left);
    steps.map(|(step, left)| step.estimate * *left).sum()
}
