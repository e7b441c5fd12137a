//! Filling tasks and the serving ones that they disturb.

use super::*;

#[test]
fn a_filling_image_is_kept_away_from_a_serving_one_that_it_disturbed() {
    let mut shard = Shard::first(&["w0", "w1"]);
    shard.submit(flow(1, vec![serving(1, 1, "video")], 1, 0));
    shard.plan();
    let (place, served, run) = shard.confirm()[0];
    let fill = flow(2, vec![filling(6, 2, "batch")], 2, 2);
    shard.submit(fill);
    shard.plan();
    let fills = shard.confirm();
    let beside: Vec<_> = fills.iter().filter(|fill| fill.0 == place).collect();
    assert!(!beside.is_empty());
    shard.now = 1_000;
    let mut running = vec![live(served, run, 60)];
    running.extend(beside.iter().map(|fill| live(fill.1, fill.2, 1900)));
    shard.look_with(place, 1, running, &[]);
    shard.plan();
    assert!(shard.orders().contains("pace"), "{}", shard.orders());
    shard.submit(flow(3, vec![filling(1, 1, "batch")], 3, 2));
    shard.plan();
    let next = shard.confirm();
    assert!(next.iter().all(|fill| fill.0 != place));
}

#[test]
fn a_filling_image_without_a_place_does_not_hold_others_back() {
    let mut shard = Shard::first(&["w0"]);
    shard.submit(flow(1, vec![serving(1, 1, "video")], 1, 0));
    shard.submit(flow(2, vec![filling(2, 2, "loud")], 2, 1));
    shard.plan();
    let runs = shard.confirm();
    shard.now = 1_000;
    let rows = runs
        .iter()
        .map(|run| live(run.1, run.2, if run.1 == name(1, 0, 0) { 60 } else { 1900 }));
    shard.look_with(0, 1, rows.collect(), &[]);
    shard.submit(flow(3, vec![filling(1, 1, "loud")], 3, 1));
    shard.submit(flow(4, vec![filling(1, 1, "quiet")], 4, 2));
    shard.plan();
    let started: Vec<TaskName> = shard.confirm().into_iter().map(|run| run.1).collect();
    assert_eq!(started, [name(4, 0, 0)]);
}

#[test]
fn a_job_of_which_nothing_runs_takes_a_place_where_it_disturbs() {
    let mut shard = Shard::first(&["w0"]);
    shard.submit(flow(1, vec![serving(1, 1, "video")], 1, 0));
    shard.submit(flow(2, vec![filling(1, 2, "loud")], 2, 1));
    shard.plan();
    let runs = shard.confirm();
    for now in [1_000, 1_600, 2_200] {
        shard.now = now;
        let rows = runs
            .iter()
            .map(|run| live(run.1, run.2, if run.1 == name(1, 0, 0) { 60 } else { 1900 }));
        shard.look_with(0, 1, rows.collect(), &[]);
    }
    shard.submit(flow(3, vec![filling(2, 1, "loud")], 3, 1));
    shard.plan();
    assert!(!shard.orders().contains("start"), "{}", shard.orders());
    for (now, expected) in [(4_300, false), (5_300, true)] {
        shard.now = now;
        let rows = runs.iter().map(|run| live(run.1, run.2, 10));
        shard.look_with(0, 1, rows.collect(), &[]);
        shard.plan();
        // A tail was too long at 2.2 s.
        assert_eq!(shard.orders().contains("start"), expected, "at {now}");
    }
    let started: Vec<TaskName> = shard.confirm().into_iter().map(|run| run.1).collect();
    assert_eq!(started, [name(3, 0, 0)], "one task of the job");
}

#[test]
fn a_pool_that_is_half_in_use_has_no_place_for_what_disturbs() {
    let mut shard = Shard::first(&["w0"]);
    shard.submit(flow(1, vec![serving(1, 2, "video")], 1, 0));
    shard.submit(flow(2, vec![filling(1, 4, "loud")], 2, 1));
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
        shard.look_with(0, 1, rows.collect(), &[]);
        if now == 2_200 {
            shard.submit(flow(3, vec![filling(1, 1, "loud")], 3, 1));
        }
        shard.plan();
        assert!(!shard.orders().contains("start"), "{}", shard.orders());
    }
}

#[test]
fn a_tail_that_stays_over_its_target_pauses_all_that_fills_beside_it() {
    let mut shard = Shard::first(&["w0"]);
    shard.submit(flow(1, vec![serving(1, 1, "video")], 1, 0));
    shard.submit(flow(2, vec![filling(1, 1, "harmless")], 2, 2));
    shard.plan();
    let runs = shard.confirm();
    for now in [600, 1_200] {
        shard.now = now;
        let rows = runs
            .iter()
            .map(|run| live(run.1, run.2, if run.1 == name(1, 0, 0) { 60 } else { 900 }));
        shard.look_with(0, 1, rows.collect(), &[]);
        shard.plan();
    }
    insta::assert_snapshot!(shard.orders(), @"w0: pace 0000000000000002.0.0.0 at 0");
}
