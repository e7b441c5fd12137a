//! The scheduling state of a shard's owner, and the pass that places waiting
//! tasks.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use slotmap::SlotMap;

use super::closed::ClosedWorker;
use super::crash::LostWorkers;
use super::delay::Delays;
use super::exposure::Exposure;
use super::failures::PlacementFailures;
use super::idle::IdleJobs;
use super::moves::Moves;
use super::peers::PeerEvidence;
use super::place::{Candidates, OpenWorkers};
use super::placement::{Placement, Tolerance};
use super::rank::{Rank, Ranks};
use super::trial::Trials;
use super::waiting::WaitList;
use super::write::Writes;
use super::{Event, Order, PeerShard};
use crate::evacuation::ZoneStates;
use crate::fleet::{
    Clock, HEARTBEAT_LEASE, Leases, MAX_WORKER_LEASE, RUN_LEASE, StopOrder, Worker, WorkerKey,
};
use crate::headroom::Headroom;
use crate::interference::{Baseline, ImageKey, ImagePairs, Images};
use crate::locality::{RackWaits, RemoteFactor};
use crate::moment::Moment;
use crate::routing::{Queue, Queues};
use crate::workflow::{
    ActiveWorkflow, FULL_SPEED, JobTransition, Ledger, Progress, Stage, Step, TaskKey, WorkflowId,
    WorkflowKey, WorkflowState,
};

/// The range of run numbers for one term. Run numbers start at the fencing token
/// times this, so that they are above those of all former owners.
const RUNS_PER_TERM: u64 = 1_000_000;
/// The waiting time after which a gang holds back the tasks behind it, so that
/// enough capacity for all its members becomes free.
const GANG_HOLD_DELAY: Duration = Duration::from_millis(400);
/// The waiting time after which a gang no longer holds back other tasks.
const GANG_RELEASE_DELAY: Duration = Duration::from_secs(4);
/// The waiting time of a task after which the log says why its job waits.
const WAIT_LOG_DELAY: Duration = Duration::from_secs(2);
/// How long the id of an ended job is kept, as a store read that began before the
/// end was written may still return the job.
const ENDED_RETENTION: Duration = Duration::from_secs(60);
/// The interval at which waiting tasks are ranked again.
const RERANK_INTERVAL: Duration = Duration::from_millis(500);

/// One continuous ownership of a shard.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Term {
    /// The fencing token: the store revision of the claim.
    pub fence: u64,
    /// The store revision of the former owner's release or, without one, of its claim; 0 if there
    /// was no former owner.
    pub former_epoch: u64,
    /// The recovery deadline, by which every lease that a former owner could
    /// give has ended; `None` if there was no former owner.
    pub recovery_deadline: Option<Moment>,
}

/// The settings of all queues from the newest known configuration.
#[derive(Debug, Default)]
struct QueueSettings {
    version: u64,
    queues: HashMap<String, Arc<Queue>>,
}

impl QueueSettings {
    fn from_queues(queues: &Queues) -> Self {
        let shared = |queue: &Queue| (queue.name.clone(), Arc::new(queue.clone()));
        Self {
            version: queues.version,
            queues: queues.list.iter().map(shared).collect(),
        }
    }

    fn apply(&self, workflow: &mut ActiveWorkflow) {
        if let Some(queue) = self.queues.get(&workflow.queue.name) {
            workflow.queue = queue.clone();
        }
    }
}

