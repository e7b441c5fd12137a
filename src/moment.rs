//! A point in time on the monotonic clock of a process.

use std::fmt;
use std::ops::{Add, Sub};
use std::sync::OnceLock;
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// A point in time in microseconds since the process started.
///
/// Code that decides takes a `Moment` and reads no clock, so that tests can run it
/// in virtual time.
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
    /// Reads the host's clock since boot. That clock also counts the time for which the
    /// host was suspended, because the leases of others keep running meanwhile.
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

    /// Creates a point in time from microseconds since the process started.
    ///
    /// ```
    /// use lycheelock::moment::Moment;
    ///
    /// assert_eq!(Moment::from_micros(3).as_micros(), 3);
    /// ```
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the microseconds since the process started.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time left until `later`, or zero if it has passed.
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
        .expect("CLOCK_BOOTTIME exists since Linux 2.6.39")
        .into()
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
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
