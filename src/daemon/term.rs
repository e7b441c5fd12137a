//! One ownership of a shard.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::{Notify, mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::Node;
use super::lines::{DaemonLine, ShardLine};
use super::{restore, worker};
use crate::fleet::WorkerKey;
use crate::journal;
use crate::latency::Span;
use crate::moment::Moment;
use crate::platform::fleet::{Commit, StoreFault, Transaction};
use crate::schedule::{Event, Order, Scheduler, Term};
use crate::shards::{
    FormerOwner, Incarnations, OWNER_TIMEOUT, Owner, OwnerRecord, encode, epoch_key,
    incarnation_key, owner_lease_key, recovery_deadline,
};

/// The longest time between two passes over the waiting tasks.
const TICK: Duration = Duration::from_millis(250);
/// The shortest time between two passes.
const GATHER: Duration = Duration::from_millis(4);
/// How many times the hint is renewed in its life.
const RENEWALS: u32 = 4;
/// A renewal without an answer for this long is made anew.
const RENEWAL: Duration = Duration::from_millis(700);
/// Between calls while the store does not answer.
const PAUSE: Duration = Duration::from_millis(150);

/// A claim that the store has taken.
#[derive(Debug, Clone)]
pub(super) struct Claim {
    pub shard: String,
    /// The fencing token: the revision of the claim.
    pub fence: u64,
    /// The owner before; none if there was none.
    pub former: Option<Owner>,
    /// The lease of the hint.
    pub lease: u64,
    /// When the claim was sent.
    pub begun: Moment,
}

/// One ownership of a shard, as its tasks share it.
#[derive(Debug)]
pub(super) struct Reign {
    pub node: Arc<Node>,
    pub claim: Claim,
    pub write: Notify,
    scheduler: Mutex<Scheduler>,
    plan: Notify,
    lease: AtomicU64,
    confirmed: AtomicU64,
    lost: watch::Sender<Option<&'static str>>,
    orders: Mutex<HashMap<WorkerKey, mpsc::UnboundedSender<Order>>>,
    tasks: Mutex<JoinSet<()>>,
}

/// Owns a shard until it is lost or the daemon stops.
///
/// `lives` are the newest lives of all hosts that are known.
pub(super) async fn reign(node: Arc<Node>, claim: Claim, lives: watch::Receiver<Incarnations>) {
    let settling = claim
        .former
        .as_ref()
        .map(|_| recovery_deadline(FormerOwner::Unknown, Moment::now()));
    let term = Term {
        fence: claim.fence,
        recovery_deadline: settling,
    };
    let reign = Arc::new(Reign {
        write: Notify::new(),
        scheduler: Mutex::new(Scheduler::new(term)),
        plan: Notify::new(),
        lease: AtomicU64::new(claim.lease),
        confirmed: AtomicU64::new(claim.begun.as_micros()),
        lost: watch::channel(None).0,
        orders: Mutex::default(),
        tasks: Mutex::default(),
        node,
        claim,
    });
    reign.spawn(renew(reign.clone()));
    reign.spawn(restore::run(reign.clone()));
    reign.spawn(plan(reign.clone()));
    reign.spawn(watch_former(reign.clone(), lives));
    let reason = tokio::select! {
        reason = reign.wait_lost() => reason,
        () = reign.node.stopped() => "planned stop",
    };
    reign.end(reason).await;
}

impl Reign {
    /// Makes a decision and logs what came of it.
    pub fn decide<T>(&self, decision: impl FnOnce(&mut Scheduler, Moment) -> T) -> T {
        let mut scheduler = self.scheduler.lock().expect("no holder panics");
        let result = decision(&mut scheduler, Moment::now());
        let notes = scheduler.take_events();
        let urgent = scheduler.is_urgent();
        drop(scheduler);
        for note in &notes {
            if let Event::Placed { waited, .. } = note {
                let waited = Duration::from_millis(*waited);
                self.node.latencies.record(Span::Wait, waited);
            }
            journal::line(&ShardLine {
                shard: &self.claim.shard,
                fence: self.claim.fence,
                note,
            });
        }
        if urgent {
            self.write.notify_one();
        }
        result
    }

    /// Has the waiting tasks looked through soon.
    pub fn wake(&self) {
        self.plan.notify_one();
    }

