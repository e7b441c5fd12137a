//! The state of a shard's owner, and the pass that places waiting tasks.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use slotmap::SlotMap;

use super::place::{Among, Misses};
use super::rank::{Rank, rank};
use super::waiting::WaitList;
use super::write::Writes;
use super::{Note, Order};
use crate::fleet::{Worker, WorkerKey};
use crate::interference::{Baseline, ImageKey, ImagePairs, Images};
use crate::moment::Moment;
use crate::routing::{Queue, Queues};
use crate::workflow::{
    ActiveWorkflow, JobTransition, Ledger, Progress, Stage, Step, TaskKey, TaskName, WorkflowId,
    WorkflowKey, WorkflowState,
};

/// Runs of one owner; an owner's numbers are above those of its predecessors.
const RUNS_PER_TERM: u64 = 1_000_000;
/// A gang that has waited for this long holds tasks behind it back, so that
/// its members find room together, until it has waited too long for that.
const HOLDS_BACK: Duration = Duration::from_millis(400);
const GIVES_WAY: Duration = Duration::from_secs(4);
/// A job whose task has waited for this long is explained in the log.
const EXPLAINS: Duration = Duration::from_secs(2);
/// How long a job that has ended is remembered: a reading of the store that
/// began before the end was written may still show it.
const REMEMBERED: Duration = Duration::from_secs(60);
/// How often waiting tasks are ranked anew.
const RERANK: Duration = Duration::from_millis(500);

/// One ownership of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Term {
    /// The fencing token: the revision of the claim.
    pub fence: u64,
    /// When every lease that a former owner could give has ended; none if
    /// there was no former owner.
    pub settles: Option<Moment>,
}

/// The terms of all queues, as the newest known configuration has them.
#[derive(Debug, Default)]
struct Terms {
    version: u64,
    queues: HashMap<String, Arc<Queue>>,
}

impl Terms {
    fn of(queues: &Queues) -> Self {
        let shared = |queue: &Queue| (queue.name.clone(), Arc::new(queue.clone()));
        Self {
            version: queues.version,
            queues: queues.list.iter().map(shared).collect(),
        }
    }

    fn apply(&self, flow: &mut ActiveWorkflow) {
        if let Some(queue) = self.queues.get(&flow.queue.name) {
            flow.queue = queue.clone();
        }
    }
}

/// The state of a shard's owner.
#[derive(Debug)]
pub struct Scheduler {
    /// The jobs and tasks.
    pub ledger: Ledger,
    /// The workers.
    pub workers: SlotMap<WorkerKey, Worker>,
    pub(super) by_id: HashMap<String, WorkerKey>,
    pub(super) term: Term,
    terms: Terms,
    pub(super) settling: bool,
    pub(super) unsettled: bool,
    pub(super) former: HashSet<WorkerKey>,
    waiting: WaitList,
    pub(super) recurring: BTreeSet<WorkflowKey>,
    pub(super) ended: HashMap<WorkflowId, Moment>,
    explained: HashSet<WorkflowKey>,
    /// Pools of which more than half is idle.
    pub(super) roomy: HashSet<String>,
    pub(super) closed: HashMap<WorkerKey, Vec<TaskName>>,
    pub(super) writes: Writes,
    pub(super) images: Images,
    pub(super) pairs: ImagePairs,
    pub(super) baselines: HashMap<ImageKey, Baseline>,
    pub(super) confirmed: Moment,
    ranked: Moment,
    runs: u64,
    orders: Vec<(WorkerKey, Order)>,
    notes: Vec<Note>,
}

