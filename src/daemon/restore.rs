//! Takes up the state of a shard, then follows its jobs and workers.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::lines::DaemonLine;
use super::node::wall;
use super::term::Reign;
use super::writer;
use crate::fleet::Registration;
use crate::journal;
use crate::moment::Moment;
use crate::platform::fleet::{
    Change, Item, Page, REGISTRY_PREFIX, StoreFault, Watched, read_worker,
};
use crate::schedule::PairRecord;
use crate::shards::{
    AcceptedJob, JobKey, decode, is_later_claim, pairs_key, progress_prefix, read_job_key,
    roster_key, work_prefix,
};
use crate::workflow::{ActiveWorkflow, Progress, WorkflowId, WorkflowState, due_times};

/// How long a watch waits for a change.
const WAIT: Duration = Duration::from_secs(3);
/// Between calls while the store does not answer.
const PAUSE: Duration = Duration::from_millis(150);
/// Between two readings of the registry.
const REGISTRY_PAUSE: Duration = Duration::from_millis(900);

/// Takes up the shard's state, starts the tasks of the ownership, and follows
/// the shard's jobs.
pub(super) async fn run(reign: Arc<Reign>) {
    let begun = Moment::now();
    let mut revision = loop {
        match read_state(&reign).await {
            Ok(revision) => break revision,
            Err(fault) => {
                log::warn!("shard {:?} is not restored yet: {fault}", reign.claim.shard);
                sleep(PAUSE).await;
            }
        }
    };
    note_restored(&reign, begun);
    reign.wake();
    reign.spawn(writer::run(reign.clone()));
    reign.spawn(follow_registry(reign.clone()));
    loop {
        let next = tokio::select! {
            next = follow_jobs(&reign, revision) => next,
            () = reign.node.health.wait_regained() => read_jobs(&reign).await,
        };
        match next {
            Ok(next) => revision = next,
            Err(_) => sleep(PAUSE).await,
        }
    }
}

fn note_restored(reign: &Reign, begun: Moment) {
    let (jobs, workers) =
        reign.decide(|scheduler, _| (scheduler.ledger.workflows.len(), scheduler.workers.len()));
    journal::line(&DaemonLine::ShardRestored {
        shard: &reign.claim.shard,
        fence: reign.claim.fence,
        jobs,
        workers,
        took_ms: (Moment::now() - begun).as_millis() as u64,
    });
}

/// Reads everything that the former owner left. Returns the revision to follow
/// the jobs from.
async fn read_state(reign: &Arc<Reign>) -> Result<u64, StoreFault> {
    let shard = &reign.claim.shard;
    let store = &reign.node.store;
    let (progress_place, work_place) = (progress_prefix(shard), work_prefix(shard));
    let (roster_place, pairs_place) = (roster_key(shard), pairs_key(shard));
    let (progress, work, roster, pairs, registry) = tokio::try_join!(
        store.range(&progress_place, false),
        store.range(&work_place, false),
        store.get(&roster_place),
        store.get(&pairs_place),
        store.range(REGISTRY_PREFIX, false),
    )?;
    let progress = read_progress(&progress_place, &progress.items);
    take_jobs(reign, up_to(&work), &progress);
    take_registry(reign, &registry.items);
    take_roster(reign, roster);
    if let Some(records) = pairs.as_ref().and_then(readable::<Vec<PairRecord>>) {
        reign.decide(|scheduler, _| scheduler.on_pairs(&records));
    }
    Ok(work.revision)
}

fn read_progress(prefix: &str, items: &[Item]) -> HashMap<WorkflowId, Progress> {
    let rows = items.iter().filter_map(|item| {
        let id = item.key.strip_prefix(prefix)?.parse().ok()?;
        readable(item).map(|progress| (id, progress))
    });
    rows.collect()
}

fn readable<T: serde::de::DeserializeOwned>(item: &Item) -> Option<T> {
    match decode(&item.value.0) {
        Ok(value) => Some(value),
        Err(error) => {
            ignore(&item.key, error.to_string());
            None
        }
    }
}

fn ignore(key: &str, reason: String) {
    journal::line(&DaemonLine::ValueIgnored { key, reason });
}

/// The items of a reading that are not newer than its begin. The watch from
/// there brings the others in their order.
fn up_to(page: &Page) -> impl Iterator<Item = &Item> {
    page.items
        .iter()
        .filter(|item| item.revision <= page.revision)
}

