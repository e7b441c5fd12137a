//! Writes the changes of the ledgers to the logs of their shards, and applies what ownership decides.

use super::{Core, Effect, LogResult, PendingChange};
use crate::ids::ShardId;
use crate::jobs::{Change, Ledger};
use crate::moment::Moment;
use crate::ownership::{Action, CallId, GainedShard};
use crate::platform::StoreReply;

impl Core {
    /// Appends the pending changes of the ledgers to the logs of their shards.
    pub(super) fn flush(&mut self, now: Moment) {
        for (shard, ledger) in &mut self.ledgers {
            self.retries.extend(ledger.take_retries());
            let changes = ledger.take_changes();
            if !changes.is_empty() {
                self.ownership.append(*shard, changes);
            }
        }
        self.ownership.tick(now);
        self.run_actions(now);
    }

    pub(super) fn run_actions(&mut self, now: Moment) {
        while let Some(action) = self.ownership.next_action() {
            match action {
                Action::Store { call, op } => self.effects.push_back(Effect::Store { call, op }),
                Action::Send { to, message } => {
                    self.effects.push_back(Effect::Send { to, message });
                }
                Action::Gained(gained) => self.on_gained(gained, now),
                Action::Committed { shard, changes } => self.on_committed(shard, &changes),
                Action::Lost {
                    shard,
                    unconfirmed,
                    dropped,
                } => self.on_lost(shard, &unconfirmed, &dropped),
                Action::TakeSnapshot { shard } => {
                    let ledger = self.ledgers.get(&shard);
                    let changes = ledger.map(Ledger::snapshot).unwrap_or_default();
                    self.ownership.snapshot(shard, changes);
                }
            }
        }
    }

    fn on_gained(&mut self, gained: GainedShard, now: Moment) {
        let shard = gained.shard;
        self.placement.reset_shard(shard);
        let settings = self.settings.ledger.clone();
        let ledger = Ledger::replay(shard, gained.epoch, &gained.changes, settings, now);
        for worker in ledger.roster() {
            match self.placement.find(&worker.name) {
                // Its tasks run where the former owner called it.
                Some(key) => {
                    if let Some(known) = self.placement.get_mut(key) {
                        known.move_to(&worker.address);
                    }
                }
                None => {
                    self.placement.add(&worker.name, &worker.address, shard);
                }
            }
        }
        self.ledgers.insert(shard, ledger);
        for key in self.placement.of_shard(shard) {
            self.effects.push_back(Effect::Sync(*key));
        }
        self.effects.push_back(Effect::Claimed {
            shard,
            takeover: gained.takeover,
        });
    }

    fn on_committed(&mut self, shard: ShardId, changes: &[Change]) {
        if let Some(ledger) = self.ledgers.get_mut(&shard) {
            ledger.commit(changes);
        }
        self.report_log_result(shard, changes, LogResult::Logged);
    }

    fn on_lost(&mut self, shard: ShardId, unconfirmed: &[Change], dropped: &[Change]) {
        self.report_log_result(shard, unconfirmed, LogResult::Unknown);
        self.report_log_result(shard, dropped, LogResult::NotLogged);
        if let Some(mut ledger) = self.ledgers.remove(&shard) {
            let unsent = ledger.take_changes();
            self.report_log_result(shard, &unsent, LogResult::NotLogged);
        }
        self.placement.reset_shard(shard);
    }

    /// Notifies the tasks that wait for these changes.
    fn report_log_result(&mut self, shard: ShardId, changes: &[Change], result: LogResult) {
        for change in changes {
            let pending = match change {
                Change::Accepted(record) => PendingChange::Job(record.id),
                Change::Redirected { job, .. } => PendingChange::Job(*job),
                Change::Cancelled { job } => PendingChange::Cancel(*job),
                Change::KeyIntent { key, .. } => PendingChange::Key(shard, *key),
                _ => continue,
            };
            self.effects.push_back(Effect::Logged(pending, result));
        }
    }

    /// Handles a reply of the store, `None` if it was lost.
    pub fn on_store(&mut self, call: CallId, reply: Option<StoreReply>, now: Moment) {
        self.ownership.on_reply(call, reply, now);
        self.run_actions(now);
        self.ownership.tick(now);
        self.run_actions(now);
    }
}
