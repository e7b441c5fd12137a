//! The tasks of an entry daemon: one for each connection and each peer.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Notify, mpsc};
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

use super::node::{MoveCall, Node, StoreCall};
use crate::configuration::{CONFIGURATION_KEY, Configuration};
use crate::counters::Count;
use crate::ids::{HostId, WorkerKey};
use crate::jobs::Wall;
use crate::ownership::Announcement;
use crate::peers::{PeerAnswer, PeerCall, dial};
use crate::platform::Range;
use crate::workers::WorkerClient;

const TICK: Duration = Duration::from_millis(50);
const HOSTS_POLL: Duration = Duration::from_secs(1);
const WATCH_WAIT: Duration = Duration::from_millis(1500);
const RETRY: Duration = Duration::from_millis(300);
/// The shortest time between two calls to a worker.
const SYNC_PAUSE: Duration = Duration::from_millis(20);
/// How long a peer that is neither announced nor connected is dialled.
const FORGET_PEER: u32 = 200;

/// Starts the tasks that live as long as the daemon.
pub(super) fn spawn_all(
    node: &Arc<Node>,
    calls: mpsc::UnboundedReceiver<StoreCall>,
    moves: mpsc::UnboundedReceiver<MoveCall>,
) {
    tokio::spawn(submit_moves(node.clone(), moves));
    tokio::spawn(tick(node.clone()));
    tokio::spawn(call_store(node.clone(), calls));
    tokio::spawn(watch_entries(node.clone()));
    tokio::spawn(watch_configuration(node.clone()));
    tokio::spawn(poll_hosts(node.clone()));
    tokio::spawn(ask_peers(node.clone()));
}

async fn tick(node: Arc<Node>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        node.decide(|core, now| core.tick(now, Wall::now()));
    }
}

/// Sends each call of the store and brings back its answer.
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

/// Submits moved tasks, one submission at a time; those that fail come again.
async fn submit_moves(node: Arc<Node>, mut moves: mpsc::UnboundedReceiver<MoveCall>) {
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
        for MoveCall { from, pending } in waiting {
            node.submit_move(from, pending).await;
        }
    }
}

/// Follows the announcements of entry hosts and starts a task for each peer.
async fn watch_entries(node: Arc<Node>) {
    let mut dialled = HashSet::new();
    loop {
        let Some(range) = read(&node, "alive/").await else {
            sleep(RETRY).await;
            continue;
        };
        let all: Vec<Announcement> = range
            .entries
            .iter()
            .filter_map(|entry| serde_json::from_str(entry.value.as_deref()?).ok())
            .collect();
        node.decide(|core, now| core.on_announced(&all, now));
        for each in all {
            if each.host != node.me && dialled.insert(each.host) {
                tokio::spawn(follow_peer(node.clone(), each));
            }
        }
        node.counters.add(Count::StoreReads, 1);
        let _ = node
            .platform
            .watch("alive/", range.version, WATCH_WAIT)
            .await;
    }
}

async fn read(node: &Node, prefix: &str) -> Option<Range> {
    node.counters.add(Count::StoreReads, 1);
    node.platform.watch(prefix, 0, Duration::ZERO).await.ok()
}

/// Keeps a connection to a peer. Of two hosts the one with the higher id dials.
async fn follow_peer(node: Arc<Node>, peer: Announcement) {
    let Ok(address) = peer.peers.parse() else {
        log::warn!(
            "peer {} announces {:?}, which is no address",
            peer.host,
            peer.peers
        );
        return;
    };
    let identity = node.identity();
    let silence = node.settings.timing.call_timeout;
    let mut misses = 0;
    while misses < FORGET_PEER {
        misses += 1;
        if node.links.is_connected(peer.host) {
            misses = 0;
        } else if node.me > peer.host {
            let found = dial(address, &identity, silence, &node.links, &node).await;
            if let Some(found) = found {
                misses = 0;
                note_replaced(&node, &peer, found);
            }
        }
        sleep(RETRY).await;
    }
}

