//! The last line of the demo.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// What the demo did, as one JSON line.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Interactive requests.
    pub requests: RequestSums,
    /// Batch jobs.
    pub jobs: JobSums,
    /// Evicted tasks.
    pub evictions: u64,
    /// Retries by reason.
    pub retries: BTreeMap<String, u64>,
    /// What must never happen, as the workers' journals show it.
    pub violations: u64,
}

/// The sums of interactive requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestSums {
    /// Sent.
    pub sent: u64,
    /// Answered in full.
    pub answered: u64,
    /// Refused as not run.
    pub refused: u64,
    /// May have run.
    pub unknown: u64,
}

/// The sums of batch jobs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSums {
    /// Accepted.
    pub accepted: u64,
    /// All of whose tasks finished.
    pub finished: u64,
    /// Refused.
    pub refused: u64,
}

impl Summary {
    /// Whether the demo shows what it should.
    ///
    /// ```
    /// assert!(!lycheelock::demo::Summary::default().is_good());
    /// ```
    pub const fn is_good(&self) -> bool {
        let enough = self.requests.answered * 100 >= self.requests.sent * 95;
        let finished = self.jobs.finished == self.jobs.accepted;
        self.violations == 0 && enough && finished && self.jobs.accepted > 0
    }
}
