//! Who may enter: services, teams, tokens, quotas and deadlines.

mod call;
mod quota;
#[cfg(test)]
mod tests;

pub use call::{Admitted, CallHeaders, admit};
pub use quota::Quotas;

/// Names the team of a request.
pub const TEAM_HEADER: &str = "lycheelock-team";
/// The time that the caller will wait, in milliseconds.
pub const DEADLINE_HEADER: &str = "lycheelock-deadline-ms";
/// Makes a request run at most once, however often it is sent.
pub const KEY_HEADER: &str = "idempotency-key";
