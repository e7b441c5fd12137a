//! Promises between the entry hosts of a zone.
//!
//! With n other hosts in a session's view, of which f may fail, the session's
//! holder acts on promises while n - f of them are unexpired, and a takeover
//! needs f + 1 hosts that have given up the session. Any n - f and any f + 1 of
//! n hosts have one in common, so the two cannot hold at the same time.
//!
//! The promises are leases in the sense of C. Gray and D. Cheriton, "Leases: An
//! Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency"
//! (1989).

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{HostId, SessionId};
use crate::moment::Moment;

/// The other entry hosts of a zone whose promises count for a session.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The address of each member, by process: a restarted host is another member.
    pub members: BTreeMap<HostId, String>,
}

impl View {
    /// Number of members that may fail without stopping the session's holder.
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

    /// Number of members that must have given up the session before a takeover.
    pub fn takeover_quorum(&self) -> usize {
        match self.members.len() {
            0 => 0,
            _ => self.tolerance() + 1,
        }
    }

    /// Number of members whose promises let the holder act after its lease has ended.
    pub fn acting_quorum(&self) -> usize {
        self.members.len() - self.tolerance()
    }
}

/// The promises that one host has given to others and received for its own sessions.
#[derive(Debug, Default)]
pub struct Promises {
    given: BTreeMap<SessionId, Moment>,
    given_up: BTreeSet<SessionId>,
    received: BTreeMap<PromiseKey, Moment>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PromiseKey {
    session: SessionId,
    from: HostId,
}

impl Promises {
    /// Promises until `now + span` not to give up a session. Returns false if it
    /// was given up already.
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
        if self.given_up.contains(&session) {
            return false;
        }
        self.given.insert(session, now + span);
        true
    }

    /// Gives up a session for good and returns true, unless a promise to it is
    /// unexpired.
    pub fn give_up(&mut self, session: SessionId, now: Moment) -> bool {
        let expired = self.given.get(&session).is_none_or(|until| *until <= now);
        if expired {
            self.given.remove(&session);
            self.given_up.insert(session);
        }
        expired
    }

    /// Records that `from` has promised until `until` not to give up a session of
    /// this host.
    pub fn receive(&mut self, session: SessionId, from: HostId, until: Moment) {
        let latest = self
            .received
            .entry(PromiseKey { session, from })
            .or_insert(until);
        *latest = until.max(*latest);
    }

    /// Whether the holder of `session` may act on the promises of `view`.
    pub fn has_quorum(&self, session: SessionId, view: &View, now: Moment) -> bool {
        if view.members.is_empty() {
            return false;
        }
        let unexpired = view.members.keys().filter(|from| {
            let key = PromiseKey {
                session,
                from: **from,
            };
            self.received.get(&key).is_some_and(|until| now < *until)
        });
        unexpired.count() >= view.acting_quorum()
    }

    /// Drops the promises to a session of this host that is no longer used.
    pub fn drop_session(&mut self, session: SessionId) {
        self.received.retain(|key, _| key.session != session);
    }
}
