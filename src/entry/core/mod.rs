//! The decisions of one entry host, all slices together.
//!
//! [`Core`] holds no socket, clock or codec. Tests drive it in virtual time;
//! [`Node`](super::Node) drives it in a running daemon.

mod batch;
mod requests;
mod sync;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use slotmap::SecondaryMap;

use crate::admission::Quotas;
use crate::configuration::{Configuration, CurrentConfiguration, Size};
use crate::dispatch::Dispatch;
use crate::drain::Drain;
use crate::ids::{AttemptKey, Epoch, HostId, JobId, RequestId, ShardId, WorkerKey, mix};
use crate::jobs::{Change, Ledger, LedgerSettings, PendingMove, Wall};
use crate::kind::{ErrorKind, Refusal, RetryReason};
use crate::moment::Moment;
use crate::ownership::{
    Action, Announcement, CallId, Gained, Ownership, OwnershipSettings, PeerMessage, Summary,
};
use crate::placement::{Placement, Policy};
use crate::platform::{HostState, ListedHost, StoreOp, StoreReply};
use crate::workers::{Fate, SyncRequest, Ticket};

/// The settings of the decisions.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CoreSettings {
    /// Ownership.
    pub ownership: OwnershipSettings,
    /// The ledgers.
    pub ledger: LedgerSettings,
    /// How workers and tasks are chosen.
    pub policy: Policy,
}

/// What is waited for until the log holds a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Token {
    /// The acceptance of a job.
    Job(JobId),
    /// The cancellation of a job.
    Cancel(JobId),
    /// The intent of a keyed request.
    Key(ShardId, u64),
}

/// What became of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogResult {
    /// It stands in the log.
    Logged,
    /// It may stand in the log.
    Unknown,
    /// It certainly does not.
    NotLogged,
}

/// What is to be done outside.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Call the store and bring the answer to [`Core::on_store`].
    Store {
        /// The call.
        call: CallId,
        /// The operation.
        op: StoreOp,
    },
    /// Send a message to an entry host.
    Send {
        /// The host.
        to: HostId,
        /// The message.
        message: PeerMessage,
    },
    /// Wake a waiting request.
    Wake(AttemptKey),
    /// Tell who waits for a change.
    Logged(Token, LogResult),
    /// Tell who waits for the fate of a request.
    Settled(RequestId, Fate),
    /// Call this worker without delay.
    Call(WorkerKey),
    /// Submit moved tasks to their new shard.
    Move {
        /// The shard that they leave.
        from: ShardId,
        /// The submission.
        pending: PendingMove,
    },
    /// A shard was claimed.
    Claimed {
        /// The shard.
        shard: ShardId,
        /// Whether its former owner had not released it.
        takeover: bool,
    },
}

/// A call of `sync` to a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct SyncCall {
    /// The worker's address.
    pub address: String,
    /// The request.
    pub request: SyncRequest,
}

#[derive(Debug, Default)]
struct Contact {
    epoch: Epoch,
    number: u64,
    ticket: Option<Ticket>,
}

/// The state of one entry host.
#[derive(Debug)]
pub struct Core {
    settings: CoreSettings,
    /// The configuration in force.
    pub current: CurrentConfiguration,
    /// Which shards this host owns.
    pub ownership: Ownership,
    /// The workers.
    pub placement: Placement,
    /// The interactive requests.
    pub dispatch: Dispatch,
    drain: Drain,
    /// The quotas of the teams.
    pub quotas: Quotas,
    ledgers: BTreeMap<ShardId, Ledger>,
    contacts: SecondaryMap<WorkerKey, Contact>,
    effects: VecDeque<Effect>,
    retries: Vec<RetryReason>,
    listed: Vec<ListedHost>,
    next_request: u64,
    next_maintenance: Moment,
}

const MAINTENANCE_GAP: Duration = Duration::from_millis(200);

impl Core {
    /// The state of a process that has just started.
    pub fn new(me: HostId, settings: CoreSettings) -> Self {
        let mut placement = Placement::default();
        placement.policy = settings.policy;
        Self {
            ownership: Ownership::new(me, settings.ownership.clone()),
            settings,
            current: CurrentConfiguration::default(),
            placement,
            dispatch: Dispatch::default(),
            drain: Drain::default(),
            quotas: Quotas::default(),
            ledgers: BTreeMap::new(),
            contacts: SecondaryMap::new(),
            effects: VecDeque::new(),
            retries: Vec::new(),
            listed: Vec::new(),
            next_request: 0,
            next_maintenance: Moment::default(),
        }
    }

