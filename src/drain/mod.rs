//! Tracks workers that are leaving, availability zones that are evacuated, and planned
//! stops of this process.
//!
//! The lists of leaving workers and of evacuated zones serve lycheelock's own protocol; on the users'
//! platform each worker's registry entry says that it is draining. The stop signals
//! and the request counter serve both.
//!
//! A host that cannot read the platform's host list learns from its peers which
//! workers are leaving: each heartbeat carries the sender's list and its age, and
//! the newest list counts. The requests to evacuate a zone are in the store; a host that
//! cannot read them learns of them in the same way, and the list that shows the highest
//! version of the store counts.

mod evacuated;
mod leaving;
mod signal;
mod stop;
#[cfg(test)]
mod tests;

pub use evacuated::{
    EVACUATIONS_PREFIX, EvacuatedList, EvacuatedZones, RemainingWork, ZoneState, evacuation_key,
};
pub use leaving::{LeavingList, LeavingWorkers};
pub use signal::wait_for_stop;
pub use stop::{RequestCounter, RequestGuard};
