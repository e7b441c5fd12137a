//! Decides which entry host owns which shard of the workers.
//!
//! Serves lycheelock's own protocol between entry hosts; the counterpart for the
//! users' platform is `shards`.
//!
//! A shard has at most one owner at a time, recorded in the shard's log in the
//! platform's store: entries are numbered, each number can be created only
//! once, and a claim is itself an entry. An owner acts only while its session
//! lease is unexpired, or while enough entry hosts of its zone promise not to
//! support a takeover.
//!
//! [`Ownership`] is a state machine: events and the current time go in,
//! [`Action`]s come out. It contains no sockets, clocks or codecs.

mod balance;
mod claim;
mod heartbeat;
mod log;
mod machine;
mod messages;
mod opening;
mod peers;
mod promise;
mod rate_limiter;
mod session;
mod takeover;
#[cfg(test)]
mod tests;
mod writer;

pub use log::{EntryBody, LogEntry, log_key, log_prefix};
pub use machine::{
    Action, CallId, GainedShard, HostSummary, Ownership, OwnershipSettings, ShardStatus,
};
pub use messages::{Announcement, OwnedShard, PeerMessage};
pub use peers::HostRevision;
pub use promise::{Promises, View};
pub use session::SessionRecord;
