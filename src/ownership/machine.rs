//! The ownership state machine of one entry host: its state, inputs and actions.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::claim::{Takeover, TakeoverStage};
use super::log::Writer;
use super::messages::{Announcement, OwnedShard, PeerMessage};
use super::promise::Promises;
use super::rate_limiter::RateLimiter;
use super::session::{Opening, Session};
use crate::drain::{EvacuatedList, LeavingList, RemainingWork};
use crate::ids::{Epoch, HostId, SessionId, ShardId, mix};
use crate::jobs::Change;
use crate::moment::Moment;
use crate::platform::{StoreOp, StoreReply};

/// Identifies a call to the store, to match the reply with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// The settings of ownership.
#[derive(Debug, Clone, PartialEq)]
pub struct OwnershipSettings {
    /// The name that this host announces.
    pub name: String,
    /// The availability zone of this host.
    pub zone: String,
    /// The address at which other entry hosts connect to this one.
    pub peers: String,
    /// The address at which callers connect.
    pub callers: String,
    /// Time to live of a session lease that is not renewed.
    pub session_ttl: Duration,
    /// How long a promise to a session stays valid.
    pub promise_ttl: Duration,
    /// Subtracted by a session's holder from its leases and the promises to it, because clocks
    /// run at different rates.
    pub margin: Duration,
    /// Time between two heartbeats to a host of the same zone.
    pub heartbeat_interval: Duration,
    /// Time between two heartbeats to a host of another zone. Such a host is unreachable
    /// after three times this long without a heartbeat from it.
    pub remote_interval: Duration,
    /// A host of the zone is unreachable after this long without a heartbeat from it.
    pub peer_timeout: Duration,
    /// The shortest time between two writes to one log.
    pub write_interval: Duration,
    /// Log writes per second, of all entry hosts together.
    pub write_rate: u32,
    /// Number of changes in a log after which a snapshot is written.
    pub snapshot_after: usize,
    /// The most changes in one log entry.
    pub entry_changes: usize,
}

impl Default for OwnershipSettings {
    fn default() -> Self {
        Self {
            name: "entry".to_owned(),
            zone: "zone-a".to_owned(),
            peers: String::new(),
            callers: String::new(),
            session_ttl: Duration::from_secs(6),
            promise_ttl: Duration::from_secs(3),
            margin: Duration::from_millis(300),
            heartbeat_interval: Duration::from_millis(500),
            remote_interval: Duration::from_secs(5),
            peer_timeout: Duration::from_secs(2),
            write_interval: Duration::from_millis(10),
            write_rate: 200,
            snapshot_after: 2000,
            entry_changes: 1000,
        }
    }
}

/// An action that the caller carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Call the store and pass the reply to [`Ownership::on_reply`].
    Store {
        /// Identifies the call in its reply.
        call: CallId,
        /// The operation to send to the store.
        op: StoreOp,
    },
    /// Send a message to an entry host.
    Send {
        /// The host that receives the message.
        to: HostId,
        /// The message to send.
        message: PeerMessage,
    },
    /// This host owns a shard from now on.
    Gained(GainedShard),
    /// Changes are stored in the log.
    Committed {
        /// The shard whose log it is.
        shard: ShardId,
        /// The changes, in the order of the log.
        changes: Vec<Change>,
    },
    /// This host no longer owns a shard.
    Lost {
        /// The shard that was lost or released.
        shard: ShardId,
        /// Changes whose write was not confirmed: they may or may not be in the log.
        unconfirmed: Vec<Change>,
        /// Changes that were never written to the log.
        dropped: Vec<Change>,
    },
    /// Take a snapshot of a shard's ledger now and pass it to [`Ownership::snapshot`].
    TakeSnapshot {
        /// The shard whose ledger is needed.
        shard: ShardId,
    },
}

