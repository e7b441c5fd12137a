//! The values of lycheelock's data in the store, encoded as CBOR.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::fleet::PoolLoad;
use crate::routing::Queue;
use crate::workflow::{MovedJob, Workflow, WorkflowState};

/// A stored value that does not have the type that its key implies.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the value cannot be decoded: {0}")]
pub struct RecordError(String);

/// The stored value of a shard's epoch and owner lease, and of a host's incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// The name of the entry host.
    pub host: String,
    /// The incarnation of the host's process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Whether the owner released the shard.
    pub released: bool,
    /// The highest fencing token under which this incarnation gives no more orders; this
    /// includes all lower tokens.
    pub resigned: u64,
    /// The processor time that the host may use, in thousandths of a core.
    pub millicores: u32,
    /// How long before this record was written the host knew of the last heartbeat of the owners
    /// before it, in milliseconds; 0 if that is unknown, [`NO_FORMER_OWNER`] if there was none.
    #[serde(default)]
    pub former_age: u64,
    /// In a heartbeat, the load of the shard's pools; empty if the shard has all workers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub pools: Vec<PoolLoad>,
}

/// Stands for the age of the last heartbeat of a former owner, in milliseconds, if there was none.
pub const NO_FORMER_OWNER: u64 = u64::MAX;

/// The record of a job from which callers are answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The name of the shard that runs the job.
    pub shard: String,
    /// The name of the job's queue.
    pub queue: String,
    /// The state of the job.
    pub state: WorkflowState,
    /// How often the job was moved to another shard.
    #[serde(default)]
    pub moves: u32,
}

impl JobRecord {
    /// Returns the mark of a job that was cancelled before it was accepted. It stands in place of
    /// the job's record, so that a submission that takes effect late finds it.
    ///
    /// ```
    /// use lycheelock::shards::JobRecord;
    ///
    /// assert!(JobRecord::withdrawn().is_withdrawn());
    /// ```
    pub const fn withdrawn() -> Self {
        Self {
            shard: String::new(),
            queue: String::new(),
            state: WorkflowState::Cancelled,
            moves: 0,
        }
    }

    /// Whether the record marks a job that was cancelled before it was accepted.
    pub const fn is_withdrawn(&self) -> bool {
        self.shard.is_empty()
    }
}

/// An accepted job as it is stored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AcceptedJob {
    /// The job's queue with its settings at the time of acceptance.
    pub queue: Queue,
    /// The job as the caller submitted it.
    pub workflow: Workflow,
    /// The Unix time at which the job was accepted, in milliseconds.
    pub accepted_at: u64,
    /// What the job had achieved in another shard before it was moved to this one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub moved: Option<MovedJob>,
}

impl AcceptedJob {
    /// Checks that the job can be run at all: an older version may have accepted one that this
    /// version refuses, and another program may have changed the value.
    ///
    /// # Errors
    ///
    /// Fails with a sentence that names the field and the value.
    ///
    /// ```
    /// use lycheelock::routing::Queue;
    /// use lycheelock::shards::AcceptedJob;
    /// use lycheelock::workflow::Workflow;
    ///
    /// let (queue, workflow) = (Queue::default(), Workflow::default());
    /// let empty = AcceptedJob { queue, workflow, accepted_at: 0, moved: None };
    /// assert_eq!(empty.check().unwrap_err(), "the job has no steps");
    /// ```
    pub fn check(&self) -> Result<(), String> {
        self.queue.check()?;
        self.workflow.check()
    }
}

/// Encodes a value as CBOR.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("plain values have a CBOR form");
    bytes
}

/// Decodes a value from CBOR.
///
/// # Errors
///
/// Fails when the bytes are not the CBOR form of a `T`.
///
/// ```
/// use lycheelock::shards::{OwnerRecord, decode, encode};
///
/// let owner = OwnerRecord {
///     host: "a1".to_owned(),
///     incarnation: 3,
///     released: false,
///     resigned: 0,
///     millicores: 100,
///     former_age: 0,
///     pools: Vec::new(),
/// };
/// assert_eq!(decode::<OwnerRecord>(&encode(&owner)).unwrap(), owner);
/// assert!(decode::<OwnerRecord>(b"?").is_err());
/// ```
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, RecordError> {
    ciborium::from_reader(bytes).map_err(|error| RecordError(error.to_string()))
}
