//! Accepts, looks up and cancels jobs. The record in the store is authoritative.

use std::sync::MutexGuard;
use std::time::Duration;

use tokio::time::sleep;

use super::Node;
use super::node::wall_clock;
use super::withdrawals::{LEASE_TTL, Withdrawals};
use crate::kind::{ErrorKind, Refusal};
use crate::moment::Moment;
use crate::overload::Charge;
use crate::platform::fleet::{Commit, Item, StoreFault, Transaction};
use crate::routing::Queue;
use crate::server::BodyError;
use crate::shards::{
    AcceptedJob, JobRecord, cancel_key, decode, encode, job_key, waiting_prefix, work_key,
};
use crate::workflow::{Workflow, WorkflowId, WorkflowState};

/// The delay before a failed call to the store is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(120);
/// The number of attempts at a call, the first one included.
const MAX_ATTEMPTS: u32 = 3;
/// The part of the caller's time limit that is reserved for sending the answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);

/// The memory that a job needs while it is stored, in lengths of its encoding: the encoding,
/// and the body of the call to the store, which has it as base64 in a buffer that doubles.
const STORED_COPIES: u64 = 4;

/// The outcome of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CancelOutcome {
    /// The job is cancelled, or has already ended.
    Done,
    /// No job with this id exists, and none is accepted under it for a time.
    Unknown,
}

