//! The background tasks of an entry daemon, with one task for each worker and
//! each peer.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Notify, mpsc};
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

use super::connections::PeerTasks;
use super::node::{MoveSubmission, Node, StoreCall};
use crate::configuration::{CONFIGURATION_KEY, Configuration};
use crate::counters::Count;
use crate::drain::EVACUATIONS_PREFIX;
use crate::ids::{HostId, WorkerKey};
use crate::jobs::WallClock;
use crate::ownership::Announcement;
use crate::peers::{PeerAnswer, PeerCall, dial};
use crate::platform::Range;
use crate::workers::WorkerClient;

/// Interval between ticks of the core.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between readings of the host list.
const HOSTS_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Time that a watch of the store waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1500);
/// Delay before a failed read of the store or a check of a peer is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Minimum delay between two calls to a worker.
const SYNC_DELAY: Duration = Duration::from_millis(20);
/// Consecutive checks without a connection after which a peer is given up; about a
/// minute with [`RETRY_DELAY`] between them.
const MAX_PEER_MISSES: u32 = 200;

/// Starts the tasks that run as long as the daemon.
pub(super) fn spawn_all(
    node: &Arc<Node>,
    calls: mpsc::UnboundedReceiver<StoreCall>,
    moves: mpsc::UnboundedReceiver<MoveSubmission>,
) {
    tokio::spawn(submit_moves(node.clone(), moves));
    tokio::spawn(tick(node.clone()));
    tokio::spawn(call_store(node.clone(), calls));
    tokio::spawn(watch_announcements(node.clone()));
    tokio::spawn(watch_configuration(node.clone()));
    tokio::spawn(watch_evacuations(node.clone()));
    tokio::spawn(poll_hosts(node.clone()));
    tokio::spawn(fetch_newer_configuration(node.clone()));
}

async fn tick(node: Arc<Node>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        node.decide(|core, now| core.tick(now, WallClock::now()));
    }
}

/// Sends store calls and passes their replies to the core.
async fn call_store(node: Arc<Node>, mut calls: mpsc::UnboundedReceiver<StoreCall>) {
    while let Some(StoreCall { call, op }) = calls.recv().await {
        let count = match op.writes() {
            true => Count::StoreWrites,
            false => Count::StoreReads,
        };
        node.counters.add(count, 1);
        let node = node.clone();
        tokio::spawn(async move {
            let reply = node.platform.call(op).await.ok();
            node.decide(|core, now| core.on_store(call, reply, now));
        });
    }
}

/// Submits moved tasks, one submission at a time, without duplicates among those
/// that wait. The core repeats the effect for submissions that failed.
async fn submit_moves(node: Arc<Node>, mut moves: mpsc::UnboundedReceiver<MoveSubmission>) {
    while let Some(first) = moves.recv().await {
        let mut waiting = vec![first];
        while let Ok(next) = moves.try_recv() {
            let known = waiting
                .iter()
                .any(|each| each.pending.to == next.pending.to);
            if !known {
                waiting.push(next);
            }
        }
        for MoveSubmission { from, pending } in waiting {
            node.submit_move(from, pending).await;
        }
    }
}

/// Watches the announcements of entry hosts and starts a task for each peer.
async fn watch_announcements(node: Arc<Node>) {
    let mut peers = PeerTasks::default();
    loop {
        let Some(range) = read_range(&node, "alive/").await else {
            sleep(RETRY_DELAY).await;
            continue;
        };
        let all: Vec<Announcement> = range
            .entries
            .iter()
            .filter_map(|entry| serde_json::from_str(entry.value.as_deref()?).ok())
            .collect();
        node.decide(|core, now| core.on_announced(&all, now));
        let others = all.into_iter().filter(|each| each.host != node.me);
        peers.start_missing(others.collect(), |peer| {
            tokio::spawn(connect_peer(node.clone(), peer))
        });
        node.counters.add(Count::StoreReads, 1);
        let _ = node
            .platform
            .watch("alive/", range.version, WATCH_TIMEOUT)
            .await;
    }
}

async fn read_range(node: &Node, prefix: &str) -> Option<Range> {
    node.counters.add(Count::StoreReads, 1);
    node.platform.watch(prefix, 0, Duration::ZERO).await.ok()
}

