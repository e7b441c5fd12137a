//! Decisions on jobs: submission, cancellation, moves and accounting.

use super::{Core, fitting_shards, owner_unreachable, pick_shard, unknown_job};
use crate::configuration::Size;
use crate::ids::{JobId, ShardId};
use crate::jobs::{Account, JobRecord, JobView, SubmitStep, WallClock};
use crate::kind::Refusal;
use crate::moment::Moment;

impl Core {
    /// Decides on a submission to a shard that this host owns. One that repeats a
    /// known submission is not refused because nothing can be logged now: the refusal
    /// would say that the job was not accepted.
    pub fn submit(&mut self, record: JobRecord, now: Moment, wall: WallClock) -> SubmitStep {
        let shard = record.id.shard;
        if let Some(refusal) = self.cannot_log(shard, now) {
            let ledger = self.ledgers.get(&shard);
            let repeated = ledger.and_then(|ledger| ledger.repeated_submission(&record, wall));
            return repeated.unwrap_or(SubmitStep::Refused(refusal));
        }
        let shards = self.fitting_shards(record.size);
        let other = pick_shard(&shards, record.id.number);
        let Some(ledger) = self.ledgers.get_mut(&shard) else {
            return SubmitStep::Refused(owner_unreachable(shard));
        };
        let submission = ledger.submit(record, &self.placement, other, now, wall);
        if let SubmitStep::Log(change) = &submission {
            self.ownership.append(shard, vec![change.clone()]);
            self.flush(now);
        }
        submission
    }

    /// Returns the shards of all zones that are not evacuated with a live worker that a
    /// task of this size fits on, according to the host list.
    pub fn fitting_shards(&self, size: Size) -> Vec<ShardId> {
        fitting_shards(&self.listed, &self.current, &self.evacuated, size)
    }

    /// Records that another shard has accepted moved tasks.
    pub fn move_accepted(&mut self, from: ShardId, to: JobId, now: Moment) {
        if let Some(ledger) = self.ledgers.get_mut(&from) {
            ledger.move_accepted(to);
        }
        self.flush(now);
    }

    /// Records that moved tasks were redirected to yet another shard.
    pub fn move_redirected(&mut self, from: ShardId, to: JobId, shard: ShardId) {
        if let Some(ledger) = self.ledgers.get_mut(&from) {
            ledger.move_redirected(to, shard);
        }
    }

    /// Cancels a job of a shard that this host owns.
    ///
    /// # Errors
    ///
    /// Refuses an unknown job, and any job while the log cannot be written.
    pub fn cancel(&mut self, job: JobId, now: Moment) -> Result<(), Refusal> {
        if let Some(refusal) = self.cannot_log(job.shard, now) {
            return Err(refusal);
        }
        let ledger = self.ledgers.get_mut(&job.shard);
        let known = ledger.is_some_and(|ledger| ledger.cancel(job));
        if !known {
            return Err(unknown_job(job));
        }
        self.flush(now);
        Ok(())
    }

    /// Returns the state of a job of a shard that this host owns.
    ///
    /// # Errors
    ///
    /// Refuses an unknown job.
    pub fn job(&self, job: JobId, now: Moment, wall: WallClock) -> Result<JobView, Refusal> {
        let configuration = self.configuration()?;
        let ledger = self.ledgers.get(&job.shard);
        let view =
            ledger.and_then(|ledger| ledger.job(job, &self.placement, configuration, now, wall));
        view.ok_or_else(|| unknown_job(job))
    }

    /// Returns the account of the shards that this host owns.
    pub fn account(&self, now: Moment, wall: WallClock) -> Account {
        let mut account = Account::default();
        if let Some(configuration) = self.current.get() {
            for ledger in self.ledgers.values() {
                account.merge(ledger.account(&self.placement, configuration, now, wall));
            }
        }
        account
    }
}
