//! The scheduler in virtual time: a shard with a few workers, and what they say.

mod ends;
mod fills;
mod placing;
mod takeover;
mod workers;

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use crate::fleet::{
    Availability, Capacity, EndedRun, LiveRun, Registration, RunOutcome, StartReply, WorkerKey,
    WorkerReport,
};
use crate::moment::Moment;
use crate::routing::{Queue, Queues};
use crate::schedule::{Batch, Note, Order, RosterEntry, Scheduler, Term};
use crate::workflow::{
    ActiveWorkflow, Progress, Stage, Step, TaskKey, TaskName, TaskRecord, Workflow, WorkflowId,
    WorkflowState,
};

const FENCE: u64 = 100;
const CORE: u32 = 1000;

fn at(millis: u64) -> Moment {
    Moment::from_micros(millis * 1000)
}

fn step(count: u32, cores: u32) -> Step {
    Step {
        count,
        need: Capacity {
            millicores: cores * CORE,
            memory: 100,
            accelerators: 0,
        },
        estimate: Duration::from_secs(1),
        ..Step::default()
    }
}

fn serving(count: u32, cores: u32, image: &str) -> Step {
    Step {
        long_running: true,
        image: image.to_owned(),
        tail_target: Some(Duration::from_millis(20)),
        ..step(count, cores)
    }
}

fn filling(count: u32, cores: u32, image: &str) -> Step {
    Step {
        best_effort: true,
        image: image.to_owned(),
        ..step(count, cores)
    }
}

fn flow(id: u64, steps: Vec<Step>, revision: u64, priority: u32) -> ActiveWorkflow {
    ActiveWorkflow {
        id: WorkflowId(id),
        queue: Arc::new(Queue {
            name: "queue".to_owned(),
            pool: "pool".to_owned(),
            priority,
            attempts: 2,
            stretch: 2.0,
            ..Queue::default()
        }),
        spec: Arc::new(Workflow {
            steps,
            ..Workflow::default()
        }),
        revision,
        record_revision: revision,
        accepted: at(0),
        state: WorkflowState::Queued,
        occurrences: Vec::new(),
        due_times: vec![Moment::default()],
    }
}

fn registration(id: &str) -> Registration {
    Registration {
        id: id.to_owned(),
        incarnation: 1,
        pool: "pool".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        zone: "a".to_owned(),
        labels: vec!["kind".to_owned(), format!("rack-{id}")],
        capacity: Capacity {
            millicores: 8 * CORE,
            memory: 8000,
            accelerators: 0,
        },
        availability: Availability::Ready,
        remaining: None,
    }
}

fn name(id: u64, step: u32, index: u32) -> TaskName {
    TaskName {
        workflow: WorkflowId(id),
        occurrence: 0,
        step,
        index,
    }
}

/// A shard under test.
struct Shard {
    scheduler: Scheduler,
    workers: Vec<WorkerKey>,
    now: u64,
    orders: Vec<(WorkerKey, Order)>,
}

impl Shard {
    fn new(term: Term, workers: &[&str]) -> Self {
        let mut scheduler = Scheduler::new(term);
        let entries = workers.iter().map(|id| registration(id)).collect();
        let workers = scheduler.on_registry(entries, at(0));
        Self {
            scheduler,
            workers,
            now: 0,
            orders: Vec::new(),
        }
    }

    /// A first owner whose workers have all answered.
    fn first(workers: &[&str]) -> Self {
        let term = Term {
            fence: FENCE,
            settles: None,
        };
        let mut shard = Self::new(term, workers);
        shard.scheduler.on_roster(Vec::new(), at(0));
        shard.write();
        shard.look_at_all();
        shard
    }

    /// An owner after another one that used all of these workers.
    fn later(workers: &[&str]) -> Self {
        let term = Term {
            fence: FENCE,
            settles: Some(at(10_000)),
        };
        let mut shard = Self::new(term, workers);
        let roster = workers.iter().map(|id| roster_entry(id, None)).collect();
        shard.scheduler.on_roster(roster, at(0));
        shard
    }

    fn submit(&mut self, flow: ActiveWorkflow) {
        self.restore(flow, &[]);
    }

