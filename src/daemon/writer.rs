//! Writes the scheduler's changes to the store, several per transaction.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::term::OwnedShard;
use crate::moment::Moment;
use crate::platform::fleet::{Commit, Item, StoreFault, Transaction};
use crate::schedule::{Batch, StateRecord};
use crate::shards::{
    JobRecord, cancel_key, decode, encode, epoch_key, job_key, pairs_key, progress_key, roster_key,
    waiting_key, work_key, written_key,
};
use crate::workflow::{Progress, WorkflowKey, WorkflowState};

/// The interval between two full batches, which include the progress of all jobs.
const FULL_BATCH_INTERVAL: Duration = Duration::from_millis(150);
/// The delay before a write, so that jobs that end together are written together.
const BATCH_DELAY: Duration = Duration::from_millis(12);
/// The delay before a failed write is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// The rows that every transaction needs: the conditions on the epoch and on the write
/// before, and the mark of this write.
const COMMON_ROWS: usize = 3;

/// A change to write.
#[derive(Debug, Clone)]
pub(super) enum Entry {
    End(StateRecord),
    Start(StateRecord),
    Progress(WorkflowKey, Progress, crate::workflow::WorkflowId),
    Roster(Vec<u8>),
    Pending(Vec<u8>),
    Pairs(Vec<u8>),
}

impl Entry {
    /// Returns the number of transaction rows that the change needs at most.
    const fn rows(&self) -> usize {
        match self {
            Self::End(_) => 4,
            Self::Start(_) => 2,
            Self::Progress(..) | Self::Roster(_) | Self::Pending(_) | Self::Pairs(_) => 1,
        }
    }
}

/// Writes changes until the end of the ownership.
pub(super) async fn run(owned: Arc<OwnedShard>) {
    let mut last = Moment::default();
    let mut previous = 0;
    loop {
        // After the timeout, a full batch is due.
        let _ = timeout(FULL_BATCH_INTERVAL, owned.write.notified()).await;
        sleep(BATCH_DELAY).await;
        let full = Moment::now() - last >= FULL_BATCH_INTERVAL;
        let batch = owned.decide(|scheduler, now| scheduler.collect(full, now));
        match write(&owned, &batch, &mut previous).await {
            Ok(()) => {
                owned.decide(|scheduler, _| scheduler.on_written(&batch, full));
                if full {
                    last = Moment::now();
                }
                if batch.roster.is_some() {
                    owned.wake();
                }
            }
            Err(fault) => {
                log::warn!("shard {:?} was not written: {fault}", owned.claim.shard);
                sleep(RETRY_DELAY).await;
                owned.write.notify_one();
            }
        }
    }
}

/// Writes a batch. `previous` is the revision of the write before; a conflict corrects it if
/// it is not known.
async fn write(owned: &OwnedShard, batch: &Batch, previous: &mut u64) -> Result<(), StoreFault> {
    let mut group: Vec<Entry> = Vec::new();
    let mut rows = COMMON_ROWS;
    for entry in entries(batch) {
        if rows + entry.rows() > Transaction::MAX_ROWS {
            write_group(owned, std::mem::take(&mut group), previous).await?;
            rows = COMMON_ROWS;
        }
        rows += entry.rows();
        group.push(entry);
    }
    write_group(owned, group, previous).await
}

fn entries(batch: &Batch) -> Vec<Entry> {
    let roster = batch
        .roster
        .iter()
        .map(|roster| Entry::Roster(encode(roster)));
    let ends = batch.ended.iter().map(|end| Entry::End(*end));
    let starts = batch.started.iter().map(|start| Entry::Start(*start));
    let progress = batch.progress.iter();
    let progress =
        progress.map(|(workflow, id, progress)| Entry::Progress(*workflow, progress.clone(), *id));
    let pending = batch
        .pending
        .iter()
        .map(|counts| Entry::Pending(encode(counts)));
    let pairs = batch.pairs.iter().map(|pairs| Entry::Pairs(encode(pairs)));
    roster
        .chain(ends)
        .chain(starts)
        .chain(progress)
        .chain(pending)
        .chain(pairs)
        .collect()
}

/// Builds the transaction for a group of changes, which takes effect only while the write at
/// the revision `previous` is the last one.
pub(super) fn transaction(owned: &OwnedShard, group: &[Entry], previous: u64) -> Transaction {
    let shard = &owned.claim.shard;
    let begin = Transaction::default()
        .require(&epoch_key(shard), owned.claim.fence)
        .require(&written_key(shard), previous)
        .set(&written_key(shard), Vec::new());
    group.iter().fold(begin, |rows, entry| match entry {
        Entry::End(end) => end_rows(owned, rows, end),
        Entry::Start(start) => rows
            .require(&job_key(start.id), start.revision)
            .set(&job_key(start.id), encode_record(owned, start)),
        Entry::Progress(_, progress, id) => rows.set(&progress_key(shard, *id), encode(progress)),
        Entry::Roster(roster) => rows.set(&roster_key(shard), roster.clone()),
        Entry::Pending(counts) => rows.set(&waiting_key(shard), counts.clone()),
        Entry::Pairs(pairs) => rows.set(&pairs_key(shard), pairs.clone()),
    })
}

