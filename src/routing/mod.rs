//! Which queue a job belongs to, and the terms of each queue.

mod queue;
#[cfg(test)]
mod tests;

pub use queue::{Queue, Queues, Target};
