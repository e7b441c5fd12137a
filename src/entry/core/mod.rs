//! The decision logic of one entry host, with the state of ownership, placement,
//! dispatch, quotas and job ledgers.
//!
//! [`Core`] holds no socket, clock or codec. Tests run it in virtual time; in a
//! daemon, [`Node`](super::Node) feeds it events and executes its effects.

mod batch;
mod evacuation;
mod log;
mod messages;
mod requests;
mod sync;

pub use evacuation::EvacuationView;
pub use messages::{
    ArrivedRequest, Effect, LogResult, NextStep, PendingChange, RequestAttempt, ShardOwner,
    SyncCall, TaskCounts,
};

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use slotmap::SecondaryMap;

use crate::admission::Quotas;
use crate::configuration::{Configuration, CurrentConfiguration, Size};
use crate::dispatch::Dispatch;
use crate::drain::{EvacuatedZones, LeavingWorkers, ZoneState};
use crate::ids::{Epoch, HostId, JobId, ShardId, WorkerKey, mix};
use crate::jobs::{Ledger, LedgerSettings, WallClock};
use crate::kind::{ErrorKind, Refusal, RetryReason};
use crate::moment::Moment;
use crate::ownership::{Announcement, HostSummary, Ownership, OwnershipSettings, PeerMessage};
use crate::placement::{Placement, Policy};
use crate::platform::{HostState, ListedHost};
use crate::workers::{BootId, Ticket};

/// Settings of the decision logic.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CoreSettings {
    /// Settings of shard ownership.
    pub ownership: OwnershipSettings,
    /// Settings of the job ledgers.
    pub ledger: LedgerSettings,
    /// How a worker is chosen for requests and tasks.
    pub policy: Policy,
}

/// The last `sync` call to one worker and its ticket for the next one.
#[derive(Debug, Default)]
struct SyncState {
    /// Epoch of the last call.
    epoch: Epoch,
    /// Number of the last call. All workers share one count, so that the numbers of a
    /// worker that is removed and added again in an epoch go on growing.
    number: u64,
    /// Address of the last call.
    address: String,
    /// Ticket of the last report; `None` before the first report of the epoch from
    /// this address.
    ticket: Option<Ticket>,
    /// Process that sent this report.
    boot: Option<BootId>,
}

/// The state of one entry host and the decisions on it.
#[derive(Debug)]
pub struct Core {
    settings: CoreSettings,
    /// Configuration in force, if any.
    pub current: CurrentConfiguration,
    /// State of shard ownership.
    pub ownership: Ownership,
    /// Workers of the zone and their usage.
    pub placement: Placement,
    /// Interactive requests in progress.
    pub dispatch: Dispatch,
    leaving: LeavingWorkers,
    evacuated: EvacuatedZones,
    /// Quotas of the teams.
    pub quotas: Quotas,
    ledgers: BTreeMap<ShardId, Ledger>,
    sync_states: SecondaryMap<WorkerKey, SyncState>,
    /// Number of the last `sync` call to any worker.
    last_sync: u64,
    effects: VecDeque<Effect>,
    retries: Vec<RetryReason>,
    /// Host list of all zones, as read last.
    listed: Vec<ListedHost>,
    next_request: u64,
    next_maintenance: Moment,
}

/// Interval between maintenance passes over the ledgers.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(200);

impl Core {
    /// Creates the state of a process that has just started.
    pub fn new(me: HostId, settings: CoreSettings) -> Self {
        let mut placement = Placement::default();
        placement.policy = settings.policy;
        placement.zone = ZoneState::Unknown;
        Self {
            ownership: Ownership::new(me, settings.ownership.clone()),
            settings,
            current: CurrentConfiguration::default(),
            placement,
            dispatch: Dispatch::default(),
            leaving: LeavingWorkers::default(),
            evacuated: EvacuatedZones::default(),
            quotas: Quotas::default(),
            ledgers: BTreeMap::new(),
            sync_states: SecondaryMap::new(),
            last_sync: 0,
            effects: VecDeque::new(),
            retries: Vec::new(),
            listed: Vec::new(),
            next_request: 0,
            next_maintenance: Moment::default(),
        }
    }

    /// Removes and returns the next effect to execute.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Runs all periodic work that is due.
    pub fn tick(&mut self, now: Moment, wall: WallClock) {
        let shards = self.acting_shards(now);
        let free = self.placement.free_slots(&shards, now);
        self.update_summary(free, now);
        self.ownership.tick(now);
        self.run_actions(now);
        if now >= self.next_maintenance {
            self.next_maintenance = now + MAINTENANCE_INTERVAL;
            self.maintain(&shards, now, wall);
        }
        self.plan(&shards, now, wall);
        self.wake(now);
        self.flush(now);
    }