/// A shard that this host has claimed.
#[derive(Debug, Clone, PartialEq)]
pub struct GainedShard {
    /// The claimed shard.
    pub shard: ShardId,
    /// The epoch of the claim, one above the highest in the log.
    pub epoch: Epoch,
    /// The changes that restore the ledger: the last snapshot's and those after it.
    pub changes: Vec<Change>,
    /// Whether there was a former owner that did not release the shard.
    pub takeover: bool,
}

/// A shard's owner as far as this host knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardStatus {
    /// The shard that this describes.
    pub shard: ShardId,
    /// The shard's owner; absent if no reachable host reports that it owns the shard.
    pub owner: Option<HostId>,
    /// Whether this host owns the shard and may act for it.
    pub acting: bool,
    /// The epoch of this host's claim, absent if it does not own the shard.
    pub epoch: Option<Epoch>,
}

/// The part of a heartbeat that is not about ownership.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HostSummary {
    /// The revision of the configuration in force at this host.
    pub revision: u64,
    /// The workers that are leaving, as this host knows them.
    pub leaving: LeavingList,
    /// The evacuated zones, as this host knows them.
    pub evacuated: EvacuatedList,
    /// What still runs on this host's workers while its zone is evacuated.
    pub remaining: RemainingWork,
    /// The free interactive slots of this host's workers.
    pub free: u32,
}

/// The purpose of a call to the store, which decides how its reply is handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Purpose {
    Open,
    Renew(SessionId),
    WriteView(SessionId),
    ReadView(SessionId),
    Takeover(ShardId),
    ReadAddress(HostId),
    WriteLog(ShardId),
    ReadLog(ShardId),
    /// The reply does not matter.
    Ignore,
}

/// What this host knows of another entry host.
#[derive(Debug, Clone)]
pub(super) struct Peer {
    /// What the host announced in the store; absent while its session is not alive.
    pub announcement: Option<Announcement>,
    pub zone: String,
    /// When its last heartbeat arrived; absent before the first, and once the process has ended.
    pub last_heard: Option<Moment>,
    /// The shards that it owns, by its last heartbeat.
    pub owned: Vec<OwnedShard>,
    /// Its free interactive slots, less the requests forwarded to it since its last heartbeat.
    pub free: u32,
    pub revision: u64,
    /// The evacuated zones, by its last heartbeat.
    pub evacuated: BTreeSet<String>,
    /// What still runs on its workers, by its last heartbeat.
    pub remaining: RemainingWork,
    pub stopping: bool,
    pub next_heartbeat: Moment,
}

/// A shard that this host owns.
#[derive(Debug)]
pub(super) struct Owned {
    pub epoch: Epoch,
    pub session: SessionId,
    pub writer: Writer,
    /// The hand-over that is due, absent while the shard is to be kept.
    pub release: Option<Release>,
    /// A snapshot that is still to be written.
    pub snapshot: Option<Vec<Change>>,
    /// Whether a snapshot was requested and is not yet being written.
    pub snapshot_requested: bool,
}

/// A planned hand-over of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Release {
    /// The host that is to claim the shard next, absent if no host is reachable.
    pub to: Option<HostId>,
}

/// Whether this host owns a shard.
#[derive(Debug)]
pub(super) enum ShardState {
    Owned(Box<Owned>),
    Free(Box<Takeover>),
}

/// Decides which shards one entry host claims, keeps and releases.
#[derive(Debug)]
pub struct Ownership {
    pub(super) me: HostId,
    pub(super) settings: OwnershipSettings,
    pub(super) current: Option<Session>,
    /// The session before the current one, as long as shards are still owned under it.
    pub(super) previous: Option<Session>,
    pub(super) opening: Option<Opening>,
    /// The earliest time of the next attempt to open a session.
    pub(super) retry_open: Moment,
    pub(super) promises: Promises,
    pub(super) peers: BTreeMap<HostId, Peer>,
    pub(super) shards: BTreeMap<ShardId, ShardState>,
    pub(super) calls: HashMap<CallId, Purpose>,
    pub(super) actions: VecDeque<Action>,
    pub(super) stopping: bool,
    /// Processes that have certainly ended, with the time at which this became known.
    pub(super) dead: BTreeMap<HostId, Moment>,
    /// Whether the store names this process as the newest at its address.
    pub(super) address_registered: bool,
    pub(super) write_limiter: RateLimiter,
    /// When this host last began to hand over a shard to balance the load.
    pub(super) last_release: Moment,
    pub(super) summary: HostSummary,
    next_call: u64,
    random: u64,
}

