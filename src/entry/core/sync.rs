//! The calls to workers and their answers.

use std::time::Duration;

use super::{Contact, Core, Effect, SyncCall};
use crate::ids::WorkerKey;
use crate::moment::Moment;
use crate::workers::{SyncReply, SyncRequest};

/// Between two calls to a worker that nothing hurries.
const LONGEST_SYNC_GAP: Duration = Duration::from_secs(1);
const SHORTEST_SYNC_GAP: Duration = Duration::from_millis(100);

impl Core {
    /// The next call to a worker, if this host may act for its shard.
    pub fn sync_call(&mut self, key: WorkerKey, now: Moment) -> Option<SyncCall> {
        let worker = self.placement.get(key)?;
        let shard = worker.shard;
        let epoch = self.ownership.acting_epoch(shard, now)?;
        let ledger = self.ledgers.get_mut(&shard)?;
        let contact = self.contacts.entry(key)?.or_default();
        if contact.epoch != epoch {
            *contact = Contact {
                epoch,
                ..Contact::default()
            };
        }
        contact.number += 1;
        let commands = ledger.commands(key, contact.number);
        let lease = self.settings.ledger.lease;
        Some(SyncCall {
            address: worker.address.clone(),
            request: SyncRequest {
                shard,
                epoch,
                number: contact.number,
                ticket: contact.ticket,
                lease_ms: lease.as_millis() as u64,
                starts: commands.starts,
                stops: commands.stops,
                forget: commands.forget,
                resolve: worker.doubts(),
                throttle: worker.throttle,
            },
        })
    }

    /// How long the next call to a worker may wait if nothing hurries it.
    pub fn sync_gap(&self, key: WorkerKey) -> Duration {
        let shard = self.placement.get(key).map(|worker| worker.shard);
        let ledger = shard.and_then(|shard| self.ledgers.get(&shard));
        ledger.map_or(LONGEST_SYNC_GAP, |ledger| {
            ledger
                .expected_end(key)
                .clamp(SHORTEST_SYNC_GAP, LONGEST_SYNC_GAP)
        })
    }

    /// Takes a worker's answer; none if there was none in time.
    pub fn on_sync(
        &mut self,
        key: WorkerKey,
        request: &SyncRequest,
        reply: Option<SyncReply>,
        now: Moment,
    ) {
        let Some(SyncReply::Report(report)) = reply else {
            self.placement.on_silence(key, now);
            return;
        };
        let Some(contact) = self.contacts.get_mut(key) else {
            return;
        };
        let same = contact.epoch == request.epoch && contact.number == request.number;
        if !same || self.ownership.acting_epoch(request.shard, now) != Some(request.epoch) {
            return;
        }
        contact.ticket = Some(report.ticket);
        let me = self.ownership.me();
        let settled = self.placement.on_report(key, &report, me, now);
        for each in settled {
            self.effects.push_back(Effect::Settled(each.id, each.fate));
        }
        if let Some(ledger) = self.ledgers.get_mut(&request.shard) {
            ledger.on_report(key, request.number, &report, &mut self.placement, now);
        }
        self.wake(now);
        self.flush(now);
    }
}
