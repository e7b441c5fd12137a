//! The state of ownership at one entry host, and its events.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::log::Writer;
use super::messages::{Announcement, OwnedShard, PeerMessage};
use super::pace::Pace;
use super::promise::Promises;
use super::session::{Opening, Session};
use super::takeover::{Take, TakeStage};
use crate::drain::LeavingList;
use crate::ids::{Epoch, HostId, SessionId, ShardId, mix};
use crate::jobs::Change;
use crate::moment::Moment;
use crate::platform::{StoreOp, StoreReply};

/// One call of the store, to match its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// The settings of ownership.
#[derive(Debug, Clone, PartialEq)]
pub struct OwnershipSettings {
    /// The host's name.
    pub name: String,
    /// The availability zone.
    pub zone: String,
    /// Where other entry hosts connect.
    pub peers: String,
    /// Where callers connect.
    pub callers: String,
    /// How long a session lasts without renewal.
    pub session: Duration,
    /// How long a promise lasts.
    pub promise: Duration,
    /// Subtracted from leases and promises for the clocks' different rates.
    pub margin: Duration,
    /// Between heartbeats within the zone.
    pub heartbeat: Duration,
    /// Between heartbeats to other zones.
    pub distant: Duration,
    /// A host not heard for this long counts as out of reach.
    pub silence: Duration,
    /// The shortest time between two writes of one log.
    pub write_gap: Duration,
    /// Log writes a second of all entry hosts together.
    pub store_writes: u32,
    /// A log gets a snapshot after this many changes.
    pub snapshot_after: usize,
    /// The most changes in one entry.
    pub entry_changes: usize,
}

impl Default for OwnershipSettings {
    fn default() -> Self {
        Self {
            name: "entry".to_owned(),
            zone: "zone-a".to_owned(),
            peers: String::new(),
            callers: String::new(),
            session: Duration::from_secs(6),
            promise: Duration::from_secs(3),
            margin: Duration::from_millis(300),
            heartbeat: Duration::from_millis(500),
            distant: Duration::from_secs(5),
            silence: Duration::from_secs(2),
            write_gap: Duration::from_millis(10),
            store_writes: 200,
            snapshot_after: 2000,
            entry_changes: 1000,
        }
    }
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Call the store and bring the answer to [`Ownership::on_reply`].
    Store {
        /// The call.
        call: CallId,
        /// The operation.
        op: StoreOp,
    },
    /// Send a message to an entry host.
    Send {
        /// The host.
        to: HostId,
        /// The message.
        message: PeerMessage,
    },
    /// This host owns a shard from now on.
    Gained(Gained),
    /// These changes stand in the log.
    Committed {
        /// The shard.
        shard: ShardId,
        /// The changes, in their order.
        changes: Vec<Change>,
    },
    /// This host owns the shard no longer.
    Lost {
        /// The shard.
        shard: ShardId,
        /// Changes that may stand in the log.
        doubtful: Vec<Change>,
        /// Changes that certainly do not.
        dropped: Vec<Change>,
    },
    /// Take a snapshot of the shard's ledger now and bring it to [`Ownership::snapshot`].
    TakeSnapshot {
        /// The shard.
        shard: ShardId,
    },
}

/// A shard that was claimed.
#[derive(Debug, Clone, PartialEq)]
pub struct Gained {
    /// The shard.
    pub shard: ShardId,
    /// The epoch of the claim.
    pub epoch: Epoch,
    /// The changes that the log holds.
    pub changes: Vec<Change>,
    /// Whether the former owner did not release it.
    pub takeover: bool,
}

/// How a shard looks from this host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardView {
    /// The shard.
    pub shard: ShardId,
    /// The host that says it owns the shard.
    pub owner: Option<HostId>,
    /// Whether this host owns it and may act.
    pub acting: bool,
    /// The epoch, if this host owns it.
    pub epoch: Option<Epoch>,
}

/// What heartbeats say besides ownership.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Summary {
    /// The revision of the configuration in force.
    pub revision: u64,
    /// The workers that leave.
    pub leaving: LeavingList,
    /// The free interactive slots of this host's workers.
    pub free: u32,
}

