//! Tests with workers that restart and take orders before their first report.

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
