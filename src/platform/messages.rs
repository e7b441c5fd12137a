//! What is asked of the platform and what it answers.

use serde::{Deserialize, Serialize};

use crate::configuration::Size;

/// A lease of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// What a write expects to find under its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// Anything.
    Any,
    /// No value.
    Absent,
    /// A value of this version.
    Version(u64),
}

/// One operation of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreOp {
    /// Reads one key.
    Get {
        /// The key.
        key: String,
    },
    /// Reads all keys that start with a prefix, in their order.
    Range {
        /// The prefix.
        prefix: String,
    },
    /// Writes one key.
    Put {
        /// The key.
        key: String,
        /// The value, JSON.
        value: String,
        /// What must be there.
        expect: Expect,
        /// The lease with which the key ends.
        lease: Option<LeaseId>,
    },
    /// Removes one key.
    Delete {
        /// The key.
        key: String,
    },
    /// Grants a lease.
    Grant {
        /// How long it lasts without renewal, in milliseconds.
        ttl_ms: u64,
    },
    /// Renews a lease.
    Renew {
        /// The lease.
        lease: LeaseId,
    },
    /// Ends a lease and removes its keys.
    Revoke {
        /// The lease.
        lease: LeaseId,
    },
}

impl StoreOp {
    /// Whether the operation counts as a write of the store.
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

/// The store's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreReply {
    /// The value of a key, none if it is absent.
    Value(Option<Entry>),
    /// The values of a range.
    Entries(Vec<Entry>),
    /// The write took effect under this version.
    Written(u64),
    /// The write found something else and changed nothing.
    Conflict,
    /// The lease has ended.
    LeaseGone,
    /// The lease that was granted.
    Granted(LeaseId),
    /// The operation took effect.
    Done,
}

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value, none once it is removed.
    pub value: Option<String>,
    /// Grows with each write to the store.
    pub version: u64,
}

/// The body of a write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutBody {
    /// The value, JSON.
    pub value: String,
    /// What must be there.
    pub expect: Expect,
    /// The lease with which the key ends.
    pub lease: Option<LeaseId>,
}

/// The answer to a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// The version that the write got, or the one that stood in its way.
    pub version: u64,
}

/// The answer to a range or a watch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Range {
    /// The keys; in a watch the changed ones, removed ones without a value.
    pub entries: Vec<Entry>,
    /// The store's version, from which a watch goes on.
    pub version: u64,
}

/// A lease: the body of a grant and its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantBody {
    /// How long the lease lasts without renewal, in milliseconds.
    pub ttl_ms: u64,
    /// The lease, in the answer.
    pub lease: Option<LeaseId>,
}

/// Whether a host may be given work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// It may be given work.
    Live,
    /// It is about to leave and may not be given new work.
    Leaving,
}

/// A worker in the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Its rack.
    pub rack: String,
    /// Its address, an IP number and a port.
    pub address: String,
    /// Whether it may be given work.
    pub state: HostState,
    /// What it holds of batch work.
    pub size: Size,
    /// Interactive requests that run at once.
    pub slots: u32,
    /// Connections for interactive requests.
    pub connections: u32,
}

/// The host list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hosts {
    /// The workers.
    pub hosts: Vec<ListedHost>,
}
