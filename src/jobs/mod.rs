//! Batch work: the ledger of one shard, and the account of what did not run.
//!
//! The ledger is the state that the shard's log describes. A change takes
//! effect when it stands in the log; what runs where is not logged, because
//! asking the shard's workers gives the whole truth.

mod account;
mod change;
mod keys;
mod ledger;
mod moves;
mod report;
mod roster;
mod run;
mod submit;
mod task;
#[cfg(test)]
mod tests;

pub use account::{Account, JobView, TeamAccount};
pub use change::{Change, JobRecord, KeptAnswer, KeyOutcome, Outcome};
pub use keys::{KeyStep, Keys};
pub use ledger::{Ledger, LedgerSettings, RosterWorker};
pub use moves::PendingMove;
pub use run::Commands;
pub use submit::{JobSpec, Submission};
pub use task::{StopReason, Task, TaskStage};

/// Milliseconds since the Unix epoch. Deadlines outlive a process, so they are
/// in wall-clock time; the clocks of entry hosts need to agree within a second.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Wall(pub u64);

impl Wall {
    /// Reads the wall clock.
    pub fn now() -> Self {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        Self(since.unwrap_or_default().as_millis() as u64)
    }

    /// A later point.
    ///
    /// ```
    /// use lycheelock::jobs::Wall;
    ///
    /// assert_eq!(Wall(5).plus(2), Wall(7));
    /// ```
    pub const fn plus(self, milliseconds: u64) -> Self {
        Self(self.0.saturating_add(milliseconds))
    }
}
