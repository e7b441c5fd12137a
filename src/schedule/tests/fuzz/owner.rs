//! The owners of the fuzz test: they execute the decisions of the scheduler as the daemon does.

use std::collections::{BTreeMap, VecDeque};

use super::super::*;
use super::calls::Outcome;
use super::store::{Commit, Write};
use super::worker::{Answer, Request};
use super::world::{Action, OwnerAction, World};
use crate::schedule::Change;
use crate::shards::{FormerOwner, Heard, OWNER_TIMEOUT, Owner, recovery_deadline};

/// The intervals and delays of the daemon, in milliseconds.
const MAX_PLAN_INTERVAL: u64 = 250;
const PLAN_DELAY: u64 = 4;
const CONFIRM_DELAY: u64 = 150;
const ORDER_RETRY_DELAY: u64 = 60;
const FAILED_POLL_DELAY: u64 = 250;
const POLL_DELAY: u64 = 30;
const UNACKNOWLEDGED_DELAY: u64 = 200;
const WRITE_INTERVAL: u64 = 150;
const WRITE_DELAY: u64 = 12;
const REGISTRY_INTERVAL: u64 = 900;
const RENEWAL_INTERVAL: u64 = 375;
const HEARTBEAT_INTERVAL: u64 = 500;
const FOLLOW_INTERVAL: u64 = 40;
const FORMER_INTERVAL: u64 = 60;
/// How long an owner lease lasts.
pub(super) const OWNER_LEASE: u64 = 1_500;

/// The orders to one worker.
#[derive(Debug)]
pub(super) struct Sender {
    /// The slot of the worker's address.
    pub slot: usize,
    pub id: String,
    queue: VecDeque<Order>,
    /// The orders that are not settled, each with the time of its next copy.
    unsettled: VecDeque<(u64, Order)>,
    busy: bool,
}

/// A batch that is being written.
#[derive(Debug)]
struct Writing {
    batch: Batch,
    groups: VecDeque<Vec<Change>>,
}

/// One ownership of the shard.
#[derive(Debug)]
pub(super) struct OwnerProcess {
    pub host: usize,
    pub fence: u64,
    pub ended: bool,
    scheduler: Scheduler,
    former: Option<Owner>,
    /// When the host knew of the last heartbeats of the former owners.
    heard: Heard,
    /// The revision of the mark that no earlier owner gives orders, as read at the start.
    recovered: u64,
    /// When the last call that confirmed the ownership was sent.
    confirmed: u64,
    /// When the last heartbeat that the store accepted was sent.
    heartbeat: u64,
    restored: bool,
    /// The revision up to which the jobs are known.
    seen: u64,
    senders: BTreeMap<WorkerKey, Sender>,
    /// When the next pass is due.
    plan_at: u64,
    /// The revision of the write before.
    previous: u64,
    writing: Option<Writing>,
    last_full: u64,
    write_at: u64,
}

impl OwnerProcess {
    /// Starts an ownership that was claimed by a call sent at `begun`, by a host that knew of
    /// the last heartbeat of the former owner at `heard`.
    pub fn new(host: usize, fence: u64, former: Option<Owner>, begun: u64, heard: Heard) -> Self {
        let recovery_deadline = former
            .as_ref()
            .map(|_| recovery_deadline(FormerOwner::Unknown, heard, at(begun)));
        let term = Term {
            fence,
            former_epoch: former.as_ref().map_or(0, |former| former.fence),
            recovery_deadline,
        };
        let mut scheduler = Scheduler::new(term);
        scheduler.on_heartbeat(at(begun));
        Self {
            host,
            fence,
            ended: false,
            scheduler,
            former,
            heard,
            recovered: 0,
            confirmed: begun,
            heartbeat: begun,
            restored: false,
            seen: 0,
            senders: BTreeMap::new(),
            plan_at: 0,
            previous: 0,
            writing: None,
            last_full: 0,
            write_at: 0,
        }
    }

    pub fn has_recovered(&self) -> bool {
        self.scheduler.has_recovered()
    }

    pub fn release(&mut self, now: u64) -> Option<Vec<RosterEntry>> {
        self.scheduler.release_shard(at(now))
    }

    fn is_confirmed(&self, now: u64) -> bool {
        at(now) - at(self.heartbeat) < OWNER_TIMEOUT
    }
}

