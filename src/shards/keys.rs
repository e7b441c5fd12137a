//! The keys of lycheelock's data in the store.

use crate::workflow::WorkflowId;

/// The prefix of the epochs and owner leases of all shards.
pub const SHARD_PREFIX: &str = "shard/";

/// The key of the layout of the shards.
pub const LAYOUT_KEY: &str = "shard/layout";

/// A key under [`SHARD_PREFIX`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShardKey<'a> {
    /// The epoch of the named shard.
    Epoch(&'a str),
    /// The owner lease of the named shard.
    OwnerLease(&'a str),
    /// The last heartbeat of the named shard's owner.
    Heartbeat(&'a str),
    /// The newest incarnation of the named host's process.
    Incarnation(&'a str),
    /// The layout of the shards.
    Layout,
}

/// A key under a shard's [`work_prefix`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobKey {
    /// An accepted job.
    Job(WorkflowId),
    /// The mark that a caller cancelled a job.
    Cancelled(WorkflowId),
    /// The mark of the last claim of the shard.
    Claimed,
}

/// Returns the key of a shard's epoch, which names the owner; its revision is the
/// fencing token.
pub fn epoch_key(shard: &str) -> String {
    format!("{SHARD_PREFIX}{shard}/epoch")
}

/// Returns the leased key that exists while a shard's owner is alive.
pub fn owner_lease_key(shard: &str) -> String {
    format!("{SHARD_PREFIX}{shard}/hint")
}

/// Returns the key that a shard's owner writes with each heartbeat and each claim. Unlike the
/// owner lease it stays when the owner ends, so that a claim can require that this host knows
/// the last heartbeat.
pub fn heartbeat_key(shard: &str) -> String {
    format!("{SHARD_PREFIX}{shard}/heartbeat")
}

/// Returns the key of the newest incarnation of a host's process.
pub fn incarnation_key(host: &str) -> String {
    format!("{SHARD_PREFIX}{host}/life")
}

/// Parses a key under [`SHARD_PREFIX`].
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
    let (name, kind) = key.strip_prefix(SHARD_PREFIX)?.split_once('/')?;
    match kind {
        "epoch" => Some(ShardKey::Epoch(name)),
        "hint" => Some(ShardKey::OwnerLease(name)),
        "heartbeat" => Some(ShardKey::Heartbeat(name)),
        "life" => Some(ShardKey::Incarnation(name)),
        _ => None,
    }
}

/// Returns the key that each write of a shard's owner changes. A write requires the revision
/// of the one before, so that one without an answer cannot take effect after a newer one.
pub fn written_key(shard: &str) -> String {
    format!("written/{shard}")
}

/// Returns the key of a job's record, which holds its shard and its state.
pub fn job_key(id: WorkflowId) -> String {
    format!("job/{id}")
}

/// Returns the prefix of a shard's accepted jobs that have not ended.
pub fn work_prefix(shard: &str) -> String {
    format!("work/{shard}/")
}

/// Returns the key of an accepted job as it was submitted.
pub fn work_key(shard: &str, id: WorkflowId) -> String {
    format!("work/{shard}/{id}")
}

/// Returns the key of the mark that a caller cancelled a job.
pub fn cancel_key(shard: &str, id: WorkflowId) -> String {
    format!("work/{shard}/{id}/cancelled")
}

/// Returns the key of the mark of a shard's last claim. The mark is written with the
/// claim and under the prefix of the jobs, so that a former owner that watches this
/// prefix sees the mark before any job that was accepted after the claim.
pub fn claimed_key(shard: &str) -> String {
    format!("work/{shard}/claimed")
}

/// Whether a change of a key shows that the shard was claimed after the claim
/// with this fencing token. The holder of that token accepts no job from there on.
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

/// Parses a key under a shard's [`work_prefix`].
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

/// Returns the prefix of the progress of a shard's jobs.
pub fn progress_prefix(shard: &str) -> String {
    format!("progress/{shard}/")
}

/// Returns the key of a job's progress.
pub fn progress_key(shard: &str, id: WorkflowId) -> String {
    format!("progress/{shard}/{id}")
}

/// Returns the key of the roster: the workers that a shard's owner may use.
pub fn roster_key(shard: &str) -> String {
    format!("roster/{shard}")
}

/// Returns the key of the mark that no owner before the one that wrote it gives orders any
/// more. It holds for owners whose last claim or release has a revision below the mark's.
pub fn recovered_key(shard: &str) -> String {
    format!("recovered/{shard}")
}

/// Returns the prefix of the evidence of interference, for all shards.
pub const fn pairs_prefix() -> &'static str {
    "pairs/"
}

/// Returns the key of the evidence of interference that a shard's owner has.
pub fn pairs_key(shard: &str) -> String {
    format!("{}{shard}", pairs_prefix())
}

/// Returns the prefix of the counts of jobs that have not started, for all shards.
pub const fn waiting_prefix() -> &'static str {
    "waiting/"
}

/// Returns the key of the counts of jobs that have not started, for one shard.
pub fn waiting_key(shard: &str) -> String {
    format!("{}{shard}", waiting_prefix())
}
