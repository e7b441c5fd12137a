//! A shard that this host owns: the state that the tasks of the ownership share.

use std::collections::HashMap;
use std::panic::AssertUnwindSafe;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::FutureExt;
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, timeout};

use super::Node;
use super::lines::ShardLine;
use crate::counters::Count;
use crate::fleet::WorkerKey;
use crate::journal;
use crate::latency::Span;
use crate::moment::Moment;
use crate::schedule::{Event, Order, RosterEntry, Scheduler, Term, ZONE_EVACUATED};
use crate::shards::{
    FormerOwner, Heard, Layout, NO_FORMER_OWNER, OWNER_TIMEOUT, Owner, OwnerRecord,
    recovery_deadline,
};

/// The interval at which a wait for confirmation checks again.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(150);
/// The reason for the end of an ownership of which a task panicked.
pub(super) const TASK_PANICKED: &str = "a task panicked";

/// A claim that the store has accepted.
#[derive(Debug, Clone)]
pub(super) struct Claim {
    /// The name of the shard.
    pub shard: String,
    /// The fencing token: the revision of the claim.
    pub fence: u64,
    /// The former owner; absent for the first claim of the shard.
    pub former: Option<Owner>,
    /// When this host knew of the last heartbeats of the former owners. The claim required that
    /// there was none after them.
    pub heard: Heard,
    /// The id of the store lease that the claim attached the owner lease to.
    pub lease: u64,
    /// When the claim began, before its store lease was granted. The first heartbeat counts as
    /// sent then.
    pub begun: Moment,
}

/// A shard that this host owns: the state that the tasks of the ownership share.
#[derive(Debug)]
pub(super) struct OwnedShard {
    pub node: Arc<Node>,
    pub claim: Claim,
    /// Wakes the writer.
    pub write: Notify,
    scheduler: Mutex<Scheduler>,
    /// Wakes the task that places waiting tasks.
    plan: Notify,
    /// The id of the store lease that the owner lease is attached to now; it
    /// changes when an expired owner lease is written again.
    pub(super) lease: AtomicU64,
    /// When the last call that confirmed the ownership was sent, in microseconds
    /// since the process started.
    confirmed: AtomicU64,
    /// When the last heartbeat that the store accepted was sent, in microseconds since the
    /// process started.
    heartbeat: AtomicU64,
    /// Why the ownership ends; absent while it lasts.
    lost: watch::Sender<Option<&'static str>>,
    /// The connection to each attached worker.
    connections: Mutex<HashMap<WorkerKey, Connection>>,
    /// The tasks that are aborted at the end of the ownership.
    tasks: Mutex<JoinSet<()>>,
}

/// The two tasks of an attached worker.
#[derive(Debug)]
pub(super) struct Connection {
    /// Where the orders for the worker go.
    pub orders: mpsc::UnboundedSender<Order>,
    /// The task that sends them, and the task that polls the worker.
    pub tasks: [AbortHandle; 2],
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

impl OwnedShard {
    /// Creates the state for the start of the ownership.
    pub fn new(node: Arc<Node>, claim: Claim) -> Self {
        let recovery_deadline = claim
            .former
            .as_ref()
            .map(|_| recovery_deadline(FormerOwner::Unknown, claim.heard, Moment::now()));
        let term = Term {
            fence: claim.fence,
            former_epoch: claim.former.as_ref().map_or(0, |former| former.fence),
            recovery_deadline,
        };
        let mut tokens = node.tokens.lock().expect("no holder panics");
        tokens.hold(claim.fence);
        drop(tokens);
        let mut scheduler = Scheduler::new(term);
        scheduler.on_heartbeat(claim.begun);
        scheduler.set_remote_factor(node.settings.remote_factor);
        scheduler.set_longest_lease(node.settings.longest_lease);
        Self {
            write: Notify::new(),
            scheduler: Mutex::new(scheduler),
            plan: Notify::new(),
            lease: AtomicU64::new(claim.lease),
            confirmed: AtomicU64::new(claim.begun.as_micros()),
            heartbeat: AtomicU64::new(claim.begun.as_micros()),
            lost: watch::channel(None).0,
            connections: Mutex::default(),
            tasks: Mutex::default(),
            node,
            claim,
        }
    }

