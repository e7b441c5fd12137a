//! Tests of what a new owner concludes from what the former owner stored.

use super::*;
use crate::schedule::Change;

/// What an owner has stored of one job and of the workers.
#[derive(Debug, Clone, Default)]
struct Stored {
    roster: Vec<RosterEntry>,
    progress: Progress,
    /// Whether the end of the job is stored.
    ended: bool,
}

impl Stored {
    fn apply(&mut self, change: &Change) {
        match change {
            Change::End(_) => self.ended = true,
            Change::Progress(_, _, progress) => self.progress = progress.clone(),
            Change::Roster(roster) => self.roster.clone_from(roster),
            Change::Start(_)
            | Change::Move(_)
            | Change::Recovered
            | Change::Pending(_)
            | Change::Pairs(_) => {}
        }
    }

    /// Returns the state after these changes were written.
    fn after(&self, changes: &[Change]) -> Self {
        let mut stored = self.clone();
        for change in changes {
            stored.apply(change);
        }
        stored
    }

    /// Starts a new owner from this state. The workers of these indices answer it without
    /// runs. Returns its orders.
    fn takeover(&self, workers: &[&str], answering: &[usize], job: &ActiveWorkflow) -> String {
        let term = Term {
            fence: 2 * FENCE,
            recovery_deadline: Some(at(10_000)),
            ..Term::default()
        };
        let mut shard = Shard::new(term, workers);
        shard.scheduler.on_roster(self.roster.clone(), 0, at(0));
        if !self.ended {
            shard.restore(job.clone(), &self.progress.tasks);
        }
        for worker in answering {
            shard.report(*worker, &[], &[]);
        }
        shard.plan();
        let first = shard.orders();
        shard.write();
        for worker in answering {
            shard.report(*worker, &[], &[]);
        }
        shard.plan();
        first + &shard.orders()
    }
}

/// Writes a batch completely.
fn write_all(shard: &mut Shard, stored: &mut Stored) {
    let batch = shard.scheduler.collect(true, at(shard.now));
    *stored = stored.after(&batch.changes());
    shard.scheduler.on_written(&batch);
}

/// The first owner of a shard with a job of this step that is starting on its only open worker,
/// and what it has stored.
fn starting_job(step: Step, workers: &[&str]) -> (Shard, Stored, ActiveWorkflow) {
    let mut shard = Shard::first_owner(workers);
    let mut stored = Stored::default();
    let job = active_workflow(1, vec![step], 1, 0);
    shard.submit(job.clone());
    shard.plan();
    shard.confirm();
    shard.scheduler.writes.mark_roster_changed();
    write_all(&mut shard, &mut stored);
    (shard, stored, job)
}

/// Lets a worker become silent until it is closed.
fn close_silent(shard: &mut Shard, others: &[usize]) {
    for _ in 0..3 {
        shard.now += 600;
        for worker in others {
            shard.report(*worker, &[], &[]);
        }
        shard.plan();
    }
}

#[test]
fn a_task_that_was_done_on_a_worker_that_was_closed_since_starts_again_after_a_takeover() {
    for outcome in [RunOutcome::Done, RunOutcome::Failed] {
        let workers = ["w0"];
        let (mut shard, stored, job) = starting_job(step(2, 1), &workers);
        let task = name(1, 0, 0);
        let run = shard.scheduler.ledger.tasks[shard.task(task)].run;
        let other = name(1, 0, 1);
        let other_run = shard.scheduler.ledger.tasks[shard.task(other)].run;
        shard.now = 500;
        shard.report(0, &[(other, other_run)], &[(1, task, run, outcome)]);
        close_silent(&mut shard, &[]);
        let batch = shard.scheduler.collect(false, at(shard.now));
        assert!(batch.roster.is_some(), "the worker is closed");
        for written in 0..=batch.changes().len() {
            let stored = stored.after(&batch.changes()[..written]);
            let orders = stored.takeover(&["w0", "w1"], &[1], &job);
            assert!(
                !orders.contains(&format!("start {task}")),
                "{outcome:?}, after {written} changes: {orders}"
            );
        }
    }
}

#[test]
fn a_task_of_a_job_that_has_ended_starts_again_after_a_takeover_during_the_write() {
    let (mut shard, stored, job) = starting_job(step(1, 1), &["w0"]);
    let task = name(1, 0, 0);
    let run = shard.scheduler.ledger.tasks[shard.task(task)].run;
    shard.now = 500;
    shard.report(0, &[], &[(1, task, run, RunOutcome::Done)]);
    close_silent(&mut shard, &[]);
    let batch = shard.scheduler.collect(false, at(shard.now));
    for written in 0..=batch.changes().len() {
        let stored = stored.after(&batch.changes()[..written]);
        let orders = stored.takeover(&["w0", "w1"], &[1], &job);
        assert_eq!(orders, "", "after {written} changes");
    }
}