impl World {
    /// Starts the tasks of a new owner.
    pub(super) fn start_owner(&mut self, owner: usize) {
        for action in [
            OwnerAction::Restore,
            OwnerAction::Renew,
            OwnerAction::Beat,
            OwnerAction::Plan,
        ] {
            self.after(1, Action::Owner(owner, action));
        }
    }

    /// Tells an owner's scheduler what its host knows of the zones, as before each decision.
    fn tell_zones(&mut self, owner: usize) {
        let known = self.known_zones(self.owners[owner].host).clone();
        self.owners[owner].scheduler.set_evacuations(&known);
    }

    pub(super) fn act(&mut self, owner: usize, action: OwnerAction) {
        self.tell_zones(owner);
        match action {
            OwnerAction::Restore => self.restore(owner),
            OwnerAction::Renew => self.renew(owner),
            OwnerAction::Beat => self.beat(owner),
            OwnerAction::Plan => self.plan(owner),
            OwnerAction::FollowFormer => self.follow_former(owner),
            OwnerAction::FollowJobs => self.follow_jobs(owner),
            OwnerAction::FollowRegistry => self.follow_registry(owner),
            OwnerAction::Write => self.write(owner),
            OwnerAction::Written(commit) => self.on_commit(owner, commit),
            OwnerAction::Poll(key) => self.poll(owner, key),
            OwnerAction::Send(key) => self.send(owner, key),
            OwnerAction::Outcome(call, outcome) => self.on_outcome(owner, call, outcome),
        }
        self.trace_events(owner);
    }

    fn trace_events(&mut self, owner: usize) {
        let events = self.owners[owner].scheduler.take_events();
        for event in events {
            let text = format!("owner {owner}: {event:?}");
            self.trace(|| text);
        }
    }

    fn wake(&mut self, owner: usize) {
        let due = self.now + PLAN_DELAY;
        if self.owners[owner].plan_at > due || self.owners[owner].plan_at < self.now {
            self.owners[owner].plan_at = due;
            self.after(PLAN_DELAY, Action::Owner(owner, OwnerAction::Plan));
        }
    }

    fn plan(&mut self, owner: usize) {
        let now = self.now;
        let known = &mut self.owners[owner];
        if known.plan_at > now {
            return;
        }
        let confirmed = known.is_confirmed(now);
        let delay = if confirmed {
            MAX_PLAN_INTERVAL
        } else {
            CONFIRM_DELAY
        };
        known.plan_at = now + delay;
        if confirmed {
            let orders = known.scheduler.plan(at(known.confirmed), at(now));
            for (worker, order) in orders {
                if matches!(order, Order::Start { .. }) {
                    let address = self.owners[owner].scheduler.workers[worker]
                        .registration
                        .address;
                    self.check_start_zone(owner, super::world::slot_of(address), "places");
                }
                if let Some(sender) = self.owners[owner].senders.get_mut(&worker) {
                    sender.queue.push_back(order);
                    self.agenda_now(Action::Owner(owner, OwnerAction::Send(worker)));
                }
            }
        }
        self.after(delay, Action::Owner(owner, OwnerAction::Plan));
    }

    fn renew(&mut self, owner: usize) {
        let now = self.now;
        let sent = now.saturating_sub(self.rng.below(10));
        self.after(RENEWAL_INTERVAL, Action::Owner(owner, OwnerAction::Renew));
        if !self.reaches_store(self.owners[owner].host) || self.store_fails() {
            return;
        }
        if self.store.epoch != self.owners[owner].fence {
            return self.end_owner(owner, "another host claimed the shard");
        }
        self.store.lease = Some((owner, now + OWNER_LEASE));
        self.confirm(owner, sent);
    }

    /// Sends a heartbeat. If the store fails, the heartbeat may still take effect.
    fn beat(&mut self, owner: usize) {
        let sent = self.now.saturating_sub(self.rng.below(10));
        self.after(HEARTBEAT_INTERVAL, Action::Owner(owner, OwnerAction::Beat));
        if !self.reaches_store(self.owners[owner].host) {
            return;
        }
        let answered = !self.store_fails();
        if !answered && self.rng.below(2) == 0 {
            return;
        }
        let fence = self.owners[owner].fence;
        let former = at(sent) - self.owners[owner].heard.last;
        let accepted = self.store.beat(fence, former);
        if !answered {
            return;
        }
        if !accepted {
            return self.end_owner(owner, "another host claimed the shard");
        }
        self.confirm(owner, sent);
        let known = &mut self.owners[owner];
        known.heartbeat = sent.max(known.heartbeat);
        known.scheduler.on_heartbeat(at(sent));
        known.scheduler.on_owned_write(self.store.heartbeat);
    }

