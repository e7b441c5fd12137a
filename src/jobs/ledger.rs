//! The ledger of one shard.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use slotmap::SlotMap;

use super::Wall;
use super::change::{Change, JobRecord, Outcome};
use super::keys::Keys;
use super::run::Orders;
use super::task::{StopReason, Task, TaskStage};
use crate::ids::{Attempt, Epoch, JobId, JobKey, ShardId, TaskId, TaskKey, WorkerKey};
use crate::kind::RetryReason;
use crate::moment::Moment;

/// The settings of a ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerSettings {
    /// How long a task runs without a renewal by the owner.
    pub lease: Duration,
    /// How long a worker takes a ticket.
    pub ticket: Duration,
    /// Added to both for the clocks' different rates.
    pub margin: Duration,
    /// The first wait after a failure.
    pub delay: Duration,
    /// How long an ended job stays in the ledger, in milliseconds.
    pub keep_jobs: u64,
    /// How long an idempotency key stays in the ledger, in milliseconds.
    pub keep_keys: u64,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(10),
            ticket: crate::workers::TICKET_LIFETIME,
            margin: Duration::from_millis(500),
            delay: Duration::from_millis(200),
            keep_jobs: 24 * 3600 * 1000,
            keep_keys: 900 * 1000,
        }
    }
}

impl LedgerSettings {
    /// After this time without contact nothing that an owner started runs any
    /// more: the last ticket has ended, and so has every lease under it.
    pub fn horizon(&self) -> Duration {
        self.lease + self.ticket + self.margin
    }
}

/// A job with its tasks.
#[derive(Debug)]
pub(super) struct Job {
    pub record: JobRecord,
    pub tasks: Vec<TaskKey>,
    pub cancelled: bool,
    pub open: u32,
    /// The outcomes of the tasks that ended.
    pub ended: BTreeMap<Outcome, u32>,
    pub ended_at: Option<Wall>,
    /// Since when no worker of the shard could hold a task.
    pub homeless: Option<Moment>,
    /// The jobs that took tasks of it.
    pub moves: Vec<JobMove>,
}

/// Tasks that went to a job of another shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct JobMove {
    pub to: JobId,
    pub tasks: Vec<u32>,
}

/// A job that another shard took.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Redirect {
    pub job: JobId,
    pub to: ShardId,
    pub at: Wall,
}

/// About how many bytes of a snapshot a job and a task take.
const JOB_WEIGHT: usize = 450;
const TASK_WEIGHT: usize = 20;

/// The order in which waiting tasks are started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    /// Urgent work first.
    pub class: u8,
    /// Then what has to start first to meet its deadline.
    pub latest_start: Wall,
    pub task: TaskKey,
}

/// A worker that may run tasks of the shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct RosterEntry {
    pub address: String,
    /// Whether the log says so.
    pub logged: bool,
    /// Whether its removal is on the way to the log.
    pub leaving: bool,
}