#[test]
fn a_task_that_a_closed_worker_may_still_begin_starts_elsewhere_after_a_takeover() {
    let (mut shard, stored, job) = starting_job(step(1, 1), &["w0", "w1"]);
    let task = name(1, 0, 0);
    let worker = shard.stage(task).worker().expect("the task runs");
    let index = usize::from(worker == shard.workers[1]);
    let other = 1 - index;
    let run = shard.scheduler.ledger.tasks[shard.task(task)].run;
    // The other worker has an open copy of an earlier start order.
    let earlier = (task, run - 1);
    let key = shard.workers[other];
    shard
        .scheduler
        .stop_unlisted(key, earlier, "the worker restarted", at(0));
    close_silent(&mut shard, &[]);
    let mut stored = stored;
    write_all(&mut shard, &mut stored);
    let entry = stored
        .roster
        .iter()
        .find(|entry| entry.id == format!("w{other}"));
    assert_eq!(
        entry.unwrap().closed,
        Some(vec![task]),
        "{:?}",
        stored.roster
    );
    let orders = stored.takeover(&["w0", "w1", "w2"], &[2], &job);
    assert_eq!(orders, "");
}

#[test]
fn a_task_whose_end_did_not_fit_into_the_first_report_starts_again_after_a_takeover() {
    let mut shard = Shard::later_owner(&["w0", "w1"]);
    let task = name(1, 0, 0);
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.report(1, &[], &[]);
    let others: Vec<_> = (1..=500)
        .map(|number| (number, name(2, 0, number as u32), 7, RunOutcome::Done))
        .collect();
    shard.report(0, &[], &others);
    shard.plan();
    assert_eq!(shard.orders(), "");
    shard.now = 100;
    shard.report(0, &[], &[(501, task, 7, RunOutcome::Done)]);
    shard.plan();
    assert_eq!(shard.orders(), "");
}

#[test]
fn a_task_of_an_unregistered_closed_worker_starts_again_after_the_first_part_of_its_ends() {
    let task = name(1, 0, 0);
    let stored = |closed| RosterEntry {
        id: "w9".to_owned(),
        address: "127.0.0.1:9".to_owned(),
        zone: String::new(),
        closed,
        lease_left: None,
        overlong_left: None,
        incarnation: None,
    };
    for closed in [None, Some(vec![task])] {
        let term = Term {
            fence: 2 * FENCE,
            recovery_deadline: Some(at(10_000)),
            ..Term::default()
        };
        let mut shard = Shard::new(term, &["w1"]);
        let roster = vec![stored(closed.clone())];
        let added = shard.scheduler.on_roster(roster, 0, at(0));
        shard.restore(
            active_workflow(1, vec![step(1, 1)], 1, 0),
            &Progress::default().tasks,
        );
        shard.report(0, &[], &[]);
        shard.write();
        shard.plan();
        let ended = (1..=500)
            .map(|number| EndedRun {
                number,
                task: name(2, 0, number as u32),
                run: 7,
                outcome: RunOutcome::Done,
                checkpoint: String::new(),
            })
            .collect();
        let report = WorkerReport {
            clock: 1,
            incarnation: 77,
            running: Vec::new(),
            ended,
        };
        shard.scheduler.on_report(added[0], at(0), &report, at(1));
        shard.report(0, &[], &[]);
        shard.write();
        shard.plan();
        let orders = shard.orders();
        assert_eq!(orders, "", "closed: {closed:?}");
    }
}

#[test]
fn a_worker_that_fell_silent_between_two_parts_of_its_ends_is_closed_without_the_rest() {
    let mut shard = Shard::later_owner(&["w0", "w1"]);
    let task = name(1, 0, 0);
    let job = active_workflow(1, vec![step(1, 1)], 1, 0);
    shard.submit(job.clone());
    shard.report(1, &[], &[]);
    let others: Vec<_> = (1..=500)
        .map(|number| (number, name(2, 0, number as u32), 7, RunOutcome::Done))
        .collect();
    shard.report(0, &[], &others);
    let mut stored = Stored::default();
    write_all(&mut shard, &mut stored);
    close_silent(&mut shard, &[1]);
    assert_eq!(shard.orders(), "");
    write_all(&mut shard, &mut stored);
    let orders = stored.takeover(&["w0", "w1"], &[1], &job);
    assert_eq!(orders, "", "{task} {:?}", stored.roster);
}

#[test]
fn state_that_is_read_after_the_recovery_deadline_is_restored_without_recovery() {
    let term = Term {
        fence: FENCE,
        recovery_deadline: Some(at(10_000)),
        ..Term::default()
    };
    let mut shard = Shard::new(term, &[]);
    for now in [100, 10_001] {
        shard.now = now;
        shard.plan();
    }
    // The state is read now: workers that answer, one of them with the end of the task.
    let entries = ["w0", "w1"].iter().map(|id| registration(id)).collect();
    let job = active_workflow(1, vec![step(1, 1)], 1, 0);
    shard.submit(job);
    shard.workers = shard.scheduler.on_registry(entries, at(shard.now));
    let roster = ["w0", "w1"]
        .iter()
        .map(|id| roster_entry(id, None))
        .collect();
    shard.scheduler.on_roster(roster, 0, at(shard.now));
    shard.now += 10;
    shard.report(1, &[], &[]);
    shard.plan();
    let orders = shard.orders();
    // 10 ms later the other worker would say that the task is done.
    assert_eq!(orders, "");
}
