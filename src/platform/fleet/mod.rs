//! The users' platform: its names, formats and calls.
//!
//! Each message is decoded once, here, into the types of the slices that
//! decide. Nothing in this folder makes a decision, and no other folder knows
//! these names.

mod configuration;
mod job;
mod keys;
mod registry;
mod store;
mod worker;

pub use configuration::read_queues;
pub use job::{DEADLINE_HEADER, read_workflow, write_pending, write_state};
pub use keys::{CONFIGURATION_KEY, OPERATOR_PREFIX, REGISTRY_PREFIX};
pub use registry::read_worker;
pub use store::{Change, Commit, Item, Page, Store, StoreFault, Transaction, Watched};
pub use worker::{WorkerApi, WorkerFault};
