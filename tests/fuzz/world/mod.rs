//! Several entry hosts, a store and workers in virtual time: the shipped
//! decisions, with small fakes at their interfaces.

pub mod oracle;
pub mod requests;
pub mod step;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lycheelock::configuration::{
    CONFIGURATION_KEY, Class, Configuration, Publication, PublishOutcome, PublishStep, Size,
    StoredConfiguration, Team, Zone,
};
use lycheelock::entry::{Core, CoreSettings, Effect, LogResult, Token};
use lycheelock::ids::{HostId, JobId, ShardId, WorkerKey};
use lycheelock::jobs::{
    Change, JobSpec, KeyOutcome, KeyStep, LedgerSettings, PendingMove, Submission, Wall,
};
use lycheelock::moment::Moment;
use lycheelock::ownership::{Announcement, CallId, OwnershipSettings, PeerMessage};
use lycheelock::platform::{Entry, Expect, HostState, ListedHost, StoreOp, StoreReply};
use lycheelock::standins::store::Store;
use lycheelock::standins::tasks::TaskModel;
use lycheelock::workers::{BootId, Fate, SyncReply, SyncRequest, TICKET_LIFE};

use oracle::Oracle;
use requests::{Flight, Serving};

pub const ZONE: &str = "z";
pub const HOSTS: usize = 3;
pub const WORKERS: usize = 4;
const SHARDS: u16 = 2;
const TICK: Duration = Duration::from_millis(50);
/// One reading of the host list and one heartbeat, in ticks.
const LEARNING_TICKS: u32 = 32;
const PATIENCE: Duration = Duration::from_secs(2);
const SYNC_GAP: Duration = Duration::from_secs(1);
const ROOM: Size = Size {
    cores: 4000,
    memory: 4000,
    accelerators: 0,
};

/// One entry host: a process, and what the network does to it.
pub struct Host {
    pub core: Core,
    pub id: HostId,
    pub paused: bool,
    /// The host cannot reach the store.
    pub cut_off: bool,
    /// Operations of this host reach the store this much later.
    pub store_delay: Duration,
    next_sync: BTreeMap<WorkerKey, Moment>,
}

/// One worker.
pub struct Worker {
    pub model: TaskModel,
    pub serving: Serving,
    pub host: ListedHost,
    /// Calls do not arrive.
    pub silent: bool,
    /// Calls arrive this much later.
    pub delay: Duration,
    /// Since when every host could know that it leaves.
    pub leaving_since: Option<Moment>,
    /// For how many ticks each host could learn that it leaves.
    pub chances: [u32; HOSTS],
    boots: u64,
}

struct StoreCall {
    host: usize,
    id: HostId,
    call: CallId,
    op: Option<StoreOp>,
    reply: Option<StoreReply>,
    arrives: Moment,
    returns: Moment,
    gives_up: Moment,
    answered: bool,
    lost: bool,
}

struct Letter {
    from: HostId,
    to: HostId,
    message: PeerMessage,
    arrives: Moment,
}

struct SyncCall {
    host: usize,
    id: HostId,
    key: WorkerKey,
    worker: usize,
    request: SyncRequest,
    reply: Option<SyncReply>,
    arrives: Moment,
    gives_up: Moment,
    taken: bool,
    answered: bool,
}

struct Publishing {
    operator: u64,
    publication: Publication,
    step: PublishStep,
    wait: Duration,
    lost: bool,
}

/// The whole world.
pub struct World {
    pub now: Moment,
    pub store: Store,
    pub store_down: bool,
    /// How many answers to writes are lost from now on.
    pub lose_answers: u32,
    pub hosts: Vec<Host>,
    pub workers: Vec<Worker>,
    /// Directions in which no message passes.
    pub cuts: BTreeSet<(usize, usize)>,
    pub oracle: Oracle,
    calls: Vec<StoreCall>,
    letters: Vec<Letter>,
    syncs: Vec<SyncCall>,
    flights: Vec<Flight>,
    publishing: Vec<Publishing>,
    next_host: u64,
    next_hosts_poll: Moment,
    next_job: u64,
}

