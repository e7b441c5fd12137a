//! The arena of workers and the choice among them.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use slotmap::SlotMap;

use super::estimate::Estimates;
use super::interference::Interference;
use super::policy::Policy;
use super::worker::{Contact, Worker, WorkerView};
use crate::configuration::{Size, Weights};
use crate::ids::{HostId, RequestId, ShardId, WorkerKey, mix};
use crate::moment::Moment;
use crate::platform::{HostState, ListedHost};
use crate::workers::{Report, RequestState};

/// How many workers are looked at for one interactive request.
const SAMPLES: usize = 3;
const LEAST_THROTTLE: u32 = 10;
const THROTTLE_STEP: u32 = 5;
/// What the services tolerate when latency and throughput weigh the same.
const DEFAULT_TOLERANCE: f64 = 0.5;

/// The workers of the zone.
#[derive(Debug, Default)]
pub struct Placement {
    workers: SlotMap<WorkerKey, Worker>,
    names: HashMap<String, WorkerKey>,
    shards: BTreeMap<ShardId, Vec<WorkerKey>>,
    /// What was learned of sizes and run times.
    pub estimates: Estimates,
    /// How workers are chosen.
    pub policy: Policy,
    /// The part of each worker's cores that batch work leaves free, in percent.
    pub reserve: u32,
    /// What batch work costs interactive requests.
    pub interference: Interference,
    /// How many times slower batch work may make them; not limited if zero.
    tolerance: f64,
    random: u64,
}

impl Placement {
    /// Takes what the deployment weighs: the more latency counts beside
    /// throughput, the less batch work may slow interactive requests down.
    pub fn weigh(&mut self, weights: Weights) {
        let latency = weights.latency.max(f64::EPSILON);
        self.tolerance = DEFAULT_TOLERANCE * weights.throughput / latency;
    }

    /// Adds a worker of the host list or takes over what the list says of it.
    ///
    /// ```
    /// use lycheelock::configuration::Size;
    /// use lycheelock::ids::ShardId;
    /// use lycheelock::placement::Placement;
    /// use lycheelock::platform::{HostState, ListedHost};
    ///
    /// let host = ListedHost {
    ///     name: "w1".into(), zone: "a".into(), rack: "r".into(), address: "127.0.0.1:1".into(),
    ///     state: HostState::Live, size: Size::default(), slots: 8, connections: 64,
    /// };
    /// let mut placement = Placement::default();
    /// let key = placement.list(&host, ShardId(0));
    /// assert_eq!(placement.find("w1"), Some(key));
    /// ```
    pub fn list(&mut self, host: &ListedHost, shard: ShardId) -> WorkerKey {
        let known = self.names.get(&host.name).copied();
        let key = known.unwrap_or_else(|| self.add(&host.name, &host.address, shard));
        let worker = &mut self.workers[key];
        worker.address.clone_from(&host.address);
        worker.size = host.size;
        worker.slots = host.slots;
        worker.connections = host.connections;
        worker.listed = true;
        worker.leaving = host.state == HostState::Leaving;
        key
    }

    /// Adds a worker that the host list does not have, but that may run tasks.
    pub fn add(&mut self, name: &str, address: &str, shard: ShardId) -> WorkerKey {
        let mut worker = Worker::new(name, address, shard);
        worker.leaving = true;
        let key = self.workers.insert(worker);
        self.names.insert(name.to_owned(), key);
        self.shards.entry(shard).or_default().push(key);
        key
    }

    /// Marks a worker that is no longer listed.
    pub fn unlist(&mut self, name: &str) {
        if let Some(key) = self.names.get(name) {
            let worker = &mut self.workers[*key];
            worker.listed = false;
            worker.leaving = true;
        }
    }

    /// Removes a worker.
    pub fn remove(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.remove(key) {
            self.names.remove(&worker.name);
            if let Some(keys) = self.shards.get_mut(&worker.shard) {
                keys.retain(|each| *each != key);
            }
        }
    }

    /// The worker with this name.
    pub fn find(&self, name: &str) -> Option<WorkerKey> {
        self.names.get(name).copied()
    }

    /// A worker.
    pub fn get(&self, key: WorkerKey) -> Option<&Worker> {
        self.workers.get(key)
    }

    /// A worker, to change.
    pub fn get_mut(&mut self, key: WorkerKey) -> Option<&mut Worker> {
        self.workers.get_mut(key)
    }

    /// The workers of a shard.
    pub fn of_shard(&self, shard: ShardId) -> &[WorkerKey] {
        self.shards.get(&shard).map_or(&[], Vec::as_slice)
    }

