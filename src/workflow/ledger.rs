//! The jobs of one shard, and what each of their tasks is doing.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use super::{Progress, Step, TaskName, TaskRecord, Workflow, WorkflowId, WorkflowState};
use crate::fleet::WorkerKey;
use crate::moment::Moment;
use crate::routing::Queue;

new_key_type! {
    /// A job in the arena.
    pub struct FlowKey;
    /// A task in the arena.
    pub struct TaskKey;
}

/// What a task is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Its time or the end of earlier steps has not come.
    Blocked,
    /// It may start.
    Waiting,
    /// A former owner may have started it somewhere.
    Unsettled,
    /// A worker was told to start it and has not confirmed it.
    Starting(WorkerKey),
    /// A worker runs it.
    Running(WorkerKey),
    /// A worker was told to stop it and has not listed the end.
    Stopping(WorkerKey),
    /// It ended well.
    Done,
}

impl Stage {
    /// The worker that may be running it.
    pub const fn worker(self) -> Option<WorkerKey> {
        match self {
            Self::Starting(worker) | Self::Running(worker) | Self::Stopping(worker) => Some(worker),
            Self::Blocked | Self::Waiting | Self::Unsettled | Self::Done => None,
        }
    }
}

/// How far a run is, and since when.
#[derive(Debug, Clone, Copy, Default)]
pub struct RunProgress {
    run: u64,
    percent: u8,
    since: Moment,
}

impl RunProgress {
    /// Takes in a report of a run. Returns when the run was first seen this far.
    ///
    /// ```
    /// use lycheelock::moment::Moment;
    /// use lycheelock::workflow::RunProgress;
    ///
    /// let at = |second: u64| Moment::from_micros(second * 1_000_000);
    /// let mut progress = RunProgress::default();
    /// progress.note(7, 40, at(1));
    /// assert_eq!(progress.note(7, 40, at(2)), at(1));
    /// assert_eq!(progress.note(7, 41, at(3)), at(3));
    /// ```
    pub fn note(&mut self, run: u64, percent: u8, now: Moment) -> Moment {
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

/// One task.
#[derive(Debug, Clone)]
pub struct Task {
    /// Its job.
    pub flow: FlowKey,
    /// Its name.
    pub name: TaskName,
    /// What it is doing.
    pub stage: Stage,
    /// The number of its last start; 0 before the first.
    pub run: u64,
    /// The runs that failed; a worker may list their ends again.
    pub failed: Vec<u64>,
    /// The end of the lease that its start was sent with, on the worker's clock.
    pub until: Option<u64>,
    /// The last checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Since when it has been in this stage.
    pub since: Moment,
    /// Since when it may start.
    pub ready: Moment,
    /// The share of its speed that it may work at, in percent.
    pub pace: u8,
    /// How far its current run is.
    pub progress: RunProgress,
    /// It starts again only once the store has confirmed the ownership after
    /// this moment: a newer owner could have prolonged the run believed lost.
    pub gate: Moment,
    /// Whether the worker has confirmed the order that led to this stage.
    pub confirmed: bool,
}

/// One repetition of a job's steps.
#[derive(Debug, Clone)]
pub struct Occurrence {
    /// When it may start.
    pub due: Moment,
    /// The tasks of each step.
    pub tasks: Vec<Vec<TaskKey>>,
    /// How many tasks of each step are not done.
    pub left: Vec<u32>,
}

/// One job.
#[derive(Debug, Clone)]
pub struct Flow {
    /// Its id.
    pub id: WorkflowId,
    /// The terms of its queue.
    pub queue: Arc<Queue>,
    /// What the caller asked for.
    pub workflow: Arc<Workflow>,
    /// The revision of the store at which it was accepted.
    pub revision: u64,
    /// The revision of its record, which is written when it starts.
    pub record: u64,
    /// When it was accepted.
    pub accepted: Moment,
    /// Where it stands.
    pub state: WorkflowState,
    /// The repetitions that were laid out so far.
    pub occurrences: Vec<Occurrence>,
    /// When each further repetition is due.
    pub dues: Vec<Moment>,
}

impl Flow {
    /// The step of a task.
    pub fn step(&self, name: TaskName) -> &Step {
        &self.workflow.steps[name.step as usize]
    }

    /// When the caller expects the job to have ended.
    pub fn objective(&self) -> Moment {
        self.accepted + self.queue.target + self.workflow.chain().mul_f64(self.queue.stretch)
    }
}

/// What the end of a run means for its job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The job goes on.
    GoesOn,
    /// The job has ended in this state.
    Ended(WorkflowState),
}

/// The jobs and tasks of one shard.
#[derive(Debug, Default)]
pub struct Ledger {
    /// All jobs that have not been forgotten.
    pub flows: SlotMap<FlowKey, Flow>,
    /// Their tasks.
    pub tasks: SlotMap<TaskKey, Task>,
    by_id: HashMap<WorkflowId, FlowKey>,
}

impl Ledger {
    /// Adds a job. Its tasks are laid out by [`Ledger::unblock`] when they are due.
    pub fn add(&mut self, flow: Flow) -> FlowKey {
        let id = flow.id;
        let key = self.flows.insert(flow);
        self.by_id.insert(id, key);
        key
    }

