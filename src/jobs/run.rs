//! Places, starts, evicts and stops the tasks of a shard.

use std::time::Duration;

use super::WallClock;
use super::change::{Change, Outcome};
use super::ledger::Ledger;
use super::task::{StopReason, TaskStage};
use crate::configuration::{Configuration, Size};
use crate::drain::ZoneState;
use crate::ids::{TaskKey, WorkerKey};
use crate::moment::Moment;
use crate::placement::{Placement, Policy};
use crate::workers::{StartTask, StopTask, TaskAttempt};

/// The maximum number of tasks that one planning step tries to place.
const MAX_STARTS_PER_PLAN: usize = 512;
/// A planning step ends after this many tasks for which no worker has free capacity.
const MAX_FAILED_PLACEMENTS: usize = 8;

/// The commands that the next call to a worker carries.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Commands {
    /// Tasks to start.
    pub starts: Vec<StartTask>,
    /// Tasks to stop.
    pub stops: Vec<StopTask>,
    /// Ended attempts that the worker can forget.
    pub forget: Vec<TaskAttempt>,
}

impl Ledger {
    /// Places waiting tasks on workers, in the order of the placement policy.
    pub fn plan(
        &mut self,
        placement: &mut Placement,
        configuration: &Configuration,
        now: Moment,
        wall: WallClock,
    ) {
        self.requeue_delayed(now);
        if !self.is_recovered(now) {
            return;
        }
        let mut failed = 0;
        let keys: Vec<TaskKey> = self.start_order(placement.policy);
        for key in keys {
            if failed >= MAX_FAILED_PLACEMENTS {
                break;
            }
            if !self.place(key, placement, configuration, now, wall) {
                failed += 1;
            }
        }
    }

    /// Returns the waiting tasks that this step tries to place, in that order.
    fn start_order(&self, policy: Policy) -> Vec<TaskKey> {
        let ranks = self.waiting.iter();
        match policy {
            Policy::Shipped => ranks
                .take(MAX_STARTS_PER_PLAN)
                .map(|rank| rank.task)
                .collect(),
            Policy::Random | Policy::Fifo => {
                let mut keys: Vec<TaskKey> = ranks.map(|rank| rank.task).collect();
                keys.sort_by_key(|key| {
                    let record = &self.jobs[self.tasks[*key].job].record;
                    (record.submitted, *key)
                });
                keys.truncate(MAX_STARTS_PER_PLAN);
                keys
            }
        }
    }

    /// Places or ends one task. Returns false if no worker has free capacity for it.
    fn place(
        &mut self,
        key: TaskKey,
        placement: &mut Placement,
        configuration: &Configuration,
        now: Moment,
        wall: WallClock,
    ) -> bool {
        let task = &self.tasks[key];
        let job = &self.jobs[task.job];
        let (size, urgent) = (job.record.size, job.record.urgent);
        let job_submitted = job.record.submitted;
        let idempotent = job.record.idempotent;
        if job.cancelled {
            self.end_task(key, Outcome::Cancelled);
            return true;
        }
        if !idempotent && task.intent_logged {
            self.end_task(key, Outcome::Unknown);
            return true;
        }
        let team = job.record.team.clone();
        let quota = configuration.team(&team).map_or(0, |team| team.tasks);
        if self.running.get(&team).copied().unwrap_or(0) >= quota {
            return true;
        }
        let avoid = task.avoid;
        if let Some(worker) = placement.pick_for_batch(self.shard, size, avoid, now) {
            self.start(key, worker, placement);
            return true;
        }
        // During an evacuation the task waits: it may still fit once that ends.
        if !placement.has_fitting(self.shard, size) && wall > job.record.deadline {
            self.end_task(key, Outcome::NeverFit);
            return true;
        }
        let waited = wall.0.saturating_sub(job_submitted.0);
        if urgent && waited >= eviction_delay(placement.policy) {
            self.evict_for(size, placement, now);
        }
        false
    }

