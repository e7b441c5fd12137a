//! Moving tasks to another shard when no worker of their own holds them.
//!
//! The log of the old shard names the new job before it is submitted there.
//! The submission is repeated until the new shard has accepted it; the new
//! job's id follows from the old one, so a repeat is accepted once.

use std::time::Duration;

use super::change::{Change, JobRecord, Outcome};
use super::ledger::{Job, JobMove, Ledger};
use super::task::TaskStage;
use crate::configuration::Size;
use crate::ids::{JobId, JobKey, ShardId, mix};
use crate::moment::Moment;
use crate::placement::Placement;

/// A shard keeps tasks that none of its workers holds for this long, because
/// a worker may come back.
const PATIENCE: Duration = Duration::from_secs(5);

impl Ledger {
    /// Moves waiting tasks away whose size no worker of this shard could hold.
    pub fn move_homeless(
        &mut self,
        placement: &Placement,
        holder: impl Fn(Size, u64) -> Option<ShardId>,
        now: Moment,
    ) {
        if !self.is_settled(now) {
            return;
        }
        let open: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.open > 0 && !job.cancelled)
            .map(|(key, _)| key)
            .collect();
        for key in open {
            self.move_job(key, placement, &holder, now);
        }
    }

    fn move_job(
        &mut self,
        key: JobKey,
        placement: &Placement,
        holder: &impl Fn(Size, u64) -> Option<ShardId>,
        now: Moment,
    ) {
        let shard = self.shard;
        let job = &mut self.jobs[key];
        let record = &job.record;
        if placement.could_hold(shard, record.size) {
            job.homeless = None;
            return;
        }
        let since = *job.homeless.get_or_insert(now);
        if now - since < PATIENCE {
            return;
        }
        let other = holder(record.size, record.id.number).filter(|other| *other != shard);
        let Some(other) = other else {
            return;
        };
        let tasks = self.movable(key);
        if tasks.is_empty() {
            return;
        }
        let job = &mut self.jobs[key];
        job.homeless = Some(now);
        let to = JobId {
            shard: other,
            number: moved_number(job.record.id, &tasks),
        };
        let job = job.record.id;
        for index in &tasks {
            let task = self.jobs[key].tasks[*index as usize];
            self.dequeue(task);
            self.tasks[task].stage = TaskStage::Ending {
                outcome: Outcome::Moved,
            };
        }
        self.changes.push(Change::Moved { job, to, tasks });
    }

    /// Waiting tasks that have not used up their one permitted start.
    fn movable(&self, key: JobKey) -> Vec<u32> {
        let job = &self.jobs[key];
        let movable = job.tasks.iter().filter(|task| {
            let task = &self.tasks[**task];
            task.is_waiting() && (job.record.idempotent || !task.intended)
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
        record.saved = Vec::new();
        for index in tasks {
            let task = self.jobs[key].tasks[*index as usize];
            record.saved.push(self.tasks[task].checkpoint);
            let id = self.tasks[task].id;
            self.on_ended(id, Outcome::Moved);
        }
        self.moves.insert(to, record);
    }

    /// Moved tasks that still have to be submitted to their new shard.
    pub fn pending_moves(&self) -> Vec<PendingMove> {
        let moves = self.moves.iter();
        moves
            .map(|(to, record)| PendingMove {
                to: *to,
                record: record.clone(),
            })
            .collect()
    }

    /// Notes that the new shard has accepted a move.
    pub fn move_accepted(&mut self, to: JobId) {
        let from = self.jobs.values().find(|job| {
            let mut moves = job.moves.iter();
            moves.any(|each| each.to == to)
        });
        if let Some(job) = from.map(|job| job.record.id)
            && self.moves.contains_key(&to)
        {
            self.changes.push(Change::MoveDone { job, to });
        }
    }

    /// The new shard cannot hold the tasks either and names another one.
    pub fn move_redirected(&mut self, to: JobId, shard: ShardId) {
        if let Some(record) = self.moves.get_mut(&to) {
            record.id.shard = shard;
        }
    }

    /// Changes that bring a replayed job to its moved state.
    pub(super) fn move_changes(&self, job: &Job) -> Vec<Change> {
        let id = job.record.id;
        let mut changes = Vec::new();
        for each in &job.moves {
            changes.push(Change::Moved {
                job: id,
                to: each.to,
                tasks: each.tasks.clone(),
            });
            if !self.moves.contains_key(&each.to) {
                changes.push(Change::MoveDone {
                    job: id,
                    to: each.to,
                });
            }
        }
        changes
    }
}

/// Moved tasks on their way to another shard.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingMove {
    /// The job that the log names.
    pub to: JobId,
    /// The submission; its shard differs if the first one could not hold it.
    pub record: JobRecord,
}

/// A number that follows from the job and its moved tasks.
fn moved_number(job: JobId, tasks: &[u32]) -> u64 {
    let start = mix(job.number ^ u64::from(job.shard.0));
    tasks
        .iter()
        .fold(start, |hash, task| mix(hash ^ u64::from(*task)))
}