    /// Runs a decision on the scheduler and logs the events that it recorded. The scheduler
    /// is told of the evacuated zones first, so that no decision is based on older ones.
    pub fn decide<T>(&self, decision: impl FnOnce(&mut Scheduler, Moment) -> T) -> T {
        let mut scheduler = self.scheduler.lock().expect("no holder panics");
        scheduler.set_evacuations(&self.node.evacuations().borrow());
        let result = decision(&mut scheduler, Moment::now());
        let events = scheduler.take_events();
        let urgent = scheduler.is_urgent();
        drop(scheduler);
        for event in &events {
            self.measure(event);
            journal::line(&ShardLine {
                shard: &self.claim.shard,
                fence: self.claim.fence,
                event,
            });
        }
        if urgent {
            self.write.notify_one();
        }
        result
    }

    /// Records the latency that an event shows, and counts the starts that an evacuation takes
    /// back.
    fn measure(&self, event: &Event) {
        match event {
            Event::RunLost { reason, .. } if *reason == ZONE_EVACUATED => {
                self.node.counters.add(Count::StartsWithheld, 1);
            }
            Event::Stopping { reason, .. } if *reason == ZONE_EVACUATED => {
                self.node.counters.add(Count::StartsWithdrawn, 1);
            }
            _ => {}
        }
        let (span, took) = match event {
            Event::Placed { waited, near, .. } => {
                self.count_placement(*near);
                (Span::Wait, Duration::from_millis(*waited))
            }
            Event::RecoveryFinished { .. } => {
                (self.recovery_span(), Moment::now() - self.claim.begun)
            }
            Event::ZoneEvacuated { after, .. } => {
                let owned = Moment::now() - self.claim.begun;
                (Span::Evacuation, Duration::from_millis(*after).min(owned))
            }
            _ => return,
        };
        self.node.latencies.record(span, took);
    }

    /// Counts a task that names the rack of its data.
    fn count_placement(&self, near: Option<bool>) {
        let count = match near {
            None => return,
            Some(true) => Count::OnDataRack,
            Some(false) => Count::OffDataRack,
        };
        self.node.counters.add(count, 1);
    }

    fn recovery_span(&self) -> Span {
        match &self.claim.former {
            Some(former) if former.released => Span::RecoveryAfterRelease,
            _ => Span::RecoveryAfterLoss,
        }
    }

    /// Returns the record of this ownership that is written to the store.
    pub fn record(&self) -> OwnerRecord {
        let claim = &self.claim;
        OwnerRecord {
            former_age: former_age(claim.former.as_ref(), claim.heard, Moment::now()),
            ..self.node.owner_record(false)
        }
    }

    /// Returns the record for a heartbeat. It shows the load of the shard's workers to the hosts
    /// that may send jobs there.
    pub fn heartbeat_record(&self) -> OwnerRecord {
        let pools = if self.node.layout() == Some(Layout::Whole) {
            Vec::new()
        } else {
            self.decide(|scheduler, now| scheduler.pool_loads(now))
        };
        OwnerRecord {
            pools,
            ..self.record()
        }
    }

    /// Requests a pass over the waiting tasks.
    pub fn wake(&self) {
        self.plan.notify_one();
    }

    /// Spawns a task that is aborted at the end of this ownership. If the task panics,
    /// the ownership ends, as its state is not to be trusted any more.
    pub fn spawn(self: &Arc<Self>, task: impl Future<Output = ()> + Send + 'static) -> AbortHandle {
        let owned = self.clone();
        let task = async move {
            if AssertUnwindSafe(task).catch_unwind().await.is_err() {
                owned.mark_lost(TASK_PANICKED);
            }
        };
        self.tasks.lock().expect("no holder panics").spawn(task)
    }

    /// Replaces the tasks of a worker that was attached at an earlier address.
    pub fn connect_worker(&self, key: WorkerKey, connection: Connection) {
        let mut connections = self.connections.lock().expect("no holder panics");
        connections.insert(key, connection);
    }