/// The scheduling state of a shard's owner.
#[derive(Debug)]
pub struct Scheduler {
    /// The jobs and their tasks.
    pub ledger: Ledger,
    /// The workers that this owner or a former one may use.
    pub workers: SlotMap<WorkerKey, Worker>,
    pub(super) by_id: HashMap<String, WorkerKey>,
    /// The zones that are to be evacuated.
    pub(super) zones: ZoneStates,
    pub(super) term: Term,
    queue_settings: QueueSettings,
    /// Whether a former owner may still have runs on any worker.
    pub(super) recovering: bool,
    /// Whether some tasks still wait for runs of a former owner to end.
    pub(super) tasks_recovering: bool,
    /// Whether all former owners are known to have ended.
    pub(super) former_ended: bool,
    /// Whether this owner has released the shard and gives no more orders.
    pub(super) released: bool,
    /// The workers of a former owner that have not answered this owner.
    pub(super) former_workers: HashSet<WorkerKey>,
    pub(super) waiting: WaitList,
    pub(super) headroom: Headroom,
    pub(super) delays: Delays,
    pub(super) idle_jobs: IdleJobs,
    pub(super) lost_workers: LostWorkers,
    pub(super) trials: Trials,
    pub(super) recurring: BTreeSet<WorkflowKey>,
    pub(super) recently_ended: HashMap<WorkflowId, Moment>,
    /// The jobs for which the log already says why they wait.
    logged_waits: HashSet<WorkflowKey>,
    /// When a slow task was last stopped to move.
    pub(super) moved_at: Moment,
    /// When the newest job of each pool was accepted.
    pub(super) newest_jobs: HashMap<String, Moment>,
    /// The pools with more than half of their processors idle.
    pub(super) idle_pools: HashSet<String>,
    /// The workers closed by a former owner that have not answered this owner.
    pub(super) closed_workers: HashMap<WorkerKey, ClosedWorker>,
    pub(super) writes: Writes,
    pub(super) images: Images,
    pub(super) pairs: ImagePairs,
    pub(super) exposure: Exposure,
    /// What was last read of the evidence of other shards' owners, by shard.
    pub(super) peers: HashMap<String, PeerEvidence>,
    /// The other shards.
    pub(super) peer_shards: Vec<PeerShard>,
    pub(super) moves: Moves,
    remote_factor: RemoteFactor,
    /// The longest time for which a run goes on without a renewal, whatever the lease in its order.
    pub(super) longest_lease: Duration,
    /// When the state of the former owner was read, whose orders may still be carried out late.
    pub(super) former_read: Option<Moment>,
    /// Which tasks wait for the rack of their data, as decided for the last pass.
    pub(super) rack_waits: RackWaits,
    pub(super) baselines: HashMap<ImageKey, Baseline>,
    /// The send time of the newest call by which the store confirmed this
    /// ownership.
    pub(super) confirmed: Moment,
    /// When the last heartbeat that the store accepted was sent.
    heartbeat: Moment,
    /// The newest store revision of a write that required this ownership. Any later claim has a
    /// higher one, so up to here all revisions serve as fencing tokens of this term.
    pub(super) owned_revision: u64,
    /// The highest fencing token of an order.
    pub(super) fence: u64,
    /// The highest fencing token of an order with a lease to a worker that was removed since.
    pub(super) removed_fence: u64,
    /// When the registry was last read.
    pub(super) registry_read: Moment,
    last_ranked: Moment,
    /// The run numbers of this term are higher than this.
    first_run: u64,
    /// The number of run numbers that were assigned in this term.
    run_count: u64,
    orders: Vec<(WorkerKey, Order)>,
    events: Vec<Event>,
}

impl Scheduler {
    /// Creates the state for the start of a term.
    pub fn new(term: Term) -> Self {
        Self {
            ledger: Ledger::default(),
            workers: SlotMap::with_key(),
            by_id: HashMap::new(),
            zones: ZoneStates::default(),
            term,
            queue_settings: QueueSettings::default(),
            recovering: term.recovery_deadline.is_some(),
            tasks_recovering: term.recovery_deadline.is_some(),
            former_ended: term.recovery_deadline.is_none(),
            released: false,
            former_workers: HashSet::new(),
            waiting: WaitList::default(),
            headroom: Headroom::default(),
            delays: Delays::default(),
            idle_jobs: IdleJobs::default(),
            lost_workers: LostWorkers::default(),
            trials: Trials::default(),
            recurring: BTreeSet::new(),
            recently_ended: HashMap::new(),
            logged_waits: HashSet::new(),
            moved_at: Moment::default(),
            newest_jobs: HashMap::new(),
            idle_pools: HashSet::new(),
            closed_workers: HashMap::new(),
            writes: Writes::default(),
            images: Images::default(),
            pairs: ImagePairs::default(),
            exposure: Exposure::default(),
            peers: HashMap::new(),
            peer_shards: Vec::new(),
            moves: Moves::default(),
            remote_factor: RemoteFactor::default(),
            longest_lease: Leases::longest(MAX_WORKER_LEASE),
            former_read: None,
            rack_waits: RackWaits::default(),
            baselines: HashMap::new(),
            confirmed: Moment::default(),
            heartbeat: Moment::default(),
            owned_revision: term.fence,
            fence: term.fence,
            removed_fence: 0,
            registry_read: Moment::default(),
            last_ranked: Moment::default(),
            first_run: term.fence * RUNS_PER_TERM,
            run_count: 0,
            orders: Vec::new(),
            events: Vec::new(),
        }
    }

