//! Tests of owners that follow one whose workers have restarted: orders by the clock of a former
//! incarnation give leases that last longer than the recovery of a shard.

mod review;

use super::*;
use crate::fleet::StartAnswer;

/// The clock of a worker that has just restarted.
const NEW_CLOCK: u64 = 40;
/// When the former owner sends its start order.
const STARTED: u64 = 10;
/// When the former owner ends.
const ENDED: u64 = 1_000;
/// How long a run on a restarted worker goes on without a renewal.
const LONGEST_LEASE: u64 = 10_204;
/// The longest time after which a worker carries out a call that it has not answered.
const MAX_LATENESS: u64 = 12_000;
/// The time from the end of an owner to the deadline of its successor's recovery.
const RECOVERY: u64 = 5_000;
/// The longest time from the end of a wait to the start order.
const PASS: u64 = 300;

/// What the store tells the next owner.
struct Stored {
    roster: Vec<RosterEntry>,
    /// The incarnation of the first worker in the registry.
    registered: u64,
}

/// What the former owner learned of the restart of its first worker before it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Learned {
    /// The restarted worker answered the start order.
    ByAnswer,
    /// The registry showed the restart; the start order had no answer.
    ByRegistry,
    /// Nothing: the start order had no answer, and the registry shows the restart later.
    Nothing,
}

fn registrations(first: u64) -> Vec<Registration> {
    let restarted = Registration {
        incarnation: first,
        ..registration("w0")
    };
    vec![restarted, registration("w1")]
}

/// A start order that an owner has sent to the first of its two workers.
struct SentStart {
    worker: WorkerKey,
    task: TaskKey,
    name: TaskName,
    run: u64,
}

/// Lets an owner send a start order to its first worker, and learn of the second.
fn send_start() -> (Shard, SentStart) {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.plan();
    let [(worker, Order::Start { task, run })] = shard.orders[..] else {
        panic!("one start");
    };
    let scheduler = &mut shard.scheduler;
    let order = scheduler.start_order(worker, task, run, at(STARTED));
    let name = order.expect("the start is wanted").task;
    let added = scheduler.on_registry(registrations(1), at(STARTED));
    shard.workers.extend(added);
    shard.report(1, &[], &[]);
    shard.write();
    let sent = SentStart {
        worker,
        task,
        name,
        run,
    };
    (shard, sent)
}

/// Lets an owner start a task on its first worker, which restarts at that moment. Returns the
/// owner, and the task's name and run.
fn former_owner(learned: Learned) -> (Shard, TaskName, u64) {
    let (mut shard, sent) = send_start();
    let SentStart {
        worker,
        task,
        name,
        run,
    } = sent;
    let scheduler = &mut shard.scheduler;
    match learned {
        Learned::ByAnswer => {
            let answer = StartAnswer {
                reply: StartReply::Running,
                clock: Some(NEW_CLOCK),
            };
            scheduler.check_clock(worker, task, answer, at(50), at(60));
            scheduler.on_start(worker, task, run, answer.reply, at(60));
            scheduler.on_registry(registrations(2), at(900));
        }
        Learned::ByRegistry => {
            scheduler.on_start_unanswered(worker, task, run, at(250));
            scheduler.on_registry(registrations(2), at(900));
        }
        Learned::Nothing => {
            scheduler.on_start_unanswered(worker, task, run, at(250));
        }
    }
    shard.now = ENDED;
    shard.write();
    (shard, name, run)
}

/// What a killed owner has stored.
fn killed(mut shard: Shard) -> Stored {
    shard.scheduler.on_heartbeat(at(shard.now));
    let key = shard.workers[0];
    let roster = shard
        .workers
        .iter()
        .map(|key| shard.scheduler.roster_entry(*key, at(shard.now)));
    Stored {
        roster: roster.collect(),
        registered: shard.scheduler.workers[key].registered,
    }
}

/// What an owner stores that stops as planned.
fn released(mut shard: Shard) -> Stored {
    let key = shard.workers[0];
    Stored {
        registered: shard.scheduler.workers[key].registered,
        roster: shard
            .scheduler
            .release_shard(at(shard.now))
            .expect("the roster was read"),
    }
}

