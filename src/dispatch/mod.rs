//! The attempts of interactive requests.
//!
//! A request waits for a slot no longer than its deadline allows, is sent to
//! one worker at a time, and is sent again only if it did not run, or may run
//! twice, and the service's retry budget is not used up.

mod budget;
mod state;
#[cfg(test)]
mod tests;

pub use budget::Budget;
pub use state::{Arrival, Dispatch, End, Ground, Step};
