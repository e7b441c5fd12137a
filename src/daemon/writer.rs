//! Writes what the store must know, in groups.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::term::Reign;
use crate::moment::Moment;
use crate::platform::fleet::{Commit, Item, StoreFault, Transaction};
use crate::schedule::{Batch, EndedWorkflow};
use crate::shards::{
    JobRecord, cancel_key, decode, encode, epoch_key, job_key, pairs_key, progress_key, roster_key,
    waiting_key, work_key,
};
use crate::workflow::{Progress, WorkflowKey, WorkflowState};

/// Between two writes of all progress.
const WHOLE: Duration = Duration::from_millis(150);
/// Ends of jobs that come within this time are written together.
const GATHER: Duration = Duration::from_millis(12);
/// Between tries while the store does not answer.
const PAUSE: Duration = Duration::from_millis(150);

/// Every transaction requires the epoch.
const EPOCH_ROWS: usize = 1;

/// One change to be written, with the rows that it needs.
#[derive(Debug, Clone)]
enum Entry {
    End(EndedWorkflow),
    Start(EndedWorkflow),
    Progress(WorkflowKey, Progress, crate::workflow::WorkflowId),
    Roster(Vec<u8>),
    Pending(Vec<u8>),
    Pairs(Vec<u8>),
}

impl Entry {
    /// How many rows of a transaction it takes.
    const fn rows(&self) -> usize {
        match self {
            Self::End(_) => 4,
            Self::Start(_) => 2,
            Self::Progress(..) | Self::Roster(_) | Self::Pending(_) | Self::Pairs(_) => 1,
        }
    }
}

/// Writes as long as the ownership lasts.
pub(super) async fn run(reign: Arc<Reign>) {
    let mut last = Moment::default();
    loop {
        // Without a notification the time for the whole has come.
        let _ = timeout(WHOLE, reign.write.notified()).await;
        sleep(GATHER).await;
        let whole = Moment::now() - last >= WHOLE;
        let batch = reign.decide(|scheduler, now| scheduler.collect(whole, now));
        match write(&reign, &batch).await {
            Ok(()) => {
                reign.decide(|scheduler, _| scheduler.on_written(&batch, whole));
                if whole {
                    last = Moment::now();
                }
                if batch.roster.is_some() {
                    reign.wake();
                }
            }
            Err(fault) => {
                log::warn!("shard {:?} was not written: {fault}", reign.claim.shard);
                sleep(PAUSE).await;
                reign.write.notify_one();
            }
        }
    }
}