    fn confirm(&mut self, owner: usize, sent: u64) {
        let known = &mut self.owners[owner].confirmed;
        *known = sent.max(*known);
    }

    /// What the store shows of the former owner of an owner.
    fn former_owner(&self, owner: usize) -> FormerOwner {
        let known = &self.owners[owner];
        let Some(former) = &known.former else {
            return FormerOwner::Unknown;
        };
        let incarnation = self.store.incarnations.get(&former.host).copied();
        let candidate = self.candidate(known.host);
        candidate.former_owner(former, incarnation, known.recovered)
    }

    fn follow_former(&mut self, owner: usize) {
        let reaches = self.reaches_store(self.owners[owner].host);
        let former = self.former_owner(owner);
        if !reaches || former == FormerOwner::Unknown {
            let action = Action::Owner(owner, OwnerAction::FollowFormer);
            return self.after(FORMER_INTERVAL, action);
        }
        let known = &mut self.owners[owner];
        let deadline = recovery_deadline(former, known.heard, at(self.now));
        known.scheduler.shorten_recovery(deadline, at(self.now));
        if former == FormerOwner::Ended {
            known.scheduler.on_former_ended();
        }
    }

    fn restore(&mut self, owner: usize) {
        if !self.reaches_store(self.owners[owner].host) || self.store_fails() {
            let action = Action::Owner(owner, OwnerAction::Restore);
            return self.after(CONFIRM_DELAY, action);
        }
        let host = self.owners[owner].host;
        self.tell_new_owner(host);
        self.read_zones(host);
        self.tell_zones(owner);
        self.read_jobs(owner);
        self.read_registry(owner);
        let (roster, revision) = (self.store.roster.clone(), self.store.roster_revision);
        let now = at(self.now);
        let added = self.owners[owner]
            .scheduler
            .on_roster(roster, revision, now);
        self.attach(owner, added);
        self.owners[owner].restored = true;
        self.owners[owner].recovered = self.store.recovered;
        self.wake(owner);
        for action in [
            OwnerAction::FollowFormer,
            OwnerAction::Write,
            OwnerAction::FollowRegistry,
            OwnerAction::FollowJobs,
        ] {
            self.after(1, Action::Owner(owner, action));
        }
    }

    /// Applies the jobs, cancellations and claims since the last read, in their order.
    fn read_jobs(&mut self, owner: usize) {
        let (seen, now) = (self.owners[owner].seen, self.now);
        let fence = self.owners[owner].fence;
        let mut changes: Vec<(u64, Option<WorkflowId>, bool)> = Vec::new();
        for (id, job) in self.store.jobs.iter().filter(|(_, job)| job.open) {
            changes.push((job.revision, Some(*id), false));
            changes.extend(job.cancelled.map(|revision| (revision, Some(*id), true)));
        }
        changes.extend(self.store.claims.iter().map(|claim| (*claim, None, false)));
        changes.retain(|(revision, ..)| *revision > seen);
        changes.sort_unstable();
        self.owners[owner].seen = self.store.revision;
        let restored = self.owners[owner].restored;
        for (revision, id, cancelled) in changes {
            let Some(id) = id else {
                if revision > fence {
                    return self.end_owner(owner, "another host claimed the shard");
                }
                continue;
            };
            let scheduler = &mut self.owners[owner].scheduler;
            if cancelled {
                scheduler.cancel(id, at(now));
                continue;
            }
            let job = &self.store.jobs[&id];
            let workflow = ActiveWorkflow {
                spec: job.spec.clone(),
                accepted: at(job.accepted),
                ..active_workflow(id.0, Vec::new(), revision, 0)
            };
            let progress = self.store.progress.get(&id).filter(|_| !restored);
            scheduler.submit(workflow, progress, at(now));
        }
    }

    fn follow_jobs(&mut self, owner: usize) {
        let action = Action::Owner(owner, OwnerAction::FollowJobs);
        self.after(FOLLOW_INTERVAL, action);
        if self.reaches_store(self.owners[owner].host) && !self.store_fails() {
            let seen = self.owners[owner].seen;
            self.read_jobs(owner);
            if self.owners[owner].seen > seen && !self.owners[owner].ended {
                self.wake(owner);
            }
        }
    }

