//! Follows the owners of all shards, and claims those that have none.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::Node;
use super::lines::DaemonLine;
use super::term::{Claim, reign};
use crate::journal;
use crate::moment::Moment;
use crate::platform::fleet::{
    Change, Commit, Item, REGISTRY_PREFIX, StoreFault, Transaction, Watched,
};
use crate::shards::{
    Candidate, ClaimDecision, Incarnation, Incarnations, LAYOUT_KEY, Layout, OwnerLease,
    OwnerRecord, OwnershipViews, SHARD_PREFIX, ShardKey, claimed_key, decode, encode, epoch_key,
    incarnation_key, owner_lease_key, read_shard_key,
};

/// How long a watch waits for a change.
const WAIT: Duration = Duration::from_secs(20);
/// The workers have registered when two readings this far apart are alike.
const REGISTRATION: Duration = Duration::from_millis(400);
/// How long the owner of a shard has to return after an outage of the store.
const RETURN: Duration = Duration::from_millis(700);
/// Between calls while the store does not answer.
const PAUSE: Duration = Duration::from_millis(200);

/// What this host knows of the shards' owners.
struct Follower {
    node: Arc<Node>,
    views: OwnershipViews,
    /// The revision that the views are as of; none if they must be read anew.
    revision: Option<u64>,
    owned: Vec<String>,
    /// When the store was regained and its owner may return first.
    patience: Moment,
    lives: watch::Sender<Incarnations>,
    terms: JoinSet<()>,
    ended: mpsc::UnboundedSender<String>,
}

/// Follows the shards until a planned stop has handed this host's over.
pub(super) async fn follow(node: Arc<Node>) {
    let (ended, mut endings) = mpsc::unbounded_channel();
    let mut follower = Follower {
        views: OwnershipViews::default(),
        node: node.clone(),
        revision: None,
        owned: Vec::new(),
        patience: Moment::default(),
        lives: watch::Sender::new(Incarnations::new()),
        terms: JoinSet::new(),
        ended,
    };
    tokio::spawn(announce(node.clone()));
    tokio::spawn(lay_out(node.clone()));
    loop {
        let wait = follower.claim_due().await;
        tokio::select! {
            () = node.stopped() => break,
            Some(shard) = endings.recv() => follower.release(&shard),
            () = sleep(wait) => {}
            () = node.health.wait_regained() => follower.start_over(),
            changed = next_news(&node, follower.revision) => follower.take(changed).await,
        }
    }
    while follower.terms.join_next().await.is_some() {}
}

/// Tells the other hosts that earlier lives of this process have ended.
async fn announce(node: Arc<Node>) {
    let record = encode(&node.owner_record(false));
    let transaction = Transaction::default().set(&incarnation_key(&node.settings.name), record);
    while node.call(node.store.commit(&transaction)).await.is_err() {
        sleep(PAUSE).await;
    }
}

/// Divides the workers into shards once the first of them have registered.
async fn lay_out(node: Arc<Node>) {
    let mut seen = 0;
    while node.layout().is_none() {
        sleep(REGISTRATION).await;
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
        // Whoever was first, the watch tells it to all.
        let _ = node.call(node.store.commit(&transaction)).await;
    }
}

/// The next changes; all views if the history is gone.
enum News {
    All(Vec<Item>, u64),
    Changes(Vec<Change>, u64),
    Forgotten,
}

async fn next_news(node: &Node, revision: Option<u64>) -> Result<News, StoreFault> {
    let Some(after) = revision else {
        let page = node.call(node.store.range(SHARD_PREFIX, false)).await?;
        return Ok(News::All(page.items, page.revision));
    };
    Ok(match node.watch(SHARD_PREFIX, after, WAIT).await? {
        Watched::Forgotten => News::Forgotten,
        Watched::Changes(changes, revision) => News::Changes(changes, revision),
    })
}

impl Follower {
    /// Reads everything anew after an outage, in which leases may have ended
    /// although their owners live.
    fn start_over(&mut self) {
        self.revision = None;
        self.patience = Moment::now() + RETURN;
    }

