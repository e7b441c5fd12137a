//! What an owner knows of one worker.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::Duration;

use slotmap::new_key_type;

use super::{Capacity, Clock, Registration, Standing};
use crate::interference::ImageKey;
use crate::moment::Moment;
use crate::workflow::{FlowKey, TaskKey, TaskName};

new_key_type! {
    /// A worker in the arena.
    pub struct WorkerKey;
}

/// How long a worker without an answer is still given new tasks.
const FRESH: Duration = Duration::from_millis(2500);
/// Failures in a row, of different jobs, after which a worker is not trusted.
const TRUSTED_FAILURES: usize = 3;
/// How long the first mistrust lasts; each further one lasts twice as long.
const FIRST_MISTRUST: Duration = Duration::from_secs(2);
const LONGEST_MISTRUST: Duration = Duration::from_secs(30);

/// Whether the results of a worker speak for it.
#[derive(Debug, Clone, Default)]
pub struct Trust {
    failed: HashSet<FlowKey>,
    until: Option<Moment>,
    times: u32,
}

impl Trust {
    /// Notes that a task ended well.
    pub fn succeeded(&mut self) {
        self.failed.clear();
        self.until = None;
        self.times = 0;
    }

    /// Notes that a task of a job failed. Returns whether mistrust begins.
    pub fn failed(&mut self, flow: FlowKey, now: Moment) -> bool {
        self.failed.insert(flow);
        if self.failed.len() < TRUSTED_FAILURES {
            return false;
        }
        self.failed.clear();
        let span = FIRST_MISTRUST * 2_u32.saturating_pow(self.times.min(10));
        self.times += 1;
        self.until = Some(now + span.min(LONGEST_MISTRUST));
        true
    }

    /// Whether new tasks should go elsewhere.
    pub fn is_lost(&self, now: Moment) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}

/// What an owner knows of one worker.
#[derive(Debug, Clone)]
pub struct Worker {
    /// What the registry said last.
    pub entry: Registration,
    /// Whether the registry still lists it.
    pub listed: bool,
    /// Whether the store knows that this owner may use it.
    pub enrolled: bool,
    /// Whether it answered lately; a silent worker is closed in the roster.
    pub answers: bool,
    /// Whether it has answered this owner, so that no former owner commands it.
    pub synced: bool,
    /// What its tasks use; memory of all, processors of those that do not fill.
    pub used: Capacity,
    /// The processors that lasting tasks declare, in millicores.
    pub serving: u32,
    /// The processors that filling tasks ask for, in millicores.
    pub filling: u32,
    /// The tasks that it may be running.
    pub tasks: BTreeMap<TaskName, TaskKey>,
    /// Runs of unknown size that must end before it gets new tasks.
    pub strangers: HashMap<(TaskName, u64), Moment>,
    /// Its clock, once it has answered.
    pub clock: Option<Clock>,
    /// When every lease that this owner gave has ended.
    pub lapse: Moment,
    /// When it answered last.
    pub contact: Moment,
    /// The last end that was taken in.
    pub seen: u64,
    /// The last end that it may forget.
    pub acknowledged: u64,
    /// Ends that were taken in: their number, and the write that covers them.
    pub pending: VecDeque<(u64, u64)>,
    /// Whether its results speak for it.
    pub trust: Trust,
    /// Until when new tasks avoid it, as what it runs stands still or crawls.
    pub avoided: Option<Moment>,
    /// The worst tail against its target, in percent.
    pub strain: u32,
    /// When its tails were judged last.
    pub observed: Moment,
    /// When no tail was over its target.
    pub calm: Moment,
    /// When a tail was over its target last.
    pub strained: Option<Moment>,
    /// When the pace of a filling task was changed last.
    pub paced: Moment,
    /// How many of its tasks are of each serving image.
    pub serves: BTreeMap<ImageKey, u32>,
}

impl Worker {
    /// A worker that was just found in the registry.
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

    /// Forgets everything that belonged to a former life.
    pub fn reset(&mut self, now: Moment) {
        *self = Self {
            listed: self.listed,
            enrolled: self.enrolled,
            ..Self::new(self.entry.clone(), now)
        };
    }

    /// Whether it may get new tasks.
    pub fn is_open(&self, now: Moment) -> bool {
        self.listed
            && self.enrolled
            && self.synced
            && self.strangers.is_empty()
            && self.entry.standing == Standing::Ready
            && now - self.contact < FRESH
            && !self.trust.is_lost(now)
            && self.avoided.is_none_or(|until| until <= now)
    }

    /// What is free for tasks that do not fill.
    pub fn free(&self) -> Capacity {
        self.entry.capacity.minus(self.used)
    }

    /// Notes which ends a completed write covers.
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
