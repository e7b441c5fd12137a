//! Trials: a task under which a worker has crashed starts alone on a worker, so that
//! the next crash shows whether the task is the cause.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::Scheduler;
use crate::fleet::{Worker, WorkerKey};
use crate::moment::Moment;
use crate::workflow::{ActiveWorkflow, Stage, Task, TaskKey, TaskName, WorkflowId};

/// How long a trial waits until all other runs on its worker have survived; then it
/// begins beside them.
const MAX_TRIAL_DELAY: Duration = Duration::from_secs(2);
/// The longest trial. A task that crashes its workers later is given up once it has
/// been a suspect of several crashes.
const MAX_TRIAL: Duration = Duration::from_secs(10);
/// How long a task waits until its pool may have another trial; then it starts without one.
/// For a long-running task this is the limit on all waits together: for its own trial, for
/// the workers of other trials and for gangs.
const MAX_TRIAL_WAIT: Duration = Duration::from_secs(3);
/// How long a worker is reserved for a trial that does not begin.
const MAX_RESERVATION: Duration = Duration::from_secs(4);
/// One in this many workers of a pool may have a trial at a time.
const TRIAL_DIVISOR: usize = 4;

/// The trial of a task on a worker. No other task starts there meanwhile.
#[derive(Debug, Clone, Copy)]
struct Trial {
    task: TaskName,
    reserved: Moment,
    begun: bool,
}

/// The trials that go on.
#[derive(Debug, Default)]
pub(super) struct Trials {
    by_worker: HashMap<WorkerKey, Trial>,
    /// The jobs of which a task has survived its trial. As their tasks do not all
    /// crash their workers, several of them may be on trial at a time.
    survivors: HashSet<WorkflowId>,
}

/// The workers on which a task may start as far as trials are concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TrialRule {
    /// The task needs no trial: any worker without one.
    NoTrial,
    /// The worker that is reserved for the trial of the task.
    Reserved(WorkerKey),
    /// Any worker without a trial; the task's own trial begins there.
    Trial,
    /// None until other trials have ended.
    NotYet,
    /// Any worker, as a long-running task has waited for as long as it may: preferably one
    /// without the trial of another task. The task's own trial begins there if it needs one.
    Overdue,
}

impl Scheduler {
    /// Finds out on which workers a task may start as far as trials are concerned.
    pub(super) fn trial_rule(
        &self,
        workflow: &ActiveWorkflow,
        task: &Task,
        now: Moment,
    ) -> TrialRule {
        let trials = &self.trials.by_worker;
        if is_overdue(workflow, task, now) {
            return TrialRule::Overdue;
        }
        if !task.crashes.is_suspect() || workflow.step(task.name).gang {
            return TrialRule::NoTrial;
        }
        let own = trials.iter().find(|(_, trial)| trial.task == task.name);
        if let Some((key, _)) = own {
            return TrialRule::Reserved(*key);
        }
        let survivors = self.trials.survivors.contains(&workflow.id);
        let blocks = |trial: &Trial| trial.task.workflow == workflow.id;
        if !survivors && trials.values().any(blocks) {
            return TrialRule::NotYet;
        }
        if self.has_free_trial(&workflow.queue.pool) {
            TrialRule::Trial
        } else if now - task.ready >= MAX_TRIAL_WAIT {
            TrialRule::NoTrial
        } else {
            TrialRule::NotYet
        }
    }

    /// Whether a pool may have one more trial at a time.
    fn has_free_trial(&self, pool: &str) -> bool {
        let in_pool = |worker: &&Worker| worker.registration.pool == pool;
        let limit = self.workers.values().filter(in_pool).count() / TRIAL_DIVISOR;
        let trials = self.trials.by_worker.keys();
        let tried = trials.filter_map(|key| self.workers.get(*key));
        tried.filter(in_pool).count() < limit.max(1)
    }

    /// Whether a task waits for a trial. A gang needs none: its members share a run number,
    /// and several workers at once would have to be reserved for it.
    pub(super) fn needs_trial(&self, key: TaskKey, now: Moment) -> bool {
        match self.rule_of(key, now) {
            TrialRule::NoTrial | TrialRule::Overdue => false,
            TrialRule::Reserved(_) | TrialRule::Trial | TrialRule::NotYet => true,
        }
    }

    fn rule_of(&self, key: TaskKey, now: Moment) -> TrialRule {
        let task = &self.ledger.tasks[key];
        let workflow = &self.ledger.workflows[task.workflow];
        self.trial_rule(workflow, task, now)
    }

    /// Whether a rule allows a start on a worker.
    pub(super) fn allows(&self, rule: TrialRule, key: WorkerKey, task: TaskName) -> bool {
        let trials = &self.trials.by_worker;
        if trials.is_empty() && rule == TrialRule::NoTrial {
            return true;
        }
        let trial = trials.get(&key);
        match rule {
            TrialRule::NoTrial | TrialRule::Trial => trial.is_none_or(|trial| trial.task == task),
            TrialRule::Reserved(reserved) => reserved == key,
            TrialRule::NotYet => false,
            TrialRule::Overdue => true,
        }
    }

