//! Tests of workers that restart under their ids, take orders that were meant for the former
//! incarnation, and are cut off from the owner before it learns of the restart.

use super::*;
use crate::fleet::StartAnswer;

/// The clock of a worker that has just restarted.
const NEW_CLOCK: u64 = 40;
/// When the start order is sent.
const STARTED: u64 = 10;
/// How long a run on a restarted worker goes on by its first lease, and a margin.
const LONGEST_LEASE: u64 = 10_204;
/// The longest time after which a worker carries out a call that it has not answered.
const MAX_LATENESS: u64 = 12_000;

/// An owner of two workers that has sent a start order to the first.
fn start_one() -> (Shard, WorkerKey, TaskKey, u64) {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.plan();
    let [(worker, Order::Start { task, run })] = shard.orders[..] else {
        panic!("one start");
    };
    let sent = shard.scheduler.start_order(worker, task, run, at(STARTED));
    assert!(sent.is_some());
    register(&mut shard, 1, 0);
    shard.report(1, &[], &[]);
    shard.write();
    (shard, worker, task, run)
}

/// Registers both workers, the first of them under this incarnation.
fn register(shard: &mut Shard, first: u64, now: u64) {
    let restarted = Registration {
        incarnation: first,
        ..registration("w0")
    };
    let entries = vec![restarted, registration("w1")];
    let added = shard.scheduler.on_registry(entries, at(now));
    shard.workers.extend(added);
}

/// Lets the second worker report until the task starts there. Returns the time of that.
fn restart_time(shard: &mut Shard, task: TaskKey, until: u64) -> Option<u64> {
    let second = shard.workers[1];
    while shard.now < until {
        shard.now += 100;
        let now = shard.now;
        shard.report(1, &[], &[]);
        if now.is_multiple_of(900) {
            let entries = shard.scheduler.workers.values();
            let entries = entries.map(|worker| worker.registration.clone()).collect();
            shard.scheduler.on_registry(entries, at(now));
        }
        shard.write();
        shard.plan();
        if shard.scheduler.ledger.tasks[task].stage == Stage::Starting(second) {
            return Some(now);
        }
    }
    None
}

