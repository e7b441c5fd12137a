//! Which entry host commands the workers of an availability zone.
//!
//! A claim is a conditional write of the shard's epoch; its revision is the
//! fencing token that workers compare. A leased key beside it only hints that
//! the owner lives.

mod claim;
mod keys;
mod layout;
mod record;
#[cfg(test)]
mod tests;
mod views;

pub use claim::{
    Candidate, Former, GIVES_UP, Hint, LONGEST_LEASE, Life, Lives, Owner, Step, View, settles,
};
pub use keys::{
    JobKey, LAYOUT_KEY, SHARD_PREFIX, ShardKey, cancel_key, claimed_key, epoch_key, hint_key,
    is_later_claim, job_key, life_key, pairs_key, progress_key, progress_prefix, read_job_key,
    read_shard_key, roster_key, waiting_key, waiting_prefix, work_key, work_prefix,
};
pub use layout::Layout;
pub use record::{Accepted, JobRecord, OwnerRecord, RecordError, decode, encode};
pub use views::Views;
