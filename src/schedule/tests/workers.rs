//! Tests of workers that leave, are silent, restart or are impaired.

use super::*;
use crate::fleet::StopOrder;

#[test]
fn runs_of_a_silent_worker_are_lost_only_after_ownership_is_confirmed_again() {
    let mut shard = Shard::first_owner(&["w0", "w1"]);
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.plan();
    let (worker, task, _) = shard.confirm()[0];
    let other = 1 - worker;
    shard.now = 6_000;
    shard.report(other, &[], &[]);
    // The store has not confirmed ownership since, so a newer owner may have
    // renewed the run's lease.
    shard.plan_confirmed(at(1_000));
    assert_eq!(shard.stage(task), Stage::Running(shard.workers[worker]));
    shard.now = 6_100;
    shard.report(other, &[], &[]);
    shard.plan();
    assert_eq!(shard.stage(task), Stage::Waiting);
    shard.now = 6_200;
    shard.report(other, &[], &[]);
    shard.plan();
    assert_eq!(shard.stage(task), Stage::Starting(shard.workers[other]));
}

#[test]
fn a_worker_that_has_left_is_removed_from_the_roster() {
    let mut shard = Shard::first_owner(&["w0", "w1"]);
    shard.write();
    let draining = Registration {
        availability: Availability::Draining,
        ..registration("w1")
    };
    shard
        .scheduler
        .on_registry(vec![registration("w0"), draining], at(10));
    shard
        .scheduler
        .on_registry(vec![registration("w0")], at(20));
    shard.scheduler.on_poll_failed(shard.workers[1], true);
    let batch = shard.scheduler.collect(false, at(40));
    assert_eq!(roster_ids(batch), ["w0"]);
}

#[test]
fn a_refused_connection_does_not_prove_that_runs_have_ended() {
    let mut shard = Shard::first_owner(&["w0", "w1"]);
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.plan();
    let (worker, task, _) = shard.confirm()[0];
    let ids = ["w0", "w1"];
    let draining = Registration {
        availability: Availability::Draining,
        ..registration(ids[worker])
    };
    let other = registration(ids[1 - worker]);
    shard
        .scheduler
        .on_registry(vec![draining, other.clone()], at(10));
    shard.scheduler.on_registry(vec![other], at(20));
    // A network partition may reset connections although the worker is alive.
    shard.scheduler.on_poll_failed(shard.workers[worker], true);
    assert_eq!(shard.stage(task), Stage::Running(shard.workers[worker]));
}

#[test]
fn a_restarted_worker_runs_none_of_its_earlier_tasks() {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.plan();
    let (_, task, _) = shard.confirm()[0];
    shard.now = 1_000;
    shard.report_with(0, 2, Vec::new(), &[]);
    assert_eq!(shard.stage(task), Stage::Waiting);
}

#[test]
fn a_draining_worker_gets_no_tasks_and_stops_its_long_running_ones() {
    let mut shard = Shard::first_owner(&["w0", "w1"]);
    shard.submit(active_workflow(1, vec![serving(1, 1, "video")], 1, 0));
    shard.plan();
    let (worker, task, run) = shard.confirm()[0];
    let ids = ["w0", "w1"];
    let entries = (0..2).map(|number| Registration {
        availability: if number == worker {
            Availability::Draining
        } else {
            Availability::Ready
        },
        ..registration(ids[number])
    });
    shard.now = 100;
    shard.scheduler.on_registry(entries.collect(), at(100));
    shard.report(worker, &[], &[(1, task, run, RunOutcome::Stopped)]);
    shard.plan();
    let started: Vec<usize> = shard.confirm().into_iter().map(|run| run.0).collect();
    assert_eq!(started, [1 - worker]);
}

#[test]
fn tasks_move_away_from_a_worker_whose_serving_tasks_are_all_slow() {
    let mut shard = Shard::first_owner(&["w0", "w1"]);
    shard.submit(active_workflow(1, vec![serving(1, 4, "video")], 1, 0));
    shard.plan();
    let (worker, served, run) = shard.confirm()[0];
    shard.submit(active_workflow(2, vec![step(12, 1)], 2, 0));
    shard.plan();
    let beside = shard.confirm().into_iter().find(|run| run.0 == worker);
    let (_, task, task_run) = beside.expect("some of the tasks are beside it");
    shard.now = 1_000;
    shard.report(1 - worker, &[], &[]);
    let progress = LiveRun {
        progress: 10,
        ..live(task, task_run, 900)
    };
    shard.report_with(worker, 1, vec![live(served, run, 850), progress], &[]);
    assert_eq!(shard.stage(task), Stage::Stopping(shard.workers[worker]));
    assert_eq!(shard.stage(served), Stage::Stopping(shard.workers[worker]));
    shard.submit(active_workflow(3, vec![step(1, 1)], 3, 0));
    shard.plan();
    let next = shard.confirm();
    assert!(next.iter().all(|run| run.0 != worker), "{next:?}");
}

