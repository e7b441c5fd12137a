//! Tracks workers that are leaving, and planned stops of this process.
//!
//! A host that cannot read the platform's host list learns from its peers which
//! workers are leaving: each heartbeat carries the sender's list and its age, and
//! the newest list counts.

mod leaving;
mod signal;
mod stop;
#[cfg(test)]
mod tests;

pub use leaving::{Drain, LeavingList};
pub use signal::wait_for_stop;
pub(crate) use stop::CountedBody;
pub use stop::{RequestCounter, RequestGuard};
