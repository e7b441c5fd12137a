//! The state of one worker, as the shard's owner knows it.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::Duration;

use slotmap::new_key_type;

use super::{Capacity, Clock, Registration, Standing};
use crate::interference::ImageKey;
use crate::moment::Moment;
use crate::workflow::{FlowKey, TaskKey, TaskName};

new_key_type! {
    /// The key of a worker in the scheduler's arena.
    pub struct WorkerKey;
}

/// A worker whose last answer is at least this old gets no new tasks.
const MAX_REPORT_AGE: Duration = Duration::from_millis(2500);
/// The number of consecutive failures of different jobs that quarantine a worker.
const QUARANTINE_FAILURES: usize = 3;
/// The length of the first quarantine, which doubles each time up to the limit.
const FIRST_QUARANTINE: Duration = Duration::from_secs(2);
const MAX_QUARANTINE: Duration = Duration::from_secs(30);

/// The recent failures on a worker, and the quarantine that they caused.
#[derive(Debug, Clone, Default)]
pub struct Trust {
    failed: HashSet<FlowKey>,
    until: Option<Moment>,
    quarantines: u32,
}

impl Trust {
    /// Records that a task completed; this ends a quarantine.
    pub fn succeeded(&mut self) {
        self.failed.clear();
        self.until = None;
        self.quarantines = 0;
    }

    /// Records that a task of a job failed. Returns whether a quarantine begins.
    pub fn failed(&mut self, workflow: FlowKey, now: Moment) -> bool {
        self.failed.insert(workflow);
        if self.failed.len() < QUARANTINE_FAILURES {
            return false;
        }
        self.failed.clear();
        let span = FIRST_QUARANTINE * 2_u32.saturating_pow(self.quarantines.min(10));
        self.quarantines += 1;
        self.until = Some(now + span.min(MAX_QUARANTINE));
        true
    }

    /// Whether the worker is in quarantine and gets no new tasks.
    pub fn is_lost(&self, now: Moment) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}

/// The state of one worker.
#[derive(Debug, Clone)]
pub struct Worker {
    /// The worker's last known registry entry.
    pub entry: Registration,
    /// Whether the registry still lists the worker.
    pub listed: bool,
    /// Whether the stored roster says that this owner may start tasks on the worker.
    pub enrolled: bool,
    /// Whether the worker answered recently; a silent worker is closed in the roster.
    pub answers: bool,
    /// Whether the worker has answered this owner, so that it refuses former owners.
    pub synced: bool,
    /// The resources that the worker's tasks use: the memory of all tasks, but the
    /// processors of those only that are not best-effort.
    pub used: Capacity,
    /// The processors that long-running tasks declare, in millicores.
    pub serving: u32,
    /// The processors that best-effort tasks ask for, in millicores.
    pub filling: u32,
    /// The tasks that the worker may be running.
    pub tasks: BTreeMap<TaskName, TaskKey>,
    /// Runs that the ledger does not know and that must end before the worker gets new
    /// tasks, as their size is unknown; with the time when each was last stopped.
    pub strangers: HashMap<(TaskName, u64), Moment>,
    /// The last reading of the worker's clock; absent until the first answer.
    pub clock: Option<Clock>,
    /// By when every lease that this owner gave on the worker has ended.
    pub lapse: Moment,
    /// When the worker last answered.
    pub contact: Moment,
    /// The number of the last end that was processed.
    pub seen: u64,
    /// The number of the last end that the worker may forget.
    pub acknowledged: u64,
    /// The numbers of the processed ends that the worker may not forget yet, each with
    /// the number of the store write that covers it.
    pub pending: VecDeque<(u64, u64)>,
    /// The recent failures on the worker.
    pub trust: Trust,
    /// Until when new tasks avoid the worker because its runs make no progress or are
    /// slow; absent if they never did.
    pub avoided: Option<Moment>,
    /// The worst tail in the last report, in percent of its target.
    pub strain: u32,
    /// When the tails of the worker were last evaluated.
    pub observed: Moment,
    /// When the last report without a tail over its target arrived.
    pub calm: Moment,
    /// When the last report with a tail over its target arrived; absent if none did.
    pub strained: Option<Moment>,
    /// When the speed of a best-effort task on the worker was last changed.
    pub paced: Moment,
    /// The number of the worker's tasks of each serving image.
    pub serves: BTreeMap<ImageKey, u32>,
}

impl Worker {
    /// Creates the state of a worker that has just appeared in the registry.
    pub fn new(entry: Registration, now: Moment) -> Self {
        Self {
            entry,
            listed: true,
            enrolled: false,
            answers: true,
            synced: false,
            used: Capacity::default(),
            serving: 0,
            filling: 0,
            tasks: BTreeMap::new(),
            strangers: HashMap::new(),
            clock: None,
            lapse: now,
            contact: Moment::default(),
            seen: 0,
            acknowledged: 0,
            pending: VecDeque::new(),
            trust: Trust::default(),
            avoided: None,
            strain: 0,
            observed: Moment::default(),
            calm: now,
            strained: None,
            paced: Moment::default(),
            serves: BTreeMap::new(),
        }
    }

    /// Forgets everything that belonged to a former incarnation.
    pub fn reset(&mut self, now: Moment) {
        *self = Self {
            listed: self.listed,
            enrolled: self.enrolled,
            ..Self::new(self.entry.clone(), now)
        };
    }

    /// Whether the worker may get new tasks.
    pub fn is_open(&self, now: Moment) -> bool {
        self.listed
            && self.enrolled
            && self.synced
            && self.strangers.is_empty()
            && self.entry.standing == Standing::Ready
            && now - self.contact < MAX_REPORT_AGE
            && !self.trust.is_lost(now)
            && self.avoided.is_none_or(|until| until <= now)
    }

    /// Returns the free capacity for tasks that are not best-effort.
    pub fn free(&self) -> Capacity {
        self.entry.capacity.minus(self.used)
    }

    /// Lets the worker forget the ends that store writes up to `written` cover.
    pub fn acknowledge(&mut self, written: u64) {
        while let Some((number, write)) = self.pending.front().copied() {
            if write > written {
                break;
            }
            self.acknowledged = number;
            self.pending.pop_front();
        }
    }
}
