//! Decides which entry host owns a shard and so commands its workers.
//!
//! Serves the users' platform; the counterpart for lycheelock's own protocol is
//! `ownership`.
//! A claim is a conditional write of the shard's epoch; the revision of that write
//! is the fencing token that workers compare. A leased key beside it, the owner
//! lease, only indicates that the owner is alive.

mod claim;
mod keys;
mod layout;
mod record;
#[cfg(test)]
mod tests;
mod tokens;
mod views;

pub use claim::{
    Candidate, ClaimDecision, FormerOwner, Heard, Incarnation, Incarnations, MAX_LEASE,
    OWNER_TIMEOUT, Owner, OwnerLease, OwnershipView, recovery_deadline,
};
pub use keys::{
    JobKey, LAYOUT_KEY, SHARD_PREFIX, ShardKey, cancel_key, claimed_key, epoch_key, heartbeat_key,
    incarnation_key, is_later_claim, job_key, owner_lease_key, pairs_key, pairs_prefix,
    progress_key, progress_prefix, read_job_key, read_shard_key, recovered_key, roster_key,
    waiting_key, waiting_prefix, work_key, work_prefix, written_key,
};
pub use layout::Layout;
pub use record::{
    AcceptedJob, JobRecord, NO_FORMER_OWNER, OwnerRecord, RecordError, decode, encode,
};
pub use tokens::Tokens;
pub use views::OwnershipViews;
