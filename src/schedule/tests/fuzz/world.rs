//! The world of the fuzz test: the clock, the hosts, and what happens next.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::super::*;
use super::calls::{Call, Outcome, SentCall};
use super::evacuation::Requests;
use super::oracle::{MAX_IDLE, Oracle};
use super::owner::{OWNER_LEASE, OwnerProcess};
use super::step::{Direction, HOST_COUNT, JOB_KINDS, Side, Step as FuzzStep, WORKER_COUNT};
use super::store::{Commit, Store, Write};
use super::worker::Process;
use crate::shards::{Candidate, Heard, Incarnation, Layout, Owner};

/// The interval at which hosts look for a shard without an owner, in milliseconds.
const CLAIM_INTERVAL: u64 = 50;
/// The limit on the time from a vacancy to a claim.
const MAX_CLAIM_DELAY: u64 = 400;
/// The limit on the time that a claim takes.
const MAX_CLAIM_TIME: u64 = 200;
/// The time after which the host of an owner that stopped as planned returns.
const RESTART_TIME: u64 = 1_500;
/// The length of the calm stretch at the end.
const CALM: u64 = 20_000;
/// The interval at which it is checked there what runs.
const IDLE_CHECK_INTERVAL: u64 = 100;
/// The kind of job whose tasks are long-running.
const LONG_RUNNING_KIND: usize = 5;
const SLOT_PORT: u16 = 1000;
/// How late a call to a worker is carried out at most, unless a test sets it.
const MAX_LATENESS: u64 = 6_000;

/// A generator of random numbers that all depend on one seed.
#[derive(Debug)]
pub(super) struct Random(u64);

impl Random {
    /// Returns a number from 0 to `limit` - 1.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % limit
    }
}

/// A time in which some calls fail.
#[derive(Debug, Default)]
pub(super) struct Faults {
    until: u64,
    share: u64,
}

impl Faults {
    pub fn strikes(&self, now: u64, random: &mut Random) -> bool {
        now < self.until && random.below(100) < self.share
    }
}

/// Until when the two directions of a link are cut.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Link {
    pub requests: u64,
    pub answers: u64,
}

/// A host that may own the shard.
#[derive(Debug, Default)]
struct Host {
    name: String,
    incarnation: u64,
    down_until: u64,
    paused_until: u64,
    store_cut: u64,
    announced: bool,
    owner: Option<usize>,
    /// The last heartbeat that the host knows, by its revision.
    heartbeat: u64,
    /// When the host knew of the last heartbeats.
    heard: Heard,
}

/// A place for a worker, with a fixed address.
#[derive(Debug)]
pub(super) struct Slot {
    pub process: Option<Process>,
    pub entry: Option<Registration>,
    pub silent_since: u64,
    pub store_cut: u64,
    /// When the present process registers.
    pub registers_at: u64,
    pub lease_watched: bool,
    pub names: u32,
    /// Whether the worker is lost for good.
    pub gone: bool,
}

/// What an owner does next.
#[derive(Debug)]
pub(super) enum OwnerAction {
    Restore,
    Renew,
    Beat,
    Plan,
    FollowFormer,
    FollowJobs,
    FollowRegistry,
    Write,
    Written(Option<(u64, Commit)>),
    Poll(WorkerKey),
    Send(WorkerKey),
    Outcome(u64, Outcome),
}

/// What happens next.
#[derive(Debug)]
pub(super) enum Action {
    Owner(usize, OwnerAction),
    Arrive(Call),
    PollWaited(usize, u64, u64),
    RunEnds(usize, u64, (TaskName, u64), RunOutcome),
    Lapse(usize, u64),
    /// A worker returns under this id.
    Return(usize, String),
    /// A worker registers.
    Register,
    /// A write takes effect; the owner gets the answer, if there is one.
    Commit(Option<usize>, u64, Write),
    Claim,
}

