//! Tests of tasks that wait although workers have the capacity for them.

use super::*;

/// The longest time, in milliseconds, that a job may have nothing running although
/// workers have the capacity for a task of it.
const MAX_IDLE: u64 = 3_000;
/// The same for a task of a long-running step, since the end of its last run.
const MAX_LONG_RUNNING_IDLE: u64 = 6_000;
/// The time between two reports of a worker, in milliseconds.
const REPORT_INTERVAL: u64 = 250;

impl Shard {
    /// Lets all workers report these runs, and plans, until a start is ordered or
    /// until `millis`. Returns whether a start was ordered.
    fn starts_by(&mut self, millis: u64, running: &[(usize, LiveRun)]) -> bool {
        while self.now < millis {
            self.now += REPORT_INTERVAL;
            for worker in 0..self.workers.len() {
                let rows = running.iter().filter(|row| row.0 == worker);
                self.report_with(worker, 1, rows.map(|row| row.1.clone()).collect(), &[]);
            }
            self.plan();
            if self.orders().contains("start") {
                return true;
            }
        }
        false
    }
}

/// The rows with which workers report confirmed runs.
fn rows(runs: &[(usize, TaskName, u64)], measurement: u32) -> Vec<(usize, LiveRun)> {
    let rows = runs.iter();
    rows.map(|run| (run.0, live(run.1, run.2, measurement)))
        .collect()
}

#[test]
fn a_gang_that_fits_no_worker_holds_back_tasks_that_fit() {
    let gang = Step {
        gang: true,
        ..step(2, 20)
    };
    let mut shard = Shard::first_owner(&["w0", "w1"]);
    shard.submit(active_workflow(1, vec![gang], 1, 0));
    shard.plan();
    assert!(!shard.starts_by(500, &[]));
    shard.submit(active_workflow(2, vec![step(1, 1)], 2, 1));
    assert!(shard.starts_by(500 + MAX_IDLE, &[]));
}

#[test]
fn a_gang_that_waits_for_the_end_of_a_member_holds_back_tasks_that_fit() {
    let gang = Step {
        gang: true,
        ..step(2, 5)
    };
    let mut shard = Shard::first_owner(&["w0", "w1"]);
    shard.submit(active_workflow(1, vec![gang], 1, 0));
    shard.plan();
    let runs = shard.confirm();
    let (first, task, run) = runs[0];
    let silent = shard.workers.remove(1 - first);
    shard.now = 500;
    let ends = [(1, task, run, RunOutcome::MemberEnded)];
    shard.report_with(0, 1, Vec::new(), &ends);
    assert_eq!(shard.stage(task), Stage::Waiting);
    assert_eq!(shard.stage(runs[1].1), Stage::Running(silent));
    assert!(!shard.starts_by(1_000, &[]));
    shard.submit(active_workflow(2, vec![step(1, 1)], 2, 1));
    assert!(shard.starts_by(1_000 + MAX_IDLE, &[]));
}

#[test]
fn a_stuck_best_effort_gang_never_starts() {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.submit(active_workflow(1, vec![serving(1, 1, "video")], 1, 0));
    shard.submit(active_workflow(2, vec![best_effort(1, 2, "loud")], 2, 1));
    shard.plan();
    let runs = shard.confirm();
    for now in [600, 1_200, 1_800] {
        shard.now = now;
        let loud = runs.iter().map(|run| {
            let tail = run.1 == name(1, 0, 0);
            live(run.1, run.2, if tail { 60 } else { 1_900 })
        });
        shard.report_with(0, 1, loud.collect(), &[]);
    }
    let gang = Step {
        gang: true,
        ..best_effort(2, 1, "loud")
    };
    shard.submit(active_workflow(3, vec![gang], 3, 1));
    assert!(shard.starts_by(20_000, &rows(&runs, 10)));
}

