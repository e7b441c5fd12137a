//! How a host claims a shard that nobody owns.
//!
//! The log is read; the last claim's session must have lapsed at the store;
//! its record is sealed, so that its view changes no more; enough members of
//! that view give the session up; the claim is written as the next entry; and
//! the log is read once more, because a later owner's snapshot may have
//! removed the entry that the claim should have met.

use std::collections::BTreeSet;

use super::log::{EntryBody, Holder, LogEntry, Replay, Writer, log_key, log_prefix};
use super::machine::{Action, Gained, Owned, Ownership, Purpose, Slot, to_json};
use super::messages::PeerMessage;
use super::promise::View;
use super::session::{SessionRecord, alive_key, occupant_key, record_key};
use crate::ids::{Epoch, HostId, SessionId, ShardId};
use crate::moment::Moment;
use crate::platform::{Entry, Expect, StoreOp, StoreReply};

/// The claim of one shard, as far as it has come.
#[derive(Debug)]
pub(super) struct Take {
    /// Since when no host says it owns the shard.
    pub free_since: Moment,
    /// Whether the former owner released the shard to this host.
    pub meant: bool,
    pub stage: TakeStage,
}

#[derive(Debug)]
pub(super) enum TakeStage {
    Idle { retry: Moment },
    Reading,
    AskingAlive(Plan),
    ReadingRecord(Plan),
    Sealing(Plan, SessionRecord),
    Gathering(Gathering),
    Claiming(Plan, LogEntry),
    Verifying(Plan, LogEntry),
}

/// A claim that is being prepared.
#[derive(Debug)]
pub(super) struct Plan {
    replay: Replay,
    holder: Option<Holder>,
}

/// Collects the members of a view that have given its session up.
#[derive(Debug)]
pub(super) struct Gathering {
    plan: Plan,
    session: SessionId,
    /// The former owner and the address of its process.
    holder: HostId,
    address: String,
    view: View,
    gave: BTreeSet<HostId>,
    asked: Moment,
    until: Moment,
}

impl Take {
    pub const fn new(now: Moment) -> Self {
        Self {
            free_since: now,
            meant: false,
            stage: TakeStage::Idle { retry: now },
        }
    }
}

impl Ownership {
    pub(super) fn tick_takes(&mut self, now: Moment) {
        let shards: Vec<ShardId> = self.slots.keys().copied().collect();
        for shard in shards {
            let Some(Slot::Free(take)) = self.slots.get(&shard) else {
                continue;
            };
            match &take.stage {
                TakeStage::Idle { retry } if now >= *retry => self.begin_take(shard, now),
                TakeStage::Gathering(_) => self.tick_gathering(shard, now),
                _ => {}
            }
        }
    }

    fn begin_take(&mut self, shard: ShardId, now: Moment) {
        let owner = self.owner(shard, now);
        let wanted = self.wants(shard, now);
        let leased = self.is_leased(now);
        let Some(Slot::Free(take)) = self.slots.get_mut(&shard) else {
            return;
        };
        if owner.is_some() && !take.meant {
            take.free_since = now;
            return;
        }
        if !leased || !(wanted || take.meant) {
            return;
        }
        take.meant = false;
        take.stage = TakeStage::Reading;
        let prefix = log_prefix(shard);
        self.call(Purpose::Take(shard), StoreOp::Range { prefix });
    }

    pub(super) fn on_take(&mut self, shard: ShardId, reply: Option<StoreReply>, now: Moment) {
        let retry = now + self.settings.heartbeat;
        let Some(Slot::Free(take)) = self.slots.get_mut(&shard) else {
            return;
        };
        let stage = std::mem::replace(&mut take.stage, TakeStage::Idle { retry });
        match (stage, reply) {
            (TakeStage::Reading, Some(StoreReply::Entries(entries))) => {
                self.on_log(shard, &entries);
            }
            (TakeStage::AskingAlive(plan), Some(StoreReply::Value(None))) => {
                self.read_record(shard, plan);
            }
            (TakeStage::ReadingRecord(plan), Some(StoreReply::Value(Some(entry)))) => {
                self.on_record(shard, plan, &entry, now);
            }
            (TakeStage::Sealing(plan, record), Some(StoreReply::Written(_))) => {
                self.gather(shard, plan, record, now);
            }
            (TakeStage::Sealing(plan, _), Some(StoreReply::Conflict)) => {
                self.read_record(shard, plan);
            }
            (TakeStage::Claiming(plan, entry), reply) => {
                self.on_claim(shard, plan, entry, reply);
            }
            (TakeStage::Verifying(plan, entry), Some(StoreReply::Entries(entries))) => {
                self.on_verified(shard, plan, &entry, &entries, now);
            }
            _ => {}
        }
    }