impl Scheduler {
    /// The state at the begin of an ownership.
    pub fn new(term: Term) -> Self {
        Self {
            ledger: Ledger::default(),
            workers: SlotMap::with_key(),
            by_id: HashMap::new(),
            term,
            terms: Terms::default(),
            settling: term.settles.is_some(),
            unsettled: term.settles.is_some(),
            former: HashSet::new(),
            waiting: WaitList::default(),
            recurring: BTreeSet::new(),
            ended: HashMap::new(),
            explained: HashSet::new(),
            roomy: HashSet::new(),
            closed: HashMap::new(),
            writes: Writes::default(),
            images: Images::default(),
            pairs: ImagePairs::default(),
            baselines: HashMap::new(),
            confirmed: Moment::default(),
            ranked: Moment::default(),
            runs: 0,
            orders: Vec::new(),
            notes: Vec::new(),
        }
    }

    /// This ownership.
    pub const fn term(&self) -> Term {
        self.term
    }

    /// Takes in an accepted job. A job that is known already changes nothing.
    pub fn submit(&mut self, mut flow: ActiveWorkflow, progress: Option<&Progress>, now: Moment) {
        let known = self.ledger.find(flow.id).is_some();
        if known || self.ended.contains_key(&flow.id) {
            return;
        }
        let (id, queue, revision) = (flow.id, flow.queue.name.clone(), flow.revision);
        self.terms.apply(&mut flow);
        let inherited = self.is_inherited(revision);
        let recurring = flow.spec.recurrence.is_some();
        let key = self.ledger.add(flow);
        if recurring {
            self.recurring.insert(key);
        }
        let mut opened = self.ledger.unblock(key, inherited, now);
        if let Some(progress) = progress {
            let verdict = self.ledger.restore(key, progress, now);
            self.note_verdict(key, verdict, now);
            opened.extend(self.ledger.unblock(key, inherited, now));
        }
        self.note(Note::Queued {
            id: id.to_string(),
            queue,
            revision,
            tasks: opened.len(),
        });
        self.enqueue(key, now);
    }

    /// Whether a former owner may have started tasks of a job that was accepted
    /// at this revision. It takes in no job that was accepted after the claim.
    fn is_inherited(&self, revision: u64) -> bool {
        self.settling && revision < self.term.fence
    }

    /// Ends a job because a caller cancelled it.
    pub fn cancel(&mut self, id: WorkflowId, now: Moment) {
        let Some(key) = self.ledger.find(id) else {
            return;
        };
        if self.ledger.workflows[key].state.is_final() {
            return;
        }
        self.ledger.cancel(key);
        self.end_flow(key, now);
    }

    /// Uses the terms of newer queues for all jobs, also for those to come.
    pub fn configure(&mut self, queues: &Queues) {
        if self.terms.version == queues.version {
            return;
        }
        self.terms = Terms::of(queues);
        for flow in self.ledger.workflows.values_mut() {
            self.terms.apply(flow);
        }
    }

    /// Places what can be placed and returns the orders to send. The store has
    /// confirmed this ownership to a call sent at `confirmed`.
    pub fn plan(&mut self, confirmed: Moment, now: Moment) -> Vec<(WorkerKey, Order)> {
        self.confirmed = confirmed;
        self.close_silent(now);
        self.drop_lapsed(now);
        self.settle(now);
        self.start_recurring(now);
        if now - self.ranked >= RERANK {
            self.rank_again(now);
            self.pairs.decay(RERANK);
            self.ended.retain(|_, at| now - *at < REMEMBERED);
        }
        self.place_waiting(now);
        std::mem::take(&mut self.orders)
    }

    /// What was decided since the last call.
    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    pub(super) fn note(&mut self, note: Note) {
        self.notes.push(note);
    }

    pub(super) fn order(&mut self, worker: WorkerKey, order: Order) {
        self.orders.push((worker, order));
    }

    pub(super) fn next_run(&mut self) -> u64 {
        self.runs += 1;
        self.term.fence * RUNS_PER_TERM + self.runs
    }

