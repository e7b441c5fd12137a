//! Tests of fencing tokens that rise when a worker may have restarted, so that its next answer tells
//! what late orders to its former incarnation have begun.

use super::*;
use crate::fleet::StopOrder;

/// The incarnation of a worker after its restart.
const RESTARTED: u64 = 2;
/// The longest time for which a lease of a worker that may be slow goes on.
const LONGEST_LEASE: u64 = 10_204;
/// The time after which the lease of a silent worker has ended, and a margin.
const RUN_LEASE: u64 = 4_600;
/// The longest time from the end of a wait to the start order.
const PASS: u64 = 300;

fn registrations(first: u64) -> Vec<Registration> {
    let restarted = Registration {
        incarnation: first,
        ..registration("w0")
    };
    vec![restarted, registration("w1")]
}

/// The first owner of two workers, of which the first has restarted while a poll that renews its
/// leases waited there.
fn owner_of_restarted() -> Shard {
    let mut shard = Shard::first_owner(&["w0", "w1"]);
    shard.scheduler.on_owned_write(FENCE + 1);
    shard.now = 100;
    let poll = shard.scheduler.poll_order(shard.workers[0], true, at(100));
    assert!(poll.is_some_and(|poll| poll.lease_end.is_some() && poll.fence == FENCE));
    shard.scheduler.on_poll_failed(shard.workers[0], false);
    shard.now = 350;
    shard
}

/// Lets the first worker answer a poll.
fn answer_poll(shard: &mut Shard, incarnation: u64, running: &[(TaskName, u64)]) -> u64 {
    let poll = shard
        .scheduler
        .poll_order(shard.workers[0], true, at(shard.now));
    let running = running.iter().map(|run| live(run.0, run.1, 0)).collect();
    shard.report_once(0, incarnation, running, &[]);
    poll.expect("the worker is polled").fence
}

/// Lets the second worker report until the task starts there. Returns the time of that.
fn start_time(shard: &mut Shard, task: TaskName) -> Option<u64> {
    let second = shard.workers[1];
    let limit = shard.now + 3 * LONGEST_LEASE;
    while shard.now < limit {
        shard.now += 100;
        shard.report(1, &[], &[]);
        shard.write();
        shard.plan();
        if shard.stage(task) == Stage::Starting(second) {
            return Some(shard.now);
        }
    }
    None
}

/// Guards against a doubt about an old poll that holds up tasks which the worker got since.
#[test]
fn tasks_of_a_restarted_worker_that_is_lost_wait_for_its_leases_only() {
    let mut shard = owner_of_restarted();
    assert_eq!(answer_poll(&mut shard, RESTARTED, &[]), FENCE + 1);
    shard.write();
    shard.report(1, &[], &[]);
    let label = Some("rack-w0".to_owned());
    let first = Step {
        label,
        ..step(1, 1)
    };
    shard.submit(active_workflow(1, vec![first], 1, 0));
    shard.plan();
    let [(0, task, run)] = shard.confirm()[..] else {
        panic!("one start on the restarted worker");
    };
    let settled = shard.now;
    for now in [4_000, 8_000] {
        shard.now = now;
        answer_poll(&mut shard, RESTARTED, &[(task, run)]);
    }
    // The worker with the label is gone, and another one has it.
    let mut entries = registrations(RESTARTED);
    entries[1].labels.push("rack-w0".to_owned());
    shard.scheduler.on_registry(entries, at(shard.now));
    let start = start_time(&mut shard, task);
    let end = (settled + LONGEST_LEASE).max(8_000 + 4_500);
    let limit = (settled + LONGEST_LEASE).max(8_000 + RUN_LEASE) + PASS;
    assert!(start.is_some_and(|at| at > end && at < limit), "{start:?}");
}

/// Guards against tasks and leases on a restarted worker while late orders may prolong them.
#[test]
fn a_restarted_worker_gets_no_lease_before_it_answers_a_poll_with_a_higher_token() {
    let mut shard = Shard::first_owner(&["w0"]);
    let worker = shard.workers[0];
    shard.scheduler.poll_order(worker, true, at(0));
    shard.report_once(0, RESTARTED, Vec::new(), &[]);
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.write();
    shard.plan();
    assert_eq!(shard.orders(), "");
    // Without a newer write that required the ownership there is no higher token.
    let poll = shard.scheduler.poll_order(worker, true, at(10)).unwrap();
    assert_eq!((poll.fence, poll.lease_end), (FENCE, None));
    shard.scheduler.on_owned_write(FENCE + 5);
    shard.now = 20;
    assert_eq!(answer_poll(&mut shard, RESTARTED, &[]), FENCE + 5);
    shard.write();
    shard.plan();
    insta::assert_snapshot!(shard.orders(), @"w0: start 0000000000000001.0.0.0 run 100000001");
}

/// Guards against a second run by the next incarnation, which accepts a start refused before.
#[test]
fn a_start_without_an_answer_is_not_lost_by_an_answer_to_a_higher_token() {
    let mut shard = Shard::first_owner(&["w0"]);
    let worker = shard.workers[0];
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.plan();
    let [(_, Order::Start { task, run })] = shard.orders[..] else {
        panic!("one start");
    };
    let order = shard.scheduler.start_order(worker, task, run, at(0));
    assert_eq!(order.map(|order| order.fence), Some(FENCE));
    shard
        .scheduler
        .on_start_unanswered(worker, task, run, at(250));
    shard.scheduler.on_poll_failed(worker, false);
    shard.scheduler.on_owned_write(FENCE + 1);
    shard.now = 500;
    assert_eq!(answer_poll(&mut shard, 1, &[]), FENCE + 1);
    assert_eq!(
        shard.scheduler.ledger.tasks[task].stage,
        Stage::Starting(worker)
    );
    // The start is repeated, with the higher token.
    let order = shard.scheduler.start_order(worker, task, run, at(600));
    assert_eq!(order.map(|order| order.fence), Some(FENCE + 1));
}

