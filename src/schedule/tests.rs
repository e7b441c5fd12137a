//! The scheduler in virtual time: a shard with a few workers, and what they say.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use super::{Note, Order, RosterEntry, Scheduler, Term};
use crate::fleet::{
    Capacity, EndedRun, Ending, LiveRun, Look, Registration, Standing, StartReply, WorkerKey,
};
use crate::moment::Moment;
use crate::routing::{Queue, Queues};
use crate::workflow::{
    Flow, Progress, Stage, Step, TaskKey, TaskName, TaskRecord, Workflow, WorkflowId, WorkflowState,
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
        lasting: true,
        image: image.to_owned(),
        tail_target: Some(Duration::from_millis(20)),
        ..step(count, cores)
    }
}

fn filling(count: u32, cores: u32, image: &str) -> Step {
    Step {
        fills: true,
        image: image.to_owned(),
        ..step(count, cores)
    }
}

fn flow(id: u64, steps: Vec<Step>, revision: u64, priority: u32) -> Flow {
    Flow {
        id: WorkflowId(id),
        queue: Arc::new(Queue {
            name: "queue".to_owned(),
            pool: "pool".to_owned(),
            priority,
            attempts: 2,
            stretch: 2.0,
            ..Queue::default()
        }),
        workflow: Arc::new(Workflow {
            steps,
            ..Workflow::default()
        }),
        revision,
        accepted: at(0),
        state: WorkflowState::Queued,
        occurrences: Vec::new(),
        dues: vec![Moment::default()],
    }
}

