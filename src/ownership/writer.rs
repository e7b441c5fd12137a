//! Writing the logs of owned shards: one entry at a time, confirmed or settled
//! by reading it back.

use super::log::{EntryBody, Flight, FlightStage, LogEntry, ReadBack, log_key};
use super::machine::{Action, Ownership, Purpose, Slot, to_json};
use super::messages::PeerMessage;
use super::takeover::Take;
use crate::ids::{SessionId, ShardId};
use crate::moment::Moment;
use crate::platform::{Expect, StoreOp, StoreReply};

impl Ownership {
    pub(super) fn tick_writers(&mut self, now: Moment) {
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

    pub(super) fn on_log_written(
        &mut self,
        shard: ShardId,
        reply: Option<StoreReply>,
        now: Moment,
    ) {
        match reply {
            Some(StoreReply::Written(_)) => self.confirm(shard, now),
            Some(_) => self.read_back(shard),
            None => self.wait_flight(shard, now),
        }
    }

    pub(super) fn on_log_read(&mut self, shard: ShardId, reply: Option<StoreReply>, now: Moment) {
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
}
