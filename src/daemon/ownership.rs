//! Watches the owners of all shards and claims shards without one.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::Node;
use super::incarnation::announce_incarnation;
use super::lines::DaemonLine;
use super::owned::{Claim, former_age};
use super::term::own_shard;
use crate::journal;
use crate::moment::Moment;
use crate::platform::fleet::{
    Change, Commit, Item, REGISTRY_PREFIX, StoreFault, Transaction, Watched,
};
use crate::shards::{
    Candidate, ClaimDecision, Incarnation, Incarnations, LAYOUT_KEY, Layout, OwnerLease,
    OwnerRecord, OwnershipView, OwnershipViews, SHARD_PREFIX, ShardKey, claimed_key, decode,
    encode, epoch_key, heartbeat_key, owner_lease_key, read_shard_key,
};

/// The longest time between two looks at what shards to claim.
const MAX_CLAIM_WAIT: Duration = Duration::from_secs(20);
/// The interval at which registered workers are counted. Registration counts as
/// complete when two consecutive counts are equal.
const REGISTRATION_INTERVAL: Duration = Duration::from_millis(400);
/// The delay of takeovers after an outage of the store, in which the owner of a
/// shard can recreate its owner lease.
const TAKEOVER_DELAY: Duration = Duration::from_millis(700);
/// The delay before a failed call to the store is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The state of the task that watches the shards' owners.
struct Follower {
    node: Arc<Node>,
    views: OwnershipViews,
    /// The revision of the store that the views show; absent if they must be read
    /// again.
    revision: Option<u64>,
    /// The shards that this host owns.
    owned: Vec<String>,
    /// No shard is taken over before this moment, so that its owner can recreate
    /// its owner lease after an outage of the store.
    earliest_takeover: Moment,
    /// The newest incarnation of each known host.
    incarnations: watch::Sender<Incarnations>,
    /// The running ownerships, one task for each owned shard.
    ownerships: JoinSet<()>,
    /// Sends the name of each shard whose ownership has ended back to this task.
    ended: mpsc::UnboundedSender<String>,
}

/// Watches and claims shards until a planned stop has released those of this
/// host.
pub(super) async fn follow(node: Arc<Node>) {
    let (ended, mut ended_shards) = mpsc::unbounded_channel();
    let mut follower = Follower {
        views: OwnershipViews::default(),
        node: node.clone(),
        revision: None,
        owned: Vec::new(),
        earliest_takeover: Moment::default(),
        incarnations: watch::Sender::new(Incarnations::new()),
        ownerships: JoinSet::new(),
        ended,
    };
    tokio::spawn(announce_incarnation(node.clone()));
    tokio::spawn(create_layout(node.clone()));
    loop {
        let wait = follower.claim_due().await;
        tokio::select! {
            () = node.wait_stopping() => break,
            Some(shard) = ended_shards.recv() => follower.on_ownership_ended(&shard),
            () = sleep(wait) => {}
            () = node.health.wait_regained() => follower.reread(),
            update = next_update(&node, follower.revision) => follower.apply_update(update).await,
        }
    }
    while follower.ownerships.join_next().await.is_some() {}
}

/// Divides the workers into shards once the first workers have registered.
async fn create_layout(node: Arc<Node>) {
    let mut seen = 0;
    while node.layout().is_none() {
        sleep(REGISTRATION_INTERVAL).await;
        let Ok(page) = node.call(node.store.range(REGISTRY_PREFIX, true)).await else {
            continue;
        };
        let workers = page.items.len();
        if workers == 0 || workers != std::mem::replace(&mut seen, workers) {
            continue;
        }
        let layout = Layout::of(workers, node.settings.zones.len(), node.strongest());
        let transaction = Transaction::default()
            .require(LAYOUT_KEY, 0)
            .set(LAYOUT_KEY, encode(&layout));
        // Only the first host's layout is written; all hosts get it by the watch.
        let _ = node.call(node.store.commit(&transaction)).await;
    }
}