#[derive(Debug)]
pub(super) struct World {
    pub now: u64,
    agenda: BTreeMap<(u64, u64), Action>,
    ids: u64,
    pub rng: Random,
    pub store: Store,
    pub requests: Requests,
    hosts: Vec<Host>,
    pub owners: Vec<OwnerProcess>,
    pub slots: Vec<Slot>,
    pub links: [[Link; WORKER_COUNT]; HOST_COUNT],
    pub call_faults: Faults,
    store_faults: Faults,
    /// Until when no write of an owner reaches the store.
    writes_cut: u64,
    /// The calls without an outcome.
    pub sent: BTreeMap<u64, SentCall>,
    /// The polls that wait at workers.
    pub polls: BTreeMap<u64, Call>,
    pub oracle: Oracle,
    /// The number of changes that are written together.
    pub group_size: usize,
    /// Whether workers refuse what does not fit.
    pub guards: bool,
    /// Whether a restarted worker carries out late calls to its former incarnation.
    pub late_after_restart: bool,
    /// How late a call to a worker is carried out at most, beside the time after which it counts
    /// as unanswered.
    pub max_lateness: u64,
    /// The time from the start of a worker to its registration. Without it the registry shows
    /// the workers that are up when it is read.
    pub registers_after: Option<u64>,
    /// When the last crashed worker returns.
    pub disturbed_until: u64,
    vacant_since: Option<u64>,
    traced: bool,
}

pub(super) fn slot_address(slot: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], SLOT_PORT + slot as u16))
}

pub(super) fn slot_of(address: SocketAddr) -> usize {
    usize::from(address.port() - SLOT_PORT)
}

/// A step of tasks that take this time.
fn lasting(millis: u64, count: u32) -> Step {
    Step {
        estimate: Duration::from_millis(millis),
        ..step(count, 2)
    }
}

/// The steps of a job of this kind.
fn job_steps(kind: usize) -> Vec<Step> {
    let lasting = |millis, step| Step {
        estimate: Duration::from_millis(millis),
        ..step
    };
    let failing = |runs: &str| Step {
        image: runs.to_owned(),
        ..lasting(300, step(1, 1))
    };
    match kind {
        0 => vec![lasting(300, step(2, 1))],
        1 => vec![lasting(1_500, step(3, 2))],
        2 => vec![
            lasting(700, step(2, 1)),
            Step {
                after: vec![0],
                ..lasting(700, step(2, 2))
            },
        ],
        3 => vec![failing("1")],
        4 => vec![failing("9")],
        LONG_RUNNING_KIND => vec![Step {
            long_running: true,
            ..step(2, 1)
        }],
        6 => vec![lasting(8_000, step(2, 2))],
        _ => vec![lasting(2_000, step(3, 4))],
    }
}

impl World {
    pub fn new(seed: u64) -> Self {
        let mut rng = Random(seed);
        let slot = |slot: usize, rng: &mut Random| Slot {
            process: Some(Process::new(format!("w{slot}"), 981 + rng.below(20), 0)),
            entry: None,
            silent_since: 0,
            store_cut: 0,
            registers_at: 0,
            lease_watched: false,
            names: 0,
            gone: false,
        };
        let slots = (0..WORKER_COUNT).map(|index| slot(index, &mut rng));
        let slots = slots.collect();
        let group_size = [1, 1, 3, 100][rng.below(4) as usize];
        let guards = rng.below(2) == 0;
        let host = |host: usize| Host {
            name: format!("h{host}"),
            incarnation: host as u64 + 1,
            ..Host::default()
        };
        let mut world = Self {
            now: 1_000,
            agenda: BTreeMap::new(),
            ids: 0,
            rng,
            store: Store::default(),
            requests: Requests::default(),
            hosts: (0..HOST_COUNT).map(host).collect(),
            owners: Vec::new(),
            slots,
            links: Default::default(),
            call_faults: Faults::default(),
            store_faults: Faults::default(),
            writes_cut: 0,
            sent: BTreeMap::new(),
            polls: BTreeMap::new(),
            oracle: Oracle::default(),
            group_size,
            guards,
            late_after_restart: false,
            max_lateness: MAX_LATENESS,
            registers_after: None,
            disturbed_until: 0,
            vacant_since: Some(0),
            traced: std::env::var_os("LYCHEELOCK_FUZZ_TRACE").is_some(),
        };
        world.after(0, Action::Claim);
        world.advance(1_000);
        world
    }

