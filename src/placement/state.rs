//! The arena of workers and the selection of one of them.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use slotmap::SlotMap;

use super::estimate::Estimates;
use super::interference::Interference;
use super::policy::Policy;
use super::worker::{Contact, Worker, WorkerView};
use crate::configuration::{Size, Weights};
use crate::drain::{RemainingWork, ZoneState};
use crate::ids::{HostId, RequestId, ShardId, WorkerKey, mix};
use crate::moment::Moment;
use crate::platform::{HostState, ListedHost};
use crate::workers::{Report, RequestState, TaskState};

/// Number of random workers compared for one interactive request.
const SAMPLED_WORKERS: usize = 3;
/// Lowest speed limit of batch tasks, in percent of full speed.
const MIN_BATCH_SPEED: u32 = 10;
/// Percentage points by which the speed limit rises with each report while the
/// load is not too high.
const BATCH_SPEED_STEP: u32 = 5;
/// Tolerated slowdown of interactive requests, as a fraction of their latency
/// without load, when latency and throughput have equal weights.
const DEFAULT_TOLERANCE: f64 = 0.5;

/// The workers of the zone and what was learned about their work.
#[derive(Debug, Default)]
pub struct Placement {
    workers: SlotMap<WorkerKey, Worker>,
    names: HashMap<String, WorkerKey>,
    shards: BTreeMap<ShardId, Vec<WorkerKey>>,
    /// Learned run times and used cores of batch tasks.
    pub estimates: Estimates,
    /// How a worker is chosen.
    pub policy: Policy,
    /// Whether the workers may be given work; they all belong to one availability zone.
    pub zone: ZoneState,
    /// Percentage of each worker's cores that batch tasks leave free.
    pub reserve: u32,
    /// Learned slowdown of interactive requests by batch work.
    pub interference: Interference,
    /// Slowdown of interactive requests that batch work may cause, as a
    /// fraction of their latency without load.
    tolerance: f64,
    /// State of the pseudo-random generator for [`Self::sample`].
    rng_state: u64,
}

impl Placement {
    /// Sets the weights of the deployment: the higher the weight of latency
    /// relative to throughput, the less batch work may slow interactive
    /// requests down.
    pub fn set_weights(&mut self, weights: Weights) {
        let latency = weights.latency.max(f64::EPSILON);
        self.tolerance = DEFAULT_TOLERANCE * weights.throughput / latency;
    }

    /// Adds a worker from the host list, or updates a known one. A known worker is
    /// called at its former address until [`Worker::move_to`].
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
    /// let key = placement.upsert_listed(&host, ShardId(0));
    /// assert_eq!(placement.find("w1"), Some(key));
    /// ```
    pub fn upsert_listed(&mut self, host: &ListedHost, shard: ShardId) -> WorkerKey {
        let known = self.names.get(&host.name).copied();
        let key = known.unwrap_or_else(|| self.add(&host.name, &host.address, shard));
        let worker = &mut self.workers[key];
        worker.listed_address.clone_from(&host.address);
        worker.size = host.size;
        worker.slots = host.slots;
        worker.connections = host.connections;
        worker.listed = true;
        worker.leaving = host.state == HostState::Leaving;
        key
    }

    /// Adds a worker that is not in the host list but may still run tasks.
    pub fn add(&mut self, name: &str, address: &str, shard: ShardId) -> WorkerKey {
        let mut worker = Worker::new(name, address, shard);
        worker.leaving = true;
        let key = self.workers.insert(worker);
        self.names.insert(name.to_owned(), key);
        self.shards.entry(shard).or_default().push(key);
        key
    }

    /// Marks a worker as no longer listed.
    pub fn unlist(&mut self, name: &str) {
        if let Some(key) = self.names.get(name) {
            let worker = &mut self.workers[*key];
            worker.listed = false;
            worker.leaving = true;
        }
    }

