//! Claims a shard that nobody owns, in these steps:
//!
//! 1. Read the log.
//! 2. Check that the lease of the last owner's session has ended at the store.
//! 3. Seal the record of that session, so that its view can no longer change.
//! 4. Wait until enough members of that view have given up the session.
//! 5. Write the claim as the next entry.
//! 6. Read the log once more. A late claim can find its number free again,
//!    because a later owner's snapshot made the entry under it superfluous.
//!
//! A shard that was released, or that this process itself owned last, needs only
//! steps 1, 5 and 6.

use std::collections::BTreeSet;

use super::claim::{Plan, Quorum, TakeoverStage};
use super::log::{EntryBody, LogEntry, Replay, Writer, log_key, log_prefix};
use super::machine::{Action, GainedShard, Owned, Ownership, Purpose, ShardState, to_json};
use super::messages::PeerMessage;
use super::session::{SessionRecord, address_key, alive_key, record_key};
use crate::ids::{Epoch, HostId, SessionId, ShardId};
use crate::moment::Moment;
use crate::platform::{Entry, Expect, StoreOp, StoreReply};

impl Ownership {
    pub(super) fn tick_takeovers(&mut self, now: Moment) {
        let shards: Vec<ShardId> = self.shards.keys().copied().collect();
        for shard in shards {
            let Some(ShardState::Free(takeover)) = self.shards.get(&shard) else {
                continue;
            };
            match &takeover.stage {
                TakeoverStage::Idle { retry } if now >= *retry => self.begin_takeover(shard, now),
                TakeoverStage::CollectingQuorum(_) => self.tick_quorum(shard, now),
                _ => {}
            }
        }
    }

    fn begin_takeover(&mut self, shard: ShardId, now: Moment) {
        let owner = self.owner(shard, now);
        let wanted = self.should_claim(shard, now);
        let leased = self.is_leased(now);
        let Some(ShardState::Free(takeover)) = self.shards.get_mut(&shard) else {
            return;
        };
        if owner.is_some() && !takeover.designated {
            takeover.free_since = now;
            return;
        }
        if !leased || !(wanted || takeover.designated) {
            return;
        }
        takeover.designated = false;
        takeover.stage = TakeoverStage::Reading;
        let prefix = log_prefix(shard);
        self.call(Purpose::Takeover(shard), StoreOp::Range { prefix });
    }

    pub(super) fn on_takeover_reply(
        &mut self,
        shard: ShardId,
        reply: Option<StoreReply>,
        now: Moment,
    ) {
        let retry = now + self.settings.heartbeat_interval;
        let Some(ShardState::Free(takeover)) = self.shards.get_mut(&shard) else {
            return;
        };
        let stage = std::mem::replace(&mut takeover.stage, TakeoverStage::Idle { retry });
        match (stage, reply) {
            (TakeoverStage::Reading, Some(StoreReply::Entries(entries))) => {
                self.on_log(shard, &entries);
            }
            (TakeoverStage::ReadingLease(plan), Some(StoreReply::Value(None))) => {
                self.read_record(shard, plan);
            }
            (TakeoverStage::ReadingRecord(plan), Some(StoreReply::Value(Some(entry)))) => {
                self.on_record(shard, plan, &entry, now);
            }
            (TakeoverStage::Sealing(plan, record), Some(StoreReply::Written(_))) => {
                self.collect_quorum(shard, plan, record, now);
            }
            (TakeoverStage::Sealing(plan, _), Some(StoreReply::Conflict)) => {
                self.read_record(shard, plan);
            }
            (TakeoverStage::Claiming(plan, entry), reply) => {
                self.on_claim(shard, plan, entry, reply);
            }
            (TakeoverStage::Verifying(plan, entry), Some(StoreReply::Entries(entries))) => {
                self.on_verified(shard, plan, &entry, &entries, now);
            }
            _ => {}
        }
    }

    fn set_stage(&mut self, shard: ShardId, stage: TakeoverStage) {
        if let Some(ShardState::Free(takeover)) = self.shards.get_mut(&shard) {
            takeover.stage = stage;
        }
    }

    fn on_log(&mut self, shard: ShardId, entries: &[Entry]) {
        let Some(replay) = Replay::read(entries) else {
            log::error!("cannot parse the log of shard {shard}");
            return;
        };
        let former = replay.former;
        let plan = Plan { replay, former };
        match former {
            Some(former) if former.host != self.me => {
                let key = alive_key(&self.settings.zone, former.session);
                self.set_stage(shard, TakeoverStage::ReadingLease(plan));
                self.call(Purpose::Takeover(shard), StoreOp::Get { key });
            }
            Some(_) | None => self.claim(shard, plan),
        }
    }

    fn read_record(&mut self, shard: ShardId, plan: Plan) {
        let Some(former) = plan.former else {
            return;
        };
        let key = record_key(former.session);
        self.set_stage(shard, TakeoverStage::ReadingRecord(plan));
        self.call(Purpose::Takeover(shard), StoreOp::Get { key });
    }

