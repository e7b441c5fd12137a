//! Tests of new owners that find in the store less than the former owner knew, or that
//! cannot reach workers on which the former owner goes on.
//!
//! `LYCHEELOCK_FLEET_SEED` replaces the seeds.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use lycheelock::shards::roster_key;
use rstest::rstest;
use serde_json::{Value, json};

use crate::deployment::{Deployment, sleep_ms};
use crate::job_id;
use crate::store::Fault;
use crate::unanswered::submit;
use crate::workers::Reach;

const ENTRIES: usize = 3;
const WORKERS: usize = 9;
/// The first workers, which are cut off.
const CUT_WORKERS: usize = WORKERS / 3;
/// Jobs of [`chain`]: the progress of so many takes several transactions.
const CHAINS: u32 = 120;
/// Steps of a chain, more than end during the faults.
const CHAIN_STEPS: usize = 14;
/// Jobs of [`endless`], which follow the chains.
const ENDLESS_JOBS: u32 = 12;
/// Time for the jobs to begin before the faults.
const BEGIN_MS: u64 = 700;
/// Time from the isolation of an owner until all its leases have lapsed.
const ISOLATION: Duration = Duration::from_secs(12);
/// Time from the first unanswered write until workers are cut off.
const LEAD_MS: u64 = 850;
/// Limits of the time for which workers are cut off.
const MIN_CUT_MS: u64 = 2800;
const MAX_CUT_MS: u64 = 3000;
/// Time from the cut until the owner has closed the silent workers.
const CLOSING_MS: u64 = 1100;
/// Time limit for all jobs to end after the faults.
const END_TIMEOUT: Duration = Duration::from_secs(30);

/// How an owner ends.
#[derive(Debug, Clone, Copy)]
enum OwnerEnd {
    Stopped,
    Killed,
}

impl OwnerEnd {
    /// Limit of the time from the cut until the owner ends, with or without a roster. The
    /// workers are still cut off when the shard is claimed again.
    fn limit(self) -> Duration {
        Duration::from_millis(match self {
            Self::Stopped => 2200,
            Self::Killed => 1500,
        })
    }
}

/// Steps of one task each, one after the other.
fn chain() -> Value {
    let steps = (0..CHAIN_STEPS).map(|step| {
        let after: Vec<usize> = step.checked_sub(1).into_iter().collect();
        json!({"count": 1, "cpu": 150, "mem_mb": 10, "est_ms": 300, "after": after})
    });
    steps.collect()
}

fn endless() -> Value {
    json!([{"count": 1, "cpu": 150, "mem_mb": 10, "daemon": true}])
}

/// A number of milliseconds between two limits, drawn by the seed for a purpose.
fn draw_ms(seed: u64, purpose: &str, min: u64, max: u64) -> u64 {
    let random = blake3::hash(format!("{seed} {purpose}").as_bytes());
    min + (max - min) * u64::from(random.as_bytes()[0]) / 255
}

fn chosen_seed(seed: u64) -> u64 {
    std::env::var("LYCHEELOCK_FLEET_SEED")
        .map_or(seed, |text| text.parse().expect("the seed is a number"))
}

/// Starts daemons and jobs, and waits until the tasks run.
async fn start(name: &str) -> Deployment {
    let deployment = Deployment::start(name, ENTRIES, WORKERS).await;
    for number in 0..CHAINS + ENDLESS_JOBS {
        let (payload, steps) = match number {
            ..CHAINS => ("once", chain()),
            _ => ("endless", endless()),
        };
        submit(&deployment, &[0, 1, 2], number, payload, steps).await;
    }
    sleep_ms(BEGIN_MS).await;
    deployment
}