    /// The current term.
    pub const fn term(&self) -> Term {
        self.term
    }

    /// Adds an accepted job with its stored progress. A job that is already known
    /// or has ended is ignored.
    pub fn submit(
        &mut self,
        mut workflow: ActiveWorkflow,
        progress: Option<&Progress>,
        now: Moment,
    ) {
        let known = self.ledger.find(workflow.id).is_some();
        let has_left = self.moves.has_left(workflow.id, workflow.revision);
        if known || has_left || self.recently_ended.contains_key(&workflow.id) {
            return;
        }
        let (id, queue, revision) = (workflow.id, workflow.queue.name.clone(), workflow.revision);
        let work = workflow.spec.work();
        self.queue_settings.apply(&mut workflow);
        let newest = self
            .newest_jobs
            .entry(workflow.queue.pool.clone())
            .or_default();
        *newest = workflow.accepted.max(*newest);
        // A job that was moved here may have had runs of higher numbers.
        self.first_run = self.first_run.max(workflow.last_run);
        let inherited = self.is_inherited(revision);
        let recurring = workflow.spec.recurrence.is_some();
        let key = self.ledger.add(workflow);
        if recurring {
            self.recurring.insert(key);
        }
        let mut unblocked = self.ledger.unblock(key, inherited, now);
        if let Some(progress) = progress {
            let transition = self.ledger.restore(key, progress, inherited, now);
            self.apply_transition(key, transition, now);
            unblocked.extend(self.ledger.unblock(key, inherited, now));
        }
        self.record(Event::Queued {
            id: id.to_string(),
            queue,
            revision,
            tasks: unblocked.len(),
            work,
        });
        self.enqueue(key, now);
    }

    /// Whether a former owner may have started tasks of a job that was accepted
    /// at this revision. A former owner adds no job that was accepted after this
    /// owner's claim.
    pub(super) fn is_inherited(&self, revision: u64) -> bool {
        (self.recovering || self.may_run_any()) && revision < self.term.fence
    }

    /// Cancels a job at the request of a caller.
    pub fn cancel(&mut self, id: WorkflowId, now: Moment) {
        let Some(key) = self.ledger.find(id) else {
            return;
        };
        if self.ledger.workflows[key].state.is_final() {
            return;
        }
        self.ledger.cancel(key);
        self.end_workflow(key, now);
    }

    /// Applies a newer configuration of queues to all current and future jobs.
    pub fn configure(&mut self, queues: &Queues) {
        if self.queue_settings.version == queues.version {
            return;
        }
        self.queue_settings = QueueSettings::from_queues(queues);
        for workflow in self.ledger.workflows.values_mut() {
            self.queue_settings.apply(workflow);
        }
        self.recount_short_use();
    }

    /// Sets how many times as long tasks take away from the rack of their data.
    pub const fn set_remote_factor(&mut self, factor: RemoteFactor) {
        self.remote_factor = factor;
    }

    /// Sets the longest lease that the workers grant.
    pub fn set_longest_lease(&mut self, granted: Duration) {
        self.longest_lease = Leases::longest(granted);
    }

    /// Places all waiting tasks that fit and returns the orders to send. The store
    /// has confirmed this ownership in reply to a call sent at `confirmed`.
    pub fn plan(&mut self, confirmed: Moment, now: Moment) -> Vec<(WorkerKey, Order)> {
        if self.released {
            return Vec::new();
        }
        self.confirmed = confirmed;
        self.record_zone_changes(now);
        self.close_silent(now);
        self.expire_leases(now);
        self.forget_overlong_leases();
        self.finish_recovery(now);
        self.start_recurring(now);
        self.end_trials(now);
        let elapsed = now - self.last_ranked;
        if elapsed < RERANK_INTERVAL {
            self.place_waiting(now);
        } else {
            self.rerank(now);
            self.pairs.decay(RERANK_INTERVAL);
            self.recently_ended
                .retain(|_, at| now - *at < ENDED_RETENTION);
            self.place_waiting(now);
            self.record_delays(elapsed, now);
            self.record_waits(now);
            self.record_idle_jobs(now);
            self.plan_moves(now);
        }
        std::mem::take(&mut self.orders)
    }