/// The ledger of one shard.
#[derive(Debug)]
pub struct Ledger {
    pub(super) shard: ShardId,
    pub(super) epoch: Epoch,
    pub(super) settings: LedgerSettings,
    pub(super) jobs: SlotMap<JobKey, Job>,
    pub(super) tasks: SlotMap<TaskKey, Task>,
    pub(super) index: HashMap<JobId, JobKey>,
    pub(super) pending: HashMap<JobId, u64>,
    pub(super) redirects: BTreeMap<u64, Redirect>,
    /// Moved tasks that the other shard has not accepted yet, by the job that
    /// the log names.
    pub(super) moves: BTreeMap<JobId, JobRecord>,
    pub(super) waiting: BTreeSet<Rank>,
    pub(super) delayed: BTreeSet<DelayedTask>,
    pub(super) running: HashMap<String, u32>,
    pub(super) placed: HashMap<WorkerKey, BTreeSet<TaskKey>>,
    pub(super) orders: HashMap<WorkerKey, Orders>,
    pub(super) roster: BTreeMap<String, RosterEntry>,
    pub(super) unasked: BTreeSet<String>,
    pub(super) hold_until: Moment,
    pub(super) changes: Vec<Change>,
    pub(super) retries: Vec<RetryReason>,
    pub(super) attempts: u32,
    /// Tasks started, for counters.
    pub started: u64,
    /// Tasks finished, for counters.
    pub finished: u64,
    /// Tasks evicted, for counters.
    pub evicted: u64,
    /// The idempotency keys of interactive requests.
    pub keys: Keys,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DelayedTask {
    pub until: Moment,
    pub task: TaskKey,
}

impl Ledger {
    /// The ledger of a shard that was claimed at `now`, from the changes in its log.
    ///
    /// ```
    /// use lycheelock::ids::{Epoch, ShardId};
    /// use lycheelock::jobs::{Ledger, LedgerSettings};
    /// use lycheelock::moment::Moment;
    ///
    /// let now = Moment::from_micros(1);
    /// let ledger = Ledger::replay(ShardId(0), Epoch(1), &[], LedgerSettings::default(), now);
    /// assert!(ledger.is_settled(now));
    /// ```
    pub fn replay(
        shard: ShardId,
        epoch: Epoch,
        changes: &[Change],
        settings: LedgerSettings,
        now: Moment,
    ) -> Self {
        let hold_until = now + settings.horizon();
        let mut ledger = Self {
            shard,
            epoch,
            settings,
            jobs: SlotMap::with_key(),
            tasks: SlotMap::with_key(),
            index: HashMap::new(),
            pending: HashMap::new(),
            redirects: BTreeMap::new(),
            moves: BTreeMap::new(),
            waiting: BTreeSet::new(),
            delayed: BTreeSet::new(),
            running: HashMap::new(),
            placed: HashMap::new(),
            orders: HashMap::new(),
            roster: BTreeMap::new(),
            unasked: BTreeSet::new(),
            hold_until,
            changes: Vec::new(),
            retries: Vec::new(),
            attempts: 0,
            started: 0,
            finished: 0,
            evicted: 0,
            keys: Keys::default(),
        };
        for change in changes {
            ledger.apply(change, true);
        }
        ledger.unasked = ledger.roster.keys().cloned().collect();
        ledger
    }

    /// The shard.
    pub const fn shard(&self) -> ShardId {
        self.shard
    }

    /// The owner's epoch.
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Whether it is known of every task whether it runs. Before that none is started.
    pub fn is_settled(&self, now: Moment) -> bool {
        self.unasked.is_empty() || now >= self.hold_until
    }

    /// The workers that may run tasks, with their addresses.
    pub fn roster(&self) -> Vec<RosterWorker> {
        let entries = self.roster.iter();
        entries
            .map(|(name, entry)| RosterWorker {
                name: name.clone(),
                address: entry.address.clone(),
            })
            .collect()
    }

    /// Takes the changes that are to be logged.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Takes the retries since the last call, for counters.
    pub fn take_retries(&mut self) -> Vec<RetryReason> {
        std::mem::take(&mut self.retries)
    }

    /// Takes changes that stand in the log.
    pub fn commit(&mut self, changes: &[Change]) {
        for change in changes {
            self.apply(change, false);
        }
    }

    /// Changes that bring an empty ledger to the logged state of this one.
    pub fn snapshot(&self) -> Vec<Change> {
        let mut changes: Vec<Change> = self
            .roster
            .iter()
            .filter(|(_, entry)| entry.logged)
            .map(|(name, entry)| Change::WorkerJoined {
                name: name.clone(),
                address: entry.address.clone(),
            })
            .collect();
        for job in self.jobs.values() {
            changes.extend(self.job_changes(job));
        }
        changes.extend(self.redirects.values().map(|redirect| Change::Redirected {
            job: redirect.job,
            to: redirect.to,
            at: redirect.at,
        }));
        changes.extend(self.keys.snapshot());
        changes
    }

