//! Workers that a former owner may have used and that have not answered this owner, with the
//! shortest time of a recovery.

use std::time::Duration;

use crate::moment::Moment;
use crate::workflow::TaskName;

/// The time after the stored state was read in which all workers can report their ended runs.
pub(super) const MIN_RECOVERY: Duration = Duration::from_secs(1);

/// What a worker that has not answered this owner may be running.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum PossibleRuns {
    /// Runs of these tasks only: the former owner has closed the worker.
    Listed(Vec<TaskName>),
    /// Runs of any task that a former owner may have started.
    Any,
}

/// A worker whose runs this owner waits for by their own deadline.
#[derive(Debug, Clone)]
pub(super) struct ClosedWorker {
    /// What the worker may still be running.
    pub runs: PossibleRuns,
    /// When all leases on the worker have ended; absent if that is at the recovery deadline.
    pub leases_end: Option<Moment>,
}

impl ClosedWorker {
    /// The listed tasks; `None` if any task may run on the worker.
    pub fn tasks(&self) -> Option<&Vec<TaskName>> {
        match &self.runs {
            PossibleRuns::Listed(tasks) => Some(tasks),
            PossibleRuns::Any => None,
        }
    }

    /// Whether the leases on the worker are known to have ended by `now`.
    pub fn has_ended(&self, now: Moment) -> bool {
        self.leases_end.is_some_and(|end| end <= now)
    }
}
