//! Stateful fuzz test of the users' platform: the decisions of owners that are replaced, in
//! virtual time, against a simple oracle.
//!
//! `LYCHEELOCK_FUZZ_CASES` sets the number of cases, `LYCHEELOCK_FUZZ_SEED` the seed;
//! `LYCHEELOCK_FUZZ_TRACE` prints what happens. `LYCHEELOCK_FUZZ_WITHOUT` names steps to leave
//! out, such as `Backlog,Crash`, so that a search goes on beside a known fault.

mod calls;
mod evacuation;
mod found;
mod oracle;
mod owner;
mod restarts;
mod step;
mod store;
mod worker;
mod world;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use step::steps;
use world::World;

const DEFAULT_CASES: u32 = 128;
const DEFAULT_SEED: u64 = 20_261_205;
const MAX_STEPS: usize = 50;

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

/// Whether the environment leaves this step out of a search.
fn is_left_out(step: &step::Step) -> bool {
    let names = std::env::var("LYCHEELOCK_FUZZ_WITHOUT").unwrap_or_default();
    let text = format!("{step:?}");
    let mut names = names.split(',').filter(|name| !name.is_empty());
    names.any(|name| text.split('(').next() == Some(name))
}

fn run_steps(seed: u64, steps: &[step::Step]) {
    run_world(World::new(seed), steps);
}

fn run_world(mut world: World, steps: &[step::Step]) {
    for step in steps {
        world.apply(step);
    }
    world.finish();
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn rules_hold_while_owners_are_replaced(
        seed in 0..1000_u64,
        late_after_restart in any::<bool>(),
        steps in prop::collection::vec(steps(), 1..MAX_STEPS),
    ) {
        let kept: Vec<step::Step> = steps.into_iter().filter(|step| !is_left_out(step)).collect();
        let mut world = World::new(seed);
        world.late_after_restart = late_after_restart;
        run_world(world, &kept);
    }
}
