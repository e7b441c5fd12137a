//! The keys that lycheelock keeps in the store.

use crate::workflow::WorkflowId;

/// The epochs and hints of all shards.
pub const SHARD_PREFIX: &str = "shard/";

/// How the workers are divided into shards.
pub const LAYOUT_KEY: &str = "shard/layout";

/// A key under [`SHARD_PREFIX`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShardKey<'a> {
    /// The shard's epoch.
    Epoch(&'a str),
    /// The hint that the shard's owner lives.
    Hint(&'a str),
    /// The newest life of a host's process.
    Life(&'a str),
    /// The layout of the shards.
    Layout,
}

/// A key of the work of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobKey {
    /// An accepted job.
    Job(WorkflowId),
    /// The mark that a caller cancelled it.
    Cancelled(WorkflowId),
    /// The mark of the last claim of the shard.
    Claimed,
}

/// Who owns the shard; its revision is the fencing token.
pub fn epoch_key(shard: &str) -> String {
    format!("{SHARD_PREFIX}{shard}/epoch")
}

/// A leased key: the owner lives.
pub fn hint_key(shard: &str) -> String {
    format!("{SHARD_PREFIX}{shard}/hint")
}

/// The newest life of a host's process.
pub fn life_key(host: &str) -> String {
    format!("{SHARD_PREFIX}{host}/life")
}

/// Reads a key under [`SHARD_PREFIX`].
///
/// ```
/// use lycheelock::shards::{ShardKey, read_shard_key};
///
/// assert_eq!(read_shard_key("shard/gt-a/epoch"), Some(ShardKey::Epoch("gt-a")));
/// assert_eq!(read_shard_key("job/1"), None);
/// ```
pub fn read_shard_key(key: &str) -> Option<ShardKey<'_>> {
    if key == LAYOUT_KEY {
        return Some(ShardKey::Layout);
    }
    let (shard, kind) = key.strip_prefix(SHARD_PREFIX)?.split_once('/')?;
    match kind {
        "epoch" => Some(ShardKey::Epoch(shard)),
        "hint" => Some(ShardKey::Hint(shard)),
        "life" => Some(ShardKey::Life(shard)),
        _ => None,
    }
}

/// The record of a job: its shard and its state.
pub fn job_key(id: WorkflowId) -> String {
    format!("job/{id}")
}

/// The accepted jobs of a shard that have not ended.
pub fn work_prefix(shard: &str) -> String {
    format!("work/{shard}/")
}

/// An accepted job, as it was submitted.
pub fn work_key(shard: &str, id: WorkflowId) -> String {
    format!("work/{shard}/{id}")
}

/// The mark that a caller cancelled a job.
pub fn cancel_key(shard: &str, id: WorkflowId) -> String {
    format!("work/{shard}/{id}/cancelled")
}

/// The mark of the last claim of a shard. It is written with the claim and lies
/// among the jobs, so that a former owner that follows them meets it before any
/// job that was accepted after the claim.
pub fn claimed_key(shard: &str) -> String {
    format!("work/{shard}/claimed")
}

/// Whether a change of a key shows that the shard was claimed after the claim
/// with this fencing token. Whoever holds that token takes in no job from there on.
///
/// ```
/// use lycheelock::shards::{claimed_key, is_later_claim, work_key};
/// use lycheelock::workflow::WorkflowId;
///
/// let (mark, job) = (claimed_key("gt-a"), work_key("gt-a", WorkflowId(7)));
/// assert!(is_later_claim("gt-a", &mark, 31, 30));
/// assert!(!is_later_claim("gt-a", &mark, 30, 30));
/// assert!(!is_later_claim("gt-a", &job, 31, 30));
/// ```
pub fn is_later_claim(shard: &str, key: &str, revision: u64, fence: u64) -> bool {
    revision > fence && read_job_key(shard, key) == Some(JobKey::Claimed)
}

/// Reads a key under a shard's [`work_prefix`].
///
/// ```
/// use lycheelock::shards::{JobKey, cancel_key, read_job_key};
/// use lycheelock::workflow::WorkflowId;
///
/// let key = cancel_key("gt-a", WorkflowId(7));
/// assert_eq!(read_job_key("gt-a", &key), Some(JobKey::Cancelled(WorkflowId(7))));
/// ```
pub fn read_job_key(shard: &str, key: &str) -> Option<JobKey> {
    let rest = key
        .strip_prefix("work/")?
        .strip_prefix(shard)?
        .strip_prefix('/')?;
    match rest.split_once('/') {
        None if rest == "claimed" => Some(JobKey::Claimed),
        None => rest.parse().ok().map(JobKey::Job),
        Some((id, "cancelled")) => id.parse().ok().map(JobKey::Cancelled),
        Some(_) => None,
    }
}

/// The progress of a shard's jobs.
pub fn progress_prefix(shard: &str) -> String {
    format!("progress/{shard}/")
}

/// The progress of a job.
pub fn progress_key(shard: &str, id: WorkflowId) -> String {
    format!("progress/{shard}/{id}")
}

/// The workers that a shard's owner may use.
pub fn roster_key(shard: &str) -> String {
    format!("roster/{shard}")
}

/// What a shard's owner knows of interference.
pub fn pairs_key(shard: &str) -> String {
    format!("pairs/{shard}")
}

/// The counts of jobs that have not started, of all shards.
pub const fn waiting_prefix() -> &'static str {
    "waiting/"
}

/// The counts of jobs that have not started, of one shard.
pub fn waiting_key(shard: &str) -> String {
    format!("{}{shard}", waiting_prefix())
}
