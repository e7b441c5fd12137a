//! Tests of the scheduler in virtual time, with one shard and simulated worker
//! reports.

mod cold;
mod crashes;
mod data_racks;
mod delays;
mod ends;
mod evacuation;
mod exposure;
mod fences;
mod fuzz;
mod headroom;
mod idle_jobs;
mod interference;
mod late_orders;
mod moves;
mod overload;
mod peers;
mod placing;
mod restarts;
mod review_late_orders;
mod slow;
mod slow_share;
mod stored_state;
mod successors;
mod takeover;
mod throttle;
mod trials;
mod uncertain_crashes;
mod workers;

use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::fleet::{
    Availability, Capacity, EndedRun, LiveRun, Registration, RunOutcome, StartReply, WorkerKey,
    WorkerReport,
};
use crate::interference::Evidence;
use crate::moment::Moment;
use crate::routing::{Queue, Queues};
use crate::schedule::{Batch, Event, Order, RosterEntry, Scheduler, Term};
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

fn best_effort(count: u32, cores: u32, image: &str) -> Step {
    Step {
        best_effort: true,
        image: image.to_owned(),
        ..step(count, cores)
    }
}

fn active_workflow(id: u64, steps: Vec<Step>, revision: u64, priority: u32) -> ActiveWorkflow {
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
        moves: 0,
        last_run: 0,
        record_revision: revision,
        accepted: at(0),
        state: WorkflowState::Queued,
        occurrences: Vec::new(),
        due_times: vec![Moment::default()],
    }
}

/// The address of a worker; each id has its own.
fn address(id: &str) -> SocketAddr {
    let last = id.bytes().rev().take(2).collect::<Vec<u8>>();
    let previous = last.get(1).copied().unwrap_or_default();
    SocketAddr::from(([10, 0, previous, last[0]], 80))
}