/// Takes in jobs in the order of their revisions, up to the next claim of the
/// shard: a job that was accepted after it is the new owner's.
fn take_jobs<'a>(
    reign: &Reign,
    items: impl Iterator<Item = &'a Item>,
    progress: &HashMap<WorkflowId, Progress>,
) {
    let mut items: Vec<&Item> = items.collect();
    items.sort_by_key(|item| item.revision);
    let claim = &reign.claim;
    for item in items {
        if is_later_claim(&claim.shard, &item.key, item.revision, claim.fence) {
            return reign.lose("another host claimed it");
        }
        match read_job_key(&claim.shard, &item.key) {
            Some(JobKey::Claimed) => {}
            Some(JobKey::Job(id)) => take_job(reign, id, item, progress.get(&id)),
            Some(JobKey::Cancelled(id)) => reign.decide(|scheduler, now| scheduler.cancel(id, now)),
            None => ignore(&item.key, "no key of a job".to_owned()),
        }
    }
}

fn take_job(reign: &Reign, id: WorkflowId, item: &Item, progress: Option<&Progress>) {
    let Some(accepted) = readable::<AcceptedJob>(item) else {
        return;
    };
    let wall = wall();
    let age = wall.saturating_sub(Duration::from_millis(accepted.accepted_at));
    reign.decide(|scheduler, now| {
        // A job that was accepted before this process started counts from its start.
        let since = Moment::default() + (now - Moment::default()).saturating_sub(age);
        let flow = ActiveWorkflow {
            id,
            queue: Arc::new(accepted.queue),
            revision: item.revision,
            record_revision: item.revision,
            accepted: since,
            state: WorkflowState::Queued,
            occurrences: Vec::new(),
            due_times: due_times(&accepted.workflow, wall, now),
            spec: Arc::new(accepted.workflow),
        };
        scheduler.submit(flow, progress, now);
    });
}

fn take_registry(reign: &Arc<Reign>, items: &[Item]) {
    let entries: Vec<Registration> = items
        .iter()
        .filter_map(|item| match read_worker(item) {
            Ok(entry) => Some(entry),
            Err(error) => {
                ignore(&item.key, error.to_string());
                None
            }
        })
        .filter(|entry| shard_of(reign, entry) == Some(reign.claim.shard.clone()))
        .collect();
    let added = reign.decide(|scheduler, now| scheduler.on_registry(entries, now));
    added.into_iter().for_each(|key| reign.attend(key));
}

fn shard_of(reign: &Reign, entry: &Registration) -> Option<String> {
    let layout = reign.node.layout()?;
    Some(layout.shard_of(&entry.zone, entry.rack()))
}

fn take_roster(reign: &Arc<Reign>, item: Option<Item>) {
    let roster = item.as_ref().and_then(readable).unwrap_or_default();
    let added = reign.decide(|scheduler, now| scheduler.on_roster(roster, now));
    added.into_iter().for_each(|key| reign.attend(key));
}

async fn follow_jobs(reign: &Arc<Reign>, after: u64) -> Result<u64, StoreFault> {
    let prefix = work_prefix(&reign.claim.shard);
    let node = &reign.node;
    match node.watch(&prefix, after, WAIT).await? {
        Watched::Changes(changes, revision) => {
            let written: Vec<Item> = changes
                .into_iter()
                .filter_map(|change| match change {
                    Change::Written(item) => Some(item),
                    Change::Removed { .. } => None,
                })
                .collect();
            if !written.is_empty() {
                take_jobs(reign, written.iter(), &HashMap::new());
                reign.wake();
            }
            Ok(revision)
        }
        Watched::Forgotten => read_jobs(reign).await,
    }
}

async fn read_jobs(reign: &Arc<Reign>) -> Result<u64, StoreFault> {
    let prefix = work_prefix(&reign.claim.shard);
    let node = &reign.node;
    let page = node.call(node.store.range(&prefix, false)).await?;
    take_jobs(reign, up_to(&page), &HashMap::new());
    reign.wake();
    Ok(page.revision)
}

/// Reads the registry again and again.
async fn follow_registry(reign: Arc<Reign>) {
    let mut attended = HashSet::new();
    loop {
        sleep(REGISTRY_PAUSE).await;
        let read = reign.node.store.range(REGISTRY_PREFIX, false);
        if let Ok(page) = reign.node.call(read).await {
            take_registry(&reign, &page.items);
            let present: HashSet<_> =
                reign.decide(|scheduler, _| scheduler.workers.keys().collect());
            for gone in attended.difference(&present) {
                reign.dismiss(*gone);
            }
            attended = present;
            reign.wake();
        }
    }
}
