//! Detects crashes of workers, and records them for the tasks that may have caused
//! them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;

use super::{Event, Scheduler};
use crate::fleet::{Availability, WorkerKey};
use crate::moment::Moment;
use crate::workflow::{CrashRecord, JobTransition, SURVIVAL_TIME, Stage, Task, TaskKey, TaskName};

/// How long the runs of a worker whose leases have ended are kept, as the worker may
/// turn out to have crashed.
const LOST_RETENTION: Duration = Duration::from_secs(60);

/// The limit on the delay before a task that may crash its workers restarts after the leases
/// on a silent worker have ended. The delay ends early if the worker is known to have crashed.
const MAX_HOLD: Duration = Duration::from_secs(8);

/// A run that ended with its worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CrashedRun {
    /// The name of the task.
    pub task: String,
    /// The number of the run.
    pub run: u64,
    /// Whether the run is known to have begun.
    pub begun: bool,
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
    begun: bool,
    survived: Duration,
    /// Whether a copy of the start order may still arrive.
    open: bool,
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
    by_address: HashMap<SocketAddr, LostWorker>,
}

impl Scheduler {
    /// Processes an answer of another worker at a worker's address: the worker has
    /// ended. Unless it was leaving, it has crashed.
    pub fn on_replaced(&mut self, key: WorkerKey, now: Moment) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let first = !std::mem::replace(&mut worker.replaced, true);
        if first && worker.registration.availability == Availability::Ready {
            self.record_crash(key, "another worker answers at its address", now);
        }
        // All that it ran for a former owner has ended with it.
        self.former_workers.remove(&key);
        self.closed_workers.remove(&key);
    }

    /// Records the crash of a worker for the runs that it had, or had when its leases
    /// ended.
    pub(super) fn record_crash(&mut self, key: WorkerKey, evidence: &'static str, now: Moment) {
        let mut runs = self.runs_on(key, now);
        let worker = &self.workers[key].registration;
        if let Some(lost) = self.lost_workers.by_address.remove(&worker.address) {
            runs.extend(lost.runs);
        }
        let id = worker.id.clone();
        self.record_crashed_runs(&id, evidence, &runs, now);
    }

    /// Keeps the runs of a silent worker whose leases have ended.
    pub(super) fn keep_lost(&mut self, key: WorkerKey, tasks: &[TaskKey], now: Moment) {
        let runs = self.run_states(tasks.iter().copied(), now);
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
        lost.insert(worker.registration.address, entry);
    }

    /// Delays the restart of those of a silent worker's tasks that have crashes on record and
    /// would be suspects again if this worker has crashed. Without the delay they could crash
    /// further workers before that is known. Long-running tasks are not delayed.
    pub(super) fn hold_suspects(&mut self, worker: WorkerKey, tasks: &[TaskKey], now: Moment) {
        // Runs on a restarted worker have been waited for longer.
        if self.workers[worker].leases.overlong() > Moment::default() {
            return;
        }
        for key in tasks {
            let long_running = self.step_of(*key).long_running;
            let task = &mut self.ledger.tasks[*key];
            let suspect = task.survived < task.crashes.survival_time();
            if suspect && !long_running && !task.crashes.is_empty() {
                task.held_until = now + MAX_HOLD;
            }
        }
    }

    /// Checks, when a worker answers, whether the one that was lost at its address has
    /// crashed.
    pub(super) fn check_lost(&mut self, key: WorkerKey, incarnation: u64, now: Moment) {
        let worker = &self.workers[key].registration;
        let Some(lost) = self.lost_workers.by_address.remove(&worker.address) else {
            return;
        };
        let returned = lost.id == worker.id && [0, lost.incarnation].contains(&incarnation);
        if !returned {
            let evidence = "another worker answers at its address";
            self.record_crashed_runs(&lost.id, evidence, &lost.runs, now);
        }
    }

    /// The runs that were lost when the leases of a worker ended, and whose start orders may
    /// still reach a new incarnation of it. The new incarnation accepts them: it has seen no
    /// fencing token, and its clock has been reset.
    pub(super) fn lost_open_runs(&self, key: WorkerKey) -> Vec<(TaskName, u64)> {
        let worker = &self.workers[key].registration;
        let lost = self.lost_workers.by_address.get(&worker.address);
        let Some(lost) = lost.filter(|lost| lost.id == worker.id) else {
            return Vec::new();
        };
        let open = lost.runs.iter().filter(|run| run.open);
        open.map(|run| (run.task, run.run)).collect()
    }

    /// Records that a report lists the current run of a task, so that it has begun and
    /// survived until now.
    pub(super) fn record_survival(&mut self, key: TaskKey, now: Moment) {
        let task = &mut self.ledger.tasks[key];
        if matches!(task.stage, Stage::Running(_)) {
            task.begun = true;
            // A misdirected call may have shown a crash that did not happen.
            if task.crashes.retract(task.run) {
                self.writes.mark_progress_changed(task.workflow);
            }
            task.survived = now - task.since;
            task.crashes.record_survival(task.survived);
        }
    }

    fn runs_on(&self, key: WorkerKey, now: Moment) -> Vec<RunState> {
        self.run_states(self.workers[key].tasks.values().copied(), now)
    }

    fn run_states(&self, tasks: impl Iterator<Item = TaskKey>, now: Moment) -> Vec<RunState> {
        let tasks = tasks.map(|key| (key, &self.ledger.tasks[key]));
        let runs = tasks
            .filter(|(_, task)| may_have_begun(task))
            .map(|(key, task)| RunState {
                task: task.name,
                run: task.run,
                begun: task.begun,
                survived: task.survived,
                open: self.may_arrive(key, now),
            });
        runs.collect()
    }

    fn record_crashed_runs(
        &mut self,
        worker: &str,
        evidence: &'static str,
        runs: &[RunState],
        now: Moment,
    ) {
        if runs.is_empty() {
            return;
        }
        let known = runs.iter().filter_map(|run| {
            let key = self.ledger.find_task(run.task)?;
            Some((key, *run))
        });
        let (suspects, others): (Vec<_>, Vec<_>) = known
            .partition(|(key, run)| run.survived < self.ledger.tasks[*key].crashes.survival_time());
        self.record(Event::WorkerCrashed {
            worker: worker.to_owned(),
            evidence,
            suspects: suspects
                .iter()
                .map(|(key, run)| self.crashed_run(*key, run))
                .collect(),
            others: others.len(),
        });
        let sole_run = sole_suspect(suspects.iter().map(|(_, run)| *run));
        let (suspects, uncertain): (Vec<_>, Vec<_>) =
            suspects.into_iter().partition(|(_, run)| run.begun);
        for (key, run) in &suspects {
            let sole = sole_run == Some(run.run);
            let crashes = &mut self.ledger.tasks[*key].crashes;
            crashes.record_suspected(run.run, sole);
            if sole {
                self.forget_survivors(run.task.workflow);
            }
        }
        for (key, run) in &uncertain {
            self.ledger.tasks[*key].crashes.record_uncertain(run.run);
        }
        for (key, run) in &others {
            self.ledger.tasks[*key].crashes.record_late(run.run);
        }
        for (key, run) in suspects.iter().chain(&uncertain).chain(&others) {
            let task = &mut self.ledger.tasks[*key];
            if task.run == run.run {
                task.held_until = Moment::default();
            }
            let workflow = self.ledger.tasks[*key].workflow;
            self.writes.mark_progress_changed(workflow);
        }
        for (key, _) in suspects {
            self.give_up_hopeless(key, worker, now);
        }
    }

    /// Gives up a task if its crashes show that it causes them. A task that has
    /// survived meanwhile, elsewhere, is not given up.
    fn give_up_hopeless(&mut self, key: TaskKey, worker: &str, now: Moment) {
        let Some(crashes) = self.hopeless_crashes(key) else {
            return;
        };
        let task = &self.ledger.tasks[key];
        let survives = task.survived >= task.crashes.survival_time();
        if survives && task.stage.worker().is_some() {
            return;
        }
        let event = Event::TaskGivenUp {
            task: task.name.to_string(),
            run: task.run,
            worker: worker.to_owned(),
            crashes: crashes.suspected().to_vec(),
        };
        let workflow = task.workflow;
        let transition = self.ledger.give_up(key);
        if transition != JobTransition::Unchanged {
            self.record(event);
            self.apply_transition(workflow, transition, now);
        }
    }

    /// Returns the crashes for which a task is to be given up: its own, or those of all
    /// members of its gang, as each run of the gang may have another guilty member.
    fn hopeless_crashes(&self, key: TaskKey) -> Option<CrashRecord> {
        let own = &self.ledger.tasks[key].crashes;
        if own.is_hopeless() {
            return Some(own.clone());
        }
        if !self.is_gang(key) {
            return None;
        }
        let members = self.members(key);
        let records = members.iter().map(|key| &self.ledger.tasks[*key].crashes);
        Some(CrashRecord::of_gang(records)).filter(CrashRecord::is_hopeless)
    }

    /// Records that the current run of a task ended by itself, so that it did not
    /// crash its worker.
    pub(super) fn record_own_end(&mut self, key: TaskKey) {
        let task = &mut self.ledger.tasks[key];
        let survived = task.survived.max(task.crashes.survival_time());
        task.survived = survived;
        task.crashes.record_survival(survived);
    }

    fn crashed_run(&self, key: TaskKey, run: &RunState) -> CrashedRun {
        CrashedRun {
            task: run.task.to_string(),
            run: run.run,
            begun: run.begun,
            survived: run.survived.as_millis() as u64,
            crashes: self.ledger.tasks[key].crashes.count(),
        }
    }
}

/// Returns the run that is the sole likely cause of a crash: the only one that had just
/// started or, if none had, the only suspect. The members of a gang share a run
/// number and cannot be told apart. A run that may not have begun is a possible cause, so
/// no other one is the sole cause beside it.
fn sole_suspect(suspects: impl Iterator<Item = RunState>) -> Option<u64> {
    let (just_started, earlier): (Vec<RunState>, Vec<RunState>) =
        suspects.partition(|run| run.survived < SURVIVAL_TIME);
    let likely = if just_started.is_empty() {
        earlier
    } else {
        just_started
    };
    let first = likely.first()?.run;
    likely.iter().all(|run| run.run == first).then_some(first)
}

/// Whether the worker may have begun the task's run: it is known to have, or the start
/// order was sent.
const fn may_have_begun(task: &Task) -> bool {
    task.begun || task.lease_end.is_some()
}