    fn update_summary(&mut self, free: u32, now: Moment) {
        self.ownership.set_summary(HostSummary {
            revision: self.current.revision(),
            leaving: self.leaving.list(now),
            evacuated: self.evacuated.list().clone(),
            remaining: self.remaining(now),
            free,
        });
    }

    /// Returns the shards that this host may act for now.
    pub fn acting_shards(&self, now: Moment) -> Vec<ShardId> {
        let owned = self.ledgers.keys().copied();
        owned
            .filter(|shard| self.ownership.may_act(*shard, now))
            .collect()
    }

    fn maintain(&mut self, shards: &[ShardId], now: Moment, wall: WallClock) {
        let (listed, current, evacuated) = (&self.listed, &self.current, &self.evacuated);
        let pick = |size, number| {
            let shards = fitting_shards(listed, current, evacuated, size);
            pick_shard(&shards, number)
        };
        for shard in shards {
            let Some(ledger) = self.ledgers.get_mut(shard) else {
                continue;
            };
            ledger.maintain(&mut self.placement, now, wall);
            ledger.move_unplaceable(&self.placement, pick, now);
            for pending in ledger.pending_moves() {
                let from = *shard;
                self.effects.push_back(Effect::Move { from, pending });
            }
        }
    }

    fn plan(&mut self, shards: &[ShardId], now: Moment, wall: WallClock) {
        let Some(configuration) = self.current.get() else {
            return;
        };
        for shard in shards {
            let Some(ledger) = self.ledgers.get_mut(shard) else {
                continue;
            };
            if self.placement.zone == ZoneState::Evacuated {
                ledger.withdraw_unsent(&mut self.placement, now);
            }
            ledger.plan(&mut self.placement, configuration, now, wall);
            for key in self.placement.of_shard(*shard) {
                if ledger.has_unsent_starts(*key) {
                    self.effects.push_back(Effect::Sync(*key));
                }
            }
        }
    }

    /// Handles a message of another entry host.
    pub fn on_peer_message(&mut self, from: HostId, message: PeerMessage, now: Moment) {
        if let PeerMessage::Heartbeat { leaving, .. } = &message
            && self.leaving.on_peer_list(leaving, now)
        {
            self.mark_leaving();
        }
        if let PeerMessage::Heartbeat { evacuated, .. } = &message {
            self.on_evacuated_list(evacuated, now);
        }
        self.ownership.on_message(from, message, now);
        self.run_actions(now);
    }

    fn mark_leaving(&mut self) {
        for key in self.placement.keys() {
            if let Some(worker) = self.placement.get_mut(key) {
                worker.leaving = !worker.listed || self.leaving.is_leaving(&worker.name);
            }
        }
    }

    /// Handles the announcements of all entry hosts.
    pub fn on_announced(&mut self, all: &[Announcement], now: Moment) {
        self.ownership.on_announcements(all, now);
    }

    /// Puts a configuration into force if it is newer than the current one and
    /// returns whether it did.
    pub fn on_configuration(&mut self, offered: Configuration, now: Moment) -> bool {
        if !self.current.update_if_newer(offered) {
            return false;
        }
        if let Some(configuration) = self.current.get() {
            let shards = configuration.shards(&self.settings.ownership.zone);
            self.placement.reserve = configuration.reserve();
            self.placement.set_weights(configuration.weights);
            self.ownership.set_shards(&shards, now);
        }
        self.update_summary(0, now);
        self.ownership.trigger_heartbeats();
        self.update_workers();
        true
    }

    /// Handles the host list, read at `now`.
    pub fn on_hosts(&mut self, hosts: Vec<ListedHost>, now: Moment) {
        let leaving = hosts.iter().filter(|host| host.state == HostState::Leaving);
        let names = leaving.map(|host| host.name.clone()).collect();
        self.leaving.on_host_list(names, now);
        self.listed = hosts;
        self.update_workers();
    }

