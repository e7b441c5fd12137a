//! Workers that restart under their ids and are cut off soon after, while the owner of the shard
//! is replaced.
//!
//! An order by the clock of a worker's former incarnation, carried out by the next one, gives a
//! lease up to the longest that a worker grants. The next owner has to wait for it, although the
//! owner that sent the order may have left no word of it.
//!
//! `LYCHEELOCK_FUZZ_REGISTRATION` lets restarted workers register only some time after their
//! start, up to this number of milliseconds, and cuts some off from the store, too: the next owner
//! may then not know of the restart.

use proptest::prelude::*;

use super::step::{Direction, Side, Step, WORKER_COUNT, steps};
use super::world::World;
use super::{config, env_number, is_left_out, run_world};

/// The limit on the lateness of a call beside the time after which it counts as unanswered, in
/// milliseconds: together they stay below [`crate::fleet::MAX_LATENESS`].
const MAX_LATENESS: u64 = 11_700;
/// The limit on the number of restarts with a cut.
const MAX_RESTARTS: usize = 4;
/// The limit on the number of other steps before a restart.
const MAX_OTHER_STEPS: usize = 4;

/// What happens to the owner.
fn owner_steps(worker: usize) -> impl Strategy<Value = Step> {
    let direction = prop_oneof![
        Just(Direction::Requests),
        Just(Direction::Answers),
        Just(Direction::Both)
    ];
    prop_oneof![
        6 => (100..6_000_u64).prop_map(Step::Kill),
        3 => Just(Step::Stop),
        2 => (100..6_000_u64).prop_map(Step::Replace),
        3 => (300..7_000_u64).prop_map(Step::Pause),
        3 => (300..8_000_u64).prop_map(Step::CutStore),
        1 => (200..4_000_u64).prop_map(Step::WriteFaults),
        2 => (direction, 300..9_000_u64)
            .prop_map(move |(direction, span)| Step::CutLink(Side::Owner, direction, worker, span)),
    ]
}

/// Steps, each at its time.
type Timed = Vec<(u64, Step)>;

/// Puts the steps into the order of their times.
fn in_order(mut timed: Timed) -> Vec<Step> {
    timed.sort_by_key(|(at, _)| *at);
    let mut steps = Vec::new();
    let mut now = 0;
    for (at, step) in timed {
        if at > now {
            steps.push(Step::Advance(at - now));
            now = at;
        }
        steps.push(step);
    }
    steps
}

/// A job that runs while a worker crashes, returns and is cut off, and what happens to the owner
/// meanwhile. With `store` the cut may include the store.
fn restart(store: bool) -> impl Strategy<Value = Vec<Step>> {
    (0..WORKER_COUNT).prop_flat_map(move |worker| {
        let job = (0..4_000_u64, 3..7_u32, 8_000..14_000_u64);
        let crash = (1_000..4_000_u64, 50..1_500_u64);
        let cut = (0..4_000_u64, 5_000..12_000_u64, prop::bool::weighted(0.5));
        let owner = prop::collection::vec((0..8_000_u64, owner_steps(worker)), 0..3);
        let faults = (0..6_000_u64, 10..90_u64, 300..5_000_u64);
        let faults = prop::option::weighted(0.7, faults);
        let rest = 0..9_000_u64;
        (job, crash, cut, owner, faults, rest).prop_map(
            move |(job, crash, cut, owner, faults, rest)| {
                let (submitted, count, takes) = job;
                let (crashed, down) = crash;
                let (gap, span, from_store) = cut;
                let at = crashed + down + gap;
                let cut = Step::CutLink(Side::All, Direction::Both, worker, span);
                let mut timed = vec![
                    (submitted, Step::SubmitLasting(count, takes)),
                    (crashed, Step::Crash(worker, true, down)),
                    (at, cut),
                ];
                if store && from_store {
                    timed.push((at, Step::CutWorkerStore(worker, span)));
                }
                let fault = |(at, share, span)| (at, Step::CallFaults(share, span));
                timed.extend(faults.map(fault));
                timed.extend(owner);
                let mut steps = in_order(timed);
                steps.push(Step::Advance(rest));
                steps
            },
        )
    })
}

/// The other steps. Without `store` none of them cuts a worker off from the store.
fn other_steps(store: bool) -> impl Strategy<Value = Vec<Step>> {
    let step = steps().prop_filter("cuts a worker off from the store", move |step| {
        store || !matches!(step, Step::Partition(..))
    });
    prop::collection::vec(step, 0..MAX_OTHER_STEPS)
}

fn restarts(store: bool) -> impl Strategy<Value = Vec<Step>> {
    let round = (other_steps(store), restart(store));
    let rounds = prop::collection::vec(round, 1..MAX_RESTARTS);
    rounds.prop_map(|rounds| {
        let rounds = rounds.into_iter();
        rounds
            .flat_map(|(others, restart)| others.into_iter().chain(restart))
            .collect()
    })
}

/// The limit on the time from a worker's start to its registration.
fn max_registration_delay() -> u64 {
    env_number("LYCHEELOCK_FUZZ_REGISTRATION").unwrap_or_default()
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn rules_hold_while_workers_restart_and_owners_are_replaced(
        seed in 0..1000_u64,
        max_lateness in 1..=MAX_LATENESS,
        registers_after in 0..=max_registration_delay(),
        steps in restarts(max_registration_delay() > 0),
    ) {
        let kept: Vec<Step> = steps.into_iter().filter(|step| !is_left_out(step)).collect();
        let mut world = World::new(seed);
        world.late_after_restart = true;
        world.max_lateness = max_lateness;
        world.registers_after = Some(registers_after);
        run_world(world, &kept);
    }
}