/// Guards against a start elsewhere beside an earlier run that the new incarnation has begun.
#[test]
fn a_task_waits_for_an_earlier_run_that_the_settled_report_of_a_restarted_worker_lists() {
    let mut shard = Shard::first_owner(&["w0", "w1"]);
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.plan();
    let runs = shard.confirm();
    let [(index, task, run)] = runs[..] else {
        panic!("one start");
    };
    assert_eq!(index, 1, "the second worker is chosen");
    shard.workers.swap(0, 1);
    shard.scheduler.on_owned_write(FENCE + 1);
    shard.scheduler.on_poll_failed(shard.workers[0], true);
    shard.now = 500;
    answer_poll(&mut shard, RESTARTED, &[(task, run - 1)]);
    shard.read_registry();
    shard.report(1, &[], &[]);
    shard.write();
    shard.plan();
    assert!(!shard.orders().contains("start"), "{}", shard.orders());
    assert_eq!(shard.stage(task), Stage::Stopping(shard.workers[0]));
}

/// Guards against an owner that gives up its shard as its own orders overtook each other.
#[test]
fn only_the_refusal_of_the_present_token_tells_of_a_newer_owner() {
    let mut shard = owner_of_restarted();
    let worker = shard.workers[0];
    let order = StopOrder {
        task: name(1, 0, 0),
        run: 1,
        fence: FENCE,
    };
    assert!(shard.scheduler.is_superseded(worker, FENCE));
    answer_poll(&mut shard, RESTARTED, &[]);
    assert!(!shard.scheduler.is_superseded(worker, FENCE));
    assert!(shard.scheduler.is_superseded(worker, FENCE + 1));
    let repeated = shard.scheduler.with_fence(worker, order);
    assert_eq!(repeated.fence, FENCE + 1);
    // Tokens rise for each worker by itself.
    let other = shard.workers[1];
    assert_eq!(shard.scheduler.with_fence(other, order).fence, FENCE);
}

/// Guards against a successor that waits with all tasks of the shard for one restarted worker.
#[test]
fn a_successor_waits_for_a_restarted_worker_only_with_the_tasks_that_may_run_there() {
    let mut former = Shard::first_owner(&["w0", "w1"]);
    former.submit(active_workflow(1, vec![step(2, 5)], 1, 0));
    former.plan();
    let runs = former.confirm();
    let first = runs.iter().find(|run| run.0 == 0).expect("one on each").1;
    let second = runs.iter().find(|run| run.0 == 1).expect("one on each").1;
    former.now = 200;
    former
        .scheduler
        .poll_order(former.workers[0], true, at(200));
    former.scheduler.on_poll_failed(former.workers[0], false);
    former.now = 400;
    former
        .scheduler
        .on_registry(registrations(RESTARTED), at(400));
    let batch = former.scheduler.collect(true, at(400));
    let roster = batch.roster.expect("the roster has changed");
    let entry = roster.iter().find(|entry| entry.id == "w0").unwrap();
    assert_eq!(entry.closed, Some(Vec::new()));
    assert!(entry.overlong_left.is_some_and(|left| left > 20_000));
    let term = Term {
        fence: 2 * FENCE,
        former_epoch: 0,
        recovery_deadline: Some(at(6_000)),
    };
    let mut next = Shard::new(term, &[]);
    next.now = 1_000;
    next.workers = next
        .scheduler
        .on_registry(registrations(RESTARTED), at(1_000));
    next.scheduler.on_roster(roster, 1, at(1_000));
    next.submit(active_workflow(1, vec![step(2, 5)], 1, 0));
    next.report(1, &[(second, runs[1].2)], &[]);
    next.now = 6_100;
    next.report(1, &[(second, runs[1].2)], &[]);
    next.plan();
    assert_ne!(next.stage(first), Stage::Recovering);
}

/// Guards against a returning worker that refuses its owner's orders for a lower token.
#[test]
fn a_worker_that_comes_back_after_its_removal_gets_the_highest_token() {
    let mut shard = owner_of_restarted();
    assert_eq!(answer_poll(&mut shard, 1, &[]), FENCE + 1);
    shard
        .scheduler
        .on_registry(vec![registration("w1")], at(400));
    shard.now = 12_000;
    shard.report(1, &[], &[]);
    shard.plan();
    assert_eq!(shard.scheduler.workers.len(), 1, "the worker is removed");
    let entries = vec![registration("w0"), registration("w1")];
    shard.workers[0] = shard.scheduler.on_registry(entries, at(12_500))[0];
    shard.now = 12_600;
    assert_eq!(answer_poll(&mut shard, 1, &[]), FENCE + 1);
}

/// Guards against a wait for the first incarnation after the second one has answered.
#[test]
fn a_settled_second_restart_ends_the_wait_for_orders_to_the_first() {
    let mut shard = owner_of_restarted();
    let worker = shard.workers[0];
    shard
        .scheduler
        .on_registry(registrations(RESTARTED), at(350));
    let first = shard.scheduler.workers[worker].leases.overlong();
    assert!(first > at(350 + LONGEST_LEASE));
    shard.now = 900;
    answer_poll(&mut shard, RESTARTED + 1, &[]);
    let leases = shard.scheduler.workers[worker].leases;
    assert!(leases.overlong() <= at(900 + LONGEST_LEASE + 1));
}