/// Builds the claim of a shard by the host in `record`. It requires that nothing has happened that
/// the view does not show, above all no later heartbeat of the former owner.
pub(super) fn claim_transaction(
    shard: &str,
    view: &OwnershipView,
    owner_lease: u64,
    record: &OwnerRecord,
    lease: u64,
) -> Transaction {
    let owner = encode(record);
    Transaction::default()
        .require(&owner_lease_key(shard), owner_lease)
        .require(&epoch_key(shard), view.epoch)
        .require(&heartbeat_key(shard), view.heartbeat)
        .set_leased(&owner_lease_key(shard), owner.clone(), lease)
        .set(&heartbeat_key(shard), owner.clone())
        .set(&claimed_key(shard), owner.clone())
        .set(&epoch_key(shard), owner)
}

/// An update of the shards' keys.
enum Update {
    /// All keys, and the revision to watch from.
    Snapshot(Vec<Item>, u64),
    /// The changed keys, and the revision to watch from.
    Changes(Vec<Change>, u64),
    /// The store no longer has the history; a new snapshot is needed.
    Compacted,
}

async fn next_update(node: &Node, revision: Option<u64>) -> Result<Update, StoreFault> {
    let Some(after) = revision else {
        let page = node.call(node.store.range(SHARD_PREFIX, false)).await?;
        return Ok(Update::Snapshot(page.items, page.revision));
    };
    Ok(match node.watch(SHARD_PREFIX, after).await? {
        Watched::Compacted => Update::Compacted,
        Watched::Changes(changes, revision) => Update::Changes(changes, revision),
    })
}

impl Follower {
    /// Requests a new snapshot after an outage, during which leases may have
    /// expired although their owners are alive.
    fn reread(&mut self) {
        self.revision = None;
        self.earliest_takeover = Moment::now() + TAKEOVER_DELAY;
    }

    /// Claims the shards whose claim is due. Returns the time until the next claim
    /// may be due.
    async fn claim_due(&mut self) -> Duration {
        if self.revision.is_none() {
            return MAX_CLAIM_WAIT;
        }
        let mut wait = MAX_CLAIM_WAIT;
        let shards: Vec<String> = self
            .views
            .iter()
            .map(|(shard, _)| shard.to_owned())
            .collect();
        for shard in shards {
            if self.owned.contains(&shard) {
                continue;
            }
            let now = Moment::now();
            match self
                .candidate()
                .decide(&shard, &self.views.get(&shard), now)
            {
                ClaimDecision::Follow => {}
                ClaimDecision::ClaimAt(at) => wait = wait.min(now.until(at)),
                ClaimDecision::Claim { epoch, .. } if epoch > 0 && now < self.earliest_takeover => {
                    wait = wait.min(now.until(self.earliest_takeover));
                }
                ClaimDecision::Claim { owner_lease, .. } => self.claim(&shard, owner_lease).await,
            }
        }
        wait
    }

    fn candidate(&self) -> Candidate {
        self.node.candidate(self.owned.len() as u32)
    }

    async fn claim(&mut self, shard: &str, owner_lease: u64) {
        let begun = Moment::now();
        let Ok(lease) = self.node.store.grant(self.node.settings.session_ttl).await else {
            return sleep(RETRY_DELAY).await;
        };
        let view = self.views.get(shard);
        let record = OwnerRecord {
            former_age: former_age(view.owner.as_ref(), view.heard, begun),
            ..self.node.owner_record(false)
        };
        let transaction = claim_transaction(shard, &view, owner_lease, &record, lease);
        match self.node.call(self.node.store.commit(&transaction)).await {
            Ok(Commit::Done(fence)) => {
                journal::line(&DaemonLine::ShardClaimed {
                    shard,
                    fence,
                    former: view.epoch,
                });
                let claim = Claim {
                    shard: shard.to_owned(),
                    fence,
                    former: view.owner,
                    heard: view.heard,
                    lease,
                    begun,
                };
                self.start_ownership(claim);
            }
            // Read the owners again: an unanswered claim may have taken effect.
            Ok(_) | Err(_) => {
                self.revision = None;
                sleep(RETRY_DELAY).await;
            }
        }
    }