impl Ownership {
    /// Creates the state of a process that owns no shard yet.
    pub fn new(me: HostId, settings: OwnershipSettings) -> Self {
        Self {
            me,
            settings,
            current: None,
            previous: None,
            opening: None,
            retry_open: Moment::default(),
            promises: Promises::default(),
            peers: BTreeMap::new(),
            shards: BTreeMap::new(),
            calls: HashMap::new(),
            actions: VecDeque::new(),
            stopping: false,
            dead: BTreeMap::new(),
            address_registered: false,
            write_limiter: RateLimiter::default(),
            last_release: Moment::default(),
            summary: HostSummary::default(),
            next_call: 0,
            random: mix(me.0),
        }
    }

    /// The identifier of this process.
    pub const fn me(&self) -> HostId {
        self.me
    }

    /// Removes and returns the next action to carry out.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Adds the shards of the zone; those already known keep their state.
    pub fn set_shards(&mut self, shards: &[ShardId], now: Moment) {
        for shard in shards {
            self.shards
                .entry(*shard)
                .or_insert_with(|| ShardState::Free(Box::new(Takeover::new(now))));
        }
    }

    /// Sets the part of the heartbeats that is not about ownership.
    pub fn set_summary(&mut self, summary: HostSummary) {
        self.summary = summary;
    }

    /// Whether this host may send work to the shard's workers now.
    pub fn may_act(&self, shard: ShardId, now: Moment) -> bool {
        match self.shards.get(&shard) {
            Some(ShardState::Owned(owned)) => {
                owned.release.is_none() && self.session_may_act(owned.session, now)
            }
            Some(ShardState::Free(_)) | None => false,
        }
    }

    /// The epoch under which this host may act for the shard now.
    pub fn acting_epoch(&self, shard: ShardId, now: Moment) -> Option<Epoch> {
        match self.shards.get(&shard) {
            Some(ShardState::Owned(owned)) if self.may_act(shard, now) => Some(owned.epoch),
            _ => None,
        }
    }

