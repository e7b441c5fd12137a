//! The summary that the demo prints as its last line.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The results of the demo, printed as one JSON line.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Numbers of interactive requests by outcome.
    pub requests: RequestSums,
    /// Numbers of batch jobs by outcome.
    pub jobs: JobSums,
    /// Number of evictions of batch tasks.
    pub evictions: u64,
    /// Number of retries for each reason.
    pub retries: BTreeMap<String, u64>,
    /// Number of violated invariants that the audit found in the workers' journals.
    pub violations: u64,
}

/// Numbers of interactive requests by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestSums {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered successfully and in full.
    pub answered: u64,
    /// Requests refused without being run.
    pub refused: u64,
    /// Requests that may have run.
    pub unknown: u64,
}

/// Numbers of batch jobs by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSums {
    /// Jobs accepted.
    pub accepted: u64,
    /// Jobs all of whose tasks finished.
    pub finished: u64,
    /// Jobs refused.
    pub refused: u64,
}

impl Summary {
    /// Returns whether the demo succeeded: no violations, at least 95 % of the
    /// requests answered, and at least one job accepted and all accepted jobs finished.
    ///
    /// ```
    /// assert!(!lycheelock::demo::Summary::default().is_successful());
    /// ```
    pub const fn is_successful(&self) -> bool {
        let enough = self.requests.answered * 100 >= self.requests.sent * 95;
        let finished = self.jobs.finished == self.jobs.accepted;
        self.violations == 0 && enough && finished && self.jobs.accepted > 0
    }
}
