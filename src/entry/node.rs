//! A running entry daemon: its state and what its tasks share.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use slotmap::SecondaryMap;
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::time::{sleep, timeout};

use super::core::{Core, CoreSettings, Effect, LogResult, Token};
use super::tasks;
use crate::counters::{Count, Counters};
use crate::drain::InProgress;
use crate::front;
use crate::ids::{AttemptKey, HostId, RequestId, ShardId, WorkerKey};
use crate::jobs::{LedgerSettings, PendingMove};
use crate::moment::Moment;
use crate::ownership::{CallId, OwnershipSettings};
use crate::peers::{Identity, Links, listen};
use crate::placement::Policy;
use crate::platform::{Platform, StoreOp};
use crate::server::Running;
use crate::settings::EntrySettings;
use crate::workers::Fate;
use crate::{Error, Result};

/// An entry daemon.
#[derive(Debug)]
pub struct Node {
    pub(crate) me: HostId,
    pub(crate) settings: EntrySettings,
    pub(crate) counters: Counters,
    pub(crate) platform: Platform,
    pub(crate) http: reqwest::Client,
    pub(crate) links: Arc<Links>,
    pub(crate) stop: watch::Sender<bool>,
    /// Interactive requests whose answer is not yet sent.
    pub(crate) in_progress: InProgress,
    pub(super) core: Mutex<Core>,
    pub(super) store_calls: mpsc::UnboundedSender<StoreCall>,
    pub(super) moves: mpsc::UnboundedSender<MoveCall>,
    pub(super) worker_wakes: Mutex<SecondaryMap<WorkerKey, Arc<Notify>>>,
    waits: Mutex<Waits>,
    stopping: AtomicBool,
}

/// A call of the store on its way.
#[derive(Debug)]
pub(super) struct StoreCall {
    pub call: CallId,
    pub op: StoreOp,
}

/// Moved tasks on their way to another shard.
#[derive(Debug)]
pub(super) struct MoveCall {
    pub from: ShardId,
    pub pending: PendingMove,
}

/// Those who wait for something to happen in the core.
#[derive(Debug, Default)]
struct Waits {
    attempts: HashMap<AttemptKey, Arc<Notify>>,
    logged: HashMap<Token, Vec<oneshot::Sender<LogResult>>>,
    settled: HashMap<RequestId, oneshot::Sender<Fate>>,
}

/// A daemon that was started.
#[derive(Debug)]
pub struct Started {
    /// The daemon.
    pub node: Arc<Node>,
    server: Running,
}

/// How long the last answers have to leave the host.
const LINGER: Duration = Duration::from_millis(300);
const STOP_POLL: Duration = Duration::from_millis(20);
/// How long a planned stop waits for its shards to be handed over.
const HAND_OVER: Duration = Duration::from_secs(5);
/// How long a stopping host still takes requests that the balancer sends it.
const SOFT_STOP: Duration = Duration::from_millis(500);

impl Node {
    /// Starts a daemon.
    ///
    /// # Errors
    ///
    /// Fails when an address is taken.
    pub async fn start(settings: EntrySettings, policy: Policy) -> Result<Started> {
        let counters = match &settings.statsd {
            Some(address) => {
                Counters::statsd(&address.to_string()).map_err(|error| Error::Listen {
                    address: address.to_string(),
                    reason: error.to_string(),
                })?
            }
            None => Counters::default(),
        };
        let me = HostId(rand::random());
        let (store_calls, store_queue) = mpsc::unbounded_channel();
        let (moves, move_queue) = mpsc::unbounded_channel();
        let core = Core::new(me, core_settings(&settings, policy));
        let node = Arc::new(Self {
            me,
            counters,
            platform: Platform::new(settings.platform, settings.timing.call_timeout),
            http: http_client(&settings),
            links: Arc::default(),
            stop: watch::channel(false).0,
            in_progress: InProgress::default(),
            core: Mutex::new(core),
            store_calls,
            moves,
            worker_wakes: Mutex::default(),
            waits: Mutex::default(),
            stopping: AtomicBool::new(false),
            settings,
        });
        let listener = bind(&node.settings).await?;
        tokio::spawn(listen(
            listener,
            node.identity(),
            node.settings.timing.call_timeout,
            node.links.clone(),
            node.clone(),
        ));
        tasks::spawn_all(&node, store_queue, move_queue);
        let server = Running::start(front::build(&node)).await?;
        log::info!("entry host {} ({me}) started", node.settings.name);
        Ok(Started { node, server })
    }

