//! The decision for one task and one rack.

use std::time::Duration;

/// The longest time that a task waits for the rack of its data. Estimates are declared by
/// callers and may be far too long.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// The same for a long-running task. It is of use only while it runs, so a slower run is better
/// than none.
const MAX_LONG_RUNNING_WAIT: Duration = Duration::from_millis(1500);
/// The factor 1, in thousandths.
const UNIT: u32 = 1000;
/// The limit on the factor, in thousandths.
const MAX_FACTOR: u32 = 100 * UNIT;

/// How many times as long a task takes on a rack other than that of its data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RemoteFactor {
    thousandths: u32,
}

impl Default for RemoteFactor {
    fn default() -> Self {
        Self {
            thousandths: 2 * UNIT,
        }
    }
}

impl RemoteFactor {
    /// Creates a factor from thousandths; `None` if it is below 1 or above 100.
    ///
    /// ```
    /// use lycheelock::locality::RemoteFactor;
    ///
    /// assert!(RemoteFactor::from_thousandths(2_500).is_some());
    /// assert!(RemoteFactor::from_thousandths(999).is_none());
    /// ```
    pub const fn from_thousandths(thousandths: u32) -> Option<Self> {
        if thousandths < UNIT || thousandths > MAX_FACTOR {
            return None;
        }
        Some(Self { thousandths })
    }

    /// Returns by how much longer a task with this estimate takes on another rack.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use lycheelock::locality::RemoteFactor;
    ///
    /// let factor = RemoteFactor::from_thousandths(2_500).unwrap();
    /// let second = Duration::from_secs(1);
    /// assert_eq!(factor.cost(second), second * 3 / 2);
    /// ```
    pub fn cost(self, estimate: Duration) -> Duration {
        estimate * (self.thousandths - UNIT) / UNIT
    }

    /// Returns how long a task with this estimate takes on another rack.
    pub(super) fn remote_time(self, estimate: Duration) -> Duration {
        estimate + self.cost(estimate)
    }
}

/// What a waiting task finds on a rack.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RackLoad {
    /// The processors that the rack's open workers have for tasks that end, in millicores.
    pub processors: u64,
    /// The processor time that running tasks, and those that wait for the rack and go
    /// first, still ask for there, in millicores times milliseconds.
    pub work: u64,
}

impl RackLoad {
    /// Returns for how long a further task is expected to wait; `None` if the rack has no
    /// open worker with processors for it.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use lycheelock::locality::RackLoad;
    ///
    /// let load = RackLoad { processors: 8_000, work: 16_000_000 };
    /// assert_eq!(load.expected_wait(), Some(Duration::from_secs(2)));
    /// assert_eq!(RackLoad::default().expected_wait(), None);
    /// ```
    pub fn expected_wait(self) -> Option<Duration> {
        let millis = self.work.checked_div(self.processors)?;
        Some(Duration::from_millis(millis))
    }
}

/// A task that waits for a worker and names the rack of its data.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WaitingTask {
    /// The estimated run time on that rack.
    pub estimate: Duration,
    /// For how long the task has waited.
    pub waited: Duration,
    /// Whether the task runs until its job is cancelled.
    pub long_running: bool,
}

impl WaitingTask {
    /// Returns whether the task goes on waiting for a rack with this load. It does while
    /// the expected wait is shorter than what running elsewhere costs.
    ///
    /// Estimates may be wrong, and free processors may be split over workers: so the time
    /// for which the task has waited has the same limit as the expected one.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use lycheelock::locality::{RackLoad, RemoteFactor, WaitingTask};
    ///
    /// let estimate = Duration::from_secs(1);
    /// let task = WaitingTask { estimate, ..WaitingTask::default() };
    /// let short = RackLoad { processors: 8_000, work: 4_000_000 };
    /// let long = RackLoad { work: 8_000_000, ..short };
    /// assert!(task.waits_for(short, RemoteFactor::default()));
    /// assert!(!task.waits_for(long, RemoteFactor::default()));
    /// ```
    pub fn waits_for(self, load: RackLoad, factor: RemoteFactor) -> bool {
        let cost = factor.cost(self.estimate);
        let longest = if self.long_running {
            MAX_LONG_RUNNING_WAIT
        } else {
            MAX_WAIT
        };
        let limit = cost.min(longest);
        let expected = load.expected_wait();
        self.waited < limit && expected.is_some_and(|expected| expected < limit)
    }
}
