//! The rules that every run of the fuzz test keeps to.

use std::collections::BTreeMap;

use super::super::*;

/// An end of a run.
#[derive(Debug)]
struct End {
    task: TaskName,
    run: u64,
    outcome: RunOutcome,
    acknowledged: bool,
    /// Whether the lease of the worker lapsed before the end was acknowledged.
    excused: bool,
}

/// A start of a run.
#[derive(Debug)]
struct Start {
    task: TaskName,
    run: u64,
    at: u64,
    /// The number of ends before it.
    ends: usize,
}

/// What has happened on all workers.
#[derive(Debug, Default)]
pub(super) struct Oracle {
    pub specs: BTreeMap<WorkflowId, Arc<Workflow>>,
    /// The live runs, with the index of their worker.
    pub live: Vec<(TaskName, u64, usize)>,
    ends: Vec<End>,
    starts: Vec<Start>,
    /// When each task last had a run that has ended since.
    last_runs: BTreeMap<TaskName, u64>,
    /// Whether a worker has crashed: a job may then be given up.
    pub crashed: bool,
}

impl Oracle {
    pub fn step(&self, task: TaskName) -> &Step {
        &self.specs[&task.workflow].steps[task.step as usize]
    }

    fn ended(&self, task: TaskName, outcome: RunOutcome) -> usize {
        let ends = self.ends.iter();
        ends.filter(|end| end.task == task && end.outcome == outcome)
            .count()
    }

    /// The number of ends of all runs of a task that failed.
    pub fn failures(&self, task: TaskName) -> usize {
        self.ended(task, RunOutcome::Failed)
    }

    pub fn on_start(&mut self, task: TaskName, run: u64, worker: usize, now: u64) {
        if let Some(other) = self.live.iter().find(|live| live.0 == task) {
            panic!("TWICE: {task} run {run} on w{worker} at {now} beside {other:?}");
        }
        for before in &self.step(task).after {
            for index in 0..self.specs[&task.workflow].steps[*before].count {
                let step = *before as u32;
                let needed = TaskName {
                    step,
                    index,
                    ..task
                };
                let done = self.ended(needed, RunOutcome::Done) > 0;
                assert!(
                    done,
                    "ORDER: {task} starts at {now} before {needed} is done"
                );
            }
        }
        self.live.push((task, run, worker));
        self.starts.push(Start {
            task,
            run,
            at: now,
            ends: self.ends.len(),
        });
        self.check_starts(task);
    }

    pub fn on_end(&mut self, task: TaskName, run: u64, outcome: RunOutcome, now: u64) {
        self.last_runs.insert(task, now);
        self.live.retain(|live| (live.0, live.1) != (task, run));
        self.ends.push(End {
            task,
            run,
            outcome,
            acknowledged: false,
            excused: false,
        });
    }

    pub fn on_worker_lost(&mut self, worker: usize, now: u64) {
        let lost = self.live.iter().filter(|live| live.2 == worker);
        self.last_runs.extend(lost.map(|live| (live.0, now)));
        self.live.retain(|live| live.2 != worker);
    }

    fn find(&mut self, end: &EndedRun) -> Option<&mut End> {
        let mut ends = self.ends.iter_mut();
        ends.find(|known| (known.task, known.run) == (end.task, end.run))
    }

    pub fn on_lapse(&mut self, end: &EndedRun) {
        if let Some(end) = self.find(end) {
            end.excused = true;
        }
    }

    pub fn on_acknowledged(&mut self, end: &EndedRun) {
        if let Some(known) = self.find(end) {
            known.acknowledged = true;
            self.check_starts(end.task);
        }
    }

    /// Checks all starts of a task against the ends before them that count.
    fn check_starts(&self, task: TaskName) {
        for start in self.starts.iter().filter(|start| start.task == task) {
            let before = self.ends[..start.ends].iter();
            let counted: Vec<&End> = before
                .filter(|end| end.task == task && end.acknowledged && !end.excused)
                .collect();
            let done = counted.iter().find(|end| end.outcome == RunOutcome::Done);
            let Start { run, at, .. } = start;
            assert!(
                done.is_none(),
                "TWICE: {task} run {run} at {at} after {done:?}"
            );
            let failed = counted
                .iter()
                .filter(|end| end.outcome == RunOutcome::Failed);
            let within = failed.count() < ATTEMPTS || self.step(task).long_running;
            assert!(within, "BUDGET: {task} run {run} at {at} after {counted:?}");
        }
    }

    /// The jobs of which a task is running.
    pub fn running_jobs(&self) -> impl Iterator<Item = WorkflowId> {
        self.live.iter().map(|live| live.0.workflow)
    }

    /// Checks that no long-running task of a job has been without a run for too long.
    pub fn check_restarts(&self, id: WorkflowId, calm_since: u64, now: u64) {
        let steps = self.specs[&id].steps.iter().enumerate();
        let long_running = steps.filter(|(_, spec)| spec.long_running);
        for (step, spec) in long_running {
            for index in 0..spec.count {
                let task = name(id.0, step as u32, index);
                let live = self.live.iter().any(|live| live.0 == task);
                let ended = self.last_runs.get(&task).copied().unwrap_or_default();
                let due = (ended + RESTART_TIME).max(calm_since + SETTLING_TIME) + MAX_IDLE;
                assert!(
                    live || now < due,
                    "LOST: {task} has had no run since {ended} at {now}"
                );
            }
        }
    }

    /// Checks a job at the end of a calm stretch. `ran` says whether a task of it was running
    /// in the last [`MAX_IDLE`] milliseconds.
    pub fn check_job(&self, id: WorkflowId, state: WorkflowState, open: bool, ran: bool) {
        let live = |task: TaskName| self.live.iter().any(|live| live.0 == task);
        let any_live = self.live.iter().any(|live| live.0.workflow == id);
        let tasks = || {
            let steps = self.specs[&id].steps.iter().enumerate();
            steps.flat_map(|(step, spec)| {
                (0..spec.count).map(move |index| name(id.0, step as u32, index))
            })
        };
        let long_running = |task: &TaskName| self.step(*task).long_running;
        match state {
            WorkflowState::Cancelled => {
                assert!(!any_live, "UNASKED: {id} is cancelled and runs");
                assert!(!open, "LOST: the cancellation of {id} is not processed");
            }
            WorkflowState::Done => {
                let left = tasks().find(|task| self.ended(*task, RunOutcome::Done) == 0);
                assert!(
                    left.is_none(),
                    "MIXED: {id} is shown as done without {left:?}"
                );
            }
            WorkflowState::Failed => {
                let failed = tasks().any(|task| self.failures(task) >= ATTEMPTS);
                assert!(failed || self.crashed, "LOST: {id} failed without cause");
            }
            WorkflowState::Queued | WorkflowState::Running => {
                assert!(ran, "LOST: nothing of {id} runs, {state:?}");
                let idle = tasks().filter(long_running).find(|task| !live(*task));
                assert!(idle.is_none(), "LOST: {idle:?} does not run");
            }
        }
    }
}

/// For how long nothing of an accepted job may run while it could, in milliseconds.
pub(super) const MAX_IDLE: u64 = 3_000;

/// The time after the last run of a long-running task from which that counts, in milliseconds.
const RESTART_TIME: u64 = 6_000;

/// The time after the last fault from which that counts, in milliseconds.
const SETTLING_TIME: u64 = 4_000;

/// The number of failed runs after which a job fails.
pub(super) const ATTEMPTS: usize = 2;
