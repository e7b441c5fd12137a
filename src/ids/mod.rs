//! The identifiers that processes exchange, and the keys of the in-memory arenas.

#[cfg(test)]
mod tests;
mod text;

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

new_key_type! {
    /// The key of a worker in the placement arena.
    pub struct WorkerKey;
    /// The key of an interactive request in the dispatch arena.
    pub struct RequestKey;
    /// The key of a batch task in the ledger's arena.
    pub struct TaskKey;
    /// The key of a job in the ledger's arena.
    pub struct JobKey;
}

/// Identifies one run of an entry process; a restarted process has a new id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HostId(pub u64);

/// Identifies one session of an entry process with the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SessionId(pub u64);

/// Identifies a shard: a fixed set of racks of one availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ShardId(pub u16);

/// Numbers the successive owners of a shard; each claim gets a higher epoch.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u32);

/// Identifies a job by its shard and a number that is unique in the shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId {
    /// The shard whose log holds the job.
    pub shard: ShardId,
    /// The hash of the submission's idempotency key, or a random number if it has none.
    /// If tasks move to another shard, the new job's number is derived from the old id.
    pub number: u64,
}

/// Identifies a task by its job and its position in the job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The position of the task in the job, from 0.
    pub index: u32,
}

/// Identifies an attempt among all attempts at a task. Attempts of successive
/// owners increase because the owner's epoch comes first, so that starting an
/// attempt needs no log write.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt {
    /// The epoch of the owner that started the attempt.
    pub epoch: Epoch,
    /// The number of the attempt within the epoch.
    pub count: u32,
}

/// Identifies an interactive request sent to a worker. An id is never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId {
    /// The entry process that sent the request.
    pub host: HostId,
    /// The number of the request within that process.
    pub number: u64,
}

/// The error of parsing an identifier from text.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not {expected}")]
pub struct ParseIdError {
    text: String,
    expected: &'static str,
}

impl ParseIdError {
    fn new(text: &str, expected: &'static str) -> Self {
        Self {
            text: text.to_owned(),
            expected,
        }
    }
}

impl fmt::Display for HostId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Display for SessionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "s{}", self.0)
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:016x}", self.shard, self.number)
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.job, self.index)
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.epoch, self.count)
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.host, self.number)
    }
}

impl FromStr for JobId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let error = || ParseIdError::new(text, "a job id such as s3-00000000000000ff");
        let (shard, number) = text.split_once('-').ok_or_else(error)?;
        let shard = shard.strip_prefix('s').ok_or_else(error)?;
        Ok(Self {
            shard: ShardId(shard.parse().map_err(|_| error())?),
            number: u64::from_str_radix(number, 16).map_err(|_| error())?,
        })
    }
}

impl FromStr for TaskId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let error = || ParseIdError::new(text, "a task id such as s3-00000000000000ff.0");
        let (job, index) = text.split_once('.').ok_or_else(error)?;
        Ok(Self {
            job: job.parse()?,
            index: index.parse().map_err(|_| error())?,
        })
    }
}

impl FromStr for Attempt {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let error = || ParseIdError::new(text, "an attempt such as 2/7");
        let (epoch, count) = text.split_once('/').ok_or_else(error)?;
        Ok(Self {
            epoch: Epoch(epoch.parse().map_err(|_| error())?),
            count: count.parse().map_err(|_| error())?,
        })
    }
}

impl FromStr for RequestId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let error = || ParseIdError::new(text, "a request id such as 00000000000000ff-12");
        let (host, number) = text.split_once('-').ok_or_else(error)?;
        Ok(Self {
            host: HostId(u64::from_str_radix(host, 16).map_err(|_| error())?),
            number: number.parse().map_err(|_| error())?,
        })
    }
}

/// Computes the 64-bit FNV-1a hash, which is the same in every process and version.
///
/// Source: Fowler, Noll, Vo, "The FNV Non-Cryptographic Hash Algorithm".
///
/// ```
/// assert_eq!(lycheelock::ids::stable_hash(b""), 0xcbf2_9ce4_8422_2325);
/// ```
pub fn stable_hash(bytes: &[u8]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    bytes.iter().fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
    })
}

/// Mixes the bits of a hash, so that its remainder by a small number is evenly
/// distributed.
///
/// Source: the finalizer of MurmurHash3 (Austin Appleby).
///
/// ```
/// assert_ne!(lycheelock::ids::mix(1), lycheelock::ids::mix(2));
/// ```
pub fn mix(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