fn registration(id: &str) -> Registration {
    Registration {
        id: id.to_owned(),
        incarnation: 1,
        pool: "pool".to_owned(),
        address: address(id),
        zone: "a".to_owned(),
        labels: vec!["kind".to_owned(), format!("rack-{id}")],
        capacity: Capacity {
            millicores: 8 * CORE,
            memory: 8000,
            accelerators: 0,
        },
        availability: Availability::Ready,
        remaining: None,
        cold_left: Duration::ZERO,
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

/// A scheduler under test, with its workers, its clock and its last orders.
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

    /// The first owner of a shard; all its workers have answered.
    fn first_owner(workers: &[&str]) -> Self {
        let term = Term {
            fence: FENCE,
            recovery_deadline: None,
            ..Term::default()
        };
        let mut shard = Self::new(term, workers);
        shard.scheduler.on_roster(Vec::new(), 0, at(0));
        shard.write();
        shard.report_all();
        shard
    }

    /// A later owner of a shard. The former owner used all of these workers, and
    /// none has answered yet.
    fn later_owner(workers: &[&str]) -> Self {
        let term = Term {
            fence: FENCE,
            recovery_deadline: Some(at(10_000)),
            ..Term::default()
        };
        let mut shard = Self::new(term, workers);
        let roster = workers.iter().map(|id| roster_entry(id, None)).collect();
        shard.scheduler.on_roster(roster, 0, at(0));
        shard
    }

    fn submit(&mut self, workflow: ActiveWorkflow) {
        self.restore(workflow, &[]);
    }

    fn restore(&mut self, workflow: ActiveWorkflow, records: &[TaskRecord]) {
        let progress = Progress {
            tasks: records.to_vec(),
        };
        self.scheduler
            .submit(workflow, Some(&progress), at(self.now));
    }

    fn write(&mut self) {
        let batch = self.scheduler.collect(true, at(self.now));
        self.scheduler.on_written(&batch);
    }

    fn plan(&mut self) {
        let now = at(self.now);
        self.plan_confirmed(now);
    }

    fn plan_confirmed(&mut self, confirmed: Moment) {
        self.scheduler.on_heartbeat(confirmed);
        self.orders = self.scheduler.plan(confirmed, at(self.now));
    }

    fn report(
        &mut self,
        worker: usize,
        running: &[(TaskName, u64)],
        ended: &[(u64, TaskName, u64, RunOutcome)],
    ) {
        self.report_with(
            worker,
            1,
            running.iter().map(|run| live(run.0, run.1, 0)).collect(),
            ended,
        );
    }

    /// Lets a worker answer a poll. If that shows a restart, it answers the next poll as well.
    fn report_with(
        &mut self,
        worker: usize,
        incarnation: u64,
        running: Vec<LiveRun>,
        ended: &[(u64, TaskName, u64, RunOutcome)],
    ) {
        let key = self.workers[worker];
        let known = self.scheduler.workers.get(key);
        let restarted = known.is_some_and(|known| known.registration.incarnation < incarnation);
        self.report_once(worker, incarnation, running.clone(), ended);
        if restarted {
            self.poll_with_new_fence(key);
            self.report_once(worker, incarnation, running, ended);
        }
    }

    /// Lets a worker answer a poll.
    fn report_once(
        &mut self,
        worker: usize,
        incarnation: u64,
        running: Vec<LiveRun>,
        ended: &[(u64, TaskName, u64, RunOutcome)],
    ) {
        let ended = ended.iter().map(|(number, task, run, outcome)| EndedRun {
            number: *number,
            task: *task,
            run: *run,
            outcome: *outcome,
            checkpoint: String::new(),
        });
        let report = WorkerReport {
            clock: 1_000_000 + self.now,
            incarnation,
            running,
            ended: ended.collect(),
        };
        let (now, key) = (at(self.now), self.workers[worker]);
        let known = self.scheduler.workers.get(key);
        let restarted = known.is_some_and(|known| known.registration.incarnation < incarnation);
        self.scheduler.on_report(key, now, &report, now);
        if restarted {
            self.read_registry();
        }
    }

    /// Lets the owner poll a worker that has restarted, with a fencing token above those of all
    /// orders to its former incarnation.
    fn poll_with_new_fence(&mut self, key: WorkerKey) {
        let newest = self.scheduler.fence + 1;
        self.scheduler.on_owned_write(newest);
        self.scheduler.poll_order(key, false, at(self.now));
        assert!(self.scheduler.workers[key].fences.is_settled());
    }

    /// Lets the owner read the registry, which shows the workers as they have reported.
    fn read_registry(&mut self) {
        let workers = self.scheduler.workers.values();
        let listed = workers.filter(|worker| worker.listed);
        let entries = listed.map(|worker| worker.registration.clone()).collect();
        self.scheduler.on_registry(entries, at(self.now));
    }

    fn report_all(&mut self) {
        for worker in 0..self.workers.len() {
            self.report(worker, &[], &[]);
        }
    }

    /// Confirms all ordered starts. Returns the index of the worker, the task and
    /// the run of each, in the order of the orders.
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
            let index = self.workers.iter().position(|key| *key == worker).unwrap();
            runs.push((index, sent.task, run));
        }
        runs
    }

    /// Returns the speeds that the last pass ordered.
    fn speeds(&self) -> Vec<(TaskName, u8)> {
        let speeds = self.orders.iter().filter_map(|(_, order)| match order {
            Order::Throttle(run, speed) => Some((run.task, *speed)),
            Order::Start { .. } | Order::Stop(_) => None,
        });
        speeds.collect()
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

    /// The orders of the last pass, one per line.
    fn orders(&self) -> String {
        let mut text = String::new();
        for (worker, order) in &self.orders {
            let worker = &self.scheduler.workers[*worker].registration.id;
            let line = match order {
                Order::Start { task, run } => {
                    let task = self.scheduler.ledger.tasks[*task].name;
                    format!("{worker}: start {task} run {run}")
                }
                Order::Stop(stop) => format!("{worker}: stop {} run {}", stop.task, stop.run),
                Order::Throttle(run, percent) => {
                    format!("{worker}: throttle {} at {percent}", run.task)
                }
            };
            writeln!(text, "{line}").unwrap();
        }
        text
    }

    /// The numbers of released and of kept tasks of each finished recovery.
    fn recoveries(&mut self) -> Vec<(usize, usize)> {
        let events = self.scheduler.take_events();
        let recoveries = events.into_iter().filter_map(|event| match event {
            Event::RecoveryFinished { tasks, kept, .. } => Some((tasks, kept)),
            _ => None,
        });
        recoveries.collect()
    }
}

/// The ids of the workers in the roster that a batch writes.
fn roster_ids(batch: Batch) -> Vec<String> {
    let roster = batch.roster.expect("the roster has changed");
    roster.into_iter().map(|entry| entry.id).collect()
}

/// Evidence of a former owner with these log odds.
fn stored(log_odds: f64) -> Evidence {
    Evidence {
        log_odds,
        ..Evidence::default()
    }
}

fn live(task: TaskName, run: u64, measurement: u32) -> LiveRun {
    LiveRun {
        task,
        run,
        checkpoint: String::new(),
        progress: 100,
        measurement,
    }
}

fn roster_entry(id: &str, closed: Option<Vec<TaskName>>) -> RosterEntry {
    RosterEntry {
        id: id.to_owned(),
        address: address(id).to_string(),
        zone: "a".to_owned(),
        closed,
        lease_left: None,
        overlong_left: None,
        incarnation: None,
    }
}
