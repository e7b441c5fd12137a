//! The tasks that could not be placed in a pass, so that like ones are not tried again.

use super::placement::{Risk, Tolerance};
use crate::fleet::Capacity;
use crate::workflow::Step;

/// The requirements of tasks that could not be placed in this pass.
#[derive(Debug, Default)]
pub(super) struct PlacementFailures {
    rows: Vec<PlacementFailure>,
    held_back: Vec<HeldBack>,
}

/// The tasks of a pool that wait behind a gang: the best-effort ones or the others.
#[derive(Debug)]
struct HeldBack {
    pool: String,
    best_effort: bool,
}

/// The requirements of a task that could not be placed. The image is set only
/// for best-effort tasks, as those of another image may still find a worker.
#[derive(Debug)]
struct PlacementFailure {
    pool: String,
    image: Option<String>,
    best_effort: bool,
    need: Capacity,
    tolerance: Tolerance,
}

impl PlacementFailures {
    /// Whether a task of this step with this tolerance cannot be placed in this pass
    /// either.
    pub fn covers(&self, pool: &str, step: &Step, tolerance: Tolerance) -> bool {
        let matches = |failure: &PlacementFailure| {
            let image = || {
                failure
                    .image
                    .as_ref()
                    .is_none_or(|image| *image == step.image)
            };
            // The names are compared last, as most rows differ in the rest.
            failure.best_effort == step.best_effort
                && failure.tolerance.includes(tolerance)
                && step.need.holds(failure.need)
                && image()
                && failure.pool == pool
        };
        let waits_behind =
            |held: &HeldBack| held.pool == pool && held.best_effort == step.best_effort;
        let may_wait = tolerance.risk < Risk::Slow && !tolerance.overdue;
        let held_back = may_wait && self.held_back.iter().any(waits_behind);
        held_back || self.rows.iter().any(matches)
    }

    /// Holds back all later tasks of this pass in the same pool and of the same kind as
    /// this gang: best-effort or not.
    pub fn hold_back(&mut self, pool: &str, gang: &Step) {
        self.held_back.push(HeldBack {
            pool: pool.to_owned(),
            best_effort: gang.best_effort,
        });
    }

    /// Records a step that could not be placed. Steps with placement constraints
    /// are skipped, as their failure says nothing about other steps.
    pub fn record(&mut self, pool: &str, step: &Step, tolerance: Tolerance) {
        let unconstrained = step.label.is_none() && step.worker_limit.is_none();
        let plain = unconstrained && step.data_rack.is_none() && !step.gang;
        if plain {
            self.rows.push(PlacementFailure {
                pool: pool.to_owned(),
                image: step.best_effort.then(|| step.image.clone()),
                best_effort: step.best_effort,
                need: step.need,
                tolerance,
            });
        }
    }
}