fn end_rows(owned: &OwnedShard, rows: Transaction, end: &StateRecord) -> Transaction {
    let shard = &owned.claim.shard;
    let rows = rows
        .remove(&work_key(shard, end.id))
        .remove(&progress_key(shard, end.id));
    if end.state == WorkflowState::Cancelled {
        // The host that accepted the cancellation has already written the record.
        return rows.remove(&cancel_key(shard, end.id));
    }
    rows.require(&job_key(end.id), end.revision)
        .set(&job_key(end.id), encode_record(owned, end))
}

fn encode_record(owned: &OwnedShard, workflow: &StateRecord) -> Vec<u8> {
    let queue = owned.decide(|scheduler, _| {
        let known = scheduler.ledger.workflows.get(workflow.workflow);
        known
            .map(|known| known.queue.name.clone())
            .unwrap_or_default()
    });
    encode(&JobRecord {
        shard: owned.claim.shard.clone(),
        queue,
        state: workflow.state,
    })
}

async fn write_group(
    owned: &OwnedShard,
    mut group: Vec<Entry>,
    previous: &mut u64,
) -> Result<(), StoreFault> {
    while !group.is_empty() {
        let sent = Moment::now();
        let transaction = transaction(owned, &group, *previous);
        match owned
            .node
            .call(owned.node.store.commit(&transaction))
            .await?
        {
            Commit::Done(revision) => {
                owned.confirm(sent);
                *previous = revision;
                group
                    .iter()
                    .for_each(|entry| on_entry_written(owned, entry, revision));
                return Ok(());
            }
            Commit::Conflict(items) => {
                group = resolve(owned, group, &items)?;
                *previous = last_write(owned, &items);
            }
            Commit::LeaseGone => {
                return Err(StoreFault::Unreadable(
                    "unexpected end of a lease".to_owned(),
                ));
            }
        }
    }
    Ok(())
}

fn on_entry_written(owned: &OwnedShard, entry: &Entry, revision: u64) {
    owned.decide(|scheduler, now| match entry {
        Entry::End(end) => scheduler.on_end_written(end.workflow, now),
        Entry::Start(start) => scheduler.on_start_written(start.workflow, revision),
        Entry::Progress(workflow, progress, _) => {
            scheduler.on_progress_written(*workflow, progress)
        }
        Entry::Roster(_) | Entry::Pending(_) | Entry::Pairs(_) => {}
    });
}

/// Returns the revision of the last write from the items of a conflict.
fn last_write(owned: &OwnedShard, items: &[Item]) -> u64 {
    let key = written_key(&owned.claim.shard);
    let found = items.iter().find(|item| item.key == key);
    found.map_or(0, |item| item.revision)
}

/// Resolves the conflicts of a group of changes. Returns the changes that still
/// have to be written.
fn resolve(
    owned: &OwnedShard,
    group: Vec<Entry>,
    items: &[Item],
) -> Result<Vec<Entry>, StoreFault> {
    let epoch = epoch_key(&owned.claim.shard);
    let fenced = items
        .iter()
        .any(|item| item.key == epoch && item.revision != owned.claim.fence);
    if fenced {
        owned.mark_lost("another host claimed the shard");
        return Err(StoreFault::Refused(
            "another host claimed the shard".to_owned(),
        ));
    }
    let left = group
        .into_iter()
        .filter_map(|entry| resolve_entry(owned, entry, items));
    Ok(left.collect())
}

fn resolve_entry(owned: &OwnedShard, entry: Entry, items: &[Item]) -> Option<Entry> {
    let (Entry::End(workflow) | Entry::Start(workflow)) = &entry else {
        return Some(entry);
    };
    if workflow.state == WorkflowState::Cancelled {
        return Some(entry);
    }
    let key = job_key(workflow.id);
    let found = items.iter().find(|item| item.key == key);
    let Some(item) = found.filter(|item| item.revision > 0) else {
        on_entry_written(owned, &entry, workflow.revision);
        return None;
    };
    if item.revision == workflow.revision {
        return Some(entry);
    }
    let ended = decode::<JobRecord>(&item.value.0).is_ok_and(|record| record.state.is_final());
    if ended {
        // The job was cancelled first, or an earlier attempt of this write took
        // effect although its answer was lost.
        on_entry_written(owned, &entry, item.revision);
        return None;
    }
    let newer = StateRecord {
        revision: item.revision,
        ..*workflow
    };
    owned.decide(|scheduler, _| scheduler.on_start_written(workflow.workflow, item.revision));
    Some(match entry {
        Entry::End(_) => Entry::End(newer),
        _ => Entry::Start(newer),
    })
}