/// Guards against a log that does not tell which incarnation took a start, and by which lease.
#[test]
fn the_log_names_the_incarnation_that_a_start_was_meant_for_and_the_clock_that_answered() {
    let (mut shard, worker, task, _) = start_one();
    let answer = StartAnswer {
        reply: StartReply::Running,
        clock: Some(NEW_CLOCK),
    };
    shard.scheduler.take_events();
    shard
        .scheduler
        .check_clock(worker, task, answer, at(50), at(60));
    let events = shard.scheduler.take_events();
    let lines = events.iter().filter(|event| {
        matches!(
            event,
            Event::StartAnswered { .. } | Event::RestartSuspected { .. }
        )
    });
    let lines: Vec<String> = lines
        .map(|event| serde_json::to_string(event).unwrap())
        .collect();
    insta::assert_snapshot!(lines.join("\n"), @r#"
    {"event":"start_answered","task":"0000000000000001.0.0.0","run":100000001,"worker":"w0","incarnation":1,"reply":"running","lease_end":1004510,"least_clock":1000049,"clock":40}
    {"event":"restart_suspected","worker":"w0","incarnation":1,"evidence":"its clock was reset","open":1,"leases_left":10204}
    "#);
}

/// A reading that is 2 ms lower than the slowest clock shows 50 ms after its last reading.
const SLOW_CLOCK: u64 = 1_000_047;

/// Starts two tasks on the only worker, which has begun both. The clock in the answer to the second
/// start is behind.
fn suspect_one(reading: u64) -> (Shard, WorkerKey, [(TaskName, u64); 2]) {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.submit(active_workflow(1, vec![step(2, 1)], 1, 0));
    shard.plan();
    let runs = shard.confirm();
    let [(_, first, first_run), (_, second, second_run)] = runs[..] else {
        panic!("two starts");
    };
    shard.report(0, &[(first, first_run), (second, second_run)], &[]);
    let (worker, task) = (shard.workers[0], shard.task(second));
    let answer = StartAnswer {
        reply: StartReply::Running,
        clock: Some(reading),
    };
    let scheduler = &mut shard.scheduler;
    scheduler.check_clock(worker, task, answer, at(50), at(60));
    (shard, worker, [(first, first_run), (second, second_run)])
}

/// Guards against tasks that run twice because a clock was compared wrongly.
#[test]
fn runs_of_a_worker_whose_clock_is_behind_go_on_if_its_next_report_lists_them() {
    let (mut shard, worker, runs) = suspect_one(SLOW_CLOCK);
    for (task, _) in runs {
        assert_eq!(shard.stage(task), Stage::Running(worker));
    }
    shard.now = 100;
    shard.report(0, &runs, &[]);
    shard.write();
    shard.plan();
    assert_eq!(shard.orders(), "");
    for (task, _) in runs {
        assert_eq!(shard.stage(task), Stage::Running(worker));
    }
    let entry = shard.scheduler.roster_entry(worker, at(100));
    assert_eq!(entry.overlong_left, None);
}

/// Guards against a wrong comparison of clocks that hides the ends after the next restart.
#[test]
fn a_restart_after_a_disproved_one_is_noticed_with_its_ends() {
    let (mut shard, worker, runs) = suspect_one(SLOW_CLOCK);
    shard.now = 100;
    shard.report(0, &runs, &[(1, runs[0].0, runs[0].1, RunOutcome::Failed)]);
    shard.now = 200;
    let failed = (1, runs[1].0, runs[1].1, RunOutcome::Failed);
    shard.report_with(0, 2, Vec::new(), &[failed]);
    assert_eq!(shard.scheduler.workers[worker].registration.incarnation, 2);
    let key = shard.task(runs[1].0);
    let failed = shard.scheduler.ledger.tasks[key].failed.clone();
    assert_eq!(failed, [runs[1].1]);
}

/// Guards against leases by the former clock on a worker that may have restarted.
#[test]
fn a_worker_whose_clock_is_behind_gets_no_lease_before_it_reports() {
    let (mut shard, worker, runs) = suspect_one(NEW_CLOCK);
    shard.submit(active_workflow(2, vec![step(1, 1)], 2, 0));
    shard.now = 70;
    shard.plan();
    assert_eq!(shard.orders(), "");
    let poll = shard.scheduler.poll_order(worker, true, at(70)).unwrap();
    assert_eq!((poll.lease_end, poll.wait), (None, Duration::ZERO));
    // The former incarnation may have answered a poll that was sent before the sign.
    let report = WorkerReport {
        clock: 1_000_080,
        incarnation: 1,
        running: runs
            .iter()
            .map(|(task, run)| live(*task, *run, 0))
            .collect(),
        ..WorkerReport::default()
    };
    let scheduler = &mut shard.scheduler;
    scheduler.on_report(worker, at(55), &report, at(80));
    shard.plan();
    assert_eq!(shard.orders(), "");
    shard.now = 100;
    shard.report(0, &runs, &[]);
    shard.write();
    shard.plan();
    assert_ne!(shard.orders(), "");
}

/// Guards against a doubt about one start that holds up the other tasks of a silent worker.
#[test]
fn only_the_task_of_the_doubtful_start_waits_for_the_longest_lease() {
    let (mut shard, _, runs) = suspect_one(NEW_CLOCK);
    let added = shard
        .scheduler
        .on_registry(vec![registration("w0"), registration("w1")], at(100));
    shard.workers.extend(added);
    shard.report(1, &[], &[]);
    shard.write();
    let first = shard.task(runs[0].0);
    let start = restart_time(&mut shard, first, LONGEST_LEASE);
    assert!(start.is_some_and(|at| at < 6_000), "{start:?}");
    let second = shard.task(runs[1].0);
    let start = restart_time(&mut shard, second, 2 * LONGEST_LEASE);
    let limit = 60 + LONGEST_LEASE;
    assert!(
        start.is_some_and(|at| at > limit && at < limit + 1_000),
        "{start:?}"
    );
}

/// The lease in the order is a time on the clock of the former incarnation.
#[test]
fn a_run_that_a_restarted_worker_has_accepted_starts_elsewhere_before_it_ends() {
    let (mut shard, worker, task, run) = start_one();
    let answer = StartAnswer {
        reply: StartReply::Running,
        clock: Some(NEW_CLOCK),
    };
    let scheduler = &mut shard.scheduler;
    scheduler.check_clock(worker, task, answer, at(50), at(60));
    scheduler.on_start(worker, task, run, answer.reply, at(60));
    let restarted = restart_time(&mut shard, task, 2 * LONGEST_LEASE);
    assert!(
        restarted.is_some_and(|at| at > 60 + LONGEST_LEASE && at < 1_000 + LONGEST_LEASE),
        "{restarted:?}"
    );
}

#[test]
fn a_run_of_an_open_copy_on_a_restarted_worker_starts_elsewhere_before_it_ends() {
    let (mut shard, worker, task, run) = start_one();
    let scheduler = &mut shard.scheduler;
    scheduler.on_start_unanswered(worker, task, run, at(250));
    register(&mut shard, 2, 900);
    let limit = STARTED + MAX_LATENESS + LONGEST_LEASE;
    let restarted = restart_time(&mut shard, task, 2 * limit);
    assert!(
        restarted.is_some_and(|at| at > limit && at < limit + 1_000),
        "{restarted:?}"
    );
}

/// The registry tells of the restart, and the runs of the former incarnation are gone.
#[test]
fn a_run_of_the_former_incarnation_waits_for_its_lease() {
    let (mut shard, worker, task, run) = start_one();
    shard
        .scheduler
        .on_start(worker, task, run, StartReply::Running, at(10));
    shard.now = 800;
    shard.report(1, &[], &[]);
    register(&mut shard, 2, 900);
    let restarted = restart_time(&mut shard, task, LONGEST_LEASE);
    assert!(restarted.is_some_and(|at| at < 1_500), "{restarted:?}");
}

/// Without a restart in the registry, the lease in the order ends its open copies.
#[test]
fn an_open_copy_on_a_worker_that_is_gone_holds_up_its_task() {
    let (mut shard, worker, task, run) = start_one();
    let scheduler = &mut shard.scheduler;
    scheduler.on_start_unanswered(worker, task, run, at(250));
    let restarted = restart_time(&mut shard, task, 2 * LONGEST_LEASE);
    assert!(
        restarted.is_some_and(|at| (4_500..6_000).contains(&at)),
        "{restarted:?}"
    );
}

/// The worker may have restarted since its last report, and would take the copy.
#[test]
fn a_start_is_repeated_before_the_worker_has_answered_a_poll() {
    let (mut shard, worker, task, run) = start_one();
    shard.now = 250;
    shard
        .scheduler
        .on_start_unanswered(worker, task, run, at(250));
    assert!(shard.scheduler.holds_repeat(worker, task, run));
    shard.now = 400;
    shard.report(0, &[], &[]);
    assert!(!shard.scheduler.holds_repeat(worker, task, run));
}

#[test]
fn a_task_is_started_on_a_worker_whose_last_poll_failed() {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.plan();
    let [(worker, Order::Start { task, run })] = shard.orders[..] else {
        panic!("one start");
    };
    shard.scheduler.on_poll_failed(worker, false);
    let sent = shard.scheduler.start_order(worker, task, run, at(100));
    assert_eq!(sent, None);
    shard.now = 200;
    shard.plan();
    assert_eq!(shard.orders(), "");
}

/// What the roster says of its leases holds for the incarnation that the former owner knew.
#[test]
fn tasks_of_a_worker_that_restarted_before_the_claim_start_at_the_recovery_deadline() {
    let kept = name(1, 0, 0);
    for (registered, expected) in [(1, 10_000), (2, MAX_LATENESS + LONGEST_LEASE)] {
        let term = Term {
            fence: FENCE,
            recovery_deadline: Some(at(10_000)),
            ..Term::default()
        };
        let mut shard = Shard::new(term, &["w1"]);
        register(&mut shard, registered, 0);
        let silent = RosterEntry {
            incarnation: Some(1),
            ..roster_entry("w0", Some(vec![kept]))
        };
        let roster = vec![silent, roster_entry("w1", None)];
        shard.scheduler.on_roster(roster, 0, at(0));
        shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
        let mut restarted = None;
        while restarted.is_none() && shard.now < 30_000 {
            shard.now += 100;
            shard.report(0, &[], &[]);
            shard.plan();
            let waits = shard.stage(kept) == Stage::Recovering;
            restarted = (!waits).then_some(shard.now);
        }
        let restarted = restarted.unwrap_or_default();
        assert!(restarted.abs_diff(expected) <= 200, "{restarted}");
    }
}

/// The tasks that were withdrawn on the incarnation between were forgotten by the worker's state.
#[test]
fn a_second_restart_before_a_report_leaves_tasks_without_a_worker() {
    let (mut shard, worker, task, run) = start_one();
    let scheduler = &mut shard.scheduler;
    scheduler.on_start_unanswered(worker, task, run, at(250));
    register(&mut shard, 2, 900);
    shard.now = 2_000;
    let report = WorkerReport {
        clock: NEW_CLOCK,
        incarnation: 3,
        ..WorkerReport::default()
    };
    shard
        .scheduler
        .on_report(worker, at(2_000), &report, at(2_000));
    assert_eq!(
        shard.scheduler.ledger.tasks[task].stage,
        Stage::Stopping(worker)
    );
    let stop = shard
        .scheduler
        .begin_stop(task, "again", at(2_000))
        .unwrap();
    shard.scheduler.on_stop(worker, &stop, at(2_100));
    shard
        .scheduler
        .on_report(worker, at(2_200), &report, at(2_200));
    let stage = shard.scheduler.ledger.tasks[task].stage;
    assert!(
        matches!(stage, Stage::Waiting | Stage::Blocked),
        "{stage:?}"
    );
}

/// The poll may wait in the kernel until the worker's next incarnation reads it.
#[test]
fn leases_are_renewed_by_the_known_clock_after_a_poll_without_an_answer() {
    let (mut shard, worker, ..) = start_one();
    let renewal = |shard: &mut Shard| {
        let order = shard.scheduler.poll_order(worker, true, at(shard.now));
        order.and_then(|order| order.lease_end)
    };
    shard.now = 500;
    assert!(renewal(&mut shard).is_some());
    shard.scheduler.on_poll_failed(worker, false);
    shard.now = 750;
    assert_eq!(renewal(&mut shard), None);
    shard.report(0, &[], &[]);
    assert!(renewal(&mut shard).is_some());
}

/// Answers on different connections may overtake each other.
#[test]
fn a_late_report_of_the_former_incarnation_ends_the_runs_of_the_present_one() {
    let (mut shard, worker, task, run) = start_one();
    register(&mut shard, 2, 900);
    shard.now = 1_000;
    let name = shard.scheduler.ledger.tasks[task].name;
    shard.report_with(0, 2, vec![live(name, run, 0)], &[]);
    let report = WorkerReport {
        clock: 1_000_900,
        incarnation: 1,
        ..WorkerReport::default()
    };
    shard
        .scheduler
        .on_report(worker, at(890), &report, at(1_100));
    assert_eq!(
        shard.scheduler.ledger.tasks[task].stage.worker(),
        Some(worker)
    );
    assert_eq!(shard.scheduler.workers[worker].registration.incarnation, 2);
}

/// The former owner gave the lease of the run by the clock of an earlier incarnation.
#[test]
fn an_adopted_run_of_a_restarted_worker_starts_elsewhere_before_it_ends() {
    let task = name(1, 0, 0);
    for registered in [1, 2] {
        let term = Term {
            fence: FENCE,
            recovery_deadline: Some(at(5_100)),
            ..Term::default()
        };
        let mut shard = Shard::new(term, &["w1"]);
        register(&mut shard, registered, 0);
        let known = |id: &str, closed| RosterEntry {
            incarnation: Some(1),
            lease_left: Some(LONGEST_LEASE),
            ..roster_entry(id, closed)
        };
        let roster = vec![known("w0", Some(vec![task])), known("w1", Some(Vec::new()))];
        shard.scheduler.on_roster(roster, 0, at(0));
        shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
        shard.report(0, &[], &[]);
        let restarted = shard.workers[1];
        let report = WorkerReport {
            clock: NEW_CLOCK,
            incarnation: 2,
            running: vec![live(task, 7, 0)],
            ..WorkerReport::default()
        };
        shard.scheduler.on_report(restarted, at(0), &report, at(20));
        assert_eq!(shard.stage(task), Stage::Running(restarted));
        let key = shard.task(task);
        shard.workers.reverse();
        let time = restart_time(&mut shard, key, 2 * LONGEST_LEASE);
        assert!(
            time.is_some_and(|at| at > LONGEST_LEASE && at < LONGEST_LEASE + 1_000),
            "{time:?}"
        );
    }
}
