//! What all tasks of the daemon share.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, RwLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::sync::watch;

use super::health::StoreHealth;
use crate::counters::Counters;
use crate::drain::RequestCounter;
use crate::latency::{Latencies, Span};
use crate::moment::Moment;
use crate::platform::fleet::{Store, StoreFault, Watched, WorkerApi};
use crate::routing::Queues;
use crate::settings::FleetSettings;
use crate::shards::{Candidate, Layout, OwnerRecord};

/// Orders to workers without an answer fail after this time.
const ORDER_SILENCE: Duration = Duration::from_millis(250);

/// What all tasks of the daemon share.
#[derive(Debug)]
pub struct Node {
    pub(super) settings: FleetSettings,
    /// Tells this life of the process from earlier ones.
    pub(super) life: u64,
    pub(super) store: Store,
    pub(super) health: StoreHealth,
    pub(super) counters: Counters,
    pub(super) latencies: Latencies,
    pub(super) in_progress: RequestCounter,
    pub(super) stop: watch::Sender<bool>,
    pub(super) owned: AtomicU32,
    strongest: AtomicU32,
    client: reqwest::Client,
    queues: RwLock<Option<Arc<Queues>>>,
    layout: RwLock<Option<Layout>>,
}

impl Node {
    /// The state of a daemon that was just started.
    pub(super) fn new(settings: FleetSettings) -> Arc<Self> {
        Arc::new(Self {
            life: rand::random(),
            store: Store::new(settings.platform, settings.call_timeout),
            health: StoreHealth::default(),
            counters: Counters::default(),
            latencies: Latencies::default(),
            in_progress: RequestCounter::default(),
            stop: watch::channel(false).0,
            owned: AtomicU32::new(0),
            strongest: AtomicU32::new(0),
            client: WorkerApi::pool(ORDER_SILENCE),
            queues: RwLock::default(),
            layout: RwLock::default(),
            settings,
        })
    }

    /// Makes a call to the store, times it and notes whether it was answered.
    pub(super) async fn call<T>(
        &self,
        call: impl Future<Output = Result<T, StoreFault>>,
    ) -> Result<T, StoreFault> {
        let sent = Moment::now();
        let result = self.health.note(Duration::ZERO, call).await;
        if result.is_ok() {
            self.latencies.record(Span::StoreCall, Moment::now() - sent);
        }
        result
    }

    /// Waits for changes in the store, and notes whether it answered.
    pub(super) async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Watched, StoreFault> {
        let call = self.store.watch(prefix, after, wait);
        self.health.note(wait, call).await
    }

    /// The newest configuration that this host knows.
    pub(super) fn queues(&self) -> Option<Arc<Queues>> {
        self.queues.read().expect("no holder panics").clone()
    }

    /// Uses a configuration, unless a newer one is known.
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

    /// How the workers are divided, once that is known.
    pub(super) fn layout(&self) -> Option<Layout> {
        *self.layout.read().expect("no holder panics")
    }

    /// Takes in how the workers are divided.
    pub(super) fn divide(&self, layout: Layout) {
        *self.layout.write().expect("no holder panics") = Some(layout);
    }

    /// A client of the worker at this address.
    pub(super) fn worker(&self, id: &str, address: &str) -> WorkerApi {
        WorkerApi::new(self.client.clone(), id, address, ORDER_SILENCE)
    }

    /// Whether a planned stop has begun.
    pub(super) fn is_stopping(&self) -> bool {
        *self.stop.borrow()
    }

    /// Waits until a planned stop begins.
    pub(super) async fn stopped(&self) {
        let mut stop = self.stop.subscribe();
        // The sender lives as long as this node.
        let _ = stop.wait_for(|stop| *stop).await;
    }

    /// This life of the process, as it is written to the store.
    pub(super) fn owner_record(&self, released: bool) -> OwnerRecord {
        OwnerRecord {
            host: self.settings.name.clone(),
            incarnation: self.life,
            released,
            resigned: 0,
            millicores: self.settings.millicores,
        }
    }

    /// This host as a candidate for shards, if it owns `owned` already.
    pub(super) fn candidate(&self, owned: u32) -> Candidate {
        Candidate {
            host: self.settings.name.clone(),
            incarnation: self.life,
            zone: self.settings.zone.clone(),
            layout: self.layout().unwrap_or(Layout::Whole),
            owned,
            millicores: self.settings.millicores,
            strongest: self.strongest(),
        }
    }

    /// What the strongest host that is known may use of its processor, in
    /// thousandths of a core.
    pub(super) fn strongest(&self) -> u32 {
        let others = self.strongest.load(Ordering::Relaxed);
        others.max(self.settings.millicores)
    }

    /// Takes in what another host may use of its processor.
    pub(super) fn note_power(&self, millicores: u32) {
        self.strongest.fetch_max(millicores, Ordering::Relaxed);
    }

    /// How many shards this host owns.
    pub(super) fn owned(&self) -> u32 {
        self.owned.load(Ordering::Relaxed)
    }
}

/// The time of day, since 1970.
pub(super) fn wall() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