    fn set_stage(&mut self, shard: ShardId, stage: TakeStage) {
        if let Some(Slot::Free(take)) = self.slots.get_mut(&shard) {
            take.stage = stage;
        }
    }

    fn on_log(&mut self, shard: ShardId, entries: &[Entry]) {
        let Some(replay) = Replay::read(entries) else {
            log::error!("the log of shard {shard} is not understood");
            return;
        };
        let holder = replay.holder;
        let plan = Plan { replay, holder };
        match holder {
            Some(holder) if holder.host != self.me => {
                let key = alive_key(&self.settings.zone, holder.session);
                self.set_stage(shard, TakeStage::AskingAlive(plan));
                self.call(Purpose::Take(shard), StoreOp::Get { key });
            }
            Some(_) | None => self.claim(shard, plan),
        }
    }

    fn read_record(&mut self, shard: ShardId, plan: Plan) {
        let Some(holder) = plan.holder else {
            return;
        };
        let key = record_key(holder.session);
        self.set_stage(shard, TakeStage::ReadingRecord(plan));
        self.call(Purpose::Take(shard), StoreOp::Get { key });
    }

    fn on_record(&mut self, shard: ShardId, plan: Plan, entry: &Entry, now: Moment) {
        let text = entry.value.as_deref().unwrap_or_default();
        let Ok(record) = serde_json::from_str::<SessionRecord>(text) else {
            log::error!("record {} is not understood", entry.key);
            return;
        };
        if record.sealed {
            self.gather(shard, plan, record, now);
            return;
        }
        let sealed = SessionRecord {
            sealed: true,
            ..record
        };
        let op = StoreOp::Put {
            key: entry.key.clone(),
            value: to_json(&sealed),
            expect: Expect::Version(entry.version),
            lease: None,
        };
        self.set_stage(shard, TakeStage::Sealing(plan, sealed));
        self.call(Purpose::Take(shard), op);
    }

    fn gather(&mut self, shard: ShardId, plan: Plan, record: SessionRecord, now: Moment) {
        let Some(holder) = plan.holder else {
            return;
        };
        let gathering = Gathering {
            plan,
            session: holder.session,
            holder: record.host,
            address: record.address,
            view: record.view,
            gave: BTreeSet::new(),
            asked: Moment::default(),
            until: now + self.settings.promise * 3,
        };
        self.set_stage(shard, TakeStage::Gathering(gathering));
        self.tick_gathering(shard, now);
    }

    fn tick_gathering(&mut self, shard: ShardId, now: Moment) {
        let retry = now + self.settings.heartbeat;
        let Some(Slot::Free(take)) = self.slots.get_mut(&shard) else {
            return;
        };
        let stage = std::mem::replace(&mut take.stage, TakeStage::Idle { retry });
        let TakeStage::Gathering(mut gathering) = stage else {
            return;
        };
        self.count_own_and_dead(&mut gathering, now);
        let ended = self.dead.contains_key(&gathering.holder);
        if ended || gathering.gave.len() >= gathering.view.needed_to_take() {
            self.claim(shard, gathering.plan);
            return;
        }
        if now >= gathering.until {
            return;
        }
        if now - gathering.asked >= self.settings.heartbeat {
            gathering.asked = now;
            self.ask_members(&gathering);
        }
        self.set_stage(shard, TakeStage::Gathering(gathering));
    }

    fn count_own_and_dead(&mut self, gathering: &mut Gathering, now: Moment) {
        let span = self.settings.promise;
        for member in gathering.view.members.keys() {
            let dead_since = self.dead.get(member);
            let long_dead = dead_since.is_some_and(|since| now - *since > span);
            let own = *member == self.me && self.promises.give_up(gathering.session, now);
            if own || long_dead {
                gathering.gave.insert(*member);
            }
        }
    }