    /// The job of this id.
    pub fn find(&self, id: WorkflowId) -> Option<FlowKey> {
        self.by_id.get(&id).copied()
    }

    /// The task of this name, if its repetition was laid out.
    pub fn find_task(&self, name: TaskName) -> Option<TaskKey> {
        let flow = self.flows.get(self.find(name.workflow)?)?;
        let occurrence = flow.occurrences.get(name.occurrence as usize)?;
        let step = occurrence.tasks.get(name.step as usize)?;
        step.get(name.index as usize).copied()
    }

    /// Forgets a job that has ended.
    pub fn forget(&mut self, key: FlowKey) {
        let Some(flow) = self.flows.remove(key) else {
            return;
        };
        self.by_id.remove(&flow.id);
        for task in flow
            .occurrences
            .iter()
            .flat_map(|run| run.tasks.iter().flatten())
        {
            self.tasks.remove(*task);
        }
    }

    /// Lays out the repetitions that are due and returns the tasks that may
    /// start now. Tasks of a job that a former owner had are left `Unsettled`.
    pub fn unblock(&mut self, key: FlowKey, unsettled: bool, now: Moment) -> Vec<TaskKey> {
        let Some(flow) = self.flows.get(key) else {
            return Vec::new();
        };
        if flow.state.is_final() {
            return Vec::new();
        }
        let first = flow.occurrences.len();
        let due = flow.dues[first..].iter().take_while(|due| **due <= now);
        for number in first..first + due.count() {
            self.lay_out(key, number, unsettled, now);
        }
        self.open_steps(key, now)
    }

    /// The next moment at which a repetition becomes due.
    pub fn next_due(&self, key: FlowKey) -> Option<Moment> {
        let flow = self.flows.get(key)?;
        let live = !flow.state.is_final();
        live.then(|| flow.dues.get(flow.occurrences.len()).copied())?
    }

    fn lay_out(&mut self, key: FlowKey, number: usize, unsettled: bool, now: Moment) {
        let flow = &self.flows[key];
        let workflow = flow.workflow.clone();
        let (id, due) = (flow.id, flow.dues[number]);
        let stage = if unsettled {
            Stage::Unsettled
        } else {
            Stage::Blocked
        };
        let mut tasks = Vec::with_capacity(workflow.steps.len());
        for (step, spec) in workflow.steps.iter().enumerate() {
            let keys = (0..spec.count).map(|index| {
                let name = TaskName {
                    workflow: id,
                    occurrence: number as u32,
                    step: step as u32,
                    index,
                };
                self.tasks.insert(Task {
                    flow: key,
                    name,
                    stage,
                    run: 0,
                    failed: Vec::new(),
                    until: None,
                    checkpoint: String::new(),
                    since: now,
                    ready: now,
                    pace: FULL_SPEED,
                    progress: RunProgress::default(),
                    gate: Moment::default(),
                    confirmed: false,
                })
            });
            tasks.push(keys.collect());
        }
        let left = workflow.steps.iter().map(|step| step.count).collect();
        let occurrence = Occurrence { due, tasks, left };
        self.flows[key].occurrences.push(occurrence);
    }

    fn open_steps(&mut self, key: FlowKey, now: Moment) -> Vec<TaskKey> {
        let flow = &self.flows[key];
        let mut opened = Vec::new();
        for occurrence in &flow.occurrences {
            for (number, step) in flow.workflow.steps.iter().enumerate() {
                let open = step
                    .after
                    .iter()
                    .all(|before| occurrence.left[*before] == 0);
                if !open {
                    continue;
                }
                for task in &occurrence.tasks[number] {
                    if self.tasks[*task].stage == Stage::Blocked {
                        opened.push(*task);
                    }
                }
            }
        }
        for task in &opened {
            self.enter(*task, Stage::Waiting, now);
        }
        opened
    }

    /// Puts a task into a stage.
    pub fn enter(&mut self, key: TaskKey, stage: Stage, now: Moment) {
        let task = &mut self.tasks[key];
        let again = matches!(task.stage, Stage::Starting(_)) && stage == Stage::Waiting;
        if stage == Stage::Waiting && !again {
            task.ready = now;
        }
        task.stage = stage;
        task.since = now;
        task.confirmed = !matches!(stage, Stage::Starting(_) | Stage::Stopping(_));
    }

    /// Settles a task of which no run can exist any more.
    pub fn release(&mut self, key: TaskKey, now: Moment) {
        self.enter(key, Stage::Blocked, now);
    }