/// The next owner, to which the second worker has answered.
fn next_owner(stored: Stored, now: u64) -> Shard {
    let term = Term {
        fence: 2 * FENCE,
        former_epoch: 0,
        recovery_deadline: Some(at(now + RECOVERY)),
    };
    let mut shard = Shard::new(term, &[]);
    shard.now = now;
    let added = shard
        .scheduler
        .on_registry(registrations(stored.registered), at(now));
    shard.workers = added;
    shard.scheduler.on_roster(stored.roster, 1, at(now));
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.report(1, &[], &[]);
    shard
}

/// Lets the second worker report until the task starts there, while the first is silent. Returns
/// the time of that.
fn start_time(shard: &mut Shard, task: TaskName, registered: u64) -> Option<u64> {
    let second = shard.workers[1];
    let limit = shard.now + 3 * LONGEST_LEASE;
    while shard.now < limit {
        shard.now += 100;
        let now = shard.now;
        shard.report(1, &[], &[]);
        if now.is_multiple_of(900) {
            shard
                .scheduler
                .on_registry(registrations(registered), at(now));
        }
        shard.write();
        shard.plan();
        if shard.stage(task) == Stage::Starting(second) {
            return Some(now);
        }
    }
    None
}

fn assert_starts_after(start: Option<u64>, end: u64) {
    assert!(
        start.is_some_and(|at| at > end && at < end + PASS + 1_000),
        "started at {start:?}, last run ended at {end}"
    );
}

/// The worker is cut off before the next owner claims the shard.
#[test]
fn a_task_starts_elsewhere_while_a_restarted_worker_runs_it_for_a_killed_owner() {
    for (learned, end) in [
        (Learned::ByAnswer, 60 + LONGEST_LEASE),
        (Learned::ByRegistry, STARTED + MAX_LATENESS + LONGEST_LEASE),
    ] {
        let (former, task, _) = former_owner(learned);
        let mut next = next_owner(killed(former), ENDED + 500);
        // The roster tells how long the leases lasted when it was written.
        assert_starts_after(start_time(&mut next, task, 2), end + 500);
    }
}

/// The registry shows the restart to the next owner only.
#[test]
fn a_task_starts_elsewhere_while_an_open_worker_that_restarted_before_the_claim_may_run_it() {
    let (former, task, _) = former_owner(Learned::Nothing);
    let now = ENDED + 500;
    let stored = Stored {
        registered: 2,
        ..killed(former)
    };
    let mut next = next_owner(stored, now);
    let start = start_time(&mut next, task, 2);
    assert_starts_after(start, now + MAX_LATENESS + LONGEST_LEASE);
}

/// The registry shows the restart during the recovery.
#[test]
fn a_task_starts_elsewhere_while_a_worker_that_restarted_after_the_claim_may_run_it() {
    let (former, task, _) = former_owner(Learned::Nothing);
    let mut next = next_owner(killed(former), ENDED + 500);
    let start = start_time(&mut next, task, 2);
    // The registry is read every 900 ms here.
    assert_starts_after(start, 1_800 + MAX_LATENESS + LONGEST_LEASE);
}

/// The worker answers the next owner before it is cut off.
#[test]
fn an_adopted_run_starts_elsewhere_before_the_lease_that_a_stopped_owner_gave_has_ended() {
    for stored in [killed, released] {
        let (former, task, run) = former_owner(Learned::ByAnswer);
        let mut next = next_owner(stored(former), ENDED + 100);
        next.report_with(0, 2, vec![live(task, run, 0)], &[]);
        assert_eq!(next.stage(task), Stage::Running(next.workers[0]));
        let start = start_time(&mut next, task, 2);
        assert_starts_after(start, 60 + LONGEST_LEASE);
    }
}

