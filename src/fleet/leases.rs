//! Until when the runs on a worker may go on without a renewal.

use std::time::Duration;

use super::{MAX_LATENESS, longest_span};
use crate::moment::Moment;

/// The ends of the leases on a worker, as its owner knows them.
///
/// A lease is a time on the worker's clock, which starts anew with each incarnation. An order by
/// the clock of a former incarnation may be carried out by the next one, whose clock is far behind:
/// all runs there then last for the longest lease that a worker grants, counted from that moment.
/// Such leases are called overlong here.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Leases {
    /// By when all leases that were given by the clock of the present incarnation have ended.
    given: Moment,
    /// By when all overlong leases have ended.
    overlong: Moment,
    /// When the last order that renews the leases was sent.
    renewed: Moment,
    /// When the newest order with a lease was sent that got no answer.
    unanswered: Moment,
}

impl Leases {
    /// Creates the state of a worker without leases.
    pub fn new(now: Moment) -> Self {
        Self {
            given: now,
            ..Self::default()
        }
    }

    /// The time for which a run may go on without a renewal on a worker that grants leases of up to
    /// `longest` by a clock that may be slow.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lycheelock::fleet::Leases;
    ///
    /// assert_eq!(Leases::longest(Duration::from_millis(9_800)), Duration::from_secs(10));
    /// ```
    pub fn longest(granted: Duration) -> Duration {
        longest_span(granted)
    }

    /// By when all runs have ended, if the worker gets no further orders.
    pub fn end(&self) -> Moment {
        self.given.max(self.overlong)
    }

    /// By when all leases by the clock of the present incarnation have ended.
    pub const fn given(&self) -> Moment {
        self.given
    }

    /// By when all overlong leases have ended; the start of time if there is none.
    pub const fn overlong(&self) -> Moment {
        self.overlong
    }

    /// When the last order that renews the leases was sent.
    pub const fn renewed(&self) -> Moment {
        self.renewed
    }

    /// Records an order with a lease that has ended by `expiry`.
    pub fn on_order(&mut self, expiry: Moment) {
        self.given = self.given.max(expiry);
    }

    /// Records an order, sent at `sent`, that renews the leases until `expiry`.
    pub fn on_renewal(&mut self, sent: Moment, expiry: Moment) {
        self.on_order(expiry);
        self.renewed = sent;
    }

    /// Records that an order with a lease, sent at `sent`, got no answer. It may be carried out
    /// later.
    pub fn on_unanswered(&mut self, sent: Moment) {
        self.unanswered = self.unanswered.max(sent);
    }

    /// Records that overlong leases may last until `end`.
    pub fn prolong_overlong(&mut self, end: Moment) {
        self.overlong = self.overlong.max(end);
    }

    /// Records that orders to former incarnations have no effect from `now` on.
    pub fn end_former_orders(&mut self, now: Moment, longest: Duration) {
        self.overlong = self.overlong.min(now + longest);
    }

    /// Forgets overlong leases that have ended by `now`. Returns whether there were any.
    pub fn forget_overlong(&mut self, now: Moment) -> bool {
        let ended = self.overlong > Moment::default() && self.overlong < now;
        if ended {
            self.overlong = Moment::default();
        }
        ended
    }

    /// Processes a restart of the worker, which is known at `now`. The newest order in progress
    /// was sent at `in_progress`, if there is one.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lycheelock::fleet::Leases;
    /// use lycheelock::moment::Moment;
    ///
    /// let second = |second: u64| Moment::from_micros(second * 1_000_000);
    /// let longest = Duration::from_secs(10);
    /// let mut leases = Leases::new(second(20));
    /// assert_eq!(leases.restarted(None, second(30), longest).overlong(), second(40));
    /// // An order without an answer may be carried out 12 s after it was sent.
    /// leases.on_unanswered(second(29));
    /// assert_eq!(leases.restarted(None, second(30), longest).overlong(), second(51));
    /// ```
    #[must_use]
    pub fn restarted(self, in_progress: Option<Moment>, now: Moment, longest: Duration) -> Self {
        let last_order = in_progress.unwrap_or_default().max(self.unanswered);
        let last_effect = match last_order == Moment::default() {
            true => now,
            false => now.max(last_order + MAX_LATENESS),
        };
        self.with_next_incarnation(last_effect + longest, now)
    }

    /// The leases after a restart that is known at `now`, if all overlong leases that it causes
    /// have ended by `overlong`.
    #[must_use]
    pub fn with_next_incarnation(self, overlong: Moment, now: Moment) -> Self {
        Self {
            given: now,
            overlong: self.overlong.max(overlong),
            renewed: Moment::default(),
            unanswered: self.unanswered,
        }
    }
}