async fn write(reign: &Reign, batch: &Batch) -> Result<(), StoreFault> {
    let mut group: Vec<Entry> = Vec::new();
    let mut rows = EPOCH_ROWS;
    for entry in entries(batch) {
        if rows + entry.rows() > Transaction::MOST_ROWS {
            write_group(reign, std::mem::take(&mut group)).await?;
            rows = EPOCH_ROWS;
        }
        rows += entry.rows();
        group.push(entry);
    }
    write_group(reign, group).await
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
        progress.map(|(flow, id, progress)| Entry::Progress(*flow, progress.clone(), *id));
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

fn transaction(reign: &Reign, group: &[Entry]) -> Transaction {
    let shard = &reign.claim.shard;
    let begin = Transaction::default().require(&epoch_key(shard), reign.claim.fence);
    group.iter().fold(begin, |rows, entry| match entry {
        Entry::End(end) => end_rows(reign, rows, end),
        Entry::Start(start) => rows
            .require(&job_key(start.id), start.revision)
            .set(&job_key(start.id), record(reign, start)),
        Entry::Progress(_, progress, id) => rows.set(&progress_key(shard, *id), encode(progress)),
        Entry::Roster(roster) => rows.set(&roster_key(shard), roster.clone()),
        Entry::Pending(counts) => rows.set(&waiting_key(shard), counts.clone()),
        Entry::Pairs(pairs) => rows.set(&pairs_key(shard), pairs.clone()),
    })
}

fn end_rows(reign: &Reign, rows: Transaction, end: &EndedWorkflow) -> Transaction {
    let shard = &reign.claim.shard;
    let rows = rows
        .remove(&work_key(shard, end.id))
        .remove(&progress_key(shard, end.id));
    if end.state == WorkflowState::Cancelled {
        // The host that took the cancellation has written the record.
        return rows.remove(&cancel_key(shard, end.id));
    }
    rows.require(&job_key(end.id), end.revision)
        .set(&job_key(end.id), record(reign, end))
}

fn record(reign: &Reign, flow: &EndedWorkflow) -> Vec<u8> {
    let queue = reign.decide(|scheduler, _| {
        let known = scheduler.ledger.workflows.get(flow.workflow);
        known
            .map(|known| known.queue.name.clone())
            .unwrap_or_default()
    });
    encode(&JobRecord {
        shard: reign.claim.shard.clone(),
        queue,
        state: flow.state,
    })
}

async fn write_group(reign: &Reign, mut group: Vec<Entry>) -> Result<(), StoreFault> {
    while !group.is_empty() {
        let sent = Moment::now();
        let transaction = transaction(reign, &group);
        match reign
            .node
            .call(reign.node.store.commit(&transaction))
            .await?
        {
            Commit::Done(revision) => {
                reign.confirm(sent);
                group
                    .iter()
                    .for_each(|entry| settle(reign, entry, revision));
                return Ok(());
            }
            Commit::Conflict(items) => group = resolve(reign, group, &items)?,
            Commit::LeaseGone => {
                return Err(StoreFault::Unreadable(
                    "a lease that was not used".to_owned(),
                ));
            }
        }
    }
    Ok(())
}

fn settle(reign: &Reign, entry: &Entry, revision: u64) {
    reign.decide(|scheduler, now| match entry {
        Entry::End(end) => scheduler.on_end_written(end.workflow, now),
        Entry::Start(start) => scheduler.on_start_written(start.workflow, revision),
        Entry::Progress(flow, progress, _) => scheduler.on_progress_written(*flow, progress),
        Entry::Roster(_) | Entry::Pending(_) | Entry::Pairs(_) => {}
    });
}

/// Takes in what stands in the way of a group, and returns what is left of it.
fn resolve(reign: &Reign, group: Vec<Entry>, items: &[Item]) -> Result<Vec<Entry>, StoreFault> {
    let epoch = epoch_key(&reign.claim.shard);
    let deposed = items
        .iter()
        .any(|item| item.key == epoch && item.revision != reign.claim.fence);
    if deposed {
        reign.lose("another host claimed it");
        return Err(StoreFault::Refused(
            "another host claimed the shard".to_owned(),
        ));
    }
    let left = group
        .into_iter()
        .filter_map(|entry| resolve_entry(reign, entry, items));
    Ok(left.collect())
}

fn resolve_entry(reign: &Reign, entry: Entry, items: &[Item]) -> Option<Entry> {
    let (Entry::End(flow) | Entry::Start(flow)) = &entry else {
        return Some(entry);
    };
    if flow.state == WorkflowState::Cancelled {
        return Some(entry);
    }
    let key = job_key(flow.id);
    let found = items.iter().find(|item| item.key == key);
    let Some(item) = found.filter(|item| item.revision > 0) else {
        settle(reign, &entry, flow.revision);
        return None;
    };
    if item.revision == flow.revision {
        return Some(entry);
    }
    let ended = decode::<JobRecord>(&item.value.0).is_ok_and(|record| record.state.is_final());
    if ended {
        // A cancellation came first, or an earlier try of this very write.
        settle(reign, &entry, item.revision);
        return None;
    }
    let newer = EndedWorkflow {
        revision: item.revision,
        ..*flow
    };
    reign.decide(|scheduler, _| scheduler.on_start_written(flow.workflow, item.revision));
    Some(match entry {
        Entry::End(_) => Entry::End(newer),
        _ => Entry::Start(newer),
    })
}
