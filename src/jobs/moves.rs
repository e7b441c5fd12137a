//! Moves tasks to another shard when no worker of their own shard is large
//! enough for them.
//!
//! The log of the old shard contains the id of the new job before the job is
//! submitted to the new shard. The submission is repeated until the new shard
//! has accepted it. The new id is derived from the old one, so a repeated
//! submission is accepted only once.

use std::time::Duration;

use super::change::{Change, JobRecord, Outcome};
use super::ledger::{Job, JobMove, Ledger};
use super::task::TaskStage;
use crate::configuration::Size;
use crate::ids::{JobId, JobKey, ShardId, mix};
use crate::moment::Moment;
use crate::placement::Placement;

/// The time that tasks stay in a shard without a worker large enough for them,
/// because such a worker may come back.
const MOVE_DELAY: Duration = Duration::from_secs(5);

impl Ledger {
    /// Moves waiting tasks that are too large for every worker of this shard to
    /// the shard that `find_shard` returns for their size and job number. A job whose
    /// cancellation is being logged keeps its tasks, as the canceller asks for its moves once
    /// that is logged.
    pub fn move_unplaceable(
        &mut self,
        placement: &Placement,
        find_shard: impl Fn(Size, u64) -> Option<ShardId>,
        now: Moment,
    ) {
        if !self.is_recovered(now) {
            return;
        }
        let open: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.open > 0 && !job.cancelled && !job.cancelling)
            .map(|(key, _)| key)
            .collect();
        for key in open {
            self.move_job(key, placement, &find_shard, now);
        }
    }

    fn move_job(
        &mut self,
        key: JobKey,
        placement: &Placement,
        find_shard: &impl Fn(Size, u64) -> Option<ShardId>,
        now: Moment,
    ) {
        let shard = self.shard;
        let job = &mut self.jobs[key];
        let record = &job.record;
        if placement.could_hold(shard, record.size) {
            job.unplaceable_since = None;
            return;
        }
        let since = *job.unplaceable_since.get_or_insert(now);
        if now - since < MOVE_DELAY {
            return;
        }
        let other = find_shard(record.size, record.id.number).filter(|other| *other != shard);
        let Some(other) = other else {
            return;
        };
        let tasks = self.movable(key);
        if tasks.is_empty() {
            return;
        }
        let job = &mut self.jobs[key];
        job.unplaceable_since = Some(now);
        let to = JobId {
            shard: other,
            number: moved_number(job.record.id, &tasks),
        };
        let job = job.record.id;
        for index in &tasks {
            let task = self.jobs[key].tasks[*index as usize];
            self.dequeue(task);
            self.tasks[task].stage = TaskStage::EndPending {
                outcome: Outcome::Moved,
            };
        }
        self.changes.push(Change::Moved { job, to, tasks });
    }

    /// Returns the indices of waiting tasks that may still start. A task that is not
    /// idempotent may start once, so it stays if its intent is logged.
    fn movable(&self, key: JobKey) -> Vec<u32> {
        let job = &self.jobs[key];
        let movable = job.tasks.iter().filter(|task| {
            let task = &self.tasks[**task];
            task.is_waiting() && (job.record.idempotent || !task.intent_logged)
        });
        movable.map(|task| self.tasks[*task].id.index).collect()
    }

    pub(super) fn on_moved(&mut self, job: JobId, to: JobId, tasks: &[u32]) {
        let Some(key) = self.index.get(&job).copied() else {
            return;
        };
        self.jobs[key].moves.push(JobMove {
            to,
            tasks: tasks.to_vec(),
        });
        let mut record = self.jobs[key].record.clone();
        record.id = to;
        record.tasks = tasks.len() as u32;
        record.checkpoints = Vec::new();
        for index in tasks {
            let task = self.jobs[key].tasks[*index as usize];
            record.checkpoints.push(self.tasks[task].checkpoint);
            let id = self.tasks[task].id;
            self.on_ended(id, Outcome::Moved);
        }
        self.pending_moves.insert(to, record);
    }

    /// Returns the moves that the new shard has not accepted yet.
    pub fn pending_moves(&self) -> Vec<PendingMove> {
        let moves = self.pending_moves.iter();
        moves
            .map(|(to, record)| PendingMove {
                to: *to,
                record: record.clone(),
            })
            .collect()
    }

    /// Records that the new shard has accepted a move.
    pub fn move_accepted(&mut self, to: JobId) {
        let from = self.jobs.values().find(|job| {
            let mut moves = job.moves.iter();
            moves.any(|each| each.to == to)
        });
        if let Some(job) = from.map(|job| job.record.id)
            && self.pending_moves.contains_key(&to)
        {
            self.changes.push(Change::MoveDone { job, to });
        }
    }

    /// Redirects a pending move, because the new shard has no worker large enough
    /// either and returned another shard.
    pub fn move_redirected(&mut self, to: JobId, shard: ShardId) {
        if let Some(record) = self.pending_moves.get_mut(&to) {
            record.id.shard = shard;
        }
    }

    /// Returns the changes that restore the moves of a job.
    pub(super) fn move_changes(&self, job: &Job) -> Vec<Change> {
        let id = job.record.id;
        let mut changes = Vec::new();
        for each in &job.moves {
            changes.push(Change::Moved {
                job: id,
                to: each.to,
                tasks: each.tasks.clone(),
            });
            if !self.pending_moves.contains_key(&each.to) {
                changes.push(Change::MoveDone {
                    job: id,
                    to: each.to,
                });
            }
        }
        changes
    }
}

/// A move of tasks that the new shard has not accepted yet.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingMove {
    /// The id of the new job in the log.
    pub to: JobId,
    /// The submission of the new job. Its shard differs from the one in `to` if that shard
    /// redirected it.
    pub record: JobRecord,
}

/// Derives the number of the new job from the old job and the indices of its
/// moved tasks.
fn moved_number(job: JobId, tasks: &[u32]) -> u64 {
    let start = mix(job.number ^ u64::from(job.shard.0));
    tasks
        .iter()
        .fold(start, |hash, task| mix(hash ^ u64::from(*task)))
}
