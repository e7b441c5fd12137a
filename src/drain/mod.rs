//! Leaving workers and planned stops.
//!
//! A host that cannot read the platform's host list learns from its peers
//! which workers leave: each heartbeat says how old the sender's reading is,
//! and the freshest reading counts.

mod leaving;
mod signal;
mod stop;
#[cfg(test)]
mod tests;

pub use leaving::{Drain, LeavingList};
pub use signal::wait_for_stop;
pub(crate) use stop::CountedBody;
pub use stop::{InProgress, Progress};
