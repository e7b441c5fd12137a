//! Tests of successors and restarts that a review of the leases of restarted workers found.

use super::*;

/// Reports the second worker until the task starts there, while the registry has these entries.
fn start_time_with(
    shard: &mut Shard,
    task: TaskName,
    entries: impl Fn() -> Vec<Registration>,
) -> Option<u64> {
    let second = *shard.workers.last().expect("two workers");
    let index = shard.workers.len() - 1;
    let limit = shard.now + 3 * LONGEST_LEASE;
    while shard.now < limit {
        shard.now += 100;
        let now = shard.now;
        shard.report(index, &[], &[]);
        if now.is_multiple_of(900) {
            shard.scheduler.on_registry(entries(), at(now));
        }
        shard.write();
        shard.plan();
        if shard.stage(task) == Stage::Starting(second) {
            return Some(now);
        }
    }
    None
}

/// An owner whose registry does not list the first worker. Its workers are in the usual order.
fn owner_without_entry(stored: Vec<RosterEntry>, now: u64) -> Shard {
    let term = Term {
        fence: 2 * FENCE,
        former_epoch: 0,
        recovery_deadline: Some(at(now + RECOVERY)),
    };
    let mut shard = Shard::new(term, &[]);
    shard.now = now;
    let mut second = shard
        .scheduler
        .on_registry(vec![registration("w1")], at(now));
    let mut workers = shard.scheduler.on_roster(stored, 1, at(now));
    workers.append(&mut second);
    shard.workers = workers;
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.report(1, &[], &[]);
    shard
}

/// The entry of a worker that is cut off leaves the registry, while its runs go on.
#[test]
fn a_task_starts_elsewhere_while_a_restarted_worker_without_registry_entry_runs_it() {
    let (former, task, _) = former_owner(Learned::ByAnswer);
    let mut next = next_owner(killed(former), ENDED + 500);
    let start = start_time_with(&mut next, task, || vec![registration("w1")]);
    assert_starts_after(start, 60 + LONGEST_LEASE + 500);
}

/// The former owner knew the new incarnation from a report, and the registry shows the one before.
#[test]
fn a_stale_registry_entry_makes_a_new_owner_forget_overlong_leases() {
    let (mut former, task, run) = former_owner(Learned::ByAnswer);
    former.report_with(0, 2, vec![live(task, run, 0)], &[]);
    former.write();
    let stored = Stored {
        registered: 1,
        ..killed(former)
    };
    let mut next = next_owner(stored, ENDED + 100);
    next.report_with(0, 2, vec![live(task, run, 0)], &[]);
    let start = start_time(&mut next, task, 1);
    assert_starts_after(start, 60 + LONGEST_LEASE);
}

/// The registry has no entry of the worker when the next owner claims the shard.
#[test]
fn a_report_of_an_unregistered_worker_makes_a_new_owner_forget_overlong_leases() {
    let (mut former, task, run) = former_owner(Learned::ByAnswer);
    former.report_with(0, 2, vec![live(task, run, 0)], &[]);
    former.write();
    let mut next = owner_without_entry(killed(former).roster, ENDED + 100);
    next.report_with(0, 2, vec![live(task, run, 0)], &[]);
    let start = start_time_with(&mut next, task, || registrations(2));
    assert_starts_after(start, 60 + LONGEST_LEASE);
}

/// The first successor has no registry entry of the worker, and stores a roster.
#[test]
fn a_roster_of_a_successor_loses_the_incarnation_that_the_former_owner_knew() {
    let (former, task, _) = former_owner(Learned::Nothing);
    let stored = killed(former);
    assert_eq!(stored.roster[0].incarnation, Some(1));
    let mut next = owner_without_entry(stored.roster, ENDED + 500);
    next.write();
    let second = killed(next);
    let now = ENDED + 1_500;
    let mut last = next_owner(
        Stored {
            registered: 2,
            ..second
        },
        now,
    );
    let start = start_time(&mut last, task, 2);
    assert_starts_after(start, now + MAX_LATENESS + LONGEST_LEASE);
}

/// The former incarnation's report arrives after the answer that shows the restart. Then the
/// next poll gives a lease by the former clock and is carried out within 12 s.
#[test]
fn a_late_report_after_a_clock_reset_makes_leases_by_the_former_clock_unbounded() {
    let (mut shard, sent) = send_start();
    let SentStart {
        worker,
        task,
        name,
        run,
    } = sent;
    let scheduler = &mut shard.scheduler;
    let answer = StartAnswer {
        reply: StartReply::Running,
        clock: Some(NEW_CLOCK),
    };
    scheduler.check_clock(worker, task, answer, at(50), at(60));
    scheduler.on_start(worker, task, run, answer.reply, at(60));
    let late = WorkerReport {
        clock: 1_000_005,
        incarnation: 1,
        running: Vec::new(),
        ended: Vec::new(),
    };
    scheduler.on_report(worker, at(5), &late, at(300));
    let poll = scheduler.poll_order(worker, true, at(400));
    let lease = poll.and_then(|poll| poll.lease_end);
    // By a lease that the new incarnation's clock cannot reach in time, the run goes on for the
    // longest lease from the moment at which the poll is carried out.
    let far_ahead = lease.is_some_and(|end| end > 500_000);
    scheduler.on_poll_failed(worker, false);
    scheduler.on_registry(registrations(2), at(900));
    shard.now = 1_000;
    let start = start_time(&mut shard, name, 2);
    let end = match far_ahead {
        true => 400 + MAX_LATENESS + LONGEST_LEASE,
        false => 60 + LONGEST_LEASE,
    };
    assert_starts_after(start, end);
}

