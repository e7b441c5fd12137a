//! Stateful fuzz test of the production decision code against a simple oracle.
//! It runs the entry hosts of lycheelock's own protocol.
//!
//! `LYCHEELOCK_FUZZ_CASES` sets the number of cases and `LYCHEELOCK_FUZZ_SEED`
//! the seed.

mod found;
mod world;

use std::marker::PhantomData;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use world::World;
use world::oracle::Oracle;
use world::step::{Step, restart_steps, steps};

const DEFAULT_CASES: u32 = 256;
const DEFAULT_SEED: u64 = 20_261_204;

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn config() -> Config {
    let seed = env_number("LYCHEELOCK_FUZZ_SEED").unwrap_or(DEFAULT_SEED);
    Config {
        cases: env_number("LYCHEELOCK_FUZZ_CASES").map_or(DEFAULT_CASES, |cases| cases as u32),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 4000,
        ..Config::default()
    }
}

/// Reference model without a state: no step depends on one, and the oracle that
/// checks the results is part of the world.
struct StatelessSteps;

impl ReferenceStateMachine for StatelessSteps {
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

/// The same with steps in which workers often restart.
struct RestartSteps;

impl ReferenceStateMachine for RestartSteps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        restart_steps()
    }

    fn apply((): (), _: &Step) {}
}

struct EntryHostsTest<Steps>(PhantomData<Steps>);

impl<Steps> StateMachineTest for EntryHostsTest<Steps>
where
    Steps: ReferenceStateMachine<State = (), Transition = Step>,
{
    type SystemUnderTest = World;
    type Reference = Steps;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        world.apply(&step);
        world
    }

    fn teardown(mut world: World, (): ()) {
        world.run_to_completion();
        Oracle::check_end(&mut world);
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn invariants_hold_under_random_steps(sequential 1..60 => EntryHostsTest<StatelessSteps>);

    /// Guards against orders to a former process of a worker that its next one carries out.
    #[test]
    fn invariants_hold_while_workers_restart(sequential 1..60 => EntryHostsTest<RestartSteps>);
}
