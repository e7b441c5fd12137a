//! Tests of ended runs and their effect on jobs.

use super::*;
use crate::routing::MAX_STRETCH;
use crate::shards::{AcceptedJob, decode, encode};

#[test]
fn a_task_that_fails_too_often_ends_its_job_and_stops_the_rest() {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.submit(active_workflow(1, vec![step(2, 1)], 1, 0));
    for number in 1..=2 {
        shard.plan();
        let runs = shard.confirm();
        let (_, task, run) = runs.into_iter().find(|run| run.1.index == 0).unwrap();
        shard.now += 100;
        let other = name(1, 0, 1);
        let run_of_other = shard.scheduler.ledger.tasks[shard.task(other)].run;
        shard.report(
            0,
            &[(other, run_of_other)],
            &[(number, task, run, RunOutcome::Failed)],
        );
    }
    shard.plan();
    insta::assert_snapshot!(shard.orders(), @"w0: stop 0000000000000001.0.0.1 run 100000002");
    let batch = shard.scheduler.collect(false, at(shard.now));
    assert_eq!(batch.ended[0].state, WorkflowState::Failed);
}

#[test]
fn an_end_is_acknowledged_only_after_the_store_has_it() {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.submit(active_workflow(1, vec![step(2, 1)], 1, 0));
    shard.plan();
    let runs = shard.confirm();
    shard.now = 100;
    shard.report(
        0,
        &[(runs[1].1, runs[1].2)],
        &[(1, runs[0].1, runs[0].2, RunOutcome::Done)],
    );
    let acknowledged = |shard: &mut Shard| {
        let order = shard
            .scheduler
            .poll_order(shard.workers[0], true, at(shard.now));
        order.unwrap().acknowledged
    };
    assert_eq!(acknowledged(&mut shard), 0);
    let batch = shard.scheduler.collect(true, at(100));
    assert_eq!(batch.progress.len(), 1);
    assert_eq!(acknowledged(&mut shard), 0);
    shard.scheduler.on_written(&batch);
    assert_eq!(acknowledged(&mut shard), 1);
}

#[test]
fn long_running_tasks_restart_after_any_outcome() {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.submit(active_workflow(1, vec![serving(1, 1, "video")], 1, 0));
    for (number, outcome) in [
        RunOutcome::Failed,
        RunOutcome::Done,
        RunOutcome::Failed,
        RunOutcome::Lapsed,
    ]
    .into_iter()
    .enumerate()
    {
        shard.plan();
        let runs = shard.confirm();
        assert_eq!(runs.len(), 1);
        shard.now += 100;
        shard.report(
            0,
            &[],
            &[(number as u64 + 1, runs[0].1, runs[0].2, outcome)],
        );
    }
    assert_eq!(shard.stage(name(1, 0, 0)), Stage::Waiting);
}

#[test]
fn capacity_of_a_gang_member_is_held_until_its_worker_reports_it_gone() {
    let gang = Step {
        gang: true,
        ..step(2, 8)
    };
    let mut shard = Shard::first_owner(&["w0", "w1"]);
    shard.submit(active_workflow(1, vec![gang], 1, 0));
    shard.plan();
    let runs = shard.confirm();
    shard.submit(active_workflow(2, vec![step(2, 8)], 2, 0));
    let (worker, task, run) = runs[0];
    shard.now = 500;
    shard.report(worker, &[], &[(1, task, run, RunOutcome::Done)]);
    shard.plan();
    let started: Vec<usize> = shard.confirm().into_iter().map(|run| run.0).collect();
    assert_eq!(
        started,
        [worker],
        "the other worker may still run its member"
    );
    shard.now = 600;
    shard.report(
        runs[1].0,
        &[],
        &[(1, runs[1].1, runs[1].2, RunOutcome::Done)],
    );
    shard.plan();
    assert_eq!(shard.confirm().len(), 1);
}

#[test]
fn a_repeated_start_does_not_prolong_its_lease() {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
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
    assert_eq!(first.lease_end, again.lease_end);
}

