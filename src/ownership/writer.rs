//! Writes the logs of owned shards, one entry of a shard at a time. A write that
//! is not confirmed is resolved by reading the entry back.

use super::claim::Takeover;
use super::log::{EntryBody, LogEntry, PendingWrite, ReadBack, WriteStage, log_key};
use super::machine::{Action, Ownership, Purpose, ShardState, to_json};
use super::messages::PeerMessage;
use crate::ids::{SessionId, ShardId};
use crate::moment::Moment;
use crate::platform::{Expect, StoreOp, StoreReply};

impl Ownership {
    pub(super) fn tick_writers(&mut self, now: Moment) {
        let hosts = 1 + self
            .peers
            .values()
            .filter(|peer| peer.announcement.is_some())
            .count();
        self.write_limiter
            .refill(f64::from(self.settings.write_rate) / hosts as f64, now);
        for shard in self.by_last_write() {
            self.tick_writer(shard, now);
        }
    }

    /// The owned shards in order of their last write, the earliest first.
    fn by_last_write(&self) -> Vec<ShardId> {
        let owned = self.shards.iter().filter_map(|(shard, state)| match state {
            ShardState::Owned(owned) => Some((owned.writer.last_write, *shard)),
            ShardState::Free(_) => None,
        });
        let mut order: Vec<(Moment, ShardId)> = owned.collect();
        order.sort_unstable();
        order.into_iter().map(|(_, shard)| shard).collect()
    }

    fn tick_writer(&mut self, shard: ShardId, now: Moment) {
        let current = self.current.as_ref();
        let leased = current.filter(|session| !session.expired && now < session.until);
        let leased = leased.map(|session| session.id);
        let Some(ShardState::Owned(owned)) = self.shards.get(&shard) else {
            return;
        };
        let may_act = self.session_may_act(owned.session, now);
        match &owned.writer.pending {
            Some(pending) => {
                if let WriteStage::Waiting(until) = pending.stage
                    && now >= until
                {
                    self.read_back(shard);
                }
                return;
            }
            None if may_act => {}
            None => {
                // Another host may have claimed the shard in the meantime; only the
                // log shows whether one has.
                if leased.is_some_and(|id| id != owned.session) {
                    self.free_shard(shard, now);
                }
                return;
            }
        }
        self.write_next(shard, leased, now);
    }

    fn write_next(&mut self, shard: ShardId, leased: Option<SessionId>, now: Moment) {
        let interval = self.settings.write_interval;
        let max_changes = self.settings.entry_changes;
        let snapshot_after = self.settings.snapshot_after;
        let Some(ShardState::Owned(owned)) = self.shards.get_mut(&shard) else {
            return;
        };
        let writer = &mut owned.writer;
        if let Some(id) = leased.filter(|id| *id != owned.session) {
            self.write(shard, EntryBody::Claim, Some(id), now);
        } else if now - writer.last_write < interval || !self.write_limiter.is_ready() {
            // Changes that arrive until the next write share its entry.
        } else if let Some(changes) = owned.snapshot.take() {
            owned.snapshot_requested = false;
            self.write(shard, EntryBody::Snapshot(changes), None, now);
        } else if writer.since_snapshot >= snapshot_after && !owned.snapshot_requested {
            owned.snapshot_requested = true;
            self.actions.push_back(Action::TakeSnapshot { shard });
        } else if owned.snapshot_requested {
            // The snapshot is written before further changes.
        } else if !writer.queue.is_empty() {
            let count = writer.queue.len().min(max_changes);
            let changes = writer.queue.drain(..count).collect();
            self.write(shard, EntryBody::Changes(changes), None, now);
        } else if let Some(release) = owned.release {
            self.write(shard, EntryBody::Release { to: release.to }, None, now);
        }
    }

