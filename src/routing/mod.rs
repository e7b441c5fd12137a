//! Finds the queue of a request and holds the settings of each queue.
//!
//! Serves the users' platform; it has no counterpart for lycheelock's own protocol.

mod queue;
#[cfg(test)]
mod tests;

pub use queue::{MAX_STRETCH, Queue, QueueMatch, Queues};
