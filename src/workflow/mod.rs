//! Jobs of several steps: what they ask for, which tasks may start, how they end.

mod ledger;
mod name;
mod progress;
mod spec;
#[cfg(test)]
mod tests;

pub use ledger::{
    FULL_SPEED, Flow, FlowKey, Ledger, Occurrence, RunProgress, Stage, Task, TaskKey, Verdict, dues,
};
pub use name::{ParseNameError, TaskName, WorkflowId};
pub use progress::{Progress, TaskRecord};
pub use spec::{Recurrence, Step, Workflow, WorkflowState};
