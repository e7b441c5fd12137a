//! Tests of the recovery of a shard by a new owner.

use super::*;
use crate::fleet::HEARTBEAT_LEASE;
use crate::workflow::Recurrence;

#[test]
fn a_new_owner_adopts_running_tasks_and_starts_the_rest_once_all_workers_answered() {
    let mut shard = Shard::later_owner(&["w0", "w1"]);
    shard.submit(active_workflow(1, vec![step(2, 1)], 1, 0));
    shard.report(0, &[(name(1, 0, 0), 7)], &[]);
    shard.plan();
    assert_eq!(shard.orders(), "");
    shard.report(1, &[], &[]);
    shard.plan();
    insta::assert_snapshot!(shard.orders(), @"w1: start 0000000000000001.0.0.1 run 100000001");
    assert_eq!(shard.stage(name(1, 0, 0)), Stage::Running(shard.workers[0]));
}

#[test]
fn a_job_accepted_after_the_claim_starts_although_a_worker_is_silent() {
    for (revision, expected) in [(FENCE - 1, 0), (FENCE + 1, 1)] {
        let mut shard = Shard::later_owner(&["w0", "silent"]);
        shard.report(0, &[], &[]);
        shard.submit(active_workflow(1, vec![step(1, 1)], revision, 0));
        shard.plan();
        assert_eq!(shard.confirm().len(), expected, "revision {revision}");
    }
}

#[test]
fn a_later_occurrence_of_an_inherited_job_also_waits_for_the_former_owner() {
    let mut shard = Shard::later_owner(&["w0", "silent"]);
    let definition = Workflow {
        steps: vec![step(1, 1)],
        recurrence: Some(Recurrence {
            times: 2,
            start: Duration::ZERO,
            interval: Duration::from_secs(2),
        }),
        ..Workflow::default()
    };
    let recurring = ActiveWorkflow {
        spec: Arc::new(definition),
        due_times: vec![at(0), at(2_000)],
        ..active_workflow(1, Vec::new(), 1, 0)
    };
    shard.submit(recurring);
    shard.report(0, &[(name(1, 0, 0), 7)], &[]);
    let batch = shard.scheduler.collect(true, at(0));
    let started = batch.started[0].workflow;
    shard.scheduler.on_start_written(started, FENCE + 5);
    shard.scheduler.on_written(&batch);
    shard.now = 2_100;
    shard.report(0, &[(name(1, 0, 0), 7)], &[]);
    shard.plan();
    assert_eq!(shard.orders(), "");
}

#[test]
fn a_worker_that_never_answered_leaves_the_roster() {
    let mut shard = Shard::later_owner(&["w0", "dead"]);
    shard.report(0, &[], &[]);
    shard.write();
    shard
        .scheduler
        .on_registry(vec![registration("w0")], at(5_000));
    shard.write();
    shard.now = 10_001;
    shard.report(0, &[], &[]);
    shard.plan();
    let batch = shard.scheduler.collect(false, at(shard.now));
    assert_eq!(roster_ids(batch), ["w0"]);
}

#[test]
fn a_worker_that_leaves_during_a_write_leaves_the_roster_with_the_next() {
    let mut shard = Shard::later_owner(&["w0", "dead"]);
    shard.report(0, &[], &[]);
    let batch = shard.scheduler.collect(true, at(0));
    shard
        .scheduler
        .on_registry(vec![registration("w0")], at(9_000));
    shard.now = 10_001;
    shard.report(0, &[], &[]);
    shard.plan();
    shard.scheduler.on_written(&batch);
    let batch = shard.scheduler.collect(false, at(shard.now));
    assert_eq!(batch.roster.map(|roster| roster.len()), Some(1));
}

#[test]
fn only_the_tasks_of_a_closed_worker_wait_for_its_leases() {
    let term = Term {
        fence: FENCE,
        recovery_deadline: Some(at(10_000)),
        ..Term::default()
    };
    let mut shard = Shard::new(term, &["w0"]);
    let kept = name(1, 0, 1);
    let roster = vec![
        roster_entry("w0", None),
        roster_entry("dead", Some(vec![kept])),
    ];
    shard.scheduler.on_roster(roster, 0, at(0));
    shard.submit(active_workflow(1, vec![step(3, 1)], 1, 0));
    shard.report(0, &[], &[]);
    assert_eq!(shard.recoveries(), [(2, 1)]);
    shard.plan();
    assert_eq!(shard.confirm().len(), 2);
    shard.now = 10_100;
    shard.report(0, &[], &[]);
    shard.plan();
    assert_eq!(shard.recoveries(), [(1, 0)]);
}

