//! Writes the scheduler's changes to the store, several per transaction.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::node::wall_clock;
use super::owned::OwnedShard;
use crate::moment::Moment;
use crate::platform::fleet::{Commit, Item, StoreFault, Transaction};
use crate::schedule::{Batch, Change, MoveRecord, StateRecord};
use crate::shards::{
    AcceptedJob, JobRecord, cancel_key, decode, encode, epoch_key, job_key, pairs_key,
    progress_key, recovered_key, roster_key, waiting_key, work_key, written_key,
};
use crate::workflow::WorkflowState;

/// The interval between two full batches, which include the progress of all jobs.
const FULL_BATCH_INTERVAL: Duration = Duration::from_millis(150);
/// The delay before a write, so that jobs that end together are written together.
const BATCH_DELAY: Duration = Duration::from_millis(12);
/// The delay before a failed write is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// The rows that every transaction needs: the conditions on the epoch and on the write
/// before, and the mark of this write.
const COMMON_ROWS: usize = 3;

/// Returns the number of transaction rows that a change needs at most.
const fn rows(change: &Change) -> usize {
    match change {
        Change::Move(_) => 5,
        Change::End(_) => 4,
        Change::Start(_) => 2,
        Change::Progress(..)
        | Change::Roster(_)
        | Change::Recovered
        | Change::Pending(_)
        | Change::Pairs(_) => 1,
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
                owned.decide(|scheduler, _| scheduler.on_written(&batch));
                if batch.full {
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
    let mut group: Vec<Change> = Vec::new();
    let mut used = COMMON_ROWS;
    for change in batch.changes() {
        if used + rows(&change) > Transaction::MAX_ROWS {
            write_group(owned, std::mem::take(&mut group), previous).await?;
            used = COMMON_ROWS;
        }
        used += rows(&change);
        group.push(change);
    }
    write_group(owned, group, previous).await
}

/// Builds the transaction for a group of changes, which takes effect only while the write at
/// the revision `previous` is the last one.
pub(super) fn transaction(owned: &OwnedShard, group: &[Change], previous: u64) -> Transaction {
    let shard = &owned.claim.shard;
    let begin = Transaction::default()
        .require(&epoch_key(shard), owned.claim.fence)
        .require(&written_key(shard), previous)
        .set(&written_key(shard), Vec::new());
    group.iter().fold(begin, |rows, change| match change {
        Change::End(end) => end_rows(owned, rows, end),
        Change::Start(start) => rows
            .require(&job_key(start.id), start.revision)
            .set(&job_key(start.id), encode_record(owned, start)),
        Change::Move(moved) => move_rows(owned, rows, moved),
        Change::Progress(_, id, progress) => rows.set(&progress_key(shard, *id), encode(progress)),
        Change::Roster(roster) => rows.set(&roster_key(shard), encode(roster)),
        Change::Recovered => rows.set(&recovered_key(shard), Vec::new()),
        Change::Pending(counts) => rows.set(&waiting_key(shard), encode(counts)),
        Change::Pairs(pairs) => rows.set(&pairs_key(shard), encode(pairs)),
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

/// The rows that take a job with all its keys to another shard.
fn move_rows(owned: &OwnedShard, rows: Transaction, moved: &MoveRecord) -> Transaction {
    let shard = &owned.claim.shard;
    let age = Moment::now() - moved.accepted;
    let job = AcceptedJob {
        queue: (*moved.queue).clone(),
        workflow: (*moved.spec).clone(),
        accepted_at: wall_clock().saturating_sub(age).as_millis() as u64,
        moved: Some(moved.moved.clone()),
    };
    let record = JobRecord {
        shard: moved.to.clone(),
        queue: moved.queue.name.clone(),
        state: moved.state,
        moves: moved.moved.moves,
    };
    rows.require(&job_key(moved.id), moved.revision)
        .set(&job_key(moved.id), encode(&record))
        .remove(&work_key(shard, moved.id))
        .remove(&progress_key(shard, moved.id))
        .set(&work_key(&moved.to, moved.id), encode(&job))
}

fn encode_record(owned: &OwnedShard, workflow: &StateRecord) -> Vec<u8> {
    let (queue, moves) = owned.decide(|scheduler, _| {
        let known = scheduler.ledger.workflows.get(workflow.workflow);
        known
            .map(|known| (known.queue.name.clone(), known.moves))
            .unwrap_or_default()
    });
    encode(&JobRecord {
        shard: owned.claim.shard.clone(),
        queue,
        state: workflow.state,
        moves,
    })
}

async fn write_group(
    owned: &OwnedShard,
    mut group: Vec<Change>,
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
                owned.decide(|scheduler, _| scheduler.on_owned_write(revision));
                *previous = revision;
                group
                    .iter()
                    .for_each(|change| on_change_written(owned, change, revision));
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

fn on_change_written(owned: &OwnedShard, change: &Change, revision: u64) {
    owned.decide(|scheduler, now| match change {
        Change::End(end) => scheduler.on_end_written(end.workflow, now),
        Change::Start(start) => scheduler.on_start_written(start.workflow, revision),
        Change::Progress(workflow, _, progress) => {
            scheduler.on_progress_written(*workflow, progress)
        }
        Change::Move(moved) => scheduler.on_job_moved(moved.workflow, revision, now),
        Change::Roster(_) | Change::Recovered | Change::Pending(_) | Change::Pairs(_) => {}
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
pub(super) fn resolve(
    owned: &OwnedShard,
    group: Vec<Change>,
    items: &[Item],
) -> Result<Vec<Change>, StoreFault> {
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
        .filter_map(|change| resolve_change(owned, change, items));
    Ok(left.collect())
}

/// Resolves the conflict of a move. The record counts the moves, so that it shows whether an
/// earlier attempt took effect although its answer was lost.
fn resolve_move(owned: &OwnedShard, mut moved: Box<MoveRecord>, items: &[Item]) -> Option<Change> {
    let key = job_key(moved.id);
    let item = items.iter().find(|item| item.key == key)?;
    if item.revision == moved.revision {
        return Some(Change::Move(moved));
    }
    let stored = decode::<JobRecord>(&item.value.0).ok()?;
    if stored.moves >= moved.moved.moves {
        if stored.shard == owned.claim.shard {
            // It has come back since, and its jobs have to be read again.
            owned.mark_lost("a job was moved back before the answer to its move");
        }
        on_change_written(owned, &Change::Move(moved), item.revision);
        return None;
    }
    if stored.state.is_final() {
        owned.decide(|scheduler, _| scheduler.on_move_refused(moved.workflow));
        return None;
    }
    moved.revision = item.revision;
    owned.decide(|scheduler, _| scheduler.on_start_written(moved.workflow, item.revision));
    Some(Change::Move(moved))
}

fn resolve_change(owned: &OwnedShard, change: Change, items: &[Item]) -> Option<Change> {
    let change = match change {
        Change::Move(moved) => return resolve_move(owned, moved, items),
        change => change,
    };
    let (Change::End(workflow) | Change::Start(workflow)) = &change else {
        return Some(change);
    };
    if workflow.state == WorkflowState::Cancelled {
        return Some(change);
    }
    let key = job_key(workflow.id);
    let found = items.iter().find(|item| item.key == key);
    let Some(item) = found.filter(|item| item.revision > 0) else {
        on_change_written(owned, &change, workflow.revision);
        return None;
    };
    if item.revision == workflow.revision {
        return Some(change);
    }
    let stored = decode::<JobRecord>(&item.value.0).map(|record| record.state);
    if stored == Ok(WorkflowState::Cancelled) && matches!(change, Change::End(_)) {
        // The job was cancelled first; its other keys are still to be removed.
        return Some(Change::End(StateRecord {
            state: WorkflowState::Cancelled,
            ..*workflow
        }));
    }
    if stored.is_ok_and(WorkflowState::is_final) {
        // An earlier attempt of this write took effect although its answer was lost.
        on_change_written(owned, &change, item.revision);
        return None;
    }
    let newer = StateRecord {
        revision: item.revision,
        ..*workflow
    };
    owned.decide(|scheduler, _| scheduler.on_start_written(workflow.workflow, item.revision));
    Some(match change {
        Change::End(_) => Change::End(newer),
        _ => Change::Start(newer),
    })
}
