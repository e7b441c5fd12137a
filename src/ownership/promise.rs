//! Promises between the entry hosts of a zone.
//!
//! With n other hosts in a session's view, its holder acts on promises while
//! n - f of them are unexpired, and a takeover needs f + 1 hosts that have
//! given the session up. Any n - f and any f + 1 of n hosts have one in
//! common, so the two exclude each other. The promises are leases in the sense
//! of C. Gray and D. Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism
//! for Distributed File Cache Consistency" (1989).

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{HostId, SessionId};
use crate::moment::Moment;

/// The other entry hosts of a zone whose promises a session counts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The members, by process and not by address, with the address of each.
    pub members: BTreeMap<HostId, String>,
}

impl View {
    /// How many members may be silent without stopping the holder.
    ///
    /// ```
    /// use lycheelock::ids::HostId;
    /// use lycheelock::ownership::View;
    ///
    /// let view = |hosts: &[u64]| View {
    ///     members: hosts.iter().map(|host| (HostId(*host), String::new())).collect(),
    /// };
    /// assert_eq!(view(&[1]).tolerance(), 0);
    /// assert_eq!(view(&[1, 2]).tolerance(), 1);
    /// ```
    pub fn tolerance(&self) -> usize {
        usize::from(self.members.len() >= 2)
    }

    /// How many members must have given the session up before a takeover.
    pub fn needed_to_take(&self) -> usize {
        match self.members.len() {
            0 => 0,
            _ => self.tolerance() + 1,
        }
    }

    /// How many members must promise before the holder acts without its lease.
    pub fn needed_to_act(&self) -> usize {
        self.members.len() - self.tolerance()
    }
}

/// The promises that one host has given, and those it has been given.
#[derive(Debug, Default)]
pub struct Promises {
    given: BTreeMap<SessionId, Moment>,
    abandoned: BTreeSet<SessionId>,
    received: BTreeMap<Held, Moment>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Held {
    session: SessionId,
    from: HostId,
}

impl Promises {
    /// Promises a session support until `now + span`, unless it was given up.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lycheelock::ids::SessionId;
    /// use lycheelock::moment::Moment;
    /// use lycheelock::ownership::Promises;
    ///
    /// let mut promises = Promises::default();
    /// let start = Moment::from_micros(0);
    /// let second = Duration::from_secs(1);
    /// assert!(promises.promise(SessionId(1), second, start));
    /// assert!(!promises.give_up(SessionId(1), start));
    /// assert!(promises.give_up(SessionId(1), start + second));
    /// assert!(!promises.promise(SessionId(1), second, start + second));
    /// ```
    pub fn promise(&mut self, session: SessionId, span: Duration, now: Moment) -> bool {
        if self.abandoned.contains(&session) {
            return false;
        }
        self.given.insert(session, now + span);
        true
    }

    /// Gives a session up for good, unless a promise to it is unexpired.
    pub fn give_up(&mut self, session: SessionId, now: Moment) -> bool {
        let expired = self.given.get(&session).is_none_or(|until| *until <= now);
        if expired {
            self.given.remove(&session);
            self.abandoned.insert(session);
        }
        expired
    }

    /// Notes a promise of `from` to an own session.
    pub fn receive(&mut self, session: SessionId, from: HostId, until: Moment) {
        let held = self.received.entry(Held { session, from }).or_insert(until);
        *held = until.max(*held);
    }

    /// Whether the holder of `session` may act on the promises of `view`.
    pub fn suffice(&self, session: SessionId, view: &View, now: Moment) -> bool {
        if view.members.is_empty() {
            return false;
        }
        let unexpired = view.members.keys().filter(|from| {
            let held = Held {
                session,
                from: **from,
            };
            self.received.get(&held).is_some_and(|until| now < *until)
        });
        unexpired.count() >= view.needed_to_act()
    }

    /// Drops what is known of an own session that is no longer used.
    pub fn drop_session(&mut self, session: SessionId) {
        self.received.retain(|held, _| held.session != session);
    }
}