    /// Claims what is due. Returns how long nothing else is.
    async fn claim_due(&mut self) -> Duration {
        if self.revision.is_none() {
            return WAIT;
        }
        let mut wait = WAIT;
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
                ClaimDecision::Claim { epoch, .. } if epoch > 0 && now < self.patience => {
                    wait = wait.min(now.until(self.patience));
                }
                ClaimDecision::Claim { owner_lease, epoch } => {
                    self.claim(&shard, owner_lease, epoch).await
                }
            }
        }
        wait
    }

    fn candidate(&self) -> Candidate {
        self.node.candidate(self.owned.len() as u32)
    }

    async fn claim(&mut self, shard: &str, hint: u64, epoch: u64) {
        let begun = Moment::now();
        let Ok(lease) = self.node.store.grant(self.node.settings.session_ttl).await else {
            return sleep(PAUSE).await;
        };
        let owner = encode(&self.node.owner_record(false));
        let transaction = Transaction::default()
            .require(&owner_lease_key(shard), hint)
            .require(&epoch_key(shard), epoch)
            .set_leased(&owner_lease_key(shard), owner.clone(), lease)
            .set(&claimed_key(shard), owner.clone())
            .set(&epoch_key(shard), owner);
        match self.node.call(self.node.store.commit(&transaction)).await {
            Ok(Commit::Done(fence)) => {
                journal::line(&DaemonLine::ShardClaimed {
                    shard,
                    fence,
                    former: epoch,
                });
                let claim = Claim {
                    shard: shard.to_owned(),
                    fence,
                    former: self.views.get(shard).owner,
                    lease,
                    begun,
                };
                self.begin(claim);
            }
            // Read anew who has it now; an unanswered claim may be ours.
            Ok(_) | Err(_) => {
                self.revision = None;
                sleep(PAUSE).await;
            }
        }
    }

    fn begin(&mut self, claim: Claim) {
        let shard = claim.shard.clone();
        self.owned.push(shard.clone());
        self.count_owned();
        let node = self.node.clone();
        let ended = self.ended.clone();
        let lives = self.lives.subscribe();
        self.terms.spawn(async move {
            reign(node, claim, lives).await;
            // The receiver is gone only when the daemon stops.
            let _ = ended.send(shard);
        });
    }

    fn release(&mut self, shard: &str) {
        self.owned.retain(|owned| owned != shard);
        self.count_owned();
        self.revision = None;
    }

    fn count_owned(&self) {
        let count = self.owned.len() as u32;
        self.node.owned.store(count, Ordering::Relaxed);
    }

    async fn take(&mut self, news: Result<News, StoreFault>) {
        match news {
            Ok(News::All(items, revision)) => {
                self.read_all(&items);
                self.revision = Some(revision);
            }
            Ok(News::Changes(changes, revision)) => {
                changes.iter().for_each(|change| self.apply(change));
                self.revision = Some(revision);
            }
            Ok(News::Forgotten) => self.revision = None,
            Err(_) => sleep(PAUSE).await,
        }
    }

    fn read_all(&mut self, items: &[Item]) {
        self.views.forget_owner_leases(Moment::now());
        for item in items {
            self.apply(&Change::Written(item.clone()));
        }
    }

    fn apply(&mut self, change: &Change) {
        let now = Moment::now();
        let known = read_shard_key(change.key());
        if known == Some(ShardKey::Layout) {
            return self.take_layout(change);
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
        match (known, record) {
            (Some(ShardKey::Incarnation(host)), Some((owner, _))) => {
                let life = Incarnation {
                    id: owner.incarnation,
                    resigned: owner.resigned,
                };
                self.node.note_power(owner.millicores);
                self.lives.send_modify(|lives| {
                    lives.insert(host.to_owned(), life);
                });
            }
            (Some(ShardKey::Epoch(shard)), Some((owner, revision))) => {
                self.views.on_epoch(shard, owner, revision, now);
            }
            (Some(ShardKey::OwnerLease(shard)), record) => {
                let hint = record.map(|(owner, revision)| OwnerLease {
                    host: owner.host,
                    incarnation: owner.incarnation,
                    revision,
                    millicores: owner.millicores,
                });
                self.views.on_owner_lease(shard, hint, now);
            }
            _ => {}
        }
    }

    fn take_layout(&mut self, change: &Change) {
        let Change::Written(item) = change else {
            return;
        };
        match decode::<Layout>(&item.value.0) {
            Ok(layout) => {
                self.node.divide(layout);
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