impl Node {
    /// Accepts a job. A repeated submission with the same id succeeds and leaves
    /// the stored job as it is. `charge` holds the bytes of the request, and those of the
    /// stored job until the store has answered.
    pub(super) async fn submit(
        &self,
        queue: &Queue,
        id: WorkflowId,
        workflow: Workflow,
        deadline: Moment,
        charge: &Charge,
    ) -> Result<(), Refusal> {
        self.check_store()?;
        let shard = &self.choose_shard(&queue.pool, id)?;
        let accepted = AcceptedJob {
            queue: queue.clone(),
            workflow,
            accepted_at: wall_clock().as_millis() as u64,
            moved: None,
        };
        let record = JobRecord {
            shard: shard.clone(),
            queue: queue.name.clone(),
            state: WorkflowState::Queued,
            moves: 0,
        };
        let work = encode(&accepted);
        drop(accepted);
        if !charge.resize(work.len() as u64 * STORED_COPIES) {
            return Err(BodyError::NoBudget.refusal(String::new()));
        }
        let transaction = Transaction::default()
            .require(&job_key(id), 0)
            .set(&job_key(id), encode(&record))
            .set(&work_key(shard, id), work);
        let mut unresolved = false;
        let mut attempts = 0;
        loop {
            attempts += 1;
            match self.commit(&transaction).await {
                Ok(Commit::Done(_)) => return Ok(()),
                Ok(Commit::Conflict(items)) => return check_withdrawn(id, &items),
                Ok(Commit::LeaseGone) => return Err(unexpected("unexpected end of a lease")),
                Err(fault) => {
                    unresolved |= !fault.had_no_effect();
                    let late = Moment::now() + ANSWER_MARGIN >= deadline;
                    if late || attempts >= MAX_ATTEMPTS || !self.health.is_good() {
                        return Err(refusal(&fault, unresolved));
                    }
                }
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Refuses a request immediately while the store does not answer.
    fn check_store(&self) -> Result<(), Refusal> {
        if self.health.is_good() {
            return Ok(());
        }
        let message = "the store does not answer this host";
        Err(Refusal::new(ErrorKind::StoreUnavailable, message))
    }

    /// Chooses the shard that runs a job: one of this host's availability zone, or another one
    /// if only others have workers that accept tasks, such as during an evacuation.
    fn choose_shard(&self, pool: &str, id: WorkflowId) -> Result<String, Refusal> {
        let unknown = || Refusal::new(ErrorKind::NotReady, "the shard layout is not known yet");
        let layout = self.layout().ok_or_else(unknown)?;
        let (zones, zone) = (&self.settings.zones, &self.settings.zone);
        let shards = layout.shards(zones);
        let mut home = shards.clone();
        home.retain(|shard| layout.is_home(shard, zones, zone));
        let mut open = shards;
        let evacuations = self.evacuations().borrow();
        open.retain(|shard| {
            // The owner's next heartbeat says so, too, but half a second later.
            let evacuated = evacuations.covers(layout, zones, shard);
            !evacuated && self.has_open_worker(shard, pool)
        });
        let mut open_home = home.clone();
        open_home.retain(|shard| open.contains(shard));
        let choices = [open_home, open, home];
        let choice = choices.into_iter().find(|shards| !shards.is_empty());
        let shards = choice.ok_or_else(unknown)?;
        let index = id.0 as usize % shards.len();
        shards.into_iter().nth(index).ok_or_else(unknown)
    }

    /// Whether the owner of a shard has told that a worker of a pool accepts tasks.
    fn has_open_worker(&self, shard: &str, pool: &str) -> bool {
        let loads = self.loads(shard);
        loads.iter().any(|load| load.pool == pool && load.open > 0)
    }

    /// Returns the state of a job, or `None` if no such job exists.
    pub(super) async fn state(&self, id: WorkflowId) -> Result<Option<WorkflowState>, Refusal> {
        let found = self.read_record(id).await?;
        let accepted = found.filter(|(record, _)| !record.is_withdrawn());
        Ok(accepted.map(|(record, _)| record.state))
    }

    /// Cancels a job. An unknown one may have been submitted without an answer so far, and the
    /// submission may still take effect, so it is marked as cancelled.
    pub(super) async fn cancel(
        &self,
        id: WorkflowId,
        deadline: Moment,
    ) -> Result<CancelOutcome, Refusal> {
        loop {
            let found = self.read_record(id).await?;
            let revision = found.as_ref().map_or(0, |(_, revision)| *revision);
            let accepted = found.filter(|(record, _)| !record.is_withdrawn());
            let Some((record, _)) = accepted else {
                if self.withdraw(id, revision, deadline).await? {
                    return Ok(CancelOutcome::Unknown);
                }
                continue;
            };
            if record.state.is_final() {
                return Ok(CancelOutcome::Done);
            }
            let marker = cancel_key(&record.shard, id);
            let cancelled = JobRecord {
                state: WorkflowState::Cancelled,
                ..record
            };
            let transaction = Transaction::default()
                .require(&job_key(id), revision)
                .set(&job_key(id), encode(&cancelled))
                .set(&marker, Vec::new());
            match self.commit(&transaction).await {
                Ok(Commit::Done(_)) => return Ok(CancelOutcome::Done),
                Ok(_) => {}
                Err(fault) if Moment::now() + ANSWER_MARGIN >= deadline => {
                    return Err(refusal(&fault, !fault.had_no_effect()));
                }
                Err(_) => sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Marks an unknown job as cancelled. An earlier mark at this revision, 0 if there is none, is
    /// written again, as it may soon go. Returns false if the job was accepted meanwhile.
    async fn withdraw(
        &self,
        id: WorkflowId,
        revision: u64,
        deadline: Moment,
    ) -> Result<bool, Refusal> {
        let admitted = self.lock_withdrawals().admit(Moment::now());
        if !admitted {
            let message = "too many cancellations of unknown jobs";
            return Err(Refusal::new(ErrorKind::Overloaded, message));
        }
        loop {
            match self.write_withdrawn(id, revision).await {
                Ok(Commit::Done(_)) => return Ok(true),
                Ok(Commit::Conflict(_)) => return Ok(false),
                Ok(Commit::LeaseGone) => self.lock_withdrawals().forget_lease(),
                Err(fault) if Moment::now() + ANSWER_MARGIN >= deadline => {
                    return Err(refusal(&fault, !fault.had_no_effect()));
                }
                Err(_) => sleep(RETRY_DELAY).await,
            }
        }
    }

    async fn write_withdrawn(&self, id: WorkflowId, revision: u64) -> Result<Commit, StoreFault> {
        let lease = self.withdrawal_lease().await?;
        let mark = encode(&JobRecord::withdrawn());
        let transaction = Transaction::default()
            .require(&job_key(id), revision)
            .set_leased(&job_key(id), mark, lease);
        self.commit(&transaction).await
    }

    /// Returns the lease for a mark that is written now.
    async fn withdrawal_lease(&self) -> Result<u64, StoreFault> {
        let requested = Moment::now();
        let known = self.lock_withdrawals().lease(requested);
        if let Some(lease) = known {
            return Ok(lease);
        }
        let lease = self.call(self.store.grant(LEASE_TTL)).await?;
        self.lock_withdrawals().set_lease(lease, requested);
        Ok(lease)
    }

    fn lock_withdrawals(&self) -> MutexGuard<'_, Withdrawals> {
        self.withdrawals.lock().expect("no holder panics")
    }

    /// Returns the number of accepted jobs of a queue that have not started.
    pub(super) async fn pending(&self, queue: &str) -> Result<u64, Refusal> {
        self.check_store()?;
        let read = self.store.range(waiting_prefix(), false);
        let page = self
            .call(read)
            .await
            .map_err(|fault| refusal(&fault, false))?;
        let count = |item: &Item| -> u64 {
            let counts = decode::<std::collections::BTreeMap<String, u64>>(&item.value.0);
            counts.map_or(0, |counts| counts.get(queue).copied().unwrap_or_default())
        };
        Ok(page.items.iter().map(count).sum())
    }

    async fn read_record(&self, id: WorkflowId) -> Result<Option<(JobRecord, u64)>, Refusal> {
        self.check_store()?;
        let mut attempts = 0;
        let item = loop {
            attempts += 1;
            match self.call(self.store.get(&job_key(id))).await {
                Ok(None) => return Ok(None),
                Ok(Some(item)) => break item,
                Err(fault) if attempts >= MAX_ATTEMPTS => return Err(refusal(&fault, false)),
                Err(_) => sleep(RETRY_DELAY).await,
            }
        };
        let record = decode(&item.value.0).map_err(|error| unexpected(&error.to_string()))?;
        Ok(Some((record, item.revision)))
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Commit, StoreFault> {
        self.call(self.store.commit(transaction)).await
    }
}

/// Checks the record that a submission has found in the store: that of an earlier copy of the
/// submission, or the mark of a cancellation.
fn check_withdrawn(id: WorkflowId, items: &[Item]) -> Result<(), Refusal> {
    let key = job_key(id);
    let found = items.iter().find(|item| item.key == key);
    let record = found.and_then(|item| decode::<JobRecord>(&item.value.0).ok());
    if record.is_none_or(|record| !record.is_withdrawn()) {
        return Ok(());
    }
    let message = format!("job {id} was cancelled before it was accepted");
    Err(Refusal::new(ErrorKind::JobCancelled, message))
}

/// Converts a store fault into the answer for the caller. The request is refused
/// as not executed only if it certainly had no effect.
fn refusal(fault: &StoreFault, unresolved: bool) -> Refusal {
    let kind = if unresolved {
        ErrorKind::AnswerLost
    } else {
        ErrorKind::StoreUnavailable
    };
    Refusal::new(kind, fault.to_string())
}

fn unexpected(message: &str) -> Refusal {
    Refusal::new(ErrorKind::Internal, message)
}