#[test]
fn a_fresh_task_covers_one_that_accepts_more_risk() {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.submit(active_workflow(1, vec![serving(1, 1, "video")], 1, 0));
    shard.submit(active_workflow(2, vec![best_effort(1, 2, "loud")], 2, 1));
    shard.submit(active_workflow(3, vec![step(1, 3)], 3, 0));
    shard.plan();
    let runs = shard.confirm();
    shard.now = 600;
    let loud = runs.iter().map(|run| {
        let tail = run.1 == name(1, 0, 0);
        live(run.1, run.2, if tail { 60 } else { 1_900 })
    });
    shard.report_with(0, 1, loud.collect(), &[]);
    shard.submit(active_workflow(4, vec![best_effort(1, 1, "loud")], 4, 2));
    let quiet = rows(&runs, 10);
    assert!(!shard.starts_by(1_350, &quiet));
    shard.submit(active_workflow(5, vec![best_effort(1, 1, "loud")], 5, 1));
    assert!(shard.starts_by(1_600, &quiet));
    let started: Vec<TaskName> = shard.confirm().into_iter().map(|run| run.1).collect();
    assert_eq!(started, [name(4, 0, 0)]);
}

#[test]
fn long_running_tasks_wait_for_the_quarantine_of_all_workers() {
    let mut shard = Shard::first_owner(&["w0", "w1"]);
    let tasks = [1, 2, 3, 4].map(|id| name(id, 0, 0));
    for task in tasks {
        let id = task.workflow.0;
        shard.submit(active_workflow(id, vec![serving(1, 1, "video")], id, 0));
    }
    let mut running: Vec<(usize, TaskName, u64, u64)> = Vec::new();
    let mut numbers = [0, 0];
    let mut longest = Duration::ZERO;
    while shard.now < 60_000 {
        shard.now += REPORT_INTERVAL;
        let now = shard.now;
        for (worker, number) in numbers.iter_mut().enumerate() {
            let (mut live, mut ends) = (Vec::new(), Vec::new());
            for (_, task, run, started) in running.iter().filter(|run| run.0 == worker) {
                if now - started < 2_000 {
                    live.push((*task, *run));
                } else {
                    *number += 1;
                    ends.push((*number, *task, *run, RunOutcome::Failed));
                }
            }
            shard.report(worker, &live, &ends);
        }
        running.retain(|run| now - run.3 < 2_000);
        shard.plan();
        let started = shard.confirm();
        running.extend(started.iter().map(|run| (run.0, run.1, run.2, now)));
        for task in tasks.map(|task| shard.task(task)) {
            let task = &shard.scheduler.ledger.tasks[task];
            if task.stage == Stage::Waiting {
                longest = longest.max(at(now) - task.ready);
            }
        }
    }
    assert!(
        longest <= Duration::from_millis(MAX_LONG_RUNNING_IDLE),
        "{longest:?}"
    );
}

#[test]
fn workers_that_refused_starts_for_a_time_are_not_used_long_after() {
    let mut shard = Shard::first_owner(&["w0", "w1"]);
    for id in 1..=6 {
        shard.submit(active_workflow(id, vec![step(1, 1)], id, 0));
    }
    while shard.now < 14_500 {
        shard.now += REPORT_INTERVAL;
        shard.report_all();
        shard.plan();
        for (worker, order) in std::mem::take(&mut shard.orders) {
            if let Order::Start { task, run } = order {
                let now = at(shard.now);
                shard.scheduler.start_order(worker, task, run, now);
                shard.scheduler.on_start_refused(worker, task, run, now);
            }
        }
    }
    // Calm for 4 s, then idle for 3 s.
    assert!(shard.starts_by(14_500 + 4_000 + MAX_IDLE, &[]));
}

#[test]
fn a_best_effort_task_as_wide_as_a_worker_never_starts_beside_a_small_serving_task() {
    let mut shard = Shard::first_owner(&["w0", "w1"]);
    let spread = Step {
        worker_limit: Some(1),
        ..serving(2, 1, "video")
    };
    shard.submit(active_workflow(1, vec![spread], 1, 0));
    shard.plan();
    let runs = shard.confirm();
    shard.submit(active_workflow(2, vec![best_effort(1, 8, "batch")], 2, 1));
    assert!(shard.starts_by(30_000, &rows(&runs, 10)));
}

#[test]
fn a_best_effort_task_with_nearly_all_memory_never_starts_on_an_empty_worker() {
    let mut shard = Shard::first_owner(&["w0", "w1"]);
    let large = Step {
        need: Capacity {
            memory: 7_500,
            ..step(1, 1).need
        },
        ..best_effort(1, 1, "batch")
    };
    shard.submit(active_workflow(1, vec![large], 1, 0));
    assert!(shard.starts_by(30_000, &[]));
}

