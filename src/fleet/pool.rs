//! What the owner of a shard tells the other hosts of its workers.

use serde::{Deserialize, Serialize};

/// The workers of one pool in a shard, as the shard's owner sees them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolLoad {
    /// The name of the pool.
    pub pool: String,
    /// The number of workers that accept new tasks.
    pub open: u32,
    /// The idle processors of these workers, in percent of all that they have.
    pub idle: u8,
}