pub fn configuration() -> Configuration {
    let class = |name: &str, duration: u64| Class {
        name: name.to_owned(),
        deadline: Duration::from_secs(36_000),
        duration: Duration::from_millis(duration),
        size: Size {
            cores: 1500,
            memory: 100,
            accelerators: 0,
        },
        overnight: false,
        checkpoint: true,
        idempotent: true,
        urgent: false,
        attempts: 1000,
    };
    Configuration {
        revision: 0,
        deployment: "fuzz".to_owned(),
        zones: vec![Zone {
            name: ZONE.to_owned(),
            shards: SHARDS,
        }],
        classes: vec![
            class("plain", 3000),
            Class {
                urgent: true,
                ..class("urgent", 500)
            },
            Class {
                idempotent: false,
                checkpoint: false,
                ..class("once", 2000)
            },
            class("long", 30_000),
        ],
        teams: vec![Team {
            name: "t".to_owned(),
            token: "t".to_owned(),
            requests: 10,
            tasks: 100,
        }],
        ..Configuration::default()
    }
}

fn settings(number: usize) -> CoreSettings {
    CoreSettings {
        ownership: OwnershipSettings {
            name: format!("h{number}"),
            zone: ZONE.to_owned(),
            peers: format!("address-{number}"),
            snapshot_after: 6,
            entry_changes: 4,
            ..OwnershipSettings::default()
        },
        ledger: LedgerSettings::default(),
        ..CoreSettings::default()
    }
}

/// Racks whose hashes cover every shard.
fn racks(configuration: &Configuration) -> Vec<String> {
    let shard = |rack: &str| configuration.shard_of(ZONE, rack);
    (0..SHARDS)
        .map(|wanted| {
            let mut names = (0..).map(|number| format!("r{number}"));
            let found = names.find(|rack| shard(rack) == Some(ShardId(wanted)));
            found.expect("some rack belongs to each shard")
        })
        .collect()
}

impl World {
    pub fn new() -> Self {
        let configuration = configuration();
        let racks = racks(&configuration);
        let workers = (0..WORKERS)
            .map(|number| Worker {
                model: TaskModel::new(BootId(number as u64 * 1000), ROOM, TICKET_LIFE),
                serving: Serving::default(),
                host: ListedHost {
                    name: format!("w{number}"),
                    zone: ZONE.to_owned(),
                    rack: racks[number % racks.len()].clone(),
                    address: format!("127.0.0.1:{}", 9000 + number),
                    state: HostState::Live,
                    size: ROOM,
                    slots: 4,
                    connections: 8,
                },
                silent: false,
                delay: Duration::ZERO,
                leaving_since: None,
                chances: [0; HOSTS],
                boots: 0,
            })
            .collect();
        let mut world = Self {
            now: Moment::from_micros(1_000_000),
            store: Store::default(),
            store_down: false,
            lose_answers: 0,
            hosts: Vec::new(),
            workers,
            cuts: BTreeSet::new(),
            oracle: Oracle::default(),
            calls: Vec::new(),
            letters: Vec::new(),
            syncs: Vec::new(),
            flights: Vec::new(),
            publishing: Vec::new(),
            next_host: 1,
            next_hosts_poll: Moment::default(),
            next_job: 0,
        };
        for number in 0..HOSTS {
            let host = world.new_host(number);
            world.hosts.push(host);
        }
        world.connect_all();
        world.publish(0, Duration::ZERO);
        world.run(Duration::from_secs(8));
        world
    }

    fn new_host(&mut self, number: usize) -> Host {
        let id = HostId(self.next_host);
        self.next_host += 1;
        Host {
            core: Core::new(id, settings(number)),
            id,
            paused: false,
            cut_off: false,
            store_delay: Duration::ZERO,
            next_sync: BTreeMap::new(),
        }
    }

    fn connect_all(&mut self) {
        let ids: Vec<HostId> = self.hosts.iter().map(|host| host.id).collect();
        let now = self.now;
        for host in &mut self.hosts {
            for id in ids.iter().filter(|id| **id != host.id) {
                host.core.ownership.on_connected(*id, ZONE, now);
            }
        }
    }

    pub fn wall(&self) -> Wall {
        Wall(1_000_000_000 + self.now.as_micros() / 1000)
    }