    /// Ends the tasks of a worker that was removed.
    pub fn detach_worker(&self, key: WorkerKey) {
        let mut connections = self.connections.lock().expect("no holder panics");
        connections.remove(&key);
    }

    /// Hands orders to the tasks of their workers; those for removed workers are dropped.
    pub fn send_orders(&self, orders: Vec<(WorkerKey, Order)>) {
        let connections = self.connections.lock().expect("no holder panics");
        for (worker, order) in orders {
            if let Some(connection) = connections.get(&worker) {
                // The receiver is dropped when the worker was removed.
                let _ = connection.orders.send(order);
            }
        }
    }

    /// Ends this ownership; only the first reason is kept.
    pub fn mark_lost(&self, reason: &'static str) {
        self.lost.send_if_modified(|lost| {
            let first = lost.is_none();
            lost.get_or_insert(reason);
            first
        });
    }

    /// Records that the store confirmed this ownership in answer to a call sent
    /// at that moment.
    pub fn confirm(&self, sent: Moment) {
        self.confirmed
            .fetch_max(sent.as_micros(), Ordering::Relaxed);
    }

    /// Records that the store accepted a heartbeat sent at that moment, at this revision. Leases may
    /// last longer from then on.
    pub fn on_heartbeat(&self, sent: Moment, revision: u64) {
        self.confirm(sent);
        self.heartbeat
            .fetch_max(sent.as_micros(), Ordering::Relaxed);
        self.decide(|scheduler, _| {
            scheduler.on_heartbeat(sent);
            scheduler.on_owned_write(revision);
        });
    }

    /// Waits until this host may give orders to the workers.
    pub async fn wait_confirmed(&self) {
        while !self.is_confirmed() {
            sleep(CONFIRMATION_INTERVAL).await;
        }
    }

    /// Returns when the last call that confirmed this ownership was sent.
    pub fn confirmed(&self) -> Moment {
        Moment::from_micros(self.confirmed.load(Ordering::Relaxed))
    }

    /// Returns true while this host may give orders to the workers.
    pub fn is_confirmed(&self) -> bool {
        let heartbeat = Moment::from_micros(self.heartbeat.load(Ordering::Relaxed));
        Moment::now() - heartbeat < OWNER_TIMEOUT
    }

    pub async fn wait_lost(&self) -> &'static str {
        let mut lost = self.lost.subscribe();
        let reason = lost.wait_for(Option::is_some).await;
        reason.ok().and_then(|reason| *reason).unwrap_or("ended")
    }

    /// Whether no former owner gives orders any more. Unknown, thus false, after a panic.
    pub fn has_recovered(&self) -> bool {
        let scheduler = self.scheduler.lock();
        scheduler.is_ok_and(|scheduler| scheduler.has_recovered())
    }

    /// Ends all orders, also those of tasks that are being aborted. Returns the roster to store
    /// with the release; absent after a panic.
    pub fn release_workers(&self) -> Option<Vec<RosterEntry>> {
        let mut scheduler = self.scheduler.lock().ok()?;
        scheduler.release_shard(Moment::now())
    }

    /// Gives up the fencing token. Returns the record that tells a newer owner so; `None`
    /// while this host owns another shard under a lower token, which the record would cover.
    pub fn give_up_token(&self) -> Option<OwnerRecord> {
        let mut tokens = self.node.tokens.lock().expect("no holder panics");
        let resigned = tokens.end(self.claim.fence)?;
        Some(OwnerRecord {
            resigned,
            ..self.node.owner_record(false)
        })
    }

    /// Waits until a pass over the waiting tasks is requested, or until this time has passed.
    pub async fn wait_plan(&self, limit: Duration) {
        let _ = timeout(limit, self.plan.notified()).await;
    }

    /// Ends all tasks of this ownership but the caller.
    pub fn abort_tasks(&self) {
        self.tasks.lock().expect("no holder panics").abort_all();
    }
}

/// Returns for how long no former owner of a shard has sent a heartbeat, in milliseconds.
pub(super) fn former_age(former: Option<&Owner>, heard: Heard, now: Moment) -> u64 {
    former.map_or(NO_FORMER_OWNER, |_| (now - heard.last).as_millis() as u64)
}
