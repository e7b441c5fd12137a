//! Moves jobs to shards whose workers can run them.
//!
//! A job belongs to a shard of the host that accepted it. If the workers of that shard are lost
//! or full while those of another shard are idle, the owner moves the job there: in one
//! transaction its keys leave the one shard and appear in the other. Only a job without runs
//! moves, and while the outcome of the transaction is unknown the job starts nothing.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::{Event, Scheduler};
use crate::evacuation::ZoneStates;
use crate::fleet::{Availability, PoolLoad, Registration};
use crate::moment::Moment;
use crate::routing::Queue;
use crate::workflow::{
    ActiveWorkflow, MovedJob, Stage, Step, TaskKey, Workflow, WorkflowId, WorkflowKey,
    WorkflowState,
};

/// How long nothing of a job has run before it leaves a shard that has no worker for it.
const MOVE_DELAY: Duration = Duration::from_secs(1);
/// The same for a shard whose workers for it are busy.
const BUSY_MOVE_DELAY: Duration = Duration::from_secs(2);
/// The idle processors, in percent, that a pool keeps when jobs of a busy shard move to it.
const KEPT_IDLE_PERCENT: i64 = 50;
/// The largest number of tasks of a job that moves, as its progress must fit into a value of
/// the store.
const MAX_MOVED_TASKS: usize = 2000;
/// How long a move is remembered: a read of the store that began before it may still list the
/// job.
const MOVE_RETENTION: Duration = Duration::from_secs(60);

/// Another shard, as its owner's last heartbeat and the registry show it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerShard {
    /// The name of the shard.
    pub name: String,
    /// The registered workers of the shard.
    pub workers: Vec<Registration>,
    /// The load of its pools.
    pub pools: Vec<PoolLoad>,
}

impl PeerShard {
    /// The share of idle processors of a pool, in percent; `None` if none of its workers accepts
    /// new tasks.
    fn idle_percent(&self, pool: &str) -> Option<u8> {
        let mut loads = self.pools.iter();
        let load = loads.find(|load| load.pool == pool && load.open > 0)?;
        Some(load.idle)
    }

    /// The workers of a pool that are not about to leave, nor in an evacuated zone.
    fn ready(&self, pool: &str, zones: &ZoneStates) -> impl Iterator<Item = &Registration> {
        self.workers.iter().filter(move |worker| {
            worker.pool == pool
                && worker.availability == Availability::Ready
                && !zones.is_evacuated(&worker.zone)
        })
    }

    fn holds(&self, pool: &str, step: &Step, zones: &ZoneStates) -> bool {
        let mut workers = self.ready(pool, zones);
        workers.any(|worker| fits(worker, step))
    }

    /// The processors of a pool, in millicores.
    fn millicores(&self, pool: &str, zones: &ZoneStates) -> i64 {
        self.ready(pool, zones)
            .map(|worker| i64::from(worker.capacity.millicores))
            .sum()
    }
}

/// Whether a worker could run a task of this step if it were empty.
fn fits(worker: &Registration, step: &Step) -> bool {
    let labelled = step
        .label
        .as_ref()
        .is_none_or(|label| worker.labels.contains(label));
    labelled && worker.capacity.holds(step.need)
}

/// A job that is to be written to another shard.
#[derive(Debug, Clone, PartialEq)]
pub struct MoveRecord {
    /// The key of the job.
    pub workflow: WorkflowKey,
    /// The id of the job.
    pub id: WorkflowId,
    /// The name of the other shard.
    pub to: String,
    /// The store revision of the job's record, as last seen by this owner.
    pub revision: u64,
    /// The state of the job.
    pub state: WorkflowState,
    /// The job's queue with its current settings.
    pub queue: Arc<Queue>,
    /// The job as the caller submitted it.
    pub spec: Arc<Workflow>,
    /// When the job was accepted.
    pub accepted: Moment,
    /// What the job takes along.
    pub moved: MovedJob,
}

/// The moves of a shard's jobs.
#[derive(Debug, Default)]
pub(super) struct Moves {
    /// The jobs whose move is to be written, with the names of the other shards.
    pending: BTreeMap<WorkflowKey, String>,
    /// The jobs that have moved: the store revision of the move, and when it was noted.
    gone: HashMap<WorkflowId, (u64, Moment)>,
}

