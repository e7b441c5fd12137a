//! Admits interactive requests of lycheelock's own protocol: checks their service,
//! team, deadline and quota. It has no counterpart for the users' platform.

mod call;
mod quota;
#[cfg(test)]
mod tests;

pub use call::{Admitted, CallHeaders, admit};
pub use quota::Quotas;

/// The header with the name of the team that sends a request.
pub const TEAM_HEADER: &str = "lycheelock-team";
/// The header with the time that the caller waits for an answer, in milliseconds.
pub const DEADLINE_HEADER: &str = "lycheelock-deadline-ms";
/// The header with a key that makes a request run at most once, however often it
/// is sent.
pub const KEY_HEADER: &str = "idempotency-key";
