//! Applies the changes of a shard's log to its ledger.

use std::collections::BTreeMap;

use super::change::{Change, JobRecord, Outcome};
use super::ledger::{Job, Ledger, Redirect, RosterEntry};
use super::task::{StopReason, Task, TaskStage};
use crate::ids::{Attempt, JobId, JobKey, TaskId, TaskKey};

impl Ledger {
    pub(super) fn apply(&mut self, change: &Change, replayed: bool) {
        match change {
            Change::Accepted(record) => self.add_job(record),
            Change::Intent { task, attempt } => self.on_intent(*task, *attempt, replayed),
            Change::Saved { task, checkpoint } => {
                if let Some(key) = self.task_key(*task) {
                    self.raise_checkpoint(key, *checkpoint);
                    let task = &mut self.tasks[key];
                    task.logged_checkpoint = task.logged_checkpoint.max(*checkpoint);
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
            Change::Cancelled { job } => self.on_cancelled(*job, replayed),
            Change::Moved { job, to, tasks } => self.on_moved(*job, *to, tasks),
            Change::MoveDone { to, .. } => {
                self.pending_moves.remove(to);
            }
            Change::Redirected { job, to, at } => {
                let redirect = Redirect {
                    job: *job,
                    to: *to,
                    at: *at,
                };
                self.pending_redirects.remove(job);
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
                    removing: false,
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
            cancelling: false,
            open: record.tasks,
            ended: BTreeMap::new(),
            ended_at: None,
            unplaceable_since: None,
            moves: Vec::new(),
        });
        self.index.insert(record.id, job);
        for index in 0..record.tasks {
            let id = TaskId {
                job: record.id,
                index,
            };
            let checkpoint = record.checkpoints.get(index as usize).copied().unwrap_or(0);
            let key = self.tasks.insert(Task {
                checkpoint,
                logged_checkpoint: checkpoint,
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
            cancelling: false,
            open: 0,
            ended: ended.clone(),
            ended_at: None,
            unplaceable_since: None,
            moves: Vec::new(),
        });
        self.index.insert(record.id, job);
    }

    /// Removes the tasks of a job that has ended. The number of tasks by outcome
    /// stays, and so do the tasks of a job with moves, which snapshots need.
    fn close(&mut self, key: JobKey) {
        if self.jobs[key].moves.is_empty() {
            for task in std::mem::take(&mut self.jobs[key].tasks) {
                self.tasks.remove(task);
            }
        }
    }

    fn on_intent(&mut self, task: TaskId, attempt: Attempt, replayed: bool) {
        let Some(key) = self.task_key(task) else {
            return;
        };
        let task = &mut self.tasks[key];
        let cancelled = self.jobs[task.job].cancelled;
        task.intent_logged = true;
        if let TaskStage::IntentPending {
            worker,
            attempt: own,
        } = task.stage
            && own == attempt
            && !replayed
        {
            task.stage = TaskStage::Placed {
                worker,
                attempt,
                sent_call: None,
                seen: false,
                stop: cancelled.then_some(StopReason::Cancelled),
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

    /// Marks a job as cancelled. Its tasks end now, or after a replay as soon as it is known
    /// that no worker runs them.
    fn on_cancelled(&mut self, id: JobId, replayed: bool) {
        let Some(key) = self.index.get(&id).copied() else {
            return;
        };
        self.jobs[key].cancelled = true;
        if replayed {
            return;
        }
        for task in self.jobs[key].tasks.clone() {
            self.cancel_task(task);
        }
    }

    /// Ends a task that is not on a worker, and stops one that is.
    fn cancel_task(&mut self, key: TaskKey) {
        match &mut self.tasks[key].stage {
            TaskStage::Waiting | TaskStage::Delayed { .. } => {
                if !self.unreported.is_empty() {
                    // A worker that has not reported yet may run the task. It is then
                    // stopped when that worker reports it.
                    return;
                }
                self.end_task(key, Outcome::Cancelled);
            }
            TaskStage::Placed { stop, .. } => *stop = Some(StopReason::Cancelled),
            TaskStage::IntentPending { .. }
            | TaskStage::EndPending { .. }
            | TaskStage::Ended { .. } => {}
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
}