    /// Whether the lease of this host's session is known to be unexpired.
    pub fn is_leased(&self, now: Moment) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|session| !session.expired && now < session.until)
    }

    /// The owner of every shard of the zone, as far as this host knows.
    pub fn shard_statuses(&self, now: Moment) -> Vec<ShardStatus> {
        let status = |shard: &ShardId| ShardStatus {
            shard: *shard,
            owner: self.owner(*shard, now),
            acting: self.may_act(*shard, now),
            epoch: match &self.shards[shard] {
                ShardState::Owned(owned) => Some(owned.epoch),
                ShardState::Free(_) => None,
            },
        };
        self.shards.keys().map(status).collect()
    }

    /// Queues changes for the log of an owned shard; changes that wait together share an entry.
    /// Returns false if this host does not own the shard or is handing it over.
    pub fn append(&mut self, shard: ShardId, changes: Vec<Change>) -> bool {
        match self.shards.get_mut(&shard) {
            Some(ShardState::Owned(owned)) if owned.release.is_none() => {
                owned.writer.queue.extend(changes);
                true
            }
            _ => false,
        }
    }

    /// Accepts the snapshot that [`Action::TakeSnapshot`] requested.
    pub fn snapshot(&mut self, shard: ShardId, changes: Vec<Change>) {
        if let Some(ShardState::Owned(owned)) = self.shards.get_mut(&shard) {
            owned.snapshot = Some(changes);
        }
    }

    /// Begins a planned stop: every shard is released.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Whether a planned stop has begun.
    pub const fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Whether a planned stop has begun and this host owns no shard any more.
    pub fn is_handed_over(&self) -> bool {
        let mut shards = self.shards.values();
        self.stopping && shards.all(|state| matches!(state, ShardState::Free(_)))
    }

    /// Revokes the session's lease at the store, after a planned stop.
    pub fn close(&mut self) {
        if let Some(session) = self.current.take() {
            let lease = session.lease;
            self.call(Purpose::Ignore, StoreOp::Revoke { lease });
        }
    }

    /// Carries out everything that is due at `now`.
    pub fn tick(&mut self, now: Moment) {
        self.tick_session(now);
        self.tick_view(now);
        self.tick_heartbeats(now);
        self.tick_writers(now);
        self.tick_balance(now);
        self.tick_takeovers(now);
    }

    /// Handles a reply of the store; `None` if it was lost.
    pub fn on_reply(&mut self, call: CallId, reply: Option<StoreReply>, now: Moment) {
        let Some(purpose) = self.calls.remove(&call) else {
            return;
        };
        match purpose {
            Purpose::Open => self.on_open(reply, now),
            Purpose::Renew(session) => self.on_renewed(session, reply, now),
            Purpose::WriteView(session) => self.on_view_written(session, reply),
            Purpose::ReadView(session) => self.on_view_read(session, reply),
            Purpose::Takeover(shard) => self.on_takeover_reply(shard, reply, now),
            Purpose::ReadAddress(host) => self.on_address_read(host, reply, now),
            Purpose::WriteLog(shard) => self.on_log_written(shard, reply, now),
            Purpose::ReadLog(shard) => self.on_log_read(shard, reply, now),
            Purpose::Ignore => {}
        }
    }

    /// Handles a message of another entry host.
    pub fn on_message(&mut self, from: HostId, message: PeerMessage, now: Moment) {
        match message {
            PeerMessage::Heartbeat {
                sessions,
                sent,
                owned,
                revision,
                leaving: _,
                evacuated,
                remaining,
                free,
                stopping,
            } => {
                if let Some(peer) = self.peers.get_mut(&from) {
                    peer.last_heard = Some(now);
                    peer.owned = owned;
                    peer.revision = revision;
                    peer.evacuated = evacuated.zones;
                    peer.remaining = remaining;
                    peer.free = free;
                    peer.stopping = stopping;
                }
                self.answer_heartbeat(from, &sessions, sent, now);
            }
            PeerMessage::Ack { sent, promised } => self.on_ack(from, sent, &promised),
            PeerMessage::GiveUp { session } => {
                let done = self.promises.give_up(session, now);
                self.send(from, PeerMessage::GaveUp { session, done });
            }
            PeerMessage::GaveUp { session, done } => {
                if done {
                    self.record_given_up(session, from);
                }
            }
            PeerMessage::Released { shard } => self.on_released(shard, now),
        }
    }

    pub(super) fn call(&mut self, purpose: Purpose, op: StoreOp) {
        self.next_call += 1;
        let call = CallId(self.next_call);
        self.calls.insert(call, purpose);
        self.actions.push_back(Action::Store { call, op });
    }

    pub(super) fn send(&mut self, to: HostId, message: PeerMessage) {
        self.actions.push_back(Action::Send { to, message });
    }

    pub(super) fn next_random(&mut self) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.random)
    }

    pub(super) fn session_may_act(&self, id: SessionId, now: Moment) -> bool {
        let mut sessions = self.current.iter().chain(&self.previous);
        sessions
            .find(|session| session.id == id)
            .is_some_and(|session| session.may_act(&self.promises, now))
    }

    /// Claims a shard at once that its former owner released to this host.
    fn on_released(&mut self, shard: ShardId, now: Moment) {
        if let Some(ShardState::Free(takeover)) = self.shards.get_mut(&shard)
            && matches!(takeover.stage, TakeoverStage::Idle { .. })
        {
            takeover.designated = true;
            takeover.stage = TakeoverStage::Idle { retry: now };
        }
    }
}

pub(super) fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("plain values serialize to JSON")
}
