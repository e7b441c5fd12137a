//! Counts refusals, and decides when they are written to the log.

use std::time::Duration;

use crate::moment::Moment;

/// The shortest time between two log lines of one reason.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Why a request was refused or a connection closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The request or response would have exceeded the byte budget.
    Budget,
    /// The request or response made no progress.
    Stalled,
    /// Too many connections were open.
    Connections,
    /// The headers were too large.
    Headers,
    /// A peer had not proved that it has the key.
    Peers,
}

impl Reason {
    /// All reasons, in the order of their counters.
    pub const ALL: [Self; 5] = [
        Self::Budget,
        Self::Stalled,
        Self::Connections,
        Self::Headers,
        Self::Peers,
    ];

    /// Returns the name used in counters and log lines.
    ///
    /// ```
    /// assert_eq!(lycheelock::overload::Reason::Stalled.name(), "stalled");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            Self::Budget => "budget",
            Self::Stalled => "stalled",
            Self::Connections => "connections",
            Self::Headers => "headers",
            Self::Peers => "peers",
        }
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Count {
    total: u64,
    /// The refusals since the last log line.
    unwritten: u64,
    /// When the last log line was written.
    written: Option<Moment>,
}

/// The refusals of a process, by reason.
///
/// Load: thousands of refusals a second, which must not fill the log.
#[derive(Debug, Default)]
pub struct Refusals {
    counts: [Count; Reason::ALL.len()],
}

impl Refusals {
    /// Counts a refusal. Returns the number of refusals since the last log line if a
    /// line is due.
    ///
    /// ```
    /// use lycheelock::moment::Moment;
    /// use lycheelock::overload::{Reason, Refusals};
    ///
    /// let mut refusals = Refusals::default();
    /// let at = |ms: u64| Moment::from_micros(ms * 1000);
    /// assert_eq!(refusals.record(Reason::Budget, at(0)), Some(1));
    /// assert_eq!(refusals.record(Reason::Budget, at(10)), None);
    /// assert_eq!(refusals.record(Reason::Budget, at(1000)), Some(2));
    /// ```
    pub fn record(&mut self, reason: Reason, now: Moment) -> Option<u64> {
        let count = &mut self.counts[reason as usize];
        count.total += 1;
        count.unwritten += 1;
        if count.written.is_some_and(|at| now < at + LINE_INTERVAL) {
            return None;
        }
        count.written = Some(now);
        Some(std::mem::take(&mut count.unwritten))
    }

    /// Returns the number of refusals of one reason.
    pub const fn total(&self, reason: Reason) -> u64 {
        self.counts[reason as usize].total
    }
}
