//! Tests with workers that crash while long tasks run, start again under their ids and are
//! cut off soon after, while the owner of the shard changes.
//!
//! `LYCHEELOCK_FLEET_SEED` replaces the seeds; with `LYCHEELOCK_FLEET_COUNT` so many seeds are
//! played from there on, divided among the cases. `LYCHEELOCK_FLEET_LOGS` names a folder that
//! takes the logs of the daemons of each seed.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rstest::rstest;
use serde_json::json;
use tokio::task::JoinSet;

use crate::deployment::{Deployment, Parts, sleep_ms};
use crate::door::{NewConnections, OpenConnections, Shut};
use crate::job_id;
use crate::workers::AfterRestart;

const ENTRIES: usize = 3;
const WORKERS: usize = 9;
/// The first workers, which crash and are cut off.
const CRASHED_WORKERS: usize = WORKERS / 3;
const CASES: u64 = 3;
/// Time between two jobs of one task.
const SUBMIT_INTERVAL_MS: u64 = 50;
/// Time for tasks to begin before the crash.
const BEGIN_MS: u64 = 2000;
/// Limits of the run time of a long task; a lease lasts 10 s at most.
const LONG_TASK_MS: [u64; 2] = [8000, 14_000];
/// Limits of the time for which workers are down.
const DOWN_MS: [u64; 2] = [200, 2000];
/// Limits of the time from the new start of the workers to the end of the owner.
const OWNER_END_MS: [u64; 2] = [0, 4000];
/// Limits of the time from the new start of the workers until they are cut off.
const CUT_AFTER_MS: [u64; 2] = [300, 4000];
/// Limits of the time for which they are cut off.
const CUT_MS: [u64; 2] = [5000, 12_000];
/// Longest time from a worker's new start to its entry in the registry (`heartbeat_ms`).
const HEARTBEAT_MS: u64 = 1500;
/// The registry removes an entry after three heartbeats are missing.
const MISSING_MS: u64 = 3 * HEARTBEAT_MS;
/// Limits of the clocks of the workers before their crash.
const CLOCK_MS: [u64; 2] = [20_000, 400_000];
/// Lowest rate of a worker's clock.
const SLOW_CLOCK: f64 = 0.98;
/// Time limit for all jobs to end after the faults.
const END_TIMEOUT: Duration = Duration::from_secs(60);

/// What becomes of the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OwnerEnd {
    Killed,
    Stopped,
    /// It goes on.
    None,
}

/// What a seed decides.
#[derive(Debug, Clone, Copy)]
struct Plan {
    seed: u64,
    down_ms: u64,
    /// Times from the workers' new start.
    owner_end_ms: u64,
    cut_after_ms: u64,
    cut_ms: u64,
    owner_end: OwnerEnd,
    /// Connections while the workers are down.
    crash: Shut,
    /// Whether some orders get no answer and are executed seconds later.
    late_orders: bool,
    after_restart: AfterRestart,
}

impl Plan {
    fn new(seed: u64) -> Self {
        let choose = |purpose: &str, of: u64| draw(seed, purpose, [0, of - 1]);
        let open = match choose("open connections", 3) {
            0 => OpenConnections::Closed,
            _ => OpenConnections::Silent,
        };
        let new = match choose("new connections", 3) {
            0 => NewConnections::Refused,
            1 => NewConnections::Held,
            _ => NewConnections::Dropped,
        };
        Self {
            seed,
            down_ms: draw(seed, "down", DOWN_MS),
            owner_end_ms: draw(seed, "owner end", OWNER_END_MS),
            cut_after_ms: draw(seed, "cut after", CUT_AFTER_MS),
            cut_ms: draw(seed, "cut", CUT_MS),
            owner_end: match choose("owner", 6) {
                0 => OwnerEnd::None,
                1 => OwnerEnd::Stopped,
                _ => OwnerEnd::Killed,
            },
            crash: Shut { open, new },
            late_orders: choose("late orders", 4) == 0,
            after_restart: match choose("after restart", 2) {
                0 => AfterRestart::Lost,
                _ => AfterRestart::Executed,
            },
        }
    }

