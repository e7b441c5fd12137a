//! Detects crashes of workers, and records them for the tasks that may have caused
//! them.

use std::collections::HashMap;
use std::time::Duration;

use serde::Serialize;

use super::{Event, Scheduler};
use crate::fleet::{Availability, WorkerKey};
use crate::moment::Moment;
use crate::workflow::{Stage, Task, TaskKey, TaskName};

/// How long the runs of a worker whose leases have ended are kept, as the worker may
/// turn out to have crashed.
const LOST_RETENTION: Duration = Duration::from_secs(60);

/// A run that ended with its worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CrashedRun {
    /// The name of the task.
    pub task: String,
    /// The number of the run.
    pub run: u64,
    /// The time in milliseconds for which the run is known to have survived.
    pub survived: u64,
    /// The number of crashes under the task before this one.
    pub crashes: usize,
}

/// A run on a worker, as last known.
#[derive(Debug, Clone, Copy)]
struct RunState {
    task: TaskName,
    run: u64,
    survived: Duration,
}

/// A worker whose leases have ended while it was silent.
#[derive(Debug)]
struct LostWorker {
    id: String,
    incarnation: u64,
    runs: Vec<RunState>,
    since: Moment,
}

/// The workers whose leases have ended, by address. A cut and a crash look alike
/// until a worker answers there again.
#[derive(Debug, Default)]
pub(super) struct LostWorkers {
    by_address: HashMap<String, LostWorker>,
}

impl Scheduler {
    /// Processes an answer of another worker at a worker's address: the worker has
    /// ended. Unless it was leaving, it has crashed.
    pub fn on_replaced(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let first = !std::mem::replace(&mut worker.replaced, true);
        if first && worker.registration.availability == Availability::Ready {
            self.record_crash(key, "another worker answers at its address");
        }
    }

    /// Records the crash of a worker for the runs that it had, or had when its leases
    /// ended.
    pub(super) fn record_crash(&mut self, key: WorkerKey, evidence: &'static str) {
        let mut runs = self.runs_on(key);
        let worker = &self.workers[key].registration;
        if let Some(lost) = self.lost_workers.by_address.remove(&worker.address) {
            runs.extend(lost.runs);
        }
        let id = worker.id.clone();
        self.record_crashed_runs(id, evidence, &runs);
    }

    /// Keeps the runs of a silent worker whose leases have ended.
    pub(super) fn keep_lost(&mut self, key: WorkerKey, now: Moment) {
        let runs = self.runs_on(key);
        let worker = &self.workers[key];
        let lost = &mut self.lost_workers.by_address;
        lost.retain(|_, lost| now - lost.since < LOST_RETENTION);
        if worker.replaced || worker.registration.availability == Availability::Draining {
            return;
        }
        let entry = LostWorker {
            id: worker.registration.id.clone(),
            incarnation: worker.registration.incarnation,
            runs,
            since: now,
        };
        lost.insert(worker.registration.address.clone(), entry);
    }

    /// Checks, when a worker answers, whether the one that was lost at its address has
    /// crashed.
    pub(super) fn check_lost(&mut self, key: WorkerKey, incarnation: u64) {
        let worker = &self.workers[key].registration;
        let Some(lost) = self.lost_workers.by_address.remove(&worker.address) else {
            return;
        };
        if (&lost.id, lost.incarnation) != (&worker.id, incarnation) {
            let evidence = "another worker answers at its address";
            self.record_crashed_runs(lost.id, evidence, &lost.runs);
        }
    }

    /// Records for how long the current run of a task has survived.
    pub(super) fn record_survival(&mut self, key: TaskKey, now: Moment) {
        let task = &mut self.ledger.tasks[key];
        if matches!(task.stage, Stage::Running(_)) {
            task.survived = now - task.since;
            task.crashes.record_survival(task.survived);
        }
    }

    fn runs_on(&self, key: WorkerKey) -> Vec<RunState> {
        let tasks = self.workers[key].tasks.values();
        let tasks = tasks.map(|task| &self.ledger.tasks[*task]);
        let runs = tasks
            .filter(|task| may_have_begun(task))
            .map(|task| RunState {
                task: task.name,
                run: task.run,
                survived: task.survived,
            });
        runs.collect()
    }

    fn record_crashed_runs(&mut self, worker: String, evidence: &'static str, runs: &[RunState]) {
        let known = runs.iter().filter_map(|run| {
            let key = self.ledger.find_task(run.task)?;
            Some((key, *run))
        });
        let (suspects, others): (Vec<_>, Vec<_>) = known
            .partition(|(key, run)| run.survived < self.ledger.tasks[*key].crashes.survival_time());
        self.record(Event::WorkerCrashed {
            worker,
            evidence,
            suspects: suspects
                .iter()
                .map(|(key, run)| self.crashed_run(*key, run))
                .collect(),
            others: others.len(),
        });
        // The members of a gang share a run number and cannot be told apart.
        let sole = suspects.iter().all(|(_, run)| run.run == suspects[0].1.run);
        for (key, run) in &suspects {
            let crashes = &mut self.ledger.tasks[*key].crashes;
            crashes.record_suspected(run.run, sole);
        }
        for (key, run) in &others {
            self.ledger.tasks[*key].crashes.record_late(run.run);
        }
        for (key, _) in suspects.iter().chain(&others) {
            let workflow = self.ledger.tasks[*key].workflow;
            self.writes.mark_progress_changed(workflow);
        }
    }

    fn crashed_run(&self, key: TaskKey, run: &RunState) -> CrashedRun {
        CrashedRun {
            task: run.task.to_string(),
            run: run.run,
            survived: run.survived.as_millis() as u64,
            crashes: self.ledger.tasks[key].crashes.count(),
        }
    }
}

/// Whether the worker may have begun the task's run: the start order was sent, or the
/// run was reported.
fn may_have_begun(task: &Task) -> bool {
    let running = matches!(task.stage, Stage::Running(_));
    running || task.lease_end.is_some() || !task.survived.is_zero()
}
