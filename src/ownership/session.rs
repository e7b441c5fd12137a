//! The session of an entry host at the store.

use serde::{Deserialize, Serialize};

use super::promise::{Promises, View};
use crate::ids::{HostId, SessionId};
use crate::moment::Moment;
use crate::platform::LeaseId;

/// What the store keeps of a session, also after its lease has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionRecord {
    /// The entry process.
    pub host: HostId,
    /// Its address.
    pub address: String,
    /// The hosts whose promises count.
    pub view: View,
    /// Set by a host that takes over; from then on the view cannot change.
    pub sealed: bool,
}

/// The key of a session's record.
pub(super) fn record_key(session: SessionId) -> String {
    format!("sessions/{session}")
}

/// The key that lives as long as the session's lease.
pub(super) fn alive_key(zone: &str, session: SessionId) -> String {
    format!("alive/{zone}/{session}")
}

/// The key that names the newest process at an address. A process at an
/// address proves that every earlier one there has ended.
pub(super) fn occupant_key(address: &str) -> String {
    format!("addresses/{address}")
}

/// An open session.
#[derive(Debug, Clone)]
pub(super) struct Session {
    pub id: SessionId,
    pub lease: LeaseId,
    /// The view in the store.
    pub view: View,
    /// A view whose write is not confirmed. While there is one, both count.
    pub proposed: Option<View>,
    /// The version of the record in the store.
    pub version: u64,
    /// Until when the lease holds by this host's clock, the margin subtracted.
    pub until: Moment,
    /// Whether the store has said that the lease has ended.
    pub lapsed: bool,
    pub renewing: bool,
    pub next_renewal: Moment,
    pub renewal_sent: Moment,
}

impl Session {
    /// Whether the holder may act now.
    pub fn may_act(&self, promises: &Promises, now: Moment) -> bool {
        let leased = !self.lapsed && now < self.until;
        leased || self.is_promised(promises, now)
    }

    fn is_promised(&self, promises: &Promises, now: Moment) -> bool {
        let mut views = std::iter::once(&self.view).chain(&self.proposed);
        views.all(|view| promises.suffice(self.id, view, now))
    }
}

/// A session that is being opened.
#[derive(Debug, Clone)]
pub(super) struct Opening {
    pub id: SessionId,
    pub stage: OpeningStage,
    pub sent: Moment,
    pub lease: Option<LeaseId>,
    pub view: View,
    pub version: u64,
}

/// How far the opening has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OpeningStage {
    /// Reading which process had this host's address before.
    Finding,
    /// Writing that this process has the address now.
    Moving,
    Granting,
    Recording,
    Announcing,
}
