//! Regression tests: minimal cases of failures that the fuzz test found.

use rstest::rstest;

use crate::world::oracle::Oracle;
use crate::world::step::Step;
use crate::world::{HOST_COUNT, WORKER_COUNT, World};

fn run_steps(steps: &[Step]) {
    let mut world = World::new();
    for step in steps {
        world.apply(step);
    }
    world.run_to_completion();
    Oracle::check_end(&mut world);
}

/// Every process of the zone was replaced or stopped while the store was down, so
/// no process could know that the members of the former view were dead.
#[test]
fn jobs_end_after_a_whole_zone_is_replaced_during_an_outage() {
    run_steps(&[
        Step::Submit(2, 0, 1),
        Step::StoreDown(true),
        Step::Stop(0),
        Step::Advance(4001),
        Step::Replace(1),
        Step::Stop(2),
    ]);
}

/// Guards against an owner that cannot read the requests and goes on starting tasks in an
/// evacuated zone.
#[rstest]
#[case(0)]
#[case(1)]
#[case(2)]
fn an_owner_without_the_store_learns_of_an_evacuation_from_peers(#[case] owner: usize) {
    let mut steps = vec![Step::Submit(owner, 0, 3); 8];
    steps.extend([
        Step::Advance(500),
        Step::StoreUnreachable(owner, true),
        Step::Evacuate(true),
        Step::Advance(20_000),
        Step::Evacuate(false),
        Step::Advance(5000),
    ]);
    run_steps(&steps);
}

/// An owner that could not read the host list assigned work to a leaving worker.
#[rstest]
#[case(0)]
#[case(1)]
#[case(2)]
fn an_owner_without_the_host_list_learns_of_leaving_workers_from_peers(#[case] owner: usize) {
    let mut steps = vec![Step::Submit(owner, 0, 3); 8];
    steps.extend([Step::Advance(500), Step::StoreUnreachable(owner, true)]);
    steps.extend((0..WORKER_COUNT).map(Step::WorkerLeaves));
    steps.push(Step::Advance(20_000));
    run_steps(&steps);
}

/// Requests with idempotency keys are repeated after every entry host was replaced.
#[test]
fn a_repeated_key_does_not_run_again_after_its_owner_is_replaced() {
    let requests =
        || (0..HOST_COUNT).flat_map(|host| (0..6).map(move |key| Step::KeyedRequest(host, key)));
    let mut steps: Vec<Step> = requests().collect();
    steps.push(Step::Advance(1000));
    steps.extend((0..HOST_COUNT).map(Step::Replace));
    steps.push(Step::Advance(20_000));
    steps.extend(requests());
    steps.push(Step::Advance(2000));
    run_steps(&steps);
}

/// A restarted worker reported "not run" for a request that its former process ran.
#[rstest]
#[case(0)]
#[case(1)]
#[case(2)]
fn a_restarted_worker_does_not_report_former_requests_as_not_run(#[case] host: usize) {
    run_steps(&[
        Step::Request(host, true, 4),
        Step::Advance(50),
        Step::WorkerRestart(0),
        Step::WorkerRestart(1),
        Step::WorkerRestart(2),
        Step::WorkerRestart(3),
        Step::Advance(8000),
    ]);
}

/// The store is down for an hour, during which a worker restarts and a host is
/// paused for 30 seconds.
#[rstest]
#[case(0)]
#[case(1)]
#[case(2)]
fn jobs_end_after_an_hour_without_the_store(#[case] paused: usize) {
    run_steps(&[
        Step::Submit(0, 0, 3),
        Step::Submit(1, 2, 2),
        Step::Submit(2, 1, 3),
        Step::Advance(500),
        Step::StoreDown(true),
        Step::Advance(600_000),
        Step::WorkerRestart(1),
        Step::Pause(paused),
        Step::Advance(30_000),
        Step::Resume(paused),
        Step::Advance(3_000_000),
        Step::StoreDown(false),
    ]);
}

/// A worker carried out a start that was meant for its former process, as both had issued
/// a ticket with the same number.
#[rstest]
#[case(0)]
#[case(1)]
#[case(2)]
fn a_ticket_of_a_former_process_starts_nothing(#[case] owner: usize) {
    let cut = [0, 1];
    let mut steps: Vec<Step> = cut.map(Step::WorkerRestart).to_vec();
    steps.push(Step::Advance(1200));
    steps.extend(cut.map(|worker| Step::WorkerSilent(worker, true)));
    steps.push(Step::Advance(1000));
    steps.extend([Step::Submit(owner, 3, 2), Step::Advance(18_000)]);
    steps.extend(cut.map(Step::WorkerRestart));
    steps.extend(cut.map(|worker| Step::WorkerSilent(worker, false)));
    steps.push(Step::Advance(1000));
    run_steps(&steps);
}

/// A worker ran a request that its former process had reported as not run.
#[rstest]
#[case(0)]
#[case(1)]
#[case(2)]
fn a_request_that_a_former_process_reported_as_not_run_does_not_run(#[case] host: usize) {
    let mut steps: Vec<Step> = (0..WORKER_COUNT)
        .map(|worker| Step::WorkerDelay(worker, 15_000))
        .collect();
    steps.push(Step::Request(host, true, 2));
    steps.extend((0..WORKER_COUNT).map(|worker| Step::WorkerDelay(worker, 0)));
    steps.push(Step::Advance(8000));
    steps.extend((0..WORKER_COUNT).map(Step::WorkerRestart));
    steps.push(Step::Advance(10_000));
    run_steps(&steps);
}