    fn ask_members(&mut self, gathering: &Gathering) {
        let session = gathering.session;
        self.ask_occupant(gathering.holder, &gathering.address);
        for (member, address) in &gathering.view.members {
            if *member != self.me && !gathering.gave.contains(member) {
                self.send(*member, PeerMessage::GiveUp { session });
                self.ask_occupant(*member, address);
            }
        }
    }

    /// Asks the store whether a later process has a host's address.
    fn ask_occupant(&mut self, host: HostId, address: &str) {
        if !self.dead.contains_key(&host) {
            let key = occupant_key(address);
            self.call(Purpose::Occupant(host), StoreOp::Get { key });
        }
    }

    pub(super) fn on_occupant(&mut self, host: HostId, reply: Option<StoreReply>, now: Moment) {
        let Some(StoreReply::Value(Some(entry))) = reply else {
            return;
        };
        let occupant = entry
            .value
            .as_deref()
            .and_then(|text| serde_json::from_str(text).ok());
        if occupant.is_some_and(|occupant: HostId| occupant != host) {
            self.dead.entry(host).or_insert(now);
        }
    }

    pub(super) fn note_given_up(&mut self, session: SessionId, from: HostId) {
        for slot in self.slots.values_mut() {
            if let Slot::Free(take) = slot
                && let TakeStage::Gathering(gathering) = &mut take.stage
                && gathering.session == session
                && gathering.view.members.contains_key(&from)
            {
                gathering.gave.insert(from);
            }
        }
    }

    fn claim(&mut self, shard: ShardId, plan: Plan) {
        let Some(session) = self.current.as_ref().map(|session| session.id) else {
            return;
        };
        let entry = LogEntry {
            nonce: self.next_random(),
            epoch: Epoch(plan.replay.epoch.0 + 1),
            session,
            host: self.me,
            body: EntryBody::Claim,
        };
        let op = StoreOp::Put {
            key: log_key(shard, plan.replay.next),
            value: to_json(&entry),
            expect: Expect::Absent,
            lease: None,
        };
        self.set_stage(shard, TakeStage::Claiming(plan, entry));
        self.call(Purpose::Take(shard), op);
    }

    /// A claim that was lost or refused is settled by the next reading of the
    /// log: if it stands, this host is the holder.
    fn on_claim(&mut self, shard: ShardId, plan: Plan, entry: LogEntry, reply: Option<StoreReply>) {
        if let Some(StoreReply::Written(_)) = reply {
            self.set_stage(shard, TakeStage::Verifying(plan, entry));
            let prefix = log_prefix(shard);
            self.call(Purpose::Take(shard), StoreOp::Range { prefix });
        }
    }

    fn on_verified(
        &mut self,
        shard: ShardId,
        plan: Plan,
        entry: &LogEntry,
        entries: &[Entry],
        now: Moment,
    ) {
        let last = entries.last().and_then(|last| last.value.as_deref());
        let last: Option<LogEntry> = last.and_then(|text| serde_json::from_str(text).ok());
        let stands = last.is_some_and(|last| last.nonce == entry.nonce);
        let Some(replay) = Replay::read(entries) else {
            return;
        };
        if !stands || !self.session_acts(entry.session, now) {
            return;
        }
        let mut writer = Writer::new(replay.next, now);
        writer.since_snapshot = replay.changes.len();
        let stale: BTreeSet<u64> = replay.stale.iter().copied().collect();
        writer.entries = entries
            .iter()
            .filter_map(|entry| entry.key.rsplit('/').next()?.parse().ok())
            .filter(|number| !stale.contains(number))
            .collect();
        let owned = Owned {
            epoch: entry.epoch,
            session: entry.session,
            writer,
            release: None,
            snapshot: None,
            asked_snapshot: false,
        };
        self.slots.insert(shard, Slot::Owned(Box::new(owned)));
        self.actions.push_back(Action::Gained(Gained {
            shard,
            epoch: entry.epoch,
            changes: replay.changes,
            takeover: plan.holder.is_some(),
        }));
        self.compact(shard, replay.stale);
        self.hurry_heartbeats();
    }
}
