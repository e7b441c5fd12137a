//! The jobs of one shard and the stage of each of their tasks.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use slotmap::{SecondaryMap, SlotMap, new_key_type};

use super::{
    CrashRecord, Progress, Step, TaskName, TaskRecord, Workflow, WorkflowId, WorkflowState,
};
use crate::fleet::WorkerKey;
use crate::moment::Moment;
use crate::routing::Queue;

/// A job is overdue once it takes this many times its allowed time. Its result is
/// then worth nothing to the caller.
pub const OVERDUE_FACTOR: u32 = 3;

new_key_type! {
    /// The key of a job in the [`Ledger`].
    pub struct WorkflowKey;
    /// The key of a task in the [`Ledger`].
    pub struct TaskKey;
}

/// The stage of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The task waits until its occurrence is due and the steps before it are done.
    Blocked,
    /// The task may start.
    Waiting,
    /// A former owner may have started the task on some worker.
    Recovering,
    /// The worker was ordered to start the task and has not confirmed this.
    Starting(WorkerKey),
    /// The worker runs the task.
    Running(WorkerKey),
    /// The worker was ordered to stop the task and has not reported the end of the run.
    Stopping(WorkerKey),
    /// The task completed.
    Done,
}

impl Stage {
    /// Returns the worker that may be running the task.
    pub const fn worker(self) -> Option<WorkerKey> {
        match self {
            Self::Starting(worker) | Self::Running(worker) | Self::Stopping(worker) => Some(worker),
            Self::Blocked | Self::Waiting | Self::Recovering | Self::Done => None,
        }
    }
}

/// The last reported progress of a task's run, and since when it is unchanged.
#[derive(Debug, Clone, Copy, Default)]
pub struct RunProgress {
    run: u64,
    percent: u8,
    since: Moment,
}

impl RunProgress {
    /// Records a report of a run. Returns when the run was first reported with this
    /// progress.
    ///
    /// ```
    /// use lycheelock::moment::Moment;
    /// use lycheelock::workflow::RunProgress;
    ///
    /// let at = |second: u64| Moment::from_micros(second * 1_000_000);
    /// let mut progress = RunProgress::default();
    /// progress.record(7, 40, at(1));
    /// assert_eq!(progress.record(7, 40, at(2)), at(1));
    /// assert_eq!(progress.record(7, 41, at(3)), at(3));
    /// ```
    pub fn record(&mut self, run: u64, percent: u8, now: Moment) -> Moment {
        if (run, percent) != (self.run, self.percent) {
            *self = Self {
                run,
                percent,
                since: now,
            };
        }
        self.since
    }
}

/// One task of a job.
#[derive(Debug, Clone)]
pub struct Task {
    /// The job of the task.
    pub workflow: WorkflowKey,
    /// The name of the task.
    pub name: TaskName,
    /// The stage that the task is in.
    pub stage: Stage,
    /// The number of the last run; 0 before the first.
    pub run: u64,
    /// Whether a former owner, or the owner of another shard, may have run the task.
    pub former_run: bool,
    /// The runs that failed, kept because a worker may report their ends again.
    pub failed: Vec<u64>,
    /// The crashes of workers under the task.
    pub crashes: CrashRecord,
    /// For how long the current run is known to have survived on its worker.
    pub survived: Duration,
    /// Whether the worker is known to have begun the current run: it answered the start
    /// order so, or a report listed the run.
    pub begun: bool,
    /// The end of the lease in the start order, in milliseconds of the worker's clock;
    /// absent until the order is sent.
    pub lease_end: Option<u64>,
    /// The number of copies of the current run's start order that got no answer. Each may
    /// still be carried out.
    pub unanswered_copies: u32,
    /// When the last copy of that order was sent.
    pub last_copy: Moment,
    /// The last checkpoint of the task; empty if there is none.
    pub checkpoint: String,
    /// Since when the task has been in its stage.
    pub since: Moment,
    /// Since when the task may start.
    pub ready: Moment,
    /// The speed to which the task is throttled, in percent of full speed.
    pub speed: u8,
    /// The highest speed of the current run, in percent of full speed.
    pub allowed_speed: u8,
    /// When the speed of the current run was last ordered: when the order was sent or, until
    /// then, queued. The start of a run orders full speed.
    pub speed_ordered: Moment,
    /// Whether the order of the current run's speed has yet to be sent.
    pub speed_pending: bool,
    /// Whether a former owner may have ordered a lower speed of the current run, and no
    /// report has shown yet that the run is faster.
    pub speed_unknown: bool,
    /// The progress of the current run.
    pub progress: RunProgress,
    /// The task restarts only once the store has confirmed the ownership after this
    /// moment: until then a newer owner could have renewed the run that seems lost.
    pub restart_gate: Moment,
    /// Until when the task does not restart, as its last run may have crashed its worker.
    pub held_until: Moment,
    /// Whether the worker has confirmed the order that led to the task's stage, or no copy
    /// of it can have an effect any more.
    pub confirmed: bool,
}

