//! The ownership of a shard by this host, from the claim to its end.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;

use super::Node;
use super::incarnation::write_incarnation;
use super::lines::DaemonLine;
use super::owned::{Claim, OwnedShard, TASK_PANICKED};
use super::{heartbeat, restore};
use crate::journal;
use crate::moment::Moment;
use crate::platform::fleet::{Commit, Transaction};
use crate::shards::{
    Incarnations, OwnerRecord, encode, epoch_key, owner_lease_key, recovered_key, roster_key,
};

/// The longest interval between two passes over the waiting tasks.
const MAX_PLAN_INTERVAL: Duration = Duration::from_millis(250);
/// The delay after a pass, so that changes that arrive together share the next
/// one.
const BATCH_DELAY: Duration = Duration::from_millis(4);
/// The delay after a pass is at least this many times what the pass took, so that reports
/// and orders get most of the processor while many tasks wait.
const PASS_REST: u32 = 3;
/// The limit on that delay: a pass during which the process was paused took long as well.
const MAX_PASS_DELAY: Duration = Duration::from_millis(60);
/// The delay after such an end before this host may claim the shard again, so that
/// other hosts claim it first.
const RECLAIM_DELAY: Duration = Duration::from_secs(2);

/// Runs the tasks of an owned shard until the ownership is lost or the daemon
/// stops.
///
/// `incarnations` holds the newest incarnation of each known host.
pub(super) async fn own_shard(
    node: Arc<Node>,
    claim: Claim,
    incarnations: watch::Receiver<Incarnations>,
) {
    let owned = Arc::new(OwnedShard::new(node, claim));
    owned.spawn(heartbeat::renew(owned.clone()));
    owned.spawn(heartbeat::beat(owned.clone()));
    owned.spawn(restore::run(owned.clone(), incarnations));
    owned.spawn(plan(owned.clone()));
    let reason = tokio::select! {
        reason = owned.wait_lost() => reason,
        () = owned.node.wait_stopping() => "planned stop",
    };
    end(&owned, reason).await;
    if reason == TASK_PANICKED {
        sleep(RECLAIM_DELAY).await;
    }
}

/// Ends an ownership: releases the shard, or tells a newer owner that this one has ended.
pub(super) async fn end(owned: &OwnedShard, reason: &str) {
    owned.abort_tasks();
    journal::line(&DaemonLine::ShardLost {
        shard: &owned.claim.shard,
        fence: owned.claim.fence,
        reason,
    });
    let resignation = owned.give_up_token();
    let (shard, fence) = (&owned.claim.shard, owned.claim.fence);
    let record = encode(&owned.node.owner_record(true));
    let mut transaction = Transaction::default()
        .require(&epoch_key(shard), fence)
        .set(&epoch_key(shard), record)
        .remove(&owner_lease_key(shard));
    if let Some(roster) = owned.release_workers() {
        transaction = transaction.set(&roster_key(shard), encode(&roster));
    }
    if owned.has_recovered() {
        transaction = transaction.set(&recovered_key(shard), Vec::new());
    }
    match owned.node.store.commit(&transaction).await {
        Ok(Commit::Done(_)) => {}
        // Another host has claimed the shard. Tell it that this host gives no
        // more orders, which shortens its recovery.
        Ok(Commit::Conflict(_)) => {
            if let Some(record) = resignation {
                resign(owned, &record).await;
            }
        }
        Ok(Commit::LeaseGone) => {}
        Err(fault) => log::warn!("shard {shard:?} was not released in the store: {fault}"),
    }
    owned.node.set_headroom(shard, Vec::new());
}

async fn resign(owned: &OwnedShard, record: &OwnerRecord) {
    if let Err(fault) = write_incarnation(&owned.node, record).await {
        log::warn!("the end of the ownership was not written to the store: {fault}");
    }
}

/// Places waiting tasks after each change, and at least once per interval.
async fn plan(owned: Arc<OwnedShard>) {
    loop {
        // A pass after the timeout finds leases that have expired.
        owned.wait_plan(MAX_PLAN_INTERVAL).await;
        owned.wait_confirmed().await;
        if let Some(queues) = owned.node.queues() {
            owned.decide(|scheduler, _| scheduler.configure(&queues));
        }
        let confirmed = owned.confirmed();
        let begun = Moment::now();
        let (orders, headroom) = owned.decide(|scheduler, now| {
            let orders = scheduler.plan(confirmed, now);
            (orders, scheduler.headroom_readings())
        });
        owned.send_orders(orders);
        owned.node.set_headroom(&owned.claim.shard, headroom);
        sleep(pass_delay(Moment::now() - begun)).await;
    }
}

/// Returns the delay between a pass that took this long and the next one.
pub(super) fn pass_delay(took: Duration) -> Duration {
    took.saturating_mul(PASS_REST)
        .clamp(BATCH_DELAY, MAX_PASS_DELAY)
}