/// Waits for the end of all chains, and checks what became of the tasks.
async fn check(deployment: &Deployment, asked: usize, seed: u64) {
    let deadline = Instant::now() + END_TIMEOUT;
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for number in 0..CHAINS {
        let state = loop {
            let (_, state) = deployment.job_state(asked, &job_id(number)).await;
            if state == "done" || Instant::now() >= deadline {
                break state;
            }
            sleep_ms(50).await;
        };
        *counts.entry(state).or_default() += 1;
    }
    let lasting = CHAINS..CHAINS + ENDLESS_JOBS;
    let has_run = |number| {
        let runs = deployment.journal.runs(&job_id(number));
        runs.iter().any(|run| run.ended.is_none())
    };
    while !lasting.clone().all(has_run) && Instant::now() < deadline {
        sleep_ms(50).await;
    }
    let lasting = lasting.filter(|number| has_run(*number)).count();
    let repeats = deployment.journal.forbidden_repeats();
    let result = format!(
        "{counts:?}, {lasting} lasting tasks run\nrun twice: {}\n{}",
        repeats.len(),
        repeats.join("\n")
    );
    println!("seed {seed}\n{result}");
    insta::allow_duplicates! {
        insta::assert_snapshot!(result, @r#"
        {"done": 120}, 12 lasting tasks run
        run twice: 0
        "#);
    }
}

#[rstest]
#[case::stopped_seed_4(OwnerEnd::Stopped, 4)]
#[case::stopped_seed_5(OwnerEnd::Stopped, 5)]
#[case::killed_seed_12(OwnerEnd::Killed, 12)]
#[case::killed_seed_13(OwnerEnd::Killed, 13)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_run_twice_when_the_owner_is_replaced_among_unanswered_store_writes(
    #[case] end: OwnerEnd,
    #[case] seed: u64,
) {
    let seed = chosen_seed(seed);
    let mut deployment = start("writes").await;
    let owner = deployment.owner().await;
    deployment.store.set_fault(Fault::LateWrites(seed));
    sleep_ms(LEAD_MS).await;
    deployment.set_reach(0..CUT_WORKERS, Reach::Nobody);
    let cut = Instant::now();
    let cut_ms = match end {
        OwnerEnd::Stopped => draw_ms(seed, "cut", MIN_CUT_MS, MAX_CUT_MS),
        // A killed owner is replaced when its owner lease has expired.
        OwnerEnd::Killed => MAX_CUT_MS,
    };
    sleep_ms(CLOSING_MS).await;
    let roster = deployment.store.revision(&roster_key("all"));
    let limit = end.limit();
    while deployment.store.revision(&roster_key("all")) == roster && cut.elapsed() < limit {
        sleep_ms(2).await;
    }
    match end {
        OwnerEnd::Stopped => deployment.entries[owner].signal("TERM"),
        OwnerEnd::Killed => deployment.kill(owner),
    }
    tokio::time::sleep(Duration::from_millis(cut_ms).saturating_sub(cut.elapsed())).await;
    deployment.set_reach(0..CUT_WORKERS, Reach::Everyone);
    let new = deployment.wait_for_owner_other_than(owner).await;
    sleep_ms(1500).await;
    deployment.store.set_fault(Fault::None);
    let is_settled = || deployment.store.pending() == 0;
    deployment
        .wait_for("late writes are applied", is_settled)
        .await;
    check(&deployment, new, seed).await;
}

#[rstest]
#[case::others_reached_by_both_seed_1(Reach::Everyone, 1)]
#[case::others_reached_by_successors_seed_2(Reach::LaterOwners, 2)]
#[case::others_reached_by_successors_seed_3(Reach::LaterOwners, 3)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_of_an_isolated_owner_run_twice_when_its_successor_is_stopped(
    #[case] others: Reach,
    #[case] seed: u64,
) {
    let seed = chosen_seed(seed);
    let deployment = start("successor").await;
    let first = deployment.owner().await;
    deployment.store.isolate(first, true);
    deployment.set_reach(0..CUT_WORKERS, Reach::PresentOwner);
    deployment.set_reach(CUT_WORKERS..WORKERS, others);
    let isolated = Instant::now();
    let second = deployment.wait_for_owner_other_than(first).await;
    sleep_ms(draw_ms(seed, "stop", 200, 1800)).await;
    deployment.entries[second].signal("TERM");
    let third = 3 - first - second;
    let rest = ISOLATION.saturating_sub(isolated.elapsed());
    tokio::time::sleep(rest).await;
    deployment.set_reach(0..WORKERS, Reach::Everyone);
    deployment.store.isolate(first, false);
    check(&deployment, third, seed).await;
}
