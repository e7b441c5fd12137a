//! Jobs as callers submit them, and their states as callers see them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fleet::Capacity;

/// The limit on the text that tasks are started with, in bytes.
const MAX_PAYLOAD_BYTES: usize = 4000;
/// The limit on the tasks of one step.
const MAX_STEP_TASKS: u32 = 10_000;
/// The limit on the steps of one job.
pub(crate) const MAX_STEPS: usize = 1000;
/// The limit on the tasks of all steps and occurrences of one job.
const MAX_JOB_TASKS: u64 = 100_000;
/// The limit on the estimated run time of a task.
const MAX_ESTIMATE: Duration = Duration::from_hours(366 * 24);
/// The limit on the estimated work of one occurrence, in core milliseconds. Ranks
/// multiply the work by a thousand.
const MAX_WORK: u128 = 1_000_000_000_000_000;

/// A job of one or more steps.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Workflow {
    /// The opaque text that every task is started with.
    pub payload: String,
    /// The steps of the job; other fields refer to a step by its index.
    pub steps: Vec<Step>,
    /// When the steps run; absent if they run once, without delay.
    pub recurrence: Option<Recurrence>,
}

/// The schedule of a job whose steps run several times.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recurrence {
    /// The number of occurrences.
    pub times: u32,
    /// When the first occurrence is due, as time since the Unix epoch.
    pub start: Duration,
    /// The time from one occurrence to the next.
    pub interval: Duration,
}

/// A step of a job: identical tasks that may run at the same time.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// The number of tasks.
    pub count: u32,
    /// The resources that each task needs.
    pub need: Capacity,
    /// A rough estimate of a task's run time.
    pub estimate: Duration,
    /// The indices of the steps whose tasks must all be done first.
    pub after: Vec<usize>,
    /// Whether the tasks save checkpoints from which they can resume.
    pub checkpoints: bool,
    /// Whether the tasks make progress only while all of them run, and end together.
    pub gang: bool,
    /// Whether the tasks are slower when they run on several racks.
    pub same_rack: bool,
    /// The label that a worker must have; absent if any worker will do.
    pub label: Option<String>,
    /// The rack that holds the tasks' data; tasks are slower on other racks. Absent if the
    /// rack does not matter.
    pub data_rack: Option<String>,
    /// The limit on tasks of the step on one worker; absent if there is none.
    pub worker_limit: Option<u32>,
    /// Whether copies of a task may run at the same time.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// The name of the image that the tasks run; tasks of the same image behave alike.
    pub image: String,
    /// The tail latency that the tasks' own callers may see; absent if the tasks serve no
    /// callers.
    pub tail_target: Option<Duration>,
    /// Whether the tasks are best-effort: they use the processors that others leave idle.
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// The limit on tasks of the step that the system interrupts at the same time; 0 if
    /// there is none.
    pub may_miss: u32,
}

/// The state of a job, as callers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkflowState {
    /// No task has started yet.
    Queued,
    /// At least one task has started.
    Running,
    /// All tasks completed.
    Done,
    /// A task failed as often as the queue allows, or crashed its workers.
    Failed,
    /// A caller cancelled the job.
    Cancelled,
}

impl WorkflowState {
    /// Whether the job has ended, so that no further task starts.
    ///
    /// ```
    /// use lycheelock::workflow::WorkflowState;
    ///
    /// assert!(WorkflowState::Done.is_final());
    /// assert!(!WorkflowState::Queued.is_final());
    /// ```
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::Failed | Self::Cancelled)
    }
}

