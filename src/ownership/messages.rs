//! What entry hosts tell each other about ownership.

use serde::{Deserialize, Serialize};

use crate::drain::LeavingList;
use crate::ids::{Epoch, HostId, SessionId, ShardId};
use crate::moment::Moment;

/// A shard that the sender owns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnedShard {
    /// The shard.
    pub shard: ShardId,
    /// The epoch of the claim.
    pub epoch: Epoch,
}

/// A message between two entry hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Sent at a fixed interval, and when the owned shards change.
    Heartbeat {
        /// The sessions for which the sender asks for a promise.
        sessions: Vec<SessionId>,
        /// The sender's clock, in microseconds.
        sent: u64,
        /// The shards that the sender owns.
        owned: Vec<OwnedShard>,
        /// The revision of the configuration in force at the sender.
        revision: u64,
        /// The workers that leave, as the sender knows it.
        leaving: LeavingList,
        /// The free interactive slots of the sender's workers.
        free: u32,
        /// Whether the sender is stopping.
        stopping: bool,
    },
    /// The answer to a heartbeat.
    Ack {
        /// The heartbeat's `sent`.
        sent: u64,
        /// The sessions that the answering host promised to support.
        promised: Vec<SessionId>,
    },
    /// Asks a member of a session's view to give the session up for good.
    GiveUp {
        /// The session.
        session: SessionId,
    },
    /// The answer to [`PeerMessage::GiveUp`].
    GaveUp {
        /// The session.
        session: SessionId,
        /// Whether the sender will never promise it anything again.
        done: bool,
    },
    /// Tells the host that is to claim a released shard.
    Released {
        /// The shard.
        shard: ShardId,
    },
}

/// What an entry host announces in the store under its session's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The process.
    pub host: HostId,
    /// Its session.
    pub session: SessionId,
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Where other entry hosts connect.
    pub peers: String,
    /// Where callers connect.
    pub callers: String,
}

impl PeerMessage {
    /// The sender's clock at the time of a heartbeat.
    pub(super) const fn sent_at(sent: u64) -> Moment {
        Moment::from_micros(sent)
    }
}
