//! Checks the workers' journals for violated invariants.

use std::collections::{BTreeMap, HashMap, HashSet};

use serde::{Deserialize, Serialize};

use super::tasks::TaskRun;
use super::worker::Journal;
use crate::configuration::Service;
use crate::ids::TaskId;
use crate::kind::RunStatus;
use crate::workers::TaskState;

/// What a caller learned from the answer to one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerResult {
    /// The mark that the caller gave the request.
    pub mark: String,
    /// Whether the request ran, according to the answer.
    pub run: RunStatus,
    /// Whether the answer belongs to this request; true if there was no answer.
    pub matches_request: bool,
}

/// The number of violations of each invariant.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violations {
    /// A worker was given more requests or tasks than its capacity.
    pub overfull: u64,
    /// Two runs of a task overlapped in time.
    pub two_places: u64,
    /// A task finished again after it had finished once.
    pub finished_twice: u64,
    /// A run resumed from more work than earlier runs of the same task had saved, such
    /// as the checkpoint of another task.
    pub resumed_wrong: u64,
    /// A non-idempotent request ran more than once.
    pub ran_twice: u64,
    /// The caller was told that a request did not run, but it ran.
    pub not_run_false: u64,
    /// A caller received the answer to another request.
    pub wrong_answer: u64,
    /// A request or a task started in an evacuated zone. Counted by
    /// [`count_evacuated_starts`].
    #[serde(default)]
    pub evacuated: u64,
}

/// The time during which no work may start on some workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuatedSpan {
    /// The names of the workers of the evacuated zone.
    pub workers: Vec<String>,
    /// The first time at which nothing may start, in microseconds since the Unix epoch.
    pub from: u64,
    /// The end of the evacuation, in microseconds since the Unix epoch.
    pub until: u64,
}

/// Counts the requests and tasks that started on workers of a zone while it was
/// evacuated.
///
/// ```
/// use lycheelock::standins::audit::{EvacuatedSpan, count_evacuated_starts};
/// use lycheelock::standins::worker::{Journal, RequestRun};
///
/// let run = RequestRun { id: "1".into(), mark: "m".into(), line: "GET /".into(), start: 150 };
/// let journal = Journal { worker: "w1".into(), requests: vec![run], ..Journal::default() };
/// let span = EvacuatedSpan { workers: vec!["w1".into()], from: 100, until: 200 };
/// assert_eq!(count_evacuated_starts(&[journal], &span), 1);
/// ```
pub fn count_evacuated_starts(journals: &[Journal], span: &EvacuatedSpan) -> u64 {
    let evacuated = |journal: &&Journal| span.workers.contains(&journal.worker);
    let starts = journals.iter().filter(evacuated).flat_map(|journal| {
        let requests = journal.requests.iter().map(|run| run.start);
        requests.chain(journal.tasks.iter().map(|run| run.start))
    });
    let counted = starts.filter(|start| (span.from..span.until).contains(start));
    counted.count() as u64
}

impl Violations {
    /// Returns the violations counted since an earlier audit, `before`.
    pub const fn minus(self, before: Self) -> Self {
        Self {
            overfull: self.overfull - before.overfull,
            two_places: self.two_places - before.two_places,
            finished_twice: self.finished_twice - before.finished_twice,
            resumed_wrong: self.resumed_wrong - before.resumed_wrong,
            ran_twice: self.ran_twice - before.ran_twice,
            not_run_false: self.not_run_false - before.not_run_false,
            wrong_answer: self.wrong_answer - before.wrong_answer,
            evacuated: self.evacuated - before.evacuated,
        }
    }

    /// Returns the sum over all invariants.
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
            + self.evacuated
    }
}

/// Audits the journals of all workers, and compares them with what callers learned.
pub fn audit(journals: &[Journal], results: &[CallerResult], services: &[Service]) -> Violations {
    let mut violations = Violations {
        overfull: journals.iter().map(|journal| journal.overfull).sum(),
        ..Violations::default()
    };
    audit_tasks(journals, &mut violations);
    audit_requests(journals, results, services, &mut violations);
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
        violations.resumed_wrong += count_wrong_resumes(runs);
    }
}

/// Counts the runs that resumed from more work than earlier runs of the task had
/// saved. `runs` are all runs of one task, ordered by start.
fn count_wrong_resumes(runs: &[&TaskRun]) -> u64 {
    let mut saved_work = 0;
    let mut wrong = 0;
    for run in runs {
        if run.resumed > saved_work {
            wrong += 1;
        }
        saved_work = saved_work.max(run.checkpoint);
    }
    wrong
}

fn audit_requests(
    journals: &[Journal],
    results: &[CallerResult],
    services: &[Service],
    violations: &mut Violations,
) {
    let mut run_counts: HashMap<&str, u64> = HashMap::new();
    let mut once_marks: HashSet<&str> = HashSet::new();
    for run in journals.iter().flat_map(|journal| &journal.requests) {
        *run_counts.entry(&run.mark).or_default() += 1;
        if runs_once(services, &run.line) {
            once_marks.insert(&run.mark);
        }
    }
    let ran_twice = |mark: &&&str| !mark.is_empty() && run_counts[**mark] > 1;
    violations.ran_twice = once_marks.iter().filter(ran_twice).count() as u64;
    for result in results {
        let ran = run_counts.contains_key(result.mark.as_str());
        violations.not_run_false += u64::from(result.run == RunStatus::No && ran);
        violations.wrong_answer += u64::from(!result.matches_request);
    }
}

fn runs_once(services: &[Service], request_line: &str) -> bool {
    let Some((method, path)) = request_line.split_once(' ') else {
        return false;
    };
    let path = path.trim_start_matches("/serve/");
    services.iter().any(|service| {
        let rest = path.strip_prefix(&service.name);
        rest.is_some_and(|rest| service.runs_once(method, rest))
    })
}