    fn on_record(&mut self, shard: ShardId, plan: Plan, entry: &Entry, now: Moment) {
        let text = entry.value.as_deref().unwrap_or_default();
        let Ok(record) = serde_json::from_str::<SessionRecord>(text) else {
            log::error!("cannot parse session record {}", entry.key);
            return;
        };
        if record.sealed {
            self.collect_quorum(shard, plan, record, now);
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
        self.set_stage(shard, TakeoverStage::Sealing(plan, sealed));
        self.call(Purpose::Takeover(shard), op);
    }

    fn collect_quorum(&mut self, shard: ShardId, plan: Plan, record: SessionRecord, now: Moment) {
        let Some(former) = plan.former else {
            return;
        };
        let quorum = Quorum {
            plan,
            session: former.session,
            former: record.host,
            address: record.address,
            view: record.view,
            gave_up: BTreeSet::new(),
            last_asked: Moment::default(),
            deadline: now + self.settings.promise_ttl * 3,
        };
        self.set_stage(shard, TakeoverStage::CollectingQuorum(quorum));
        self.tick_quorum(shard, now);
    }

    fn tick_quorum(&mut self, shard: ShardId, now: Moment) {
        let retry = now + self.settings.heartbeat_interval;
        let Some(ShardState::Free(takeover)) = self.shards.get_mut(&shard) else {
            return;
        };
        let stage = std::mem::replace(&mut takeover.stage, TakeoverStage::Idle { retry });
        let TakeoverStage::CollectingQuorum(mut quorum) = stage else {
            return;
        };
        self.count_self_and_dead(&mut quorum, now);
        let ended = self.dead.contains_key(&quorum.former);
        if ended || quorum.gave_up.len() >= quorum.view.takeover_quorum() {
            self.claim(shard, quorum.plan);
            return;
        }
        if now >= quorum.deadline {
            return;
        }
        if now - quorum.last_asked >= self.settings.heartbeat_interval {
            quorum.last_asked = now;
            self.ask_members(&quorum);
        }
        self.set_stage(shard, TakeoverStage::CollectingQuorum(quorum));
    }

    fn count_self_and_dead(&mut self, quorum: &mut Quorum, now: Moment) {
        let ttl = self.settings.promise_ttl;
        for member in quorum.view.members.keys() {
            let dead_since = self.dead.get(member);
            let long_dead = dead_since.is_some_and(|since| now - *since > ttl);
            let own = *member == self.me && self.promises.give_up(quorum.session, now);
            if own || long_dead {
                quorum.gave_up.insert(*member);
            }
        }
    }

    fn ask_members(&mut self, quorum: &Quorum) {
        let session = quorum.session;
        self.read_address(quorum.former, &quorum.address);
        for (member, address) in &quorum.view.members {
            if *member != self.me && !quorum.gave_up.contains(member) {
                self.send(*member, PeerMessage::GiveUp { session });
                self.read_address(*member, address);
            }
        }
    }

    /// Reads from the store whether a later process is registered at a host's
    /// address, which shows that the host's process has ended.
    fn read_address(&mut self, host: HostId, address: &str) {
        if !self.dead.contains_key(&host) {
            let key = address_key(address);
            self.call(Purpose::ReadAddress(host), StoreOp::Get { key });
        }
    }

    pub(super) fn on_address_read(&mut self, host: HostId, reply: Option<StoreReply>, now: Moment) {
        let Some(StoreReply::Value(Some(entry))) = reply else {
            return;
        };
        let registered = entry
            .value
            .as_deref()
            .and_then(|text| serde_json::from_str(text).ok());
        if registered.is_some_and(|registered: HostId| registered != host) {
            self.dead.entry(host).or_insert(now);
        }
    }

    pub(super) fn record_given_up(&mut self, session: SessionId, from: HostId) {
        for state in self.shards.values_mut() {
            if let ShardState::Free(takeover) = state
                && let TakeoverStage::CollectingQuorum(quorum) = &mut takeover.stage
                && quorum.session == session
                && quorum.view.members.contains_key(&from)
            {
                quorum.gave_up.insert(from);
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
        self.set_stage(shard, TakeoverStage::Claiming(plan, entry));
        self.call(Purpose::Takeover(shard), op);
    }

    /// Handles the reply to a claim. If it was lost or refused, the takeover starts
    /// again with reading the log: if the claim is there, this host is the owner by
    /// it and claims once more.
    fn on_claim(&mut self, shard: ShardId, plan: Plan, entry: LogEntry, reply: Option<StoreReply>) {
        if let Some(StoreReply::Written(_)) = reply {
            self.set_stage(shard, TakeoverStage::Verifying(plan, entry));
            let prefix = log_prefix(shard);
            self.call(Purpose::Takeover(shard), StoreOp::Range { prefix });
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
        let is_last = last.is_some_and(|last| last.nonce == entry.nonce);
        let Some(replay) = Replay::read(entries) else {
            return;
        };
        if !is_last || !self.session_may_act(entry.session, now) {
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
            snapshot_requested: false,
        };
        self.shards
            .insert(shard, ShardState::Owned(Box::new(owned)));
        self.actions.push_back(Action::Gained(GainedShard {
            shard,
            epoch: entry.epoch,
            changes: replay.changes,
            takeover: plan.former.is_some(),
        }));
        self.compact(shard, replay.stale);
        self.trigger_heartbeats();
    }
}
