//! The ledger of one shard: its jobs, tasks, roster and idempotency keys.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use slotmap::SlotMap;

use super::WallClock;
use super::change::{Change, JobRecord, Outcome};
use super::keys::IdempotencyKeys;
use super::task::{Task, TaskStage};
use crate::ids::{Attempt, Epoch, JobId, JobKey, ShardId, TaskId, TaskKey, WorkerKey};
use crate::kind::RetryReason;
use crate::moment::Moment;
use crate::workers::{BootId, StopTask, TaskAttempt};

/// The leases, delays and retention times of a ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerSettings {
    /// The time that a task may run after the last renewal by the owner.
    pub lease: Duration,
    /// The time for which a worker accepts a ticket.
    pub ticket: Duration,
    /// The margin added to the sum of both, for clocks that run at different rates.
    pub margin: Duration,
    /// The delay after the first failure of a task; each further failure doubles it.
    pub retry_delay: Duration,
    /// The time that an ended job stays in the ledger, in milliseconds.
    pub job_retention: u64,
    /// The time that an idempotency key stays in the ledger, in milliseconds.
    pub key_retention: u64,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(10),
            ticket: crate::workers::TICKET_LIFETIME,
            margin: Duration::from_millis(500),
            retry_delay: Duration::from_millis(200),
            job_retention: 24 * 3600 * 1000,
            key_retention: 900 * 1000,
        }
    }
}

impl LedgerSettings {
    /// The time without contact after which nothing that an owner started still
    /// runs: the last ticket has expired, and so has every lease granted under it.
    pub fn recovery_delay(&self) -> Duration {
        self.lease + self.ticket + self.margin
    }
}

/// A job and the state of its tasks.
#[derive(Debug)]
pub(super) struct Job {
    pub record: JobRecord,
    /// The tasks by index; empty once the job has ended and is closed.
    pub tasks: Vec<TaskKey>,
    pub cancelled: bool,
    /// Whether the cancellation is being logged.
    pub cancelling: bool,
    /// The number of tasks whose end is not logged yet.
    pub open: u32,
    /// The number of ended tasks by outcome.
    pub ended: BTreeMap<Outcome, u32>,
    /// The time from which the retention of an ended job counts; none while tasks are open.
    pub ended_at: Option<WallClock>,
    /// The time since which no worker of the shard is large enough for a task; none while one is.
    pub unplaceable_since: Option<Moment>,
    /// The moves of its tasks to other shards.
    pub moves: Vec<JobMove>,
}

/// A move of tasks to a job in another shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct JobMove {
    pub to: JobId,
    pub tasks: Vec<u32>,
}

/// A job that was redirected to another shard on submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Redirect {
    pub job: JobId,
    pub to: ShardId,
    pub at: WallClock,
}

/// The order in which waiting tasks are started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    /// 0 for tasks of urgent jobs, 1 for all others; lower values start first.
    pub priority: u8,
    /// The latest start that still meets the deadline; orders tasks of the same priority.
    pub latest_start: WallClock,
    pub task: TaskKey,
}

/// A worker that may run tasks of the shard, and the log state of its entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct RosterEntry {
    pub address: String,
    /// Whether the log contains that the worker joined.
    pub logged: bool,
    /// Whether the change that removes the worker is being logged.
    pub removing: bool,
}