    pub fn trace(&self, text: impl FnOnce() -> String) {
        if self.traced {
            eprintln!("{:>6} {}", self.now, text());
        }
    }

    pub fn next_id(&mut self) -> u64 {
        self.ids += 1;
        self.ids
    }

    pub fn after(&mut self, delay: u64, action: Action) {
        let id = self.next_id();
        self.agenda.insert((self.now + delay, id), action);
    }

    pub fn agenda_now(&mut self, action: Action) {
        self.after(0, action);
    }

    pub fn advance(&mut self, span: u64) {
        let end = self.now + span;
        while let Some(entry) = self.agenda.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((time, _), action) = entry.remove_entry();
            self.now = time.max(self.now);
            self.run(action);
        }
        self.now = end;
    }

    fn run(&mut self, action: Action) {
        match action {
            Action::Owner(owner, action) => self.run_owner(owner, action),
            Action::Arrive(call) => self.arrive(call),
            Action::PollWaited(slot, incarnation, id) => self.poll_waited(slot, incarnation, id),
            Action::RunEnds(slot, incarnation, run, outcome) => {
                self.end_run(slot, incarnation, run, outcome);
            }
            Action::Lapse(slot, incarnation) => self.lapse(slot, incarnation),
            Action::Return(slot, id) => {
                self.trace(|| format!("w{slot} returns as {id}"));
                // The slowest clock that the users allow is 2% slow.
                let rate = 980 + self.rng.below(20);
                self.slots[slot].process = Some(Process::new(id, rate, self.now));
                if let Some(delay) = self.registers_after {
                    self.slots[slot].registers_at = self.now + delay;
                    self.after(delay, Action::Register);
                }
            }
            Action::Register => self.update_registry(),
            Action::Commit(owner, sent, write) => {
                let commit = self.store.commit(&write);
                self.trace(|| format!("store: {write:?} -> {commit:?}"));
                if let Some(owner) = owner {
                    let latency = 1 + self.rng.below(10);
                    let action = OwnerAction::Written(Some((sent, commit)));
                    self.after(latency, Action::Owner(owner, action));
                }
            }
            Action::Claim => self.claim(),
        }
    }

    /// Lets an owner act, once it is not paused any more.
    fn run_owner(&mut self, owner: usize, action: OwnerAction) {
        let known = &self.owners[owner];
        if known.ended {
            return;
        }
        let resumes = self.hosts[known.host].paused_until;
        if resumes > self.now {
            let delay = resumes - self.now;
            return self.after(delay, Action::Owner(owner, action));
        }
        self.act(owner, action);
    }

    pub fn reaches_store(&self, host: usize) -> bool {
        self.hosts[host].store_cut <= self.now
    }

    /// Whether the store accepts what an owner writes, beside its heartbeats.
    pub fn takes_writes(&self, host: usize) -> bool {
        self.reaches_store(host) && self.writes_cut <= self.now
    }

    /// Whether a call to the store fails.
    pub fn store_fails(&mut self) -> bool {
        self.store_faults.strikes(self.now, &mut self.rng)
    }

    pub fn candidate(&self, host: usize) -> Candidate {
        Candidate {
            host: self.hosts[host].name.clone(),
            incarnation: self.hosts[host].incarnation,
            zone: "a".to_owned(),
            zones: vec!["a".to_owned()],
            layout: Layout::Whole,
            owned: 0,
            millicores: 1000,
            strongest: 1000,
        }
    }

    /// Announces restarted hosts, and lets one claim the shard if nobody holds the owner lease.
    fn claim(&mut self) {
        self.after(CLAIM_INTERVAL, Action::Claim);
        let now = self.now;
        for host in 0..HOST_COUNT {
            let known = &mut self.hosts[host];
            if now >= known.down_until.max(known.store_cut) && !known.announced {
                known.announced = true;
                let incarnation = Incarnation {
                    id: known.incarnation,
                    resigned: 0,
                };
                self.store
                    .incarnations
                    .insert(known.name.clone(), incarnation);
            }
        }
        self.follow_heartbeats();
        for host in 0..HOST_COUNT {
            let known = &self.hosts[host];
            let until = known.down_until.max(known.paused_until);
            if now >= until.max(known.store_cut) {
                self.follow_zones(host, CLAIM_INTERVAL);
            }
        }
        if self.store.lease.is_some_and(|(_, expires)| expires > now) {
            self.vacant_since = None;
            return;
        }
        let since = *self.vacant_since.get_or_insert(now);
        if now - since < self.rng.below(MAX_CLAIM_DELAY) {
            return;
        }
        let able = |host: &usize| {
            let known = &self.hosts[*host];
            let until = known.down_until.max(known.paused_until);
            let knows_last = known.heartbeat == self.store.heartbeat;
            now >= until.max(known.store_cut) && known.owner.is_none() && knows_last
        };
        let able: Vec<usize> = (0..HOST_COUNT).filter(able).collect();
        if able.is_empty() {
            return;
        }
        let host = able[self.rng.below(able.len() as u64) as usize];
        let begun = now - self.rng.below(MAX_CLAIM_TIME);
        let fence = self.store.next();
        let former = self.store.owner.take();
        self.trace(|| format!("h{host} claims with {fence}, former {former:?}"));
        self.store.epoch = fence;
        self.store.heartbeat = fence;
        self.store.former_age = at(begun) - self.hosts[host].heard.last;
        self.store.claims.push(fence);
        self.store.owner = Some(Owner {
            host: self.hosts[host].name.clone(),
            incarnation: self.hosts[host].incarnation,
            fence,
            released: false,
        });
        let owner = self.owners.len();
        self.store.lease = Some((owner, now + OWNER_LEASE));
        self.hosts[host].owner = Some(owner);
        let process = OwnerProcess::new(host, fence, former, begun, self.hosts[host].heard);
        self.owners.push(process);
        self.start_owner(owner);
    }

    /// Lets the hosts that reach the store read the last heartbeat.
    fn follow_heartbeats(&mut self) {
        let (now, heartbeat) = (self.now, self.store.heartbeat);
        let age = self.store.former_age;
        for host in &mut self.hosts {
            let until = host.down_until.max(host.paused_until);
            if now >= until.max(host.store_cut) && host.heartbeat != heartbeat {
                host.heartbeat = heartbeat;
                let before = (at(now) - Moment::default()).saturating_sub(age);
                host.heard = Heard {
                    last: at(now),
                    before: Moment::default() + before,
                };
            }
        }
    }

    /// Ends an ownership; the store learns of it, if the host reaches it.
    pub fn end_owner(&mut self, owner: usize, reason: &str) {
        let known = &mut self.owners[owner];
        if std::mem::replace(&mut known.ended, true) {
            return;
        }
        let (host, fence) = (known.host, known.fence);
        self.trace(|| format!("owner {owner} on h{host} ends: {reason}"));
        self.hosts[host].owner = None;
        if !self.reaches_store(host) || self.store_fails() {
            return;
        }
        if self.store.epoch == fence {
            self.store.epoch = self.store.next();
            self.store.lease = None;
            if let Some(roster) = self.owners[owner].release(self.now) {
                self.store.roster = roster;
                self.store.roster_revision = self.store.epoch;
            }
            if self.owners[owner].has_recovered() {
                self.store.recovered = self.store.epoch;
            }
            if let Some(record) = &mut self.store.owner {
                record.fence = self.store.epoch;
                record.released = true;
            }
        } else if let Some(known) = self.store.incarnations.get_mut(&self.hosts[host].name)
            && known.id == self.hosts[host].incarnation
        {
            known.resigned = fence.max(known.resigned);
        }
    }

    /// The owner that claimed the shard last, if it has not ended.
    fn present_owner(&self) -> Option<usize> {
        let last = self.owners.len().checked_sub(1)?;
        (!self.owners[last].ended).then_some(last)
    }

    fn present_host(&self) -> Option<usize> {
        self.present_owner().map(|owner| self.owners[owner].host)
    }

    fn restart_host(&mut self, host: usize, span: u64) {
        let known = &mut self.hosts[host];
        known.down_until = self.now + span;
        known.paused_until = 0;
        known.incarnation += HOST_COUNT as u64;
        known.announced = false;
        known.owner = None;
        known.heartbeat = 0;
        self.forget_zones(host);
    }

    pub fn apply(&mut self, step: &FuzzStep) {
        self.trace(|| format!("step {step:?}"));
        let now = self.now;
        match *step {
            FuzzStep::Advance(span) => self.advance(span),
            FuzzStep::Submit(kind) => self.submit(kind % JOB_KINDS),
            FuzzStep::SubmitLasting(count, span) => {
                self.submit_steps(vec![lasting(span, count)]);
            }
            FuzzStep::Cancel(index) => {
                let id = WorkflowId(index as u64 + 1);
                if self.store.jobs.contains_key(&id) {
                    self.store.cancel(id);
                }
            }
            FuzzStep::Stop => {
                if let Some(owner) = self.present_owner() {
                    let host = self.owners[owner].host;
                    self.end_owner(owner, "planned stop");
                    self.restart_host(host, RESTART_TIME);
                }
            }
            FuzzStep::Kill(span) => {
                if let Some(owner) = self.present_owner() {
                    self.owners[owner].ended = true;
                    let host = self.owners[owner].host;
                    self.restart_host(host, span);
                }
            }
            FuzzStep::Replace(span) => {
                if let Some(owner) = self.present_owner() {
                    self.owners[owner].ended = true;
                    let host = self.owners[owner].host;
                    self.restart_host(host, span);
                    self.hosts[host].name = format!("h{host}-{}", self.now);
                }
            }
            FuzzStep::Pause(span) => {
                if let Some(host) = self.present_host() {
                    self.hosts[host].paused_until = now + span;
                }
            }
            FuzzStep::CutStore(span) => {
                if let Some(host) = self.present_host() {
                    self.hosts[host].store_cut = now + span;
                }
            }
            FuzzStep::CutLink(side, direction, worker, span) => {
                self.cut_links(side, direction, worker, now + span);
            }
            FuzzStep::CutWorkerStore(worker, span) => self.cut_worker_store(worker, now + span),
            FuzzStep::Partition(set, span) => self.partition(set, now + span),
            FuzzStep::Crash(worker, same, span) => self.crash(worker, same, span),
            FuzzStep::Gone(worker) => self.lose_worker(worker),
            FuzzStep::CallFaults(share, span) => {
                let until = now + span;
                self.call_faults = Faults { until, share };
            }
            FuzzStep::StoreFaults(share, span) => {
                let until = now + span;
                self.store_faults = Faults { until, share };
            }
            FuzzStep::WriteFaults(span) => self.writes_cut = now + span,
            FuzzStep::Backlog(worker) => self.add_backlog(worker),
            FuzzStep::Evacuate(zone) => self.change_zone(zone, true),
            FuzzStep::Restore(zone) => self.change_zone(zone, false),
        }
    }

    fn submit(&mut self, kind: usize) {
        let mut steps = job_steps(kind);
        let lasting = self.oracle.specs.values();
        let lasting = lasting.filter(|spec| spec.steps[0].long_running).count();
        if steps[0].long_running && lasting >= 5 {
            steps = job_steps(0);
        }
        self.submit_steps(steps);
    }

    fn submit_steps(&mut self, steps: Vec<Step>) {
        let id = WorkflowId(self.store.jobs.len() as u64 + 1);
        let spec = Arc::new(Workflow {
            steps,
            ..Workflow::default()
        });
        self.oracle.specs.insert(id, spec.clone());
        self.store.accept(id, spec, self.now);
    }

    fn cut_links(&mut self, side: Side, direction: Direction, worker: usize, until: u64) {
        let present = self.present_host();
        for host in 0..HOST_COUNT {
            let chosen = match side {
                Side::Owner => present == Some(host),
                Side::Others => present != Some(host),
                Side::All => true,
            };
            if !chosen {
                continue;
            }
            let link = &mut self.links[host][worker];
            if matches!(direction, Direction::Requests | Direction::Both) {
                link.requests = until.max(link.requests);
            }
            if matches!(direction, Direction::Answers | Direction::Both) {
                link.answers = until.max(link.answers);
            }
        }
    }

    fn partition(&mut self, set: u8, until: u64) {
        let Some(host) = self.present_host() else {
            return;
        };
        self.hosts[host].store_cut = until;
        for worker in 0..WORKER_COUNT {
            let beside = set & (1 << worker) != 0;
            let side = if beside { Side::Others } else { Side::Owner };
            self.cut_links(side, Direction::Both, worker, until);
            if beside {
                self.cut_worker_store(worker, until);
            }
        }
    }

    fn cut_worker_store(&mut self, worker: usize, until: u64) {
        self.update_registry();
        self.slots[worker].store_cut = until;
    }

    /// Checks that the long-running tasks of all jobs started again in time, if there is room
    /// for any of them twice over.
    fn check_restarts(&self, calm_since: u64) {
        if !self.has_room() {
            return;
        }
        let open = self.store.jobs.iter();
        let open = open.filter(|(_, job)| job.open && !job.state.is_final());
        for (id, _) in open {
            self.oracle.check_restarts(*id, calm_since, self.now);
        }
    }

    /// Whether two long-running tasks fit on the workers that are up.
    fn has_room(&self) -> bool {
        let need = job_steps(LONG_RUNNING_KIND)[0].need;
        let up = self.slots.iter().filter_map(|slot| slot.process.as_ref());
        let room = up.map(|process| {
            let mut used = process.used();
            let mut copies = 0;
            while copies < 2 && registration("w").capacity.minus(used).holds(need) {
                used += need;
                copies += 1;
            }
            copies
        });
        room.sum::<u32>() >= 2
    }

    /// Ends all faults, waits for a calm stretch, and checks all jobs.
    pub fn finish(&mut self) {
        self.links = Default::default();
        self.call_faults = Faults::default();
        self.store_faults = Faults::default();
        self.writes_cut = 0;
        self.restore_zones();
        for host in &mut self.hosts {
            host.paused_until = 0;
            host.store_cut = 0;
            host.down_until = host.down_until.min(self.now);
        }
        for slot in &mut self.slots {
            slot.store_cut = 0;
        }
        self.trace(|| "calm".to_owned());
        let calm_since = self.now.max(self.disturbed_until);
        for _ in (0..CALM).step_by(IDLE_CHECK_INTERVAL as usize) {
            self.advance(IDLE_CHECK_INTERVAL);
            self.check_restarts(calm_since);
        }
        let mut ran = BTreeSet::new();
        for _ in (0..MAX_IDLE).step_by(IDLE_CHECK_INTERVAL as usize) {
            ran.extend(self.oracle.running_jobs());
            self.advance(IDLE_CHECK_INTERVAL);
        }
        ran.extend(self.oracle.running_jobs());
        for (id, job) in &self.store.jobs {
            let job_ran = ran.contains(id);
            self.oracle.check_job(*id, job.state, job.open, job_ran);
        }
    }
}
