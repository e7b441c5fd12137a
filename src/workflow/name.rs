//! The ids of jobs and the names of their tasks.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The id that a caller chose for its job.
///
/// ```
/// use lycheelock::workflow::WorkflowId;
///
/// let id: WorkflowId = "5c0e7a21d94b36f8".parse().unwrap();
/// assert_eq!(id.to_string(), "5c0e7a21d94b36f8");
/// assert!("5C0E".parse::<WorkflowId>().is_err());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkflowId(pub u64);

/// The error for a text that is not the id of a job or the name of a task.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{text:?} is not {expected}")]
pub struct ParseNameError {
    text: String,
    expected: &'static str,
}

const ID_DIGITS: usize = 16;

impl FromStr for WorkflowId {
    type Err = ParseNameError;

    fn from_str(text: &str) -> Result<Self, ParseNameError> {
        let is_digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        let is_valid = text.len() == ID_DIGITS && text.bytes().all(is_digit);
        let value = u64::from_str_radix(text, 16).ok().filter(|_| is_valid);
        value.map(Self).ok_or_else(|| ParseNameError {
            text: text.to_owned(),
            expected: "an id of 16 lower-case hexadecimal digits",
        })
    }
}

impl fmt::Display for WorkflowId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The name of a task: its job, and its indices in the job.
///
/// ```
/// use lycheelock::workflow::TaskName;
///
/// let name: TaskName = "5c0e7a21d94b36f8.0.1.17".parse().unwrap();
/// assert_eq!((name.step, name.index), (1, 17));
/// assert_eq!(name.to_string(), "5c0e7a21d94b36f8.0.1.17");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskName {
    /// The id of the job.
    pub workflow: WorkflowId,
    /// The index of the job's occurrence, from 0.
    pub occurrence: u32,
    /// The index of the step in the job, from 0.
    pub step: u32,
    /// The index of the task in its step, from 0.
    pub index: u32,
}

impl FromStr for TaskName {
    type Err = ParseNameError;

    fn from_str(text: &str) -> Result<Self, ParseNameError> {
        let error = || ParseNameError {
            text: text.to_owned(),
            expected: "a task's name such as 5c0e7a21d94b36f8.0.1.17",
        };
        let mut parts = text.split('.');
        let workflow = parts.next().unwrap_or_default().parse()?;
        let mut number = || {
            let part = parts.next().ok_or_else(error)?;
            part.parse::<u32>().map_err(|_| error())
        };
        let name = Self {
            workflow,
            occurrence: number()?,
            step: number()?,
            index: number()?,
        };
        match parts.next() {
            None => Ok(name),
            Some(_) => Err(error()),
        }
    }
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            workflow,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{workflow}.{occurrence}.{step}.{index}")
    }
}
