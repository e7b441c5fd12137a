//! The entry daemon on the users' platform: the tasks that carry decisions out.
//!
//! A task for each connection: one takes the operator's configuration, one
//! follows the shards' owners; an owner has one for its hint, one for new jobs,
//! one for the registry, one for its writes, and two for each worker, one for
//! orders and one for looks.

mod configuration;
mod health;
mod ingress;
mod intake;
mod lifecycle;
mod lines;
mod node;
mod ownership;
mod probe;
mod restore;
mod term;
mod worker;
mod writer;

pub use lifecycle::run;
pub use node::Node;
