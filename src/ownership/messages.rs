//! The messages and announcements by which entry hosts exchange ownership.

use serde::{Deserialize, Serialize};

use crate::drain::{EvacuatedList, LeavingList, RemainingWork};
use crate::ids::{Epoch, HostId, SessionId, ShardId};
use crate::moment::Moment;

/// A shard that the sender owns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnedShard {
    /// The owned shard.
    pub shard: ShardId,
    /// The epoch of the sender's claim.
    pub epoch: Epoch,
}

/// A message between two entry hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Sent at a fixed interval, and when the owned shards change.
    Heartbeat {
        /// The sessions for which the sender asks for a promise.
        sessions: Vec<SessionId>,
        /// The sender's clock when it sent this, in microseconds.
        sent: u64,
        /// The shards that the sender owns.
        owned: Vec<OwnedShard>,
        /// The revision of the configuration in force at the sender.
        revision: u64,
        /// The workers that are leaving, as the sender knows them.
        leaving: LeavingList,
        /// The evacuated zones, as the sender knows them; hosts of earlier versions
        /// omit it.
        #[serde(default)]
        evacuated: EvacuatedList,
        /// What still runs on the sender's workers while its zone is evacuated; hosts of
        /// earlier versions omit it.
        #[serde(default)]
        remaining: RemainingWork,
        /// The free interactive slots of the sender's workers.
        free: u32,
        /// Whether the sender is stopping.
        stopping: bool,
    },
    /// The answer to a heartbeat.
    Ack {
        /// The `sent` of the heartbeat that this answers.
        sent: u64,
        /// The sessions for which the answering host has given a promise.
        promised: Vec<SessionId>,
    },
    /// Asks a member of a session's view to give up the session for good.
    GiveUp {
        /// The session whose shard is to be taken over.
        session: SessionId,
    },
    /// The answer to [`PeerMessage::GiveUp`].
    GaveUp {
        /// The session that was to be given up.
        session: SessionId,
        /// Whether the sender has given the session up and will never promise to it again.
        done: bool,
    },
    /// Tells the host that is to claim a shard that the sender has released it.
    Released {
        /// The released shard.
        shard: ShardId,
    },
}

/// What an entry host announces in the store under its session's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The entry process.
    pub host: HostId,
    /// The session of the process.
    pub session: SessionId,
    /// The name from the host's settings.
    pub name: String,
    /// The availability zone of the host.
    pub zone: String,
    /// The address at which other entry hosts connect.
    pub peers: String,
    /// The address at which callers connect.
    pub callers: String,
}

impl PeerMessage {
    /// The time on the sender's clock that a heartbeat's `sent` stands for.
    pub(super) const fn sent_at(sent: u64) -> Moment {
        Moment::from_micros(sent)
    }
}
