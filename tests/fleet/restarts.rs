//! Tests with workers that restart and take orders before their first report.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::deployment::{Deployment, sleep_ms};
use crate::{JOB_TIMEOUT, assert_all_done, job_id, steps};

fn one_task() -> Value {
    json!([{"count": 1, "cpu": 500, "mem_mb": 10, "est_ms": 300}])
}

/// Starts a worker that runs a job and then restarts while a poll waits. The poll fails,
/// and the next one follows 250 ms later.
async fn start_and_restart_worker() -> Deployment {
    let deployment = Deployment::start("restart", 1, 1).await;
    let id = job_id(9);
    assert_eq!(deployment.submit(0, &id, "once", steps(3)).await, 200);
    assert_all_done(&deployment, &[id], JOB_TIMEOUT).await;
    sleep_ms(300).await;
    deployment.restart_worker(0);
    deployment
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_end_on_a_restarted_worker_is_acknowledged_unseen() {
    let deployment = start_and_restart_worker().await;
    let id = job_id(1);
    assert_eq!(deployment.submit(0, &id, "brief", one_task()).await, 200);
    assert_all_done(&deployment, &[id], JOB_TIMEOUT).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unanswered_start_on_a_restarted_worker_counts_as_lost_with_its_former_runs() {
    let deployment = start_and_restart_worker().await;
    deployment.faults.delay_all();
    let lasting = json!([{"count": 1, "cpu": 500, "mem_mb": 10, "daemon": true}]);
    let status = deployment.submit(0, &job_id(1), "endless", lasting).await;
    assert_eq!(status, 200);
    // The next poll waits for up to 800 ms.
    sleep_ms(1300).await;
    deployment.faults.end();
    let is_settled = || deployment.faults.pending() == 0;
    deployment.wait_for("all are carried out", is_settled).await;
    assert_eq!(deployment.journal.duplicate_runs(), Vec::<String>::new());
}

/// Its tasks wait without end, or until the shard has another owner.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_worker_that_restarts_at_another_address_gets_no_work() {
    let mut deployment = Deployment::start("moved", 1, 1).await;
    let lasting = json!([{"count": 2, "cpu": 500, "mem_mb": 10, "daemon": true}]);
    let status = deployment.submit(0, &job_id(1), "endless", lasting).await;
    assert_eq!(status, 200);
    let is_running = || deployment.journal.active_runs().len() == 2;
    deployment.wait_for("the tasks run", is_running).await;
    deployment.move_worker(0).await;
    let id = job_id(2);
    assert_eq!(deployment.submit(0, &id, "once", steps(3)).await, 200);
    assert_all_done(&deployment, &[id], JOB_TIMEOUT).await;
    let is_running = || deployment.journal.active_runs().len() == 2;
    deployment.wait_for("the tasks run again", is_running).await;
    assert_eq!(deployment.journal.duplicate_runs(), Vec::<String>::new());
}

/// How long a task that lasts may have no run: LOST counts 3 s from 6 s after its last one.
const MAX_GAP: Duration = Duration::from_secs(9);

/// Guards against tasks without a run as late orders to a former incarnation are waited for.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_of_a_worker_that_restarted_and_is_lost_for_good_run_again_in_time() {
    let deployment = Deployment::start("restart-lost", 1, 3).await;
    // A poll waits at the worker when it restarts.
    sleep_ms(1_000).await;
    deployment.restart_worker(0);
    sleep_ms(1_000).await;
    let lasting = json!([{"count": 6, "cpu": 500, "mem_mb": 10, "daemon": true}]);
    let status = deployment.submit(0, &job_id(1), "endless", lasting).await;
    assert_eq!(status, 200);
    let all_run = || deployment.journal.active_runs().len() == 6;
    deployment.wait_for("all tasks run", all_run).await;
    sleep_ms(2_000).await;
    let worker = format!("on {}", deployment.worker(0).id);
    let runs = deployment.journal.active_runs();
    let lost = runs.iter().filter(|run| run.ends_with(&worker)).count();
    assert!(lost > 0, "{runs:?}");
    deployment.worker(0).crash();
    deployment.unregister(0);
    let lost_at = Instant::now();
    while deployment.journal.active_runs().len() < 6 {
        assert!(lost_at.elapsed() < MAX_GAP, "{lost} tasks have no run");
        sleep_ms(50).await;
    }
    assert_eq!(deployment.journal.duplicate_runs(), Vec::<String>::new());
}
