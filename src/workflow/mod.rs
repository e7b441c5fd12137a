//! Jobs of several steps: what callers submit, which tasks may start, and how jobs
//! end.
//!
//! Serves the users' platform, together with `schedule`; the counterpart for
//! lycheelock's own protocol is `jobs`.

mod crashes;
mod ledger;
mod name;
mod progress;
mod spec;
#[cfg(test)]
mod tests;

pub use crashes::{CrashRecord, SURVIVAL_TIME, SuspectedCrash};
pub use ledger::{
    ActiveWorkflow, FULL_SPEED, JobTransition, Ledger, OVERDUE_FACTOR, Occurrence, RunProgress,
    Stage, Task, TaskKey, WorkflowKey, due_times,
};
pub use name::{ParseNameError, TaskName, WorkflowId};
pub use progress::{MovedJob, Progress, TaskRecord};
pub(crate) use spec::MAX_STEPS;
pub use spec::{Recurrence, Step, Workflow, WorkflowState};
