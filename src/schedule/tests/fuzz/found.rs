//! Regression tests: minimal cases of failures that the fuzz test found.

use super::step::{Direction, Side, Step};
use super::world::World;
use super::{run_steps, run_world};

/// Runs the steps with each of the seeds. Restarted workers register at once and carry out calls
/// to their former incarnation, which may be late by up to `max_lateness` and a timeout.
fn run_restarts(seeds: std::ops::Range<u64>, max_lateness: u64, steps: &[Step]) {
    for seed in seeds {
        let mut world = World::new(seed);
        world.late_after_restart = true;
        world.max_lateness = max_lateness;
        world.registers_after = Some(0);
        run_world(world, steps);
    }
}

/// The owner before the former one is cut off from the store and renews leases for 6 s.
#[test]
fn a_takeover_of_a_takeover_waits_for_the_owner_before_the_former_one() {
    run_steps(
        0,
        &[
            Step::Advance(109),
            Step::Submit(5),
            Step::Advance(65),
            Step::Partition(8, 7_029),
            Step::Advance(1_626),
            Step::Stop,
            Step::Advance(4_602),
        ],
    );
}

#[test]
fn a_first_report_of_500_ends_is_not_taken_as_complete() {
    run_steps(
        415,
        &[
            Step::CutLink(Side::All, Direction::Both, 0, 686),
            Step::Submit(7),
            Step::CallFaults(10, 713),
            Step::CallFaults(38, 710),
            Step::Advance(501),
            Step::Backlog(1),
            Step::Kill(100),
        ],
    );
}

/// A copy of the start reaches the restarted worker just before the leases of the former
/// incarnation end.
#[test]
fn a_start_that_a_restarted_worker_accepts_is_not_repeated_elsewhere() {
    run_steps(
        281,
        &[
            Step::Submit(6),
            Step::Advance(1_347),
            Step::Kill(100),
            Step::Advance(320),
            Step::Advance(1_977),
            Step::Advance(2_168),
            Step::StoreFaults(10, 200),
            Step::Advance(30),
            Step::Submit(2),
            Step::Submit(0),
            Step::Crash(1, true, 4_815),
        ],
    );
}

/// A late copy of the start reaches the restarted worker after the run was done.
#[test]
fn a_run_that_is_done_does_not_begin_again_on_the_restarted_worker() {
    let mut world = World::new(631);
    world.late_after_restart = true;
    let steps = [
        Step::Submit(0),
        Step::CallFaults(15, 200),
        Step::Advance(620),
        Step::Crash(3, true, 50),
    ];
    run_world(world, &steps);
}

/// Both are lost for good, the worker before its owner could record that it is silent.
#[test]
fn tasks_start_again_in_time_after_an_owner_and_a_worker_are_lost_together() {
    let steps = [
        Step::Submit(5),
        Step::Submit(5),
        Step::Advance(1_500),
        Step::Gone(0),
        Step::Advance(100),
        Step::Replace(100),
    ];
    run_steps(0, &steps);
}

/// A worker is gone, and each owner ends before its recovery does.
#[test]
fn owners_in_a_row_do_not_each_wait_for_the_same_leases() {
    let mut steps = vec![
        Step::Submit(5),
        Step::Submit(5),
        Step::Advance(1_500),
        Step::Gone(0),
        Step::Advance(100),
    ];
    for _ in 0..3 {
        steps.extend([Step::Replace(100), Step::Advance(2_000)]);
        steps.extend([Step::Stop, Step::Advance(400)]);
    }
    run_steps(0, &steps);
}

/// The second owner prolongs the leases of the first one's runs, then is cut off with their
/// worker before it has written a roster of its own.
#[test]
fn an_owner_starts_tasks_again_that_run_on_under_the_owner_before_it() {
    for seed in 0..10 {
        let steps = [
            Step::Submit(6),
            Step::Submit(6),
            Step::Advance(500),
            Step::Stop,
            Step::WriteFaults(1_500),
            Step::Advance(1_000),
            Step::Partition(5, 7_000),
            Step::Advance(8_000),
        ];
        run_steps(seed, &steps);
    }
}

/// The orders wait behind one that gets no answer while the owner is told of the request.
#[test]
fn queued_starts_are_sent_to_a_zone_that_is_evacuated_meanwhile() {
    for seed in 0..200 {
        let steps = [
            Step::Submit(7),
            Step::CutLink(Side::All, Direction::Requests, 0, 300),
            Step::Evacuate(0),
            Step::Submit(6),
            Step::Advance(150),
        ];
        run_steps(seed, &steps);
    }
}

/// No order is late, and the owner is killed before it can record the restart.
#[test]
fn a_new_owner_waits_for_leases_by_the_clock_before_a_restart() {
    let steps = [
        Step::Crash(1, true, 50),
        Step::Advance(150),
        Step::SubmitLasting(3, 8_000),
        Step::Advance(50),
        Step::Kill(100),
        Step::CutLink(Side::All, Direction::Both, 1, 11_000),
        Step::Advance(7_000),
    ];
    run_restarts(0..40, 1, &steps);
}

/// The next owner adopts the run, and the worker is cut off before it answers a second time.
#[test]
fn a_planned_stop_tells_of_leases_by_the_clock_before_a_restart() {
    let steps = [
        Step::Crash(2, true, 50),
        Step::Advance(476),
        Step::SubmitLasting(2, 8_000),
        Step::Advance(350),
        Step::Stop,
        Step::Advance(100),
        Step::CutLink(Side::All, Direction::Both, 2, 7_000),
        Step::Advance(7_000),
    ];
    run_restarts(0..40, 1, &steps);
}

