//! The entry daemon: its state, shared by all tasks, and its start and stop.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use slotmap::SecondaryMap;
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::time::{sleep, timeout};

use super::core::{Core, Effect, LogResult, PendingChange};
use crate::counters::{Count, Counters};
use crate::drain::RequestCounter;
use crate::ids::{HostId, RequestId, RequestKey, ShardId, WorkerKey};
use crate::jobs::PendingMove;
use crate::moment::Moment;
use crate::overload::{Gate, Reason};
use crate::ownership::CallId;
use crate::peers::{Identity, Links};
use crate::platform::{Platform, StoreOp};
use crate::server::RunningServer;
use crate::settings::EntrySettings;
use crate::workers::{RequestState, http_client};

/// State of an entry daemon, shared by its tasks.
#[derive(Debug)]
pub struct Node {
    pub(crate) me: HostId,
    pub(crate) settings: EntrySettings,
    pub(crate) counters: Counters,
    pub(crate) platform: Platform,
    pub(crate) http: reqwest::Client,
    pub(crate) links: Arc<Links>,
    pub(crate) stop: watch::Sender<bool>,
    /// Admits connections and the bytes of requests and responses.
    pub(crate) gate: Arc<Gate>,
    /// Requests whose answer has not been sent yet.
    pub(crate) in_progress: RequestCounter,
    pub(super) core: Mutex<Core>,
    pub(super) store_calls: mpsc::UnboundedSender<StoreCall>,
    pub(super) moves: mpsc::UnboundedSender<MoveSubmission>,
    pub(super) worker_wakes: Mutex<SecondaryMap<WorkerKey, Arc<Notify>>>,
    waits: Mutex<Waits>,
    stopping: AtomicBool,
}

/// A store call that waits to be sent.
#[derive(Debug)]
pub(super) struct StoreCall {
    pub call: CallId,
    pub op: StoreOp,
}

/// Moved tasks that wait to be submitted to their new shard.
#[derive(Debug)]
pub(super) struct MoveSubmission {
    pub from: ShardId,
    pub pending: PendingMove,
}

/// Tasks that wait for an effect of the core.
#[derive(Debug, Default)]
struct Waits {
    requests: HashMap<RequestKey, Arc<Notify>>,
    logged: HashMap<PendingChange, Vec<oneshot::Sender<LogResult>>>,
    resolved: HashMap<RequestId, oneshot::Sender<RequestState>>,
}

/// A running daemon with its HTTP server.
#[derive(Debug)]
pub struct RunningNode {
    /// State of the daemon.
    pub node: Arc<Node>,
    pub(super) server: RunningServer,
}

/// Time given to open connections to send the last answers before they are
/// closed.
const CLOSE_DELAY: Duration = Duration::from_millis(300);
/// Interval at which a planned stop checks its progress.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time limit for handing over the shards in a planned stop.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time during which a stopping host still accepts requests that the load balancer
/// sends it.
const STOP_DELAY: Duration = Duration::from_millis(500);

impl Node {
    /// Creates the state of a daemon that has not started its tasks.
    pub(super) fn new(
        settings: EntrySettings,
        core: Core,
        counters: Counters,
        store_calls: mpsc::UnboundedSender<StoreCall>,
        moves: mpsc::UnboundedSender<MoveSubmission>,
    ) -> Self {
        let call_timeout = settings.timing.call_timeout;
        Self {
            me: core.ownership.me(),
            counters,
            platform: Platform::new(settings.platform, call_timeout),
            http: http_client(call_timeout),
            links: Arc::default(),
            stop: watch::channel(false).0,
            gate: Gate::new(&settings.limits.overload, log_refusals),
            in_progress: RequestCounter::default(),
            core: Mutex::new(core),
            store_calls,
            moves,
            worker_wakes: Mutex::default(),
            waits: Mutex::default(),
            stopping: AtomicBool::new(false),
            settings,
        }
    }

    /// Runs a decision on the locked state, then executes its effects without the
    /// lock.
    pub(crate) fn decide<T>(&self, decision: impl FnOnce(&mut Core, Moment) -> T) -> T {
        let mut core = self.lock_core();
        let outcome = decision(&mut core, Moment::now());
        let mut effects = Vec::new();
        while let Some(effect) = core.next_effect() {
            effects.push(effect);
        }
        let retries = core.take_retries();
        drop(core);
        for retry in retries {
            self.counters.retried(retry);
        }
        for effect in effects {
            self.execute(effect);
        }
        outcome
    }

    /// Runs a closure that reads the locked state.
    pub(crate) fn read<T>(&self, reader: impl FnOnce(&Core, Moment) -> T) -> T {
        reader(&self.lock_core(), Moment::now())
    }

