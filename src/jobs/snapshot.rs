//! Describes the logged state of a ledger as changes.

use super::change::{Change, Outcome};
use super::ledger::{Job, Ledger};
use super::task::{Task, TaskStage};
use crate::ids::{Attempt, TaskKey};

/// The approximate number of bytes that a job takes in a snapshot without its tasks.
const JOB_BYTES: usize = 450;
/// The approximate number of bytes that a task takes in a snapshot.
const TASK_BYTES: usize = 20;

impl Ledger {
    /// Returns the changes that restore the logged state of this ledger in an empty one.
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
        // The `Moved` change below also ends the moved tasks.
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

    /// The approximate size of a snapshot in bytes.
    pub fn estimated_bytes(&self) -> usize {
        let tasks = self.tasks.len() * TASK_BYTES;
        let jobs = self.jobs.len() + self.redirects.len();
        jobs * JOB_BYTES + tasks + self.keys.estimated_bytes()
    }
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
    if task.intent_logged {
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
