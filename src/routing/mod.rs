//! Finds the queue of a request and holds the terms of each queue, for the users'
//! platform.

mod queue;
#[cfg(test)]
mod tests;

pub use queue::{Queue, QueueMatch, Queues};