fn registration(id: &str) -> Registration {
    Registration {
        id: id.to_owned(),
        born: 1,
        pool: "pool".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        zone: "a".to_owned(),
        labels: vec!["kind".to_owned(), format!("rack-{id}")],
        capacity: Capacity {
            millicores: 8 * CORE,
            memory: 8000,
            accelerators: 0,
        },
        standing: Standing::Ready,
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

    fn submit(&mut self, flow: Flow) {
        self.restore(flow, &[]);
    }

    fn restore(&mut self, flow: Flow, records: &[TaskRecord]) {
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
        ended: &[(u64, TaskName, u64, Ending)],
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
        ended: &[(u64, TaskName, u64, Ending)],
    ) {
        let ended = ended.iter().map(|(number, task, run, ending)| EndedRun {
            number: *number,
            task: *task,
            run: *run,
            ending: *ending,
            checkpoint: String::new(),
        });
        let look = Look {
            clock: 1_000_000 + self.now,
            born,
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

fn live(task: TaskName, run: u64, figure: u32) -> LiveRun {
    LiveRun {
        task,
        run,
        checkpoint: String::new(),
        progress: 100,
        figure,
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

#[test]
fn a_step_starts_when_the_steps_before_it_are_done() {
    let mut shard = Shard::first(&["w0"]);
    let second = Step {
        after: vec![0],
        ..step(1, 1)
    };
    shard.submit(flow(1, vec![step(2, 1), second], 1, 0));
    shard.plan();
    insta::assert_snapshot!(shard.orders(), @r"
    w0: start 0000000000000001.0.0.0 run 100000001
    w0: start 0000000000000001.0.0.1 run 100000002
    ");
    let runs = shard.confirm();
    shard.now = 500;
    shard.look(
        0,
        &[(runs[1].1, runs[1].2)],
        &[(1, runs[0].1, runs[0].2, Ending::Done)],
    );
    shard.plan();
    assert_eq!(shard.orders(), "");
    shard.now = 900;
    shard.look(0, &[], &[(2, runs[1].1, runs[1].2, Ending::Done)]);
    shard.plan();
    insta::assert_snapshot!(shard.orders(), @"w0: start 0000000000000001.0.1.0 run 100000003");
}

#[test]
fn no_worker_is_given_more_than_it_holds() {
    let mut shard = Shard::first(&["w0", "w1"]);
    shard.submit(flow(1, vec![step(7, 3)], 1, 0));
    shard.plan();
    insta::assert_snapshot!(shard.orders(), @r"
    w1: start 0000000000000001.0.0.0 run 100000001
    w0: start 0000000000000001.0.0.1 run 100000002
    w1: start 0000000000000001.0.0.2 run 100000003
    w0: start 0000000000000001.0.0.3 run 100000004
    ");
}

#[test]
fn urgent_jobs_come_first_and_late_ones_after_those_in_time() {
    let mut shard = Shard::first(&["w0"]);
    shard.now = 2_500;
    shard.look_at_all();
    shard.submit(flow(1, vec![step(1, 3)], 1, 2));
    let fresh = Flow {
        accepted: at(2_400),
        ..flow(2, vec![step(1, 3)], 2, 2)
    };
    shard.submit(fresh);
    shard.submit(flow(3, vec![step(1, 3)], 3, 0));
    shard.plan();
    insta::assert_snapshot!(shard.orders(), @r"
    w0: start 0000000000000003.0.0.0 run 100000001
    w0: start 0000000000000002.0.0.0 run 100000002
    ");
}

#[test]
fn a_gang_starts_together_or_not_at_all() {
    let gang = |count, cores| Step {
        gang: true,
        ..step(count, cores)
    };
    let mut shard = Shard::first(&["w0"]);
    shard.submit(flow(1, vec![gang(3, 3)], 1, 0));
    let later = Flow {
        accepted: at(1_000),
        ..flow(2, vec![gang(2, 3)], 2, 0)
    };
    shard.submit(later);
    shard.plan();
    insta::assert_snapshot!(shard.orders(), @r"
    w0: start 0000000000000002.0.0.0 run 100000002
    w0: start 0000000000000002.0.0.1 run 100000002
    ");
}

#[test]
fn a_gang_that_wants_one_rack_waits_a_while_for_it() {
    let gang = Step {
        gang: true,
        same_rack: true,
        ..step(2, 5)
    };
    let mut shard = Shard::first(&["w0", "w1", "w2"]);
    let place = |id: &str, rack: &str| Registration {
        labels: vec!["kind".to_owned(), rack.to_owned()],
        ..registration(id)
    };
    let racks = vec![place("w0", "b"), place("w1", "a"), place("w2", "a")];
    shard.scheduler.on_registry(racks, at(0));
    shard.submit(flow(1, vec![gang.clone()], 1, 0));
    shard.plan();
    insta::assert_snapshot!(shard.orders(), @r"
    w2: start 0000000000000001.0.0.0 run 100000001
    w1: start 0000000000000001.0.0.1 run 100000001
    ");
    let runs = shard.confirm();
    shard.submit(flow(2, vec![Step { count: 2, ..gang }], 2, 0));
    shard.plan();
    assert_eq!(shard.orders(), "");
    shard.now = 1_100;
    let ended = runs.iter().find(|run| run.0 == 1).unwrap();
    shard.look(1, &[], &[(1, ended.1, ended.2, Ending::Stopped)]);
    shard.look(0, &[], &[]);
    shard.plan();
    assert!(
        shard.orders().contains("w0: start 0000000000000002"),
        "{}",
        shard.orders()
    );
}

#[test]
fn a_task_that_fails_too_often_ends_its_job_and_stops_the_rest() {
    let mut shard = Shard::first(&["w0"]);
    shard.submit(flow(1, vec![step(2, 1)], 1, 0));
    for number in 1..=2 {
        shard.plan();
        let runs = shard.confirm();
        let (_, task, run) = runs.into_iter().find(|run| run.1.index == 0).unwrap();
        shard.now += 100;
        let other = name(1, 0, 1);
        let run_of_other = shard.scheduler.ledger.tasks[shard.task(other)].run;
        shard.look(
            0,
            &[(other, run_of_other)],
            &[(number, task, run, Ending::Failed)],
        );
    }
    shard.plan();
    insta::assert_snapshot!(shard.orders(), @"w0: stop 0000000000000001.0.0.1 run 100000002");
    let batch = shard.scheduler.collect(false, at(shard.now));
    assert_eq!(batch.ended[0].state, WorkflowState::Failed);
}

#[test]
fn an_end_is_acknowledged_only_after_the_store_has_it() {
    let mut shard = Shard::first(&["w0"]);
    shard.submit(flow(1, vec![step(2, 1)], 1, 0));
    shard.plan();
    let runs = shard.confirm();
    shard.now = 100;
    shard.look(
        0,
        &[(runs[1].1, runs[1].2)],
        &[(1, runs[0].1, runs[0].2, Ending::Done)],
    );
    let acknowledged = |shard: &mut Shard| {
        let order = shard
            .scheduler
            .look_order(shard.workers[0], true, at(shard.now));
        order.unwrap().acknowledged
    };
    assert_eq!(acknowledged(&mut shard), 0);
    let batch = shard.scheduler.collect(true, at(100));
    assert_eq!(batch.progress.len(), 1);
    assert_eq!(acknowledged(&mut shard), 0);
    shard.scheduler.on_written(&batch, true);
    assert_eq!(acknowledged(&mut shard), 1);
}

#[test]
fn lasting_tasks_start_again_however_they_end() {
    let mut shard = Shard::first(&["w0"]);
    shard.submit(flow(1, vec![serving(1, 1, "video")], 1, 0));
    for (number, ending) in [Ending::Failed, Ending::Done, Ending::Failed, Ending::Lapsed]
        .into_iter()
        .enumerate()
    {
        shard.plan();
        let runs = shard.confirm();
        assert_eq!(runs.len(), 1);
        shard.now += 100;
        shard.look(0, &[], &[(number as u64 + 1, runs[0].1, runs[0].2, ending)]);
    }
    assert_eq!(shard.stage(name(1, 0, 0)), Stage::Waiting);
}

#[test]
fn a_silent_worker_is_given_up_only_after_a_later_confirmation() {
    let mut shard = Shard::first(&["w0", "w1"]);
    shard.submit(flow(1, vec![step(1, 1)], 1, 0));
    shard.plan();
    let (place, task, _) = shard.confirm()[0];
    let other = 1 - place;
    shard.now = 6_000;
    shard.look(other, &[], &[]);
    // The store was not heard since: a newer owner may have prolonged the run.
    shard.plan_confirmed(at(1_000));
    assert_eq!(shard.stage(task), Stage::Running(shard.workers[place]));
    shard.now = 6_100;
    shard.look(other, &[], &[]);
    shard.plan();
    assert_eq!(shard.stage(task), Stage::Waiting);
    shard.now = 6_200;
    shard.look(other, &[], &[]);
    shard.plan();
    assert_eq!(shard.stage(task), Stage::Starting(shard.workers[other]));
}

#[test]
fn a_repeated_start_does_not_prolong_its_lease() {
    let mut shard = Shard::first(&["w0"]);
    shard.submit(flow(1, vec![step(1, 1)], 1, 0));
    shard.plan();
    let [(worker, Order::Start { task, run })] = shard.orders[..] else {
        panic!("one start");
    };
    let first = shard
        .scheduler
        .start_order(worker, task, run, at(0))
        .unwrap();
    let again = shard
        .scheduler
        .start_order(worker, task, run, at(3_000))
        .unwrap();
    assert_eq!(first.until, again.until);
}

#[test]
fn the_room_of_a_later_run_is_kept_until_it_has_stopped() {
    let mut shard = Shard::first(&["w0", "w1"]);
    shard.submit(flow(1, vec![step(1, 8)], 1, 0));
    shard.plan();
    let (place, task, run) = shard.confirm()[0];
    let other = 1 - place;
    for now in [6_000, 6_300] {
        shard.now = now;
        shard.look(other, &[], &[]);
        shard.plan();
    }
    let (_, _, later) = shard.confirm()[0];
    // The silent worker returns: the first run had ended well.
    shard.now = 6_500;
    shard.look(place, &[], &[(1, task, run, Ending::Done)]);
    shard.look(other, &[(task, later)], &[]);
    // The roster opens the worker again.
    shard.write();
    shard.submit(flow(2, vec![step(2, 8)], 2, 0));
    shard.plan();
    let started: Vec<usize> = shard.confirm().into_iter().map(|run| run.0).collect();
    assert_eq!(started, [place]);
}

#[test]
fn a_job_that_has_ended_does_not_come_back_from_an_old_reading() {
    let mut shard = Shard::first(&["w0"]);
    shard.submit(flow(1, vec![step(1, 1)], 1, 0));
    shard.plan();
    let runs = shard.confirm();
    shard.now = 100;
    shard.look(0, &[], &[(1, runs[0].1, runs[0].2, Ending::Done)]);
    let batch = shard.scheduler.collect(true, at(100));
    shard.scheduler.on_end_written(batch.ended[0].flow, at(100));
    shard.submit(flow(1, vec![step(1, 1)], 1, 0));
    shard.plan();
    assert_eq!(shard.orders(), "");
}

#[test]
fn a_new_owner_adopts_what_runs_and_starts_the_rest_when_all_have_answered() {
    let mut shard = Shard::later(&["w0", "w1"]);
    shard.submit(flow(1, vec![step(2, 1)], 1, 0));
    shard.look(0, &[(name(1, 0, 0), 7)], &[]);
    shard.plan();
    assert_eq!(shard.orders(), "");
    shard.look(1, &[], &[]);
    shard.plan();
    insta::assert_snapshot!(shard.orders(), @"w1: start 0000000000000001.0.0.1 run 100000001");
    assert_eq!(shard.stage(name(1, 0, 0)), Stage::Running(shard.workers[0]));
}

#[test]
fn the_end_of_an_earlier_run_does_not_free_a_task_that_runs_again_elsewhere() {
    let mut shard = Shard::later(&["w0", "w1"]);
    shard.submit(flow(1, vec![step(1, 1)], 1, 0));
    let task = name(1, 0, 0);
    shard.look(0, &[], &[(1, task, 7, Ending::Failed)]);
    shard.plan();
    assert_eq!(shard.orders(), "");
    shard.look(1, &[(task, 8)], &[]);
    shard.plan();
    assert_eq!(shard.stage(task), Stage::Running(shard.workers[1]));
}

#[test]
fn failures_are_counted_once_a_run_in_whatever_order_they_are_listed() {
    let mut shard = Shard::later(&["w0", "w1"]);
    let task = name(1, 0, 0);
    let record = TaskRecord {
        failed: vec![7],
        ..TaskRecord::default()
    };
    shard.restore(flow(1, vec![step(1, 1)], 1, 0), &[record]);
    shard.look(0, &[], &[(1, task, 7, Ending::Failed)]);
    assert!(shard.scheduler.collect(false, at(0)).ended.is_empty());
    // An earlier run than the last one that was counted.
    shard.look(1, &[], &[(1, task, 6, Ending::Failed)]);
    assert_eq!(shard.scheduler.collect(false, at(0)).ended.len(), 1);
}

#[test]
fn a_job_accepted_after_the_claim_starts_although_a_worker_is_silent() {
    for (revision, expected) in [(FENCE - 1, 0), (FENCE + 1, 1)] {
        let mut shard = Shard::later(&["w0", "silent"]);
        shard.look(0, &[], &[]);
        shard.submit(flow(1, vec![step(1, 1)], revision, 0));
        shard.plan();
        assert_eq!(shard.confirm().len(), expected, "revision {revision}");
    }
}

#[test]
fn a_worker_that_never_answered_leaves_the_roster() {
    let mut shard = Shard::later(&["w0", "dead"]);
    shard.look(0, &[], &[]);
    shard.write();
    shard
        .scheduler
        .on_registry(vec![registration("w0")], at(5_000));
    shard.write();
    shard.now = 10_001;
    shard.look(0, &[], &[]);
    shard.plan();
    let batch = shard.scheduler.collect(false, at(shard.now));
    let ids: Vec<String> = batch
        .roster
        .unwrap()
        .into_iter()
        .map(|entry| entry.id)
        .collect();
    assert_eq!(ids, ["w0"]);
}

#[test]
fn a_worker_that_leaves_during_a_write_leaves_the_roster_with_the_next() {
    let mut shard = Shard::later(&["w0", "dead"]);
    shard.look(0, &[], &[]);
    let batch = shard.scheduler.collect(true, at(0));
    shard
        .scheduler
        .on_registry(vec![registration("w0")], at(9_000));
    shard.now = 10_001;
    shard.look(0, &[], &[]);
    shard.plan();
    shard.scheduler.on_written(&batch, true);
    let batch = shard.scheduler.collect(false, at(shard.now));
    assert_eq!(batch.roster.map(|roster| roster.len()), Some(1));
}

#[test]
fn only_the_tasks_of_a_closed_worker_wait_for_its_leases() {
    let term = Term {
        fence: FENCE,
        settles: Some(at(10_000)),
    };
    let mut shard = Shard::new(term, &["w0"]);
    let kept = name(1, 0, 1);
    let roster = vec![
        roster_entry("w0", None),
        roster_entry("dead", Some(vec![kept])),
    ];
    shard.scheduler.on_roster(roster, at(0));
    shard.submit(flow(1, vec![step(3, 1)], 1, 0));
    shard.look(0, &[], &[]);
    assert_eq!(shard.settled(), [(2, 1)]);
    shard.plan();
    assert_eq!(shard.confirm().len(), 2);
    shard.now = 10_100;
    shard.look(0, &[], &[]);
    shard.plan();
    assert_eq!(shard.settled(), [(1, 0)]);
}

#[test]
fn a_roster_entry_that_never_answered_does_not_count_as_having_left() {
    let term = Term {
        fence: FENCE,
        settles: Some(at(10_000)),
    };
    let mut shard = Shard::new(term, &["w0"]);
    let roster = vec![roster_entry("w0", None), roster_entry("cut-off", None)];
    let added = shard.scheduler.on_roster(roster, at(0));
    shard.submit(flow(1, vec![step(1, 1)], 1, 0));
    shard.look(0, &[], &[]);
    shard.scheduler.on_look_failed(added[0], true);
    shard.plan();
    assert_eq!(shard.stage(name(1, 0, 0)), Stage::Unsettled);
}

#[test]
fn a_worker_that_left_leaves_the_roster() {
    let mut shard = Shard::first(&["w0", "w1"]);
    shard.write();
    let draining = Registration {
        standing: Standing::Draining,
        ..registration("w1")
    };
    shard
        .scheduler
        .on_registry(vec![registration("w0"), draining], at(10));
    shard
        .scheduler
        .on_registry(vec![registration("w0")], at(20));
    shard.scheduler.on_look_failed(shard.workers[1], true);
    let batch = shard.scheduler.collect(false, at(40));
    let ids: Vec<String> = batch
        .roster
        .unwrap()
        .into_iter()
        .map(|entry| entry.id)
        .collect();
    assert_eq!(ids, ["w0"]);
}

#[test]
fn a_refused_connection_does_not_prove_that_runs_have_ended() {
    let mut shard = Shard::first(&["w0", "w1"]);
    shard.submit(flow(1, vec![step(1, 1)], 1, 0));
    shard.plan();
    let (place, task, _) = shard.confirm()[0];
    let ids = ["w0", "w1"];
    let draining = Registration {
        standing: Standing::Draining,
        ..registration(ids[place])
    };
    let other = registration(ids[1 - place]);
    shard
        .scheduler
        .on_registry(vec![draining, other.clone()], at(10));
    shard.scheduler.on_registry(vec![other], at(20));
    // A cut may reset connections although the worker lives.
    shard.scheduler.on_look_failed(shard.workers[place], true);
    assert_eq!(shard.stage(task), Stage::Running(shard.workers[place]));
}

#[test]
fn a_new_life_of_a_worker_runs_nothing_of_the_former() {
    let mut shard = Shard::first(&["w0"]);
    shard.submit(flow(1, vec![step(1, 1)], 1, 0));
    shard.plan();
    let (_, task, _) = shard.confirm()[0];
    shard.now = 1_000;
    shard.look_with(0, 2, Vec::new(), &[]);
    assert_eq!(shard.stage(task), Stage::Waiting);
}

#[test]
fn a_draining_worker_gets_no_tasks_and_gives_up_its_lasting_ones() {
    let mut shard = Shard::first(&["w0", "w1"]);
    shard.submit(flow(1, vec![serving(1, 1, "video")], 1, 0));
    shard.plan();
    let (place, task, run) = shard.confirm()[0];
    let ids = ["w0", "w1"];
    let entries = (0..2).map(|number| Registration {
        standing: if number == place {
            Standing::Draining
        } else {
            Standing::Ready
        },
        ..registration(ids[number])
    });
    shard.now = 100;
    shard.scheduler.on_registry(entries.collect(), at(100));
    shard.look(place, &[], &[(1, task, run, Ending::Stopped)]);
    shard.plan();
    let started: Vec<usize> = shard.confirm().into_iter().map(|run| run.0).collect();
    assert_eq!(started, [1 - place]);
}

#[test]
fn a_filling_image_is_kept_away_from_a_serving_one_that_it_disturbed() {
    let mut shard = Shard::first(&["w0", "w1"]);
    shard.submit(flow(1, vec![serving(1, 1, "video")], 1, 0));
    shard.plan();
    let (place, served, run) = shard.confirm()[0];
    let fill = flow(2, vec![filling(6, 2, "batch")], 2, 2);
    shard.submit(fill);
    shard.plan();
    let fills = shard.confirm();
    let beside: Vec<_> = fills.iter().filter(|fill| fill.0 == place).collect();
    assert!(!beside.is_empty());
    shard.now = 1_000;
    let mut running = vec![live(served, run, 60)];
    running.extend(beside.iter().map(|fill| live(fill.1, fill.2, 1900)));
    shard.look_with(place, 1, running, &[]);
    shard.plan();
    assert!(shard.orders().contains("pace"), "{}", shard.orders());
    shard.submit(flow(3, vec![filling(1, 1, "batch")], 3, 2));
    shard.plan();
    let next = shard.confirm();
    assert!(next.iter().all(|fill| fill.0 != place));
}

#[test]
fn a_filling_image_without_a_place_does_not_hold_others_back() {
    let mut shard = Shard::first(&["w0"]);
    shard.submit(flow(1, vec![serving(1, 1, "video")], 1, 0));
    shard.submit(flow(2, vec![filling(2, 2, "loud")], 2, 1));
    shard.plan();
    let runs = shard.confirm();
    shard.now = 1_000;
    let rows = runs
        .iter()
        .map(|run| live(run.1, run.2, if run.1 == name(1, 0, 0) { 60 } else { 1900 }));
    shard.look_with(0, 1, rows.collect(), &[]);
    shard.submit(flow(3, vec![filling(1, 1, "loud")], 3, 1));
    shard.submit(flow(4, vec![filling(1, 1, "quiet")], 4, 2));
    shard.plan();
    let started: Vec<TaskName> = shard.confirm().into_iter().map(|run| run.1).collect();
    assert_eq!(started, [name(4, 0, 0)]);
}

#[test]
fn a_tail_that_stays_over_its_target_pauses_all_that_fills_beside_it() {
    let mut shard = Shard::first(&["w0"]);
    shard.submit(flow(1, vec![serving(1, 1, "video")], 1, 0));
    shard.submit(flow(2, vec![filling(1, 1, "harmless")], 2, 2));
    shard.plan();
    let runs = shard.confirm();
    for now in [600, 1_200] {
        shard.now = now;
        let rows = runs
            .iter()
            .map(|run| live(run.1, run.2, if run.1 == name(1, 0, 0) { 60 } else { 900 }));
        shard.look_with(0, 1, rows.collect(), &[]);
        shard.plan();
    }
    insta::assert_snapshot!(shard.orders(), @"w0: pace 0000000000000002.0.0.0 at 0");
}

#[test]
fn a_task_waits_a_while_for_a_worker_near_its_data() {
    let near = Step {
        data_rack: Some("rack-w0".to_owned()),
        ..step(2, 8)
    };
    let mut shard = Shard::first(&["w0", "w1"]);
    shard.submit(flow(1, vec![near], 1, 0));
    shard.plan();
    insta::assert_snapshot!(shard.orders(), @"w0: start 0000000000000001.0.0.0 run 100000001");
    let runs = shard.confirm();
    shard.now = 1_001;
    shard.look(0, &[(runs[0].1, runs[0].2)], &[]);
    shard.look(1, &[], &[]);
    shard.plan();
    insta::assert_snapshot!(shard.orders(), @"w1: start 0000000000000001.0.0.1 run 100000002");
}

#[test]
fn a_worker_whose_serving_tasks_all_crawl_is_relieved() {
    let mut shard = Shard::first(&["w0", "w1"]);
    shard.submit(flow(1, vec![serving(1, 4, "video")], 1, 0));
    shard.plan();
    let (place, served, run) = shard.confirm()[0];
    shard.submit(flow(2, vec![step(12, 1)], 2, 0));
    shard.plan();
    let beside = shard.confirm().into_iter().find(|run| run.0 == place);
    let (_, task, urgent) = beside.expect("some of the tasks are beside it");
    shard.now = 1_000;
    shard.look(1 - place, &[], &[]);
    let progress = LiveRun {
        progress: 10,
        ..live(task, urgent, 900)
    };
    shard.look_with(place, 1, vec![live(served, run, 850), progress], &[]);
    assert_eq!(shard.stage(task), Stage::Stopping(shard.workers[place]));
    assert_eq!(shard.stage(served), Stage::Stopping(shard.workers[place]));
    shard.submit(flow(3, vec![step(1, 1)], 3, 0));
    shard.plan();
    let next = shard.confirm();
    assert!(next.iter().all(|run| run.0 != place), "{next:?}");
}

#[test]
fn a_disturbed_worker_is_not_taken_for_an_impaired_one() {
    let mut shard = Shard::first(&["w0", "w1"]);
    shard.submit(flow(1, vec![serving(1, 4, "video")], 1, 0));
    shard.plan();
    let (place, served, run) = shard.confirm()[0];
    shard.now = 1_000;
    shard.look_with(place, 1, vec![live(served, run, 300)], &[]);
    assert_eq!(shard.stage(served), Stage::Running(shard.workers[place]));
}

#[test]
fn a_run_that_makes_no_progress_starts_elsewhere() {
    let mut shard = Shard::first(&["w0", "w1"]);
    shard.submit(flow(1, vec![step(2, 5)], 1, 0));
    shard.plan();
    let (place, task, run) = shard.confirm()[0];
    for now in [500, 1_300, 2_200] {
        shard.now = now;
        let row = LiveRun {
            progress: 30,
            ..live(task, run, 900)
        };
        shard.look_with(place, 1, vec![row], &[]);
    }
    assert_eq!(shard.stage(task), Stage::Stopping(shard.workers[place]));
}

#[test]
fn small_jobs_come_before_large_ones_unless_these_are_due_much_earlier() {
    let started = |large: u64| {
        let mut shard = Shard::first(&["w0"]);
        let later = Flow {
            accepted: at(large),
            ..flow(2, vec![step(1, 8)], 2, 0)
        };
        shard.submit(flow(1, vec![step(20, 8)], 1, 0));
        shard.submit(later);
        shard.plan();
        shard.confirm()[0].1.workflow
    };
    assert_eq!(started(1_000), WorkflowId(2));
    assert_eq!(started(3_000), WorkflowId(1));
}

#[test]
fn a_job_that_was_accepted_under_older_terms_gets_the_newest() {
    let mut shard = Shard::first(&["w0"]);
    let queue = Queue {
        attempts: 7,
        ..flow(1, vec![step(1, 1)], 1, 0).queue.as_ref().clone()
    };
    let queues = Queues {
        version: 2,
        list: vec![queue],
        ..Queues::default()
    };
    shard.submit(flow(1, vec![step(1, 1)], 1, 0));
    shard.scheduler.configure(&queues);
    shard.submit(flow(2, vec![step(1, 1)], 2, 0));
    let flows = shard.scheduler.ledger.flows.values();
    let attempts: Vec<u32> = flows.map(|flow| flow.queue.attempts).collect();
    assert_eq!(attempts, [7, 7]);
}

#[test]
fn a_cancelled_job_stops_and_starts_nothing() {
    let mut shard = Shard::first(&["w0"]);
    shard.submit(flow(1, vec![step(10, 1)], 1, 0));
    shard.plan();
    shard.confirm();
    shard.scheduler.cancel(WorkflowId(1), at(10));
    shard.plan();
    let orders = shard.orders();
    assert_eq!(orders.matches("stop").count(), 8, "{orders}");
    assert_eq!(orders.matches("start").count(), 0, "{orders}");
}