    /// Removes a worker and its key.
    pub fn remove(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.remove(key) {
            self.names.remove(&worker.name);
            if let Some(keys) = self.shards.get_mut(&worker.shard) {
                keys.retain(|each| *each != key);
            }
        }
    }

    /// Finds a worker by name.
    pub fn find(&self, name: &str) -> Option<WorkerKey> {
        self.names.get(name).copied()
    }

    /// Returns a worker, or `None` if it was removed.
    pub fn get(&self, key: WorkerKey) -> Option<&Worker> {
        self.workers.get(key)
    }

    /// Returns a worker for modification, or `None` if it was removed.
    pub fn get_mut(&mut self, key: WorkerKey) -> Option<&mut Worker> {
        self.workers.get_mut(key)
    }

    /// Returns the workers of a shard.
    pub fn of_shard(&self, shard: ShardId) -> &[WorkerKey] {
        self.shards.get(&shard).map_or(&[], Vec::as_slice)
    }

    /// Returns the keys of all workers.
    pub fn keys(&self) -> Vec<WorkerKey> {
        self.workers.keys().collect()
    }

    /// Returns all workers for status pages, sorted by name.
    pub fn views(&self, now: Moment) -> Vec<WorkerView> {
        let mut views: Vec<WorkerView> = self
            .workers
            .values()
            .map(|worker| worker.view(self.zone, now))
            .collect();
        views.sort_by(|a, b| a.name.cmp(&b.name));
        views
    }

    /// Returns the number of free slots on the usable workers of these shards.
    pub fn free_slots(&self, shards: &[ShardId], now: Moment) -> u32 {
        self.usable(shards, now)
            .map(|(_, worker)| worker.free_slots())
            .sum()
    }

