//! The users' platform: its names, formats and calls. The counterpart for
//! lycheelock's own protocol is the parent module, [`platform`](crate::platform).
//!
//! Each message is decoded once, in this module, into the types of the modules
//! that make decisions. This module makes none, and no other module uses the names
//! of the platform's formats.

mod configuration;
mod connections;
mod decode;
mod evacuation;
mod job;
mod keys;
mod registry;
mod store;
#[cfg(test)]
mod tests;
mod worker;

pub use configuration::read_queues;
pub use decode::DecodeError;
pub use evacuation::read_evacuated_zone;
pub use job::{DEADLINE_HEADER, read_workflow, write_pending, write_state};
pub use keys::{CONFIGURATION_KEY, EVACUATION_PREFIX, OPERATOR_PREFIX, REGISTRY_PREFIX};
pub use registry::read_worker;
pub use store::{Bytes, Change, Commit, Item, Page, Store, StoreFault, Transaction, Watched};
pub use worker::{WorkerApi, WorkerFault};