/// Keeps a connection to a peer open. Of two hosts, the one with the higher id
/// connects.
async fn connect_peer(node: Arc<Node>, peer: Announcement) {
    let Ok(address) = peer.peers.parse() else {
        log::warn!(
            "peer {} announces an invalid address: {:?}",
            peer.host,
            peer.peers
        );
        return;
    };
    let identity = node.identity();
    let silence = node.settings.timing.call_timeout;
    let mut misses = 0;
    while misses < MAX_PEER_MISSES {
        misses += 1;
        if node.links.is_connected(peer.host) {
            misses = 0;
        } else if node.me > peer.host {
            let found = dial(address, &identity, silence, &node.links, &node).await;
            if let Some(found) = found {
                misses = 0;
                record_replaced_peer(&node, &peer, found);
            }
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Reports that the process of a peer has ended if another one answers at its
/// address.
fn record_replaced_peer(node: &Node, peer: &Announcement, found: HostId) {
    if found != peer.host {
        node.decide(|core, now| core.ownership.on_dead(peer.host, &peer.zone, now));
    }
}

/// Watches the configuration in the store.
async fn watch_configuration(node: Arc<Node>) {
    let mut after = 0;
    loop {
        node.counters.add(Count::StoreReads, 1);
        let wait = if after == 0 {
            Duration::ZERO
        } else {
            WATCH_TIMEOUT
        };
        let Ok(range) = node.platform.watch(CONFIGURATION_KEY, after, wait).await else {
            after = 0;
            sleep(RETRY_DELAY).await;
            continue;
        };
        after = range.version;
        for entry in &range.entries {
            apply_configuration(&node, entry.value.as_deref());
        }
        if range.entries.is_empty() && wait.is_zero() {
            sleep(RETRY_DELAY).await;
        }
    }
}

/// Watches the requests to evacuate zones in the store. After a failure all of them are
/// read again.
async fn watch_evacuations(node: Arc<Node>) {
    let mut after = 0;
    loop {
        node.counters.add(Count::StoreReads, 1);
        let wait = match after {
            0 => Duration::ZERO,
            _ => WATCH_TIMEOUT,
        };
        let Ok(range) = node.platform.watch(EVACUATIONS_PREFIX, after, wait).await else {
            after = 0;
            sleep(RETRY_DELAY).await;
            continue;
        };
        node.decide(|core, now| core.on_evacuations(&range, after, now));
        after = range.version;
        if after == 0 {
            // Nothing was ever written to the store.
            sleep(RETRY_DELAY).await;
        }
    }
}

fn apply_configuration(node: &Node, text: Option<&str>) {
    let parsed = text.map(serde_json::from_str::<Configuration>);
    match parsed {
        Some(Ok(offered)) => {
            let revision = offered.revision;
            if node.decide(|core, now| core.on_configuration(offered, now)) {
                log::info!("configuration {revision} is in force");
            }
        }
        Some(Err(error)) => log::error!("cannot parse the configuration: {error}"),
        None => {}
    }
}

/// Fetches the configuration of a peer that has a newer one, so that it comes
/// into force even while the store is out of reach.
async fn fetch_newer_configuration(node: Arc<Node>) {
    loop {
        sleep(RETRY_DELAY).await;
        let ahead = node.read(|core, now| core.ownership.newer_peer(core.current.revision(), now));
        let Some(host) = ahead else {
            continue;
        };
        let call_timeout = node.settings.timing.call_timeout;
        let answer = node
            .links
            .call(host, PeerCall::Configuration, call_timeout)
            .await;
        if let Ok(PeerAnswer::Configuration(offered)) = answer {
            node.decide(|core, now| core.on_configuration(*offered, now));
        }
    }
}

/// Polls the host list and starts a task for each worker.
async fn poll_hosts(node: Arc<Node>) {
    loop {
        node.counters.add(Count::StoreReads, 1);
        if let Ok(hosts) = node.platform.hosts().await {
            node.decide(|core, now| core.on_hosts(hosts.hosts, now));
        }
        start_worker_tasks(&node);
        sleep(HOSTS_POLL_INTERVAL).await;
    }
}

/// Starts a task for each worker that has none.
fn start_worker_tasks(node: &Arc<Node>) {
    let keys = node.read(|core, _| core.placement.keys());
    for key in keys {
        let mut wakes = node.worker_wakes.lock().expect("no panic while locked");
        if !wakes.contains_key(key) {
            wakes.insert(key, Arc::default());
            tokio::spawn(sync_worker(node.clone(), key));
        }
    }
}

/// Sends `sync` calls to a worker of an owned shard at intervals, and at once
/// when the core asks for one.
async fn sync_worker(node: Arc<Node>, key: WorkerKey) {
    let wake = worker_wake(&node, key);
    let silence = node.settings.timing.call_timeout;
    while node.read(|core, _| core.placement.get(key).is_some()) {
        let call = node.decide(|core, now| core.sync_call(key, now));
        if let Some(call) = call {
            let max_bytes = node.settings.limits.answer;
            let client = WorkerClient::new(node.http.clone(), &call.address, max_bytes);
            let reply = client.sync(&call.request, silence).await;
            node.decide(|core, now| core.on_sync(key, &call.request, reply, now));
            sleep(SYNC_DELAY).await;
        }
        let delay = node.read(|core, _| core.sync_interval(key));
        let _ = timeout(delay, wake.notified()).await;
    }
    let mut wakes = node.worker_wakes.lock().expect("no panic while locked");
    wakes.remove(key);
}

fn worker_wake(node: &Node, key: WorkerKey) -> Arc<Notify> {
    let wakes = node.worker_wakes.lock().expect("no panic while locked");
    wakes.get(key).cloned().unwrap_or_default()
}