    fn restore(&mut self, flow: ActiveWorkflow, records: &[TaskRecord]) {
        let progress = Progress {
            tasks: records.to_vec(),
        };
        self.scheduler.submit(flow, Some(&progress), at(self.now));
    }

    fn write(&mut self) {
        let batch = self.scheduler.collect(true, at(self.now));
        self.scheduler.on_written(&batch, true);
    }

    fn plan(&mut self) {
        let now = at(self.now);
        self.plan_confirmed(now);
    }

    fn plan_confirmed(&mut self, confirmed: Moment) {
        self.orders = self.scheduler.plan(confirmed, at(self.now));
    }

    fn look(
        &mut self,
        worker: usize,
        running: &[(TaskName, u64)],
        ended: &[(u64, TaskName, u64, RunOutcome)],
    ) {
        self.look_with(
            worker,
            1,
            running.iter().map(|run| live(run.0, run.1, 0)).collect(),
            ended,
        );
    }

    fn look_with(
        &mut self,
        worker: usize,
        born: u64,
        running: Vec<LiveRun>,
        ended: &[(u64, TaskName, u64, RunOutcome)],
    ) {
        let ended = ended.iter().map(|(number, task, run, ending)| EndedRun {
            number: *number,
            task: *task,
            run: *run,
            outcome: *ending,
            checkpoint: String::new(),
        });
        let look = WorkerReport {
            clock: 1_000_000 + self.now,
            incarnation: born,
            running,
            ended: ended.collect(),
        };
        let now = at(self.now);
        self.scheduler
            .on_look(self.workers[worker], now, &look, now);
    }

    fn look_at_all(&mut self) {
        for worker in 0..self.workers.len() {
            self.look(worker, &[], &[]);
        }
    }

    /// Confirms every start that was ordered. Returns the runs in order.
    fn confirm(&mut self) -> Vec<(usize, TaskName, u64)> {
        let mut runs = Vec::new();
        for (worker, order) in std::mem::take(&mut self.orders) {
            let Order::Start { task, run } = order else {
                continue;
            };
            let now = at(self.now);
            let sent = self
                .scheduler
                .start_order(worker, task, run, now)
                .expect("the start is wanted");
            self.scheduler
                .on_start(worker, task, run, StartReply::Running, now);
            let place = self.workers.iter().position(|key| *key == worker).unwrap();
            runs.push((place, sent.task, run));
        }
        runs
    }

    fn task(&self, task: TaskName) -> TaskKey {
        self.scheduler
            .ledger
            .find_task(task)
            .expect("the task is known")
    }

    fn stage(&self, task: TaskName) -> Stage {
        self.scheduler.ledger.tasks[self.task(task)].stage
    }

    /// The orders of the last pass, one a line.
    fn orders(&self) -> String {
        let mut text = String::new();
        for (worker, order) in &self.orders {
            let worker = &self.scheduler.workers[*worker].entry.id;
            let line = match order {
                Order::Start { task, run } => {
                    let task = self.scheduler.ledger.tasks[*task].name;
                    format!("{worker}: start {task} run {run}")
                }
                Order::Stop(stop) => format!("{worker}: stop {} run {}", stop.task, stop.run),
                Order::Pace(run, percent) => format!("{worker}: pace {} at {percent}", run.task),
            };
            writeln!(text, "{line}").unwrap();
        }
        text
    }

    fn settled(&mut self) -> Vec<(usize, usize)> {
        let notes = self.scheduler.take_notes();
        let settled = notes.into_iter().filter_map(|note| match note {
            Note::Settled { tasks, kept, .. } => Some((tasks, kept)),
            _ => None,
        });
        settled.collect()
    }
}

/// The workers in the roster that a batch writes.
fn roster_ids(batch: Batch) -> Vec<String> {
    let roster = batch.roster.expect("the roster has changed");
    roster.into_iter().map(|entry| entry.id).collect()
}

fn live(task: TaskName, run: u64, figure: u32) -> LiveRun {
    LiveRun {
        task,
        run,
        checkpoint: String::new(),
        progress: 100,
        measurement: figure,
    }
}

fn roster_entry(id: &str, closed: Option<Vec<TaskName>>) -> RosterEntry {
    RosterEntry {
        id: id.to_owned(),
        address: "10.0.0.1:80".to_owned(),
        zone: "a".to_owned(),
        closed,
    }
}