    /// The reading and the rate of a worker's clock before the faults.
    fn clock(&self, worker: usize) -> (u64, f64) {
        let reading = draw(self.seed, &format!("clock {worker}"), CLOCK_MS);
        let slow = draw(self.seed, &format!("rate {worker}"), [0, 100]) as f64 / 100.0;
        (reading, 1.0 - slow * (1.0 - SLOW_CLOCK))
    }
}

/// The connections of workers that are cut off.
const CUT: Shut = Shut {
    open: OpenConnections::Silent,
    new: NewConnections::Dropped,
};

/// A number within limits, drawn by the seed for a purpose.
fn draw(seed: u64, purpose: &str, [min, max]: [u64; 2]) -> u64 {
    let random = blake3::hash(format!("{seed} {purpose}").as_bytes());
    let random = u64::from_le_bytes(random.as_bytes()[..8].try_into().expect("eight bytes"));
    min + random % (max - min + 1)
}

fn seeds(case: u64) -> Vec<u64> {
    let read = |name: &str| {
        let text = std::env::var(name).ok()?;
        Some(text.parse().expect("the variable is a number"))
    };
    let first: Option<u64> = read("LYCHEELOCK_FLEET_SEED");
    let Some(first) = first else {
        return vec![case];
    };
    let count = read("LYCHEELOCK_FLEET_COUNT").unwrap_or(1);
    let all = first..first + count;
    all.filter(|seed| seed % CASES == case % CASES).collect()
}

/// Submits jobs of one task until it is told to stop. Returns the accepted ones.
async fn submit_jobs(
    deployment: Arc<Deployment>,
    seed: u64,
    stopped: Arc<AtomicBool>,
) -> Vec<String> {
    let mut accepted = Vec::new();
    let mut number = 0;
    while !stopped.load(Ordering::Relaxed) {
        let ms = match number % 4 {
            0 => 300,
            _ => draw(seed, &format!("task {number}"), LONG_TASK_MS),
        };
        let steps = json!([{"count": 1, "cpu": 100, "mem_mb": 10, "est_ms": ms}]);
        let id = job_id(number);
        // A request without an answer may have been accepted; the next one shows it.
        for attempt in 0..2 * ENTRIES {
            let entry = (number as usize + attempt) % ENTRIES;
            let payload = ms.to_string();
            let status = deployment.try_submit(entry, &id, &payload, &steps).await;
            if status == 200 {
                accepted.push(id);
                break;
            }
        }
        number += 1;
        sleep_ms(SUBMIT_INTERVAL_MS).await;
    }
    accepted
}

/// Restarts a worker and registers it, unless it is cut off before.
async fn restart(deployment: Arc<Deployment>, worker: usize, plan: Plan) {
    deployment.worker(worker).crash();
    deployment.set_door(worker, Some(plan.crash));
    sleep_ms(plan.down_ms).await;
    deployment.worker(worker).start_again();
    deployment.set_door(worker, None);
    let delay = draw(plan.seed, &format!("heartbeat {worker}"), [0, HEARTBEAT_MS]);
    sleep_ms(delay.min(plan.cut_after_ms)).await;
    if delay < plan.cut_after_ms {
        deployment.register(worker);
    }
    sleep_ms(plan.cut_after_ms - delay.min(plan.cut_after_ms)).await;
    deployment.set_door(worker, Some(CUT));
    let missing = MISSING_MS.min(plan.cut_ms);
    sleep_ms(missing).await;
    if missing < plan.cut_ms {
        deployment.unregister(worker);
    }
    sleep_ms(plan.cut_ms - missing).await;
    deployment.set_door(worker, None);
    sleep_ms(delay).await;
    deployment.register(worker);
}

/// Ends the owner when the plan says so. Returns a daemon that goes on.
async fn end_owner(deployment: Arc<Deployment>, plan: Plan) -> usize {
    sleep_ms(plan.down_ms + plan.owner_end_ms).await;
    let owner = deployment.owner().await;
    println!("{} owner {owner}: {:?}", unix_ms(), plan.owner_end);
    match plan.owner_end {
        OwnerEnd::Killed => deployment.entries[owner].signal("KILL"),
        OwnerEnd::Stopped => deployment.entries[owner].signal("TERM"),
        OwnerEnd::None => return owner,
    }
    (owner + 1) % ENTRIES
}