/// Another process at a peer's address proves that the peer has ended.
fn note_replaced(node: &Node, peer: &Announcement, found: HostId) {
    if found != peer.host {
        node.decide(|core, now| core.ownership.on_dead(peer.host, &peer.zone, now));
    }
}

/// Follows the configuration in the store.
async fn watch_configuration(node: Arc<Node>) {
    let mut after = 0;
    loop {
        node.counters.add(Count::StoreReads, 1);
        let wait = if after == 0 {
            Duration::ZERO
        } else {
            WATCH_WAIT
        };
        let Ok(range) = node.platform.watch(CONFIGURATION_KEY, after, wait).await else {
            after = 0;
            sleep(RETRY).await;
            continue;
        };
        after = range.version;
        for entry in &range.entries {
            take_configuration(&node, entry.value.as_deref());
        }
        if range.entries.is_empty() && wait.is_zero() {
            sleep(RETRY).await;
        }
    }
}

fn take_configuration(node: &Node, text: Option<&str>) {
    let parsed = text.map(serde_json::from_str::<Configuration>);
    match parsed {
        Some(Ok(offered)) => {
            let revision = offered.revision;
            if node.decide(|core, now| core.on_configuration(offered, now)) {
                log::info!("configuration {revision} is in force");
            }
        }
        Some(Err(error)) => log::error!("the configuration is not understood: {error}"),
        None => {}
    }
}

/// Asks a peer for its configuration when it is ahead, so that it comes into
/// force also while the store is out of reach.
async fn ask_peers(node: Arc<Node>) {
    loop {
        sleep(RETRY).await;
        let ahead = node.look(|core, now| core.ownership.ahead(core.current.revision(), now));
        let Some(host) = ahead else {
            continue;
        };
        let patience = node.settings.timing.call_timeout;
        let answer = node
            .links
            .call(host, PeerCall::Configuration, patience)
            .await;
        if let Ok(PeerAnswer::Configuration(offered)) = answer {
            node.decide(|core, now| core.on_configuration(*offered, now));
        }
    }
}

/// Follows the host list and starts a task for each worker.
async fn poll_hosts(node: Arc<Node>) {
    loop {
        node.counters.add(Count::StoreReads, 1);
        if let Ok(hosts) = node.platform.hosts().await {
            node.decide(|core, now| core.on_hosts(hosts.hosts, now));
        }
        follow_workers(&node);
        sleep(HOSTS_POLL).await;
    }
}

/// Starts a task for each worker that has none.
fn follow_workers(node: &Arc<Node>) {
    let keys = node.look(|core, _| core.placement.keys());
    for key in keys {
        let mut wakes = node.worker_wakes.lock().expect("no panic while locked");
        if !wakes.contains_key(key) {
            wakes.insert(key, Arc::default());
            tokio::spawn(follow_worker(node.clone(), key));
        }
    }
}

/// Calls a worker of an owned shard at intervals, and at once when there is
/// something to tell it.
async fn follow_worker(node: Arc<Node>, key: WorkerKey) {
    let wake = worker_wake(&node, key);
    let silence = node.settings.timing.call_timeout;
    while node.look(|core, _| core.placement.get(key).is_some()) {
        let call = node.decide(|core, now| core.sync_call(key, now));
        if let Some(call) = call {
            let limit = node.settings.limits.answer;
            let client = WorkerClient::new(node.http.clone(), &call.address, limit);
            let reply = client.sync(&call.request, silence).await;
            node.decide(|core, now| core.on_sync(key, &call.request, reply, now));
            sleep(SYNC_PAUSE).await;
        }
        let gap = node.look(|core, _| core.sync_gap(key));
        let _ = timeout(gap, wake.notified()).await;
    }
    let mut wakes = node.worker_wakes.lock().expect("no panic while locked");
    wakes.remove(key);
}

fn worker_wake(node: &Node, key: WorkerKey) -> Arc<Notify> {
    let wakes = node.worker_wakes.lock().expect("no panic while locked");
    wakes.get(key).cloned().unwrap_or_default()
}
