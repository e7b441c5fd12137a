//! Restores the state of a shard from the store, then watches its jobs and
//! workers.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;

use super::configuration::restore_evacuations;
use super::former::watch_former_owner;
use super::lines::DaemonLine;
use super::node::wall_clock;
use super::owned::OwnedShard;
use super::{worker, writer};
use crate::fleet::Registration;
use crate::journal;
use crate::moment::Moment;
use crate::platform::fleet::{
    Change, EVACUATION_PREFIX, Item, Page, REGISTRY_PREFIX, StoreFault, Watched, read_worker,
};
use crate::schedule::{PAIRS_INTERVAL, PairRecord, PeerShard};
use crate::shards::{
    AcceptedJob, Incarnations, JobKey, Layout, decode, is_later_claim, pairs_key, pairs_prefix,
    progress_prefix, read_job_key, recovered_key, roster_key, work_prefix,
};
use crate::workflow::{ActiveWorkflow, Progress, WorkflowId, WorkflowState, due_times};

/// The delay before a failed call to the store is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// The interval at which the worker registry is read.
const REGISTRY_INTERVAL: Duration = Duration::from_millis(900);
/// The interval at which an owner reads the requests to evacuate zones, beside the watch. With
/// one call that fails, a request is known within 5 s.
const EVACUATION_INTERVAL: Duration = Duration::from_millis(1500);

/// Restores the shard's state, starts the tasks that depend on it, and watches the
/// shard's jobs.
///
/// `incarnations` holds the newest incarnation of each known host.
pub(super) async fn run(owned: Arc<OwnedShard>, incarnations: watch::Receiver<Incarnations>) {
    let begun = Moment::now();
    let Restored {
        mut revision,
        recovered,
    } = loop {
        match read_state(&owned).await {
            Ok(restored) => break restored,
            Err(fault) => {
                log::warn!("shard {:?} is not restored yet: {fault}", owned.claim.shard);
                sleep(RETRY_DELAY).await;
            }
        }
    };
    log_restored(&owned, recovered, begun);
    owned.wake();
    owned.spawn(watch_former_owner(owned.clone(), incarnations, recovered));
    owned.spawn(writer::run(owned.clone()));
    owned.spawn(follow_registry(owned.clone()));
    owned.spawn(reread_evacuations(owned.clone()));
    owned.spawn(follow_pairs(owned.clone()));
    loop {
        let next = tokio::select! {
            next = follow_jobs(&owned, revision) => next,
            () = owned.node.health.wait_regained() => read_jobs(&owned).await,
        };
        match next {
            Ok(next) => revision = next,
            Err(_) => sleep(RETRY_DELAY).await,
        }
    }
}

fn log_restored(owned: &OwnedShard, recovered: u64, begun: Moment) {
    let (jobs, workers) =
        owned.decide(|scheduler, _| (scheduler.ledger.workflows.len(), scheduler.workers.len()));
    journal::line(&DaemonLine::ShardRestored {
        shard: &owned.claim.shard,
        fence: owned.claim.fence,
        jobs,
        workers,
        recovered,
        took_ms: (Moment::now() - begun).as_millis() as u64,
    });
}

/// What a new owner has read from the store, beside the state of the scheduler.
struct Restored {
    /// The revision after which the jobs are watched.
    revision: u64,
    /// The revision of the mark that no earlier owner gives orders any more; 0 if there is none.
    recovered: u64,
}

/// Reads the state that the former owner stored.
async fn read_state(owned: &Arc<OwnedShard>) -> Result<Restored, StoreFault> {
    let shard = &owned.claim.shard;
    let store = &owned.node.store;
    let (progress_path, work_path) = (progress_prefix(shard), work_prefix(shard));
    let (roster_path, recovered_path) = (roster_key(shard), recovered_key(shard));
    let (evacuations, progress, work, roster, recovered, pairs, registry) = tokio::try_join!(
        store.range(EVACUATION_PREFIX, false),
        store.range(&progress_path, false),
        store.range(&work_path, false),
        store.get(&roster_path),
        store.get(&recovered_path),
        store.range(pairs_prefix(), false),
        store.range(REGISTRY_PREFIX, false),
    )?;
    // Before the workers are known, so that they apply to the first start order.
    restore_evacuations(&owned.node, &evacuations);
    let progress = read_progress(&progress_path, &progress.items);
    apply_jobs(owned, items_up_to_revision(&work), &progress);
    apply_registry(owned, &registry.items);
    apply_roster(owned, roster);
    restore_pairs(owned, &pairs.items);
    Ok(Restored {
        revision: work.revision,
        recovered: recovered.map_or(0, |mark| mark.revision),
    })
}