/// The copy is carried out late, after the owner that sent it was killed.
#[test]
fn a_new_owner_waits_for_a_start_that_the_next_incarnation_carries_out_late() {
    let steps = [
        Step::CallFaults(27, 1_500),
        Step::Advance(1_000),
        Step::SubmitLasting(3, 8_000),
        Step::Crash(1, true, 50),
        Step::Advance(11),
        Step::Kill(100),
        Step::CutLink(Side::All, Direction::Both, 1, 10_000),
        Step::Advance(6_000),
    ];
    run_restarts(0..50, 1, &steps);
}

/// The owner stays the same; the late copy that is refused still prolongs the worker's lease.
#[test]
fn a_late_copy_prolongs_the_lease_of_all_runs_of_the_restarted_worker() {
    let steps = [
        Step::Advance(8_500),
        Step::Submit(2),
        Step::CallFaults(42, 50),
        Step::Crash(2, true, 50),
        Step::Advance(2_300),
        Step::CutLink(Side::All, Direction::Both, 2, 9_000),
        Step::Advance(8_500),
    ];
    run_restarts(0..60, 2_000, &steps);
}

/// The former incarnation has confirmed the stop order; the next one does not know of it.
#[test]
fn a_confirmed_stop_order_keeps_no_late_copy_from_the_restarted_worker() {
    let steps = [
        Step::CallFaults(52, 1_000),
        Step::Advance(200),
        Step::SubmitLasting(4, 8_000),
        Step::Advance(1_000),
        Step::Crash(2, true, 50),
    ];
    run_restarts(0..100, 2_000, &steps);
}

/// The former owner sent the copy; the run was adopted before the worker restarted.
#[test]
fn a_late_copy_of_the_former_owner_begins_an_adopted_run_anew_after_a_restart() {
    let steps = [
        Step::CallFaults(63, 50),
        Step::SubmitLasting(1, 8_000),
        Step::Advance(2),
        Step::CutStore(2_000),
        Step::Advance(1_500),
        Step::Crash(3, true, 50),
    ];
    run_restarts(0..50, 2_000, &steps);
}

/// The registration of the worker expires during the cut, before the leases have ended.
#[test]
fn a_new_owner_waits_for_a_restarted_worker_that_is_no_longer_registered() {
    for end in [Step::Kill(100), Step::Stop] {
        let steps = [
            Step::Advance(4_898),
            Step::Crash(0, true, 50),
            Step::Advance(2_000),
            Step::SubmitLasting(4, 8_000),
            Step::Advance(31),
            Step::CutLink(Side::All, Direction::Both, 0, 9_000),
            Step::CutWorkerStore(0, 9_000),
            end,
            Step::Advance(9_000),
        ];
        run_restarts(0..10, 1, &steps);
    }
}

/// The worker restarts after its run was adopted, and its registration expires before it answers.
#[test]
fn a_task_of_a_restarted_worker_that_is_no_longer_registered_starts_again() {
    let steps = [
        Step::SubmitLasting(3, 8_000),
        Step::CutLink(Side::All, Direction::Both, 1, 11_000),
        Step::CutStore(1_500),
        Step::Advance(2_500),
        Step::Crash(0, true, 50),
        Step::Advance(1_000),
        Step::CutLink(Side::All, Direction::Both, 0, 4_000),
        Step::CutWorkerStore(0, 4_000),
        Step::Advance(2_800),
    ];
    run_restarts(0..30, 1, &steps);
}

/// A copy for an earlier run of the task is on its way to the worker, from the former owner.
#[test]
fn a_late_copy_for_an_earlier_run_begins_it_on_the_restarted_worker() {
    let steps = [
        Step::StoreFaults(54, 1_500),
        Step::CallFaults(14, 1_000),
        Step::Advance(770),
        Step::SubmitLasting(3, 8_000),
        Step::Advance(2_000),
        Step::Crash(2, true, 50),
    ];
    run_restarts(3..4, 3_000, &steps);
}

/// The worker restarts twice; the owner stops the earlier run and starts the task elsewhere at once.
#[test]
fn a_task_waits_until_an_earlier_run_of_it_is_stopped_on_the_restarted_worker() {
    let steps = [
        Step::Pause(1_000),
        Step::Advance(900),
        Step::CallFaults(68, 187),
        Step::SubmitLasting(3, 8_000),
        Step::Advance(250),
        Step::Crash(1, true, 50),
        Step::Advance(2_500),
        Step::Crash(1, true, 1_000),
    ];
    run_restarts(17..18, 4_500, &steps);
}

/// Guards against a start that counts as refused while the next incarnation may carry it out.
#[test]
fn a_start_that_a_worker_would_refuse_is_carried_out_by_its_next_incarnation() {
    let mut world = World::new(990);
    world.late_after_restart = true;
    world.max_lateness = 6_748;
    world.registers_after = Some(0);
    let steps = [
        Step::Advance(36),
        Step::CallFaults(83, 1_771),
        Step::Advance(1_726),
        Step::SubmitLasting(3, 8_000),
        Step::Advance(1_555),
        Step::Crash(1, true, 556),
        Step::Advance(556),
        Step::CutLink(Side::All, Direction::Both, 1, 5_000),
        Step::Advance(1_024),
    ];
    run_world(world, &steps);
}
