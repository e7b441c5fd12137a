//! Decides which connections stay open.

use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use super::{OverloadSettings, Reason};
use crate::moment::Moment;

/// The bytes that must move in a second while a request or response is transmitted.
const MIN_BYTES_PER_SECOND: u64 = 1 << 10;
/// The longest time in which all bytes that a request or response holds must have moved, so
/// that a slow client cannot hold a large part of the budget for hours.
const MAX_TRANSFER: Duration = Duration::from_secs(60);
/// The time after which a body without enough progress can lose its bytes to another
/// request. A host with a small share of a processor may itself be late by several hundred
/// milliseconds.
const LEAST_PERIOD: Duration = Duration::from_secs(1);
/// How long a connection without a request is kept open.
const KEEP_ALIVE: Duration = Duration::from_secs(60);

new_key_type! {
    /// The key of an open connection.
    pub struct ConnectionKey;
}

/// What happens on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// No request has begun.
    Idle,
    /// Headers or a body arrive.
    Receiving,
    /// The request is with its handler.
    Handling,
    /// The response is being sent.
    Sending,
}

/// Whether a new connection is served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It is served.
    Open(ConnectionKey),
    /// It is served, and another connection has to be closed for it.
    Replace {
        /// The new connection.
        opened: ConnectionKey,
        /// The connection to close.
        closed: ConnectionKey,
    },
    /// It is closed: every other connection has its request with a handler.
    Refuse,
}

/// Whether an open connection stays open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Check {
    /// It stays open and is checked again at this moment.
    Keep(Moment),
    /// It is closed; with the reason unless it was just idle.
    Close(Option<Reason>),
}

#[derive(Debug)]
struct Connection {
    stage: Stage,
    /// When the stage or the current period of it began.
    since: Moment,
    /// When bytes last moved or the stage changed.
    progress: Moment,
    /// The bytes that moved since `since`.
    moved: u64,
    /// The bytes of its request and response.
    held: u64,
    /// Whether it is already being closed for another.
    evicted: bool,
    /// Whether its body has lost its bytes to another request.
    displaced: bool,
}

/// The open connections from callers.
///
/// Load: more connections than the host can hold, most of them idle, slow or stopped
/// in the middle of a request.
#[derive(Debug)]
pub struct Connections {
    limit: usize,
    stall: Duration,
    all: SlotMap<ConnectionKey, Connection>,
}

impl Connections {
    /// Creates the table. Connections beyond `limit` replace others; a request or
    /// response without progress for `stall` is given up.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lycheelock::moment::Moment;
    /// use lycheelock::overload::{Admission, Connections};
    ///
    /// let mut connections = Connections::new(1, Duration::from_secs(5));
    /// let now = Moment::from_micros(0);
    /// assert!(matches!(connections.open(now), Admission::Open(_)));
    /// assert!(matches!(connections.open(now), Admission::Replace { .. }));
    /// ```
    pub fn new(limit: usize, stall: Duration) -> Self {
        Self {
            limit,
            stall,
            all: SlotMap::with_key(),
        }
    }

    /// Admits a new connection. From seven eighths of the limit on, connections that
    /// have made no progress for a while are replaced; the last eighth stays free for
    /// callers that make progress.
    pub fn open(&mut self, now: Moment) -> Admission {
        let spare = self.limit - self.limit / 8;
        let open = self.all.values().filter(|each| !each.evicted).count();
        let closed = match open {
            open if open < spare => None,
            open => {
                let full = open >= self.limit;
                let worst = self.worst(now, if full { Duration::ZERO } else { self.stall });
                if full && worst.is_none() {
                    return Admission::Refuse;
                }
                worst
            }
        };
        let opened = self.all.insert(Connection {
            stage: Stage::Idle,
            since: now,
            progress: now,
            moved: 0,
            held: 0,
            evicted: false,
            displaced: false,
        });
        match closed {
            None => Admission::Open(opened),
            Some(closed) => {
                self.all[closed].evicted = true;
                Admission::Replace { opened, closed }
            }
        }
    }

