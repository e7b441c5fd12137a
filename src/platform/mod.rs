//! The platform's service: a key-value store with leases, and the host list.
//!
//! Serves lycheelock's own protocol; the counterpart for the users' platform is
//! [`fleet`]. The operations are plain values, so modules that make decisions can
//! request them without any knowledge of the transport.

mod client;
pub mod fleet;
mod messages;

pub use client::{Platform, StoreFailure};
pub use messages::{
    Entry, Expect, GrantBody, HostState, Hosts, LeaseId, ListedHost, PutBody, Range, StoreOp,
    StoreReply, Version,
};
