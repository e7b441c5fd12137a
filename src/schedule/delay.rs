//! Accounts for the delays of jobs: what their waiting tasks lacked, for how long,
//! and how much work of later jobs was placed meanwhile.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::ops::Bound;
use std::time::Duration;

use serde::Serialize;

use super::{Event, Scheduler, WaitReason};
use crate::moment::Moment;
use crate::workflow::{Stage, TaskKey, WorkflowKey};

/// The interval at which the reason of a waiting job is determined again.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(2);
/// The limit on the jobs whose reason is determined in one pass, as each looks at
/// all workers.
const MAX_SAMPLES: usize = 64;

/// Why a job was delayed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct JobDelay {
    /// The time in milliseconds during which a task of the job waited, by what its
    /// most urgent waiting task lacked.
    pub waits: BTreeMap<WaitReason, u64>,
    /// The work that was placed while the job waited, of jobs of the same queue that
    /// were accepted later, in core milliseconds.
    pub overtaken: u64,
}

/// The delay of one job that has not ended, and the last sample of it.
#[derive(Debug, Clone)]
struct DelayRecord {
    delay: JobDelay,
    reason: WaitReason,
    sampled: Moment,
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

/// The delays of all jobs that have waited.
#[derive(Debug, Default)]
pub(super) struct Delays {
    jobs: HashMap<WorkflowKey, DelayRecord>,
    placed: PlacedWork,
}

impl Delays {
    /// Removes and returns the delay of a job; empty if the job never waited.
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

    /// Adds the time since the last pass to the delays of all jobs with a waiting
    /// task.
    pub(super) fn record_delays(&mut self, elapsed: Duration, now: Moment) {
        self.delays.placed.accumulate();
        let mut seen = HashSet::new();
        let mut samples = MAX_SAMPLES;
        let waiting: Vec<TaskKey> = self.waiting.iter().collect();
        for key in waiting {
            let Some(task) = self.ledger.tasks.get(key) else {
                continue;
            };
            if task.stage == Stage::Waiting && seen.insert(task.workflow) {
                self.record_delay(key, elapsed, &mut samples, now);
            }
        }
        self.delays.placed = PlacedWork::default();
        let workflows = &self.ledger.workflows;
        self.delays
            .jobs
            .retain(|key, _| workflows.contains_key(*key));
    }

    fn record_delay(&mut self, key: TaskKey, elapsed: Duration, samples: &mut usize, now: Moment) {
        let task = &self.ledger.tasks[key];
        let (job, waited) = (task.workflow, now - task.ready);
        let workflow = &self.ledger.workflows[job];
        let known = self.delays.jobs.get(&job);
        let fresh = known.is_some_and(|record| now - record.sampled < SAMPLE_INTERVAL);
        let known_reason = known.map_or(WaitReason::HeldBack, |record| record.reason);
        let sample = !fresh && *samples > 0;
        let reason = if sample {
            *samples -= 1;
            self.wait_reason(workflow, task, now)
        } else {
            known_reason
        };
        let placed = &self.delays.placed;
        let overtaken = placed.later_than(&workflow.queue.name, workflow.accepted);
        let record = self.delays.jobs.entry(job).or_insert(DelayRecord {
            delay: JobDelay::default(),
            reason,
            sampled: now,
            overdue_recorded: false,
        });
        if sample {
            record.reason = reason;
            record.sampled = now;
        }
        let span = elapsed.min(waited).as_millis() as u64;
        *record.delay.waits.entry(reason).or_default() += span;
        record.delay.overtaken += overtaken;
        self.record_overdue(job, now);
    }

    /// Records, once for a job, that it can no longer end while its result is of use.
    fn record_overdue(&mut self, key: WorkflowKey, now: Moment) {
        let workflow = &self.ledger.workflows[key];
        let record = self.delays.jobs.get_mut(&key).expect("just recorded");
        let overdue = workflow.overdue().is_some_and(|overdue| overdue <= now);
        if record.overdue_recorded || !overdue {
            return;
        }
        record.overdue_recorded = true;
        let remaining = workflow.occurrences.iter();
        let remaining = remaining.flat_map(|occurrence| &occurrence.remaining);
        let event = Event::JobOverdue {
            id: workflow.id.to_string(),
            queue: workflow.queue.name.clone(),
            work: workflow.spec.work(),
            tasks: workflow.spec.task_count(),
            remaining: remaining.sum(),
            after: (now - workflow.accepted).as_millis() as u64,
            delay: record.delay.clone(),
        };
        self.record(event);
    }
}
