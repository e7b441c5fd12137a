//! The names of jobs and of their tasks.

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

/// A text that is no name of a job or a task.
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
        let digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        let accepted = text.len() == ID_DIGITS && text.bytes().all(digit);
        let value = u64::from_str_radix(text, 16).ok().filter(|_| accepted);
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

/// The name of a task.
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
    /// The job.
    pub workflow: WorkflowId,
    /// Which repetition of the job, from 0.
    pub occurrence: u32,
    /// The step, from 0.
    pub step: u32,
    /// The task of the step, from 0.
    pub index: u32,
}

impl FromStr for TaskName {
    type Err = ParseNameError;

    fn from_str(text: &str) -> Result<Self, ParseNameError> {
        let fault = || ParseNameError {
            text: text.to_owned(),
            expected: "a task's name such as 5c0e7a21d94b36f8.0.1.17",
        };
        let mut parts = text.split('.');
        let workflow = parts.next().unwrap_or_default().parse()?;
        let mut number = || {
            let part = parts.next().ok_or_else(fault)?;
            part.parse::<u32>().map_err(|_| fault())
        };
        let name = Self {
            workflow,
            occurrence: number()?,
            step: number()?,
            index: number()?,
        };
        match parts.next() {
            None => Ok(name),
            Some(_) => Err(fault()),
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