/// The jobs, tasks, roster and idempotency keys of one shard, kept by its owner.
#[derive(Debug)]
pub struct Ledger {
    pub(super) shard: ShardId,
    pub(super) epoch: Epoch,
    pub(super) settings: LedgerSettings,
    pub(super) jobs: SlotMap<JobKey, Job>,
    pub(super) tasks: SlotMap<TaskKey, Task>,
    pub(super) index: HashMap<JobId, JobKey>,
    /// The digests of submissions that are being logged, by job.
    pub(super) pending: HashMap<JobId, u64>,
    /// The shards of redirects that are being logged, by job.
    pub(super) pending_redirects: HashMap<JobId, ShardId>,
    /// The redirected jobs by the number of their id.
    pub(super) redirects: BTreeMap<u64, Redirect>,
    /// Moved tasks that the other shard has not accepted yet, by the id that
    /// the log gives their new job.
    pub(super) pending_moves: BTreeMap<JobId, JobRecord>,
    pub(super) waiting: BTreeSet<Rank>,
    pub(super) delayed: BTreeSet<DelayedTask>,
    /// The number of tasks on workers by team.
    pub(super) running: HashMap<String, u32>,
    pub(super) placed: HashMap<WorkerKey, BTreeSet<TaskKey>>,
    /// What the next call to each worker stops and forgets.
    pub(super) queued: HashMap<WorkerKey, QueuedCommands>,
    /// The workers that may run tasks of the shard, by name.
    pub(super) roster: BTreeMap<String, RosterEntry>,
    /// The process of each worker that sent its last report to this owner.
    pub(super) boots: HashMap<WorkerKey, BootId>,
    /// The last call to each worker, if it left out starts that wait for a report.
    pub(super) withheld: HashMap<WorkerKey, u64>,
    /// The names of workers that have not reported to this owner yet.
    pub(super) unreported: BTreeSet<String>,
    /// The time by which no task that a former owner started still runs.
    pub(super) recovery_deadline: Moment,
    /// Changes that are to be logged.
    pub(super) changes: Vec<Change>,
    pub(super) retries: Vec<RetryReason>,
    /// The number of attempts started in this epoch.
    pub(super) attempts: u32,
    /// The number of tasks started, for metrics.
    pub started: u64,
    /// The number of tasks finished, for metrics.
    pub finished: u64,
    /// The number of tasks evicted, for metrics.
    pub evicted: u64,
    /// The number of starts withdrawn because their zone is evacuated, for metrics.
    pub withdrawn: u64,
    /// The idempotency keys of interactive requests.
    pub keys: IdempotencyKeys,
}

/// Commands for a worker that result from its last report.
#[derive(Debug, Default)]
pub(super) struct QueuedCommands {
    pub stops: Vec<StopTask>,
    pub forget: Vec<TaskAttempt>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DelayedTask {
    pub until: Moment,
    pub task: TaskKey,
}

impl Ledger {
    /// Builds the ledger of a shard that was claimed at `now` from the changes in its log.
    ///
    /// ```
    /// use lycheelock::ids::{Epoch, ShardId};
    /// use lycheelock::jobs::{Ledger, LedgerSettings};
    /// use lycheelock::moment::Moment;
    ///
    /// let now = Moment::from_micros(1);
    /// let ledger = Ledger::replay(ShardId(0), Epoch(1), &[], LedgerSettings::default(), now);
    /// assert!(ledger.is_recovered(now));
    /// ```
    pub fn replay(
        shard: ShardId,
        epoch: Epoch,
        changes: &[Change],
        settings: LedgerSettings,
        now: Moment,
    ) -> Self {
        let recovery_deadline = now + settings.recovery_delay();
        let mut ledger = Self {
            shard,
            epoch,
            settings,
            jobs: SlotMap::with_key(),
            tasks: SlotMap::with_key(),
            index: HashMap::new(),
            pending: HashMap::new(),
            pending_redirects: HashMap::new(),
            redirects: BTreeMap::new(),
            pending_moves: BTreeMap::new(),
            waiting: BTreeSet::new(),
            delayed: BTreeSet::new(),
            running: HashMap::new(),
            placed: HashMap::new(),
            queued: HashMap::new(),
            roster: BTreeMap::new(),
            boots: HashMap::new(),
            withheld: HashMap::new(),
            unreported: BTreeSet::new(),
            recovery_deadline,
            changes: Vec::new(),
            retries: Vec::new(),
            attempts: 0,
            started: 0,
            finished: 0,
            evicted: 0,
            withdrawn: 0,
            keys: IdempotencyKeys::default(),
        };
        for change in changes {
            ledger.apply(change, true);
        }
        ledger.unreported = ledger.roster.keys().cloned().collect();
        if ledger.unreported.is_empty() {
            ledger.end_cancelled();
        }
        ledger
    }