    fn read_registry(&mut self, owner: usize) {
        let entries = self.registry();
        let now = at(self.now);
        let added = self.owners[owner].scheduler.on_registry(entries, now);
        self.attach(owner, added);
    }

    fn follow_registry(&mut self, owner: usize) {
        let action = Action::Owner(owner, OwnerAction::FollowRegistry);
        self.after(REGISTRY_INTERVAL, action);
        if self.reaches_store(self.owners[owner].host) && !self.store_fails() {
            self.read_registry(owner);
            let known = &mut self.owners[owner];
            let workers = &known.scheduler.workers;
            known.senders.retain(|key, _| workers.contains_key(*key));
            self.wake(owner);
        }
    }

    fn attach(&mut self, owner: usize, added: Vec<WorkerKey>) {
        for key in added {
            let known = &mut self.owners[owner];
            let entry = &known.scheduler.workers[key].registration;
            let sender = Sender {
                slot: super::world::slot_of(entry.address),
                id: entry.id.clone(),
                queue: VecDeque::new(),
                unsettled: VecDeque::new(),
                busy: false,
            };
            known.senders.insert(key, sender);
            self.after(1, Action::Owner(owner, OwnerAction::Poll(key)));
        }
    }

    fn write(&mut self, owner: usize) {
        let now = self.now;
        let known = &mut self.owners[owner];
        if known.writing.is_some() {
            return;
        }
        let full = now >= known.last_full + WRITE_INTERVAL;
        if now < known.write_at || !(full || known.scheduler.is_urgent()) {
            let action = Action::Owner(owner, OwnerAction::Write);
            return self.after(WRITE_DELAY, action);
        }
        let batch = known.scheduler.collect(full, at(now));
        let size = self.group_size;
        let changes = batch.changes();
        let groups = changes.chunks(size).map(<[Change]>::to_vec);
        let mut groups: VecDeque<Vec<Change>> = groups.collect();
        if groups.is_empty() {
            groups.push_back(Vec::new());
        }
        known.writing = Some(Writing { batch, groups });
        self.write_group(owner);
    }

    fn write_group(&mut self, owner: usize) {
        let known = &self.owners[owner];
        let Some(writing) = &known.writing else {
            return;
        };
        let write = Write {
            fence: known.fence,
            previous: known.previous,
            group: writing.groups.front().cloned().unwrap_or_default(),
        };
        self.send_write(owner, write);
    }

    fn on_commit(&mut self, owner: usize, commit: Option<(u64, Commit)>) {
        match commit {
            Some((sent, Commit::Done(revision))) => self.on_group_written(owner, sent, revision),
            Some((_, Commit::Conflict(found))) if found.epoch != self.owners[owner].fence => {
                self.end_owner(owner, "another host claimed the shard");
            }
            Some((_, Commit::Conflict(found))) => {
                let Some(mut writing) = self.owners[owner].writing.take() else {
                    return;
                };
                let group = writing.groups.pop_front().unwrap_or_default();
                let left: Vec<Change> = group
                    .into_iter()
                    .filter_map(|change| self.resolve(owner, change, &found.jobs))
                    .collect();
                let known = &mut self.owners[owner];
                known.previous = found.written;
                if left.is_empty() {
                    known.writing = Some(writing);
                    return self.next_group(owner);
                }
                writing.groups.push_front(left);
                known.writing = Some(writing);
                self.write_group(owner);
            }
            None => {
                let known = &mut self.owners[owner];
                known.writing = None;
                known.write_at = self.now + CONFIRM_DELAY;
                self.after(CONFIRM_DELAY, Action::Owner(owner, OwnerAction::Write));
            }
        }
    }

    fn on_group_written(&mut self, owner: usize, sent: u64, revision: u64) {
        self.confirm(owner, sent);
        let known = &mut self.owners[owner];
        known.previous = revision;
        known.scheduler.on_owned_write(revision);
        let Some(writing) = &mut known.writing else {
            return;
        };
        for change in writing.groups.pop_front().unwrap_or_default() {
            self.on_change_written(owner, &change, revision);
        }
        self.next_group(owner);
    }

    fn next_group(&mut self, owner: usize) {
        let now = self.now;
        let known = &mut self.owners[owner];
        let Some(writing) = known.writing.take_if(|writing| writing.groups.is_empty()) else {
            return self.write_group(owner);
        };
        known.scheduler.on_written(&writing.batch);
        if writing.batch.full {
            known.last_full = now;
        }
        known.write_at = now + WRITE_DELAY;
        self.after(WRITE_DELAY, Action::Owner(owner, OwnerAction::Write));
        if writing.batch.roster.is_some() {
            self.wake(owner);
        }
    }

