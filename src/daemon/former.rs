//! Watches for the end of the former owner of a shard.

use std::sync::Arc;

use tokio::sync::watch;

use super::owned::OwnedShard;
use crate::moment::Moment;
use crate::shards::{FormerOwner, Incarnations, recovery_deadline};

/// Shortens the recovery of the shard once the former owner is known to have ended.
/// `recovered` is the revision of the mark that no earlier owner gives orders any more.
pub(super) async fn watch_former_owner(
    owned: Arc<OwnedShard>,
    mut incarnations: watch::Receiver<Incarnations>,
    recovered: u64,
) {
    let Some(owner) = owned.claim.former.clone() else {
        return;
    };
    let candidate = owned.node.candidate(0);
    loop {
        let incarnation = incarnations.borrow_and_update().get(&owner.host).copied();
        let former = candidate.former_owner(&owner, incarnation, recovered);
        if former != FormerOwner::Unknown {
            let deadline = recovery_deadline(former, owned.claim.heard, Moment::now());
            let all_ended = former == FormerOwner::Ended;
            return owned.decide(|scheduler, now| {
                scheduler.shorten_recovery(deadline, now);
                if all_ended {
                    scheduler.on_former_ended();
                }
            });
        }
        if incarnations.changed().await.is_err() {
            return;
        }
    }
}