    /// Every worker.
    pub fn keys(&self) -> Vec<WorkerKey> {
        self.workers.keys().collect()
    }

    /// Every worker for status pages, by name.
    pub fn views(&self, now: Moment) -> Vec<WorkerView> {
        let mut views: Vec<WorkerView> = self
            .workers
            .values()
            .map(|worker| worker.view(now))
            .collect();
        views.sort_by(|a, b| a.name.cmp(&b.name));
        views
    }

    /// Free slots of the workers of these shards.
    pub fn free_slots(&self, shards: &[ShardId], now: Moment) -> u32 {
        self.usable(shards, now)
            .map(|(_, worker)| worker.free_slots())
            .sum()
    }

    /// All slots of the usable workers of these shards.
    pub fn slots(&self, shards: &[ShardId], now: Moment) -> u32 {
        self.usable(shards, now)
            .map(|(_, worker)| worker.slots)
            .sum()
    }

    fn usable<'a>(
        &'a self,
        shards: &'a [ShardId],
        now: Moment,
    ) -> impl Iterator<Item = (WorkerKey, &'a Worker)> {
        let keys = shards.iter().flat_map(|shard| self.of_shard(*shard));
        keys.map(|key| (*key, &self.workers[*key]))
            .filter(move |(_, worker)| worker.is_usable(now))
    }

    /// Chooses a worker with a free slot for an interactive request, not one
    /// of `avoid` if there is another.
    pub fn pick_slot(
        &mut self,
        shards: &[ShardId],
        avoid: &[WorkerKey],
        now: Moment,
    ) -> Option<WorkerKey> {
        let free: Vec<WorkerKey> = self
            .usable(shards, now)
            .filter(|(_, worker)| worker.free_slots() > 0)
            .map(|(key, _)| key)
            .collect();
        let fresh: Vec<WorkerKey> = free
            .iter()
            .copied()
            .filter(|key| !avoid.contains(key))
            .collect();
        let choice = if fresh.is_empty() { free } else { fresh };
        match self.policy {
            Policy::Fifo => choice.first().copied(),
            Policy::Random => self.sample(&choice),
            Policy::Shipped => {
                let samples: Vec<WorkerKey> =
                    (0..SAMPLES).filter_map(|_| self.sample(&choice)).collect();
                samples
                    .into_iter()
                    .min_by(|a, b| self.cost(*a).total_cmp(&self.cost(*b)))
            }
        }
    }

    /// The expected latency of a request on a worker, in arbitrary units.
    fn cost(&self, key: WorkerKey) -> f64 {
        let worker = &self.workers[key];
        let busy = f64::from(worker.requests()) / f64::from(worker.slots.max(1));
        let slowdown = self.interference.slowdown(worker.load);
        let load = f64::from(worker.load) / 100.0;
        (1.0 + busy) * slowdown.max(1.0 + load * 0.1)
    }

    fn sample(&mut self, keys: &[WorkerKey]) -> Option<WorkerKey> {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let count = keys.len() as u64;
        (count > 0).then(|| keys[(mix(self.random) % count) as usize])
    }

    /// The room for batch work of a worker: its size without the reserve.
    fn room(&self, worker: &Worker) -> Size {
        worker.size.without_reserve(self.reserve)
    }

    /// Whether a worker would have room once `freed` is free.
    pub fn would_fit(&self, key: WorkerKey, freed: Size, size: Size, now: Moment) -> bool {
        self.workers.get(key).is_some_and(|worker| {
            let left = worker.used.minus(freed).plus(size);
            worker.enrolled && worker.is_usable(now) && left.fits(self.room(worker))
        })
    }

    /// Whether any listed worker of the shard could ever hold a task.
    pub fn could_hold(&self, shard: ShardId, size: Size) -> bool {
        let mut keys = self.of_shard(shard).iter();
        keys.any(|key| {
            let worker = &self.workers[*key];
            worker.listed && !worker.leaving && size.fits(self.room(worker))
        })
    }

    /// Cores for batch work on the usable workers of a shard, in thousandths.
    pub fn batch_cores(&self, shard: ShardId, now: Moment) -> u64 {
        let shards = [shard];
        let usable = self.usable(&shards, now);
        usable
            .map(|(_, worker)| u64::from(self.room(worker).cores))
            .sum()
    }

    /// Chooses a worker with room for a batch task, not `avoid` if there is another.
    pub fn pick_room(
        &mut self,
        shard: ShardId,
        size: Size,
        avoid: Option<WorkerKey>,
        now: Moment,
    ) -> Option<WorkerKey> {
        let all: Vec<WorkerKey> = self
            .usable(&[shard], now)
            .filter(|(_, worker)| worker.enrolled)
            .filter(|(_, worker)| worker.used.plus(size).fits(self.room(worker)))
            .map(|(key, _)| key)
            .collect();
        let fresh: Vec<WorkerKey> = all
            .iter()
            .copied()
            .filter(|key| Some(*key) != avoid)
            .collect();
        let fitting = if fresh.is_empty() { all } else { fresh };
        match self.policy {
            Policy::Fifo => fitting.first().copied(),
            Policy::Random => self.sample(&fitting),
            Policy::Shipped => fitting
                .into_iter()
                .min_by(|a, b| self.batch_cost(*a).total_cmp(&self.batch_cost(*b))),
        }
    }

    /// Prefers workers with few interactive requests and little load.
    fn batch_cost(&self, key: WorkerKey) -> f64 {
        let worker = &self.workers[key];
        let used = f64::from(worker.used.cores) / f64::from(worker.size.cores.max(1));
        let busy = f64::from(worker.requests()) / f64::from(worker.slots.max(1));
        let slowdown = self.interference.slowdown(worker.load);
        used * slowdown + busy
    }

    /// Counts an interactive request.
    pub fn take_slot(&mut self, key: WorkerKey, id: RequestId) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.take_slot(id);
        }
    }

    /// Counts a batch task.
    pub fn take_room(&mut self, key: WorkerKey, size: Size) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.used = worker.used.plus(size);
            worker.begin_probe();
        }
    }

    /// Drops a batch task.
    pub fn free_room(&mut self, key: WorkerKey, size: Size) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.used = worker.used.minus(size);
        }
    }

    /// Notes the latency of an answered request.
    pub fn note_latency(&mut self, key: WorkerKey, latency: Duration) {
        if let Some(worker) = self.workers.get(key) {
            self.interference.add(worker.load, latency);
        }
    }

    /// Forgets what is counted for a shard that is gained or lost.
    pub fn reset_shard(&mut self, shard: ShardId) {
        for key in self.of_shard(shard).to_vec() {
            self.workers[key].reset();
        }
    }

    /// Takes what a report says of interactive requests and load. Returns the
    /// requests whose fate became known.
    pub fn on_report(
        &mut self,
        key: WorkerKey,
        report: &Report,
        me: HostId,
        now: Moment,
    ) -> Vec<SettledRequest> {
        let learns = self.policy.learns();
        let allowed = self.interference.allowed_load(1.0 + self.tolerance);
        let Some(worker) = self.workers.get_mut(key) else {
            return Vec::new();
        };
        let rebooted = worker.boot.is_some_and(|boot| boot != report.boot);
        worker.boot = Some(report.boot);
        worker.contact = Contact::Good;
        worker.reported = Some(now);
        worker.load = report.load;
        worker.set_foreign(&report.requests, me);
        if learns {
            adjust_throttle(worker, allowed);
        }
        let fates = match rebooted {
            true => worker
                .doubts()
                .into_iter()
                .map(|id| SettledRequest {
                    id,
                    fate: RequestState::Ended,
                })
                .collect(),
            false => known_fates(worker, report),
        };
        for settled in &fates {
            worker.free_slot(settled.id);
        }
        fates
    }

    /// Notes that a call of `sync` had no answer.
    pub fn on_silence(&mut self, key: WorkerKey, now: Moment) {
        if let Some(worker) = self.workers.get_mut(key)
            && worker.contact == Contact::Good
        {
            worker.contact = Contact::Silent { since: now };
        }
    }
}

/// A request in doubt whose fate became known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SettledRequest {
    /// The request.
    pub id: RequestId,
    /// Its fate; never [`RequestState::Running`].
    pub fate: RequestState,
}

fn known_fates(worker: &Worker, report: &Report) -> Vec<SettledRequest> {
    let known = report
        .resolved
        .iter()
        .filter(|settled| settled.state != RequestState::Running);
    known
        .map(|settled| SettledRequest {
            id: settled.request,
            fate: match worker.was_sent_to(settled.request, report.boot) {
                true => settled.state,
                false => RequestState::Ended,
            },
        })
        .collect()
}

/// Slows batch work down in proportion while it costs the services too much,
/// and lets it go again step by step.
fn adjust_throttle(worker: &mut Worker, allowed: Option<u32>) {
    let over = allowed.filter(|allowed| worker.load > *allowed && worker.requests() > 0);
    worker.throttle = match over {
        Some(allowed) => (worker.throttle * allowed / worker.load).max(LEAST_THROTTLE),
        None => (worker.throttle + THROTTLE_STEP).min(100),
    };
}