    /// Returns the connection that holds the most and makes the least progress: the
    /// highest product of bytes held and time without progress, of those without
    /// progress for `quiet`. A request that is with its handler is never given up.
    fn worst(&self, now: Moment, quiet: Duration) -> Option<ConnectionKey> {
        let candidates = self.all.iter().filter(|(_, each)| {
            !each.evicted && each.stage != Stage::Handling && now - each.progress >= quiet
        });
        let worst = candidates.max_by_key(|(_, each)| {
            let bytes = each.held + OverloadSettings::CONNECTION_BYTES;
            let quiet = (now - each.progress).as_millis();
            (u128::from(bytes) * quiet, each.held)
        });
        worst.map(|(key, _)| key)
    }

    /// Records that a stage begins.
    pub fn enter(&mut self, key: ConnectionKey, stage: Stage, now: Moment) {
        if let Some(found) = self.all.get_mut(key) {
            found.stage = stage;
            found.since = now;
            found.progress = now;
            found.moved = 0;
            found.displaced = false;
        }
    }

    /// Records that bytes were received or sent.
    pub fn record_moved(&mut self, key: ConnectionKey, bytes: u64, now: Moment) {
        if let Some(found) = self.all.get_mut(key) {
            found.moved += bytes;
            found.progress = now;
        }
    }

    /// Sets the bytes that the request and response of a connection hold.
    pub fn set_held(&mut self, key: ConnectionKey, bytes: u64) {
        if let Some(found) = self.all.get_mut(key) {
            found.held = bytes;
        }
    }

    /// Returns the bodies that lose their bytes so that another request, on connection
    /// `taker` if on one, gets `missing` bytes: those that have made too little progress for
    /// [`check`](Self::check), over a second or more; the largest first. Returns none if
    /// that does not suffice.
    pub fn displace(
        &mut self,
        taker: Option<ConnectionKey>,
        missing: u64,
        now: Moment,
    ) -> Vec<ConnectionKey> {
        let candidates = self.all.iter().filter(|(key, each)| {
            let period = now - each.since;
            Some(*key) != taker
                && each.stage == Stage::Receiving
                && !each.evicted
                && !each.displaced
                && period >= LEAST_PERIOD
                && each.moved < least_progress(each.held, period)
        });
        let mut found: Vec<_> = candidates.map(|(key, each)| (each.held, key)).collect();
        found.sort_unstable_by(|one, other| other.cmp(one));
        let mut sum = 0;
        let enough = found.iter().position(|(held, _)| {
            sum += held;
            sum >= missing
        });
        let count = enough.map_or(0, |place| place + 1);
        let displaced: Vec<_> = found[..count].iter().map(|(_, key)| *key).collect();
        for key in &displaced {
            self.all[*key].displaced = true;
        }
        displaced
    }

    /// Whether the body on a connection has lost its bytes to another request.
    pub fn is_displaced(&self, key: ConnectionKey) -> bool {
        self.all.get(key).is_some_and(|found| found.displaced)
    }

    /// Checks whether a connection has made enough progress. Call it at the moment that
    /// the check before gave.
    pub fn check(&mut self, key: ConnectionKey, now: Moment) -> Check {
        let stall = self.stall;
        let Some(found) = self.all.get_mut(key) else {
            return Check::Close(None);
        };
        let period = match found.stage {
            Stage::Idle => KEEP_ALIVE,
            Stage::Receiving | Stage::Handling | Stage::Sending => stall,
        };
        if now < found.since + period {
            return Check::Keep(found.since + period);
        }
        match found.stage {
            Stage::Idle => return Check::Close(None),
            Stage::Receiving | Stage::Sending => {
                if found.moved < least_progress(found.held, stall) {
                    return Check::Close(Some(Reason::Stalled));
                }
            }
            Stage::Handling => {}
        }
        found.since = now;
        found.moved = 0;
        Check::Keep(now + stall)
    }

    /// Forgets a connection that was closed.
    pub fn close(&mut self, key: ConnectionKey) {
        self.all.remove(key);
    }

    /// The number of open connections.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}

/// The bytes that must move in each period of `stall` on a connection that holds `held`
/// bytes.
fn least_progress(held: u64, stall: Duration) -> u64 {
    let rate = MIN_BYTES_PER_SECOND.max(held / MAX_TRANSFER.as_secs());
    rate * stall.as_millis() as u64 / 1000
}