    /// Opens steps whose predecessors are done, and queues all that may start.
    pub(super) fn enqueue(&mut self, key: WorkflowKey, now: Moment) {
        let inherited = self.is_inherited(self.ledger.workflows[key].revision);
        self.ledger.unblock(key, inherited, now);
        let flow = &self.ledger.workflows[key];
        if flow.state.is_final() {
            return;
        }
        let waiting: Vec<Rank> = self
            .ledger
            .all_tasks(key)
            .filter(|task| self.ledger.tasks[*task].stage == Stage::Waiting)
            .map(|task| rank(flow, task, &self.ledger.tasks[task], now))
            .collect();
        for rank in waiting {
            self.waiting.insert(rank);
        }
    }

    fn rank_again(&mut self, now: Moment) {
        self.ranked = now;
        self.roomy = self.roomy_pools(now);
        for key in self.waiting.take() {
            let Some(task) = self.ledger.tasks.get(key) else {
                continue;
            };
            let flow = &self.ledger.workflows[task.workflow];
            if task.stage == Stage::Waiting && !flow.state.is_final() {
                self.waiting.insert(rank(flow, key, task, now));
            }
        }
        self.explain_waits(now);
    }

    /// Notes why jobs wait, once a job.
    fn explain_waits(&mut self, now: Moment) {
        let mut notes = Vec::new();
        for key in self.waiting.iter() {
            let task = &self.ledger.tasks[key];
            let flow = &self.ledger.workflows[task.workflow];
            if now - task.ready < EXPLAINS || !self.explained.insert(task.workflow) {
                continue;
            }
            let step = flow.step(task.name);
            notes.push(Note::Waiting {
                task: task.name.to_string(),
                waited: (now - task.ready).as_millis() as u64,
                reason: self.wait_reason(flow, step, now),
                label: step.label.clone().unwrap_or_default(),
            });
        }
        self.notes.extend(notes);
        self.explained
            .retain(|flow| self.ledger.workflows.contains_key(*flow));
    }

    fn place_waiting(&mut self, now: Moment) {
        let mut misses = Misses::default();
        let queue: Vec<TaskKey> = self.waiting.iter().collect();
        for key in queue {
            let Some(task) = self.ledger.tasks.get(key) else {
                self.waiting.remove(key);
                continue;
            };
            let flow = &self.ledger.workflows[task.workflow];
            if task.stage != Stage::Waiting || flow.state.is_final() {
                self.waiting.remove(key);
                continue;
            }
            let step = flow.step(task.name);
            // The first task of a gang stands for all of them.
            let follows = step.gang && task.name.index > 0;
            let gated =
                task.restart_gate > Moment::default() && task.restart_gate >= self.confirmed;
            let covered = misses.covers(&flow.queue.pool, step) && !self.is_stuck(key, now);
            if gated || follows || covered {
                continue;
            }
            let gang = step.gang;
            let holds = gang && (HOLDS_BACK..GIVES_WAY).contains(&(now - task.ready));
            if self.place_one(key, now) {
                self.waiting.remove(key);
            } else if holds {
                misses.hold_back(self.step_of(key));
            } else {
                let flow = &self.ledger.workflows[self.ledger.tasks[key].workflow];
                misses.note(&flow.queue.pool, self.step_of(key));
            }
        }
    }

    pub(super) fn step_of(&self, key: TaskKey) -> &Step {
        let task = &self.ledger.tasks[key];
        self.ledger.workflows[task.workflow].step(task.name)
    }

    fn place_one(&mut self, key: TaskKey, now: Moment) -> bool {
        if self.is_gang(key) {
            return self.place_gang(key, now);
        }
        let Some(worker) = self.choose_for(key, now) else {
            return false;
        };
        let run = self.next_run();
        self.assign(key, worker, run, now);
        self.send_start(key, now);
        true
    }

    pub(super) fn choose_for(&self, key: TaskKey, now: Moment) -> Option<WorkerKey> {
        let task = &self.ledger.tasks[key];
        self.choose(
            &self.ledger.workflows[task.workflow],
            task,
            &Among::All,
            now,
        )
    }

