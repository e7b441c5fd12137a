//! The progress of a host towards claiming a shard.

use std::collections::BTreeSet;

use super::log::{FormerOwner, LogEntry, Replay};
use super::promise::View;
use super::session::SessionRecord;
use crate::ids::{HostId, SessionId};
use crate::moment::Moment;

/// The progress towards claiming one shard.
#[derive(Debug)]
pub(super) struct Takeover {
    /// Since when no reachable host reports owning the shard.
    pub free_since: Moment,
    /// Whether the former owner released the shard to this host in particular.
    pub designated: bool,
    pub stage: TakeoverStage,
}

#[derive(Debug)]
pub(super) enum TakeoverStage {
    Idle { retry: Moment },
    Reading,
    ReadingLease(Plan),
    ReadingRecord(Plan),
    Sealing(Plan, SessionRecord),
    CollectingQuorum(Quorum),
    Claiming(Plan, LogEntry),
    Verifying(Plan, LogEntry),
}

/// The log as read, and the former owner whose session must end first.
#[derive(Debug)]
pub(super) struct Plan {
    pub replay: Replay,
    /// Absent if the shard had no owner or its owner released it.
    pub former: Option<FormerOwner>,
}

/// The members of a view that have given up its session, until they suffice.
#[derive(Debug)]
pub(super) struct Quorum {
    pub plan: Plan,
    pub session: SessionId,
    /// The process of the former owner.
    pub former: HostId,
    /// The address of that process.
    pub address: String,
    pub view: View,
    /// The members that have given up the session or ended long enough ago.
    pub gave_up: BTreeSet<HostId>,
    /// When the members were last asked.
    pub last_asked: Moment,
    /// When this attempt is dropped and the takeover starts again.
    pub deadline: Moment,
}

impl Takeover {
    pub const fn new(now: Moment) -> Self {
        Self {
            free_since: now,
            designated: false,
            stage: TakeoverStage::Idle { retry: now },
        }
    }
}
