//! What the scheduler wants a worker to be told.

use crate::fleet::StopOrder;
use crate::workflow::TaskKey;

/// An order to one worker. Orders to a worker are sent one after the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// Start this run of a task, if that is still wanted when its turn comes.
    Start {
        /// The task.
        task: TaskKey,
        /// The run.
        run: u64,
    },
    /// Stop a run.
    Stop(StopOrder),
    /// Let a run work at this share of its speed, in percent.
    Pace(StopOrder, u8),
}
