//! The session of an entry host at the store, and the keys that belong to it.

use serde::{Deserialize, Serialize};

use super::promise::{Promises, View};
use crate::ids::{HostId, SessionId};
use crate::moment::Moment;
use crate::platform::LeaseId;

/// The record of a session in the store, kept also after the lease has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionRecord {
    /// The entry process that holds the session.
    pub host: HostId,
    /// The address at which other entry hosts connect to it.
    pub address: String,
    /// The hosts whose promises count for the session.
    pub view: View,
    /// Whether a host that takes over has sealed the record, so that the view can no
    /// longer change.
    pub sealed: bool,
}

/// The key of a session's record.
pub(super) fn record_key(session: SessionId) -> String {
    format!("sessions/{session}")
}

/// The key of a session's announcement, which exists as long as its lease.
pub(super) fn alive_key(zone: &str, session: SessionId) -> String {
    format!("alive/{zone}/{session}")
}

/// The key that names the newest process at an address. Only one process can use
/// an address, so every earlier process there has certainly ended.
pub(super) fn address_key(address: &str) -> String {
    format!("addresses/{address}")
}

/// An open session.
#[derive(Debug, Clone)]
pub(super) struct Session {
    pub id: SessionId,
    pub lease: LeaseId,
    /// The view that the record in the store is known to hold.
    pub view: View,
    /// A new view whose write is not confirmed. While there is one, promises must
    /// suffice in both views.
    pub proposed: Option<View>,
    /// The version of the record in the store, which the next write expects.
    pub version: u64,
    /// When the lease ends by this host's clock, with the clock margin subtracted.
    pub until: Moment,
    /// Whether the store or a sealed record has shown that the lease has ended.
    pub expired: bool,
    /// Whether a renewal is waiting for its reply.
    pub renewing: bool,
    pub next_renewal: Moment,
    pub renewal_sent: Moment,
}

impl Session {
    /// Whether the holder may act now, on its lease or on promises.
    pub fn may_act(&self, promises: &Promises, now: Moment) -> bool {
        let leased = !self.expired && now < self.until;
        leased || self.is_promised(promises, now)
    }

    fn is_promised(&self, promises: &Promises, now: Moment) -> bool {
        let mut views = std::iter::once(&self.view).chain(&self.proposed);
        views.all(|view| promises.has_quorum(self.id, view, now))
    }
}

/// A session that is being opened.
#[derive(Debug, Clone)]
pub(super) struct Opening {
    pub id: SessionId,
    pub stage: OpeningStage,
    /// When the lease was asked for; the lease is counted from here.
    pub sent: Moment,
    /// The granted lease, absent before the grant.
    pub lease: Option<LeaseId>,
    pub view: View,
    pub version: u64,
}

/// The step of the opening whose reply is awaited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OpeningStage {
    /// Reading which process was last registered at this host's address.
    ReadingAddress,
    /// Registering this process as the newest at the address.
    RegisteringAddress,
    GrantingLease,
    WritingRecord,
    Announcing,
}
