//! Accounts for the delays of jobs: what their waiting tasks lacked, for how long,
//! and how much work of later jobs was placed meanwhile.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::ops::Bound;
use std::time::Duration;

use serde::Serialize;

use super::{Event, Scheduler, WaitReason};
use crate::moment::Moment;
use crate::workflow::{ActiveWorkflow, FULL_SPEED, Stage, TaskKey, WorkflowKey};

/// The interval at which the reason of a waiting job is determined again.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(2);
/// The limit on the jobs whose reason is determined in one pass, as each looks at
/// all workers.
const MAX_SAMPLES: usize = 64;

/// Why a job was delayed, counted since the claim of the shard's current owner.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct JobDelay {
    /// The time in milliseconds during which a task of the job waited, by what its
    /// most urgent waiting task lacked.
    pub waits: BTreeMap<WaitReason, u64>,
    /// The work that was placed while the job waited, of jobs of the same queue that
    /// were accepted later, in core milliseconds.
    pub overtaken: u64,
    /// The time in milliseconds by which throttling slowed the job's tasks, summed
    /// over the tasks: a paused task adds all the time of its pause.
    pub throttled: u64,
    /// The number of the job's runs that the scheduler stopped while the job went on.
    pub evictions: u32,
}

/// What a job lacked when it was last sampled.
#[derive(Debug, Clone, Copy)]
struct Sample {
    reason: WaitReason,
    at: Moment,
}

/// The delay of one job that has not ended.
#[derive(Debug, Clone, Default)]
struct DelayRecord {
    delay: JobDelay,
    sample: Option<Sample>,
    overdue_recorded: bool,
}

/// The work of the tasks that were placed since the last pass over the delays, by
/// queue and by the time at which their jobs were accepted.
#[derive(Debug, Default)]
struct PlacedWork {
    queues: HashMap<String, BTreeMap<Moment, u64>>,
}

impl PlacedWork {
    fn add(&mut self, queue: &str, accepted: Moment, work: u64) {
        let jobs = self.queues.entry(queue.to_owned()).or_default();
        *jobs.entry(accepted).or_default() += work;
    }

    /// Replaces the work of each job by the sum over the job and all later ones.
    fn accumulate(&mut self) {
        for jobs in self.queues.values_mut() {
            let mut sum = 0;
            for work in jobs.values_mut().rev() {
                sum += *work;
                *work = sum;
            }
        }
    }

    /// The accumulated work of the jobs accepted after `accepted`.
    fn later_than(&self, queue: &str, accepted: Moment) -> u64 {
        let after = (Bound::Excluded(accepted), Bound::Unbounded);
        let jobs = self.queues.get(queue);
        let next = jobs.and_then(|jobs| jobs.range(after).next());
        next.map_or(0, |(_, work)| *work)
    }
}

/// The delays of all jobs that have waited, were throttled or were evicted.
#[derive(Debug, Default)]
pub(super) struct Delays {
    jobs: HashMap<WorkflowKey, DelayRecord>,
    placed: PlacedWork,
}

impl Delays {
    /// Removes and returns the delay of a job; empty if there was none.
    pub fn take(&mut self, key: WorkflowKey) -> JobDelay {
        let record = self.jobs.remove(&key);
        record.map(|record| record.delay).unwrap_or_default()
    }
}

impl Scheduler {
    /// Records the placement of a task for the jobs that it overtakes.
    pub(super) fn record_placement(&mut self, key: TaskKey) {
        let task = &self.ledger.tasks[key];
        let workflow = &self.ledger.workflows[task.workflow];
        let work = workflow.step(task.name).task_work();
        self.delays
            .placed
            .add(&workflow.queue.name, workflow.accepted, work);
    }

    /// Counts a run that is stopped while its job goes on.
    pub(super) fn record_eviction(&mut self, key: WorkflowKey) {
        let record = self.delays.jobs.entry(key).or_default();
        record.delay.evictions += 1;
    }

