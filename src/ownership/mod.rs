//! Which entry host commands which workers.
//!
//! A shard has one owner at a time. Its log in the platform's store says who:
//! the entries are numbered and each is created once, and a claim is itself
//! an entry. An owner acts only while its session lease is unexpired, or while
//! enough entry hosts of its zone promise to support no takeover.
//!
//! [`Ownership`] is the decision: events and the time go in, [`Action`]s come
//! out. No socket, clock or codec is inside.

mod balance;
mod heartbeat;
mod log;
mod machine;
mod messages;
mod opening;
mod pace;
mod promise;
mod session;
mod takeover;
#[cfg(test)]
mod tests;
mod writer;

pub use log::{EntryBody, LogEntry, log_key, log_prefix};
pub use machine::{
    Action, CallId, Gained, HostRevision, Ownership, OwnershipSettings, ShardView, Summary,
};
pub use messages::{Announcement, OwnedShard, PeerMessage};
pub use promise::{Promises, View};
pub use session::SessionRecord;
