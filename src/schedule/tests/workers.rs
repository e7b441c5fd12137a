//! Workers that leave, are silent, start anew or are impaired.

use super::*;

#[test]
fn a_silent_worker_is_given_up_only_after_a_later_confirmation() {
    let mut shard = Shard::first(&["w0", "w1"]);
    shard.submit(flow(1, vec![step(1, 1)], 1, 0));
    shard.plan();
    let (place, task, _) = shard.confirm()[0];
    let other = 1 - place;
    shard.now = 6_000;
    shard.look(other, &[], &[]);
    // The store was not heard since: a newer owner may have prolonged the run.
    shard.plan_confirmed(at(1_000));
    assert_eq!(shard.stage(task), Stage::Running(shard.workers[place]));
    shard.now = 6_100;
    shard.look(other, &[], &[]);
    shard.plan();
    assert_eq!(shard.stage(task), Stage::Waiting);
    shard.now = 6_200;
    shard.look(other, &[], &[]);
    shard.plan();
    assert_eq!(shard.stage(task), Stage::Starting(shard.workers[other]));
}

#[test]
fn a_worker_that_left_leaves_the_roster() {
    let mut shard = Shard::first(&["w0", "w1"]);
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
    shard.scheduler.on_look_failed(shard.workers[1], true);
    let batch = shard.scheduler.collect(false, at(40));
    assert_eq!(roster_ids(batch), ["w0"]);
}

#[test]
fn a_refused_connection_does_not_prove_that_runs_have_ended() {
    let mut shard = Shard::first(&["w0", "w1"]);
    shard.submit(flow(1, vec![step(1, 1)], 1, 0));
    shard.plan();
    let (place, task, _) = shard.confirm()[0];
    let ids = ["w0", "w1"];
    let draining = Registration {
        availability: Availability::Draining,
        ..registration(ids[place])
    };
    let other = registration(ids[1 - place]);
    shard
        .scheduler
        .on_registry(vec![draining, other.clone()], at(10));
    shard.scheduler.on_registry(vec![other], at(20));
    // A cut may reset connections although the worker lives.
    shard.scheduler.on_look_failed(shard.workers[place], true);
    assert_eq!(shard.stage(task), Stage::Running(shard.workers[place]));
}

#[test]
fn a_new_life_of_a_worker_runs_nothing_of_the_former() {
    let mut shard = Shard::first(&["w0"]);
    shard.submit(flow(1, vec![step(1, 1)], 1, 0));
    shard.plan();
    let (_, task, _) = shard.confirm()[0];
    shard.now = 1_000;
    shard.look_with(0, 2, Vec::new(), &[]);
    assert_eq!(shard.stage(task), Stage::Waiting);
}

#[test]
fn a_draining_worker_gets_no_tasks_and_gives_up_its_lasting_ones() {
    let mut shard = Shard::first(&["w0", "w1"]);
    shard.submit(flow(1, vec![serving(1, 1, "video")], 1, 0));
    shard.plan();
    let (place, task, run) = shard.confirm()[0];
    let ids = ["w0", "w1"];
    let entries = (0..2).map(|number| Registration {
        availability: if number == place {
            Availability::Draining
        } else {
            Availability::Ready
        },
        ..registration(ids[number])
    });
    shard.now = 100;
    shard.scheduler.on_registry(entries.collect(), at(100));
    shard.look(place, &[], &[(1, task, run, RunOutcome::Stopped)]);
    shard.plan();
    let started: Vec<usize> = shard.confirm().into_iter().map(|run| run.0).collect();
    assert_eq!(started, [1 - place]);
}

#[test]
fn a_worker_whose_serving_tasks_all_crawl_is_relieved() {
    let mut shard = Shard::first(&["w0", "w1"]);
    shard.submit(flow(1, vec![serving(1, 4, "video")], 1, 0));
    shard.plan();
    let (place, served, run) = shard.confirm()[0];
    shard.submit(flow(2, vec![step(12, 1)], 2, 0));
    shard.plan();
    let beside = shard.confirm().into_iter().find(|run| run.0 == place);
    let (_, task, urgent) = beside.expect("some of the tasks are beside it");
    shard.now = 1_000;
    shard.look(1 - place, &[], &[]);
    let progress = LiveRun {
        progress: 10,
        ..live(task, urgent, 900)
    };
    shard.look_with(place, 1, vec![live(served, run, 850), progress], &[]);
    assert_eq!(shard.stage(task), Stage::Stopping(shard.workers[place]));
    assert_eq!(shard.stage(served), Stage::Stopping(shard.workers[place]));
    shard.submit(flow(3, vec![step(1, 1)], 3, 0));
    shard.plan();
    let next = shard.confirm();
    assert!(next.iter().all(|run| run.0 != place), "{next:?}");
}

#[test]
fn a_disturbed_worker_is_not_taken_for_an_impaired_one() {
    let mut shard = Shard::first(&["w0", "w1"]);
    shard.submit(flow(1, vec![serving(1, 4, "video")], 1, 0));
    shard.plan();
    let (place, served, run) = shard.confirm()[0];
    shard.now = 1_000;
    shard.look_with(place, 1, vec![live(served, run, 300)], &[]);
    assert_eq!(shard.stage(served), Stage::Running(shard.workers[place]));
}

#[test]
fn a_run_that_makes_no_progress_starts_elsewhere() {
    let mut shard = Shard::first(&["w0", "w1"]);
    shard.submit(flow(1, vec![step(2, 5)], 1, 0));
    shard.plan();
    let (place, task, run) = shard.confirm()[0];
    for now in [500, 1_300, 2_200] {
        shard.now = now;
        let row = LiveRun {
            progress: 30,
            ..live(task, run, 900)
        };
        shard.look_with(place, 1, vec![row], &[]);
    }
    assert_eq!(shard.stage(task), Stage::Stopping(shard.workers[place]));
}