    /// A process dies and another one starts at its address.
    pub fn replace(&mut self, number: usize) {
        let old = self.hosts[number].id;
        let fresh = self.new_host(number);
        self.hosts[number] = fresh;
        for worker in &mut self.workers {
            worker.chances[number] = 0;
        }
        self.oracle.forget_host(old);
        self.letters.retain(|letter| letter.from != old);
        self.connect_all();
        let now = self.now;
        for (other, host) in self.hosts.iter_mut().enumerate() {
            let reached = !self.cuts.contains(&(other, number)) && other != number;
            if reached && !host.paused {
                host.core.ownership.on_dead(old, ZONE, now);
            }
        }
    }

    /// A worker process dies and another one starts.
    pub fn restart_worker(&mut self, number: usize) {
        let now = self.now;
        let runs = self.workers[number].model.runs(now);
        self.oracle.note_killed(&runs, now);
        let worker = &mut self.workers[number];
        worker.boots += 1;
        let boot = BootId(number as u64 * 1000 + worker.boots);
        worker.model = TaskModel::new(boot, ROOM, TICKET_LIFE);
        worker.serving = Serving::default();
        self.flights.retain(|flight| flight.outlives(number));
    }

    pub fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + TICK;
            self.tick();
        }
    }

    /// Ends every fault and lets everything settle.
    pub fn heal(&mut self) {
        self.store_down = false;
        self.lose_answers = 0;
        self.cuts.clear();
        for host in &mut self.hosts {
            host.paused = false;
            host.cut_off = false;
            host.store_delay = Duration::ZERO;
        }
        for worker in &mut self.workers {
            worker.silent = false;
            worker.delay = Duration::ZERO;
            worker.model.fails = false;
        }
    }

    fn tick(&mut self) {
        self.store.expire(self.now);
        self.deliver_store();
        self.deliver_letters();
        self.deliver_syncs();
        self.run_flights();
        self.poll_platform();
        self.offer_configurations();
        for number in 0..self.hosts.len() {
            if self.hosts[number].paused {
                continue;
            }
            let (now, wall) = (self.now, self.wall());
            self.hosts[number].core.tick(now, wall);
            self.effects(number);
            self.start_syncs(number);
        }
        self.advance_publications();
        self.note_chances();
        self.check();
    }

    /// A host can learn that a worker leaves from the platform, or from a peer
    /// that knows it already.
    fn note_chances(&mut self) {
        let now = self.now;
        for worker in &mut self.workers {
            if worker.host.state == HostState::Live {
                continue;
            }
            let known = worker.chances.map(|ticks| ticks >= LEARNING_TICKS);
            for number in 0..HOSTS {
                let host = &self.hosts[number];
                let told = (0..HOSTS).any(|peer| {
                    let heard = known[peer] && !self.hosts[peer].paused;
                    peer != number && heard && !self.cuts.contains(&(peer, number))
                });
                let reads = !self.store_down && !host.cut_off;
                let ticks = &mut worker.chances[number];
                match !host.paused && (reads || told) {
                    true => *ticks += 1,
                    false if *ticks < LEARNING_TICKS => *ticks = 0,
                    false => {}
                }
            }
            let all = worker.chances.iter().all(|ticks| *ticks >= LEARNING_TICKS);
            match all {
                true => worker.leaving_since = worker.leaving_since.or(Some(now)),
                false => worker.leaving_since = None,
            }
        }
    }

    fn check(&mut self) {
        let now = self.now;
        for worker in &mut self.workers {
            worker.model.advance(now);
        }
        Oracle::check(self);
    }

    fn effects(&mut self, number: usize) {
        while let Some(effect) = self.hosts[number].core.next_effect() {
            match effect {
                Effect::Store { call, op } => self.call_store(number, call, op),
                Effect::Send { to, message } => self.post(number, to, message),
                Effect::Logged(token, result) => self.on_logged(number, token, result),
                Effect::Call(key) => {
                    self.hosts[number].next_sync.insert(key, Moment::default());
                }
                Effect::Move { from, pending } => self.submit_move(number, from, pending),
                Effect::Settled(id, Fate::NotRun) => self.prove_not_run(id),
                Effect::Wake(_) | Effect::Settled(..) | Effect::Claimed { .. } => {}
            }
        }
    }

    fn call_store(&mut self, number: usize, call: CallId, op: StoreOp) {
        let host = &self.hosts[number];
        let delay = host.store_delay;
        self.calls.push(StoreCall {
            host: number,
            id: host.id,
            call,
            op: Some(op),
            reply: None,
            arrives: self.now + delay,
            returns: self.now + delay,
            gives_up: self.now + PATIENCE,
            answered: false,
            lost: false,
        });
    }

    fn post(&mut self, number: usize, to: HostId, message: PeerMessage) {
        let from = self.hosts[number].id;
        let target = self.hosts.iter().position(|host| host.id == to);
        let cut = target.is_none_or(|target| self.cuts.contains(&(number, target)));
        if !cut {
            self.letters.push(Letter {
                from,
                to,
                message,
                arrives: self.now,
            });
        }
    }

    /// A late operation takes effect even after its caller gave up on it.
    fn deliver_store(&mut self) {
        let now = self.now;
        let mut calls = std::mem::take(&mut self.calls);
        for each in &mut calls {
            let cut = self.hosts[each.host].cut_off && self.hosts[each.host].id == each.id;
            if now >= each.arrives
                && !self.store_down
                && !cut
                && let Some(op) = each.op.take()
            {
                each.lost = op.writes() && self.lose_answers > 0;
                self.lose_answers -= u32::from(each.lost);
                each.reply = Some(self.store.call(op, now));
            }
        }
        for each in &mut calls {
            let host = &self.hosts[each.host];
            if host.paused || host.id != each.id || each.answered {
                continue;
            }
            let came = now >= each.returns && each.reply.is_some() && !each.lost;
            let over = now >= each.gives_up;
            if (came && !host.cut_off) || over {
                each.answered = true;
                let reply = if came && !over {
                    each.reply.take()
                } else {
                    None
                };
                let (number, call) = (each.host, each.call);
                self.hosts[number].core.on_store(call, reply, now);
                self.effects(number);
            }
        }
        calls.retain(|each| {
            let gone = self.hosts[each.host].id != each.id;
            let waits = each.op.is_some() && each.arrives > now;
            !(each.answered || gone) || waits
        });
        calls.append(&mut self.calls);
        self.calls = calls;
    }

    fn deliver_letters(&mut self) {
        let letters = std::mem::take(&mut self.letters);
        for letter in letters {
            let target = self.hosts.iter().position(|host| host.id == letter.to);
            let Some(number) = target else {
                continue;
            };
            if self.hosts[number].paused || letter.arrives >= self.now {
                self.letters.push(letter);
                continue;
            }
            let now = self.now;
            self.hosts[number]
                .core
                .on_peer(letter.from, letter.message, now);
            self.effects(number);
        }
    }

    fn start_syncs(&mut self, number: usize) {
        let now = self.now;
        let host = &mut self.hosts[number];
        for key in host.core.placement.keys() {
            let busy = self
                .syncs
                .iter()
                .any(|sync| sync.id == host.id && sync.key == key && !sync.answered);
            let due = host.next_sync.get(&key).is_none_or(|at| now >= *at);
            if busy || !due {
                continue;
            }
            let name = host
                .core
                .placement
                .get(key)
                .map(|worker| worker.name.clone());
            let worker = self
                .workers
                .iter()
                .position(|each| Some(&each.host.name) == name.as_ref());
            let Some(worker) = worker else {
                continue;
            };
            if let Some(call) = host.core.sync_call(key, now) {
                host.next_sync.insert(key, now + SYNC_GAP);
                self.syncs.push(SyncCall {
                    host: number,
                    id: host.id,
                    key,
                    worker,
                    request: call.request,
                    reply: None,
                    arrives: now + self.workers[worker].delay,
                    gives_up: now + PATIENCE,
                    taken: false,
                    answered: false,
                });
            }
        }
    }

    fn deliver_syncs(&mut self) {
        let now = self.now;
        let mut syncs = std::mem::take(&mut self.syncs);
        for sync in &mut syncs {
            let worker = &mut self.workers[sync.worker];
            if now >= sync.arrives && !sync.taken && !worker.silent {
                sync.taken = true;
                let running = worker.serving.ids();
                let ended = |id| worker.serving.has_ended(id);
                sync.reply = Some(worker.model.sync(&sync.request, &running, ended, now));
            }
            let host = &mut self.hosts[sync.host];
            if host.paused || host.id != sync.id || sync.answered {
                continue;
            }
            let over = now >= sync.gives_up;
            if sync.reply.is_some() || over {
                sync.answered = true;
                let reply = if over { None } else { sync.reply.take() };
                host.core.on_sync(sync.key, &sync.request, reply, now);
                let number = sync.host;
                self.effects(number);
            }
        }
        syncs.retain(|sync| {
            let gone = self.hosts[sync.host].id != sync.id;
            let late = !sync.taken && now < sync.arrives + Duration::from_secs(40);
            !(sync.answered || gone) || late
        });
        syncs.append(&mut self.syncs);
        self.syncs = syncs;
    }

    fn poll_platform(&mut self) {
        if self.store_down || self.now < self.next_hosts_poll {
            return;
        }
        self.next_hosts_poll = self.now + Duration::from_secs(1);
        let hosts: Vec<ListedHost> = self.workers.iter().map(|each| each.host.clone()).collect();
        let alive = self.store.range("alive/", 0);
        let announced: Vec<Announcement> = alive.entries.iter().filter_map(parse).collect();
        let stored = self.store.call(
            StoreOp::Get {
                key: CONFIGURATION_KEY.to_owned(),
            },
            self.now,
        );
        let current: Option<Configuration> = match &stored {
            StoreReply::Value(Some(entry)) => parse(entry),
            _ => None,
        };
        let now = self.now;
        for host in &mut self.hosts {
            if host.paused || host.cut_off {
                continue;
            }
            if let Some(current) = current.clone() {
                host.core.on_configuration(current, now);
            }
            host.core.on_hosts(hosts.clone(), now);
            host.core.on_announced(&announced, now);
        }
    }

    /// Each host is offered what a peer has in force, which may be older.
    fn offer_configurations(&mut self) {
        let now = self.now;
        for number in 0..HOSTS {
            let peer = (number + 1) % HOSTS;
            let apart = self.cuts.contains(&(peer, number)) || self.hosts[peer].paused;
            let offered = self.hosts[peer].core.current.get().cloned();
            if let Some(offered) = offered
                && !apart
                && !self.hosts[number].paused
            {
                self.hosts[number].core.on_configuration(offered, now);
            }
        }
    }

    /// Submits a job at a host, if that host owns the job's shard.
    pub fn submit(&mut self, number: usize, class: usize, tasks: u32) {
        self.next_job += 1;
        let Some(configuration) = self.hosts[number].core.current.get().cloned() else {
            return;
        };
        let owned: Vec<ShardId> = self.hosts[number].core.acting(self.now);
        let Some(shard) = owned.get(self.next_job as usize % owned.len().max(1)) else {
            return;
        };
        let id = JobId {
            shard: *shard,
            number: self.next_job,
        };
        let class = &configuration.classes[class % configuration.classes.len()];
        let spec = JobSpec {
            class: class.name.clone(),
            tasks,
            payload: String::new(),
            deadline_ms: None,
            size: None,
            duration_ms: None,
        };
        let record = spec.record(id, "t", class, self.wall());
        let (now, wall) = (self.now, self.wall());
        if self.hosts[number].paused {
            return;
        }
        let submission = self.hosts[number].core.submit(record, now, wall);
        if let Submission::Log(Change::Accepted(_)) = submission {
            self.oracle.submitted(id, tasks, class.idempotent);
        }
        self.effects(number);
    }

    /// Submits moved tasks to the host that owns their new shard.
    fn submit_move(&mut self, from_host: usize, from: ShardId, pending: PendingMove) {
        let (now, wall) = (self.now, self.wall());
        let shard = pending.record.id.shard;
        let owner = self
            .hosts
            .iter()
            .position(|host| !host.paused && host.core.acting(now).contains(&shard));
        let Some(owner) = owner else {
            return;
        };
        let (id, tasks) = (pending.record.id, pending.record.tasks);
        let idempotent = pending.record.idempotent;
        let submission = self.hosts[owner].core.submit(pending.record, now, wall);
        match submission {
            Submission::Log(Change::Accepted(_)) => self.oracle.submitted(id, tasks, idempotent),
            Submission::Known => {
                self.oracle.accepted(id);
                self.hosts[from_host]
                    .core
                    .move_accepted(from, pending.to, now);
            }
            Submission::Redirected(to) => {
                self.hosts[from_host]
                    .core
                    .move_redirected(from, pending.to, to);
            }
            _ => {}
        }
    }

    pub fn cancel(&mut self, number: usize, pick: usize) {
        let Some(job) = self.oracle.pick_job(pick) else {
            return;
        };
        if !self.hosts[number].paused {
            let now = self.now;
            let _ = self.hosts[number].core.cancel(job, now);
            self.effects(number);
        }
    }

    /// A caller sends a request with an idempotency key to the key's owner.
    pub fn keyed(&mut self, number: usize, key: u64) {
        let Some(configuration) = self.hosts[number].core.current.get() else {
            return;
        };
        let Some(shard) = configuration.home_shard(key) else {
            return;
        };
        if self.hosts[number].paused {
            return;
        }
        let (now, wall) = (self.now, self.wall());
        let step = self.hosts[number].core.begin_key(shard, key, 1, now, wall);
        if let KeyStep::Stored(KeyOutcome::NotRun) = step {
            panic!("key {key} is stored as not run");
        }
        self.effects(number);
    }

    fn on_logged(&mut self, number: usize, token: Token, result: LogResult) {
        match (token, result) {
            (Token::Job(id), LogResult::Logged) => self.oracle.accepted(id),
            (Token::Cancel(id), LogResult::Logged) => self.oracle.cancelled(id),
            (Token::Key(shard, key), LogResult::Logged) => {
                self.oracle.key_ran(key);
                let now = self.now;
                let outcome = KeyOutcome::Unknown;
                self.hosts[number].core.end_key(shard, key, outcome, now);
            }
            (Token::Key(shard, key), LogResult::NotLogged) => {
                self.hosts[number].core.forget_key(shard, key);
            }
            _ => {}
        }
    }

    /// An operator begins to publish a configuration.
    pub fn publish(&mut self, operator: u64, wait: Duration) {
        let nonce = self.oracle.next_nonce();
        let publication = Publication::new(configuration(), &format!("op{operator}"), nonce);
        self.publishing.push(Publishing {
            operator: nonce,
            publication,
            step: PublishStep::Read,
            wait,
            lost: false,
        });
    }

    fn advance_publications(&mut self) {
        let mut all = std::mem::take(&mut self.publishing);
        for each in &mut all {
            if each.wait > Duration::ZERO {
                each.wait = each.wait.saturating_sub(TICK);
                continue;
            }
            each.wait = TICK;
            each.step = match each.step.clone() {
                PublishStep::Read => {
                    let found = self.read_configuration();
                    each.publication.on_read(found)
                }
                PublishStep::Swap { version, value } => {
                    let answer = self.swap(version, &value, &mut each.lost);
                    each.publication.on_swap(answer)
                }
                PublishStep::Done(verdict) => {
                    self.oracle.published(each.operator, &verdict);
                    each.lost = true;
                    PublishStep::Done(PublishOutcome::Unknown)
                }
            };
        }
        all.retain(|each| !(each.lost && matches!(each.step, PublishStep::Done(_))));
        all.append(&mut self.publishing);
        self.publishing = all;
    }

    fn read_configuration(&mut self) -> Option<Option<StoredConfiguration>> {
        if self.store_down {
            return None;
        }
        let key = CONFIGURATION_KEY.to_owned();
        match self.store.call(StoreOp::Get { key }, self.now) {
            StoreReply::Value(Some(entry)) => {
                Some(parse(&entry).map(|value| StoredConfiguration {
                    version: entry.version,
                    value,
                }))
            }
            _ => Some(None),
        }
    }

    fn swap(&mut self, version: u64, value: &Configuration, lost: &mut bool) -> Option<bool> {
        if self.store_down {
            return None;
        }
        let op = StoreOp::Put {
            key: CONFIGURATION_KEY.to_owned(),
            value: serde_json::to_string(value).expect("a configuration has a JSON form"),
            expect: match version {
                0 => Expect::Absent,
                version => Expect::Version(version),
            },
            lease: None,
        };
        let reply = self.store.call(op, self.now);
        if self.lose_answers > 0 {
            self.lose_answers -= 1;
            *lost = false;
            return None;
        }
        Some(matches!(reply, StoreReply::Written(_)))
    }
}

fn parse<T: serde::de::DeserializeOwned>(entry: &Entry) -> Option<T> {
    serde_json::from_str(entry.value.as_deref()?).ok()
}