    /// Runs a task until the end of this ownership.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.lock().expect("no holder panics").spawn(task);
    }

    /// Starts the two tasks of a worker.
    pub fn attend(self: &Arc<Self>, key: WorkerKey) {
        let entry = self.decide(|scheduler, _| {
            scheduler
                .workers
                .get(key)
                .map(|worker| worker.registration.clone())
        });
        let Some(entry) = entry else {
            return;
        };
        let (sender, receiver) = mpsc::unbounded_channel();
        self.orders
            .lock()
            .expect("no holder panics")
            .insert(key, sender);
        let api = self.node.worker(&entry.id, &entry.address);
        self.spawn(worker::carry_orders(
            self.clone(),
            key,
            api.clone(),
            receiver,
        ));
        self.spawn(worker::keep_looking(self.clone(), key, api));
    }

    /// Forgets the way to a worker that is gone.
    pub fn dismiss(&self, key: WorkerKey) {
        self.orders.lock().expect("no holder panics").remove(&key);
    }

    /// Ends this ownership.
    pub fn lose(&self, reason: &'static str) {
        self.lost.send_if_modified(|lost| {
            let first = lost.is_none();
            lost.get_or_insert(reason);
            first
        });
    }

    /// Notes that the store confirmed this ownership to a call sent then.
    pub fn confirm(&self, sent: Moment) {
        self.confirmed
            .fetch_max(sent.as_micros(), Ordering::Relaxed);
    }

    /// Waits until this host may command the workers.
    pub async fn wait_confirmed(&self) {
        while !self.is_confirmed() {
            sleep(PAUSE).await;
        }
    }

    /// When the last call that confirmed this ownership was sent.
    pub fn confirmed(&self) -> Moment {
        Moment::from_micros(self.confirmed.load(Ordering::Relaxed))
    }

    /// Whether this host may still command the workers.
    pub fn is_confirmed(&self) -> bool {
        Moment::now() - self.confirmed() < OWNER_TIMEOUT
    }

    async fn wait_lost(&self) -> &'static str {
        let mut lost = self.lost.subscribe();
        let reason = lost.wait_for(Option::is_some).await;
        reason.ok().and_then(|reason| *reason).unwrap_or("ended")
    }

    async fn end(&self, reason: &str) {
        self.tasks.lock().expect("no holder panics").abort_all();
        journal::line(&DaemonLine::ShardLost {
            shard: &self.claim.shard,
            fence: self.claim.fence,
            reason,
        });
        let (shard, fence) = (&self.claim.shard, self.claim.fence);
        let record = encode(&self.node.owner_record(true));
        let transaction = Transaction::default()
            .require(&epoch_key(shard), fence)
            .set(&epoch_key(shard), record)
            .remove(&owner_lease_key(shard));
        match self.node.store.commit(&transaction).await {
            Ok(Commit::Done(_)) => {}
            // Another host has claimed it; tell it that this one has stopped.
            Ok(Commit::Conflict(_)) => self.resign().await,
            Ok(Commit::LeaseGone) => {}
            Err(fault) => log::warn!("shard {shard:?} was not given up in the store: {fault}"),
        }
    }

    async fn resign(&self) {
        let record = OwnerRecord {
            resigned: self.claim.fence,
            ..self.node.owner_record(false)
        };
        let key = incarnation_key(&self.node.settings.name);
        let transaction = Transaction::default().set(&key, encode(&record));
        if let Err(fault) = self.node.store.commit(&transaction).await {
            log::warn!("the end of an ownership was not announced: {fault}");
        }
    }
}

/// Places waiting tasks whenever something has changed.
async fn plan(reign: Arc<Reign>) {
    loop {
        // A pass after the tick finds leases that have ended.
        let _ = timeout(TICK, reign.plan.notified()).await;
        reign.wait_confirmed().await;
        if let Some(queues) = reign.node.queues() {
            reign.decide(|scheduler, _| scheduler.configure(&queues));
        }
        let confirmed = reign.confirmed();
        let orders = reign.decide(|scheduler, now| scheduler.plan(confirmed, now));
        let senders = reign.orders.lock().expect("no holder panics").clone();
        for (worker, order) in orders {
            if let Some(sender) = senders.get(&worker) {
                // A worker without its task is gone.
                let _ = sender.send(order);
            }
        }
        sleep(GATHER).await;
    }
}

/// Shortens the wait for runs of the former owner once it is known to have ended.
async fn watch_former(reign: Arc<Reign>, mut lives: watch::Receiver<Incarnations>) {
    let Some(owner) = reign.claim.former.clone() else {
        return;
    };
    let candidate = reign.node.candidate(0);
    loop {
        let life = lives.borrow_and_update().get(&owner.host).copied();
        if candidate.former_owner(&owner, life) == FormerOwner::Ended {
            let settles = recovery_deadline(FormerOwner::Ended, Moment::now());
            return reign.decide(|scheduler, _| scheduler.shorten_recovery(settles));
        }
        if lives.changed().await.is_err() {
            return;
        }
    }
}

/// Keeps the hint alive.
async fn renew(reign: Arc<Reign>) {
    let pause = reign.node.settings.session_ttl / RENEWALS;
    loop {
        tokio::select! {
            () = sleep(pause) => {}
            () = reign.node.health.wait_regained() => {}
        }
        let sent = Moment::now();
        let lease = reign.lease.load(Ordering::Relaxed);
        let renewal = timeout(RENEWAL, reign.node.store.renew(lease));
        let renewal = async { renewal.await.unwrap_or_else(|_| Err(silent())) };
        match reign.node.call(renewal).await {
            Ok(true) => reign.confirm(sent),
            Ok(false) => put_back(&reign).await,
            Err(_) => sleep(PAUSE).await,
        }
    }
}

fn silent() -> StoreFault {
    StoreFault::Unanswered("a renewal took too long".to_owned())
}

/// Writes the hint again, if nobody has claimed the shard meanwhile.
async fn put_back(reign: &Reign) {
    let sent = Moment::now();
    let (node, claim) = (&reign.node, &reign.claim);
    let Ok(lease) = node.store.grant(node.settings.session_ttl).await else {
        return;
    };
    let owner = node.owner_record(false);
    let transaction = Transaction::default()
        .require(&epoch_key(&claim.shard), claim.fence)
        .set_leased(&owner_lease_key(&claim.shard), encode(&owner), lease);
    match node.call(node.store.commit(&transaction)).await {
        Ok(Commit::Done(_)) => {
            reign.lease.store(lease, Ordering::Relaxed);
            reign.confirm(sent);
        }
        Ok(Commit::Conflict(_)) => reign.lose("another host claimed it"),
        Ok(Commit::LeaseGone) | Err(_) => {}
    }
}