    fn job_changes(&self, job: &Job) -> Vec<Change> {
        if job.open == 0 && job.moves.is_empty() {
            return vec![Change::Closed {
                record: Box::new(job.record.clone()),
                cancelled: job.cancelled,
                ended: job.ended.clone(),
            }];
        }
        let mut changes = vec![Change::Accepted(Box::new(job.record.clone()))];
        if job.cancelled {
            changes.push(Change::Cancelled { job: job.record.id });
        }
        let tasks = job.tasks.iter().map(|key| &self.tasks[*key]);
        changes.extend(tasks.flat_map(task_changes));
        // Moved tasks are ended by the move itself.
        for outcome in job
            .ended
            .keys()
            .filter(|outcome| **outcome != Outcome::Moved)
        {
            let same = |key: &&TaskKey| match self.tasks[**key].stage {
                TaskStage::Ended { outcome: own } => own == *outcome,
                _ => false,
            };
            let tasks = job.tasks.iter().filter(same);
            changes.push(Change::EndedAll {
                job: job.record.id,
                outcome: *outcome,
                tasks: tasks.map(|key| self.tasks[*key].id.index).collect(),
            });
        }
        changes.extend(self.move_changes(job));
        changes
    }

    fn apply(&mut self, change: &Change, replayed: bool) {
        match change {
            Change::Accepted(record) => self.add_job(record),
            Change::Intent { task, attempt } => self.on_intent(*task, *attempt, replayed),
            Change::Saved { task, checkpoint } => {
                if let Some(key) = self.task_key(*task) {
                    self.raise_checkpoint(key, *checkpoint);
                }
            }
            Change::Ended { task, outcome } => self.on_ended(*task, *outcome),
            Change::EndedAll {
                job,
                outcome,
                tasks,
            } => {
                for index in tasks {
                    let id = TaskId {
                        job: *job,
                        index: *index,
                    };
                    self.on_ended(id, *outcome);
                }
            }
            Change::Closed {
                record,
                cancelled,
                ended,
            } => self.add_closed(record, *cancelled, ended),
            Change::Cancelled { job } => self.on_cancelled(*job),
            Change::Moved { job, to, tasks } => self.on_moved(*job, *to, tasks),
            Change::MoveDone { to, .. } => {
                self.moves.remove(to);
            }
            Change::Redirected { job, to, at } => {
                let redirect = Redirect {
                    job: *job,
                    to: *to,
                    at: *at,
                };
                self.redirects.insert(job.number, redirect);
            }
            Change::Dropped { job } => {
                self.redirects.remove(&job.number);
                self.drop_job(*job);
            }
            Change::KeyIntent { .. } | Change::KeyEnded { .. } | Change::KeyDropped { .. } => {
                self.keys.apply(change, replayed);
            }
            Change::WorkerJoined { name, address } => {
                let entry = RosterEntry {
                    address: address.clone(),
                    logged: true,
                    leaving: false,
                };
                self.roster.insert(name.clone(), entry);
            }
            Change::WorkerLeft { name } => {
                self.roster.remove(name);
            }
        }
    }

    fn add_job(&mut self, record: &JobRecord) {
        self.pending.remove(&record.id);
        if self.index.contains_key(&record.id) {
            return;
        }
        let job = self.jobs.insert(Job {
            record: record.clone(),
            tasks: Vec::new(),
            cancelled: false,
            open: record.tasks,
            ended: BTreeMap::new(),
            ended_at: None,
            homeless: None,
            moves: Vec::new(),
        });
        self.index.insert(record.id, job);
        for index in 0..record.tasks {
            let id = TaskId {
                job: record.id,
                index,
            };
            let saved = record.saved.get(index as usize).copied().unwrap_or(0);
            let key = self.tasks.insert(Task {
                checkpoint: saved,
                ..Task::new(id, job)
            });
            self.jobs[job].tasks.push(key);
            self.enqueue(key);
        }
    }

