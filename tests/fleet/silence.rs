//! Tests with open connections that go silent for good, while new ones work.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::task::JoinSet;

use crate::deployment::{Deployment, Parts, configuration, sleep_ms};
use crate::{JOB_TIMEOUT, assert_all_done, job_id, start_long_running, steps};

const ENTRIES: usize = 3;
/// Clients that ask each daemon for states, so that answers on other connections keep coming.
const CLIENTS: usize = 12;
const CLIENT_INTERVAL_MS: u64 = 1_000;
/// Time after which a daemon counts as in touch again.
const CONTACT: Duration = Duration::from_secs(3);
/// Time limit from the acknowledgement of a cancellation to the last start of the job's tasks.
const CANCEL_LIMIT: Duration = Duration::from_secs(3);
/// Time limit from the acknowledgement of a configuration to its effect at all daemons.
const CONFIGURATION_LIMIT: Duration = Duration::from_secs(2);
/// Time limit from the end of a long-running task's last run to the next one.
const RESTART_LIMIT: Duration = Duration::from_secs(9);
/// Time from the loss of an owner to the end of the runs that it gave leases.
const RUN_LEASE: Duration = Duration::from_millis(4_500);
/// The job that the clients ask for.
const JOB: u32 = 1;

async fn start(name: &str) -> Arc<Deployment> {
    let parts = Parts {
        entries: ENTRIES,
        workers: 3,
        relayed: true,
        ..Parts::default()
    };
    Arc::new(Deployment::start_parts(name, &parts).await)
}

/// Lets clients ask for a job's state until the set is dropped.
fn ask_states(deployment: &Arc<Deployment>) -> JoinSet<()> {
    let mut clients = JoinSet::new();
    for number in 0..ENTRIES * CLIENTS {
        let deployment = deployment.clone();
        clients.spawn(async move {
            sleep_ms(number as u64 * CLIENT_INTERVAL_MS / (ENTRIES * CLIENTS) as u64).await;
            loop {
                deployment.job_state(number % ENTRIES, &job_id(JOB)).await;
                sleep_ms(CLIENT_INTERVAL_MS).await;
            }
        });
    }
    clients
}

fn silence_store(deployment: &Deployment) -> Instant {
    let relays = deployment.store_relays.iter();
    relays.for_each(crate::relay::Relay::silence_open_connections);
    Instant::now()
}

/// A job of many short steps, one after the other.
fn chain(length: usize) -> Value {
    let step = |number: usize| {
        let after: Vec<usize> = number.checked_sub(1).into_iter().collect();
        json!({"count": 1, "cpu": 100, "mem_mb": 10, "est_ms": 300, "after": after})
    };
    (0..length).map(step).collect()
}

/// The owner's watch of its jobs went silent, and answers on other connections hid it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cancelled_job_starts_tasks_after_connections_to_the_store_went_silent() {
    let deployment = start("silent-cancel").await;
    let clients = ask_states(&deployment);
    let id = job_id(JOB);
    assert_eq!(deployment.submit(0, &id, "chain", chain(60)).await, 200);
    let begun = || deployment.journal.runs(&id).len() > 3;
    deployment.wait_for("the job runs", begun).await;
    // The watch of the jobs begins anew with each change.
    let change = job_id(JOB + 1);
    let accepted = deployment.submit(0, &change, "once", steps(1)).await;
    assert_eq!(accepted, 200);
    sleep_ms(100).await;
    let owner = deployment.owner().await;
    deployment.store_relays[owner].silence_open_connections();
    let silenced = Instant::now();
    let other = (owner + 1) % ENTRIES;
    assert_eq!(deployment.cancel(other, &id).await, 200);
    let cancelled = Instant::now();
    sleep_ms(6_000).await;
    drop(clients);
    let bound = (cancelled + CANCEL_LIMIT).max(silenced + CONTACT);
    let runs = deployment.journal.runs(&id);
    let late: Vec<Duration> = runs
        .iter()
        .filter(|run| run.started > bound)
        .map(|run| run.started - bound)
        .collect();
    assert!(late.is_empty(), "started after the bound: {late:?}");
}

/// The watch of the owners went silent, and no daemon took over the shard of a lost one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_daemon_takes_over_after_connections_to_the_store_went_silent() {
    let deployment = start("silent-owner").await;
    let clients = ask_states(&deployment);
    let id = job_id(JOB);
    start_long_running(&deployment, &id).await;
    let owner = deployment.owner().await;
    silence_store(&deployment);
    sleep_ms(CONTACT.as_millis() as u64 + 500).await;
    deployment.entries[owner].signal("KILL");
    let killed = Instant::now();
    deployment.wait_for_owner_other_than(owner).await;
    drop(clients);
    let vacant = killed.elapsed();
    assert!(
        vacant < RUN_LEASE + RESTART_LIMIT,
        "no owner for {vacant:?}"
    );
}

/// The watch of the configuration went silent, and each call took another silent connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_configuration_is_late_after_connections_to_the_store_went_silent() {
    let deployment = start("silent-configuration").await;
    // Each daemon has several open connections, and makes few calls from then on.
    let mut asked = JoinSet::new();
    for number in 0..ENTRIES * CLIENTS {
        let deployment = deployment.clone();
        asked.spawn(async move { deployment.job_state(number % ENTRIES, &job_id(JOB)).await });
    }
    asked.join_all().await;
    sleep_ms(500).await;
    let silenced = silence_store(&deployment);
    sleep_ms(1_000).await;
    deployment
        .store
        .put("op/config", &configuration(2, "/new/"));
    let acknowledged = Instant::now();
    let bound = (acknowledged + CONFIGURATION_LIMIT).max(silenced + CONTACT);
    tokio::time::sleep_until(bound.into()).await;
    for entry in 0..ENTRIES {
        let status = deployment.queue_status(entry, "/new/").await;
        assert_ne!(status, 404, "daemon {entry} has the former configuration");
    }
}

/// Polls and orders on silent connections must not cost the runs their leases.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn runs_are_lost_after_connections_to_workers_went_silent() {
    let deployment = start("silent-workers").await;
    let endless = job_id(JOB);
    start_long_running(&deployment, &endless).await;
    // Busy workers have several open connections.
    let jobs: Vec<String> = (10..20).map(job_id).collect();
    for id in &jobs {
        assert_eq!(deployment.submit(0, id, "once", steps(3)).await, 200);
    }
    let relays = deployment.worker_relays.iter();
    relays.for_each(crate::relay::Relay::silence_open_connections);
    sleep_ms(CONTACT.as_millis() as u64).await;
    let later = job_id(30);
    assert_eq!(deployment.submit(0, &later, "once", steps(3)).await, 200);
    let in_touch = std::slice::from_ref(&later);
    assert_all_done(&deployment, in_touch, CONTACT).await;
    assert_all_done(&deployment, &jobs, JOB_TIMEOUT).await;
    sleep_ms(3_000).await;
    assert_eq!(deployment.journal.runs(&endless).len(), 2, "a run was lost");
}