    /// Adds the listed workers of this zone to the placement and marks those no
    /// longer listed. Does neither before the first configuration, because the
    /// shards of the workers are not known yet.
    fn update_workers(&mut self) {
        let hosts = &self.listed;
        if let Some(configuration) = self.current.get() {
            let zone = &self.settings.ownership.zone;
            let local: Vec<&ListedHost> = hosts.iter().filter(|host| host.zone == *zone).collect();
            for host in &local {
                if let Some(shard) = configuration.shard_of(zone, &host.rack) {
                    self.placement.upsert_listed(host, shard);
                }
            }
            for key in self.placement.keys() {
                let name = self.placement.get(key).map(|worker| worker.name.clone());
                let name = name.unwrap_or_default();
                if !local.iter().any(|host| host.name == name) {
                    self.placement.unlist(&name);
                }
            }
        }
        self.mark_leaving();
    }

    /// Returns which host serves a shard.
    pub fn shard_owner(&self, shard: ShardId, now: Moment) -> ShardOwner {
        if self.ledgers.contains_key(&shard) {
            return match self.ownership.may_act(shard, now) {
                true => ShardOwner::Local,
                false => ShardOwner::Unreachable,
            };
        }
        match self.ownership.owner(shard, now) {
            Some(host) if host != self.ownership.me() => ShardOwner::Peer(host),
            _ => ShardOwner::Unreachable,
        }
    }

    /// Returns the configuration in force.
    ///
    /// # Errors
    ///
    /// Refuses with [`ErrorKind::NotReady`] before the first configuration.
    pub fn configuration(&self) -> Result<&Configuration, Refusal> {
        self.current.get().ok_or_else(|| {
            let message = "this entry host has no configuration yet";
            Refusal::new(ErrorKind::NotReady, message)
        })
    }

    /// Returns a refusal if nothing can be logged for a shard now, because this
    /// host may not act for it or the store is out of reach.
    fn cannot_log(&self, shard: ShardId, now: Moment) -> Option<Refusal> {
        if !self.ownership.may_act(shard, now) {
            return Some(owner_unreachable(shard));
        }
        if !self.ownership.is_leased(now) {
            let message = "the platform's store is out of reach; nothing was done";
            return Some(Refusal::new(ErrorKind::StoreUnavailable, message));
        }
        None
    }

    /// Removes and returns the reasons of the retries since the last call, for
    /// counters.
    pub fn take_retries(&mut self) -> Vec<RetryReason> {
        let mut retries = std::mem::take(&mut self.retries);
        retries.extend(self.dispatch.take_retries());
        retries
    }

    /// Returns the task counts, summed over all ledgers.
    pub fn task_counts(&self) -> TaskCounts {
        let mut counts = TaskCounts::default();
        for ledger in self.ledgers.values() {
            counts.started += ledger.started;
            counts.finished += ledger.finished;
            counts.evicted += ledger.evicted;
            counts.withdrawn += ledger.withdrawn;
        }
        counts
    }

    /// Returns the ledger of a shard, or `None` if this host does not own it.
    pub fn ledger(&self, shard: ShardId) -> Option<&Ledger> {
        self.ledgers.get(&shard)
    }

    /// Returns the ledger of a shard for modification, or `None` if this host
    /// does not own it.
    pub fn ledger_mut(&mut self, shard: ShardId) -> Option<&mut Ledger> {
        self.ledgers.get_mut(&shard)
    }
}

/// Returns the shards of all zones that are not evacuated with a live worker that a
/// task of this size fits on.
fn fitting_shards(
    listed: &[ListedHost],
    current: &CurrentConfiguration,
    evacuated: &EvacuatedZones,
    size: Size,
) -> Vec<ShardId> {
    let Some(configuration) = current.get() else {
        return Vec::new();
    };
    let reserve = configuration.reserve();
    let fitting = listed.iter().filter(|host| {
        let capacity = host.size.without_reserve(reserve);
        let open = host.state == HostState::Live && !evacuated.is_evacuated(&host.zone);
        open && size.fits(capacity)
    });
    let shards = fitting.filter_map(|host| configuration.shard_of(&host.zone, &host.rack));
    shards.collect::<BTreeSet<ShardId>>().into_iter().collect()
}

/// Chooses one of the shards by the job's number, so that a job always gets the
/// same shard and jobs spread evenly over all of them.
fn pick_shard(shards: &[ShardId], number: u64) -> Option<ShardId> {
    let count = shards.len() as u64;
    (count > 0).then(|| shards[(mix(number) % count) as usize])
}

fn owner_unreachable(shard: ShardId) -> Refusal {
    let message = format!("no entry host that owns shard {shard} can be reached");
    Refusal::new(ErrorKind::OwnerUnavailable, message)
}

fn unknown_job(job: JobId) -> Refusal {
    Refusal::new(ErrorKind::UnknownJob, format!("job {job} is not known"))
}