    fn add_closed(&mut self, record: &JobRecord, cancelled: bool, ended: &BTreeMap<Outcome, u32>) {
        let job = self.jobs.insert(Job {
            record: record.clone(),
            tasks: Vec::new(),
            cancelled,
            open: 0,
            ended: ended.clone(),
            ended_at: None,
            homeless: None,
            moves: Vec::new(),
        });
        self.index.insert(record.id, job);
    }

    /// Drops the tasks of a job that has ended; their outcomes stay.
    fn close(&mut self, key: JobKey) {
        if self.jobs[key].moves.is_empty() {
            for task in std::mem::take(&mut self.jobs[key].tasks) {
                self.tasks.remove(task);
            }
        }
    }

    /// About how many bytes a snapshot takes.
    pub fn weight(&self) -> usize {
        let tasks = self.tasks.len() * TASK_WEIGHT;
        let jobs = self.jobs.len() + self.redirects.len();
        jobs * JOB_WEIGHT + tasks + self.keys.weight()
    }

    fn on_intent(&mut self, task: TaskId, attempt: Attempt, replayed: bool) {
        let Some(key) = self.task_key(task) else {
            return;
        };
        let task = &mut self.tasks[key];
        task.intended = true;
        if let TaskStage::Intending {
            worker,
            attempt: own,
        } = task.stage
            && own == attempt
            && !replayed
        {
            task.stage = TaskStage::Placed {
                worker,
                attempt,
                told: None,
                seen: false,
                stop: None,
            };
        }
    }

    pub(super) fn on_ended(&mut self, task: TaskId, outcome: Outcome) {
        let Some(key) = self.task_key(task) else {
            return;
        };
        self.dequeue(key);
        let task = &mut self.tasks[key];
        if matches!(task.stage, TaskStage::Ended { .. }) {
            return;
        }
        task.stage = TaskStage::Ended { outcome };
        let key = task.job;
        let job = &mut self.jobs[key];
        *job.ended.entry(outcome).or_default() += 1;
        job.open = job.open.saturating_sub(1);
        if job.open == 0 {
            self.close(key);
        }
    }

    fn on_cancelled(&mut self, id: JobId) {
        let Some(key) = self.index.get(&id).copied() else {
            return;
        };
        self.jobs[key].cancelled = true;
        for task in self.jobs[key].tasks.clone() {
            self.cancel_task(task);
        }
    }

    /// Ends a task that does not run; stops one that does.
    fn cancel_task(&mut self, key: TaskKey) {
        match &mut self.tasks[key].stage {
            TaskStage::Waiting | TaskStage::Delayed { .. } => {
                if !self.unasked.is_empty() {
                    // It may turn out to run; it is stopped when it does.
                    return;
                }
                self.end_task(key, Outcome::Cancelled);
            }
            TaskStage::Placed { stop, .. } => *stop = Some(StopReason::Cancelled),
            TaskStage::Intending { .. } | TaskStage::Ending { .. } | TaskStage::Ended { .. } => {}
        }
    }

    pub(super) fn end_task(&mut self, key: TaskKey, outcome: Outcome) {
        self.dequeue(key);
        let task = &mut self.tasks[key];
        task.stage = TaskStage::Ending { outcome };
        let id = task.id;
        self.changes.push(Change::Ended { task: id, outcome });
        if outcome == Outcome::Finished {
            self.finished += 1;
        }
    }

    fn drop_job(&mut self, id: JobId) {
        let Some(key) = self.index.remove(&id) else {
            return;
        };
        for task in std::mem::take(&mut self.jobs[key].tasks) {
            self.dequeue(task);
            self.tasks.remove(task);
        }
        self.jobs.remove(key);
    }

