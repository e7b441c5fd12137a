//! Records jobs of which nothing runs although tasks of theirs may start.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use serde::Serialize;

use super::{Event, Scheduler};
use crate::moment::Moment;
use crate::workflow::{Stage, TaskKey, WorkflowKey};

/// The time without a run after which the log says what a job lacks.
const IDLE_LOG_DELAY: Duration = Duration::from_millis(1500);
/// The limit on the jobs that one pass records, as each looks at all workers.
const MAX_RECORDS: usize = 16;

/// How many workers of a job's pool pass each check for one of its tasks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct WorkerCounts {
    /// The workers that accept new tasks.
    pub open: usize,
    /// Of these, the workers with enough free capacity.
    pub fitting: usize,
    /// Of the fitting workers, those without a serving task that the task would
    /// probably interfere with.
    pub harmless: usize,
    /// Of the fitting workers, those without a recent tail over its target.
    pub on_target: usize,
}

/// A period in which nothing of a job runs.
#[derive(Debug, Clone, Copy)]
struct IdlePeriod {
    begun: Moment,
    recorded: bool,
}

/// The jobs of which nothing runs although tasks of theirs may start.
#[derive(Debug, Default)]
pub(super) struct IdleJobs {
    periods: HashMap<WorkflowKey, IdlePeriod>,
}

impl IdleJobs {
    /// Notes that a job is idle. Returns for how long it has been, if that is long
    /// enough for the log and not recorded yet in this period.
    fn observe(&mut self, key: WorkflowKey, now: Moment) -> Option<Duration> {
        let period = self.periods.entry(key).or_insert(IdlePeriod {
            begun: now,
            recorded: false,
        });
        let idle = now - period.begun;
        (idle >= IDLE_LOG_DELAY && !period.recorded).then_some(idle)
    }

    /// Returns the idle jobs, and for how long each has been idle.
    pub fn all(&self, now: Moment) -> Vec<(WorkflowKey, Duration)> {
        let periods = self.periods.iter();
        let mut jobs: Vec<_> = periods
            .map(|(job, period)| (*job, now - period.begun))
            .collect();
        jobs.sort_unstable();
        jobs
    }
}

impl Scheduler {
    /// Records what idle jobs lack, once per idle period of a job.
    pub(super) fn record_idle_jobs(&mut self, now: Moment) {
        let waiting: Vec<TaskKey> = self.waiting.iter().collect();
        let mut seen = HashSet::new();
        let mut events = Vec::new();
        for key in waiting {
            let Some(task) = self.ledger.tasks.get(key) else {
                continue;
            };
            let job = task.workflow;
            if task.stage != Stage::Waiting || !self.ledger.is_idle(job) || !seen.insert(job) {
                continue;
            }
            let Some(idle) = self.idle_jobs.observe(job, now) else {
                continue;
            };
            if events.len() < MAX_RECORDS {
                events.push(self.idle_event(key, idle, now));
                self.idle_jobs.periods.entry(job).and_modify(|period| {
                    period.recorded = true;
                });
            }
        }
        self.idle_jobs.periods.retain(|job, _| seen.contains(job));
        events.into_iter().for_each(|event| self.record(event));
    }

    fn idle_event(&self, key: TaskKey, idle: Duration, now: Moment) -> Event {
        let task = &self.ledger.tasks[key];
        let workflow = &self.ledger.workflows[task.workflow];
        Event::JobIdle {
            id: workflow.id.to_string(),
            task: task.name.to_string(),
            image: workflow.step(task.name).image.clone(),
            idle: idle.as_millis() as u64,
            idle_pool: self.idle_pools.contains(&workflow.queue.pool),
            workers: self.worker_counts(workflow, task, now),
        }
    }
}
