//! A sign that a worker has restarted, which only its next report proves or disproves.

use std::collections::BTreeSet;

use crate::moment::Moment;
use crate::workflow::TaskName;

/// A sign that a worker has restarted under its id.
///
/// Until the worker reports, both have to be expected: that its runs go on, and that they are over
/// and the next incarnation has begun some of them anew, by leases on its own clock.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspicion {
    /// When the sign was seen. A poll that was sent before may have been answered by the former
    /// incarnation.
    pub since: Moment,
    /// The tasks whose start orders the worker has answered with such a sign.
    pub begun: BTreeSet<TaskName>,
    /// The tasks whose start orders the next incarnation may carry out or have carried out; this
    /// includes those in `begun`.
    pub open: BTreeSet<TaskName>,
    /// By when the leases of the open tasks have ended, if the worker has restarted.
    pub leases_end: Moment,
}

impl Suspicion {
    /// Creates the state for a sign that was seen at `since`.
    pub const fn new(since: Moment) -> Self {
        Self {
            since,
            begun: BTreeSet::new(),
            open: BTreeSet::new(),
            leases_end: since,
        }
    }
}
