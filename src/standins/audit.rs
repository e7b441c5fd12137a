//! Finds in the workers' journals what must never happen.

use std::collections::{BTreeMap, HashMap, HashSet};

use serde::{Deserialize, Serialize};

use super::tasks::TaskRun;
use super::worker::Journal;
use crate::configuration::Service;
use crate::ids::TaskId;
use crate::kind::RunStatus;
use crate::workers::TaskState;

/// What a caller was told about one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Told {
    /// The caller's mark.
    pub mark: String,
    /// What the answer said of the run.
    pub run: RunStatus,
    /// Whether the answer was the one to this request.
    pub own: bool,
}

/// How often each thing happened that must never happen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violations {
    /// A worker was given more than it can hold.
    pub overfull: u64,
    /// A task ran in two places at once.
    pub two_places: u64,
    /// A task finished twice.
    pub finished_twice: u64,
    /// A task resumed twice from one eviction, or from work that was not its own.
    pub resumed_wrong: u64,
    /// A request that must not be repeated ran twice.
    pub ran_twice: u64,
    /// "Not run" was said of a request that ran.
    pub not_run_false: u64,
    /// A caller got the answer to another request.
    pub wrong_answer: u64,
}

impl Violations {
    /// What came after `before`.
    pub const fn minus(self, before: Self) -> Self {
        Self {
            overfull: self.overfull - before.overfull,
            two_places: self.two_places - before.two_places,
            finished_twice: self.finished_twice - before.finished_twice,
            resumed_wrong: self.resumed_wrong - before.resumed_wrong,
            ran_twice: self.ran_twice - before.ran_twice,
            not_run_false: self.not_run_false - before.not_run_false,
            wrong_answer: self.wrong_answer - before.wrong_answer,
        }
    }

    /// The sum of all.
    ///
    /// ```
    /// assert_eq!(lycheelock::standins::audit::Violations::default().total(), 0);
    /// ```
    pub const fn total(&self) -> u64 {
        self.overfull
            + self.two_places
            + self.finished_twice
            + self.resumed_wrong
            + self.ran_twice
            + self.not_run_false
            + self.wrong_answer
    }
}

/// Audits the journals of all workers against what callers were told.
pub fn audit(journals: &[Journal], told: &[Told], services: &[Service]) -> Violations {
    let mut violations = Violations {
        overfull: journals.iter().map(|journal| journal.overfull).sum(),
        ..Violations::default()
    };
    audit_tasks(journals, &mut violations);
    audit_requests(journals, told, services, &mut violations);
    violations
}

fn audit_tasks(journals: &[Journal], violations: &mut Violations) {
    let mut runs: BTreeMap<TaskId, Vec<&TaskRun>> = BTreeMap::new();
    for run in journals.iter().flat_map(|journal| &journal.tasks) {
        runs.entry(run.task).or_default().push(run);
    }
    for runs in runs.values_mut() {
        runs.sort_by_key(|run| run.start);
        let pairs = runs.windows(2);
        let overlaps = pairs.filter(|pair| pair[0].end.is_none_or(|end| end > pair[1].start));
        violations.two_places += overlaps.count() as u64;
        let finished = runs.iter().filter(|run| run.state == TaskState::Finished);
        violations.finished_twice += (finished.count() as u64).saturating_sub(1);
        violations.resumed_wrong += wrong_resumes(runs);
    }
}

/// A run may resume from work that an earlier run of the task had saved.
fn wrong_resumes(runs: &[&TaskRun]) -> u64 {
    let mut saved = 0;
    let mut wrong = 0;
    for run in runs {
        if run.resumed > saved {
            wrong += 1;
        }
        saved = saved.max(run.checkpoint);
    }
    wrong
}

fn audit_requests(
    journals: &[Journal],
    told: &[Told],
    services: &[Service],
    violations: &mut Violations,
) {
    let mut counts: HashMap<&str, u64> = HashMap::new();
    let mut once: HashSet<&str> = HashSet::new();
    for run in journals.iter().flat_map(|journal| &journal.requests) {
        *counts.entry(&run.mark).or_default() += 1;
        if runs_once(services, &run.line) {
            once.insert(&run.mark);
        }
    }
    let twice = |mark: &&&str| !mark.is_empty() && counts[**mark] > 1;
    violations.ran_twice = once.iter().filter(twice).count() as u64;
    for answer in told {
        let ran = counts.contains_key(answer.mark.as_str());
        violations.not_run_false += u64::from(answer.run == RunStatus::No && ran);
        violations.wrong_answer += u64::from(!answer.own);
    }
}

fn runs_once(services: &[Service], line: &str) -> bool {
    let Some((method, path)) = line.split_once(' ') else {
        return false;
    };
    let path = path.trim_start_matches("/serve/");
    services.iter().any(|service| {
        let rest = path.strip_prefix(&service.name);
        rest.is_some_and(|rest| service.runs_once(method, rest))
    })
}