impl Moves {
    pub fn is_pending(&self, key: WorkflowKey) -> bool {
        self.pending.contains_key(&key)
    }

    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Keeps a job in the shard.
    pub fn cancel(&mut self, key: WorkflowKey) {
        self.pending.remove(&key);
    }

    /// Whether a job that was accepted at this revision has left the shard since.
    pub fn has_left(&self, id: WorkflowId, revision: u64) -> bool {
        self.gone.get(&id).is_some_and(|(left, _)| revision < *left)
    }
}

/// The idle processors of the pools of other shards, less what jobs that move need.
struct Targets<'a> {
    shards: &'a [PeerShard],
    zones: &'a ZoneStates,
    /// In millicores, by the index of the shard and the pool.
    idle: HashMap<(usize, String), i64>,
}

impl Targets<'_> {
    /// Chooses the shard with the most idle processors that can run all of these steps.
    fn choose(&mut self, pool: &str, steps: &[&Step], need: i64, keeps_idle: bool) -> Option<&str> {
        let mut best: Option<(i64, usize)> = None;
        for (index, shard) in self.shards.iter().enumerate() {
            let Some(percent) = shard.idle_percent(pool) else {
                continue;
            };
            let whole = shard.millicores(pool, self.zones);
            let reported = whole * i64::from(percent) / 100;
            let idle = *self
                .idle
                .entry((index, pool.to_owned()))
                .or_insert(reported);
            let has_room = !keeps_idle || idle - need >= whole * KEPT_IDLE_PERCENT / 100;
            let holds_all = steps.iter().all(|step| shard.holds(pool, step, self.zones));
            if has_room && holds_all && best.is_none_or(|(most, _)| idle > most) {
                best = Some((idle, index));
            }
        }
        let (_, index) = best?;
        *self.idle.entry((index, pool.to_owned())).or_default() -= need;
        Some(&self.shards[index].name)
    }
}

impl Scheduler {
    /// Applies what is known of the other shards.
    pub fn on_peer_shards(&mut self, shards: Vec<PeerShard>) {
        self.peer_shards = shards;
    }

    /// The load of this shard's pools, for the other hosts.
    pub fn pool_loads(&self, now: Moment) -> Vec<PoolLoad> {
        let mut pools: BTreeMap<&str, (u32, i64, i64)> = BTreeMap::new();
        for worker in self.workers.values().filter(|worker| worker.is_open(now)) {
            let (open, free, whole) = pools.entry(&worker.registration.pool).or_default();
            *open += 1;
            *free += worker.idle().max(0);
            *whole += i64::from(worker.registration.capacity.millicores);
        }
        let rows = pools
            .into_iter()
            .map(|(pool, (open, free, whole))| PoolLoad {
                pool: pool.to_owned(),
                open,
                idle: (free * 100 / whole.max(1)) as u8,
            });
        rows.collect()
    }

    /// Begins to move the idle jobs that other shards can run and this one cannot.
    pub(super) fn plan_moves(&mut self, now: Moment) {
        self.moves
            .gone
            .retain(|_, (_, at)| now - *at < MOVE_RETENTION);
        if self.peer_shards.is_empty() || !self.has_roster() {
            return;
        }
        let shards = std::mem::take(&mut self.peer_shards);
        let mut targets = Targets {
            shards: &shards,
            zones: &self.zones,
            idle: HashMap::new(),
        };
        for (job, idle) in self.idle_jobs.all(now) {
            if idle < MOVE_DELAY || !self.can_leave(job, now) {
                continue;
            }
            if let Some(shard) = self.choose_shard(job, idle, &mut targets, now) {
                self.moves.pending.insert(job, shard);
            }
        }
        self.peer_shards = shards;
    }

