//! Stateful fuzzing of the shipped decisions against a simple oracle.
//!
//! `LYCHEELOCK_FUZZ_CASES` gives the number of cases, `LYCHEELOCK_FUZZ_SEED`
//! another seed.

mod found;
mod world;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use world::World;
use world::oracle::Oracle;
use world::step::{Step, steps};

const CASES: u32 = 256;
const SEED: u64 = 20_261_204;

fn variable(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn config() -> Config {
    let seed = variable("LYCHEELOCK_FUZZ_SEED").unwrap_or(SEED);
    Config {
        cases: variable("LYCHEELOCK_FUZZ_CASES").map_or(CASES, |cases| cases as u32),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 4000,
        ..Config::default()
    }
}

/// The reference is the oracle inside the world: a step depends on no state.
struct AnyStep;

impl ReferenceStateMachine for AnyStep {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        steps()
    }

    fn apply((): (), _: &Step) {}
}

struct EntryHosts;

impl StateMachineTest for EntryHosts {
    type SystemUnderTest = World;
    type Reference = AnyStep;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        world.apply(&step);
        world
    }

    fn teardown(mut world: World, (): ()) {
        world.settle();
        Oracle::check_end(&mut world);
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn entry_hosts_keep_every_promise(sequential 1..60 => EntryHosts);
}