    fn write(&mut self, shard: ShardId, body: EntryBody, session: Option<SessionId>, now: Moment) {
        let nonce = self.next_random();
        let me = self.me;
        let Some(ShardState::Owned(owned)) = self.shards.get_mut(&shard) else {
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
        self.write_limiter.spend();
        owned.writer.pending = Some(PendingWrite {
            entry,
            stage: WriteStage::Writing,
        });
        self.send_pending(shard);
    }

    fn send_pending(&mut self, shard: ShardId) {
        let Some(ShardState::Owned(owned)) = self.shards.get_mut(&shard) else {
            return;
        };
        let number = owned.writer.next;
        let Some(pending) = &mut owned.writer.pending else {
            return;
        };
        pending.stage = WriteStage::Writing;
        let op = StoreOp::Put {
            key: log_key(shard, number),
            value: to_json(&pending.entry),
            expect: Expect::Absent,
            lease: None,
        };
        self.call(Purpose::WriteLog(shard), op);
    }

    fn read_back(&mut self, shard: ShardId) {
        let Some(ShardState::Owned(owned)) = self.shards.get_mut(&shard) else {
            return;
        };
        let key = log_key(shard, owned.writer.next);
        if let Some(pending) = &mut owned.writer.pending {
            pending.stage = WriteStage::ReadingBack;
        }
        self.call(Purpose::ReadLog(shard), StoreOp::Get { key });
    }

    pub(super) fn on_log_written(
        &mut self,
        shard: ShardId,
        reply: Option<StoreReply>,
        now: Moment,
    ) {
        match reply {
            Some(StoreReply::Written(_)) => self.confirm(shard, now),
            Some(_) => self.read_back(shard),
            None => self.schedule_retry(shard, now),
        }
    }

    pub(super) fn on_log_read(&mut self, shard: ShardId, reply: Option<StoreReply>, now: Moment) {
        let Some(StoreReply::Value(found)) = reply else {
            self.schedule_retry(shard, now);
            return;
        };
        let Some(ShardState::Owned(owned)) = self.shards.get(&shard) else {
            return;
        };
        let Some(pending) = &owned.writer.pending else {
            return;
        };
        let may_act = self.session_may_act(owned.session, now);
        match pending.compare(found.as_ref()) {
            ReadBack::Own => self.confirm(shard, now),
            ReadBack::Absent if may_act => self.send_pending(shard),
            ReadBack::Absent | ReadBack::Other => self.free_shard(shard, now),
        }
    }

    fn schedule_retry(&mut self, shard: ShardId, now: Moment) {
        let retry = now + self.settings.heartbeat_interval;
        if let Some(ShardState::Owned(owned)) = self.shards.get_mut(&shard)
            && let Some(pending) = &mut owned.writer.pending
        {
            pending.stage = WriteStage::Waiting(retry);
        }
    }

    /// Handles an entry that was written to the log. It counts only if this host may
    /// still act: otherwise a later owner may have used the number before, and a
    /// snapshot may have deleted that entry.
    fn confirm(&mut self, shard: ShardId, now: Moment) {
        let Some(ShardState::Owned(owned)) = self.shards.get(&shard) else {
            return;
        };
        if !self.session_may_act(owned.session, now) {
            self.free_shard(shard, now);
            return;
        }
        let Some(ShardState::Owned(owned)) = self.shards.get_mut(&shard) else {
            return;
        };
        let Some(pending) = owned.writer.pending.take() else {
            return;
        };
        let writer = &mut owned.writer;
        writer.entries.push(writer.next);
        writer.next += 1;
        match pending.entry.body {
            EntryBody::Claim => owned.session = pending.entry.session,
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
                self.free_shard(shard, now);
                self.trigger_heartbeats();
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

    pub(super) fn free_shard(&mut self, shard: ShardId, now: Moment) {
        let state = self
            .shards
            .insert(shard, ShardState::Free(Box::new(Takeover::new(now))));
        let Some(ShardState::Owned(owned)) = state else {
            return;
        };
        let unconfirmed = match owned.writer.pending.map(|pending| pending.entry.body) {
            Some(EntryBody::Changes(changes)) => changes,
            _ => Vec::new(),
        };
        self.actions.push_back(Action::Lost {
            shard,
            unconfirmed,
            dropped: owned.writer.queue,
        });
        self.trigger_heartbeats();
    }
}