impl Task {
    /// Whether the task has had a run, or may have had one under another owner.
    pub(crate) const fn has_run(&self) -> bool {
        self.run > 0 || self.former_run
    }
}

/// One occurrence of a job: its steps run once. A job without a recurrence has one.
#[derive(Debug, Clone)]
pub struct Occurrence {
    /// The moment from which the occurrence may start.
    pub due: Moment,
    /// The tasks of each step.
    pub tasks: Vec<Vec<TaskKey>>,
    /// The number of tasks of each step that are not done.
    pub remaining: Vec<u32>,
}

/// A job in the ledger; it stays there until its end is stored and no run is left.
#[derive(Debug, Clone)]
pub struct ActiveWorkflow {
    /// The id of the job.
    pub id: WorkflowId,
    /// The job's queue with its current settings.
    pub queue: Arc<Queue>,
    /// The job as the caller submitted it.
    pub spec: Arc<Workflow>,
    /// The store's revision at which the job was accepted.
    pub revision: u64,
    /// How often the job was moved to another shard.
    pub moves: u32,
    /// The highest run number that its tasks had before it was moved to this shard; 0 if it never
    /// was.
    pub last_run: u64,
    /// The revision of the job's record, which is written when the job starts.
    pub record_revision: u64,
    /// When the job was accepted.
    pub accepted: Moment,
    /// The state of the job.
    pub state: WorkflowState,
    /// The occurrences whose tasks were created so far.
    pub occurrences: Vec<Occurrence>,
    /// When each occurrence is due, including those that were created.
    pub due_times: Vec<Moment>,
}

impl ActiveWorkflow {
    /// Returns the step of a task.
    pub fn step(&self, name: TaskName) -> &Step {
        &self.spec.steps[name.step as usize]
    }

    /// Returns when the job should have ended by the latency target and the stretch of its
    /// queue.
    pub fn objective(&self) -> Moment {
        self.accepted + self.allowed()
    }

    /// Returns the time that the job may take by the latency target and the stretch of
    /// its queue.
    pub(crate) fn allowed(&self) -> Duration {
        self.queue.latency_target + self.spec.critical_path().mul_f64(self.queue.stretch)
    }

    /// Returns when the result of the job is of no more use to the caller; absent for
    /// recurring jobs and for jobs with long-running tasks.
    pub(crate) fn overdue(&self) -> Option<Moment> {
        let long_running = self.spec.steps.iter().any(|step| step.long_running);
        let runs_once = self.spec.recurrence.is_none() && !long_running;
        runs_once.then(|| self.accepted + self.allowed() * OVERDUE_FACTOR)
    }
}

/// How an event changes the state of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobTransition {
    /// The job has not ended by this event.
    Unchanged,
    /// The job has ended by this event, in this state.
    Ended(WorkflowState),
}

/// The jobs and tasks of one shard.
#[derive(Debug, Default)]
pub struct Ledger {
    /// The jobs that have not ended, and ended ones until they are forgotten.
    pub workflows: SlotMap<WorkflowKey, ActiveWorkflow>,
    /// The tasks of these jobs.
    pub tasks: SlotMap<TaskKey, Task>,
    by_id: HashMap<WorkflowId, WorkflowKey>,
    /// The number of tasks of each job that a worker may be running.
    live: SecondaryMap<WorkflowKey, usize>,
}