    /// Takes the next thing to do outside.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Moment, wall: Wall) {
        let shards = self.acting(now);
        let free = self.placement.free_slots(&shards, now);
        self.summarize(free, now);
        self.ownership.tick(now);
        self.run_actions(now);
        if now >= self.next_maintenance {
            self.next_maintenance = now + MAINTENANCE_GAP;
            self.maintain(&shards, now, wall);
        }
        self.plan(&shards, now, wall);
        self.wake(now);
        self.flush(now);
    }

    fn summarize(&mut self, free: u32, now: Moment) {
        self.ownership.set_summary(Summary {
            revision: self.current.revision(),
            leaving: self.drain.list(now),
            free,
        });
    }

    /// The shards that this host may act for now.
    pub fn acting(&self, now: Moment) -> Vec<ShardId> {
        let owned = self.ledgers.keys().copied();
        owned
            .filter(|shard| self.ownership.may_act(*shard, now))
            .collect()
    }

    fn maintain(&mut self, shards: &[ShardId], now: Moment, wall: Wall) {
        let (listed, current) = (&self.listed, &self.current);
        let holder = |size, number| pick_holder(&holders(listed, current, size), number);
        for shard in shards {
            let Some(ledger) = self.ledgers.get_mut(shard) else {
                continue;
            };
            ledger.maintain(&mut self.placement, now, wall);
            ledger.move_homeless(&self.placement, holder, now);
            for pending in ledger.pending_moves() {
                let from = *shard;
                self.effects.push_back(Effect::Move { from, pending });
            }
        }
    }

    fn plan(&mut self, shards: &[ShardId], now: Moment, wall: Wall) {
        let Some(configuration) = self.current.get() else {
            return;
        };
        for shard in shards {
            let Some(ledger) = self.ledgers.get_mut(shard) else {
                continue;
            };
            ledger.plan(&mut self.placement, configuration, now, wall);
            for key in self.placement.of_shard(*shard) {
                if ledger.has_commands(*key) {
                    self.effects.push_back(Effect::Call(*key));
                }
            }
        }
    }

    /// Hands the ledgers' changes to the logs.
    fn flush(&mut self, now: Moment) {
        for (shard, ledger) in &mut self.ledgers {
            self.retries.extend(ledger.take_retries());
            let changes = ledger.take_changes();
            if !changes.is_empty() {
                self.ownership.append(*shard, changes);
            }
        }
        self.ownership.tick(now);
        self.run_actions(now);
    }

    fn run_actions(&mut self, now: Moment) {
        while let Some(action) = self.ownership.next_action() {
            match action {
                Action::Store { call, op } => self.effects.push_back(Effect::Store { call, op }),
                Action::Send { to, message } => {
                    self.effects.push_back(Effect::Send { to, message });
                }
                Action::Gained(gained) => self.on_gained(gained, now),
                Action::Committed { shard, changes } => self.on_committed(shard, &changes),
                Action::Lost {
                    shard,
                    doubtful,
                    dropped,
                } => self.on_lost(shard, &doubtful, &dropped),
                Action::TakeSnapshot { shard } => {
                    let ledger = self.ledgers.get(&shard);
                    let changes = ledger.map(Ledger::snapshot).unwrap_or_default();
                    self.ownership.snapshot(shard, changes);
                }
            }
        }
    }

    fn on_gained(&mut self, gained: Gained, now: Moment) {
        let shard = gained.shard;
        self.placement.reset_shard(shard);
        let settings = self.settings.ledger.clone();
        let ledger = Ledger::replay(shard, gained.epoch, &gained.changes, settings, now);
        for worker in ledger.roster() {
            if self.placement.find(&worker.name).is_none() {
                self.placement.add(&worker.name, &worker.address, shard);
            }
        }
        self.ledgers.insert(shard, ledger);
        for key in self.placement.of_shard(shard) {
            self.effects.push_back(Effect::Call(*key));
        }
        self.effects.push_back(Effect::Claimed {
            shard,
            takeover: gained.takeover,
        });
    }

    fn on_committed(&mut self, shard: ShardId, changes: &[Change]) {
        if let Some(ledger) = self.ledgers.get_mut(&shard) {
            ledger.commit(changes);
        }
        self.tell(shard, changes, LogResult::Logged);
    }

    fn on_lost(&mut self, shard: ShardId, doubtful: &[Change], dropped: &[Change]) {
        self.tell(shard, doubtful, LogResult::Unknown);
        self.tell(shard, dropped, LogResult::NotLogged);
        if let Some(mut ledger) = self.ledgers.remove(&shard) {
            let unsent = ledger.take_changes();
            self.tell(shard, &unsent, LogResult::NotLogged);
        }
        self.placement.reset_shard(shard);
    }

    fn tell(&mut self, shard: ShardId, changes: &[Change], result: LogResult) {
        for change in changes {
            let token = match change {
                Change::Accepted(record) => Token::Job(record.id),
                Change::Redirected { job, .. } => Token::Job(*job),
                Change::Cancelled { job } => Token::Cancel(*job),
                Change::KeyIntent { key, .. } => Token::Key(shard, *key),
                _ => continue,
            };
            self.effects.push_back(Effect::Logged(token, result));
        }
    }

    /// Takes an answer of the store; none if it is lost.
    pub fn on_store(&mut self, call: CallId, reply: Option<StoreReply>, now: Moment) {
        self.ownership.on_reply(call, reply, now);
        self.run_actions(now);
        self.ownership.tick(now);
        self.run_actions(now);
    }

    /// Takes a message of another entry host.
    pub fn on_peer(&mut self, from: HostId, message: PeerMessage, now: Moment) {
        if let PeerMessage::Heartbeat { leaving, .. } = &message
            && self.drain.on_peer(leaving, now)
        {
            self.mark_leaving();
        }
        self.ownership.on_message(from, message, now);
        self.run_actions(now);
    }

    fn mark_leaving(&mut self) {
        for key in self.placement.keys() {
            if let Some(worker) = self.placement.get_mut(key) {
                worker.leaving = !worker.listed || self.drain.is_leaving(&worker.name);
            }
        }
    }

    /// Takes the announcements of all entry hosts.
    pub fn on_announced(&mut self, all: &[Announcement], now: Moment) {
        self.ownership.on_announced(all, now);
    }

    /// Takes a configuration if it is newer; tells whether it did.
    pub fn on_configuration(&mut self, offered: Configuration, now: Moment) -> bool {
        if !self.current.update_if_newer(offered) {
            return false;
        }
        if let Some(configuration) = self.current.get() {
            let shards = configuration.shards(&self.settings.ownership.zone);
            self.placement.reserve = configuration.reserve();
            self.placement.weigh(configuration.weights);
            self.ownership.set_shards(&shards, now);
        }
        self.summarize(0, now);
        self.ownership.hurry_heartbeats();
        self.place_hosts();
        true
    }

    /// Takes the host list, read at `now`.
    pub fn on_hosts(&mut self, hosts: Vec<ListedHost>, now: Moment) {
        let leaving = hosts.iter().filter(|host| host.state == HostState::Leaving);
        let names = leaving.map(|host| host.name.clone()).collect();
        self.drain.on_list(names, now);
        self.listed = hosts;
        self.place_hosts();
    }

    /// Brings the listed workers into the arena. Without a configuration they
    /// are kept for later, because their shards are not known yet.
    fn place_hosts(&mut self) {
        let hosts = &self.listed;
        if let Some(configuration) = self.current.get() {
            let zone = &self.settings.ownership.zone;
            let near: Vec<&ListedHost> = hosts.iter().filter(|host| host.zone == *zone).collect();
            for host in &near {
                if let Some(shard) = configuration.shard_of(zone, &host.rack) {
                    self.placement.list(host, shard);
                }
            }
            for key in self.placement.keys() {
                let name = self.placement.get(key).map(|worker| worker.name.clone());
                let name = name.unwrap_or_default();
                if !near.iter().any(|host| host.name == name) {
                    self.placement.unlist(&name);
                }
            }
        }
        self.mark_leaving();
    }

    /// The shard that holds a key or job, and the host that owns it.
    pub fn home(&self, shard: ShardId, now: Moment) -> Home {
        if self.ledgers.contains_key(&shard) {
            return match self.ownership.may_act(shard, now) {
                true => Home::Here,
                false => Home::Nowhere,
            };
        }
        match self.ownership.owner(shard, now) {
            Some(host) if host != self.ownership.me() => Home::Peer(host),
            _ => Home::Nowhere,
        }
    }

    /// The configuration in force.
    ///
    /// # Errors
    ///
    /// Refuses before the first.
    pub fn configuration(&self) -> Result<&Configuration, Refusal> {
        self.current.get().ok_or_else(|| {
            let message = "this entry host has no configuration yet";
            Refusal::new(ErrorKind::NotReady, message)
        })
    }

    /// Why nothing can be logged for a shard now: it is not this host's, or
    /// the store is out of reach.
    fn cannot_log(&self, shard: ShardId, now: Moment) -> Option<Refusal> {
        if !self.ownership.may_act(shard, now) {
            return Some(not_owner(shard));
        }
        if !self.ownership.is_leased(now) {
            let message = "the platform's store is out of reach; nothing was done";
            return Some(Refusal::new(ErrorKind::StoreUnavailable, message));
        }
        None
    }

    /// Takes the retries since the last call, for counters.
    pub fn take_retries(&mut self) -> Vec<RetryReason> {
        let mut retries = std::mem::take(&mut self.retries);
        retries.extend(self.dispatch.take_retries());
        retries
    }

    /// The counts of all ledgers: started, finished and evicted tasks.
    pub fn task_counts(&self) -> TaskCounts {
        let mut counts = TaskCounts::default();
        for ledger in self.ledgers.values() {
            counts.started += ledger.started;
            counts.finished += ledger.finished;
            counts.evicted += ledger.evicted;
        }
        counts
    }

    /// The ledger of a shard that this host owns.
    pub fn ledger(&self, shard: ShardId) -> Option<&Ledger> {
        self.ledgers.get(&shard)
    }

    /// The ledger of a shard that this host owns, to change.
    pub fn ledger_mut(&mut self, shard: ShardId) -> Option<&mut Ledger> {
        self.ledgers.get_mut(&shard)
    }
}