/// The first successor ends as well before the worker answers.
#[test]
fn a_second_successor_starts_a_task_while_a_restarted_worker_runs_it() {
    for end in [killed, released] {
        let (former, task, _) = former_owner(Learned::ByAnswer);
        let mut next = next_owner(killed(former), ENDED + 500);
        next.now += 500;
        next.write();
        next.plan();
        let now = next.now + 500;
        let mut last = next_owner(end(next), now);
        let start = start_time(&mut last, task, 2);
        assert!(
            start.is_some_and(|at| at > 60 + LONGEST_LEASE && at < now + 500 + LONGEST_LEASE),
            "{start:?}"
        );
    }
}

/// Guards against takeovers that wait although no worker has restarted.
#[test]
fn a_silent_worker_that_has_not_restarted_holds_up_tasks_past_the_recovery_deadline() {
    let (former, task, _) = former_owner(Learned::Nothing);
    let mut next = next_owner(killed(former), ENDED + 500);
    let start = start_time(&mut next, task, 1);
    assert_starts_after(start, ENDED + 500 + RECOVERY);
}

/// Guards against takeovers that wait long after a restart.
#[test]
fn the_roster_names_overlong_leases_that_have_ended() {
    let (mut former, ..) = former_owner(Learned::ByAnswer);
    let left = |shard: &Shard| {
        let entry = shard
            .scheduler
            .roster_entry(shard.workers[0], at(shard.now));
        entry.overlong_left
    };
    assert_eq!(left(&former), Some(60 + LONGEST_LEASE - ENDED + 1));
    former.now = 60 + LONGEST_LEASE + 100;
    former.report(1, &[], &[]);
    former.plan();
    assert_eq!(left(&former), None);
    let roster = former.scheduler.collect(false, at(former.now)).roster;
    let roster = roster.expect("the roster has changed");
    assert!(roster.iter().all(|entry| entry.overlong_left.is_none()));
}

/// Guards against long-running tasks that wait for a worker that is known to have ended.
#[test]
fn the_tasks_of_a_restarted_worker_wait_although_another_one_answers_at_its_address() {
    let (mut shard, task, _) = former_owner(Learned::ByAnswer);
    let restarted = shard.workers[0];
    shard.scheduler.on_replaced(restarted, at(shard.now));
    let now = shard.now;
    let start = start_time(&mut shard, task, 2);
    assert!(start.is_some_and(|at| at < now + 5_500), "{start:?}");
}

/// The owner may be killed before the store has the roster that names the restart.
#[test]
fn a_restarted_worker_gets_a_task_before_its_restart_is_stored() {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.report_with(0, 2, Vec::new(), &[]);
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.plan();
    assert_eq!(shard.orders(), "");
    shard.write();
    shard.plan();
    insta::assert_snapshot!(shard.orders(), @"w0: start 0000000000000001.0.0.0 run 100000001");
}

/// A copy of a start that is carried out late, but before the worker answers a poll with a higher
/// fencing token, prolongs the leases of all runs of the worker.
#[test]
fn a_run_starts_elsewhere_before_a_late_start_of_another_task_has_lost_its_effect() {
    let (mut shard, other, _) = former_owner(Learned::ByRegistry);
    let restarted = shard.workers[0];
    // The restarted worker confirms that it will not begin the first task, which is cancelled.
    let task = shard.task(other);
    let stop = shard.scheduler.begin_stop(task, "again", at(shard.now));
    let stop = stop.expect("the run is being stopped");
    shard.scheduler.on_stop(restarted, &stop, at(shard.now));
    shard.scheduler.cancel(WorkflowId(1), at(shard.now));
    // The second worker is silent until the first one has the next task.
    shard.now += 3_000;
    shard.poll_with_new_fence(restarted);
    shard.report_with(0, 2, Vec::new(), &[]);
    let settled = shard.now;
    shard.write();
    shard.submit(active_workflow(2, vec![step(1, 1)], 2, 0));
    shard.plan();
    let runs = shard.confirm();
    let task = name(2, 0, 0);
    assert!(runs.iter().any(|run| (run.0, run.1) == (0, task)));
    let start = start_time(&mut shard, task, 2);
    assert_starts_after(start, settled + LONGEST_LEASE);
}