    pub(super) fn task_key(&self, id: TaskId) -> Option<TaskKey> {
        let job = self.index.get(&id.job)?;
        self.jobs[*job].tasks.get(id.index as usize).copied()
    }

    pub(super) fn rank(&self, key: TaskKey) -> Rank {
        let task = &self.tasks[key];
        let record = &self.jobs[task.job].record;
        let left = record.duration.saturating_sub(task.checkpoint);
        Rank {
            class: u8::from(!record.urgent),
            latest_start: Wall(record.deadline.0.saturating_sub(left)),
            task: key,
        }
    }

    pub(super) fn enqueue(&mut self, key: TaskKey) {
        self.tasks[key].stage = TaskStage::Waiting;
        let rank = self.rank(key);
        self.waiting.insert(rank);
    }

    /// Takes a task out of the queues. Its checkpoint must not have changed since.
    pub(super) fn dequeue(&mut self, key: TaskKey) {
        match self.tasks[key].stage {
            TaskStage::Waiting => {
                let rank = self.rank(key);
                self.waiting.remove(&rank);
            }
            TaskStage::Delayed { until } => {
                self.delayed.remove(&DelayedTask { until, task: key });
            }
            TaskStage::Intending { .. }
            | TaskStage::Placed { .. }
            | TaskStage::Ending { .. }
            | TaskStage::Ended { .. } => {}
        }
    }

    /// Raises a task's checkpoint and its place in the queue with it.
    pub(super) fn raise_checkpoint(&mut self, key: TaskKey, checkpoint: u64) {
        let waiting = self.tasks[key].stage == TaskStage::Waiting;
        if waiting {
            self.dequeue(key);
        }
        let task = &mut self.tasks[key];
        task.checkpoint = task.checkpoint.max(checkpoint);
        if waiting {
            self.enqueue(key);
        }
    }

    pub(super) fn next_attempt(&mut self) -> Attempt {
        self.attempts += 1;
        Attempt {
            epoch: self.epoch,
            count: self.attempts,
        }
    }

    pub(super) fn submitted(&self, id: JobId) -> Option<u64> {
        let logged = self.index.get(&id).map(|key| self.jobs[*key].record.digest);
        logged.or_else(|| self.pending.get(&id).copied())
    }

    pub(super) fn is_pending(&self, id: JobId) -> bool {
        self.pending.contains_key(&id)
    }

    pub(super) fn note_pending(&mut self, record: &JobRecord) {
        self.pending.insert(record.id, record.digest);
    }

    /// The work of all tasks due before a deadline, in thousandths of a core
    /// times milliseconds.
    pub(super) fn backlog(&self, deadline: Wall) -> u64 {
        let jobs = self
            .jobs
            .values()
            .filter(|job| job.record.deadline <= deadline);
        jobs.map(|job| {
            let record = &job.record;
            u64::from(job.open) * record.duration * u64::from(record.size.cores)
        })
        .sum()
    }

    /// Cancels a job; tells whether it is known.
    pub fn cancel(&mut self, id: JobId) -> bool {
        let known = self.index.contains_key(&id);
        if known {
            self.changes.push(Change::Cancelled { job: id });
        }
        known
    }
}

/// A worker of the roster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RosterWorker {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: String,
}

fn task_changes(task: &Task) -> Vec<Change> {
    let id = task.id;
    let mut changes = Vec::new();
    let moved = TaskStage::Ended {
        outcome: Outcome::Moved,
    };
    if matches!(task.stage, TaskStage::Ended { .. }) && task.stage != moved {
        return changes;
    }
    if task.intended {
        let attempt = Attempt::default();
        changes.push(Change::Intent { task: id, attempt });
    }
    if task.checkpoint > 0 {
        let checkpoint = task.checkpoint;
        changes.push(Change::Saved {
            task: id,
            checkpoint,
        });
    }
    changes
}