/// Restores the evidence of interference that a former owner of the shard stored. It
/// includes that of the other shards' owners; if there is none, theirs is added.
fn restore_pairs(owned: &OwnedShard, items: &[Item]) {
    let shard = owned.claim.shard.as_str();
    let own = items.iter().find(|item| item.key == pairs_key(shard));
    let own = own.and_then(decode_item::<Vec<PairRecord>>);
    let restored =
        own.is_some_and(|own| owned.decide(|scheduler, _| scheduler.on_pairs(shard, &own)));
    if !restored {
        return merge_pairs(owned, items);
    }
    for (peer, revision, records) in peer_pairs(owned, items) {
        owned.decide(|scheduler, _| scheduler.skip_peer_pairs(peer, revision, &records));
    }
}

fn merge_pairs(owned: &OwnedShard, items: &[Item]) {
    for (peer, revision, records) in peer_pairs(owned, items) {
        owned.decide(|scheduler, _| scheduler.merge_peer_pairs(peer, revision, &records));
    }
}

/// The evidence that the owners of the other shards stored: the name of the shard, the
/// revision of the record, and the record.
fn peer_pairs<'a>(
    owned: &'a OwnedShard,
    items: &'a [Item],
) -> impl Iterator<Item = (&'a str, u64, Vec<PairRecord>)> {
    items.iter().filter_map(|item| {
        let shard = item.key.strip_prefix(pairs_prefix())?;
        let other = shard != owned.claim.shard;
        let records = other.then(|| decode_item::<Vec<PairRecord>>(item))?;
        records.map(|records| (shard, item.revision, records))
    })
}

/// Reads the evidence of interference that the owners of other shards store.
async fn follow_pairs(owned: Arc<OwnedShard>) {
    if owned.node.layout() == Some(Layout::Whole) {
        return;
    }
    loop {
        sleep(PAIRS_INTERVAL).await;
        let read = owned.node.store.range(pairs_prefix(), true);
        if let Ok(page) = owned.node.call(read).await {
            merge_pairs(&owned, &page.items);
        }
    }
}

fn read_progress(prefix: &str, items: &[Item]) -> HashMap<WorkflowId, Progress> {
    let rows = items.iter().filter_map(|item| {
        let id = item.key.strip_prefix(prefix)?.parse().ok()?;
        decode_item(item).map(|progress| (id, progress))
    });
    rows.collect()
}

fn decode_item<T: serde::de::DeserializeOwned>(item: &Item) -> Option<T> {
    match decode(&item.value.0) {
        Ok(value) => Some(value),
        Err(error) => {
            log_ignored(&item.key, error.to_string());
            None
        }
    }
}

fn log_ignored(key: &str, reason: String) {
    journal::line(&DaemonLine::ValueIgnored { key, reason });
}

/// Returns the items that are not newer than the page's revision. The watch from
/// that revision reports the newer ones in the order of their changes.
fn items_up_to_revision(page: &Page) -> impl Iterator<Item = &Item> {
    page.items
        .iter()
        .filter(|item| item.revision <= page.revision)
}

/// Applies jobs in the order of their revisions, up to the next claim of the
/// shard: jobs accepted after that claim belong to the new owner.
fn apply_jobs<'a>(
    owned: &OwnedShard,
    items: impl Iterator<Item = &'a Item>,
    progress: &HashMap<WorkflowId, Progress>,
) {
    let mut items: Vec<&Item> = items.collect();
    items.sort_by_key(|item| item.revision);
    let claim = &owned.claim;
    for item in items {
        if is_later_claim(&claim.shard, &item.key, item.revision, claim.fence) {
            return owned.mark_lost("another host claimed the shard");
        }
        match read_job_key(&claim.shard, &item.key) {
            Some(JobKey::Claimed) => {}
            Some(JobKey::Job(id)) => submit_job(owned, id, item, progress.get(&id)),
            Some(JobKey::Cancelled(id)) => owned.decide(|scheduler, now| scheduler.cancel(id, now)),
            None => log_ignored(&item.key, "not the key of a job".to_owned()),
        }
    }
}

fn submit_job(owned: &OwnedShard, id: WorkflowId, item: &Item, progress: Option<&Progress>) {
    let Some(accepted) = decode_item::<AcceptedJob>(item) else {
        return;
    };
    if let Err(reason) = accepted.check() {
        return log_ignored(&item.key, reason);
    }
    let moved = accepted.moved.as_ref();
    // What this shard has stored is newer than what the job took along.
    let progress = progress.or(moved.map(|moved| &moved.progress));
    let wall_clock = wall_clock();
    let age = wall_clock.saturating_sub(Duration::from_millis(accepted.accepted_at));
    owned.decide(|scheduler, now| {
        // Limited to the start of this process: a `Moment` cannot be earlier.
        let since = Moment::default() + (now - Moment::default()).saturating_sub(age);
        let workflow = ActiveWorkflow {
            id,
            queue: Arc::new(accepted.queue),
            revision: item.revision,
            moves: moved.map_or(0, |moved| moved.moves),
            last_run: moved.map_or(0, |moved| moved.last_run),
            record_revision: item.revision,
            accepted: since,
            state: WorkflowState::Queued,
            occurrences: Vec::new(),
            due_times: due_times(&accepted.workflow, wall_clock, now),
            spec: Arc::new(accepted.workflow),
        };
        scheduler.submit(workflow, progress, now);
    });
}