    /// Whether no run of a job exists or may begin on any worker of this shard.
    fn can_leave(&self, job: WorkflowKey, now: Moment) -> bool {
        let Some(workflow) = self.ledger.workflows.get(job) else {
            return false;
        };
        if workflow.state.is_final() || self.moves.is_pending(job) {
            return false;
        }
        let tasks: Vec<TaskKey> = self.ledger.all_tasks(job).collect();
        let rests = |task: &TaskKey| {
            let stage = self.ledger.tasks[*task].stage;
            let at_rest = matches!(stage, Stage::Blocked | Stage::Waiting | Stage::Done);
            at_rest && !self.is_gated(*task, now)
        };
        let mut workers = self.workers.values();
        let has_unknown_run = workers.any(|worker| {
            let mut runs = worker.unknown_runs.keys();
            runs.any(|(task, _)| task.workflow == workflow.id)
        });
        tasks.len() <= MAX_MOVED_TASKS && tasks.iter().all(rests) && !has_unknown_run
    }

    /// Chooses the shard to move an idle job to; `None` if it stays.
    fn choose_shard(
        &self,
        job: WorkflowKey,
        idle: Duration,
        targets: &mut Targets<'_>,
        now: Moment,
    ) -> Option<String> {
        let workflow = &self.ledger.workflows[job];
        let pool = workflow.queue.pool.as_str();
        let tasks = self
            .ledger
            .all_tasks(job)
            .map(|key| &self.ledger.tasks[key]);
        let waiting: Vec<&Step> = tasks
            .filter(|task| task.stage == Stage::Waiting)
            .map(|task| workflow.step(task.name))
            .collect();
        let need = waiting
            .iter()
            .map(|step| i64::from(step.need.millicores))
            .sum();
        let has_worker = waiting
            .iter()
            .all(|step| self.has_worker(workflow, step, now));
        let stays =
            idle < BUSY_MOVE_DELAY || self.idle_pools.contains(pool) || self.waits_for_rack(job);
        if has_worker && stays {
            return None;
        }
        let target = targets.choose(pool, &waiting, need, has_worker);
        target.map(str::to_owned)
    }

    /// Whether a task of a job waits for the rack of its data, which no other shard has.
    fn waits_for_rack(&self, job: WorkflowKey) -> bool {
        let workflow = &self.ledger.workflows[job];
        let mut names = self
            .ledger
            .all_tasks(job)
            .map(|key| self.ledger.tasks[key].name);
        names.any(|name| self.rack_waits.waits(workflow.step(name), name))
    }

    /// Whether a worker of this shard accepts tasks and could run this one if it were empty.
    fn has_worker(&self, workflow: &ActiveWorkflow, step: &Step, now: Moment) -> bool {
        let mut workers = self.workers.values();
        workers.any(|worker| {
            worker.accepts_tasks(now)
                && worker.registration.pool == workflow.queue.pool
                && fits(&worker.registration, step)
        })
    }

    /// The moves to write now.
    pub(super) fn move_records(&self) -> Vec<MoveRecord> {
        let pending = self.moves.pending.iter();
        pending
            .filter_map(|(key, to)| self.move_record(*key, to))
            .collect()
    }

    fn move_record(&self, key: WorkflowKey, to: &str) -> Option<MoveRecord> {
        let workflow = self.ledger.workflows.get(key)?;
        let tasks = self.ledger.all_tasks(key);
        let last_run = tasks.map(|task| self.ledger.tasks[task].run).max();
        Some(MoveRecord {
            workflow: key,
            id: workflow.id,
            to: to.to_owned(),
            revision: workflow.record_revision,
            state: workflow.state,
            queue: workflow.queue.clone(),
            spec: workflow.spec.clone(),
            accepted: workflow.accepted,
            moved: MovedJob {
                progress: self.ledger.progress(key),
                last_run: last_run.unwrap_or_default().max(workflow.last_run),
                moves: workflow.moves + 1,
            },
        })
    }

    /// Forgets a job whose move is stored, at this revision.
    pub fn on_job_moved(&mut self, key: WorkflowKey, revision: u64, now: Moment) {
        let to = self.moves.pending.remove(&key);
        let Some((workflow, to)) = self.ledger.workflows.get(key).zip(to) else {
            return;
        };
        let id = workflow.id;
        self.record(Event::JobMoved {
            id: id.to_string(),
            to,
        });
        self.moves.gone.insert(id, (revision, now));
        self.recurring.remove(&key);
        self.delays.take(key);
        self.ledger.forget(key);
        self.writes.forget(key);
    }

    /// Keeps a job of which the store shows that it was cancelled before it moved.
    pub fn on_move_refused(&mut self, key: WorkflowKey) {
        self.moves.cancel(key);
    }
}
