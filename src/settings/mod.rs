//! Settings files: one INI file for each process. A check reports every fault
//! of a file at once.
//!
//! [`EntrySettings`] and the stand-ins' settings are for lycheelock's own protocol,
//! [`FleetSettings`] for the users' platform.

mod entry;
mod fault;
mod fleet;
pub mod form;
mod overload;
mod source;
mod standin;
#[cfg(test)]
mod tests;

pub use entry::{EntrySettings, Limits, Timing};
pub use fault::Fault;
pub use fleet::FleetSettings;
pub use source::{Section, Source};
pub use standin::{PlatformSettings, WorkerSettings};