#[test]
fn a_roster_entry_that_never_answered_does_not_count_as_having_left() {
    let term = Term {
        fence: FENCE,
        recovery_deadline: Some(at(10_000)),
        ..Term::default()
    };
    let mut shard = Shard::new(term, &["w0"]);
    let roster = vec![roster_entry("w0", None), roster_entry("cut-off", None)];
    let added = shard.scheduler.on_roster(roster, 0, at(0));
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.report(0, &[], &[]);
    shard.scheduler.on_poll_failed(added[0], true);
    shard.plan();
    assert_eq!(shard.stage(name(1, 0, 0)), Stage::Recovering);
}

#[test]
fn a_task_that_fails_during_recovery_waits_for_its_earlier_failures_on_other_workers() {
    let mut shard = Shard::later_owner(&["w0", "w1"]);
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    let task = name(1, 0, 0);
    shard.report(0, &[(task, 60)], &[]);
    shard.plan();
    shard.now = 500;
    shard.report(0, &[], &[(1, task, 60, RunOutcome::Failed)]);
    shard.plan();
    assert_eq!(shard.orders(), "");
    shard.report(1, &[], &[(1, task, 50, RunOutcome::Failed)]);
    shard.plan();
    assert_eq!(shard.orders(), "");
    let ended = shard.scheduler.take_events();
    let failed = |event: &Event| {
        matches!(
            event,
            Event::JobEnded {
                state: WorkflowState::Failed,
                ..
            }
        )
    };
    assert!(ended.iter().any(failed), "{ended:?}");
}

#[test]
fn a_task_that_failed_during_recovery_starts_again_after_it() {
    let mut shard = Shard::later_owner(&["w0", "w1"]);
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    let task = name(1, 0, 0);
    shard.report(0, &[(task, 60)], &[]);
    shard.now = 500;
    shard.report(0, &[], &[(1, task, 60, RunOutcome::Failed)]);
    shard.report(1, &[], &[]);
    shard.write();
    shard.now = 600;
    shard.plan();
    assert!(shard.orders().contains("start"), "{}", shard.orders());
}

#[test]
fn the_roster_is_written_without_end_while_a_closed_worker_does_not_answer() {
    let term = Term {
        fence: FENCE,
        recovery_deadline: Some(at(10_000)),
        ..Term::default()
    };
    let mut shard = Shard::new(term, &["w0", "dead"]);
    let roster = vec![
        roster_entry("w0", None),
        roster_entry("dead", Some(vec![name(1, 0, 0)])),
    ];
    shard.scheduler.on_roster(roster, 0, at(0));
    shard.report(0, &[], &[]);
    for _ in 0..3 {
        shard.write();
    }
    assert!(!shard.scheduler.is_urgent());
}

#[test]
fn a_task_that_is_done_runs_again_if_its_occurrence_is_not_due_by_the_new_owners_clock() {
    let mut shard = Shard::later_owner(&["w0"]);
    let definition = Workflow {
        steps: vec![step(1, 1)],
        recurrence: Some(Recurrence {
            times: 2,
            start: Duration::ZERO,
            interval: Duration::from_secs(2),
        }),
        ..Workflow::default()
    };
    let recurring = ActiveWorkflow {
        spec: Arc::new(definition),
        due_times: vec![at(0), at(2_000)],
        ..active_workflow(1, Vec::new(), 1, 0)
    };
    let done = |occurrence| TaskRecord {
        occurrence,
        done: true,
        ..TaskRecord::default()
    };
    shard.now = 1_000;
    shard.restore(recurring, &[done(0), done(1)]);
    shard.report(0, &[], &[]);
    shard.write();
    shard.now = 2_100;
    shard.report(0, &[], &[]);
    shard.plan();
    assert_eq!(shard.orders(), "");
}

#[test]
fn worker_with_invalid_address_does_not_delay_recovery() {
    let mut shard = Shard::later_owner(&["w0"]);
    let odd = RosterEntry {
        address: "10.0.0.1:99999".to_owned(),
        ..roster_entry("odd", None)
    };
    shard.scheduler.on_roster(vec![odd], 0, at(0));
    shard.report(0, &[], &[]);
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.plan();
    assert_eq!(shard.confirm().len(), 1);
}

#[test]
fn a_worker_follows_a_former_owner_after_its_first_answer_to_the_new_one() {
    let mut shard = Shard::later_owner(&["w0"]);
    let poll = shard.scheduler.poll_order(shard.workers[0], true, at(0));
    let poll = poll.expect("the worker is polled");
    // The first poll carries the fencing token and prolongs no lease of the former owner.
    assert_eq!((poll.fence, poll.lease_end), (FENCE, None));
}