    fn start(&mut self, key: TaskKey, worker: WorkerKey, placement: &mut Placement) {
        self.dequeue(key);
        let attempt = self.next_attempt();
        let task = &self.tasks[key];
        let record = &self.jobs[task.job].record;
        placement.allocate(worker, record.size);
        let stage = match record.idempotent {
            true => TaskStage::Placed {
                worker,
                attempt,
                sent_call: None,
                seen: false,
                stop: None,
            },
            false => {
                let task = task.id;
                self.changes.push(Change::Intent { task, attempt });
                TaskStage::IntentPending { worker, attempt }
            }
        };
        self.started += 1;
        self.set_placed(key, worker, stage);
    }

    pub(super) fn set_placed(&mut self, key: TaskKey, worker: WorkerKey, stage: TaskStage) {
        let team = self.jobs[self.tasks[key].job].record.team.clone();
        *self.running.entry(team).or_default() += 1;
        self.placed.entry(worker).or_default().insert(key);
        self.tasks[key].stage = stage;
    }

    /// Removes a task from the counts of its worker and team.
    pub(super) fn release(&mut self, key: TaskKey, placement: &mut Placement) {
        let task = &self.tasks[key];
        let Some(worker) = task.worker() else {
            return;
        };
        let record = &self.jobs[task.job].record;
        placement.release(worker, record.size);
        if let Some(count) = self.running.get_mut(&record.team) {
            *count = count.saturating_sub(1);
        }
        if let Some(keys) = self.placed.get_mut(&worker) {
            keys.remove(&key);
        }
    }

    /// Evicts the running task that frees enough capacity and loses the least work.
    /// Does nothing while another eviction is pending.
    fn evict_for(&mut self, size: Size, placement: &Placement, now: Moment) {
        let candidates = self
            .placed
            .iter()
            .flat_map(|(worker, keys)| keys.iter().map(|key| (*worker, *key)));
        let victim = candidates
            .filter(|(worker, key)| {
                self.is_evictable(*key) && {
                    let freed = self.jobs[self.tasks[*key].job].record.size;
                    placement.would_fit(*worker, freed, size, now)
                }
            })
            .min_by_key(|(_, key)| (self.eviction_cost(*key, placement.policy), *key));
        let pending = self.tasks.values().any(|task| {
            matches!(
                task.stage,
                TaskStage::Placed {
                    stop: Some(StopReason::Evicted),
                    ..
                }
            )
        });
        if let Some((_, key)) = victim
            && !pending
        {
            self.evict(key);
        }
    }

    pub(super) fn is_evictable(&self, key: TaskKey) -> bool {
        let task = &self.tasks[key];
        let record = &self.jobs[task.job].record;
        let running = matches!(
            task.stage,
            TaskStage::Placed {
                seen: true,
                stop: None,
                ..
            }
        );
        running && !record.urgent && record.idempotent
    }

    fn eviction_cost(&self, key: TaskKey, policy: Policy) -> u64 {
        match policy {
            Policy::Shipped => self.tasks[key].unsaved_work,
            Policy::Random | Policy::Fifo => 0,
        }
    }

    /// Stops a running task; it waits again once its worker has reported the stop.
    pub(super) fn evict(&mut self, key: TaskKey) {
        if let TaskStage::Placed { stop, .. } = &mut self.tasks[key].stage {
            stop.get_or_insert(StopReason::Evicted);
        }
    }

    /// Queues the tasks whose delay after a failure has passed.
    fn requeue_delayed(&mut self, now: Moment) {
        while let Some(first) = self.delayed.first().copied() {
            if first.until > now {
                break;
            }
            self.delayed.remove(&first);
            self.enqueue(first.task);
        }
    }

    /// Returns the commands that the call with this number sends to a worker. While the
    /// zone is not in use, it carries no starts, neither first ones nor repeated ones.
    pub fn commands(&mut self, worker: WorkerKey, number: u64, zone: ZoneState) -> Commands {
        let queued = self.queued.remove(&worker).unwrap_or_default();
        let mut commands = Commands {
            starts: Vec::new(),
            stops: queued.stops,
            forget: queued.forget,
        };
        match zone {
            ZoneState::InUse => self.withheld.remove(&worker),
            ZoneState::Unknown | ZoneState::Evacuated => self.withheld.insert(worker, number),
        };
        let keys = self.placed.get(&worker);
        for key in keys.into_iter().flatten().copied().collect::<Vec<_>>() {
            self.add_commands(key, number, zone, &mut commands);
        }
        commands
    }

