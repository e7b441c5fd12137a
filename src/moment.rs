//! A point on a process's own steady clock.

use std::fmt;
use std::ops::{Add, Sub};
use std::sync::OnceLock;
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// A point in time in microseconds since the process started.
///
/// Decisions take a `Moment` and read no clock, so a test can drive them in
/// virtual time.
///
/// ```
/// use std::time::Duration;
/// use lycheelock::moment::Moment;
///
/// let start = Moment::from_micros(5);
/// assert_eq!(start + Duration::from_micros(2), Moment::from_micros(7));
/// assert_eq!(start - Moment::from_micros(9), Duration::ZERO);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(u64);

impl Moment {
    /// Reads the host's clock since boot, which also counts the time that the
    /// host was suspended: leases of others go on meanwhile.
    ///
    /// ```
    /// use lycheelock::moment::Moment;
    ///
    /// assert!(Moment::now() <= Moment::now());
    /// ```
    pub fn now() -> Self {
        static START: OnceLock<Duration> = OnceLock::new();
        let now = since_boot();
        let start = START.get_or_init(|| now);
        Self(now.saturating_sub(*start).as_micros() as u64 + 1)
    }

    /// A point given in microseconds.
    ///
    /// ```
    /// use lycheelock::moment::Moment;
    ///
    /// assert_eq!(Moment::from_micros(3).as_micros(), 3);
    /// ```
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Microseconds since the process started.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The time left until `later`, zero once it has passed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lycheelock::moment::Moment;
    ///
    /// let now = Moment::from_micros(10);
    /// assert_eq!(now.until(Moment::from_micros(15)), Duration::from_micros(5));
    /// assert_eq!(now.until(Moment::from_micros(5)), Duration::ZERO);
    /// ```
    pub fn until(self, later: Self) -> Duration {
        later - self
    }
}

fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME)
        .expect("every Linux since 2.6.39 has this clock")
        .into()
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span.as_micros() as u64))
    }
}

impl Sub for Moment {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for Moment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}s", self.0 as f64 / 1e6)
    }
}