    /// Notes that a run of the task ended well.
    pub fn finish(&mut self, key: TaskKey, now: Moment) -> Verdict {
        let Task {
            flow, name, stage, ..
        } = self.tasks[key];
        if stage == Stage::Done {
            return Verdict::GoesOn;
        }
        self.enter(key, Stage::Done, now);
        let flow = &mut self.flows[flow];
        flow.occurrences[name.occurrence as usize].left[name.step as usize] -= 1;
        if flow.state.is_final() || !all_done(flow) {
            return Verdict::GoesOn;
        }
        flow.state = WorkflowState::Done;
        Verdict::Ended(WorkflowState::Done)
    }

    /// Counts that a run of the task failed by itself.
    pub fn fail(&mut self, key: TaskKey, run: u64) -> Verdict {
        let task = &mut self.tasks[key];
        let flow = &mut self.flows[task.flow];
        if flow.step(task.name).lasting || task.failed.contains(&run) {
            return Verdict::GoesOn;
        }
        task.failed.push(run);
        let failures = task.failed.len() as u32;
        if failures < flow.queue.attempts || flow.state.is_final() {
            return Verdict::GoesOn;
        }
        flow.state = WorkflowState::Failed;
        Verdict::Ended(WorkflowState::Failed)
    }

    /// Ends a job early.
    pub fn cancel(&mut self, key: FlowKey) {
        self.flows[key].state = WorkflowState::Cancelled;
    }

    /// The tasks of a job that a worker may be running.
    pub fn live_tasks(&self, key: FlowKey) -> impl Iterator<Item = TaskKey> + '_ {
        let tasks = self.all_tasks(key);
        tasks.filter(|task| self.tasks[*task].stage.worker().is_some())
    }

    /// Whether no worker may be running a task of a job.
    pub fn is_idle(&self, key: FlowKey) -> bool {
        self.live_tasks(key).next().is_none()
    }

    /// All tasks of a job that were laid out.
    pub fn all_tasks(&self, key: FlowKey) -> impl Iterator<Item = TaskKey> + '_ {
        let occurrences = self
            .flows
            .get(key)
            .into_iter()
            .flat_map(|flow| &flow.occurrences);
        occurrences.flat_map(|run| run.tasks.iter().flatten().copied())
    }

    /// What must be kept of a job's progress.
    pub fn progress(&self, key: FlowKey) -> Progress {
        let tasks = self.all_tasks(key).map(|task| &self.tasks[task]);
        let touched = tasks.filter(|task| {
            task.stage == Stage::Done || !task.failed.is_empty() || !task.checkpoint.is_empty()
        });
        let records = touched.map(|task| TaskRecord {
            occurrence: task.name.occurrence,
            step: task.name.step,
            index: task.name.index,
            done: task.stage == Stage::Done,
            failed: task.failed.clone(),
            checkpoint: task.checkpoint.clone(),
        });
        Progress {
            tasks: records.collect(),
        }
    }

    /// Takes up the progress that a former owner kept. Returns whether the job has ended.
    pub fn restore(&mut self, key: FlowKey, progress: &Progress, now: Moment) -> Verdict {
        let mut verdict = Verdict::GoesOn;
        for record in &progress.tasks {
            let name = TaskName {
                workflow: self.flows[key].id,
                occurrence: record.occurrence,
                step: record.step,
                index: record.index,
            };
            let Some(task) = self.find_task(name) else {
                continue;
            };
            self.tasks[task].failed.clone_from(&record.failed);
            self.tasks[task].checkpoint.clone_from(&record.checkpoint);
            if record.done {
                let ended = self.finish(task, now);
                verdict = if ended == Verdict::GoesOn {
                    verdict
                } else {
                    ended
                };
            }
        }
        verdict
    }
}

/// The speed of a task that is not slowed down, in percent.
pub const FULL_SPEED: u8 = 100;

fn all_done(flow: &Flow) -> bool {
    let laid_out = flow.occurrences.len() == flow.dues.len();
    let lasting = flow.workflow.steps.iter().any(|step| step.lasting);
    let mut left = flow.occurrences.iter().flat_map(|run| &run.left);
    laid_out && !lasting && left.all(|left| *left == 0)
}

/// When each repetition of a job is due on this process's clock, if the time
/// of day is `wall` (since 1970) at `now`.
pub fn dues(workflow: &Workflow, wall: Duration, now: Moment) -> Vec<Moment> {
    let Some(recurrence) = workflow.recurrence else {
        return vec![Moment::default()];
    };
    let due = |number: u32| recurrence.start + recurrence.interval * number;
    let on_clock = |due: Duration| match due.checked_sub(wall) {
        Some(ahead) => now + ahead,
        None => Moment::default(),
    };
    (0..recurrence.times)
        .map(|number| on_clock(due(number)))
        .collect()
}
