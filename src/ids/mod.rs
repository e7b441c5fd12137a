//! The identifiers that processes exchange, and the keys of the arenas.

#[cfg(test)]
mod tests;
mod text;

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

new_key_type! {
    /// A worker in the placement arena.
    pub struct WorkerKey;
    /// An interactive request in the dispatch arena.
    pub struct AttemptKey;
    /// A batch task in the ledger's arena.
    pub struct TaskKey;
    /// A job in the ledger's arena.
    pub struct JobKey;
    /// An entry host in the membership arena.
    pub struct PeerKey;
}

/// One run of an entry process. A restarted process has a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HostId(pub u64);

/// One session of an entry process at the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SessionId(pub u64);

/// A fixed set of racks of one availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ShardId(pub u16);

/// Counts the owners of one shard; each claim has a higher one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u32);

/// A job: its home shard and a number that is unique within the shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId {
    /// The shard whose log holds the job.
    pub shard: ShardId,
    /// The hash of the submission's idempotency key.
    pub number: u64,
}

/// A task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The task's place in the job, from 0.
    pub index: u32,
}

/// One attempt at a task. The epoch of the owner that started it makes
/// attempts of successive owners grow without a log write for each start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt {
    /// The epoch of the owner that started the attempt.
    pub epoch: Epoch,
    /// Counts the attempts within the epoch.
    pub count: u32,
}

/// An interactive request at a worker. Never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId {
    /// The entry process that sent it.
    pub host: HostId,
    /// Counts the requests of that process.
    pub number: u64,
}

/// Why an identifier was not understood.
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
        let fault = || ParseIdError::new(text, "a job id such as s3-00000000000000ff");
        let (shard, number) = text.split_once('-').ok_or_else(fault)?;
        let shard = shard.strip_prefix('s').ok_or_else(fault)?;
        Ok(Self {
            shard: ShardId(shard.parse().map_err(|_| fault())?),
            number: u64::from_str_radix(number, 16).map_err(|_| fault())?,
        })
    }
}

impl FromStr for TaskId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let fault = || ParseIdError::new(text, "a task id such as s3-00000000000000ff.0");
        let (job, index) = text.split_once('.').ok_or_else(fault)?;
        Ok(Self {
            job: job.parse()?,
            index: index.parse().map_err(|_| fault())?,
        })
    }
}

impl FromStr for Attempt {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let fault = || ParseIdError::new(text, "an attempt such as 2/7");
        let (epoch, count) = text.split_once('/').ok_or_else(fault)?;
        Ok(Self {
            epoch: Epoch(epoch.parse().map_err(|_| fault())?),
            count: count.parse().map_err(|_| fault())?,
        })
    }
}

impl FromStr for RequestId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let fault = || ParseIdError::new(text, "a request id such as 00000000000000ff-12");
        let (host, number) = text.split_once('-').ok_or_else(fault)?;
        Ok(Self {
            host: HostId(u64::from_str_radix(host, 16).map_err(|_| fault())?),
            number: number.parse().map_err(|_| fault())?,
        })
    }
}

/// A 64-bit FNV-1a hash: the same in every process and every version.
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

/// Spreads the bits of a hash, so that its remainder by a small number is even.
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