    /// Records that the store accepted a heartbeat of this owner, sent at that moment.
    pub fn on_heartbeat(&mut self, sent: Moment) {
        self.heartbeat = sent.max(self.heartbeat);
    }

    /// Whether the last heartbeat allows leases of full length.
    pub(super) fn has_full_leases(&self, now: Moment) -> bool {
        now + RUN_LEASE <= self.heartbeat + HEARTBEAT_LEASE
    }

    /// The end of a lease that is given now, in milliseconds of a worker's clock. It ends in
    /// time for a new owner, if there is one: it cannot tell whether this owner goes on.
    pub(super) fn lease_end(&self, clock: Clock, now: Moment) -> u64 {
        let limit = clock.latest_lease_end(self.heartbeat + HEARTBEAT_LEASE);
        clock.lease_end(now, RUN_LEASE).min(limit)
    }

    /// Removes and returns the events recorded since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    pub(super) fn record(&mut self, event: Event) {
        self.events.push(event);
    }

    pub(super) fn order(&mut self, worker: WorkerKey, order: Order) {
        self.orders.push((worker, order));
    }

    pub(super) fn next_run(&mut self) -> u64 {
        self.run_count += 1;
        self.first_run + self.run_count
    }

    /// Whether this owner has started a run with this number.
    pub(super) const fn is_own_run(&self, run: u64) -> bool {
        run > self.first_run
    }

    /// Unblocks steps whose predecessors are done, and queues all tasks that can
    /// start.
    pub(super) fn enqueue(&mut self, key: WorkflowKey, now: Moment) {
        let inherited = self.is_inherited(self.ledger.workflows[key].revision);
        self.ledger.unblock(key, inherited, now);
        let workflow = &self.ledger.workflows[key];
        if workflow.state.is_final() {
            return;
        }
        let mut ranks = Ranks::default();
        let waiting: Vec<Rank> = self
            .ledger
            .all_tasks(key)
            .filter(|task| self.ledger.tasks[*task].stage == Stage::Waiting)
            .map(|task| ranks.rank(workflow, task, &self.ledger.tasks[task], now))
            .collect();
        for rank in waiting {
            self.waiting.insert(rank);
        }
    }

    fn rerank(&mut self, now: Moment) {
        self.last_ranked = now;
        self.idle_pools = self.find_idle_pools(now);
        let mut ranks = Ranks::default();
        for key in self.waiting.take() {
            let Some(task) = self.ledger.tasks.get(key) else {
                continue;
            };
            let workflow = &self.ledger.workflows[task.workflow];
            if task.stage == Stage::Waiting && !workflow.state.is_final() {
                self.waiting.insert(ranks.rank(workflow, key, task, now));
            }
        }
    }

    /// Records why jobs wait, once per job.
    fn record_waits(&mut self, now: Moment) {
        let mut events = Vec::new();
        for key in self.waiting.iter() {
            let task = &self.ledger.tasks[key];
            let workflow = &self.ledger.workflows[task.workflow];
            let waits = task.stage == Stage::Waiting && now - task.ready >= WAIT_LOG_DELAY;
            if !waits || !self.logged_waits.insert(task.workflow) {
                continue;
            }
            let step = workflow.step(task.name);
            events.push(Event::Waiting {
                task: task.name.to_string(),
                waited: (now - task.ready).as_millis() as u64,
                reason: self.wait_reason(workflow, task, now),
                label: step.label.clone().unwrap_or_default(),
                image: step.image.clone(),
                running: self.ledger.live_tasks(task.workflow).count(),
            });
        }
        self.events.extend(events);
        self.logged_waits
            .retain(|workflow| self.ledger.workflows.contains_key(*workflow));
    }

    fn place_waiting(&mut self, now: Moment) {
        let mut failures = PlacementFailures::default();
        let open = self.open_workers(now);
        self.decide_rack_waits(now);
        let queue: Vec<TaskKey> = self.waiting.iter().collect();
        self.observe_headroom(&queue, &open, now);
        for key in queue {
            let Some(task) = self.ledger.tasks.get(key) else {
                self.waiting.remove(key);
                continue;
            };
            let workflow = &self.ledger.workflows[task.workflow];
            if task.stage != Stage::Waiting || workflow.state.is_final() {
                self.waiting.remove(key);
                continue;
            }
            if self.moves.is_pending(task.workflow) {
                continue;
            }
            let step = workflow.step(task.name);
            // A gang is placed as a whole when its first task is reached.
            let later_member = step.gang && task.name.index > 0;
            let gated = if step.gang {
                let members = self.members(key);
                members.iter().any(|member| self.is_gated(*member, now))
            } else {
                self.is_gated(key, now)
            };
            // What holds back other tasks says nothing of the worker of a trial.
            let needs_trial = self.needs_trial(key, now);
            let tolerance = self.tolerance(workflow, task, now);
            let covered = !needs_trial && failures.covers(&workflow.queue.pool, step, tolerance);
            if gated || later_member || covered {
                continue;
            }
            if self.headroom.holds_back(workflow, task, now) {
                self.headroom.add_held_back(workflow, task);
                continue;
            }
            let gang = step.gang;
            let holds_back = gang
                && !self.rack_waits.waits(step, task.name)
                && (GANG_HOLD_DELAY..GANG_RELEASE_DELAY).contains(&(now - task.ready))
                && self.waits_for_capacity(key, now);
            if self.place_task(key, &open, tolerance, now) {
                self.waiting.remove(key);
                self.update_headroom(key, now);
            } else if holds_back {
                let workflow = &self.ledger.workflows[self.ledger.tasks[key].workflow];
                failures.hold_back(&workflow.queue.pool, self.step_of(key));
            } else if !needs_trial {
                let workflow = &self.ledger.workflows[self.ledger.tasks[key].workflow];
                failures.record(&workflow.queue.pool, self.step_of(key), tolerance);
            }
        }
    }

    fn decide_rack_waits(&mut self, now: Moment) {
        let waiting = self.waiting.iter();
        let factor = self.remote_factor;
        self.rack_waits = RackWaits::decide(&self.ledger, &self.workers, waiting, factor, now);
    }

    /// Whether a task waits until the store has confirmed that no newer owner renewed its
    /// last run, or until it is known whether that run crashed its worker.
    pub(super) fn is_gated(&self, key: TaskKey, now: Moment) -> bool {
        let task = &self.ledger.tasks[key];
        let gate = task.restart_gate;
        let unconfirmed = gate > Moment::default() && gate >= self.confirmed;
        unconfirmed || now < task.held_until
    }

    pub(super) fn step_of(&self, key: TaskKey) -> &Step {
        let task = &self.ledger.tasks[key];
        self.ledger.workflows[task.workflow].step(task.name)
    }

    fn place_task(
        &mut self,
        key: TaskKey,
        open: &OpenWorkers,
        tolerance: Tolerance,
        now: Moment,
    ) -> bool {
        if self.is_gang(key) {
            return self.place_gang(key, open, tolerance, now);
        }
        let Some(placement) = self.choose_for(key, open, tolerance, now) else {
            return false;
        };
        if !self.begin_trial(key, placement.worker, now) {
            return false;
        }
        let run = self.next_run();
        self.assign(key, placement, run, now);
        self.send_start(key, now);
        true
    }

    pub(super) fn choose_for(
        &self,
        key: TaskKey,
        open: &OpenWorkers,
        tolerance: Tolerance,
        now: Moment,
    ) -> Option<Placement> {
        let task = &self.ledger.tasks[key];
        let workflow = &self.ledger.workflows[task.workflow];
        self.choose(workflow, task, open, &Candidates::All, tolerance, now)
    }

    /// Assigns a run of a task to a worker and adds the capacity that it uses.
    pub(super) fn assign(&mut self, key: TaskKey, placement: Placement, run: u64, now: Moment) {
        let Placement { worker, speed } = placement;
        self.ledger.tasks[key].run = run;
        self.ledger.tasks[key].lease_end = None;
        self.ledger.tasks[key].unanswered_copies = 0;
        self.ledger.tasks[key].survived = Duration::ZERO;
        self.ledger.tasks[key].begun = false;
        self.ledger.set_stage(key, Stage::Starting(worker), now);
        self.ledger.tasks[key].speed = FULL_SPEED;
        self.ledger.tasks[key].allowed_speed = speed;
        self.ledger.tasks[key].speed_ordered = now;
        self.ledger.tasks[key].speed_pending = false;
        self.ledger.tasks[key].speed_unknown = false;
        self.add_usage(key, worker);
    }

    /// Queues the start order for a task that is assigned to a worker.
    pub(super) fn send_start(&mut self, key: TaskKey, now: Moment) {
        let task = &self.ledger.tasks[key];
        let Stage::Starting(worker) = task.stage else {
            return;
        };
        let run = task.run;
        let target = &self.workers[worker];
        let rack = self.step_of(key).data_rack.as_deref();
        let event = Event::Placed {
            task: task.name.to_string(),
            run,
            worker: target.registration.id.clone(),
            waited: (now - task.ready).as_millis() as u64,
            report_age: (now - target.last_contact).as_millis() as u64,
            incarnation: target.registration.incarnation,
            free: target.free().millicores,
            near: rack.map(|rack| rack == target.registration.rack()),
        };
        self.record(event);
        self.record_placement(key);
        self.order(worker, Order::Start { task: key, run });
        let allowed = self.ledger.tasks[key].allowed_speed;
        if allowed < FULL_SPEED {
            self.throttle(key, worker, allowed, now);
        }
    }

    fn start_recurring(&mut self, now: Moment) {
        let due = |key: &WorkflowKey| self.ledger.next_due(*key).is_some_and(|due| due <= now);
        let workflows: Vec<WorkflowKey> = self.recurring.iter().copied().filter(due).collect();
        for key in workflows {
            self.enqueue(key, now);
        }
    }

    /// Continues a job, or ends it if the transition says that it has ended.
    pub(super) fn apply_transition(
        &mut self,
        key: WorkflowKey,
        transition: JobTransition,
        now: Moment,
    ) {
        match transition {
            JobTransition::Unchanged => self.enqueue(key, now),
            JobTransition::Ended(_) => self.end_workflow(key, now),
        }
    }

    /// Stops the remaining runs of an ended job and schedules the write of its end.
    pub(super) fn end_workflow(&mut self, key: WorkflowKey, now: Moment) {
        let workflow = &self.ledger.workflows[key];
        let (state, after) = (workflow.state, now - workflow.accepted);
        let event = Event::JobEnded {
            id: workflow.id.to_string(),
            state,
            after: after.as_millis() as u64,
            work: workflow.spec.work(),
            delay: self.delays.take(key),
        };
        self.record(event);
        let reason = match state {
            WorkflowState::Cancelled => "the job was cancelled",
            _ => "the job has ended",
        };
        let live: Vec<TaskKey> = self.ledger.live_tasks(key).collect();
        for task in live {
            self.stop(task, reason, now);
        }
        self.recurring.remove(&key);
        self.moves.cancel(key);
        self.writes.mark_ended(key);
    }

    /// Queues the order to stop the current run of a task.
    pub(super) fn stop(&mut self, key: TaskKey, reason: &'static str, now: Moment) {
        let Some(worker) = self.ledger.tasks[key].stage.worker() else {
            return;
        };
        let workflow = self.ledger.tasks[key].workflow;
        if !self.ledger.workflows[workflow].state.is_final() {
            self.record_eviction(workflow);
        }
        if let Some(order) = self.begin_stop(key, reason, now) {
            self.order(worker, Order::Stop(order));
        }
    }

    /// Marks the current run of a task as stopping. Returns the order to send to its
    /// worker.
    pub(super) fn begin_stop(
        &mut self,
        key: TaskKey,
        reason: &'static str,
        now: Moment,
    ) -> Option<StopOrder> {
        let worker = self.ledger.tasks[key].stage.worker()?;
        let order = self.stop_order(key);
        self.ledger.set_stage(key, Stage::Stopping(worker), now);
        let name = self.worker_name(worker);
        self.record(Event::Stopping {
            task: order.task.to_string(),
            run: order.run,
            worker: name,
            reason,
        });
        Some(order)
    }

    /// Releases a task whose run no longer exists, so that it can start again.
    pub(super) fn lose(&mut self, key: TaskKey, reason: &'static str, now: Moment) {
        let task = &self.ledger.tasks[key];
        let (workflow, name, run) = (task.workflow, task.name, task.run);
        let unanswered = task.unanswered_copies;
        let worker = task.stage.worker();
        let worker = worker
            .map(|worker| self.worker_name(worker))
            .unwrap_or_default();
        self.record(Event::RunLost {
            task: name.to_string(),
            run,
            worker,
            reason,
            unanswered,
        });
        self.unassign(key);
        self.ledger.requeue(key, now);
        self.enqueue(workflow, now);
        self.forget_ended(workflow, now);
    }

    pub(super) fn worker_name(&self, worker: WorkerKey) -> String {
        let worker = self.workers.get(worker);
        worker
            .map(|worker| worker.registration.id.clone())
            .unwrap_or_default()
    }
}
