//! Writes the record of this incarnation of the host to the store.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::Node;
use crate::platform::fleet::{Commit, StoreFault, Transaction};
use crate::shards::{OwnerRecord, decode, encode, incarnation_key};

/// The delay before a failed call to the store is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Announces this incarnation, which tells the other hosts that earlier ones have
/// ended.
pub(super) async fn announce_incarnation(node: Arc<Node>) {
    let record = node.owner_record(false);
    while write_incarnation(&node, &record).await.is_err() {
        sleep(RETRY_DELAY).await;
    }
}

/// Writes the record of this incarnation. A newer incarnation of this host is not replaced
/// by a resignation, as it shows as much.
pub(super) async fn write_incarnation(node: &Node, record: &OwnerRecord) -> Result<(), StoreFault> {
    let mut revision = 0;
    loop {
        let transaction = incarnation_transaction(record, revision);
        let Commit::Conflict(items) = node.call(node.store.commit(&transaction)).await? else {
            return Ok(());
        };
        let key = incarnation_key(&record.host);
        let found = items.iter().find(|item| item.key == key);
        revision = found.map_or(0, |item| item.revision);
        let stored = found.and_then(|item| decode::<OwnerRecord>(&item.value.0).ok());
        let other = stored.is_some_and(|stored| stored.incarnation != record.incarnation);
        if other && record.resigned > 0 {
            return Ok(());
        }
    }
}

/// Builds the transaction for the record of an incarnation. It requires the revision of the
/// record that it replaces: without an answer it may take effect seconds later, when a newer
/// incarnation has written its own.
pub(super) fn incarnation_transaction(record: &OwnerRecord, revision: u64) -> Transaction {
    let key = incarnation_key(&record.host);
    Transaction::default()
        .require(&key, revision)
        .set(&key, encode(record))
}