/// The start is in progress when the registry shows a restart, gets no answer, and the worker
/// restarts once more: its third incarnation may carry the start out.
#[test]
fn a_start_that_was_withdrawn_in_progress_is_not_open_at_the_second_restart() {
    let (mut shard, sent) = send_start();
    let SentStart {
        worker,
        task,
        name,
        run,
    } = sent;
    let scheduler = &mut shard.scheduler;
    scheduler.on_registry(registrations(2), at(500));
    assert_eq!(scheduler.ledger.tasks[task].stage, Stage::Stopping(worker));
    scheduler.on_start_unanswered(worker, task, run, at(1_510));
    scheduler.on_registry(registrations(3), at(1_800));
    shard.now = 1_800;
    let start = start_time(&mut shard, name, 3);
    assert_starts_after(start, STARTED + MAX_LATENESS + LONGEST_LEASE);
}

/// The run is stopped while its start is in progress; the former incarnation confirms the stop,
/// and the start gets no answer. The next incarnation may carry the start out.
#[test]
fn a_restarted_worker_is_not_told_to_stop_a_run_whose_start_was_stopped_in_progress() {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.plan();
    let [(worker, Order::Start { task, run })] = shard.orders[..] else {
        panic!("one start");
    };
    let scheduler = &mut shard.scheduler;
    let sent = scheduler.start_order(worker, task, run, at(STARTED));
    let sent = sent.expect("the start is wanted");
    let stop = scheduler.begin_stop(task, "again", at(100)).expect("stop");
    scheduler.on_start_unanswered(worker, task, run, at(1_510));
    scheduler.on_stop(worker, &stop, at(1_520));
    shard.now = 1_600;
    shard.report(0, &[], &[]);
    assert_ne!(shard.stage(sent.task), Stage::Stopping(worker));
    shard.scheduler.on_registry(registrations(2), at(2_500));
    shard.now = 2_600;
    shard.plan();
    let expected = format!("w0: stop {} run {run}", sent.task);
    assert!(
        shard.orders().contains(&expected),
        "orders: {:?}",
        shard.orders()
    );
}

/// A write of the roster is in progress when the worker restarts.
#[test]
fn a_roster_from_before_a_restart_opens_the_restarted_worker() {
    let mut shard = Shard::first_owner(&["w0"]);
    let added = shard.scheduler.on_registry(registrations(1), at(0));
    shard.workers.extend(added);
    let batch = shard.scheduler.collect(true, at(0));
    assert!(batch.roster.is_some());
    shard.now = 100;
    shard.report_with(0, 2, Vec::new(), &[]);
    shard.scheduler.on_written(&batch);
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.plan();
    assert_eq!(shard.orders(), "");
}

/// The owner goes on for 14 s after the restart, and is then killed. Its successor counts the time
/// that the roster names anew.
#[test]
fn a_successor_waits_anew_for_leases_that_a_former_owner_has_waited_for() {
    let (mut former, task, _) = former_owner(Learned::ByRegistry);
    let mut stored = killed(former_owner(Learned::ByRegistry).0).roster;
    while former.now < 15_000 {
        former.now += 100;
        former.report(1, &[], &[]);
        if former.now.is_multiple_of(900) {
            let now = at(former.now);
            former.scheduler.on_registry(registrations(2), now);
        }
        former.plan();
        let batch = former.scheduler.collect(true, at(former.now));
        former.scheduler.on_written(&batch);
        stored = batch.roster.unwrap_or(stored);
    }
    let stored = Stored {
        roster: stored,
        registered: 2,
    };
    let mut next = next_owner(stored, 15_500);
    let start = start_time(&mut next, task, 2);
    let end = STARTED + MAX_LATENESS + LONGEST_LEASE;
    assert!(
        start.is_some_and(|at| at > end && at < end + 2_000),
        "{start:?}, last run ended at {end}"
    );
}

/// While the recovery waits for the first worker, the second restarts and leaves the registry.
#[test]
fn a_worker_with_a_withdrawn_start_is_removed_as_one_that_never_answered() {
    let (former, ..) = former_owner(Learned::ByRegistry);
    let mut next = next_owner(killed(former), ENDED + 500);
    next.write();
    next.submit(active_workflow(2, vec![step(1, 1)], 2 * FENCE + 1, 0));
    next.plan();
    let second = next.workers[1];
    let start = next.orders.iter().find_map(|(worker, order)| match order {
        Order::Start { task, run } if *worker == second => Some((*task, *run)),
        _ => None,
    });
    let (task, run) = start.expect("the new job starts on the second worker");
    let now = at(next.now);
    assert!(next.scheduler.start_order(second, task, run, now).is_some());
    next.scheduler.on_start_unanswered(second, task, run, now);
    let mut entries = registrations(2);
    entries[1].incarnation = 2;
    next.now += 500;
    next.scheduler.on_registry(entries.clone(), at(next.now));
    assert_eq!(
        next.scheduler.ledger.tasks[task].stage,
        Stage::Stopping(second)
    );
    entries.truncate(1);
    next.scheduler.on_registry(entries, at(next.now + 500));
    next.now += RECOVERY;
    next.plan();
    assert!(
        next.scheduler.workers.contains_key(second),
        "{:?} on a removed worker",
        next.scheduler.ledger.tasks[task].stage
    );
}