#[test]
fn a_worker_that_answers_before_the_roster_is_read_delays_the_recovery() {
    for closed in [None, Some(vec![name(1, 0, 0)])] {
        let term = Term {
            fence: FENCE,
            recovery_deadline: Some(at(10_000)),
            ..Term::default()
        };
        let mut shard = Shard::new(term, &["w0"]);
        shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
        shard.report(0, &[], &[]);
        shard.plan();
        assert_eq!(shard.orders(), "", "other workers may run it");
        let roster = vec![roster_entry("w0", closed.clone())];
        shard.scheduler.on_roster(roster, 0, at(0));
        shard.write();
        for now in [100, 200] {
            shard.now = now;
            shard.report(0, &[], &[]);
            shard.plan();
        }
        assert_eq!(shard.confirm().len(), 1, "{closed:?}");
    }
}

#[test]
fn the_roster_does_not_list_a_task_whose_start_is_without_an_answer() {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.plan();
    let [(worker, Order::Start { task, run })] = shard.orders[..] else {
        panic!("one start");
    };
    let sent = shard.scheduler.start_order(worker, task, run, at(0));
    assert!(sent.is_some());
    shard
        .scheduler
        .on_start_unanswered(worker, task, run, at(0));
    shard.now = 1_200;
    shard.plan();
    let roster = shard.scheduler.collect(false, at(1_200)).roster.unwrap();
    assert_eq!(roster[0].closed, Some(vec![name(1, 0, 0)]));
}

#[test]
fn a_former_owners_run_that_a_restarted_worker_begins_is_kept() {
    let mut shard = Shard::later_owner(&["w0", "w1"]);
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.report_all();
    shard.plan();
    let (worker, task, _) = shard.confirm()[0];
    let other = 1 - worker;
    shard.now = 100;
    // It has restarted and seen no fencing token when the order of the former owner arrived.
    shard.report_with(other, 2, vec![live(task, 7, 0)], &[]);
    shard.plan();
    let stop = format!("w{other}: stop {task} run 7\n");
    assert_eq!(shard.orders(), stop);
    assert_eq!(shard.stage(task), Stage::Running(shard.workers[worker]));
}

#[test]
fn a_recovery_is_stored_as_finished_while_a_closed_worker_may_run_tasks() {
    let term = Term {
        fence: FENCE,
        recovery_deadline: Some(at(10_000)),
        ..Term::default()
    };
    let mut shard = Shard::new(term, &["w0"]);
    let roster = vec![
        roster_entry("w0", None),
        roster_entry("dead", Some(vec![name(1, 0, 0)])),
    ];
    shard.scheduler.on_roster(roster, 0, at(0));
    let mut stored = Vec::new();
    for now in [0, 5_000, 10_001, 10_300] {
        shard.now = now;
        shard.report(0, &[], &[]);
        shard.plan();
        let batch = shard.scheduler.collect(true, at(now));
        shard.scheduler.on_written(&batch);
        stored.push(batch.recovered);
    }
    assert_eq!(stored, [false, false, true, false]);
}

/// A new owner starts tasks again once leases have ended that count from that heartbeat.
#[test]
fn a_lease_outlasts_the_last_heartbeat_of_its_owner_by_too_much() {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.scheduler.on_heartbeat(at(1_000));
    let limit = at(1_000) + HEARTBEAT_LEASE;
    for now in [1_000, 3_000, 6_900] {
        shard.now = now;
        shard.report(0, &[], &[]);
        let worker = shard.workers[0];
        let poll = shard.scheduler.poll_order(worker, true, at(now)).unwrap();
        let clock = shard.scheduler.workers[worker].clock.unwrap();
        let lease_end = clock.latest_expiry(poll.lease_end.unwrap());
        assert!(lease_end <= limit, "{lease_end} for a poll at {now}");
    }
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.orders = shard.scheduler.plan(at(1_000), at(6_900));
    shard.confirm();
    let lease_end = shard.scheduler.workers[shard.workers[0]].leases.end();
    assert!(lease_end <= limit, "{lease_end} for a start");
}

/// The owner after one that released the shard.
fn next_owner(former: &mut Shard, workers: &[&str]) -> Shard {
    let roster = former.scheduler.release_shard(at(former.now));
    let term = Term {
        fence: FENCE + 50,
        recovery_deadline: Some(at(former.now + 5_100)),
        ..Term::default()
    };
    let mut shard = Shard::new(term, workers);
    shard.now = former.now;
    let roster = roster.expect("the former owner has read its roster");
    shard.scheduler.on_roster(roster, 0, at(shard.now));
    shard
}

