//! What short tasks of one pool ask for.

use std::time::Duration;

use crate::moment::Moment;

/// The time constant with which a peak and the usual need of a task are forgotten.
const MEMORY_TIME: Duration = Duration::from_secs(10);

/// The share that is left after `elapsed` of a value that decays.
fn decay(elapsed: Duration) -> f64 {
    (-elapsed.as_secs_f64() / MEMORY_TIME.as_secs_f64()).exp()
}

/// What the short tasks of one priority use and ask for, in millicores.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Demand {
    /// What short tasks that run have declared.
    pub in_use: u64,
    /// What short tasks that wait have declared.
    pub waiting: u64,
    /// The decaying peak of both together.
    pub peak: f64,
}

impl Demand {
    /// Updates the peak after `elapsed`. What is asked for counts up to `limit`.
    pub fn learn(&mut self, limit: u64, elapsed: Duration) {
        let asked = (self.in_use + self.waiting).min(limit);
        self.peak = (self.peak * decay(elapsed)).max(asked as f64);
    }

    /// The processors missing from the current use up to the peak.
    pub const fn missing(&self) -> u64 {
        (self.peak as u64).saturating_sub(self.in_use)
    }

    /// Whether nothing is left to remember.
    pub const fn is_over(&self) -> bool {
        self.in_use == 0 && self.waiting == 0 && self.peak < 1.0
    }
}

/// The usual need of a short task: a slowly moving mean of what waiting tasks ask for.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct UsualNeed {
    mean: f64,
    learned: Moment,
}

impl UsualNeed {
    /// Moves the mean towards that of the tasks that wait now, in millicores.
    pub fn learn(&mut self, need: f64, now: Moment) {
        let kept = if self.mean > 0.0 {
            decay(now - self.learned)
        } else {
            0.0
        };
        self.mean = self.mean * kept + need * (1.0 - kept);
        self.learned = now;
    }

    /// The usual need in millicores; 0 if it is not known.
    pub const fn millicores(&self) -> u64 {
        self.mean as u64
    }

    /// How much of a worker's free processors whole short tasks can use. All of it, if the
    /// usual need is not known.
    pub const fn usable(&self, free: u64) -> u64 {
        match self.millicores() {
            0 => free,
            need => free - free % need,
        }
    }
}
