//! What a placement accepts, and its result.

use crate::fleet::WorkerKey;

/// The highest log odds of interference that a best-effort task accepts once it has waited
/// for a while.
pub(super) const ACCEPTED_LOG_ODDS: f64 = 1.5;

/// How much interference with serving tasks a placement accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Risk {
    /// Interference is less probable than not.
    Unlikely,
    /// Interference is probable, but not nearly certain.
    Possible,
    /// Any interference, but the run is slow where interference is probable.
    Slow,
}

impl Risk {
    /// The highest log odds of interference that are accepted at full speed.
    pub const fn log_odds(self) -> f64 {
        match self {
            Self::Unlikely => 0.0,
            Self::Possible | Self::Slow => ACCEPTED_LOG_ODDS,
        }
    }
}

/// What a placement accepts, by how long its task has waited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Tolerance {
    /// How much interference is accepted.
    pub risk: Risk,
    /// Whether workers in quarantine are accepted, if most of the workers are.
    pub quarantine: bool,
    /// Whether workers on which another task is on trial, and those that a gang waits for,
    /// are accepted.
    pub overdue: bool,
}

impl Tolerance {
    /// What a task accepts that has not waited.
    pub const NONE: Self = Self {
        risk: Risk::Unlikely,
        quarantine: false,
        overdue: false,
    };

    /// Whether this accepts all that `other` accepts.
    pub const fn includes(self, other: Self) -> bool {
        self.risk as u8 >= other.risk as u8
            && (self.quarantine || !other.quarantine)
            && (self.overdue || !other.overdue)
    }
}

/// A worker for a task, and the speed at which the task runs there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Placement {
    pub worker: WorkerKey,
    /// In percent of full speed.
    pub speed: u8,
}