impl Ledger {
    /// Adds a job. [`Ledger::unblock`] creates its tasks when they are due.
    pub fn add(&mut self, workflow: ActiveWorkflow) -> WorkflowKey {
        let id = workflow.id;
        let key = self.workflows.insert(workflow);
        self.by_id.insert(id, key);
        key
    }

    /// Returns the job with this id.
    pub fn find(&self, id: WorkflowId) -> Option<WorkflowKey> {
        self.by_id.get(&id).copied()
    }

    /// Returns the task with this name, if its occurrence was created.
    pub fn find_task(&self, name: TaskName) -> Option<TaskKey> {
        let workflow = self.workflows.get(self.find(name.workflow)?)?;
        let occurrence = workflow.occurrences.get(name.occurrence as usize)?;
        let step = occurrence.tasks.get(name.step as usize)?;
        step.get(name.index as usize).copied()
    }

    /// Removes a job that has ended, with its tasks.
    pub fn forget(&mut self, key: WorkflowKey) {
        let Some(workflow) = self.workflows.remove(key) else {
            return;
        };
        self.by_id.remove(&workflow.id);
        self.live.remove(key);
        for task in workflow
            .occurrences
            .iter()
            .flat_map(|occurrence| occurrence.tasks.iter().flatten())
        {
            self.tasks.remove(*task);
        }
    }

    /// Creates the occurrences that are due and returns the tasks that may start now.
    /// New tasks are [`Stage::Recovering`] if a former owner may have started them.
    pub fn unblock(&mut self, key: WorkflowKey, recovering: bool, now: Moment) -> Vec<TaskKey> {
        let Some(workflow) = self.workflows.get(key) else {
            return Vec::new();
        };
        if workflow.state.is_final() {
            return Vec::new();
        }
        let first = workflow.occurrences.len();
        let due = workflow.due_times[first..]
            .iter()
            .take_while(|due| **due <= now);
        for number in first..first + due.count() {
            self.create_occurrence(key, number, recovering, now);
        }
        self.unblock_steps(key, now)
    }

    /// Returns when the next occurrence of a job becomes due.
    pub fn next_due(&self, key: WorkflowKey) -> Option<Moment> {
        let workflow = self.workflows.get(key)?;
        let live = !workflow.state.is_final();
        live.then(|| workflow.due_times.get(workflow.occurrences.len()).copied())?
    }

    fn create_started_occurrences(
        &mut self,
        key: WorkflowKey,
        progress: &Progress,
        recovering: bool,
        now: Moment,
    ) {
        let workflow = &self.workflows[key];
        let records = progress.tasks.iter();
        let last = records.map(|record| record.occurrence as usize).max();
        let started = last
            .map_or(0, |last| last + 1)
            .min(workflow.due_times.len());
        for number in workflow.occurrences.len()..started {
            self.create_occurrence(key, number, recovering, now);
        }
    }

    fn create_occurrence(
        &mut self,
        key: WorkflowKey,
        number: usize,
        recovering: bool,
        now: Moment,
    ) {
        let workflow = &self.workflows[key];
        let spec = workflow.spec.clone();
        // Starts are not stored, so the stored state does not tell whether a former owner began one.
        let former_run = recovering || workflow.last_run > 0;
        let (id, due) = (workflow.id, workflow.due_times[number]);
        let stage = if recovering {
            Stage::Recovering
        } else {
            Stage::Blocked
        };
        let mut tasks = Vec::with_capacity(spec.steps.len());
        for (step, step_spec) in spec.steps.iter().enumerate() {
            let keys = (0..step_spec.count).map(|index| {
                let name = TaskName {
                    workflow: id,
                    occurrence: number as u32,
                    step: step as u32,
                    index,
                };
                self.tasks.insert(Task {
                    workflow: key,
                    name,
                    stage,
                    run: 0,
                    former_run,
                    failed: Vec::new(),
                    crashes: CrashRecord::default(),
                    survived: Duration::ZERO,
                    begun: false,
                    lease_end: None,
                    unanswered_copies: 0,
                    last_copy: Moment::default(),
                    checkpoint: String::new(),
                    since: now,
                    ready: now,
                    speed: FULL_SPEED,
                    allowed_speed: FULL_SPEED,
                    speed_ordered: Moment::default(),
                    speed_pending: false,
                    speed_unknown: false,
                    progress: RunProgress::default(),
                    restart_gate: Moment::default(),
                    held_until: Moment::default(),
                    confirmed: false,
                })
            });
            tasks.push(keys.collect());
        }
        let remaining = spec.steps.iter().map(|step| step.count).collect();
        let occurrence = Occurrence {
            due,
            tasks,
            remaining,
        };
        self.workflows[key].occurrences.push(occurrence);
    }

