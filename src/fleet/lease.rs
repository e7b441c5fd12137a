//! Converts the ends of leases between our clock and a worker's, which is known from
//! the worker's reports.

use std::time::Duration;

use crate::moment::Moment;

/// The lease of the runs on a worker: without a renewal they end after this time.
pub const RUN_LEASE: Duration = Duration::from_millis(4500);

/// The longest time by which a lease may outlast the last heartbeat that the store has accepted
/// from the shard's owner. An owner that is cut off from the store thus loses its runs by then,
/// and a new owner may start their tasks again.
pub const HEARTBEAT_LEASE: Duration = Duration::from_millis(6500);

/// The longest lease that a worker grants; it shortens longer ones to its own limit.
pub const MAX_WORKER_LEASE: Duration = Duration::from_secs(10);

/// The longest time after which a worker carries out a call that it has not answered.
pub const MAX_LATENESS: Duration = Duration::from_secs(12);

/// The lowest rate of a worker's clock against ours: it may be 2% slow.
pub const MIN_CLOCK_RATE: f64 = 0.98;

/// By how much the difference between two readings may be too low, in milliseconds: workers
/// round their clocks to whole milliseconds.
const READING_TOLERANCE: u64 = 1;

/// The longest time that a worker's clock takes to advance by `span`.
///
/// ```
/// use std::time::Duration;
/// use lycheelock::fleet::longest_span;
///
/// assert_eq!(longest_span(Duration::from_millis(980)), Duration::from_secs(1));
/// ```
pub fn longest_span(span: Duration) -> Duration {
    span.div_f64(MIN_CLOCK_RATE)
}

/// A reading of a worker's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Clock {
    /// The worker's clock, in milliseconds.
    reading: u64,
    /// When the answer with the reading arrived, on our clock.
    received: Moment,
}

impl Clock {
    /// Creates a reading that arrived at `received`.
    pub const fn new(reading: u64, received: Moment) -> Self {
        Self { reading, received }
    }

    /// Whether a reading in the answer to a call sent at `sent` is too low for this clock, even if
    /// that is as slow as allowed. Then the worker has probably restarted in between.
    ///
    /// ```
    /// use lycheelock::fleet::Clock;
    /// use lycheelock::moment::Moment;
    ///
    /// let clock = Clock::new(10_000, Moment::from_micros(0));
    /// let sent = Moment::from_micros(1_000_000);
    /// assert!(!clock.is_behind(10_979, sent));
    /// assert!(clock.is_behind(10_978, sent));
    /// ```
    pub fn is_behind(self, reading: u64, sent: Moment) -> bool {
        sent >= self.received && reading + READING_TOLERANCE < self.latest_lease_end(sent)
    }

    /// Returns the end of a lease that begins at `now`, in milliseconds of the worker's
    /// clock.
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
        self.reading + (now - self.received + lease).as_millis() as u64
    }

    /// Returns the latest end of a lease that has certainly ended by `limit`, in milliseconds of
    /// the worker's clock, even if that clock is as slow as allowed.
    ///
    /// ```
    /// use lycheelock::fleet::Clock;
    /// use lycheelock::moment::Moment;
    ///
    /// let clock = Clock::new(10_000, Moment::from_micros(0));
    /// let limit = Moment::from_micros(1_000_000);
    /// assert_eq!(clock.latest_lease_end(limit), 10_980);
    /// ```
    pub fn latest_lease_end(self, limit: Moment) -> u64 {
        let left = (limit - self.received).mul_f64(MIN_CLOCK_RATE);
        self.reading + left.as_millis() as u64
    }

    /// Returns the moment by which the worker's clock has passed `lease_end`, even if
    /// it is as slow as allowed.
    ///
    /// ```
    /// use lycheelock::fleet::Clock;
    /// use lycheelock::moment::Moment;
    ///
    /// let clock = Clock::new(10_000, Moment::from_micros(0));
    /// assert_eq!(clock.latest_expiry(10_980), Moment::from_micros(1_000_000));
    /// ```
    pub fn latest_expiry(self, lease_end: u64) -> Moment {
        let left = Duration::from_millis(lease_end.saturating_sub(self.reading));
        self.received + longest_span(left)
    }
}
