//! Accepts, looks up and cancels jobs; the store is what counts.

use std::time::Duration;

use tokio::time::sleep;

use super::Node;
use super::node::wall;
use crate::kind::{ErrorKind, Refusal};
use crate::moment::Moment;
use crate::platform::fleet::{Commit, Item, StoreFault, Transaction};
use crate::routing::Queue;
use crate::shards::{
    AcceptedJob, JobRecord, cancel_key, decode, encode, job_key, waiting_prefix, work_key,
};
use crate::workflow::{Workflow, WorkflowId, WorkflowState};

/// Between tries while the store refuses.
const PAUSE: Duration = Duration::from_millis(120);
/// How often a call that the store refuses is tried.
const TRIES: u32 = 3;
/// Left of the caller's time for the answer to arrive.
const ANSWER_TIME: Duration = Duration::from_millis(150);

/// How a cancellation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Cancelled {
    /// The job is cancelled, or had ended before.
    Done,
    /// There is no such job.
    Unknown,
}

impl Node {
    /// Accepts a job. The same id again meets the same job.
    pub(super) async fn submit(
        &self,
        queue: &Queue,
        id: WorkflowId,
        workflow: Workflow,
        deadline: Moment,
    ) -> Result<(), Refusal> {
        self.check_store()?;
        let shard = &self.choose_shard(id)?;
        let accepted = AcceptedJob {
            queue: queue.clone(),
            workflow,
            accepted_at: wall().as_millis() as u64,
        };
        let record = JobRecord {
            shard: shard.clone(),
            queue: queue.name.clone(),
            state: WorkflowState::Queued,
        };
        let transaction = Transaction::default()
            .require(&job_key(id), 0)
            .set(&job_key(id), encode(&record))
            .set(&work_key(shard, id), encode(&accepted));
        let mut doubtful = false;
        let mut tries = 0;
        loop {
            tries += 1;
            match self.commit(&transaction).await {
                Ok(Commit::Done(_) | Commit::Conflict(_)) => return Ok(()),
                Ok(Commit::LeaseGone) => return Err(unexpected("a lease ended that was not used")),
                Err(fault) => {
                    doubtful |= !fault.is_certain();
                    let late = Moment::now() + ANSWER_TIME >= deadline;
                    if late || tries >= TRIES || !self.health.is_good() {
                        return Err(refusal(&fault, doubtful));
                    }
                }
            }
            sleep(PAUSE).await;
        }
    }

    /// Refuses at once what needs the store while it does not answer.
    fn check_store(&self) -> Result<(), Refusal> {
        if self.health.is_good() {
            return Ok(());
        }
        let message = "the store does not answer this host";
        Err(Refusal::new(ErrorKind::StoreUnavailable, message))
    }

    /// The shard that carries out a job: one of this host's zone.
    fn choose_shard(&self, id: WorkflowId) -> Result<String, Refusal> {
        let unknown = || Refusal::new(ErrorKind::NotReady, "the workers are not known yet");
        let layout = self.layout().ok_or_else(unknown)?;
        let mut shards = layout.shards(&self.settings.zones);
        shards.retain(|shard| layout.is_home(shard, &self.settings.zone));
        let place = id.0 as usize % shards.len().max(1);
        shards.into_iter().nth(place).ok_or_else(unknown)
    }

    /// The state of a job; none if there is no such job.
    pub(super) async fn state(&self, id: WorkflowId) -> Result<Option<WorkflowState>, Refusal> {
        let found = self.record(id).await?;
        Ok(found.map(|(record, _)| record.state))
    }

    /// Cancels a job.
    pub(super) async fn cancel(
        &self,
        id: WorkflowId,
        deadline: Moment,
    ) -> Result<Cancelled, Refusal> {
        loop {
            let Some((record, revision)) = self.record(id).await? else {
                return Ok(Cancelled::Unknown);
            };
            if record.state.is_final() {
                return Ok(Cancelled::Done);
            }
            let mark = cancel_key(&record.shard, id);
            let cancelled = JobRecord {
                state: WorkflowState::Cancelled,
                ..record
            };
            let transaction = Transaction::default()
                .require(&job_key(id), revision)
                .set(&job_key(id), encode(&cancelled))
                .set(&mark, Vec::new());
            match self.commit(&transaction).await {
                Ok(Commit::Done(_)) => return Ok(Cancelled::Done),
                Ok(_) => {}
                Err(fault) if Moment::now() + ANSWER_TIME >= deadline => {
                    return Err(refusal(&fault, !fault.is_certain()));
                }
                Err(_) => sleep(PAUSE).await,
            }
        }
    }

    /// How many accepted jobs of a queue have not started.
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

    async fn record(&self, id: WorkflowId) -> Result<Option<(JobRecord, u64)>, Refusal> {
        self.check_store()?;
        let mut tries = 0;
        let item = loop {
            tries += 1;
            match self.call(self.store.get(&job_key(id))).await {
                Ok(None) => return Ok(None),
                Ok(Some(item)) => break item,
                Err(fault) if tries >= TRIES => return Err(refusal(&fault, false)),
                Err(_) => sleep(PAUSE).await,
            }
        };
        let record = decode(&item.value.0).map_err(|error| unexpected(&error.to_string()))?;
        Ok(Some((record, item.revision)))
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Commit, StoreFault> {
        self.call(self.store.commit(transaction)).await
    }
}

/// The answer to a fault of the store. Only what certainly was not carried out
/// is refused as such.
fn refusal(fault: &StoreFault, doubtful: bool) -> Refusal {
    let kind = if doubtful {
        ErrorKind::AnswerLost
    } else {
        ErrorKind::StoreUnavailable
    };
    Refusal::new(kind, fault.to_string())
}

fn unexpected(message: &str) -> Refusal {
    Refusal::new(ErrorKind::Internal, message)
}