    fn unblock_steps(&mut self, key: WorkflowKey, now: Moment) -> Vec<TaskKey> {
        let workflow = &self.workflows[key];
        let mut unblocked = Vec::new();
        for occurrence in &workflow.occurrences {
            for (number, step) in workflow.spec.steps.iter().enumerate() {
                let ready = step
                    .after
                    .iter()
                    .all(|before| occurrence.remaining[*before] == 0);
                if !ready {
                    continue;
                }
                for task in &occurrence.tasks[number] {
                    if self.tasks[*task].stage == Stage::Blocked {
                        unblocked.push(*task);
                    }
                }
            }
        }
        for task in &unblocked {
            self.set_stage(*task, Stage::Waiting, now);
        }
        unblocked
    }

    /// Moves a task to a stage.
    pub fn set_stage(&mut self, key: TaskKey, stage: Stage, now: Moment) {
        let task = &mut self.tasks[key];
        if let Some(live) = self.live.entry(task.workflow) {
            let live = live.or_default();
            *live += usize::from(stage.worker().is_some());
            *live -= usize::from(task.stage.worker().is_some());
        }
        let is_retry = matches!(task.stage, Stage::Starting(_)) && stage == Stage::Waiting;
        if stage == Stage::Waiting && !is_retry {
            task.ready = now;
        }
        task.stage = stage;
        task.since = now;
        task.confirmed = !matches!(stage, Stage::Starting(_) | Stage::Stopping(_));
    }

    /// Returns a task without a run to [`Stage::Blocked`]; the next [`Ledger::unblock`]
    /// lets it start again.
    pub fn requeue(&mut self, key: TaskKey, now: Moment) {
        self.set_stage(key, Stage::Blocked, now);
    }

    /// Records that a run of the task completed.
    pub fn finish(&mut self, key: TaskKey, now: Moment) -> JobTransition {
        let Task {
            workflow,
            name,
            stage,
            ..
        } = self.tasks[key];
        if stage == Stage::Done {
            return JobTransition::Unchanged;
        }
        self.set_stage(key, Stage::Done, now);
        let workflow = &mut self.workflows[workflow];
        workflow.occurrences[name.occurrence as usize].remaining[name.step as usize] -= 1;
        if workflow.state.is_final() || !all_done(workflow) {
            return JobTransition::Unchanged;
        }
        workflow.state = WorkflowState::Done;
        JobTransition::Ended(WorkflowState::Done)
    }

    /// Records that a run of the task failed. After as many failures as the queue allows,
    /// the job fails; a long-running task may fail any number of times.
    pub fn fail(&mut self, key: TaskKey, run: u64) -> JobTransition {
        let task = &mut self.tasks[key];
        let workflow = &mut self.workflows[task.workflow];
        if workflow.step(task.name).long_running || task.failed.contains(&run) {
            return JobTransition::Unchanged;
        }
        task.failed.push(run);
        let failures = task.failed.len() as u32;
        if failures < workflow.queue.attempts || workflow.state.is_final() {
            return JobTransition::Unchanged;
        }
        workflow.state = WorkflowState::Failed;
        JobTransition::Ended(WorkflowState::Failed)
    }

    /// Gives up a task: its job fails.
    pub fn give_up(&mut self, key: TaskKey) -> JobTransition {
        let workflow = &mut self.workflows[self.tasks[key].workflow];
        if workflow.state.is_final() {
            return JobTransition::Unchanged;
        }
        workflow.state = WorkflowState::Failed;
        JobTransition::Ended(WorkflowState::Failed)
    }