    fn lock_core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().expect("no panic while locked")
    }

    fn lock_waits(&self) -> MutexGuard<'_, Waits> {
        self.waits.lock().expect("no panic while locked")
    }

    fn execute(&self, effect: Effect) {
        match effect {
            Effect::Store { call, op } => {
                let _ = self.store_calls.send(StoreCall { call, op });
            }
            Effect::Send { to, message } => self.links.send(to, message),
            Effect::Wake(key) => {
                if let Some(wake) = self.lock_waits().requests.get(&key) {
                    wake.notify_one();
                }
            }
            Effect::Logged(change, result) => {
                let waiting = self.lock_waits().logged.remove(&change);
                for each in waiting.into_iter().flatten() {
                    let _ = each.send(result);
                }
            }
            Effect::Resolved(id, state) => {
                if let Some(waiting) = self.lock_waits().resolved.remove(&id) {
                    let _ = waiting.send(state);
                }
            }
            Effect::Sync(worker) => self.wake_worker(worker),
            Effect::Move { from, pending } => {
                let _ = self.moves.send(MoveSubmission { from, pending });
            }
            Effect::ZoneChanged { zone, evacuated } => match evacuated {
                true => log::info!("zone {zone} is evacuated: no work starts there"),
                false => log::info!("zone {zone} is no longer evacuated"),
            },
            Effect::Claimed { shard, takeover } => {
                log::info!("shard {shard} claimed, takeover: {takeover}");
                self.counters.add(Count::Claims, 1);
                self.counters.add(Count::Takeovers, u64::from(takeover));
            }
        }
    }

    fn wake_worker(&self, worker: WorkerKey) {
        let wakes = self.worker_wakes.lock().expect("no panic while locked");
        if let Some(wake) = wakes.get(worker) {
            wake.notify_one();
        }
    }

    /// Waits until a request is woken, at most until the given moment.
    pub(crate) async fn wait_woken(&self, key: RequestKey, until: Moment) {
        let wake = self.lock_waits().requests.entry(key).or_default().clone();
        let _ = timeout(Moment::now().until(until), wake.notified()).await;
    }

    /// Removes the notification of a request that no longer waits.
    pub(crate) fn forget_wait(&self, key: RequestKey) {
        self.lock_waits().requests.remove(&key);
    }

    /// Returns a receiver for the log result of a change.
    pub(crate) fn expect_logged(&self, change: PendingChange) -> oneshot::Receiver<LogResult> {
        let (sender, receiver) = oneshot::channel();
        self.lock_waits()
            .logged
            .entry(change)
            .or_default()
            .push(sender);
        receiver
    }

    /// Returns a receiver for the final state of a request whose answer was lost.
    pub(crate) fn expect_resolved(&self, id: RequestId) -> oneshot::Receiver<RequestState> {
        let (sender, receiver) = oneshot::channel();
        self.lock_waits().resolved.insert(id, sender);
        receiver
    }

    /// Returns the identity that this host proves to its peers.
    pub(crate) fn identity(&self) -> Identity {
        Identity {
            host: self.me,
            zone: self.settings.zone.clone(),
            key: self.settings.key.clone(),
        }
    }

    /// Whether a planned stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress
            .len()
            .max(self.read(|core, _| core.dispatch.len()))
    }

    fn is_idle(&self) -> bool {
        self.in_progress() == 0
    }

    /// Runs a planned stop up to its last step: hands over the shards, then
    /// signals [`RunningNode::run_to_end`] to finish. Does nothing if a stop has
    /// begun already.
    pub async fn drain(self: &Arc<Self>) {
        if self.stopping.swap(true, Ordering::Relaxed) {
            return;
        }
        log::info!("planned stop started");
        self.decide(|core, _| core.ownership.stop());
        let handed_over = async {
            while !self.read(|core, _| core.ownership.is_handed_over()) {
                sleep(STOP_POLL_INTERVAL).await;
            }
        };
        if timeout(HANDOVER_TIMEOUT, handed_over).await.is_err() {
            log::warn!(
                "not every shard was handed over; the others are taken over when the session ends"
            );
        }
        sleep(STOP_DELAY).await;
        let _ = self.stop.send(true);
    }
}

impl RunningNode {
    /// Waits until a planned stop has handed over the shards, then finishes
    /// every request in progress and ends.
    pub async fn run_to_end(self) {
        let mut stop = self.node.stop.subscribe();
        let _ = stop.wait_for(|stop| *stop).await;
        self.server.close();
        let idle = async {
            while !self.node.is_idle() {
                sleep(STOP_POLL_INTERVAL).await;
            }
        };
        let _ = timeout(self.node.settings.timing.max_deadline, idle).await;
        // The last answers are in the connections' buffers.
        sleep(CLOSE_DELAY).await;
        self.server.abort();
        self.node.decide(|core, now| {
            core.ownership.close();
            core.tick(now, crate::jobs::WallClock::now());
        });
        sleep(STOP_POLL_INTERVAL * 5).await;
        log::info!("planned stop finished");
    }

    /// Runs a planned stop to its end.
    pub async fn stop(self) {
        let node = self.node.clone();
        tokio::spawn(async move { node.drain().await });
        self.run_to_end().await;
    }
}

fn log_refusals(reason: Reason, count: u64) {
    let reason = reason.name();
    log::warn!("connection_refused: reason {reason}, count {count}");
}