#[test]
fn a_run_stays_paused_when_a_throttle_order_takes_effect_late() {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.submit(active_workflow(1, vec![serving(1, 1, "video")], 1, 0));
    shard.submit(active_workflow(2, vec![best_effort(1, 1, "quiet")], 2, 2));
    shard.plan();
    let runs = shard.confirm();
    let report = |shard: &mut Shard, tail: u32, used: u32| {
        let rows = runs.iter().map(|run| LiveRun {
            progress: 40,
            ..live(
                run.1,
                run.2,
                if run.1 == name(1, 0, 0) { tail } else { used },
            )
        });
        shard.report_with(0, 1, rows.collect(), &[]);
        shard.plan();
    };
    for now in [600, 1_200] {
        shard.now = now;
        report(&mut shard, 60, 900);
    }
    assert!(shard.orders().contains("at 0"), "{}", shard.orders());
    while shard.now < 10_000 {
        shard.now += REPORT_INTERVAL;
        report(&mut shard, 5, 0);
    }
    // The worker carries out the order to pause only now; the later ones are answered.
    let mut ordered = false;
    while shard.now < 40_000 {
        shard.now += REPORT_INTERVAL;
        report(&mut shard, 5, 0);
        ordered |= !shard.orders.is_empty();
    }
    assert!(ordered, "the run is paused for good");
}

#[test]
fn a_delayed_start_is_sent_although_the_capacity_has_shrunk() {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.submit(active_workflow(1, vec![step(1, 6)], 1, 0));
    shard.plan();
    let Order::Start { task, run } = shard.orders[0].1 else {
        panic!("a start is ordered");
    };
    let smaller = Registration {
        capacity: Capacity {
            millicores: 4 * CORE,
            ..registration("w0").capacity
        },
        ..registration("w0")
    };
    shard.scheduler.on_registry(vec![smaller], at(100));
    shard.now = 6_000;
    shard.report(0, &[], &[]);
    let sent = shard
        .scheduler
        .start_order(shard.workers[0], task, run, at(shard.now));
    assert_eq!(sent, None);
}

#[test]
fn an_unanswered_start_is_not_stopped_once_a_report_does_not_list_it() {
    let mut shard = Shard::first_owner(&["w0", "w1"]);
    shard.submit(active_workflow(
        1,
        vec![
            step(1, 6),
            Step {
                after: vec![0],
                ..step(1, 1)
            },
        ],
        1,
        0,
    ));
    shard.plan();
    let (first, task, run) = shard.confirm()[0];
    let second = 1 - first;
    shard.now = 6_000;
    shard.report(second, &[], &[]);
    shard.plan();
    shard.now = 6_100;
    shard.report(second, &[], &[]);
    shard.plan();
    let Order::Start {
        task: key,
        run: later,
    } = shard.orders[0].1
    else {
        panic!("the task starts on the other worker");
    };
    let worker = shard.workers[second];
    let sent = shard.scheduler.start_order(worker, key, later, at(6_100));
    assert!(sent.is_some(), "the order is on its way");
    shard.now = 6_200;
    shard.report(first, &[], &[(1, task, run, RunOutcome::Done)]);
    shard.plan();
    let (_, Order::Stop(stop)) = shard.orders[0] else {
        panic!("the later run is stopped");
    };
    shard.report(second, &[], &[]);
    assert!(shard.scheduler.wants_stop(worker, &stop));
}

#[test]
fn a_gang_starts_before_the_store_confirms_that_a_lost_member_has_no_newer_owner() {
    let gang = Step {
        gang: true,
        ..step(2, 5)
    };
    let mut shard = Shard::first_owner(&["w0", "w1", "w2"]);
    shard.submit(active_workflow(1, vec![gang], 1, 0));
    shard.plan();
    let runs = shard.confirm();
    let lost = runs.iter().find(|run| run.1 == name(1, 0, 1)).unwrap().0;
    let other = runs.iter().find(|run| run.1 == name(1, 0, 0)).unwrap();
    shard.now = 6_000;
    let ends = [(1, other.1, other.2, RunOutcome::MemberEnded)];
    for worker in (0..3).filter(|worker| *worker != lost) {
        let ends = if worker == other.0 { &ends[..] } else { &[] };
        shard.report(worker, &[], ends);
    }
    shard.plan_confirmed(at(5_900));
    assert_eq!(shard.orders(), "");
}