    /// The first part of a worker's score. The worker that is reserved for the task comes
    /// first and those with the trial of another task last. For suspects, those with the
    /// fewest runs are preferred, as a crash ends all of them.
    pub(super) fn trial_score(&self, rule: TrialRule, key: WorkerKey, task: &Task) -> (i8, usize) {
        if rule == TrialRule::NoTrial {
            return (0, 0);
        }
        let trial = self.trials.by_worker.get(&key);
        let order = match trial.map(|trial| trial.task == task.name) {
            Some(true) => 1,
            None => 0,
            Some(false) => -1,
        };
        let runs = match task.crashes.is_suspect() {
            true => self.workers[key].tasks.len(),
            false => 0,
        };
        (order, usize::MAX - runs)
    }

    /// Begins the trial of a task on a worker if it needs one. Returns false if it has
    /// to wait: the worker is then reserved until its other runs have survived.
    pub(super) fn begin_trial(&mut self, key: TaskKey, worker: WorkerKey, now: Moment) -> bool {
        match self.rule_of(key, now) {
            TrialRule::NoTrial => return true,
            TrialRule::Overdue => {
                self.begin_overdue(key, worker, now);
                return true;
            }
            TrialRule::Reserved(_) | TrialRule::Trial | TrialRule::NotYet => {}
        }
        let reservation = Trial {
            task: self.ledger.tasks[key].name,
            reserved: now,
            begun: false,
        };
        let known = self.trials.by_worker.get(&worker).copied();
        let mut trial = known.unwrap_or(reservation);
        trial.begun = now - trial.reserved >= MAX_TRIAL_DELAY || self.is_quiet(worker, &trial);
        self.trials.by_worker.insert(worker, trial);
        trial.begun
    }

    /// Begins the trial of a suspect that has waited for as long as it may, without regard to
    /// the other runs on its worker. There is none if the pool may have no further one.
    fn begin_overdue(&mut self, key: TaskKey, worker: WorkerKey, now: Moment) {
        let task = &self.ledger.tasks[key];
        let name = task.name;
        let suspect = task.crashes.is_suspect();
        let pool = &self.ledger.workflows[task.workflow].queue.pool;
        self.trials.by_worker.retain(|_, trial| trial.task != name);
        if suspect && self.has_free_trial(pool) {
            let trial = Trial {
                task: name,
                reserved: now,
                begun: true,
            };
            self.trials.by_worker.entry(worker).or_insert(trial);
        }
    }

    /// Whether all other runs on a worker have survived, each for as long as its task must.
    fn is_quiet(&self, worker: WorkerKey, trial: &Trial) -> bool {
        let tasks = self.workers[worker].tasks.values();
        let mut others = tasks
            .map(|task| &self.ledger.tasks[*task])
            .filter(|task| task.name != trial.task);
        others.all(|task| task.survived >= task.crashes.survival_time())
    }

    /// Ends the trials whose task has survived or left its worker, reservations that were not
    /// used, and both on workers of evacuated zones, which start nothing.
    pub(super) fn end_trials(&mut self, now: Moment) {
        let mut trials = std::mem::take(&mut self.trials);
        trials.by_worker.retain(|worker, trial| {
            let evacuated = self
                .workers
                .get(*worker)
                .is_some_and(|known| known.evacuated);
            let Some(task) = self.ledger.find_task(trial.task).filter(|_| !evacuated) else {
                return false;
            };
            let task = &self.ledger.tasks[task];
            let time = task.crashes.survival_time().min(MAX_TRIAL);
            let survived = trial.begun && task.survived >= time;
            if survived {
                trials.survivors.insert(trial.task.workflow);
            }
            let waits = task.stage == Stage::Waiting && now - trial.reserved < MAX_RESERVATION;
            let runs = task.stage.worker() == Some(*worker);
            !survived && if trial.begun { runs } else { waits }
        });
        let survivors = &mut trials.survivors;
        survivors.retain(|workflow| self.ledger.find(*workflow).is_some());
        self.trials = trials;
    }

    /// The workers that are reserved for a trial or have one.
    #[cfg(test)]
    pub(super) fn trial_workers(&self) -> Vec<WorkerKey> {
        self.trials.by_worker.keys().copied().collect()
    }

    /// Forgets that a task of a job has survived its trial.
    pub(super) fn forget_survivors(&mut self, workflow: WorkflowId) {
        self.trials.survivors.remove(&workflow);
    }
}

/// Whether a long-running task has waited for as long as it may while there is room for it.
pub(super) fn is_overdue(workflow: &ActiveWorkflow, task: &Task, now: Moment) -> bool {
    let waits = task.stage == Stage::Waiting && now - task.ready >= MAX_TRIAL_WAIT;
    waits && workflow.step(task.name).long_running
}
