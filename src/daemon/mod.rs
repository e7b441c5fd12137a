//! The entry daemon: the tasks that execute the decisions.
//!
//! Serves the users' platform; the counterpart for lycheelock's own protocol is
//! [`entry`](crate::entry).
//!
//! There is one task per connection. One task watches the operator's
//! configuration, one the settings file, one the owners of the shards, and one
//! probes the store while it is lost. For each shard that this host owns, one task
//! renews the owner lease, one sends heartbeats, one reads new jobs, one reads the
//! worker registry, one places waiting tasks, one waits for the end of the former owner
//! and one writes to the store; each worker has two, one that sends orders and one that polls it.

mod configuration;
mod former;
mod health;
mod heartbeat;
mod incarnation;
mod ingress;
mod intake;
mod lifecycle;
mod lines;
mod node;
mod owned;
mod ownership;
mod probe;
mod restore;
mod term;
#[cfg(test)]
mod tests;
mod withdrawals;
mod worker;
mod writer;

pub use lifecycle::run;
pub use node::Node;