    /// Gives a task to a worker and counts what it uses there.
    pub(super) fn assign(&mut self, key: TaskKey, worker: WorkerKey, run: u64, now: Moment) {
        self.ledger.tasks[key].run = run;
        self.ledger.tasks[key].lease_end = None;
        self.ledger.set_stage(key, Stage::Starting(worker), now);
        self.ledger.tasks[key].speed = crate::workflow::FULL_SPEED;
        self.count_in(key, worker);
    }

    /// Orders the start of a task that was given to a worker.
    pub(super) fn send_start(&mut self, key: TaskKey, now: Moment) {
        let task = &self.ledger.tasks[key];
        let Stage::Starting(worker) = task.stage else {
            return;
        };
        let run = task.run;
        let target = &self.workers[worker];
        let note = Note::Placed {
            task: task.name.to_string(),
            run,
            worker: target.entry.id.clone(),
            waited: (now - task.ready).as_millis() as u64,
            report_age: (now - target.last_contact).as_millis() as u64,
            free: target.free().millicores,
        };
        self.note(note);
        self.order(worker, Order::Start { task: key, run });
    }

    fn start_recurring(&mut self, now: Moment) {
        let due = |key: &WorkflowKey| self.ledger.next_due(*key).is_some_and(|due| due <= now);
        let flows: Vec<WorkflowKey> = self.recurring.iter().copied().filter(due).collect();
        for key in flows {
            self.enqueue(key, now);
        }
    }

    /// Notes what the end of a run means for its job.
    pub(super) fn note_verdict(&mut self, key: WorkflowKey, verdict: JobTransition, now: Moment) {
        match verdict {
            JobTransition::Unchanged => self.enqueue(key, now),
            JobTransition::Ended(_) => self.end_flow(key, now),
        }
    }

    /// Stops what a job that has ended still runs, and has its end written.
    pub(super) fn end_flow(&mut self, key: WorkflowKey, now: Moment) {
        let flow = &self.ledger.workflows[key];
        let (id, state, accepted) = (flow.id, flow.state, flow.accepted);
        self.note(Note::JobEnded {
            id: id.to_string(),
            state,
            after: (now - accepted).as_millis() as u64,
        });
        let reason = match state {
            WorkflowState::Cancelled => "the job was cancelled",
            _ => "the job has ended",
        };
        let live: Vec<TaskKey> = self.ledger.live_tasks(key).collect();
        for task in live {
            self.stop(task, reason, now);
        }
        self.recurring.remove(&key);
        self.writes.end(key);
    }

    /// Tells a worker to stop a run.
    pub(super) fn stop(&mut self, key: TaskKey, reason: &'static str, now: Moment) {
        let Some(worker) = self.ledger.tasks[key].stage.worker() else {
            return;
        };
        let order = self.stop_order(key);
        self.ledger.set_stage(key, Stage::Stopping(worker), now);
        let name = self.worker_name(worker);
        self.note(Note::Stopping {
            task: order.task.to_string(),
            run: order.run,
            worker: name,
            reason,
        });
        self.order(worker, Order::Stop(order));
    }

    /// Notes that no run of a task exists any more; it starts again.
    pub(super) fn lose(&mut self, key: TaskKey, reason: &'static str, now: Moment) {
        let task = &self.ledger.tasks[key];
        let (flow, name, run) = (task.workflow, task.name, task.run);
        let worker = task.stage.worker();
        let worker = worker
            .map(|worker| self.worker_name(worker))
            .unwrap_or_default();
        self.note(Note::RunLost {
            task: name.to_string(),
            run,
            worker,
            reason,
        });
        self.unassign(key);
        self.ledger.requeue(key, now);
        self.enqueue(flow, now);
        self.forget_ended(flow, now);
    }

    pub(super) fn worker_name(&self, worker: WorkerKey) -> String {
        let worker = self.workers.get(worker);
        worker
            .map(|worker| worker.entry.id.clone())
            .unwrap_or_default()
    }
}
