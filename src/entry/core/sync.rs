//! The `sync` calls to workers and their replies.

use std::time::Duration;

use super::{Core, Effect, SyncCall, SyncState};
use crate::ids::WorkerKey;
use crate::moment::Moment;
use crate::workers::{SyncReply, SyncRequest};

/// Bounds of the interval between two calls to a worker when no event triggers a
/// call.
const MAX_SYNC_INTERVAL: Duration = Duration::from_secs(1);
const MIN_SYNC_INTERVAL: Duration = Duration::from_millis(100);

impl Core {
    /// Builds the next call to a worker, or returns `None` if this host may not
    /// act for its shard.
    pub fn sync_call(&mut self, key: WorkerKey, now: Moment) -> Option<SyncCall> {
        let worker = self.placement.get(key)?;
        let shard = worker.shard;
        let epoch = self.ownership.acting_epoch(shard, now)?;
        let ledger = self.ledgers.get_mut(&shard)?;
        let state = self.sync_states.entry(key)?.or_default();
        if state.epoch != epoch || state.address != worker.address {
            *state = SyncState {
                epoch,
                address: worker.address.clone(),
                ..SyncState::default()
            };
        }
        self.last_sync += 1;
        state.number = self.last_sync;
        let commands = ledger.commands(key, state.number, self.placement.zone);
        let lease = self.settings.ledger.lease;
        Some(SyncCall {
            address: worker.address.clone(),
            request: SyncRequest {
                shard,
                epoch,
                number: state.number,
                ticket: state.ticket,
                boot: state.boot,
                lease_ms: lease.as_millis() as u64,
                starts: commands.starts,
                stops: commands.stops,
                forget: commands.forget,
                resolve: worker.unresolved(),
                batch_speed: worker.batch_speed,
            },
        })
    }

    /// Returns the interval until the next call to a worker when no event
    /// triggers one earlier.
    pub fn sync_interval(&self, key: WorkerKey) -> Duration {
        let shard = self.placement.get(key).map(|worker| worker.shard);
        let ledger = shard.and_then(|shard| self.ledgers.get(&shard));
        ledger.map_or(MAX_SYNC_INTERVAL, |ledger| {
            ledger
                .sync_delay(key)
                .clamp(MIN_SYNC_INTERVAL, MAX_SYNC_INTERVAL)
        })
    }

    /// Handles a worker's reply, `None` if there was none in time. Ignores a
    /// reply that is not to the last call, of an epoch that has ended or from an address
    /// that the worker has left.
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
        let Some(state) = self.sync_states.get_mut(key) else {
            return;
        };
        let is_last = state.epoch == request.epoch && state.number == request.number;
        let worker = self.placement.get(key);
        let moved = worker.is_none_or(|worker| worker.address != state.address);
        if !is_last
            || moved
            || self.ownership.acting_epoch(request.shard, now) != Some(request.epoch)
        {
            return;
        }
        state.ticket = Some(report.ticket);
        state.boot = Some(report.boot);
        let me = self.ownership.me();
        let resolved = self.placement.on_report(key, &report, me, now);
        for each in resolved {
            self.effects
                .push_back(Effect::Resolved(each.id, each.state));
        }
        if let Some(ledger) = self.ledgers.get_mut(&request.shard) {
            ledger.on_report(key, request.number, &report, &mut self.placement, now);
        }
        self.wake(now);
        self.flush(now);
    }
}
