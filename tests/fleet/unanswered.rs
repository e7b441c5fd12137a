//! Tests with workers that leave orders without an answer, carry them out seconds later
//! and refuse other copies of the same orders.
//!
//! `LYCHEELOCK_FLEET_SEED` replaces the seeds.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::{Value, json};

use crate::deployment::{Deployment, sleep_ms};
use crate::{JOB_TIMEOUT, job_id};

const WORKERS: usize = 6;
/// Tasks of [`steps`] and of [`endless`] that fit on a worker.
const TASKS_PER_WORKER: usize = 4;
const JOBS: u32 = 34;
/// The first jobs, which last until they are cancelled.
const ENDLESS_JOBS: u32 = 2;
const SUBMIT_INTERVAL_MS: u64 = 100;
/// Time limit for all jobs to end after the last fault.
const END_TIMEOUT: Duration = Duration::from_secs(20);
/// Time limit for the late orders and the runs that they begin.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(8);

fn steps() -> Value {
    json!([
        {"count": 3, "cpu": 1000, "mem_mb": 2000, "est_ms": 300},
        {"count": 1, "cpu": 1000, "mem_mb": 2000, "est_ms": 300, "after": [0]},
    ])
}

fn endless() -> Value {
    json!([{"count": 1, "cpu": 1000, "mem_mb": 2000, "daemon": true}])
}

/// What happens in the middle of the faults.
#[derive(Debug, Clone, Copy)]
enum Trouble {
    None,
    OwnerKilled,
    WorkerRestarted,
}

/// Runs jobs while orders are late or refused, and checks what became of them.
async fn run_jobs(entries: usize, seed: u64, trouble: Trouble) {
    let seed = std::env::var("LYCHEELOCK_FLEET_SEED")
        .map_or(seed, |text| text.parse().expect("the seed is a number"));
    let mut deployment = Deployment::start("unanswered", entries, WORKERS).await;
    let mut alive: Vec<usize> = (0..entries).collect();
    for number in 0..ENDLESS_JOBS {
        submit(&deployment, &alive, number, "endless", endless()).await;
    }
    deployment.faults.begin(seed);
    for number in ENDLESS_JOBS..JOBS {
        if number == JOBS / 2 {
            for endless in 0..ENDLESS_JOBS {
                assert_eq!(deployment.cancel(alive[0], &job_id(endless)).await, 200);
            }
            match trouble {
                Trouble::None => {}
                Trouble::OwnerKilled => {
                    let owner = deployment.owner().await;
                    deployment.kill(owner);
                    alive.retain(|entry| *entry != owner);
                }
                Trouble::WorkerRestarted => deployment.restart_worker(0),
            }
        }
        submit(&deployment, &alive, number, "once", steps()).await;
        sleep_ms(SUBMIT_INTERVAL_MS).await;
    }
    deployment.faults.end();
    let ended = final_states(&deployment, &alive).await;
    let journal = &deployment.journal;
    let is_settled = || deployment.faults.pending() == 0 && journal.active_runs().is_empty();
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    while !is_settled() && Instant::now() < deadline {
        sleep_ms(20).await;
    }
    let lists = [
        ("still running", journal.active_runs()),
        ("run twice", journal.duplicate_runs()),
        ("beyond capacity", journal.starts_beyond(TASKS_PER_WORKER)),
    ];
    let lists = lists.map(|(name, list)| format!("{name}: {}\n{}", list.len(), list.join("\n")));
    let result = format!("{ended:?}\n{}", lists.join("\n"));
    println!("seed {seed}\n{result}");
    insta::allow_duplicates! {
        insta::assert_snapshot!(result, @r#"
        {"cancelled": 2, "done": 32}
        still running: 0

        run twice: 0

        beyond capacity: 0
        "#);
    }
}

/// Submits a job until an entry daemon accepts it.
pub async fn submit(
    deployment: &Deployment,
    alive: &[usize],
    number: u32,
    payload: &str,
    steps: Value,
) {
    let deadline = Instant::now() + JOB_TIMEOUT;
    let entry = alive[number as usize % alive.len()];
    let id = job_id(number);
    while deployment.submit(entry, &id, payload, steps.clone()).await != 200 {
        assert!(Instant::now() < deadline, "job {id} is not accepted");
        sleep_ms(100).await;
    }
}

/// Waits for the end of all jobs. Returns the numbers of jobs by state.
async fn final_states(deployment: &Deployment, alive: &[usize]) -> BTreeMap<String, u32> {
    let deadline = Instant::now() + END_TIMEOUT;
    let mut counts = BTreeMap::new();
    for number in 0..JOBS {
        let entry = alive[number as usize % alive.len()];
        let state = loop {
            let (_, state) = deployment.job_state(entry, &job_id(number)).await;
            let has_ended = ["done", "cancelled", "failed"].contains(&state.as_str());
            if has_ended || Instant::now() >= deadline {
                break state;
            }
            sleep_ms(50).await;
        };
        *counts.entry(state).or_default() += 1;
    }
    counts
}

#[rstest]
#[case::one_daemon_seed_1(1, 1)]
#[case::one_daemon_seed_2(1, 2)]
#[case::three_daemons_seed_3(3, 3)]
#[case::three_daemons_seed_4(3, 4)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_task_is_placed_again_while_an_unanswered_start_may_still_begin(
    #[case] entries: usize,
    #[case] seed: u64,
) {
    run_jobs(entries, seed, Trouble::None).await;
}

#[rstest]
#[case::seed_5(5)]
#[case::seed_6(6)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_start_of_a_killed_owner_begins_beside_one_of_its_successor(#[case] seed: u64) {
    run_jobs(3, seed, Trouble::OwnerKilled).await;
}

#[rstest]
#[case::seed_7(7)]
#[case::seed_8(8)]
// Unanswered starts on the new incarnation counted as lost with the former one.
#[case::seed_104(104)]
#[case::seed_105(105)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_task_runs_twice_when_a_worker_restarts_among_unanswered_starts(#[case] seed: u64) {
    run_jobs(1, seed, Trouble::WorkerRestarted).await;
}