#[test]
fn a_worker_with_interference_is_not_treated_as_impaired() {
    let mut shard = Shard::first_owner(&["w0", "w1"]);
    shard.submit(active_workflow(1, vec![serving(1, 4, "video")], 1, 0));
    shard.plan();
    let (worker, served, run) = shard.confirm()[0];
    shard.now = 1_000;
    shard.report_with(worker, 1, vec![live(served, run, 300)], &[]);
    assert_eq!(shard.stage(served), Stage::Running(shard.workers[worker]));
}

#[test]
fn a_run_that_makes_no_progress_is_stopped() {
    let mut shard = Shard::first_owner(&["w0", "w1"]);
    shard.submit(active_workflow(1, vec![step(2, 5)], 1, 0));
    shard.plan();
    let (worker, task, run) = shard.confirm()[0];
    for now in [500, 1_300, 2_200] {
        shard.now = now;
        let row = LiveRun {
            progress: 30,
            ..live(task, run, 900)
        };
        shard.report_with(worker, 1, vec![row], &[]);
    }
    assert_eq!(shard.stage(task), Stage::Stopping(shard.workers[worker]));
}

#[test]
fn a_shrunken_worker_gets_no_task_until_what_is_stopped_has_ended() {
    let mut shard = Shard::first_owner(&["w0"]);
    let of_cores = |cores: u32| Registration {
        capacity: Capacity {
            millicores: cores * CORE,
            ..registration("w0").capacity
        },
        ..registration("w0")
    };
    shard.submit(active_workflow(1, vec![step(2, 3)], 1, 0));
    shard.plan();
    let runs: Vec<_> = shard.confirm().iter().map(|run| (run.1, run.2)).collect();
    shard.scheduler.on_registry(vec![of_cores(4)], at(100));
    shard.submit(active_workflow(2, vec![step(1, 1), step(1, 4)], 2, 0));
    shard.now = 200;
    shard.report(0, &runs, &[]);
    shard.plan();
    assert_eq!(shard.orders(), "");
    shard.scheduler.cancel(WorkflowId(1), at(300));
    shard.plan();
    insta::assert_snapshot!(shard.orders(), @r"
    w0: stop 0000000000000001.0.0.0 run 100000001
    w0: stop 0000000000000001.0.0.1 run 100000002
    ");
    shard.now = 400;
    let ended = (1, runs[0].0, runs[0].1, RunOutcome::Stopped);
    shard.report(0, &runs[1..], &[ended]);
    shard.plan();
    insta::assert_snapshot!(shard.orders(), @"w0: start 0000000000000002.0.0.0 run 100000003");
    let small = shard.confirm();
    shard.scheduler.on_registry(vec![of_cores(8)], at(500));
    shard.now = 600;
    shard.report(0, &[runs[1], (small[0].1, small[0].2)], &[]);
    shard.plan();
    insta::assert_snapshot!(shard.orders(), @"w0: start 0000000000000002.0.1.0 run 100000004");
}

/// Sends a copy of each start that the last pass ordered; none is answered yet. Returns the
/// worker, the task and the run of each.
fn send_starts(shard: &mut Shard) -> Vec<(usize, TaskName, u64)> {
    let now = at(shard.now);
    let mut sent = Vec::new();
    for (worker, order) in shard.orders.clone() {
        if let Order::Start { task, run } = order {
            let order = shard.scheduler.start_order(worker, task, run, now);
            let index = shard.workers.iter().position(|key| *key == worker);
            sent.push((index.unwrap(), order.expect("it is wanted").task, run));
        }
    }
    sent
}

#[test]
fn a_run_that_a_restarted_worker_has_begun_is_started_elsewhere() {
    let mut shard = Shard::first_owner(&["w0", "w1"]);
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.plan();
    let (worker, task, run) = send_starts(&mut shard)[0];
    shard.now = 100;
    // The worker has restarted before the order reached it.
    shard.report_with(worker, 2, vec![live(task, run, 0)], &[]);
    shard.now = 200;
    shard.plan();
    assert_eq!(shard.orders(), "");
    assert_eq!(shard.stage(task), Stage::Running(shard.workers[worker]));
}

#[test]
fn a_task_starts_elsewhere_while_a_restarted_worker_may_carry_out_an_earlier_copy() {
    for (case, running) in [("starting", false), ("running", true)] {
        let mut shard = Shard::first_owner(&["w0", "w1"]);
        shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
        shard.plan();
        let (worker, task, run) = send_starts(&mut shard)[0];
        let (key, target) = (shard.task(task), shard.workers[worker]);
        shard.scheduler.on_start_unanswered(target, key, run, at(0));
        if running {
            let reply = StartReply::Running;
            shard.scheduler.on_start(target, key, run, reply, at(50));
        }
        for now in [100, 200, 300] {
            shard.now = now;
            shard.report_once(worker, 2, Vec::new(), &[]);
            shard.report(1 - worker, &[], &[]);
            shard.plan();
            assert!(!shard.orders().contains("start"), "{case} at {now}");
        }
        // Once the worker has answered a stop order, it refuses all copies.
        let stop = StopOrder {
            task,
            run,
            fence: FENCE,
        };
        assert!(shard.scheduler.wants_stop(target, &stop), "{case}");
        shard.scheduler.on_stop(target, &stop, at(400));
        for now in [500, 600, 700] {
            shard.now = now;
            shard.report_once(worker, 2, Vec::new(), &[]);
            shard.report(1 - worker, &[], &[]);
            shard.plan();
        }
        assert_ne!(shard.scheduler.ledger.tasks[key].run, run, "{case}");
    }
}

#[test]
fn an_earlier_copy_reaches_a_worker_that_restarted_after_its_leases() {
    let mut shard = Shard::first_owner(&["w0", "w1"]);
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.plan();
    let (worker, task, run) = send_starts(&mut shard)[0];
    let (key, target) = (shard.task(task), shard.workers[worker]);
    shard.scheduler.on_start_unanswered(target, key, run, at(0));
    shard.now = 5_000;
    shard.report(1 - worker, &[], &[]);
    shard.plan();
    shard.now = 5_100;
    // The end of the lease is far ahead on the clock of the restarted worker.
    shard.report_once(worker, 2, Vec::new(), &[]);
    let stop = StopOrder {
        task,
        run,
        fence: FENCE,
    };
    assert!(shard.scheduler.wants_stop(target, &stop));
}

#[test]
fn a_lease_by_the_clock_before_a_restart_outlives_the_runs() {
    let mut shard = Shard::first_owner(&["w0", "w1"]);
    let poll = shard.scheduler.poll_order(shard.workers[0], true, at(0));
    assert_eq!(poll.unwrap().lease_end, Some(1_004_500));
    shard.report(1, &[], &[]);
    // The restarted worker, whose clock begins anew, has taken that end, cut to its limit.
    let report = WorkerReport {
        clock: 100,
        incarnation: 2,
        ..WorkerReport::default()
    };
    let target = shard.workers[0];
    shard.scheduler.on_report(target, at(0), &report, at(100));
    shard.poll_with_new_fence(target);
    shard.scheduler.on_report(target, at(100), &report, at(100));
    shard.read_registry();
    shard.now = 200;
    let mut job = step(1, 1);
    job.label = Some("rack-w0".to_owned());
    shard.submit(active_workflow(1, vec![job], 1, 0));
    shard.write();
    shard.plan();
    let (_, task, _) = shard.confirm()[0];
    shard.now = 5_500;
    shard.report(1, &[], &[]);
    shard.plan();
    assert_eq!(shard.stage(task), Stage::Running(target));
}

#[test]
fn a_start_without_an_answer_is_lost_before_its_copies_expire() {
    let mut shard = Shard::first_owner(&["w0", "w1"]);
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.plan();
    let (worker, task, run) = send_starts(&mut shard)[0];
    let (key, target) = (shard.task(task), shard.workers[worker]);
    shard.scheduler.on_start_unanswered(target, key, run, at(0));
    // An order that never arrived counts as silence, which ends no lease.
    shard
        .scheduler
        .on_start_undelivered(target, TaskKey::default(), run, at(100));
    let entries = vec![registration(["w1", "w0"][worker])];
    let starting = Stage::Starting(target);
    for (now, expected) in [(300, starting), (4_580, starting), (4_600, Stage::Waiting)] {
        shard.now = now;
        // The registry shows no restart.
        shard.scheduler.on_registry(entries.clone(), at(now));
        // Repeated copies carry the same end of the lease.
        let _ = shard.scheduler.start_order(target, key, run, at(now));
        shard.report(1 - worker, &[], &[]);
        shard.plan();
        assert_eq!(shard.stage(task), expected, "at {now}");
    }
}

#[test]
fn a_draining_worker_counts_as_having_left_while_a_copy_of_a_start_is_open() {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.plan();
    let (_, task, run) = send_starts(&mut shard)[0];
    let (key, target) = (shard.task(task), shard.workers[0]);
    shard.scheduler.on_start_unanswered(target, key, run, at(0));
    let draining = Registration {
        availability: Availability::Draining,
        ..registration("w0")
    };
    shard.scheduler.on_registry(vec![draining], at(10));
    shard.scheduler.on_registry(Vec::new(), at(20));
    shard.scheduler.on_poll_failed(target, true);
    assert_eq!(shard.stage(task), Stage::Starting(target));
    assert!(shard.scheduler.workers.contains_key(target));
}

/// A crash that counts twice lets its tasks be given up.
#[test]
fn a_worker_that_another_replaced_and_that_comes_back_elsewhere_crashed_twice() {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.plan();
    let (_, task, _) = shard.confirm()[0];
    let worker = shard.workers[0];
    shard.scheduler.on_replaced(worker, at(100));
    let moved = Registration {
        address: address("elsewhere"),
        ..registration("w0")
    };
    let connect = shard.scheduler.on_registry(vec![moved], at(200));
    assert_eq!(connect, [worker], "it is called at its new address");
    shard.now = 300;
    shard.report_with(0, 2, Vec::new(), &[]);
    let events = shard.scheduler.take_events();
    let crashes = events.iter();
    let crashes = crashes.filter(|event| matches!(event, Event::WorkerCrashed { .. }));
    assert_eq!(crashes.count(), 1);
    assert_eq!(shard.stage(task), Stage::Waiting);
}

/// Held back while polls failed, the copy was sent seconds after the worker began to drain.
#[test]
fn a_start_is_repeated_to_a_worker_that_drains_since_its_first_copy() {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.plan();
    let (_, task, run) = send_starts(&mut shard)[0];
    let (key, target) = (shard.task(task), shard.workers[0]);
    shard
        .scheduler
        .on_start_unanswered(target, key, run, at(250));
    shard.scheduler.on_poll_failed(target, false);
    assert!(shard.scheduler.holds_repeat(target, key, run));
    let draining = Registration {
        availability: Availability::Draining,
        ..registration("w0")
    };
    shard.scheduler.on_registry(vec![draining], at(900));
    shard.now = 3_000;
    shard.report(0, &[], &[]);
    assert!(!shard.scheduler.holds_repeat(target, key, run));
    let scheduler = &mut shard.scheduler;
    let stop = scheduler.withdraw_repeat(target, key, run, at(3_000));
    assert_eq!(stop.map(|stop| stop.run), Some(run));
    assert_eq!(scheduler.start_order(target, key, run, at(3_000)), None);
}

/// Its capacity and labels were those of the former incarnation until the registry was read again.
#[test]
fn a_restarted_worker_gets_tasks_by_the_capacity_of_its_former_incarnation() {
    let mut shard = Shard::first_owner(&["w0"]);
    let worker = shard.workers[0];
    shard.now = 500;
    let report = WorkerReport {
        clock: 100,
        incarnation: 2,
        ..WorkerReport::default()
    };
    shard.scheduler.on_report(worker, at(500), &report, at(500));
    shard.poll_with_new_fence(worker);
    shard.scheduler.on_report(worker, at(500), &report, at(500));
    shard.write();
    shard.submit(active_workflow(1, vec![step(2, 4)], 1, 0));
    shard.plan();
    assert_eq!(shard.orders(), "", "its capacity is not known");
    let mut smaller = Registration {
        incarnation: 2,
        ..registration("w0")
    };
    smaller.capacity.millicores = 4 * CORE;
    shard.scheduler.on_registry(vec![smaller], at(900));
    shard.now = 900;
    shard.report_with(0, 2, Vec::new(), &[]);
    shard.plan();
    assert_eq!(shard.confirm().len(), 1);
}
