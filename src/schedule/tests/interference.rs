//! Tests of best-effort tasks that interfere with serving tasks.

use super::*;

#[test]
fn a_best_effort_image_avoids_a_serving_image_that_it_interfered_with() {
    let mut shard = Shard::first_owner(&["w0", "w1"]);
    shard.submit(active_workflow(1, vec![serving(1, 1, "video")], 1, 0));
    shard.plan();
    let (worker, served, run) = shard.confirm()[0];
    let job = active_workflow(2, vec![best_effort(6, 2, "batch")], 2, 2);
    shard.submit(job);
    shard.plan();
    let best_effort_runs = shard.confirm();
    let beside: Vec<_> = best_effort_runs
        .iter()
        .filter(|run| run.0 == worker)
        .collect();
    assert!(!beside.is_empty());
    shard.now = 1_000;
    let mut running = vec![live(served, run, 60)];
    running.extend(beside.iter().map(|run| live(run.1, run.2, 1900)));
    shard.report_with(worker, 1, running, &[]);
    shard.plan();
    assert!(shard.orders().contains("throttle"), "{}", shard.orders());
    shard.submit(active_workflow(3, vec![best_effort(1, 1, "batch")], 3, 2));
    shard.plan();
    let next = shard.confirm();
    assert!(next.iter().all(|run| run.0 != worker));
}

#[test]
fn an_unplaceable_best_effort_image_does_not_block_other_images() {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.submit(active_workflow(1, vec![serving(1, 1, "video")], 1, 0));
    shard.submit(active_workflow(2, vec![best_effort(2, 2, "loud")], 2, 1));
    shard.plan();
    let runs = shard.confirm();
    shard.now = 1_000;
    let rows = runs
        .iter()
        .map(|run| live(run.1, run.2, if run.1 == name(1, 0, 0) { 60 } else { 1900 }));
    shard.report_with(0, 1, rows.collect(), &[]);
    shard.submit(active_workflow(3, vec![best_effort(1, 1, "loud")], 3, 1));
    shard.submit(active_workflow(4, vec![best_effort(1, 1, "quiet")], 4, 2));
    shard.plan();
    let started: Vec<TaskName> = shard.confirm().into_iter().map(|run| run.1).collect();
    assert_eq!(started, [name(4, 0, 0)]);
}

#[test]
fn a_stuck_best_effort_job_starts_despite_expected_interference() {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.submit(active_workflow(1, vec![serving(1, 1, "video")], 1, 0));
    shard.submit(active_workflow(2, vec![best_effort(1, 2, "loud")], 2, 1));
    shard.plan();
    let runs = shard.confirm();
    for now in [1_000, 1_600, 2_200] {
        shard.now = now;
        let rows = runs
            .iter()
            .map(|run| live(run.1, run.2, if run.1 == name(1, 0, 0) { 60 } else { 1900 }));
        shard.report_with(0, 1, rows.collect(), &[]);
    }
    let job = ActiveWorkflow {
        accepted: at(2_200),
        ..active_workflow(3, vec![best_effort(2, 1, "loud")], 3, 1)
    };
    shard.submit(job);
    shard.plan();
    assert!(!shard.orders().contains("start"), "{}", shard.orders());
    for (now, expected) in [(4_100, false), (4_300, true)] {
        shard.now = now;
        let rows = runs.iter().map(|run| live(run.1, run.2, 10));
        shard.report_with(0, 1, rows.collect(), &[]);
        shard.plan();
        assert_eq!(shard.orders().contains("start"), expected, "at {now}");
    }
    let slow = "throttle 0000000000000003.0.0.0 at 32";
    assert!(shard.orders().contains(slow), "{}", shard.orders());
    let started: Vec<TaskName> = shard.confirm().into_iter().map(|run| run.1).collect();
    assert_eq!(started, [name(3, 0, 0)], "one task of the job");
}

#[test]
fn a_stuck_best_effort_job_does_not_start_in_a_half_used_pool() {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.submit(active_workflow(1, vec![serving(1, 2, "video")], 1, 0));
    shard.submit(active_workflow(2, vec![best_effort(1, 4, "loud")], 2, 1));
    shard.plan();
    let runs = shard.confirm();
    for now in [1_000, 1_600, 2_200, 3_200, 4_300, 5_300, 6_300] {
        shard.now = now;
        let tail = if now > 2_200 { 10 } else { 60 };
        let rows = runs.iter().map(|run| {
            live(
                run.1,
                run.2,
                if run.1 == name(1, 0, 0) { tail } else { 1900 },
            )
        });
        shard.report_with(0, 1, rows.collect(), &[]);
        // A new job that fits no worker.
        let new = active_workflow(now, vec![step(1, 9)], now, 0);
        let accepted = at(now);
        shard.submit(ActiveWorkflow { accepted, ..new });
        if now == 2_200 {
            let job = ActiveWorkflow {
                accepted: at(now),
                ..active_workflow(3, vec![best_effort(1, 1, "loud")], 3, 1)
            };
            shard.submit(job);
        }
        shard.plan();
        assert!(!shard.orders().contains("start"), "{}", shard.orders());
    }
}

#[test]
fn a_tail_that_stays_over_its_target_pauses_all_best_effort_tasks_beside_it() {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.submit(active_workflow(1, vec![serving(1, 1, "video")], 1, 0));
    shard.submit(active_workflow(
        2,
        vec![best_effort(1, 1, "harmless")],
        2,
        2,
    ));
    shard.plan();
    let runs = shard.confirm();
    for now in [600, 1_200] {
        shard.now = now;
        let rows = runs
            .iter()
            .map(|run| live(run.1, run.2, if run.1 == name(1, 0, 0) { 60 } else { 900 }));
        shard.report_with(0, 1, rows.collect(), &[]);
        shard.plan();
    }
    insta::assert_snapshot!(shard.orders(), @"w0: throttle 0000000000000002.0.0.0 at 0");
}
