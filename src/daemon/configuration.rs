//! Follows the operator's configuration.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::Node;
use super::lines::DaemonLine;
use crate::journal;
use crate::platform::fleet::{
    CONFIGURATION_KEY, Change, Item, OPERATOR_PREFIX, Watched, read_queues,
};

/// How long a watch waits for a change.
const WAIT: Duration = Duration::from_secs(2);
/// Between calls while the store does not answer.
const PAUSE: Duration = Duration::from_millis(200);

/// Follows the configuration as long as the process lives.
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
            Err(()) => sleep(PAUSE).await,
        }
    }
}

async fn read(node: &Node) -> Result<Option<u64>, ()> {
    let read = node.call(node.store.range(OPERATOR_PREFIX, false)).await;
    let page = read.map_err(|_| ())?;
    page.items.iter().for_each(|item| take(node, item));
    Ok(Some(page.revision))
}

async fn watch(node: &Node, after: u64) -> Result<Option<u64>, ()> {
    let watched = node.watch(OPERATOR_PREFIX, after, WAIT).await;
    match watched.map_err(|_| ())? {
        Watched::Forgotten => Ok(None),
        Watched::Changes(changes, revision) => {
            for change in &changes {
                if let Change::Written(item) = change {
                    take(node, item);
                }
            }
            Ok(Some(revision))
        }
    }
}

fn take(node: &Node, item: &Item) {
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
