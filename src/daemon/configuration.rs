//! Watches what the operator writes to the store: the configuration and the requests to
//! evacuate zones.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::Node;
use super::lines::DaemonLine;
use crate::journal;
use crate::moment::Moment;
use crate::platform::fleet::{
    CONFIGURATION_KEY, Change, Item, OPERATOR_PREFIX, Page, Watched, read_evacuated_zone,
    read_queues,
};

/// The delay before a failed read or watch is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Keeps the configuration and the requests up to date for the lifetime of the process.
pub(super) async fn follow(node: Arc<Node>) {
    let mut revision = None;
    loop {
        let next = match revision {
            None => read(&node).await,
            Some(after) => tokio::select! {
                next = watch(&node, after) => next,
                () = node.health.wait_regained() => Ok(None),
            },
        };
        match next {
            Ok(next) => revision = next,
            // The next watch may fail as well while reads are answered.
            Err(()) => {
                revision = None;
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn read(node: &Node) -> Result<Option<u64>, ()> {
    let read = node.call(node.store.range(OPERATOR_PREFIX, false)).await;
    let page = read.map_err(|_| ())?;
    page.items.iter().for_each(|item| apply(node, item));
    let keys = page.items.iter().map(|item| item.key.as_str());
    keys.for_each(log_invalid);
    restore_evacuations(node, &page);
    Ok(Some(page.revision))
}

async fn watch(node: &Node, after: u64) -> Result<Option<u64>, ()> {
    let watched = node.watch(OPERATOR_PREFIX, after).await;
    match watched.map_err(|_| ())? {
        Watched::Compacted => Ok(None),
        Watched::Changes(changes, revision) => {
            for change in &changes {
                if let Change::Written(item) = change {
                    apply(node, item);
                }
                apply_evacuation(node, change);
            }
            Ok(Some(revision))
        }
    }
}

/// Applies a request to evacuate a zone, or its withdrawal. The value of the key has no meaning.
pub(super) fn apply_evacuation(node: &Node, change: &Change) {
    log_invalid(change.key());
    let Some(Ok(zone)) = read_evacuated_zone(change.key()) else {
        return;
    };
    node.evacuations().send_if_modified(|known| match change {
        Change::Written(item) => {
            let begins = known.request(zone, item.revision, Moment::now());
            if begins {
                log_unknown(node, zone, item.revision);
            }
            begins
        }
        Change::Removed { revision, .. } => known.withdraw(zone, *revision),
    });
}

/// Replaces the requests to evacuate zones by those that a page with all of them lists.
pub(super) fn restore_evacuations(node: &Node, page: &Page) {
    let listed = page.items.iter().filter_map(|item| {
        let zone = read_evacuated_zone(&item.key)?.ok()?;
        Some((zone, item.revision))
    });
    let listed: Vec<(&str, u64)> = listed.collect();
    node.evacuations().send_if_modified(|known| {
        let new = listed.iter().filter(|(zone, _)| !known.is_evacuated(zone));
        let new: Vec<_> = new.collect();
        let changed = known.restore(&listed, page.revision, Moment::now());
        let begun = new.into_iter().filter(|(zone, _)| known.is_evacuated(zone));
        begun.for_each(|(zone, revision)| log_unknown(node, zone, *revision));
        changed
    });
}

/// Logs the key of a request that names no valid zone.
fn log_invalid(key: &str) {
    if let Some(Err(error)) = read_evacuated_zone(key) {
        let reason = error.to_string();
        journal::line(&DaemonLine::ValueIgnored { key, reason });
    }
}

/// Logs a request for a zone that the settings do not list. It affects only workers that are
/// registered in a zone of that name.
fn log_unknown(node: &Node, zone: &str, revision: u64) {
    if !node.settings.zones.iter().any(|known| known == zone) {
        journal::line(&DaemonLine::ZoneUnknown { zone, revision });
    }
}

fn apply(node: &Node, item: &Item) {
    if item.key != CONFIGURATION_KEY {
        return;
    }
    match read_queues(&item.value.0) {
        Ok(queues) => {
            let (version, count) = (queues.version, queues.list.len());
            if node.configure(queues) {
                journal::line(&DaemonLine::ConfigurationChanged {
                    version,
                    revision: item.revision,
                    queues: count,
                });
            }
        }
        Err(error) => journal::line(&DaemonLine::ValueIgnored {
            key: &item.key,
            reason: error.to_string(),
        }),
    }
}