    /// Returns the number of slots, free or not, on the usable workers of these
    /// shards.
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
            .filter(move |(_, worker)| self.may_use(worker, now))
    }

    /// Whether a worker may be given new work.
    fn may_use(&self, worker: &Worker, now: Moment) -> bool {
        self.zone == ZoneState::InUse && worker.is_usable(now)
    }

    /// Returns what still runs on the workers of these shards, by their last reports.
    pub fn remaining(&self, shards: &[ShardId]) -> RemainingWork {
        let mut remaining = RemainingWork::default();
        for key in shards.iter().flat_map(|shard| self.of_shard(*shard)) {
            let worker = &self.workers[*key];
            remaining.requests += worker.requests();
            remaining.tasks += worker.running;
            remaining.silent += u32::from(worker.contact != Contact::Reachable);
        }
        remaining
    }

    /// Chooses a worker with a free slot for an interactive request. Workers in
    /// `avoid` are chosen only if there is no other.
    pub fn pick_for_request(
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
        let preferred: Vec<WorkerKey> = free
            .iter()
            .copied()
            .filter(|key| !avoid.contains(key))
            .collect();
        let candidates = if preferred.is_empty() {
            free
        } else {
            preferred
        };
        match self.policy {
            Policy::Fifo => candidates.first().copied(),
            Policy::Random => self.sample(&candidates),
            Policy::Shipped => {
                let samples: Vec<WorkerKey> = (0..SAMPLED_WORKERS)
                    .filter_map(|_| self.sample(&candidates))
                    .collect();
                samples
                    .into_iter()
                    .min_by(|a, b| self.request_cost(*a).total_cmp(&self.request_cost(*b)))
            }
        }
    }

    /// Returns the expected latency of a request on a worker, in arbitrary units.
    fn request_cost(&self, key: WorkerKey) -> f64 {
        let worker = &self.workers[key];
        let busy = f64::from(worker.requests()) / f64::from(worker.slots.max(1));
        let slowdown = self.interference.slowdown(worker.load);
        let load = f64::from(worker.load) / 100.0;
        (1.0 + busy) * slowdown.max(1.0 + load * 0.1)
    }

    fn sample(&mut self, keys: &[WorkerKey]) -> Option<WorkerKey> {
        self.rng_state = self.rng_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let count = keys.len() as u64;
        (count > 0).then(|| keys[(mix(self.rng_state) % count) as usize])
    }

    /// Returns the capacity of a worker for batch tasks: its size without the
    /// reserve.
    fn batch_capacity(&self, worker: &Worker) -> Size {
        worker.size.without_reserve(self.reserve)
    }

    /// Whether a task of this size would fit on a worker once `freed` is released.
    pub fn would_fit(&self, key: WorkerKey, freed: Size, size: Size, now: Moment) -> bool {
        self.workers.get(key).is_some_and(|worker| {
            let left = worker.used.minus(freed).plus(size);
            worker.in_roster && self.may_use(worker, now) && left.fits(self.batch_capacity(worker))
        })
    }

    /// Whether a task of this size would fit on an empty worker of the shard that is
    /// listed and not leaving, and the zone is not evacuated.
    pub fn could_hold(&self, shard: ShardId, size: Size) -> bool {
        self.zone != ZoneState::Evacuated && self.has_fitting(shard, size)
    }

    /// Whether a task of this size would fit on an empty worker of the shard that is
    /// listed and not leaving, even if it has to wait until an evacuation ends.
    pub fn has_fitting(&self, shard: ShardId, size: Size) -> bool {
        let mut keys = self.of_shard(shard).iter();
        keys.any(|key| {
            let worker = &self.workers[*key];
            worker.listed && !worker.leaving && size.fits(self.batch_capacity(worker))
        })
    }

    /// Returns the cores for batch tasks on the usable workers of a shard, in
    /// millicores.
    pub fn batch_cores(&self, shard: ShardId, now: Moment) -> u64 {
        let shards = [shard];
        let usable = self.usable(&shards, now);
        usable
            .map(|(_, worker)| u64::from(self.batch_capacity(worker).millicores))
            .sum()
    }

    /// Chooses a worker with free capacity for a batch task. The worker `avoid`
    /// is chosen only if there is no other.
    pub fn pick_for_batch(
        &mut self,
        shard: ShardId,
        size: Size,
        avoid: Option<WorkerKey>,
        now: Moment,
    ) -> Option<WorkerKey> {
        let all: Vec<WorkerKey> = self
            .usable(&[shard], now)
            .filter(|(_, worker)| worker.in_roster)
            .filter(|(_, worker)| worker.used.plus(size).fits(self.batch_capacity(worker)))
            .map(|(key, _)| key)
            .collect();
        let preferred: Vec<WorkerKey> = all
            .iter()
            .copied()
            .filter(|key| Some(*key) != avoid)
            .collect();
        let fitting = if preferred.is_empty() { all } else { preferred };
        match self.policy {
            Policy::Fifo => fitting.first().copied(),
            Policy::Random => self.sample(&fitting),
            Policy::Shipped => fitting
                .into_iter()
                .min_by(|a, b| self.batch_cost(*a).total_cmp(&self.batch_cost(*b))),
        }
    }

    /// Returns the cost of a batch task on a worker, in arbitrary units; low for
    /// workers with few interactive requests and little load.
    fn batch_cost(&self, key: WorkerKey) -> f64 {
        let worker = &self.workers[key];
        let used = f64::from(worker.used.millicores) / f64::from(worker.size.millicores.max(1));
        let busy = f64::from(worker.requests()) / f64::from(worker.slots.max(1));
        let slowdown = self.interference.slowdown(worker.load);
        used * slowdown + busy
    }

    /// Occupies a slot of a worker for an interactive request.
    pub fn take_slot(&mut self, key: WorkerKey, id: RequestId) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.take_slot(id);
        }
    }

    /// Counts a batch task of a former owner that already runs on a worker. Unlike a new
    /// one it is no probe, which only a worker whose quarantine has ended is given.
    pub fn adopt(&mut self, key: WorkerKey, size: Size) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.used = worker.used.plus(size);
        }
    }

    /// Allocates capacity of a worker for a batch task that is to start.
    pub fn allocate(&mut self, key: WorkerKey, size: Size) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.used = worker.used.plus(size);
            worker.begin_probe();
        }
    }

    /// Releases the capacity of a batch task.
    pub fn release(&mut self, key: WorkerKey, size: Size) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.used = worker.used.minus(size);
        }
    }

    /// Records the latency of an answered request.
    pub fn record_latency(&mut self, key: WorkerKey, latency: Duration) {
        if let Some(worker) = self.workers.get(key) {
            self.interference.add(worker.load, latency);
        }
    }

    /// Clears the counts of the workers of a shard that was gained or lost.
    pub fn reset_shard(&mut self, shard: ShardId) {
        for key in self.of_shard(shard).to_vec() {
            self.workers[key].reset();
        }
    }

    /// Applies what a worker reports about interactive requests and load.
    /// Returns the requests that were resolved.
    pub fn on_report(
        &mut self,
        key: WorkerKey,
        report: &Report,
        me: HostId,
        now: Moment,
    ) -> Vec<ResolvedRequest> {
        let learns = self.policy.learns();
        let allowed = self.interference.allowed_load(1.0 + self.tolerance);
        let Some(worker) = self.workers.get_mut(key) else {
            return Vec::new();
        };
        let restarted = worker.boot.is_some_and(|boot| boot != report.boot);
        worker.boot = Some(report.boot);
        worker.contact = Contact::Reachable;
        worker.last_report = Some(now);
        worker.load = report.load;
        let running = report.tasks.iter();
        let running = running.filter(|task| task.state == TaskState::Running);
        worker.running = running.count() as u32;
        worker.set_foreign_requests(&report.requests, me);
        if learns {
            adjust_batch_speed(worker, allowed);
        }
        let resolved = match restarted {
            true => worker
                .unresolved()
                .into_iter()
                .map(|id| ResolvedRequest {
                    id,
                    state: RequestState::Ended,
                })
                .collect(),
            false => resolved_requests(worker, report),
        };
        for request in &resolved {
            worker.release_slot(request.id);
        }
        resolved
    }

    /// Records that a `sync` call had no answer.
    pub fn on_silence(&mut self, key: WorkerKey, now: Moment) {
        if let Some(worker) = self.workers.get_mut(key)
            && worker.contact == Contact::Reachable
        {
            worker.contact = Contact::Silent { since: now };
        }
    }
}