/// What a call of the store is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Purpose {
    Open,
    Renew(SessionId),
    WriteView,
    ReadView,
    Take(ShardId),
    Occupant(HostId),
    WriteLog(ShardId),
    ReadLog(ShardId),
    Ignore,
}

/// Another entry host.
#[derive(Debug, Clone)]
pub(super) struct Peer {
    pub announced: Option<Announcement>,
    pub zone: String,
    pub heard: Option<Moment>,
    pub owned: Vec<OwnedShard>,
    pub free: u32,
    pub revision: u64,
    pub stopping: bool,
    pub next_heartbeat: Moment,
}

/// A shard that this host owns.
#[derive(Debug)]
pub(super) struct Owned {
    pub epoch: Epoch,
    pub session: SessionId,
    pub writer: Writer,
    pub release: Option<Release>,
    pub snapshot: Option<Vec<Change>>,
    pub asked_snapshot: bool,
}

/// A planned hand-over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Release {
    pub to: Option<HostId>,
}

/// A shard as this host sees it.
#[derive(Debug)]
pub(super) enum Slot {
    Owned(Box<Owned>),
    Free(Box<Take>),
}

/// The decisions of ownership at one entry host.
#[derive(Debug)]
pub struct Ownership {
    pub(super) me: HostId,
    pub(super) settings: OwnershipSettings,
    pub(super) current: Option<Session>,
    pub(super) former: Option<Session>,
    pub(super) opening: Option<Opening>,
    pub(super) retry_open: Moment,
    pub(super) promises: Promises,
    pub(super) peers: BTreeMap<HostId, Peer>,
    pub(super) slots: BTreeMap<ShardId, Slot>,
    pub(super) calls: HashMap<CallId, Purpose>,
    pub(super) actions: VecDeque<Action>,
    pub(super) stopping: bool,
    /// Processes that have ended for certain, and since when this is known.
    pub(super) dead: BTreeMap<HostId, Moment>,
    pub(super) occupies: bool,
    pub(super) pace: Pace,
    pub(super) last_release: Moment,
    pub(super) summary: Summary,
    next_call: u64,
    random: u64,
}

impl Ownership {
    /// The state of a process that owns nothing yet.
    pub fn new(me: HostId, settings: OwnershipSettings) -> Self {
        Self {
            me,
            settings,
            current: None,
            former: None,
            opening: None,
            retry_open: Moment::default(),
            promises: Promises::default(),
            peers: BTreeMap::new(),
            slots: BTreeMap::new(),
            calls: HashMap::new(),
            actions: VecDeque::new(),
            stopping: false,
            dead: BTreeMap::new(),
            occupies: false,
            pace: Pace::default(),
            last_release: Moment::default(),
            summary: Summary::default(),
            next_call: 0,
            random: mix(me.0),
        }
    }

    /// This process.
    pub const fn me(&self) -> HostId {
        self.me
    }

    /// Takes the next thing to do.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Sets the shards of the zone.
    pub fn set_shards(&mut self, shards: &[ShardId], now: Moment) {
        for shard in shards {
            self.slots
                .entry(*shard)
                .or_insert_with(|| Slot::Free(Box::new(Take::new(now))));
        }
    }

    /// Sets what heartbeats say besides ownership.
    pub fn set_summary(&mut self, summary: Summary) {
        self.summary = summary;
    }

    /// Whether this host may send work to the shard's workers now.
    pub fn may_act(&self, shard: ShardId, now: Moment) -> bool {
        match self.slots.get(&shard) {
            Some(Slot::Owned(owned)) => {
                owned.release.is_none() && self.session_acts(owned.session, now)
            }
            Some(Slot::Free(_)) | None => false,
        }
    }

    /// The epoch under which this host may act for the shard now.
    pub fn acting_epoch(&self, shard: ShardId, now: Moment) -> Option<Epoch> {
        match self.slots.get(&shard) {
            Some(Slot::Owned(owned)) if self.may_act(shard, now) => Some(owned.epoch),
            _ => None,
        }
    }