fn unix_ms() -> u128 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.expect("the system's clock is set").as_millis()
}

/// Counts the states of the jobs once they have ended, or the time limit is over.
async fn final_states(
    deployment: &Deployment,
    asked: usize,
    ids: &[String],
) -> BTreeMap<String, usize> {
    let deadline = Instant::now() + END_TIMEOUT;
    let mut counts = BTreeMap::new();
    for id in ids {
        let state = loop {
            let (_, state) = deployment.job_state(asked, id).await;
            if state == "done" || state == "failed" || Instant::now() >= deadline {
                break state;
            }
            sleep_ms(50).await;
        };
        *counts.entry(state).or_default() += 1;
    }
    counts
}

async fn play(plan: Plan) {
    println!("{} {plan:?}", unix_ms());
    let clocks: Vec<(u64, f64)> = (0..WORKERS).map(|number| plan.clock(number)).collect();
    let parts = Parts {
        entries: ENTRIES,
        workers: WORKERS,
        doors: true,
        clocks: &clocks,
        ..Parts::default()
    };
    let deployment = Deployment::start_parts(&format!("recut-{}", plan.seed), &parts).await;
    for number in 0..WORKERS {
        let worker = deployment.worker(number);
        worker.set_after_restart(plan.after_restart);
    }
    let deployment = Arc::new(deployment);
    let stopped = Arc::new(AtomicBool::new(false));
    let jobs = tokio::spawn(submit_jobs(deployment.clone(), plan.seed, stopped.clone()));
    sleep_ms(BEGIN_MS).await;
    if plan.late_orders {
        deployment.faults.begin(plan.seed);
    }
    println!("{} crash", unix_ms());
    let mut faults = JoinSet::new();
    for worker in 0..CRASHED_WORKERS {
        faults.spawn(restart(deployment.clone(), worker, plan));
    }
    let asked = tokio::spawn(end_owner(deployment.clone(), plan));
    sleep_ms(plan.down_ms + plan.cut_after_ms.max(plan.owner_end_ms)).await;
    stopped.store(true, Ordering::Relaxed);
    deployment.faults.end();
    faults.join_all().await;
    let asked = asked.await.expect("the owner was ended");
    let accepted = jobs.await.expect("jobs were submitted");
    assert!(accepted.len() > 20, "{accepted:?}");
    let counts = final_states(&deployment, asked, &accepted).await;
    (0..WORKERS).for_each(|worker| deployment.worker(worker).settle());
    if let Ok(folder) = std::env::var("LYCHEELOCK_FLEET_LOGS") {
        deployment.keep_logs(Path::new(&folder), &plan.seed.to_string());
    }
    let repeats = deployment.journal.forbidden_repeats();
    println!("{} jobs: {counts:?}", accepted.len());
    let result = format!("run twice: {}\n{}", repeats.len(), repeats.join("\n"));
    assert_eq!(
        counts,
        BTreeMap::from([("done".to_owned(), accepted.len())])
    );
    insta::allow_duplicates! {
        insta::assert_snapshot!(result, @"run twice: 0");
    }
}

#[rstest]
#[case::owner_stopped_seed_1008(1008)]
#[case::owner_killed_at_once_seed_1016(1016)]
#[case::owner_killed_later_seed_1039(1039)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_run_twice_when_workers_restart_and_are_cut_off_while_the_owner_changes(
    #[case] case: u64,
) {
    let mut broken = Vec::new();
    for seed in seeds(case) {
        let played = tokio::spawn(play(Plan::new(seed))).await;
        println!(
            "seed {seed}: {}",
            if played.is_ok() { "held" } else { "broken" }
        );
        broken.extend(played.is_err().then_some(seed));
    }
    assert!(broken.is_empty(), "broken seeds: {broken:?}");
}
