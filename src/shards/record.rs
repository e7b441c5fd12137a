//! The values that lycheelock keeps in the store, as CBOR.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::routing::Queue;
use crate::workflow::{Workflow, WorkflowState};

/// A value that is not what its key says.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the value cannot be decoded: {0}")]
pub struct RecordError(String);

/// Who holds a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// The name of the entry host.
    pub host: String,
    /// Tells one life of its process from the next.
    pub life: u64,
    /// Whether it gave the shard up.
    pub released: bool,
    /// This life gives no orders under this fencing token or a lower one any more.
    pub resigned: u64,
    /// What the host may use of its processor, in thousandths of a core.
    pub millicores: u32,
}

/// The record of a job that callers are answered from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The shard that carries it out.
    pub shard: String,
    /// Its queue.
    pub queue: String,
    /// Where it stands.
    pub state: WorkflowState,
}

/// An accepted job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// The terms of its queue when it was accepted.
    pub queue: Queue,
    /// What the caller asked for.
    pub workflow: Workflow,
    /// The time of day when it was accepted, in Unix milliseconds.
    pub accepted_at: u64,
}

/// Encodes a value.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("plain values have a CBOR form");
    bytes
}

/// Decodes a value.
///
/// # Errors
///
/// Fails when another writer left something else there.
///
/// ```
/// use lycheelock::shards::{OwnerRecord, decode, encode};
///
/// let owner = OwnerRecord {
///     host: "a1".to_owned(),
///     life: 3,
///     released: false,
///     resigned: 0,
///     millicores: 100,
/// };
/// assert_eq!(decode::<OwnerRecord>(&encode(&owner)).unwrap(), owner);
/// assert!(decode::<OwnerRecord>(b"?").is_err());
/// ```
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, RecordError> {
    ciborium::from_reader(bytes).map_err(|error| RecordError(error.to_string()))
}
