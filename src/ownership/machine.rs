//! The state of ownership at one entry host, and its events.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::log::{EntryBody, Flight, FlightStage, LogEntry, ReadBack, Writer, log_key};
use super::messages::{Announcement, OwnedShard, PeerMessage};
use super::pace::Pace;
use super::promise::{Promises, View};
use super::session::{
    Opening, OpeningStage, Session, SessionRecord, alive_key, occupant_key, record_key,
};
use super::takeover::{Take, TakeStage};
use crate::drain::LeavingList;
use crate::ids::{Epoch, HostId, SessionId, ShardId, mix};
use crate::jobs::Change;
use crate::moment::Moment;
use crate::platform::{Entry, Expect, LeaseId, StoreOp, StoreReply};

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
    occupies: bool,
    pub(super) pace: Pace,
    pub(super) last_release: Moment,
    summary: Summary,
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

    fn tick_session(&mut self, now: Moment) {
        let needs_session = match &self.current {
            None => true,
            Some(session) => session.lapsed,
        };
        if needs_session && self.opening.is_none() && now >= self.retry_open && !self.stopping {
            self.open(now);
        }
        let third = self.settings.session / 3;
        let Some(session) = &mut self.current else {
            return;
        };
        if !session.lapsed && !session.renewing && now >= session.next_renewal {
            session.renewing = true;
            session.next_renewal = now + third;
            session.renewal_sent = now;
            let (id, lease) = (session.id, session.lease);
            self.call(Purpose::Renew(id), StoreOp::Renew { lease });
        }
        self.drop_former();
    }

    fn open(&mut self, now: Moment) {
        let id = SessionId(self.next_random());
        self.opening = Some(Opening {
            id,
            stage: OpeningStage::Finding,
            sent: now,
            lease: None,
            view: self.wanted_view(now),
            version: 0,
        });
        if self.occupies {
            self.grant(now);
            return;
        }
        let key = occupant_key(&self.settings.peers);
        self.call(Purpose::Open, StoreOp::Get { key });
    }

    fn grant(&mut self, now: Moment) {
        if let Some(opening) = &mut self.opening {
            opening.stage = OpeningStage::Granting;
            opening.sent = now;
        }
        let ttl_ms = self.settings.session.as_millis() as u64;
        self.call(Purpose::Open, StoreOp::Grant { ttl_ms });
    }

    /// Writes that this process has its address now. The version keeps a late
    /// write of an earlier process from undoing it.
    fn occupy(&mut self, found: Option<&Entry>) {
        let expect = found.map_or(Expect::Absent, |found| Expect::Version(found.version));
        let op = StoreOp::Put {
            key: occupant_key(&self.settings.peers),
            value: to_json(&self.me),
            expect,
            lease: None,
        };
        self.call(Purpose::Open, op);
    }

    /// A lost answer while a session is opened costs nothing: the lease ends
    /// by itself, and a new session is opened.
    fn on_open(&mut self, reply: Option<StoreReply>, now: Moment) {
        let Some(mut opening) = self.opening.take() else {
            return;
        };
        match (opening.stage, reply) {
            (OpeningStage::Finding, Some(StoreReply::Value(found))) => {
                opening.stage = OpeningStage::Moving;
                self.occupy(found.as_ref());
                self.opening = Some(opening);
            }
            (OpeningStage::Moving, Some(StoreReply::Written(_))) => {
                self.occupies = true;
                self.opening = Some(opening);
                self.grant(now);
            }
            (OpeningStage::Granting, Some(StoreReply::Granted(lease))) => {
                opening.lease = Some(lease);
                opening.stage = OpeningStage::Recording;
                self.write_record(&opening);
                self.opening = Some(opening);
            }
            (OpeningStage::Recording, Some(StoreReply::Written(version))) => {
                opening.version = version;
                opening.stage = OpeningStage::Announcing;
                self.announce(&opening);
                self.opening = Some(opening);
            }
            (OpeningStage::Announcing, Some(StoreReply::Written(_))) => {
                self.begin_session(opening);
            }
            _ => self.retry_open = now + self.settings.heartbeat,
        }
    }

    fn write_record(&mut self, opening: &Opening) {
        let record = SessionRecord {
            host: self.me,
            address: self.settings.peers.clone(),
            view: opening.view.clone(),
            sealed: false,
        };
        self.call(
            Purpose::Open,
            StoreOp::Put {
                key: record_key(opening.id),
                value: to_json(&record),
                expect: Expect::Absent,
                lease: None,
            },
        );
    }

    fn announce(&mut self, opening: &Opening) {
        let announcement = Announcement {
            host: self.me,
            session: opening.id,
            name: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            peers: self.settings.peers.clone(),
            callers: self.settings.callers.clone(),
        };
        self.call(
            Purpose::Open,
            StoreOp::Put {
                key: alive_key(&self.settings.zone, opening.id),
                value: to_json(&announcement),
                expect: Expect::Any,
                lease: opening.lease,
            },
        );
    }

    fn begin_session(&mut self, opening: Opening) {
        let lease = opening.lease.unwrap_or(LeaseId(0));
        let until = opening.sent + self.settings.session.saturating_sub(self.settings.margin);
        let session = Session {
            id: opening.id,
            lease,
            view: opening.view,
            proposed: None,
            version: opening.version,
            until,
            lapsed: false,
            renewing: false,
            next_renewal: opening.sent + self.settings.session / 3,
            renewal_sent: opening.sent,
        };
        if let Some(old) = self.former.take() {
            self.promises.drop_session(old.id);
        }
        self.former = self.current.replace(session);
    }

    fn on_renewed(&mut self, id: SessionId, reply: Option<StoreReply>, now: Moment) {
        let span = self.settings.session;
        let margin = self.settings.margin;
        let retry = self.settings.heartbeat;
        let Some(session) = self.current.as_mut().filter(|session| session.id == id) else {
            return;
        };
        session.renewing = false;
        match reply {
            Some(StoreReply::Done) => {
                let granted = session.renewal_sent + span.saturating_sub(margin);
                session.until = session.until.max(granted);
            }
            Some(_) => session.lapsed = true,
            None => session.next_renewal = now + retry,
        }
    }

    /// Drops the former session once no shard is held under it.
    fn drop_former(&mut self) {
        let Some(former) = &self.former else {
            return;
        };
        let id = former.id;
        let used = self.slots.values().any(|slot| match slot {
            Slot::Owned(owned) => owned.session == id,
            Slot::Free(_) => false,
        });
        if !used {
            self.promises.drop_session(id);
            self.former = None;
        }
    }

    pub(super) fn wanted_view(&self, now: Moment) -> View {
        let near = self.peers.iter().filter(|(_, peer)| {
            peer.zone == self.settings.zone && !peer.stopping && self.is_heard(peer, now)
        });
        let members = near.filter_map(|(host, peer)| {
            let announced = peer.announced.as_ref()?;
            Some((*host, announced.peers.clone()))
        });
        View {
            members: members.collect(),
        }
    }

    fn tick_view(&mut self, now: Moment) {
        let wanted = self.wanted_view(now);
        let me = self.me;
        let address = self.settings.peers.clone();
        let Some(session) = &mut self.current else {
            return;
        };
        let leased = !session.lapsed && now < session.until;
        if !leased || session.proposed.is_some() || session.view == wanted {
            return;
        }
        session.proposed = Some(wanted.clone());
        let record = SessionRecord {
            host: me,
            address,
            view: wanted,
            sealed: false,
        };
        let op = StoreOp::Put {
            key: record_key(session.id),
            value: to_json(&record),
            expect: Expect::Version(session.version),
            lease: None,
        };
        self.call(Purpose::WriteView, op);
    }

    fn on_view_written(&mut self, reply: Option<StoreReply>) {
        let Some(session) = &mut self.current else {
            return;
        };
        if let Some(StoreReply::Written(version)) = reply {
            session.version = version;
            if let Some(view) = session.proposed.take() {
                session.view = view;
            }
            return;
        }
        let key = record_key(session.id);
        self.call(Purpose::ReadView, StoreOp::Get { key });
    }

    /// Settles a view whose write was not confirmed. Until the record shows
    /// that the write came or can no longer come, both views count.
    fn on_view_read(&mut self, reply: Option<StoreReply>) {
        let Some(session) = &mut self.current else {
            return;
        };
        let key = record_key(session.id);
        let Some(StoreReply::Value(Some(entry))) = reply else {
            self.call(Purpose::ReadView, StoreOp::Get { key });
            return;
        };
        let text = entry.value.as_deref().unwrap_or_default();
        let Ok(record) = serde_json::from_str::<SessionRecord>(text) else {
            return;
        };
        if entry.version == session.version {
            let Some(view) = session.proposed.clone() else {
                return;
            };
            let value = to_json(&SessionRecord {
                host: self.me,
                address: self.settings.peers.clone(),
                view,
                sealed: false,
            });
            let expect = Expect::Version(session.version);
            let op = StoreOp::Put {
                key,
                value,
                expect,
                lease: None,
            };
            self.call(Purpose::WriteView, op);
            return;
        }
        session.version = entry.version;
        session.view = record.view;
        session.proposed = None;
        // A record is sealed only after the lease has ended.
        session.lapsed |= record.sealed;
    }

    fn tick_heartbeats(&mut self, now: Moment) {
        let due: Vec<HostId> = self
            .peers
            .iter()
            .filter(|(host, peer)| !self.dead.contains_key(host) && now >= peer.next_heartbeat)
            .map(|(host, _)| *host)
            .collect();
        for host in due {
            let near = self.peers[&host].zone == self.settings.zone;
            let gap = match near {
                true => self.settings.heartbeat,
                false => self.settings.distant,
            };
            if let Some(peer) = self.peers.get_mut(&host) {
                peer.next_heartbeat = now + gap;
            }
            let message = self.heartbeat(now);
            self.send(host, message);
        }
    }

    fn heartbeat(&self, now: Moment) -> PeerMessage {
        let sessions = self.current.iter().chain(&self.former);
        PeerMessage::Heartbeat {
            sessions: sessions.map(|session| session.id).collect(),
            sent: now.as_micros(),
            owned: self.owned(now),
            revision: self.summary.revision,
            leaving: self.summary.leaving.clone(),
            free: self.summary.free,
            stopping: self.stopping,
        }
    }

    fn owned(&self, now: Moment) -> Vec<OwnedShard> {
        let owned = self.slots.iter().filter_map(|(shard, slot)| match slot {
            Slot::Owned(owned) if self.session_acts(owned.session, now) => Some(OwnedShard {
                shard: *shard,
                epoch: owned.epoch,
            }),
            _ => None,
        });
        owned.collect()
    }

    /// Lets every peer know at once that the owned shards have changed.
    pub fn hurry_heartbeats(&mut self) {
        for peer in self.peers.values_mut() {
            peer.next_heartbeat = Moment::default();
        }
    }

    fn answer_heartbeat(&mut self, from: HostId, sessions: &[SessionId], sent: u64, now: Moment) {
        let span = self.settings.promise;
        let promised = sessions
            .iter()
            .copied()
            .filter(|session| self.promises.promise(*session, span, now))
            .collect();
        self.send(from, PeerMessage::Ack { sent, promised });
    }

    /// A promise counts from the moment at which the heartbeat was sent.
    fn on_ack(&mut self, from: HostId, sent: u64, promised: &[SessionId]) {
        let span = self.settings.promise.saturating_sub(self.settings.margin);
        let until = PeerMessage::sent_at(sent) + span;
        for session in promised {
            self.promises.receive(*session, from, until);
        }
    }

    fn tick_writers(&mut self, now: Moment) {
        let hosts = 1 + self
            .peers
            .values()
            .filter(|peer| peer.announced.is_some())
            .count();
        self.pace
            .refill(f64::from(self.settings.store_writes) / hosts as f64, now);
        for shard in self.writers() {
            self.tick_writer(shard, now);
        }
    }

    /// The owned shards, the one that has not written for longest first.
    fn writers(&self) -> Vec<ShardId> {
        let owned = self.slots.iter().filter_map(|(shard, slot)| match slot {
            Slot::Owned(owned) => Some((owned.writer.last_write, *shard)),
            Slot::Free(_) => None,
        });
        let mut writers: Vec<(Moment, ShardId)> = owned.collect();
        writers.sort_unstable();
        writers.into_iter().map(|(_, shard)| shard).collect()
    }

    fn tick_writer(&mut self, shard: ShardId, now: Moment) {
        let current = self.current.as_ref();
        let live = current.filter(|session| !session.lapsed && now < session.until);
        let live = live.map(|session| session.id);
        let Some(Slot::Owned(owned)) = self.slots.get(&shard) else {
            return;
        };
        let acts = self.session_acts(owned.session, now);
        match &owned.writer.flight {
            Some(flight) => {
                if let FlightStage::Waiting(until) = flight.stage
                    && now >= until
                {
                    self.read_back(shard);
                }
                return;
            }
            None if acts => {}
            None => {
                // Another host may have claimed meanwhile; only the log tells.
                if live.is_some_and(|id| id != owned.session) {
                    self.lose(shard, now);
                }
                return;
            }
        }
        self.write_next(shard, live, now);
    }

    fn write_next(&mut self, shard: ShardId, live: Option<SessionId>, now: Moment) {
        let gap = self.settings.write_gap;
        let most = self.settings.entry_changes;
        let snapshot_after = self.settings.snapshot_after;
        let Some(Slot::Owned(owned)) = self.slots.get_mut(&shard) else {
            return;
        };
        let writer = &mut owned.writer;
        if let Some(id) = live.filter(|id| *id != owned.session) {
            self.write(shard, EntryBody::Claim, Some(id), now);
        } else if now - writer.last_write < gap || !self.pace.is_ready() {
            // Changes that arrive meanwhile go into the same entry.
        } else if let Some(changes) = owned.snapshot.take() {
            owned.asked_snapshot = false;
            self.write(shard, EntryBody::Snapshot(changes), None, now);
        } else if writer.since_snapshot >= snapshot_after && !owned.asked_snapshot {
            owned.asked_snapshot = true;
            self.actions.push_back(Action::TakeSnapshot { shard });
        } else if owned.asked_snapshot {
            // The snapshot comes before further changes.
        } else if !writer.queue.is_empty() {
            let count = writer.queue.len().min(most);
            let changes = writer.queue.drain(..count).collect();
            self.write(shard, EntryBody::Changes(changes), None, now);
        } else if let Some(release) = owned.release {
            self.write(shard, EntryBody::Release { to: release.to }, None, now);
        }
    }

    fn write(&mut self, shard: ShardId, body: EntryBody, session: Option<SessionId>, now: Moment) {
        let nonce = self.next_random();
        let me = self.me;
        let Some(Slot::Owned(owned)) = self.slots.get_mut(&shard) else {
            return;
        };
        let entry = LogEntry {
            nonce,
            epoch: owned.epoch,
            session: session.unwrap_or(owned.session),
            host: me,
            body,
        };
        owned.writer.last_write = now;
        self.pace.spend();
        owned.writer.flight = Some(Flight {
            entry,
            stage: FlightStage::Writing,
        });
        self.send_flight(shard);
    }

    fn send_flight(&mut self, shard: ShardId) {
        let Some(Slot::Owned(owned)) = self.slots.get_mut(&shard) else {
            return;
        };
        let number = owned.writer.next;
        let Some(flight) = &mut owned.writer.flight else {
            return;
        };
        flight.stage = FlightStage::Writing;
        let op = StoreOp::Put {
            key: log_key(shard, number),
            value: to_json(&flight.entry),
            expect: Expect::Absent,
            lease: None,
        };
        self.call(Purpose::WriteLog(shard), op);
    }

    fn read_back(&mut self, shard: ShardId) {
        let Some(Slot::Owned(owned)) = self.slots.get_mut(&shard) else {
            return;
        };
        let key = log_key(shard, owned.writer.next);
        if let Some(flight) = &mut owned.writer.flight {
            flight.stage = FlightStage::ReadingBack;
        }
        self.call(Purpose::ReadLog(shard), StoreOp::Get { key });
    }

    fn on_log_written(&mut self, shard: ShardId, reply: Option<StoreReply>, now: Moment) {
        match reply {
            Some(StoreReply::Written(_)) => self.confirm(shard, now),
            Some(_) => self.read_back(shard),
            None => self.wait_flight(shard, now),
        }
    }

    fn on_log_read(&mut self, shard: ShardId, reply: Option<StoreReply>, now: Moment) {
        let Some(StoreReply::Value(found)) = reply else {
            self.wait_flight(shard, now);
            return;
        };
        let Some(Slot::Owned(owned)) = self.slots.get(&shard) else {
            return;
        };
        let Some(flight) = &owned.writer.flight else {
            return;
        };
        let acts = self.session_acts(owned.session, now);
        match flight.compare(found.as_ref()) {
            ReadBack::Own => self.confirm(shard, now),
            ReadBack::Absent if acts => self.send_flight(shard),
            ReadBack::Absent | ReadBack::Other => self.lose(shard, now),
        }
    }

    fn wait_flight(&mut self, shard: ShardId, now: Moment) {
        let retry = now + self.settings.heartbeat;
        if let Some(Slot::Owned(owned)) = self.slots.get_mut(&shard)
            && let Some(flight) = &mut owned.writer.flight
        {
            flight.stage = FlightStage::Waiting(retry);
        }
    }

    /// An entry stands in the log. It counts only if this host may still act:
    /// a later owner's snapshot may have removed the entry that stood there.
    fn confirm(&mut self, shard: ShardId, now: Moment) {
        let Some(Slot::Owned(owned)) = self.slots.get(&shard) else {
            return;
        };
        if !self.session_acts(owned.session, now) {
            self.lose(shard, now);
            return;
        }
        let Some(Slot::Owned(owned)) = self.slots.get_mut(&shard) else {
            return;
        };
        let Some(flight) = owned.writer.flight.take() else {
            return;
        };
        let writer = &mut owned.writer;
        writer.entries.push(writer.next);
        writer.next += 1;
        match flight.entry.body {
            EntryBody::Claim => owned.session = flight.entry.session,
            EntryBody::Changes(changes) => {
                writer.since_snapshot += changes.len();
                self.actions.push_back(Action::Committed { shard, changes });
            }
            EntryBody::Snapshot(_) => {
                writer.since_snapshot = 0;
                let stale = writer.entries.drain(..writer.entries.len() - 1).collect();
                self.compact(shard, stale);
            }
            EntryBody::Release { to } => {
                self.lose(shard, now);
                self.hurry_heartbeats();
                if let Some(to) = to {
                    self.send(to, PeerMessage::Released { shard });
                }
            }
        }
    }

    pub(super) fn compact(&mut self, shard: ShardId, stale: Vec<u64>) {
        for number in stale {
            let key = log_key(shard, number);
            self.call(Purpose::Ignore, StoreOp::Delete { key });
        }
    }

    pub(super) fn lose(&mut self, shard: ShardId, now: Moment) {
        let slot = self
            .slots
            .insert(shard, Slot::Free(Box::new(Take::new(now))));
        let Some(Slot::Owned(owned)) = slot else {
            return;
        };
        let doubtful = match owned.writer.flight.map(|flight| flight.entry.body) {
            Some(EntryBody::Changes(changes)) => changes,
            _ => Vec::new(),
        };
        self.actions.push_back(Action::Lost {
            shard,
            doubtful,
            dropped: owned.writer.queue,
        });
        self.hurry_heartbeats();
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
