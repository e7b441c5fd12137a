//! The requests to the platform and its answers.

use serde::{Deserialize, Serialize};

use crate::configuration::Size;

/// The id of a lease of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// The condition of a write on the current value of its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// The write has no condition.
    Any,
    /// The key must not exist.
    Absent,
    /// The value must have this version.
    Version(u64),
}

/// An operation of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreOp {
    /// Reads one key.
    Get {
        /// The key to read.
        key: String,
    },
    /// Reads all keys that start with a prefix, in key order.
    Range {
        /// The prefix that the keys start with.
        prefix: String,
    },
    /// Writes one key.
    Put {
        /// The key to write.
        key: String,
        /// The value to write, as JSON text.
        value: String,
        /// The condition on the current value.
        expect: Expect,
        /// The lease at whose end the key is removed; absent for a permanent key.
        lease: Option<LeaseId>,
    },
    /// Removes one key.
    Delete {
        /// The key to remove.
        key: String,
    },
    /// Grants a lease.
    Grant {
        /// How long the lease lasts without renewal, in milliseconds.
        ttl_ms: u64,
    },
    /// Renews a lease.
    Renew {
        /// The lease to renew.
        lease: LeaseId,
    },
    /// Ends a lease and removes its keys.
    Revoke {
        /// The lease to end.
        lease: LeaseId,
    },
}

impl StoreOp {
    /// Returns true if the operation counts as a write to the store.
    pub const fn writes(&self) -> bool {
        match self {
            Self::Get { .. } | Self::Range { .. } => false,
            Self::Put { .. }
            | Self::Delete { .. }
            | Self::Grant { .. }
            | Self::Renew { .. }
            | Self::Revoke { .. } => true,
        }
    }
}

/// The store's answer to an operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreReply {
    /// The entry of the key; absent if the key does not exist.
    Value(Option<Entry>),
    /// The entries of a range.
    Entries(Vec<Entry>),
    /// The write took effect and got this version.
    Written(u64),
    /// The condition of the write did not hold; nothing was changed.
    Conflict,
    /// The lease has ended.
    LeaseGone,
    /// The lease was granted under this id.
    Granted(LeaseId),
    /// The operation took effect.
    Done,
}

/// A key-value pair of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The full key, with its prefix.
    pub key: String,
    /// The value, as JSON text; absent if the key was removed.
    pub value: Option<String>,
    /// The version of the last change; it grows with each write to the store.
    pub version: u64,
}

/// The body of a write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutBody {
    /// The value to write, as JSON text.
    pub value: String,
    /// The condition on the current value.
    pub expect: Expect,
    /// The lease at whose end the key is removed; absent for a permanent key.
    pub lease: Option<LeaseId>,
}

/// The answer to a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// The version that the write got, or the current one if the condition did not
    /// hold.
    pub version: u64,
}

/// The answer to a range or a watch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Range {
    /// All entries of a range, or the changed entries of a watch, in which removed
    /// keys have no value.
    pub entries: Vec<Entry>,
    /// The version of the store, from which the next watch continues.
    pub version: u64,
}

/// The body of the request for a lease, and of the answer to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantBody {
    /// How long the lease lasts without renewal, in milliseconds.
    pub ttl_ms: u64,
    /// The id of the granted lease; absent in the request.
    pub lease: Option<LeaseId>,
}

/// Whether a worker in the host list may receive new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The worker may receive new work.
    Live,
    /// The worker is about to leave and may not receive new work.
    Leaving,
}

/// A worker in the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// The name of the worker.
    pub name: String,
    /// The availability zone of the worker.
    pub zone: String,
    /// The rack of the worker.
    pub rack: String,
    /// The address of the worker: an IP address and a port.
    pub address: String,
    /// Whether the worker may receive new work.
    pub state: HostState,
    /// The capacity for batch work.
    pub size: Size,
    /// The number of interactive requests that the worker runs concurrently.
    pub slots: u32,
    /// The number of connections for interactive requests.
    pub connections: u32,
}

/// The host list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hosts {
    /// The workers in the list.
    pub hosts: Vec<ListedHost>,
}