fn apply_registry(owned: &Arc<OwnedShard>, items: &[Item]) {
    let entries: Vec<Registration> = items
        .iter()
        .filter_map(|item| match read_worker(item) {
            Ok(entry) => Some(entry),
            Err(error) => {
                log_ignored(&item.key, error.to_string());
                None
            }
        })
        .collect();
    let (entries, peers) = split_shards(owned, entries);
    let added = owned.decide(|scheduler, now| {
        scheduler.on_peer_shards(peers);
        scheduler.on_registry(entries, now)
    });
    added.into_iter().for_each(|key| worker::attach(owned, key));
}

/// Returns the workers of the owned shard, and the other shards with theirs.
fn split_shards(
    owned: &OwnedShard,
    entries: Vec<Registration>,
) -> (Vec<Registration>, Vec<PeerShard>) {
    let mut own = Vec::new();
    let mut others: BTreeMap<String, Vec<Registration>> = BTreeMap::new();
    for entry in entries {
        match shard_of(owned, &entry) {
            Some(shard) if shard == owned.claim.shard => own.push(entry),
            Some(shard) => others.entry(shard).or_default().push(entry),
            None => {}
        }
    }
    let peers = others.into_iter().map(|(name, workers)| PeerShard {
        pools: owned.node.loads(&name),
        name,
        workers,
    });
    (own, peers.collect())
}

fn shard_of(owned: &OwnedShard, entry: &Registration) -> Option<String> {
    let layout = owned.node.layout()?;
    let zones = &owned.node.settings.zones;
    Some(layout.shard_of(zones, &entry.zone, entry.rack()))
}

fn apply_roster(owned: &Arc<OwnedShard>, item: Option<Item>) {
    let roster = item.as_ref().and_then(decode_item).unwrap_or_default();
    let revision = item.map_or(0, |item| item.revision);
    let added = owned.decide(|scheduler, now| scheduler.on_roster(roster, revision, now));
    added.into_iter().for_each(|key| worker::attach(owned, key));
}

async fn follow_jobs(owned: &Arc<OwnedShard>, after: u64) -> Result<u64, StoreFault> {
    let prefix = work_prefix(&owned.claim.shard);
    let node = &owned.node;
    match node.watch(&prefix, after).await? {
        Watched::Changes(changes, revision) => {
            let written: Vec<Item> = changes
                .into_iter()
                .filter_map(|change| match change {
                    Change::Written(item) => Some(item),
                    Change::Removed { .. } => None,
                })
                .collect();
            if !written.is_empty() {
                apply_jobs(owned, written.iter(), &HashMap::new());
                owned.wake();
            }
            Ok(revision)
        }
        Watched::Compacted => read_jobs(owned).await,
    }
}

async fn read_jobs(owned: &Arc<OwnedShard>) -> Result<u64, StoreFault> {
    let prefix = work_prefix(&owned.claim.shard);
    let node = &owned.node;
    let page = node.call(node.store.range(&prefix, false)).await?;
    apply_jobs(owned, items_up_to_revision(&page), &HashMap::new());
    owned.wake();
    Ok(page.revision)
}

async fn read_evacuations(owned: &OwnedShard) -> Result<(), StoreFault> {
    let read = owned.node.store.range(EVACUATION_PREFIX, false);
    let page = owned.node.call(read).await?;
    restore_evacuations(&owned.node, &page);
    Ok(())
}

/// Reads the requests to evacuate zones periodically, as the host's watch may be late.
async fn reread_evacuations(owned: Arc<OwnedShard>) {
    loop {
        sleep(EVACUATION_INTERVAL).await;
        while let Err(fault) = read_evacuations(&owned).await {
            log::warn!("the requests to evacuate zones were not read: {fault}");
            sleep(RETRY_DELAY).await;
        }
    }
}

/// Reads the registry periodically, for workers that were added or removed.
async fn follow_registry(owned: Arc<OwnedShard>) {
    let mut attached = HashSet::new();
    loop {
        sleep(REGISTRY_INTERVAL).await;
        let read = owned.node.store.range(REGISTRY_PREFIX, false);
        if let Ok(page) = owned.node.call(read).await {
            apply_registry(&owned, &page.items);
            let present: HashSet<_> =
                owned.decide(|scheduler, _| scheduler.workers.keys().collect());
            for gone in attached.difference(&present) {
                owned.detach_worker(*gone);
            }
            attached = present;
            owned.wake();
        }
    }
}
