//! Batch jobs of lycheelock's own protocol: the ledger of each shard and the
//! account of finished and unfinished work. The counterpart for the users'
//! platform is `schedule` with `workflow`.
//!
//! The ledger is the state that the shard's log describes. A change takes effect
//! once it is written to the log. Which task runs on which worker is not logged,
//! because the reports of the shard's workers contain all of it.

mod account;
mod apply;
mod change;
mod keys;
mod ledger;
mod moves;
mod report;
mod roster;
mod run;
mod snapshot;
mod submit;
mod task;
#[cfg(test)]
mod tests;

pub use account::{Account, JobView, TeamAccount};
pub use change::{Change, JobRecord, KeyOutcome, Outcome, StoredAnswer};
pub use keys::{IdempotencyKeys, KeyStep};
pub use ledger::{Ledger, LedgerSettings, RosterWorker};
pub use moves::PendingMove;
pub use run::Commands;
pub use submit::{JobSpec, SubmitStep};
pub use task::{StopReason, Task, TaskStage};

/// Wall-clock time in milliseconds since the Unix epoch. Deadlines outlive a process,
/// so they use wall-clock time; the clocks of entry hosts have to agree within a
/// second.
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
pub struct WallClock(pub u64);

impl WallClock {
    /// Reads the wall clock.
    pub fn now() -> Self {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        Self(since.unwrap_or_default().as_millis() as u64)
    }

    /// The time this many milliseconds later.
    ///
    /// ```
    /// use lycheelock::jobs::WallClock;
    ///
    /// assert_eq!(WallClock(5).plus(2), WallClock(7));
    /// ```
    pub const fn plus(self, milliseconds: u64) -> Self {
        Self(self.0.saturating_add(milliseconds))
    }
}
