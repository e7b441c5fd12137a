//! The platform's service: key-value store with leases, and the host list.
//!
//! The operations are plain values, so decisions can ask for them without
//! knowing how they are sent.

mod client;
pub mod fleet;
mod messages;

pub use client::{Platform, StoreFailure};
pub use messages::{
    Entry, Expect, GrantBody, HostState, Hosts, LeaseId, ListedHost, PutBody, Range, StoreOp,
    StoreReply, Version,
};
