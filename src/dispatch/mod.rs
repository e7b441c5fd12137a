//! Dispatches interactive requests of lycheelock's own protocol to workers, with
//! retries. It has no counterpart for the users' platform.
//!
//! A request waits for a slot no longer than its deadline allows and is sent to
//! one worker at a time. It is sent again only if the previous attempt did not run
//! or the request may run twice, and only while the service's retry budget lasts.

mod budget;
mod state;
#[cfg(test)]
mod tests;

pub use budget::RetryBudget;
pub use state::{Arrival, AttemptFailure, Candidates, Dispatch, Step};