#[test]
fn capacity_of_a_later_run_is_held_until_it_has_stopped() {
    let mut shard = Shard::first_owner(&["w0", "w1"]);
    shard.submit(active_workflow(1, vec![step(1, 8)], 1, 0));
    shard.plan();
    let (worker, task, run) = shard.confirm()[0];
    let other = 1 - worker;
    for now in [6_000, 6_300] {
        shard.now = now;
        shard.report(other, &[], &[]);
        shard.plan();
    }
    let (_, _, later) = shard.confirm()[0];
    // The silent worker answers again and reports the first run as done.
    shard.now = 6_500;
    shard.report(worker, &[], &[(1, task, run, RunOutcome::Done)]);
    shard.report(other, &[(task, later)], &[]);
    // Writing the roster reopens the worker.
    shard.write();
    shard.submit(active_workflow(2, vec![step(2, 8)], 2, 0));
    shard.plan();
    let started: Vec<usize> = shard.confirm().into_iter().map(|run| run.0).collect();
    assert_eq!(started, [worker]);
}

#[test]
fn an_ended_job_is_not_resubmitted_by_a_stale_store_read() {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.plan();
    let runs = shard.confirm();
    shard.now = 100;
    shard.report(0, &[], &[(1, runs[0].1, runs[0].2, RunOutcome::Done)]);
    let batch = shard.scheduler.collect(true, at(100));
    shard
        .scheduler
        .on_end_written(batch.ended[0].workflow, at(100));
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.plan();
    assert_eq!(shard.orders(), "");
}

#[test]
fn the_end_of_an_earlier_run_does_not_free_a_task_that_runs_again_elsewhere() {
    let mut shard = Shard::later_owner(&["w0", "w1"]);
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    let task = name(1, 0, 0);
    shard.report(0, &[], &[(1, task, 7, RunOutcome::Failed)]);
    shard.plan();
    assert_eq!(shard.orders(), "");
    shard.report(1, &[(task, 8)], &[]);
    shard.plan();
    assert_eq!(shard.stage(task), Stage::Running(shard.workers[1]));
}

#[test]
fn failures_are_counted_once_a_run_in_whatever_order_they_are_listed() {
    let mut shard = Shard::later_owner(&["w0", "w1"]);
    let task = name(1, 0, 0);
    let record = TaskRecord {
        failed: vec![7],
        ..TaskRecord::default()
    };
    shard.restore(active_workflow(1, vec![step(1, 1)], 1, 0), &[record]);
    shard.report(0, &[], &[(1, task, 7, RunOutcome::Failed)]);
    assert!(shard.scheduler.collect(false, at(0)).ended.is_empty());
    // This run is earlier than the last counted one.
    shard.report(1, &[], &[(1, task, 6, RunOutcome::Failed)]);
    assert_eq!(shard.scheduler.collect(false, at(0)).ended.len(), 1);
}

#[test]
fn a_stored_job_with_impossible_settings_of_its_queue_is_not_run() {
    let stored = |stretch: f64| {
        let job = active_workflow(1, vec![step(1, 1)], 1, 0);
        let accepted = AcceptedJob {
            queue: Queue {
                stretch,
                ..job.queue.as_ref().clone()
            },
            workflow: job.spec.as_ref().clone(),
            accepted_at: 0,
            moved: None,
        };
        decode::<AcceptedJob>(&encode(&accepted)).unwrap()
    };
    for stretch in [-1.0, f64::NAN, f64::INFINITY, 1e300] {
        assert!(stored(stretch).check().is_err(), "{stretch}");
    }
    // The limits are possible values: an owner can rank jobs that have them.
    for stretch in [0.0, MAX_STRETCH] {
        let accepted = stored(stretch);
        assert_eq!(accepted.check(), Ok(()));
        let mut shard = Shard::first_owner(&["w0"]);
        shard.submit(ActiveWorkflow {
            queue: Arc::new(accepted.queue),
            ..active_workflow(1, vec![step(1, 1)], 1, 0)
        });
        shard.plan();
        assert_eq!(shard.confirm().len(), 1);
    }
}

#[test]
fn a_run_that_was_done_before_its_task_started_again_is_logged() {
    let mut shard = Shard::later_owner(&["w0", "w1"]);
    let task = name(1, 0, 0);
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.report_all();
    shard.plan();
    let (worker, _, run) = shard.confirm()[0];
    shard.scheduler.take_events();
    let other = 1 - worker;
    shard.report(other, &[], &[(1, task, 7, RunOutcome::Done)]);
    let events = shard.scheduler.take_events();
    let duplicates = events.iter().filter_map(|event| match event {
        Event::DuplicateRun {
            run, earlier, done, ..
        } => Some((*run, *earlier, *done)),
        _ => None,
    });
    assert_eq!(duplicates.collect::<Vec<_>>(), [(run, 7, true)]);
}