    /// Marks a job as cancelled.
    pub fn cancel(&mut self, key: WorkflowKey) {
        self.workflows[key].state = WorkflowState::Cancelled;
    }

    /// Returns the tasks of a job that a worker may be running.
    pub fn live_tasks(&self, key: WorkflowKey) -> impl Iterator<Item = TaskKey> + '_ {
        let tasks = self.all_tasks(key);
        tasks.filter(|task| self.tasks[*task].stage.worker().is_some())
    }

    /// Whether a job has no task that a worker may be running.
    pub fn is_idle(&self, key: WorkflowKey) -> bool {
        self.live.get(key).is_none_or(|live| *live == 0)
    }

    /// Returns all tasks of a job that were created.
    pub fn all_tasks(&self, key: WorkflowKey) -> impl Iterator<Item = TaskKey> + '_ {
        let occurrences = self
            .workflows
            .get(key)
            .into_iter()
            .flat_map(|workflow| &workflow.occurrences);
        occurrences.flat_map(|occurrence| occurrence.tasks.iter().flatten().copied())
    }

    /// Returns the progress of a job to be stored.
    pub fn progress(&self, key: WorkflowKey) -> Progress {
        let tasks = self.all_tasks(key).map(|task| &self.tasks[task]);
        let changed = tasks.filter(|task| {
            task.stage == Stage::Done
                || !task.failed.is_empty()
                || !task.checkpoint.is_empty()
                || !task.crashes.is_empty()
        });
        let records = changed.map(|task| TaskRecord {
            occurrence: task.name.occurrence,
            step: task.name.step,
            index: task.name.index,
            done: task.stage == Stage::Done,
            failed: task.failed.clone(),
            checkpoint: task.checkpoint.clone(),
            crashes: task.crashes.clone(),
        });
        Progress {
            tasks: records.collect(),
        }
    }

    /// Restores the progress that a former owner stored. Returns whether
    /// the job has ended by it. Occurrences with progress are created even if they are not
    /// due by this host's clock, as they were by the former owner's.
    pub fn restore(
        &mut self,
        key: WorkflowKey,
        progress: &Progress,
        recovering: bool,
        now: Moment,
    ) -> JobTransition {
        self.create_started_occurrences(key, progress, recovering, now);
        let mut transition = JobTransition::Unchanged;
        for record in &progress.tasks {
            let name = TaskName {
                workflow: self.workflows[key].id,
                occurrence: record.occurrence,
                step: record.step,
                index: record.index,
            };
            let Some(task) = self.find_task(name) else {
                continue;
            };
            self.tasks[task].failed.clone_from(&record.failed);
            self.tasks[task].checkpoint.clone_from(&record.checkpoint);
            self.tasks[task].crashes.clone_from(&record.crashes);
            if record.done {
                let ended = self.finish(task, now);
                transition = if ended == JobTransition::Unchanged {
                    transition
                } else {
                    ended
                };
            }
        }
        transition
    }
}

/// The speed of a task that is not throttled, in percent.
pub const FULL_SPEED: u8 = 100;

fn all_done(workflow: &ActiveWorkflow) -> bool {
    let all_created = workflow.occurrences.len() == workflow.due_times.len();
    let has_long_running = workflow.spec.steps.iter().any(|step| step.long_running);
    let mut remaining = workflow
        .occurrences
        .iter()
        .flat_map(|occurrence| &occurrence.remaining);
    all_created && !has_long_running && remaining.all(|remaining| *remaining == 0)
}

/// Returns when each occurrence of a job is due on this process's clock, if
/// `wall_clock` is the time since the Unix epoch at `now`.
pub fn due_times(workflow: &Workflow, wall_clock: Duration, now: Moment) -> Vec<Moment> {
    let Some(recurrence) = workflow.recurrence else {
        return vec![Moment::default()];
    };
    let due = |number: u32| recurrence.start + recurrence.interval * number;
    let on_clock = |due: Duration| match due.checked_sub(wall_clock) {
        Some(ahead) => now + ahead,
        None => Moment::default(),
    };
    (0..recurrence.times)
        .map(|number| on_clock(due(number)))
        .collect()
}
