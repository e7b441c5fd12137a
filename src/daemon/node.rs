//! The state that all tasks of the daemon share.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::sync::watch;

use super::health::StoreHealth;
use super::withdrawals::Withdrawals;
use crate::counters::Counters;
use crate::drain::RequestCounter;
use crate::evacuation::Evacuations;
use crate::fleet::PoolLoad;
use crate::headroom::PoolHeadroom;
use crate::latency::{Latencies, Span};
use crate::moment::Moment;
use crate::overload::{Gate, write_event};
use crate::platform::fleet::{Store, StoreFault, Watched, WorkerApi};
use crate::routing::Queues;
use crate::settings::FleetSettings;
use crate::shards::{Candidate, Layout, OwnerRecord, Tokens};

/// The time after which an unanswered order to a worker fails.
const ORDER_TIMEOUT: Duration = Duration::from_millis(250);

/// The wait of a watch. Connections may go silent, and watches are the only calls of some hosts. A
/// host counts as in touch again 3 s later; by then it has to follow changes again.
const WATCH_WAIT: Duration = Duration::from_millis(1500);

/// The state that all tasks of the daemon share.
#[derive(Debug)]
pub struct Node {
    pub(super) settings: FleetSettings,
    /// The random id of this incarnation of the process.
    pub(super) incarnation: u64,
    pub(super) store: Store,
    pub(super) health: StoreHealth,
    pub(super) counters: Counters,
    pub(super) latencies: Latencies,
    /// Admits connections and the bytes of requests and responses.
    pub(super) gate: Arc<Gate>,
    pub(super) in_progress: RequestCounter,
    /// True once a planned stop has begun.
    pub(super) stop: watch::Sender<bool>,
    /// The number of shards that this host owns.
    pub(super) owned: AtomicU32,
    /// The fencing tokens of these shards.
    pub(super) tokens: Mutex<Tokens>,
    /// The processor time that the strongest other host may use, in thousandths
    /// of a core.
    strongest: AtomicU32,
    client: reqwest::Client,
    /// The requests to evacuate zones. Wakes the owned shards when they change.
    evacuations: watch::Sender<Evacuations>,
    /// The number of runs in evacuated zones, by owned shard.
    zone_runs: Mutex<HashMap<String, usize>>,
    /// The marks for jobs that were cancelled before they were accepted.
    pub(super) withdrawals: Mutex<Withdrawals>,
    queues: RwLock<Option<Arc<Queues>>>,
    layout: RwLock<Option<Layout>>,
    /// The load of the pools of each shard, by the last heartbeat of its owner.
    loads: RwLock<HashMap<String, Vec<PoolLoad>>>,
    /// What each shard that this host owns keeps free in its pools.
    headroom: RwLock<HashMap<String, Vec<PoolHeadroom>>>,
}

impl Node {
    /// Creates the state of a daemon that has just started.
    pub(super) fn new(settings: FleetSettings) -> Arc<Self> {
        Arc::new(Self {
            incarnation: rand::random(),
            store: Store::new(settings.platform, settings.call_timeout),
            health: StoreHealth::default(),
            counters: Counters::default(),
            latencies: Latencies::default(),
            gate: Gate::new(&settings.overload, write_event),
            in_progress: RequestCounter::default(),
            stop: watch::channel(false).0,
            owned: AtomicU32::new(0),
            tokens: Mutex::default(),
            strongest: AtomicU32::new(0),
            client: WorkerApi::pool(ORDER_TIMEOUT),
            evacuations: watch::Sender::default(),
            zone_runs: Mutex::default(),
            withdrawals: Mutex::default(),
            queues: RwLock::default(),
            layout: RwLock::default(),
            loads: RwLock::default(),
            headroom: RwLock::default(),
            settings,
        })
    }

    /// Makes a call to the store, records whether it was answered, and measures
    /// the latency if it was.
    pub(super) async fn call<T>(
        &self,
        call: impl Future<Output = Result<T, StoreFault>>,
    ) -> Result<T, StoreFault> {
        let sent = Moment::now();
        let result = self.health.record(Duration::ZERO, call).await;
        if result.is_ok() {
            self.latencies.record(Span::StoreCall, Moment::now() - sent);
        }
        result
    }

    /// Waits for changes in the store and records whether it answered.
    pub(super) async fn watch(&self, prefix: &str, after: u64) -> Result<Watched, StoreFault> {
        let call = self.store.watch(prefix, after, WATCH_WAIT);
        self.health.record(WATCH_WAIT, call).await
    }

    /// Returns the newest configuration that this host has read.
    pub(super) fn queues(&self) -> Option<Arc<Queues>> {
        self.queues.read().expect("no holder panics").clone()
    }

    /// Applies a configuration if it is newer than the current one. Returns
    /// whether it was applied.
    pub(super) fn configure(&self, queues: Queues) -> bool {
        let mut known = self.queues.write().expect("no holder panics");
        let newer = known
            .as_ref()
            .is_none_or(|known| queues.version > known.version);
        if newer {
            *known = Some(Arc::new(queues));
        }
        newer
    }

