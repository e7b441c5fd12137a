//! The order in which waiting tasks are placed.

use std::collections::HashMap;
use std::time::Duration;

use crate::moment::Moment;
use crate::workflow::{ActiveWorkflow, OVERDUE_FACTOR, Task, TaskKey, WorkflowKey, WorkflowState};

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

/// How a waiting task is ordered among those of its priority; the first class is placed
/// first. Jobs that have started come before new ones: if capacity is spread over more
/// jobs than can end in time, the work done for those that do not end is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Precedence {
    /// The job has started and can end in time; or the task is long-running and has run
    /// before, or has been overtaken for too long.
    Started,
    /// The job has started and will end late, but is still of use.
    StartedLate,
    /// The job has not started and can end in time, or the task is long-running and has never
    /// run.
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

    const fn of_long_running(is_new: bool) -> Self {
        if is_new { Self::New } else { Self::Started }
    }
}

/// By how many seconds the latest start of a job is deferred for each second of run
/// time that its unfinished tasks need in sum. If not all jobs can end in time, small
/// and nearly done ones thus come first.
const START_DEFERRAL: f64 = 0.1;
/// The limit on that deferral, as a share of the time that the job can wait and
/// still end in time.
const MAX_DEFERRAL_SHARE: f64 = 0.5;
/// For how long later work may go before a long-running task that has never run, as a share of
/// the time that its job can wait and still end in time.
const MAX_OVERTAKING_SHARE: f64 = 0.5;
/// The lower limit on that time, for jobs that can hardly wait.
const MIN_OVERTAKING: Duration = Duration::from_secs(5);
/// The upper limit on that time, for jobs that run for hours or days.
const MAX_OVERTAKING: Duration = Duration::from_secs(30);
/// All of a job's work, in the unit of [`Rank::work_left`].
const WHOLE_WORK: u64 = 1000;

/// The sort key of a waiting task; the smallest is placed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// The priority of the queue as set by the operator; 0 is the most urgent.
    pub priority: u32,
    /// The order among tasks of the same priority.
    pub precedence: Precedence,
    /// The part of the job's work that is left, in thousandths, if the job has
    /// started and is late; 0 otherwise. A large and a small job that are half done
    /// thus rank alike.
    pub work_left: u64,
    /// The latest start with which the job ends in time, deferred for the run time that
    /// its unfinished tasks need.
    pub latest_start: Moment,
    /// The task itself, which makes each rank unique.
    pub task: TaskKey,
}

/// What the ranks of an occurrence's tasks have in common. It takes time in proportion to the
/// steps of the job, of which there may be a thousand, so it is computed once for all tasks.
struct OccurrenceRank {
    allowed: Duration,
    /// How long later work may go before a long-running task that has never run.
    max_overtaking: Duration,
    started: bool,
    work_left: u64,
    remaining_time: Duration,
    /// By step, the estimated duration of the longest chain of steps to the end of the job.
    remaining_paths: Vec<Duration>,
}

impl OccurrenceRank {
    /// Computes it for an occurrence of a job.
    fn new(workflow: &ActiveWorkflow, occurrence: usize) -> Self {
        Self {
            allowed: workflow.allowed(),
            max_overtaking: max_overtaking(workflow),
            started: has_started(workflow, occurrence),
            work_left: work_left(workflow, occurrence),
            remaining_time: remaining_time(workflow, occurrence),
            remaining_paths: remaining_paths(workflow),
        }
    }
}

/// Computes the ranks of waiting tasks, of several jobs in any order.
#[derive(Default)]
pub struct Ranks(HashMap<(WorkflowKey, u32), OccurrenceRank>);

impl Ranks {
    /// Computes the rank of a waiting task.
    pub fn rank(
        &mut self,
        workflow: &ActiveWorkflow,
        key: TaskKey,
        task: &Task,
        now: Moment,
    ) -> Rank {
        let occurrence = task.name.occurrence;
        let common = self.0.entry((task.workflow, occurrence));
        let common = common.or_insert_with(|| OccurrenceRank::new(workflow, occurrence as usize));
        rank(workflow, common, key, task, now)
    }
}

/// Computes the rank of a waiting task. Long-running tasks always count as in time. One that
/// has never run ranks with the new jobs, because it would hold for long the processors that
/// short tasks need briefly. After [`max_overtaking`] it ranks as started.
fn rank(
    workflow: &ActiveWorkflow,
    common: &OccurrenceRank,
    key: TaskKey,
    task: &Task,
    now: Moment,
) -> Rank {
    let due = workflow.occurrences[task.name.occurrence as usize].due;
    let begin = workflow.accepted.max(due);
    let remaining = common.remaining_paths[task.name.step as usize];
    let allowed = common.allowed;
    let step = workflow.step(task.name);
    let precedence = if step.long_running {
        let is_new = !step.best_effort && !task.has_run();
        Precedence::of_long_running(is_new && now - task.ready < common.max_overtaking)
    } else {
        let timeliness = timeliness(begin, allowed, now + remaining);
        Precedence::new(common.started, timeliness)
    };
    let work_left = match precedence {
        Precedence::StartedLate => common.work_left,
        _ => 0,
    };
    let slack = allowed.saturating_sub(remaining);
    let latest_start = (begin + allowed - Moment::default()).saturating_sub(remaining);
    let deferral = common.remaining_time.mul_f64(START_DEFERRAL);
    Rank {
        priority: workflow.queue.priority,
        precedence,
        work_left,
        latest_start: Moment::default()
            + latest_start
            + deferral.min(slack.mul_f64(MAX_DEFERRAL_SHARE)),
        task: key,
    }
}

/// How long later work may go before a long-running task of this job that has never run.
fn max_overtaking(workflow: &ActiveWorkflow) -> Duration {
    let slack = workflow
        .allowed()
        .saturating_sub(workflow.spec.critical_path());
    slack
        .mul_f64(MAX_OVERTAKING_SHARE)
        .clamp(MIN_OVERTAKING, MAX_OVERTAKING)
}

/// Whether a job that began at `begin` is in time if it ends at `end`.
fn timeliness(begin: Moment, allowed: Duration, end: Moment) -> Timeliness {
    if end <= begin + allowed {
        Timeliness::InTime
    } else if end <= begin + allowed * OVERDUE_FACTOR {
        Timeliness::Late
    } else {
        Timeliness::Overdue
    }
}

/// Whether a task of the occurrence is done or, for jobs that run once, was started.
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
    left * WHOLE_WORK / workflow.spec.work().max(1)
}

/// By step, the estimated duration of the longest chain of steps from it to the end of the
/// job.
fn remaining_paths(workflow: &ActiveWorkflow) -> Vec<Duration> {
    let steps = &workflow.spec.steps;
    let mut paths = vec![Duration::ZERO; steps.len()];
    for number in (0..steps.len()).rev() {
        paths[number] += steps[number].estimate;
        let path = paths[number];
        // A step depends on earlier ones only, whose paths are complete later.
        for earlier in &steps[number].after {
            paths[*earlier] = paths[*earlier].max(path);
        }
    }
    paths
}

/// The sum of the estimated run times of all unfinished tasks of an occurrence.
fn remaining_time(workflow: &ActiveWorkflow, occurrence: usize) -> Duration {
    let remaining = &workflow.occurrences[occurrence].remaining;
    let steps = workflow.spec.steps.iter().zip(remaining);
    steps
        .map(|(step, remaining)| step.estimate * *remaining)
        .sum()
}