impl Workflow {
    /// Checks that the job can be run at all.
    ///
    /// # Errors
    ///
    /// Fails with a sentence that names the field and the value.
    ///
    /// ```
    /// use lycheelock::workflow::Workflow;
    ///
    /// let empty = Workflow::default();
    /// assert_eq!(empty.check().unwrap_err(), "the job has no steps");
    /// ```
    pub fn check(&self) -> Result<(), String> {
        if self.steps.is_empty() {
            return Err("the job has no steps".to_owned());
        }
        if self.steps.len() > MAX_STEPS {
            let steps = self.steps.len();
            return Err(format!("{steps} steps: give at most {MAX_STEPS}"));
        }
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            let bytes = self.payload.len();
            return Err(format!(
                "payload of {bytes} bytes: give at most {MAX_PAYLOAD_BYTES}"
            ));
        }
        let mut steps = self.steps.iter().enumerate();
        steps.try_for_each(|(number, step)| step.check(number))?;
        self.check_due_times()?;
        self.check_tasks()?;
        self.check_work()
    }

    fn check_due_times(&self) -> Result<(), String> {
        let Some(recurrence) = self.recurrence else {
            return Ok(());
        };
        let Recurrence {
            times,
            start,
            interval,
        } = recurrence;
        let last = interval.checked_mul(times);
        match last.and_then(|last| last.checked_add(start)) {
            Some(_) => Ok(()),
            None => Err(format!(
                "{times} times every {interval:?} from {start:?}: too late"
            )),
        }
    }

    fn check_tasks(&self) -> Result<(), String> {
        let times = self.recurrence.map_or(1, |recurrence| recurrence.times);
        let each = self.task_count();
        if u64::from(times) * u64::from(each) > MAX_JOB_TASKS {
            return Err(format!(
                "{times} times {each} tasks: give at most {MAX_JOB_TASKS} in sum"
            ));
        }
        Ok(())
    }

    fn check_work(&self) -> Result<(), String> {
        let work = |step: &Step| step.task_work_exact() * u128::from(step.count);
        let work: u128 = self.steps.iter().map(work).sum();
        if work > MAX_WORK {
            return Err(format!(
                "estimated work of {work} core milliseconds: give at most {MAX_WORK}"
            ));
        }
        Ok(())
    }

    /// Returns the estimated work of all tasks, in core milliseconds.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lycheelock::fleet::Capacity;
    /// use lycheelock::workflow::{Step, Workflow};
    ///
    /// let need = Capacity { millicores: 500, ..Capacity::default() };
    /// let step = Step { count: 3, need, estimate: Duration::from_secs(1), ..Step::default() };
    /// let workflow = Workflow { steps: vec![step], ..Workflow::default() };
    /// assert_eq!(workflow.work(), 1500);
    /// ```
    pub fn work(&self) -> u64 {
        let steps = self.steps.iter();
        steps
            .map(|step| step.task_work() * u64::from(step.count))
            .sum()
    }

    /// Returns the number of tasks of all steps in one occurrence.
    ///
    /// ```
    /// use lycheelock::workflow::{Step, Workflow};
    ///
    /// let step = Step { count: 3, ..Step::default() };
    /// let workflow = Workflow { steps: vec![step.clone(), step], ..Workflow::default() };
    /// assert_eq!(workflow.task_count(), 6);
    /// ```
    pub fn task_count(&self) -> u32 {
        self.steps.iter().map(|step| step.count).sum()
    }

    /// Returns the length of the critical path: the total estimated run time of the
    /// longest chain of dependent steps.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lycheelock::workflow::{Step, Workflow};
    ///
    /// let first = Step { count: 1, estimate: Duration::from_secs(1), ..Step::default() };
    /// let second = Step { after: vec![0], ..first.clone() };
    /// let workflow = Workflow { steps: vec![first, second], ..Workflow::default() };
    /// assert_eq!(workflow.critical_path(), Duration::from_secs(2));
    /// ```
    pub fn critical_path(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().map(|step| ends[*step]).max();
            ends.push(before.unwrap_or_default() + step.estimate);
        }
        ends.into_iter().max().unwrap_or_default()
    }
}

impl Step {
    /// Returns the estimated work of one task, in core milliseconds.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lycheelock::fleet::Capacity;
    /// use lycheelock::workflow::Step;
    ///
    /// let need = Capacity { millicores: 2500, ..Capacity::default() };
    /// let step = Step { need, estimate: Duration::from_secs(2), ..Step::default() };
    /// assert_eq!(step.task_work(), 5000);
    /// ```
    pub const fn task_work(&self) -> u64 {
        self.task_work_exact() as u64
    }

    const fn task_work_exact(&self) -> u128 {
        self.need.millicores as u128 * self.estimate.as_millis() / 1000
    }

    /// Converts a tail latency in milliseconds to percent of the target; `None` for tasks
    /// without a target.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lycheelock::workflow::Step;
    ///
    /// let tail_target = Some(Duration::from_millis(20));
    /// let step = Step { tail_target, ..Step::default() };
    /// assert_eq!(step.tail_percent(15), Some(75));
    /// assert_eq!(Step::default().tail_percent(15), None);
    /// ```
    pub fn tail_percent(&self, millis: u32) -> Option<u32> {
        let target = self.tail_target?.as_millis().max(1);
        let percent = u128::from(millis) * 100 / target;
        Some(u32::try_from(percent).unwrap_or(u32::MAX))
    }

    fn check(&self, number: usize) -> Result<(), String> {
        if self.count == 0 || self.count > MAX_STEP_TASKS {
            let count = self.count;
            return Err(format!(
                "step {number}: {count} tasks: give 1 to {MAX_STEP_TASKS}"
            ));
        }
        if self.estimate > MAX_ESTIMATE {
            let estimate = self.estimate;
            return Err(format!(
                "step {number}: estimate of {estimate:?}: give at most {MAX_ESTIMATE:?}"
            ));
        }
        match self.after.iter().find(|step| **step >= number) {
            Some(step) => Err(format!(
                "step {number} depends on step {step}, which does not precede it"
            )),
            None => Ok(()),
        }
    }
}