    /// Adds the time since the last pass to the delays of all jobs.
    pub(super) fn record_delays(&mut self, elapsed: Duration, now: Moment) {
        self.record_waiting_jobs(elapsed, now);
        self.record_throttled_tasks(elapsed);
        self.record_overdue_jobs(now);
        let workflows = &self.ledger.workflows;
        self.delays
            .jobs
            .retain(|key, _| workflows.contains_key(*key));
    }

    fn record_waiting_jobs(&mut self, elapsed: Duration, now: Moment) {
        self.delays.placed.accumulate();
        let mut seen = HashSet::new();
        let mut samples = MAX_SAMPLES;
        let waiting: Vec<TaskKey> = self.waiting.iter().collect();
        for key in waiting {
            let Some(task) = self.ledger.tasks.get(key) else {
                continue;
            };
            if task.stage == Stage::Waiting && seen.insert(task.workflow) {
                self.record_wait(key, elapsed, &mut samples, now);
            }
        }
        self.delays.placed = PlacedWork::default();
    }

    fn record_wait(&mut self, key: TaskKey, elapsed: Duration, samples: &mut usize, now: Moment) {
        let task = &self.ledger.tasks[key];
        let (job, waited) = (task.workflow, now - task.ready);
        let workflow = &self.ledger.workflows[job];
        let known = self.delays.jobs.get(&job).and_then(|record| record.sample);
        let fresh = known.is_some_and(|sample| now - sample.at < SAMPLE_INTERVAL);
        let sample = if fresh || *samples == 0 {
            known
        } else {
            *samples -= 1;
            let reason = self.wait_reason(workflow, task, now);
            Some(Sample { reason, at: now })
        };
        let placed = &self.delays.placed;
        let overtaken = placed.later_than(&workflow.queue.name, workflow.accepted);
        let record = self.delays.jobs.entry(job).or_default();
        record.sample = sample;
        record.delay.overtaken += overtaken;
        let reason = sample.map_or(WaitReason::HeldBack, |sample| sample.reason);
        let span = elapsed.min(waited).as_millis() as u64;
        *record.delay.waits.entry(reason).or_default() += span;
    }

    fn record_throttled_tasks(&mut self, elapsed: Duration) {
        for task in self.ledger.tasks.values() {
            if task.speed == FULL_SPEED || !matches!(task.stage, Stage::Running(_)) {
                continue;
            }
            let slowed = u64::from(FULL_SPEED - task.speed) * elapsed.as_millis() as u64;
            let record = self.delays.jobs.entry(task.workflow).or_default();
            record.delay.throttled += slowed / u64::from(FULL_SPEED);
        }
    }

    /// Records, once for each job, that it can no longer end while its result is of
    /// use.
    fn record_overdue_jobs(&mut self, now: Moment) {
        let mut events = Vec::new();
        for (key, workflow) in &self.ledger.workflows {
            let overdue = workflow.overdue().is_some_and(|overdue| overdue <= now);
            if workflow.state.is_final() || !overdue {
                continue;
            }
            let record = self.delays.jobs.entry(key).or_default();
            if !std::mem::replace(&mut record.overdue_recorded, true) {
                events.push(overdue_event(workflow, record.delay.clone(), now));
            }
        }
        for event in events {
            self.record(event);
        }
    }
}

fn overdue_event(workflow: &ActiveWorkflow, delay: JobDelay, now: Moment) -> Event {
    let occurrences = workflow.occurrences.iter();
    let remaining = occurrences.flat_map(|occurrence| &occurrence.remaining);
    Event::JobOverdue {
        id: workflow.id.to_string(),
        queue: workflow.queue.name.clone(),
        work: workflow.spec.work(),
        tasks: workflow.spec.task_count(),
        remaining: remaining.sum(),
        after: (now - workflow.accepted).as_millis() as u64,
        delay,
    }
}