    fn on_change_written(&mut self, owner: usize, change: &Change, revision: u64) {
        let now = at(self.now);
        let scheduler = &mut self.owners[owner].scheduler;
        match change {
            Change::End(end) => scheduler.on_end_written(end.workflow, now),
            Change::Start(start) => scheduler.on_start_written(start.workflow, revision),
            Change::Progress(key, _, progress) => scheduler.on_progress_written(*key, progress),
            Change::Move(_) => unreachable!("there is one shard"),
            Change::Roster(_) | Change::Recovered | Change::Pending(_) | Change::Pairs(_) => {}
        }
    }

    /// Resolves the conflict of a change. Returns the change that still has to be written.
    fn resolve(
        &mut self,
        owner: usize,
        change: Change,
        jobs: &BTreeMap<WorkflowId, (u64, WorkflowState)>,
    ) -> Option<Change> {
        let (Change::End(record) | Change::Start(record)) = change else {
            return Some(change);
        };
        let (revision, state) = jobs[&record.id];
        if record.state == WorkflowState::Cancelled || revision == record.revision {
            return Some(change);
        }
        if state == WorkflowState::Cancelled && matches!(change, Change::End(_)) {
            return Some(Change::End(crate::schedule::StateRecord {
                state,
                ..record
            }));
        }
        if state.is_final() {
            self.on_change_written(owner, &change, revision);
            return None;
        }
        let scheduler = &mut self.owners[owner].scheduler;
        scheduler.on_start_written(record.workflow, revision);
        let newer = crate::schedule::StateRecord { revision, ..record };
        Some(match change {
            Change::End(_) => Change::End(newer),
            _ => Change::Start(newer),
        })
    }

    fn poll(&mut self, owner: usize, key: WorkerKey) {
        let now = self.now;
        let known = &mut self.owners[owner];
        let renew = known.is_confirmed(now);
        let order = known.scheduler.poll_order(key, renew, at(now));
        let (Some(order), Some(sender)) = (order, known.senders.get(&key)) else {
            return;
        };
        let (slot, id) = (sender.slot, sender.id.clone());
        self.call(owner, key, slot, id, Request::Poll(order), None);
    }

    /// Sends the next order to a worker, if none is under way.
    fn send(&mut self, owner: usize, key: WorkerKey) {
        let now = self.now;
        let Some(sender) = self.owners[owner].senders.get_mut(&key) else {
            return;
        };
        if sender.busy {
            return;
        }
        let due = sender.unsettled.front().is_some_and(|next| next.0 <= now);
        let order = match sender.queue.pop_front() {
            Some(order) => order,
            None if due => sender.unsettled.pop_front().expect("one is due").1,
            None => return,
        };
        self.send_copy(owner, key, order);
    }

    fn send_copy(&mut self, owner: usize, key: WorkerKey, order: Order) {
        let now = self.now;
        let known = &mut self.owners[owner];
        let confirmed = known.is_confirmed(now);
        let request = match order {
            Order::Start { .. } if !confirmed => {
                return self.retry(owner, key, order, CONFIRM_DELAY);
            }
            Order::Start { task, run } if known.scheduler.holds_repeat(key, task, run) => {
                return self.retry(owner, key, order, ORDER_RETRY_DELAY);
            }
            Order::Start { task, run }
                if let Some(stop) = known.scheduler.withdraw_repeat(key, task, run, at(now)) =>
            {
                return self.send_copy(owner, key, Order::Stop(stop));
            }
            Order::Start { task, run } => {
                let order = known.scheduler.start_order(key, task, run, at(now));
                order.map(Request::Start)
            }
            Order::Stop(stop) => {
                let wanted = known.scheduler.wants_stop(key, &stop);
                wanted.then(|| Request::Stop(known.scheduler.with_fence(key, stop)))
            }
            Order::Throttle(..) => None,
        };
        let Some(request) = request else {
            return self.agenda_now(Action::Owner(owner, OwnerAction::Send(key)));
        };
        let Some(sender) = known.senders.get_mut(&key) else {
            return;
        };
        sender.busy = true;
        let (slot, id) = (sender.slot, sender.id.clone());
        if matches!(request, Request::Start(_)) {
            self.check_start_zone(owner, slot, "sends a start");
        }
        self.call(owner, key, slot, id, request, Some(order));
    }