/// A request that was taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrived {
    /// Its key.
    pub key: AttemptKey,
    /// What happens first.
    pub next: Next,
}

/// What happens to a request next, with its slot taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// Send it to this worker, and give up after this time.
    Send {
        /// The worker.
        worker: WorkerKey,
        /// How long the attempt may take.
        patience: Duration,
        /// The attempt, which counts against the worker's slots.
        attempted: Attempted,
    },
    /// Pass it on to this entry host.
    Pass(HostId),
    /// Wait to be woken, at most until this point.
    Wait(Moment),
    /// Answer with a refusal.
    Refuse(ErrorKind),
}

/// An attempt that may be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempted {
    /// Its id.
    pub id: RequestId,
    /// The shard.
    pub shard: ShardId,
    /// The owner's epoch.
    pub epoch: Epoch,
    /// The worker's address.
    pub address: String,
}

/// Where a shard is served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Home {
    /// By this host.
    Here,
    /// By another one.
    Peer(HostId),
    /// By none that can be reached.
    Nowhere,
}

/// Counts of batch tasks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TaskCounts {
    /// Tasks given to a worker.
    pub started: u64,
    /// Tasks that finished.
    pub finished: u64,
    /// Tasks that were evicted.
    pub evicted: u64,
}

fn holders(listed: &[ListedHost], current: &CurrentConfiguration, size: Size) -> Vec<ShardId> {
    let Some(configuration) = current.get() else {
        return Vec::new();
    };
    let reserve = configuration.reserve();
    let fitting = listed.iter().filter(|host| {
        let room = host.size.without_reserve(reserve);
        host.state == HostState::Live && size.fits(room)
    });
    let shards = fitting.filter_map(|host| configuration.shard_of(&host.zone, &host.rack));
    shards.collect::<BTreeSet<ShardId>>().into_iter().collect()
}

/// The same holder for the same job, spread over all of them.
fn pick_holder(holders: &[ShardId], number: u64) -> Option<ShardId> {
    let count = holders.len() as u64;
    (count > 0).then(|| holders[(mix(number) % count) as usize])
}

fn not_owner(shard: ShardId) -> Refusal {
    let message = format!("no entry host that owns shard {shard} can be reached");
    Refusal::new(ErrorKind::OwnerUnavailable, message)
}

fn unknown_job(job: JobId) -> Refusal {
    Refusal::new(ErrorKind::UnknownJob, format!("job {job} is not known"))
}
