//! The order in which waiting tasks are placed.

use std::time::Duration;

use crate::moment::Moment;
use crate::workflow::{ActiveWorkflow, OVERDUE_FACTOR, Task, TaskKey, WorkflowState};

/// Whether the job can still end in time if the task starts now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Timeliness {
    /// The job can end within its allowed time.
    InTime,
    /// The job will end late, but is still of use.
    Late,
    /// The job will end too late to be of use.
    Overdue,
}

/// Whether a task goes before others of its priority. Jobs that have started come
/// before new ones: work on more jobs than can end in time is lost for all of them,
/// and first of all for the large ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Precedence {
    /// The job has started and can end in time, or the task is long-running.
    Started,
    /// The job has started and will end late, but is still of use.
    StartedLate,
    /// The job has not started and can end in time.
    New,
    /// The job has not started and will end late, but is still of use.
    NewLate,
    /// The job will end too late to be of use.
    Overdue,
}

impl Precedence {
    const fn new(started: bool, timeliness: Timeliness) -> Self {
        match (started, timeliness) {
            (true, Timeliness::InTime) => Self::Started,
            (true, Timeliness::Late) => Self::StartedLate,
            (false, Timeliness::InTime) => Self::New,
            (false, Timeliness::Late) => Self::NewLate,
            (_, Timeliness::Overdue) => Self::Overdue,
        }
    }
}

/// By how many seconds the latest start of a job is deferred for each second of
/// its remaining work. If not all jobs can end in time, small and nearly done
/// ones thus come first.
const START_DEFERRAL: f64 = 0.1;
/// The limit on that deferral, as a share of the time that the job can wait and
/// still end in time. Without it, a large job is late long before its turn.
const MAX_DEFERRAL_SHARE: f64 = 0.5;

/// The sort key of a waiting task; the smallest is placed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// The priority of the queue as set by the operator; 0 is the most urgent.
    pub priority: u32,
    /// Whether the task goes before others of its priority.
    pub precedence: Precedence,
    /// The part of the job's work that is left, in thousandths, if the job has
    /// started and is late; 0 otherwise. The job that is nearest to its end, for its
    /// size, is finished first.
    pub work_left: u64,
    /// The latest start with which the job ends in time, deferred in
    /// proportion to its remaining work.
    pub latest_start: Moment,
    /// The task itself, which makes each rank unique.
    pub task: TaskKey,
}

/// Computes the rank of a waiting task. Long-running tasks always count as
/// started and in time.
pub fn rank(workflow: &ActiveWorkflow, key: TaskKey, task: &Task, now: Moment) -> Rank {
    let occurrence = task.name.occurrence as usize;
    let due = workflow.occurrences[occurrence].due;
    let begin = workflow.accepted.max(due);
    let allowed = workflow.objective() - workflow.accepted;
    let remaining = remaining_path(workflow, task.name.step as usize);
    let end = begin + allowed;
    let timeliness = if now + remaining <= end {
        Timeliness::InTime
    } else if now + remaining <= begin + allowed * OVERDUE_FACTOR {
        Timeliness::Late
    } else {
        Timeliness::Overdue
    };
    let precedence = if workflow.step(task.name).long_running {
        Precedence::Started
    } else {
        Precedence::new(has_started(workflow, occurrence), timeliness)
    };
    let deferral = remaining_time(workflow, occurrence).mul_f64(START_DEFERRAL);
    let slack = allowed.saturating_sub(remaining);
    Rank {
        priority: workflow.queue.priority,
        precedence,
        work_left: match precedence {
            Precedence::StartedLate => work_left(workflow, occurrence),
            _ => 0,
        },
        latest_start: Moment::default()
            + (end - Moment::default()).saturating_sub(remaining)
            + deferral.min(slack.mul_f64(MAX_DEFERRAL_SHARE)),
        task: key,
    }
}

/// Whether a task of the occurrence has run or, for jobs that run once, was started.
fn has_started(workflow: &ActiveWorkflow, occurrence: usize) -> bool {
    let remaining = &workflow.occurrences[occurrence].remaining;
    let mut steps = workflow.spec.steps.iter().zip(remaining);
    let runs_once = workflow.spec.recurrence.is_none();
    (runs_once && workflow.state == WorkflowState::Running)
        || steps.any(|(step, remaining)| *remaining < step.count)
}

/// The part of the occurrence's work that is left, in thousandths.
fn work_left(workflow: &ActiveWorkflow, occurrence: usize) -> u64 {
    let remaining = &workflow.occurrences[occurrence].remaining;
    let steps = workflow.spec.steps.iter().zip(remaining);
    let left: u64 = steps
        .map(|(step, remaining)| step.task_work() * u64::from(*remaining))
        .sum();
    left * 1000 / workflow.spec.work().max(1)
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

/// The sum of the estimated run times of all unfinished tasks of an occurrence.
fn remaining_time(workflow: &ActiveWorkflow, occurrence: usize) -> Duration {
    let remaining = &workflow.occurrences[occurrence].remaining;
    let steps = workflow.spec.steps.iter().zip(remaining);
    steps
        .map(|(step, remaining)| step.estimate * *remaining)
        .sum()
}
