//! Shows the store and the other hosts that a shard's owner is alive.
//!
//! The owner lease ends when it is not renewed, so that another host claims the shard. A heartbeat
//! bounds what the owner may do without the store: every host knows when it saw the last one,
//! and so by when the leases of an owner that is gone have ended.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::{Interval, MissedTickBehavior, interval};

use super::owned::OwnedShard;
use crate::moment::Moment;
use crate::platform::fleet::{Commit, StoreFault, Transaction};
use crate::shards::{encode, epoch_key, heartbeat_key, owner_lease_key};

/// The number of renewals of the owner lease within its time to live.
const RENEWALS_PER_TTL: u32 = 4;
/// The interval at which heartbeats are sent.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// The time after which a renewal or a heartbeat counts as unanswered.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Renews the owner lease periodically. A renewal does not wait for the answer to the one
/// before: a store that answers only some calls would let the lease expire.
pub(super) async fn renew(owned: Arc<OwnedShard>) {
    let mut due = ticks(owned.node.settings.session_ttl / RENEWALS_PER_TTL);
    let mut renewals = FuturesUnordered::new();
    loop {
        tokio::select! {
            _ = due.tick() => renewals.push(renew_once(&owned)),
            () = owned.node.health.wait_regained() => renewals.push(renew_once(&owned)),
            Some(renewed) = renewals.next() => {
                // `Node::call` has recorded a fault; the next renewal is under way.
                if renewed == Ok(false) {
                    recreate_owner_lease(&owned).await;
                    renewals.clear();
                }
            }
        }
    }
}

/// Renews the owner lease once. Returns false if it has expired.
async fn renew_once(owned: &OwnedShard) -> Result<bool, StoreFault> {
    let sent = Moment::now();
    let lease = owned.lease.load(Ordering::Relaxed);
    let renewal = owned.node.store.renew(lease, CALL_TIMEOUT);
    let renewed = owned.node.call(renewal).await?;
    if renewed {
        owned.confirm(sent);
    }
    Ok(renewed)
}

/// Sends heartbeats periodically. Like a renewal, a heartbeat does not wait for the answer to
/// the one before.
pub(super) async fn beat(owned: Arc<OwnedShard>) {
    let mut due = ticks(HEARTBEAT_INTERVAL);
    let mut heartbeats = FuturesUnordered::new();
    loop {
        tokio::select! {
            _ = due.tick() => heartbeats.push(beat_once(&owned)),
            () = owned.node.health.wait_regained() => heartbeats.push(beat_once(&owned)),
            Some(()) = heartbeats.next() => {}
        }
    }
}

/// Sends one heartbeat.
async fn beat_once(owned: &OwnedShard) {
    let sent = Moment::now();
    let transaction = heartbeat_transaction(owned);
    let commit = owned.node.store.commit_within(&transaction, CALL_TIMEOUT);
    match owned.node.call(commit).await {
        Ok(Commit::Done(revision)) => owned.on_heartbeat(sent, revision),
        Ok(Commit::Conflict(_)) => owned.mark_lost("another host claimed the shard"),
        // `Node::call` has recorded a fault; the next heartbeat is under way.
        Ok(Commit::LeaseGone) | Err(_) => {}
    }
}

/// Builds a heartbeat: a write that requires this ownership, and that all hosts see.
pub(super) fn heartbeat_transaction(owned: &OwnedShard) -> Transaction {
    let shard = &owned.claim.shard;
    Transaction::default()
        .require(&epoch_key(shard), owned.claim.fence)
        .set(&heartbeat_key(shard), encode(&owned.heartbeat_record()))
}

fn ticks(period: Duration) -> Interval {
    let mut due = interval(period);
    due.set_missed_tick_behavior(MissedTickBehavior::Delay);
    due
}

/// Writes an expired owner lease again, unless another host has claimed the shard
/// in the meantime. An earlier attempt without an answer may take effect late, so each requires
/// the revision of the key that it replaces.
async fn recreate_owner_lease(owned: &OwnedShard) {
    let (node, claim) = (&owned.node, &owned.claim);
    let (epoch, key) = (epoch_key(&claim.shard), owner_lease_key(&claim.shard));
    let owner = encode(&owned.record());
    let mut revision = 0;
    loop {
        let sent = Moment::now();
        let Ok(lease) = node.store.grant(node.settings.session_ttl).await else {
            return;
        };
        let transaction = Transaction::default()
            .require(&epoch, claim.fence)
            .require(&key, revision)
            .set_leased(&key, owner.clone(), lease)
            .set(&heartbeat_key(&claim.shard), owner.clone());
        match node.call(node.store.commit(&transaction)).await {
            Ok(Commit::Done(revision)) => {
                owned.lease.store(lease, Ordering::Relaxed);
                return owned.on_heartbeat(sent, revision);
            }
            Ok(Commit::Conflict(items)) => {
                let found = |key: &str| items.iter().find(|item| item.key == key);
                if found(&epoch).is_none_or(|item| item.revision != claim.fence) {
                    return owned.mark_lost("another host claimed the shard");
                }
                revision = found(&key).map_or(0, |item| item.revision);
            }
            Ok(Commit::LeaseGone) | Err(_) => return,
        }
    }
}