/// A request with a lost answer of which it is now known whether it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResolvedRequest {
    /// Id of the request.
    pub id: RequestId,
    /// Final state of the request; never [`RequestState::Running`].
    pub state: RequestState,
}

/// Returns the requests of a report whose state is final. Only the process that a
/// request was sent to knows whether it ran; if that process is gone, the
/// request has ended with it.
fn resolved_requests(worker: &Worker, report: &Report) -> Vec<ResolvedRequest> {
    let known = report
        .resolved
        .iter()
        .filter(|reported| reported.state != RequestState::Running);
    known
        .map(|reported| ResolvedRequest {
            id: reported.request,
            state: match worker.was_sent_to(reported.request, report.boot) {
                true => reported.state,
                false => RequestState::Ended,
            },
        })
        .collect()
}

/// Lowers the speed limit of batch tasks in proportion to the excess load while
/// interactive requests are slowed down too much, and raises it again in steps.
fn adjust_batch_speed(worker: &mut Worker, allowed: Option<u32>) {
    let over = allowed.filter(|allowed| worker.load > *allowed && worker.requests() > 0);
    worker.batch_speed = match over {
        Some(allowed) => (worker.batch_speed * allowed / worker.load).max(MIN_BATCH_SPEED),
        None => (worker.batch_speed + BATCH_SPEED_STEP).min(100),
    };
}