    /// Runs a decision and carries out what follows from it.
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
            self.carry_out(effect);
        }
        outcome
    }

    /// Reads the state.
    pub(crate) fn look<T>(&self, look: impl FnOnce(&Core, Moment) -> T) -> T {
        look(&self.lock_core(), Moment::now())
    }

    fn lock_core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().expect("no panic while locked")
    }

    fn lock_waits(&self) -> MutexGuard<'_, Waits> {
        self.waits.lock().expect("no panic while locked")
    }

    fn carry_out(&self, effect: Effect) {
        match effect {
            Effect::Store { call, op } => {
                let _ = self.store_calls.send(StoreCall { call, op });
            }
            Effect::Send { to, message } => self.links.send(to, message),
            Effect::Wake(key) => {
                if let Some(wake) = self.lock_waits().attempts.get(&key) {
                    wake.notify_one();
                }
            }
            Effect::Logged(token, result) => {
                let waiting = self.lock_waits().logged.remove(&token);
                for each in waiting.into_iter().flatten() {
                    let _ = each.send(result);
                }
            }
            Effect::Settled(id, fate) => {
                if let Some(waiting) = self.lock_waits().settled.remove(&id) {
                    let _ = waiting.send(fate);
                }
            }
            Effect::Call(worker) => self.wake_worker(worker),
            Effect::Move { from, pending } => {
                let _ = self.moves.send(MoveCall { from, pending });
            }
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

    /// Waits until a request is woken, at most until a point.
    pub(crate) async fn wait_woken(&self, key: AttemptKey, until: Moment) {
        let wake = self.lock_waits().attempts.entry(key).or_default().clone();
        let _ = timeout(Moment::now().until(until), wake.notified()).await;
    }

    /// Drops what is kept for a waiting request.
    pub(crate) fn forget_wait(&self, key: AttemptKey) {
        self.lock_waits().attempts.remove(&key);
    }

    /// Begins to wait for a change to be logged.
    pub(crate) fn expect_logged(&self, token: Token) -> oneshot::Receiver<LogResult> {
        let (sender, receiver) = oneshot::channel();
        self.lock_waits()
            .logged
            .entry(token)
            .or_default()
            .push(sender);
        receiver
    }

    /// Begins to wait for the fate of a request.
    pub(crate) fn expect_settled(&self, id: RequestId) -> oneshot::Receiver<Fate> {
        let (sender, receiver) = oneshot::channel();
        self.lock_waits().settled.insert(id, sender);
        receiver
    }

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

    /// How many interactive requests are in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress
            .len()
            .max(self.look(|core, _| core.dispatch.len()))
    }

    fn is_idle(&self) -> bool {
        self.in_progress() == 0
    }

    /// Begins a planned stop: hands over the shards, then signals the end.
    pub async fn drain(self: &Arc<Self>) {
        if self.stopping.swap(true, Ordering::Relaxed) {
            return;
        }
        log::info!("planned stop begun");
        self.decide(|core, _| core.ownership.stop());
        let handed_over = async {
            while !self.look(|core, _| core.ownership.is_handed_over()) {
                sleep(STOP_POLL).await;
            }
        };
        if timeout(HAND_OVER, handed_over).await.is_err() {
            log::warn!(
                "not every shard was handed over; they are taken over when the session ends"
            );
        }
        sleep(SOFT_STOP).await;
        let _ = self.stop.send(true);
    }
}

impl Started {
    /// Waits until a planned stop has handed over the shards, then finishes
    /// every request in progress and ends.
    pub async fn run_to_end(self) {
        let mut stop = self.node.stop.subscribe();
        let _ = stop.wait_for(|stop| *stop).await;
        self.server.close();
        let idle = async {
            while !self.node.is_idle() {
                sleep(STOP_POLL).await;
            }
        };
        let _ = timeout(self.node.settings.timing.max_deadline, idle).await;
        // The last bytes are with the connections; give them time to leave.
        sleep(LINGER).await;
        self.server.abort();
        self.node.decide(|core, now| {
            core.ownership.close();
            core.tick(now, crate::jobs::Wall::now());
        });
        sleep(STOP_POLL * 5).await;
        log::info!("planned stop ended");
    }

    /// Begins a planned stop and waits for its end.
    pub async fn stop(self) {
        let node = self.node.clone();
        tokio::spawn(async move { node.drain().await });
        self.run_to_end().await;
    }
}

fn core_settings(settings: &EntrySettings, policy: Policy) -> CoreSettings {
    let timing = &settings.timing;
    CoreSettings {
        ownership: OwnershipSettings {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            peers: settings
                .announced_address
                .unwrap_or(settings.peer_address)
                .to_string(),
            callers: settings.address.to_string(),
            session: timing.session_ttl,
            promise: timing.promise_ttl,
            margin: timing.margin,
            heartbeat: timing.heartbeat_interval,
            silence: timing.call_timeout,
            ..OwnershipSettings::default()
        },
        ledger: LedgerSettings {
            lease: timing.task_lease,
            margin: timing.margin,
            ..LedgerSettings::default()
        },
        policy,
    }
}

fn http_client(settings: &EntrySettings) -> reqwest::Client {
    reqwest::Client::builder()
        .connect_timeout(settings.timing.call_timeout)
        .pool_idle_timeout(Duration::from_secs(30))
        .build()
        .expect("a client without TLS needs nothing that can fail")
}

async fn bind(settings: &EntrySettings) -> Result<TcpListener> {
    TcpListener::bind(settings.peer_address)
        .await
        .map_err(|error| Error::Listen {
            address: settings.peer_address.to_string(),
            reason: error.to_string(),
        })
}