    fn add_commands(
        &mut self,
        key: TaskKey,
        number: u64,
        zone: ZoneState,
        commands: &mut Commands,
    ) {
        let task = &mut self.tasks[key];
        let id = task.id;
        let checkpoint = task.checkpoint;
        let record = &self.jobs[task.job].record;
        let TaskStage::Placed {
            attempt,
            sent_call,
            seen,
            stop,
            ..
        } = &mut task.stage
        else {
            return;
        };
        if stop.is_some() {
            commands.stops.push(StopTask {
                task: id,
                attempt: *attempt,
            });
        } else if !*seen && zone == ZoneState::InUse {
            sent_call.get_or_insert(number);
            commands.starts.push(StartTask {
                task: id,
                attempt: *attempt,
                class: record.class.clone(),
                size: record.size,
                duration_ms: record.duration,
                checkpoint: if record.checkpointable { checkpoint } else { 0 },
                payload: record.payload.clone(),
            });
        }
    }

    /// Lets the placed tasks wait again whose start was not sent, because their zone is
    /// evacuated.
    pub fn withdraw_unsent(&mut self, placement: &mut Placement, now: Moment) {
        let placed = self.placed.values().flatten().copied();
        let withdrawable = |key: &TaskKey| {
            matches!(
                self.tasks[*key].stage,
                TaskStage::Placed {
                    sent_call: None,
                    seen: false,
                    stop: None,
                    ..
                }
            )
        };
        let unsent: Vec<TaskKey> = placed.filter(withdrawable).collect();
        for key in unsent {
            self.withdraw(key, placement, now);
        }
    }

    /// Lets a placed task wait again that its worker has not started and will not start.
    pub(super) fn withdraw(&mut self, key: TaskKey, placement: &mut Placement, now: Moment) {
        let worker = self.tasks[key].worker();
        self.release(key, placement);
        if let Some(worker) = worker.and_then(|worker| placement.get_mut(worker)) {
            worker.end_probe(now);
        }
        self.tasks[key].intent_logged = false;
        self.withdrawn += 1;
        self.enqueue(key);
    }

    /// The number of starts that were sent and that no report has confirmed.
    pub fn unconfirmed_starts(&self) -> u32 {
        let placed = self.placed.values().flatten();
        let unconfirmed = placed.filter(|key| {
            let stage = &self.tasks[**key].stage;
            matches!(
                stage,
                TaskStage::Placed {
                    sent_call: Some(_),
                    seen: false,
                    ..
                }
            )
        });
        unconfirmed.count() as u32
    }

    /// The delay until the next call to a worker: a fifth of the shortest declared
    /// run time on it, so that the capacity of short tasks is reused soon, or
    /// `Duration::MAX` if no task waits.
    pub fn sync_delay(&self, worker: WorkerKey) -> Duration {
        let keys = self.placed.get(&worker).into_iter().flatten();
        let durations = keys.map(|key| self.jobs[self.tasks[*key].job].record.duration);
        match durations.min() {
            Some(shortest) if !self.waiting.is_empty() => Duration::from_millis(shortest / 5),
            _ => Duration::MAX,
        }
    }

    /// Whether a task is placed on this worker whose start has not been sent. The
    /// next call should then be made without delay.
    pub fn has_unsent_starts(&self, worker: WorkerKey) -> bool {
        let keys = self.placed.get(&worker);
        keys.into_iter().flatten().any(|key| {
            let stage = &self.tasks[*key].stage;
            matches!(
                stage,
                TaskStage::Placed {
                    sent_call: None,
                    seen: false,
                    ..
                }
            )
        })
    }
}

/// The time that an urgent job waits for a running task to end by itself before
/// one is evicted, in milliseconds. Urgent tasks have to start within 1.4 s.
const fn eviction_delay(policy: Policy) -> u64 {
    match policy {
        Policy::Shipped => 800,
        Policy::Random | Policy::Fifo => 0,
    }
}
