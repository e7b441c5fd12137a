//! Watches the operator's configuration in the store and applies new versions.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::Node;
use super::lines::DaemonLine;
use crate::journal;
use crate::platform::fleet::{
    CONFIGURATION_KEY, Change, Item, OPERATOR_PREFIX, Watched, read_queues,
};

/// The delay before a failed read or watch is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Keeps the configuration up to date for the lifetime of the process.
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
            Err(()) => sleep(RETRY_DELAY).await,
        }
    }
}

async fn read(node: &Node) -> Result<Option<u64>, ()> {
    let read = node.call(node.store.range(OPERATOR_PREFIX, false)).await;
    let page = read.map_err(|_| ())?;
    page.items.iter().for_each(|item| apply(node, item));
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
            }
            Ok(Some(revision))
        }
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