    /// The shard of the ledger.
    pub const fn shard(&self) -> ShardId {
        self.shard
    }

    /// The epoch in which the owner claimed the shard.
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Whether it is known which tasks still run: every worker of the roster has reported, or the
    /// recovery deadline has passed. No task is started before.
    pub fn is_recovered(&self, now: Moment) -> bool {
        self.unreported.is_empty() || now >= self.recovery_deadline
    }

    /// The workers that may run tasks of the shard.
    pub fn roster(&self) -> Vec<RosterWorker> {
        let entries = self.roster.iter();
        entries
            .map(|(name, entry)| RosterWorker {
                name: name.clone(),
                address: entry.address.clone(),
            })
            .collect()
    }

    /// Removes and returns the changes that are to be logged.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Removes and returns the reasons of retries since the last call, for metrics.
    pub fn take_retries(&mut self) -> Vec<RetryReason> {
        std::mem::take(&mut self.retries)
    }

    /// Applies changes that have been written to the log.
    pub fn commit(&mut self, changes: &[Change]) {
        for change in changes {
            self.apply(change, false);
        }
    }

    pub(super) fn end_task(&mut self, key: TaskKey, outcome: Outcome) {
        self.dequeue(key);
        let task = &mut self.tasks[key];
        task.stage = TaskStage::EndPending { outcome };
        let id = task.id;
        self.changes.push(Change::Ended { task: id, outcome });
        if outcome == Outcome::Finished {
            self.finished += 1;
        }
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
            priority: u8::from(!record.urgent),
            latest_start: WallClock(record.deadline.0.saturating_sub(left)),
            task: key,
        }
    }

    pub(super) fn enqueue(&mut self, key: TaskKey) {
        self.tasks[key].stage = TaskStage::Waiting;
        let rank = self.rank(key);
        self.waiting.insert(rank);
    }

    /// Removes a task from the queues. Its rank is computed again to find it, so
    /// its checkpoint must not have changed since it was queued.
    pub(super) fn dequeue(&mut self, key: TaskKey) {
        match self.tasks[key].stage {
            TaskStage::Waiting => {
                let rank = self.rank(key);
                self.waiting.remove(&rank);
            }
            TaskStage::Delayed { until } => {
                self.delayed.remove(&DelayedTask { until, task: key });
            }
            TaskStage::IntentPending { .. }
            | TaskStage::Placed { .. }
            | TaskStage::EndPending { .. }
            | TaskStage::Ended { .. } => {}
        }
    }

    /// Raises the checkpoint of a task. A waiting task is queued again, because its
    /// latest start changes with its checkpoint.
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

    /// The digest of the accepted or pending submission with this id.
    pub(super) fn known_digest(&self, id: JobId) -> Option<u64> {
        let logged = self.index.get(&id).map(|key| self.jobs[*key].record.digest);
        logged.or_else(|| self.pending.get(&id).copied())
    }

    pub(super) fn is_pending(&self, id: JobId) -> bool {
        self.pending.contains_key(&id)
    }

    pub(super) fn record_pending(&mut self, record: &JobRecord) {
        self.pending.insert(record.id, record.digest);
    }

    /// The declared work of all open tasks due by a deadline, in millicores
    /// times milliseconds.
    pub(super) fn backlog(&self, deadline: WallClock) -> u64 {
        let jobs = self
            .jobs
            .values()
            .filter(|job| job.record.deadline <= deadline);
        jobs.map(|job| {
            let record = &job.record;
            u64::from(job.open) * record.duration * u64::from(record.size.millicores)
        })
        .sum()
    }

    /// Cancels a job. Returns false if the ledger does not know it.
    pub fn cancel(&mut self, id: JobId) -> bool {
        let Some(key) = self.index.get(&id) else {
            return false;
        };
        self.jobs[*key].cancelling = true;
        self.changes.push(Change::Cancelled { job: id });
        true
    }
}

/// A worker that may run tasks of the shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RosterWorker {
    /// The name of the worker.
    pub name: String,
    /// The address at which entry hosts call the worker.
    pub address: String,
}
