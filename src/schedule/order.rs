//! Orders of the scheduler to workers.

use crate::fleet::StopOrder;
use crate::workflow::TaskKey;

/// An order to a worker. Orders to the same worker are sent one at a time, in
/// sequence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// Starts a run of a task, unless the run is obsolete by the time the order
    /// is sent.
    Start {
        /// The task to start.
        task: TaskKey,
        /// The number of the run.
        run: u64,
    },
    /// Stops a run.
    Stop(StopOrder),
    /// Throttles a run to this percentage of its full speed; 0 pauses it.
    Throttle(StopOrder, u8),
}