    fn start_ownership(&mut self, claim: Claim) {
        let shard = claim.shard.clone();
        self.owned.push(shard.clone());
        self.update_owned_count();
        let node = self.node.clone();
        let ended = self.ended.clone();
        let incarnations = self.incarnations.subscribe();
        self.ownerships.spawn(async move {
            own_shard(node, claim, incarnations).await;
            // The receiver is dropped only when the daemon stops.
            let _ = ended.send(shard);
        });
    }

    fn on_ownership_ended(&mut self, shard: &str) {
        self.owned.retain(|owned| owned != shard);
        self.update_owned_count();
        self.revision = None;
    }

    fn update_owned_count(&self) {
        let count = self.owned.len() as u32;
        self.node.owned.store(count, Ordering::Relaxed);
    }

    async fn apply_update(&mut self, update: Result<Update, StoreFault>) {
        match update {
            Ok(Update::Snapshot(items, revision)) => {
                self.apply_snapshot(&items);
                self.revision = Some(revision);
            }
            Ok(Update::Changes(changes, revision)) => {
                changes.iter().for_each(|change| self.apply_change(change));
                self.revision = Some(revision);
            }
            Ok(Update::Compacted) => self.revision = None,
            Err(_) => sleep(RETRY_DELAY).await,
        }
    }

    fn apply_snapshot(&mut self, items: &[Item]) {
        self.views.forget_owner_leases(Moment::now());
        for item in items {
            self.apply_change(&Change::Written(item.clone()));
        }
    }

    fn apply_change(&mut self, change: &Change) {
        let now = Moment::now();
        let key = read_shard_key(change.key());
        if key == Some(ShardKey::Layout) {
            return self.apply_layout(change);
        }
        let record = match change {
            Change::Written(item) => match decode::<OwnerRecord>(&item.value.0) {
                Ok(owner) => Some((owner, item.revision)),
                Err(error) => {
                    return journal::line(&DaemonLine::ValueIgnored {
                        key: &item.key,
                        reason: error.to_string(),
                    });
                }
            },
            Change::Removed { .. } => None,
        };
        match (key, record) {
            (Some(ShardKey::Incarnation(host)), Some((owner, _))) => {
                let incarnation = Incarnation {
                    id: owner.incarnation,
                    resigned: owner.resigned,
                };
                self.node.record_millicores(owner.millicores);
                self.incarnations.send_modify(|incarnations| {
                    incarnations.insert(host.to_owned(), incarnation);
                });
            }
            (Some(ShardKey::Epoch(shard)), Some((owner, revision))) => {
                self.views.on_epoch(shard, owner, revision, now);
            }
            (Some(ShardKey::Heartbeat(shard)), Some((owner, revision))) => {
                self.views.on_heartbeat(shard, &owner, revision, now);
                self.node.set_loads(shard, owner.pools);
            }
            (Some(ShardKey::OwnerLease(shard)), record) => {
                let owner_lease = record.map(|(owner, revision)| OwnerLease {
                    host: owner.host,
                    incarnation: owner.incarnation,
                    revision,
                    millicores: owner.millicores,
                });
                self.views.on_owner_lease(shard, owner_lease, now);
            }
            _ => {}
        }
    }

    fn apply_layout(&mut self, change: &Change) {
        let Change::Written(item) = change else {
            return;
        };
        match decode::<Layout>(&item.value.0) {
            Ok(layout) => {
                self.node.set_layout(layout);
                let shards = layout.shards(&self.node.settings.zones);
                self.views.add_shards(shards, Moment::now());
            }
            Err(error) => journal::line(&DaemonLine::ValueIgnored {
                key: &item.key,
                reason: error.to_string(),
            }),
        }
    }
}
