//! Evacuation of availability zones on the users' platform: which zones get no new runs,
//! and what the log says about them.
//!
//! Decides only; `daemon` reads the requests from the store, and `schedule` asks which
//! workers are in an evacuated zone.

mod requests;
mod shards;
#[cfg(test)]
mod tests;
mod zones;

pub use requests::{Evacuations, Request};
pub use zones::{ZoneChange, ZoneRuns, ZoneStates};