/// All tasks waited for what one worker may run, and again after each further stop.
#[test]
fn all_tasks_wait_for_a_silent_worker_after_planned_stops() {
    let mut first = Shard::first_owner(&["w0", "gone"]);
    first.submit(active_workflow(1, vec![step(4, 6)], 1, 0));
    first.plan();
    let ran = first.confirm();
    assert_eq!(ran.len(), 2, "two of the tasks have no room");
    let mut owner = first;
    for stop in [100, 400] {
        owner.now = stop;
        owner = next_owner(&mut owner, &["w0", "gone"]);
        owner.submit(active_workflow(1, vec![step(4, 6)], 1, 0));
        let live: Vec<(TaskName, u64)> = ran
            .iter()
            .filter(|(worker, ..)| *worker == 0)
            .map(|(_, task, run)| (*task, *run))
            .collect();
        owner.report(0, &live, &[]);
        assert_eq!(owner.recoveries(), [(2, 1)], "at {stop}");
    }
    // The first owner's leases end, not those that its successors might have given.
    owner.write();
    for now in [4_000, 4_900] {
        owner.now = now;
        owner.report(0, &[], &[]);
        owner.plan();
    }
    assert_eq!(owner.recoveries(), [(1, 0)]);
}

#[test]
fn a_worker_whose_ends_are_not_stored_is_named_without_their_tasks() {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.submit(active_workflow(1, vec![step(2, 1)], 1, 0));
    shard.plan();
    let [(_, first, run), (_, second, other)] = shard.confirm()[..] else {
        panic!("two starts");
    };
    let running = [(second, other)];
    let closed = |shard: &mut Shard| {
        let roster = shard.scheduler.release_shard(at(shard.now)).unwrap();
        roster[0].closed.clone()
    };
    shard.report(0, &running, &[(1, first, run, RunOutcome::Done)]);
    assert_eq!(closed(&mut shard), None, "the end is not stored");
    shard.write();
    assert_eq!(closed(&mut shard), Some(vec![second]));
}

#[test]
fn a_worker_that_was_replaced_delays_the_recovery() {
    let mut shard = Shard::later_owner(&["w0", "replaced"]);
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.report(0, &[], &[]);
    shard.plan();
    assert_eq!(shard.orders(), "", "the other worker may run it");
    let replaced = shard.workers[1];
    shard.scheduler.on_replaced(replaced, at(0));
    shard.plan();
    assert_eq!(shard.confirm().len(), 1);
}

/// The last roster would not name the task, or not for how long its lease goes on.
#[test]
fn an_owner_gives_orders_after_the_release() {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.submit(active_workflow(1, vec![step(2, 5)], 1, 0));
    shard.plan();
    let orders = std::mem::take(&mut shard.orders);
    let [(worker, Order::Start { task, run })] = orders[..] else {
        panic!("one start");
    };
    let roster = shard.scheduler.release_shard(at(0)).unwrap();
    assert_eq!(roster[0].closed, Some(vec![name(1, 0, 0)]));
    assert_eq!(shard.scheduler.start_order(worker, task, run, at(0)), None);
    assert_eq!(shard.scheduler.poll_order(worker, true, at(0)), None);
    shard.plan();
    assert_eq!(shard.orders(), "");
}

/// All leases ended long before the claim, but a task may be done and its end not reported yet.
#[test]
fn a_recovery_that_is_shortened_leaves_workers_no_time_to_report() {
    let mut shard = Shard::later_owner(&["w0", "w1"]);
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.now = 2_000;
    shard.report(0, &[], &[]);
    shard.scheduler.shorten_recovery(at(500), at(2_000));
    shard.plan();
    assert_eq!(shard.orders(), "");
    shard.now = 3_000;
    shard.report(0, &[], &[]);
    shard.plan();
    assert_eq!(shard.recoveries(), [(1, 0)]);
}

/// The owner between has prolonged the leases and stored no roster.
#[test]
fn a_release_ends_the_leases_that_the_next_owner_gave() {
    let kept = name(1, 0, 0);
    let silent = RosterEntry {
        lease_left: Some(2_000),
        ..roster_entry("silent", Some(vec![kept]))
    };
    for (former_epoch, expected) in [(50, 2_000), (60, 10_000)] {
        let term = Term {
            fence: FENCE,
            former_epoch,
            recovery_deadline: Some(at(10_000)),
        };
        let mut shard = Shard::new(term, &["w0"]);
        let roster = vec![roster_entry("w0", None), silent.clone()];
        shard.scheduler.on_roster(roster, 50, at(0));
        shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
        let mut restarted = None;
        for now in (0..=10_500).step_by(500) {
            shard.now = now;
            shard.report(0, &[], &[]);
            shard.plan();
            if shard.stage(kept) != Stage::Recovering {
                restarted.get_or_insert(now);
            }
        }
        assert_eq!(restarted, Some(expected), "former epoch {former_epoch}");
    }
}
