//! A worker's clock as seen from here, and the ends of leases on it.

use std::time::Duration;

use crate::moment::Moment;

/// How long the runs on a worker may go on without a renewal.
pub const LEASE: Duration = Duration::from_millis(4500);

/// How slow a worker's clock may be, as a factor on its time.
pub const SLOWEST: f64 = 1.02;

/// A reading of a worker's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Clock {
    /// The worker's clock, in milliseconds.
    reading: u64,
    /// When the answer with the reading arrived.
    read: Moment,
}

impl Clock {
    /// A reading that arrived at `read`.
    pub const fn new(reading: u64, read: Moment) -> Self {
        Self { reading, read }
    }

    /// The end of a lease that begins now, on the worker's clock.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lycheelock::fleet::Clock;
    /// use lycheelock::moment::Moment;
    ///
    /// let clock = Clock::new(10_000, Moment::from_micros(0));
    /// let now = Moment::from_micros(2_000_000);
    /// assert_eq!(clock.lease_end(now, Duration::from_secs(4)), 16_000);
    /// ```
    pub fn lease_end(self, now: Moment, lease: Duration) -> u64 {
        self.reading + (now - self.read + lease).as_millis() as u64
    }

    /// The moment by which the worker's clock has certainly passed `until`.
    ///
    /// ```
    /// use lycheelock::fleet::Clock;
    /// use lycheelock::moment::Moment;
    ///
    /// let clock = Clock::new(10_000, Moment::from_micros(0));
    /// assert_eq!(clock.passed(11_000), Moment::from_micros(1_020_000));
    /// ```
    pub fn passed(self, until: u64) -> Moment {
        let left = Duration::from_millis(until.saturating_sub(self.reading));
        self.read + left.mul_f64(SLOWEST)
    }
}