    /// The requests to evacuate zones that this host has read, and their changes.
    pub(super) const fn evacuations(&self) -> &watch::Sender<Evacuations> {
        &self.evacuations
    }

    /// Records how many runs an owned shard has in evacuated zones; 0 once it is not owned.
    pub(super) fn set_zone_runs(&self, shard: &str, runs: usize) {
        let mut known = self.zone_runs.lock().expect("no holder panics");
        if runs == 0 {
            known.remove(shard);
        } else {
            known.insert(shard.to_owned(), runs);
        }
    }

    /// Returns the number of runs that the owned shards have in evacuated zones.
    pub(super) fn zone_runs(&self) -> usize {
        let known = self.zone_runs.lock().expect("no holder panics");
        known.values().sum()
    }

    /// Returns how the workers are divided into shards, once that is known.
    pub(super) fn layout(&self) -> Option<Layout> {
        *self.layout.read().expect("no holder panics")
    }

    /// Sets how the workers are divided into shards.
    pub(super) fn set_layout(&self, layout: Layout) {
        *self.layout.write().expect("no holder panics") = Some(layout);
    }

    /// Records the load of a shard's pools.
    pub(super) fn set_loads(&self, shard: &str, pools: Vec<PoolLoad>) {
        let mut loads = self.loads.write().expect("no holder panics");
        loads.insert(shard.to_owned(), pools);
    }

    /// Returns the load of a shard's pools; empty if it is not known.
    pub(super) fn loads(&self, shard: &str) -> Vec<PoolLoad> {
        let loads = self.loads.read().expect("no holder panics");
        loads.get(shard).cloned().unwrap_or_default()
    }

    /// Records what a shard that this host owns keeps free in its pools; nothing once the
    /// ownership has ended.
    pub(super) fn set_headroom(&self, shard: &str, pools: Vec<PoolHeadroom>) {
        let mut headroom = self.headroom.write().expect("no holder panics");
        if pools.is_empty() {
            headroom.remove(shard);
        } else {
            headroom.insert(shard.to_owned(), pools);
        }
    }

    /// Returns what the shards of this host keep free, in sum for each pool.
    pub(super) fn headroom(&self) -> BTreeMap<String, PoolHeadroom> {
        let headroom = self.headroom.read().expect("no holder panics");
        let mut sums: BTreeMap<String, PoolHeadroom> = BTreeMap::new();
        for reading in headroom.values().flatten() {
            let sum = sums.entry(reading.pool.clone()).or_default();
            *sum = sum.plus(reading);
        }
        sums
    }

    /// Creates a client of the worker at this address.
    pub(super) fn worker(&self, id: &str, address: SocketAddr) -> WorkerApi {
        WorkerApi::new(self.client.clone(), id, address, ORDER_TIMEOUT)
    }

    /// Returns true once a planned stop has begun.
    pub(super) fn is_stopping(&self) -> bool {
        *self.stop.borrow()
    }

    /// Waits until a planned stop begins.
    pub(super) async fn wait_stopping(&self) {
        let mut stop = self.stop.subscribe();
        // `wait_for` cannot fail: the sender is a field of `self`.
        let _ = stop.wait_for(|stop| *stop).await;
    }

    /// Returns the record of this incarnation that is written to the store.
    pub(super) fn owner_record(&self, released: bool) -> OwnerRecord {
        OwnerRecord {
            host: self.settings.name.clone(),
            incarnation: self.incarnation,
            released,
            resigned: 0,
            millicores: self.settings.millicores,
            former_age: 0,
            pools: Vec::new(),
        }
    }

    /// Returns this host as a candidate for shards; it already owns `owned`.
    pub(super) fn candidate(&self, owned: u32) -> Candidate {
        Candidate {
            host: self.settings.name.clone(),
            incarnation: self.incarnation,
            zone: self.settings.zone.clone(),
            zones: self.settings.zones.clone(),
            layout: self.layout().unwrap_or(Layout::Whole),
            owned,
            millicores: self.settings.millicores,
            strongest: self.strongest(),
        }
    }

    /// Returns the processor time that the strongest known host may use, in
    /// thousandths of a core.
    pub(super) fn strongest(&self) -> u32 {
        let others = self.strongest.load(Ordering::Relaxed);
        others.max(self.settings.millicores)
    }

    /// Records the processor time that another host may use, in thousandths of a
    /// core.
    pub(super) fn record_millicores(&self, millicores: u32) {
        self.strongest.fetch_max(millicores, Ordering::Relaxed);
    }

    /// Returns the number of shards that this host owns.
    pub(super) fn owned(&self) -> u32 {
        self.owned.load(Ordering::Relaxed)
    }
}

/// Returns the wall-clock time since the Unix epoch.
pub(super) fn wall_clock() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