    /// Whether the store confirmed this host's session within its lease.
    pub fn is_leased(&self, now: Moment) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|session| !session.lapsed && now < session.until)
    }

    /// Every shard of the zone as this host sees it.
    pub fn view(&self, now: Moment) -> Vec<ShardView> {
        let view = |shard: &ShardId| ShardView {
            shard: *shard,
            owner: self.owner(*shard, now),
            acting: self.may_act(*shard, now),
            epoch: match &self.slots[shard] {
                Slot::Owned(owned) => Some(owned.epoch),
                Slot::Free(_) => None,
            },
        };
        self.slots.keys().map(view).collect()
    }

    /// The host that owns a shard of any zone, as far as this host has heard.
    pub fn owner(&self, shard: ShardId, now: Moment) -> Option<HostId> {
        if let Some(Slot::Owned(_)) = self.slots.get(&shard) {
            return Some(self.me);
        }
        let heard = self
            .peers
            .iter()
            .filter(|(_, peer)| self.is_heard(peer, now));
        heard
            .filter_map(|(host, peer)| {
                let owned = peer.owned.iter().find(|owned| owned.shard == shard)?;
                Some((owned.epoch, *host))
            })
            .max()
            .map(|(_, host)| host)
    }

    /// The peer of this zone with the most free slots.
    pub fn freest_peer(&self, now: Moment) -> Option<HostId> {
        let near = self.peers.iter().filter(|(_, peer)| {
            peer.zone == self.settings.zone
                && peer.free > 0
                && !peer.stopping
                && self.is_heard(peer, now)
        });
        near.max_by_key(|(_, peer)| peer.free)
            .map(|(host, _)| *host)
    }

    /// Notes that one request was passed on to a peer, until its next heartbeat.
    pub fn take_free(&mut self, host: HostId) {
        if let Some(peer) = self.peers.get_mut(&host) {
            peer.free = peer.free.saturating_sub(1);
        }
    }

    /// Notes that a request that was passed on has ended.
    pub fn give_free(&mut self, host: HostId) {
        if let Some(peer) = self.peers.get_mut(&host) {
            peer.free += 1;
        }
    }

    /// Free slots of the freest peer of this zone.
    pub fn peer_slots(&self, now: Moment) -> u32 {
        let freest = self.freest_peer(now);
        let peer = freest.and_then(|host| self.peers.get(&host));
        peer.map_or(0, |peer| peer.free)
    }

    /// Hosts whose configuration is newer than `revision`.
    pub fn ahead(&self, revision: u64, now: Moment) -> Option<HostId> {
        let mut heard = self
            .peers
            .iter()
            .filter(|(_, peer)| self.is_heard(peer, now));
        heard
            .find(|(_, peer)| peer.revision > revision)
            .map(|(host, _)| *host)
    }

    /// What each reachable host says of its configuration.
    pub fn revisions(&self, now: Moment) -> Vec<HostRevision> {
        self.peers
            .iter()
            .filter_map(|(host, peer)| {
                let announced = peer.announced.as_ref()?;
                Some(HostRevision {
                    host: *host,
                    name: announced.name.clone(),
                    zone: announced.zone.clone(),
                    revision: peer.revision,
                    reachable: self.is_heard(peer, now),
                })
            })
            .collect()
    }

    /// Adds changes to the log of an owned shard. They are written in groups.
    pub fn append(&mut self, shard: ShardId, changes: Vec<Change>) -> bool {
        match self.slots.get_mut(&shard) {
            Some(Slot::Owned(owned)) if owned.release.is_none() => {
                owned.writer.queue.extend(changes);
                true
            }
            _ => false,
        }
    }

    /// Takes the snapshot that [`Action::TakeSnapshot`] asked for.
    pub fn snapshot(&mut self, shard: ShardId, changes: Vec<Change>) {
        if let Some(Slot::Owned(owned)) = self.slots.get_mut(&shard) {
            owned.snapshot = Some(changes);
        }
    }

    /// Begins a planned stop: every shard is handed over.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Whether a planned stop has begun.
    pub const fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Whether a planned stop has handed over every shard.
    pub fn is_handed_over(&self) -> bool {
        let mut slots = self.slots.values();
        self.stopping && slots.all(|slot| matches!(slot, Slot::Free(_)))
    }

    /// Ends the session at the store after a planned stop.
    pub fn close(&mut self) {
        if let Some(session) = self.current.take() {
            let lease = session.lease;
            self.call(Purpose::Ignore, StoreOp::Revoke { lease });
        }
    }

    /// Does what is due at `now`.
    pub fn tick(&mut self, now: Moment) {
        self.tick_session(now);
        self.tick_view(now);
        self.tick_heartbeats(now);
        self.tick_writers(now);
        self.tick_balance(now);
        self.tick_takes(now);
    }

    /// Takes an answer of the store; none if it is lost.
    pub fn on_reply(&mut self, call: CallId, reply: Option<StoreReply>, now: Moment) {
        let Some(purpose) = self.calls.remove(&call) else {
            return;
        };
        match purpose {
            Purpose::Open => self.on_open(reply, now),
            Purpose::Renew(session) => self.on_renewed(session, reply, now),
            Purpose::WriteView => self.on_view_written(reply),
            Purpose::ReadView => self.on_view_read(reply),
            Purpose::Take(shard) => self.on_take(shard, reply, now),
            Purpose::Occupant(host) => self.on_occupant(host, reply, now),
            Purpose::WriteLog(shard) => self.on_log_written(shard, reply, now),
            Purpose::ReadLog(shard) => self.on_log_read(shard, reply, now),
            Purpose::Ignore => {}
        }
    }

    /// Takes a message of another entry host.
    pub fn on_message(&mut self, from: HostId, message: PeerMessage, now: Moment) {
        match message {
            PeerMessage::Heartbeat {
                sessions,
                sent,
                owned,
                revision,
                leaving: _,
                free,
                stopping,
            } => {
                if let Some(peer) = self.peers.get_mut(&from) {
                    peer.heard = Some(now);
                    peer.owned = owned;
                    peer.revision = revision;
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
                    self.note_given_up(session, from);
                }
            }
            PeerMessage::Released { shard } => self.hurry(shard, now),
        }
    }

    /// Takes the announcements of all entry hosts whose sessions are alive.
    pub fn on_announced(&mut self, all: &[Announcement], now: Moment) {
        let present: BTreeSet<HostId> = all.iter().map(|each| each.host).collect();
        let me = self.me;
        for each in all.iter().filter(|each| each.host != me) {
            self.learn(each.host, &each.zone, now).announced = Some(each.clone());
        }
        for (host, peer) in &mut self.peers {
            if !present.contains(host) {
                peer.announced = None;
            }
        }
    }

    /// Notes a connection to another entry process.
    pub fn on_connected(&mut self, host: HostId, zone: &str, now: Moment) {
        let peer = self.learn(host, zone, now);
        peer.next_heartbeat = now;
    }

    /// Notes that a process has ended for certain.
    pub fn on_dead(&mut self, host: HostId, zone: &str, now: Moment) {
        self.learn(host, zone, now).heard = None;
        self.dead.entry(host).or_insert(now);
    }

    fn learn(&mut self, host: HostId, zone: &str, now: Moment) -> &mut Peer {
        self.peers.entry(host).or_insert_with(|| Peer {
            announced: None,
            zone: zone.to_owned(),
            heard: None,
            owned: Vec::new(),
            free: 0,
            revision: 0,
            stopping: false,
            next_heartbeat: now,
        })
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

    pub(super) fn is_heard(&self, peer: &Peer, now: Moment) -> bool {
        let near = peer.zone == self.settings.zone;
        let silence = match near {
            true => self.settings.silence,
            false => self.settings.distant * 3,
        };
        peer.heard.is_some_and(|heard| now - heard < silence)
    }

    pub(super) fn session_acts(&self, id: SessionId, now: Moment) -> bool {
        let mut sessions = self.current.iter().chain(&self.former);
        sessions
            .find(|session| session.id == id)
            .is_some_and(|session| session.may_act(&self.promises, now))
    }

    /// A released shard is claimed at once by the host that it is meant for.
    fn hurry(&mut self, shard: ShardId, now: Moment) {
        if let Some(Slot::Free(take)) = self.slots.get_mut(&shard)
            && matches!(take.stage, TakeStage::Idle { .. })
        {
            take.meant = true;
            take.stage = TakeStage::Idle { retry: now };
        }
    }
}

/// A host and the revision of its configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRevision {
    /// The process.
    pub host: HostId,
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// The revision in force there, as last heard.
    pub revision: u64,
    /// Whether it was heard lately.
    pub reachable: bool,
}

pub(super) fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("plain values have a JSON form")
}