    fn retry(&mut self, owner: usize, key: WorkerKey, order: Order, delay: u64) {
        let due = self.now + delay;
        if let Some(sender) = self.owners[owner].senders.get_mut(&key) {
            sender.unsettled.push_back((due, order));
            self.after(delay, Action::Owner(owner, OwnerAction::Send(key)));
        }
    }

    /// Processes the outcome of a call, unless an earlier one was processed.
    fn on_outcome(&mut self, owner: usize, call: u64, outcome: Outcome) {
        let Some(sent) = self.sent.remove(&call) else {
            return;
        };
        let key = sent.key;
        let fenced = matches!(outcome, Outcome::Answer(Answer::Fenced));
        if fenced && self.owners[owner].scheduler.is_superseded(key, sent.fence) {
            return self.end_owner(owner, "a worker follows a newer owner");
        }
        let Some(order) = sent.order else {
            return self.on_polled(owner, key, sent.at, outcome);
        };
        if let Some(sender) = self.owners[owner].senders.get_mut(&key) {
            sender.busy = false;
        }
        match order {
            Order::Start { task, run } => {
                self.on_start_outcome(owner, key, (task, run), sent.at, outcome)
            }
            Order::Stop(stop) => match outcome {
                Outcome::Answer(Answer::Stop) => {
                    let now = at(self.now);
                    self.owners[owner].scheduler.on_stop(key, &stop, now);
                }
                _ => self.retry(owner, key, order, ORDER_RETRY_DELAY),
            },
            Order::Throttle(..) => {}
        }
        self.agenda_now(Action::Owner(owner, OwnerAction::Send(key)));
    }

    fn on_start_outcome(
        &mut self,
        owner: usize,
        key: WorkerKey,
        (task, run): (TaskKey, u64),
        sent: u64,
        outcome: Outcome,
    ) {
        let now = at(self.now);
        let scheduler = &mut self.owners[owner].scheduler;
        let stop = match outcome {
            Outcome::Answer(Answer::Start(answer)) => {
                scheduler.check_clock(key, task, answer, at(sent), now);
                scheduler.on_start(key, task, run, answer.reply, now)
            }
            Outcome::Answer(Answer::Fenced) => {
                let order = Order::Start { task, run };
                self.retry(owner, key, order, ORDER_RETRY_DELAY);
                None
            }
            Outcome::Answer(Answer::Refused) => scheduler.on_start_refused(key, task, run, now),
            Outcome::Answer(Answer::Replaced) => {
                scheduler.on_start_misdirected(key, task, run, now);
                None
            }
            Outcome::NotConnected { .. } => {
                if !scheduler.on_start_undelivered(key, task, run, now) {
                    let order = Order::Start { task, run };
                    self.retry(owner, key, order, ORDER_RETRY_DELAY);
                }
                None
            }
            Outcome::Answer(_) | Outcome::Unanswered => {
                let stop = scheduler.on_start_unanswered(key, task, run, now);
                if stop.is_none() {
                    let order = Order::Start { task, run };
                    self.retry(owner, key, order, ORDER_RETRY_DELAY);
                }
                stop
            }
        };
        self.wake(owner);
        if let Some(stop) = stop {
            self.send_copy(owner, key, Order::Stop(stop));
        }
    }

    fn on_polled(&mut self, owner: usize, key: WorkerKey, sent: u64, outcome: Outcome) {
        let now = at(self.now);
        let scheduler = &mut self.owners[owner].scheduler;
        let delay = match outcome {
            Outcome::Answer(Answer::Report(report)) => {
                scheduler.on_report(key, at(sent), &report, now);
                let unacknowledged = scheduler.has_unacknowledged_ends(key);
                self.wake(owner);
                if unacknowledged {
                    UNACKNOWLEDGED_DELAY
                } else {
                    POLL_DELAY
                }
            }
            Outcome::Answer(Answer::Fenced) => POLL_DELAY,
            fault => {
                if matches!(fault, Outcome::Answer(Answer::Replaced)) {
                    scheduler.on_replaced(key, now);
                }
                let refused = matches!(fault, Outcome::NotConnected { refused: true });
                scheduler.on_poll_failed(key, refused);
                FAILED_POLL_DELAY
            }
        };
        self.after(delay, Action::Owner(owner, OwnerAction::Poll(key)));
    }
}
