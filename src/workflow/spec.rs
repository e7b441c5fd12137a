//! What a caller asks for.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fleet::Capacity;

/// The longest text that tasks are started with, in bytes.
const LONGEST_PAYLOAD: usize = 4000;
/// The most tasks of one step.
const MOST_TASKS: u32 = 10_000;
/// The most steps of one job.
const MOST_STEPS: usize = 1000;

/// A job of one or more steps.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Workflow {
    /// Opaque text that every task is started with.
    pub payload: String,
    /// The steps, in the order of their numbers.
    pub steps: Vec<Step>,
    /// When the steps run, if they do not run once and now.
    pub recurrence: Option<Recurrence>,
}

/// A job whose steps run several times.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recurrence {
    /// How many times.
    pub times: u32,
    /// When the first is due, since 1970.
    pub start: Duration,
    /// From one to the next.
    pub interval: Duration,
}

/// Tasks that are alike and may run at the same time.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// How many tasks.
    pub count: u32,
    /// What each task uses.
    pub need: Capacity,
    /// A rough guess of a task's run time.
    pub estimate: Duration,
    /// Steps whose tasks must all be done first.
    pub after: Vec<usize>,
    /// Whether tasks save their progress.
    pub checkpoints: bool,
    /// The tasks work only while all of them run, and end together.
    pub gang: bool,
    /// The tasks are slower when they run on several racks.
    pub same_rack: bool,
    /// A label that the worker must have.
    pub label: Option<String>,
    /// The rack of the data; tasks are slower on any other.
    pub data_rack: Option<String>,
    /// The most tasks of the step on one worker.
    pub worker_limit: Option<u32>,
    /// Copies of a task may run at the same time.
    pub speculative: bool,
    /// The tasks run until the job is cancelled.
    pub lasting: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: String,
    /// The tail latency that the tasks' own callers may see.
    pub tail_target: Option<Duration>,
    /// The tasks use the processors that other tasks leave idle.
    pub fills: bool,
    /// How many tasks the system may have interrupted at the same time.
    pub may_miss: u32,
}

/// The state of a job, as callers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkflowState {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks ended well.
    Done,
    /// A task failed too often.
    Failed,
    /// A caller cancelled it.
    Cancelled,
}

impl WorkflowState {
    /// Whether nothing of the job runs any more.
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
    /// Checks that the job can be carried out at all.
    ///
    /// # Errors
    ///
    /// Fails with a sentence that names the field and the value.
    ///
    /// ```
    /// use lycheelock::workflow::Workflow;
    ///
    /// let empty = Workflow::default();
    /// assert_eq!(empty.check().unwrap_err(), "a job without steps");
    /// ```
    pub fn check(&self) -> Result<(), String> {
        if self.steps.is_empty() {
            return Err("a job without steps".to_owned());
        }
        if self.steps.len() > MOST_STEPS {
            let steps = self.steps.len();
            return Err(format!("{steps} steps: give at most {MOST_STEPS}"));
        }
        if self.payload.len() > LONGEST_PAYLOAD {
            let bytes = self.payload.len();
            return Err(format!(
                "payload of {bytes} bytes: give at most {LONGEST_PAYLOAD}"
            ));
        }
        let mut steps = self.steps.iter().enumerate();
        steps.try_for_each(|(number, step)| step.check(number))
    }

    /// The longest chain of estimated work.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lycheelock::workflow::{Step, Workflow};
    ///
    /// let first = Step { count: 1, estimate: Duration::from_secs(1), ..Step::default() };
    /// let second = Step { after: vec![0], ..first.clone() };
    /// let workflow = Workflow { steps: vec![first, second], ..Workflow::default() };
    /// assert_eq!(workflow.chain(), Duration::from_secs(2));
    /// ```
    pub fn chain(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().map(|step| ends[*step]).max();
            ends.push(before.unwrap_or_default() + step.estimate);
        }
        ends.into_iter().max().unwrap_or_default()
    }
}

impl Step {
    /// A tail in percent of the target; none for tasks without a target.
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
        let target = self.tail_target?.as_millis() as u32;
        Some(millis.saturating_mul(100) / target.max(1))
    }

    fn check(&self, number: usize) -> Result<(), String> {
        if self.count == 0 || self.count > MOST_TASKS {
            let count = self.count;
            return Err(format!(
                "step {number}: {count} tasks: give 1 to {MOST_TASKS}"
            ));
        }
        match self.after.iter().find(|step| **step >= number) {
            Some(step) => Err(format!(
                "step {number} comes after step {step}, which is not before it"
            )),
            None => Ok(()),
        }
    }
}
