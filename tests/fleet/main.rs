//! Tests of entry daemons under failures, each in a process of its own, on the
//! users' platform. Its store and workers are small stand-ins inside the test.
//! The counterpart for lycheelock's own protocol is `tests/processes`.

mod cancellations;
#[allow(dead_code, reason = "the overload tests use the rest of it")]
#[path = "../common/fleet/deployment.rs"]
mod deployment;
#[path = "../common/fleet/door.rs"]
mod door;
mod evacuation;
#[path = "../common/fleet/faults.rs"]
mod faults;
mod odd;
#[path = "../common/ports.rs"]
mod ports;
mod recuts;
#[allow(dead_code, reason = "the process tests use the rest of it")]
#[path = "../common/relay.rs"]
mod relay;
mod restarts;
mod shards;
mod silence;
#[path = "../common/fleet/store.rs"]
mod store;
mod takeovers;
mod unanswered;
#[path = "../common/fleet/workers.rs"]
mod workers;
#[path = "../common/fleet/writes.rs"]
mod writes;

use std::time::{Duration, Instant};

use deployment::{Deployment, sleep_ms};
use rstest::rstest;
use serde_json::{Value, json};
use store::Fault;

/// Time limit for a job to end once nothing delays it any more.
const JOB_TIMEOUT: Duration = Duration::from_secs(10);

fn steps(count: u32) -> Value {
    json!([
        {"count": count, "cpu": 500, "mem_mb": 10, "est_ms": 300},
        {"count": 1, "cpu": 500, "mem_mb": 10, "est_ms": 300, "after": [0]},
    ])
}

fn job_id(number: u32) -> String {
    format!("{number:016x}")
}

async fn submit_jobs(deployment: &Deployment, first: u32, count: u32) -> Vec<String> {
    let mut accepted = Vec::new();
    for number in first..first + count {
        let entry = number as usize % deployment.entries.len();
        let status = deployment
            .submit(entry, &job_id(number), "once", steps(3))
            .await;
        if status == 200 {
            accepted.push(job_id(number));
        }
    }
    accepted
}

async fn assert_all_done(deployment: &Deployment, ids: &[String], timeout: Duration) {
    for job in ids {
        deployment.wait_for_state(job, "done", timeout).await;
    }
    assert_eq!(deployment.journal.duplicate_runs(), Vec::<String>::new());
}

/// Submits a job of two endless tasks and waits until both run.
async fn start_long_running(deployment: &Deployment, id: &str) {
    let long_running = json!([{"count": 2, "cpu": 100, "mem_mb": 10, "daemon": true}]);
    assert_eq!(deployment.submit(0, id, "endless", long_running).await, 200);
    let both_run = || deployment.journal.runs(id).len() == 2;
    deployment.wait_for("both tasks run", both_run).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn job_steps_run_once_and_in_order() {
    let deployment = Deployment::start("calm", 2, 3).await;
    let ids = submit_jobs(&deployment, 1, 6).await;
    assert_eq!(ids.len(), 6);
    let again = deployment.submit(1, &ids[0], "once", steps(3)).await;
    assert_eq!(again, 200);
    assert_all_done(&deployment, &ids, JOB_TIMEOUT).await;
    let runs = deployment.journal.runs(&ids[0]);
    assert_eq!(runs.len(), 4, "{runs:?}");
    let last = runs.iter().find(|run| run.task.ends_with(".1.0")).unwrap();
    let earlier = runs.iter().filter(|run| !run.task.ends_with(".1.0"));
    assert!(
        earlier
            .into_iter()
            .all(|run| run.ended.unwrap().0 <= last.started)
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cancelled_job_stops_and_is_shown_as_cancelled() {
    let deployment = Deployment::start("cancel", 2, 2).await;
    start_long_running(&deployment, &job_id(1)).await;
    assert_eq!(deployment.cancel(1, &job_id(1)).await, 200);
    assert_eq!(
        deployment.job_state(0, &job_id(1)).await,
        (200, "cancelled".to_owned())
    );
    let stopped = || {
        deployment
            .journal
            .runs(&job_id(1))
            .iter()
            .all(|run| run.ended.is_some())
    };
    deployment.wait_for("both tasks are stopped", stopped).await;
    deployment
        .wait_for("the job's work is removed", || {
            // Only the key that marks the shard as claimed is left.
            deployment.store.count("work/") == 1
        })
        .await;
}

#[rstest]
#[case::unreadable(b"{".to_vec(), 400)]
#[case::no_steps(br#"{"spec":"","steps":[]}"#.to_vec(), 400)]
#[case::later_step(br#"{"spec":"","steps":[{"count":1,"after":[1]},{"count":1}]}"#.to_vec(), 400)]
#[case::target_huge(br#"{"steps":[{"count":1,"target_ms":1e300}]}"#.to_vec(), 400)]
#[case::too_large(vec![b' '; 70_000], 413)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_input_is_rejected_without_delay(#[case] body: Vec<u8>, #[case] expected: u16) {
    let deployment = Deployment::start("bad", 1, 1).await;
    let started = Instant::now();
    let status = deployment.post(0, &format!("/q/{}", job_id(1)), body).await;
    assert_eq!(status, expected);
    assert!(started.elapsed() < Duration::from_secs(1));
    assert_eq!(deployment.store.count("job/"), 0);
    assert_eq!(deployment.post(0, "/nothing/1", Vec::new()).await, 404);
    assert_eq!(deployment.job_state(0, &job_id(1)).await.0, 410);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_owner_is_replaced_and_no_task_runs_twice() {
    let mut deployment = Deployment::start("kill", 3, 3).await;
    let ids = submit_jobs(&deployment, 1, 6).await;
    let owner = deployment.owner().await;
    let killed = Instant::now();
    deployment.kill(owner);
    deployment.wait_for_owner_other_than(owner).await;
    assert!(
        killed.elapsed() < Duration::from_secs(5),
        "{:?}",
        killed.elapsed()
    );
    assert_all_done(&deployment, &ids, JOB_TIMEOUT).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_job_does_not_wait_for_a_worker_that_died_with_its_owner() {
    let mut deployment = Deployment::start("silent", 3, 3).await;
    let ids = submit_jobs(&deployment, 1, 3).await;
    assert_all_done(&deployment, &ids, JOB_TIMEOUT).await;
    let owner = deployment.owner().await;
    deployment.stop_worker(0);
    deployment.entries[owner].signal("STOP");
    deployment.wait_for_owner_other_than(owner).await;
    let other = (owner + 1) % 3;
    assert_eq!(
        deployment
            .submit(other, &job_id(50), "once", steps(1))
            .await,
        200
    );
    // Only tasks that the former owner may have started wait for the dead worker, for
    // up to 11 s.
    let started = Instant::now();
    let has_started = || !deployment.journal.runs(&job_id(50)).is_empty();
    deployment.wait_for("the job starts", has_started).await;
    let waited = started.elapsed();
    deployment.entries[owner].signal("CONT");
    assert!(waited < Duration::from_secs(3), "{waited:?}");
    deployment
        .wait_for_state(&job_id(50), "done", JOB_TIMEOUT)
        .await;
    // Gives the former owner time to act on its outdated state.
    sleep_ms(1500).await;
    assert_eq!(deployment.journal.duplicate_runs(), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resumed_former_owner_starts_no_task_again() {
    let deployment = Deployment::start("freeze", 3, 3).await;
    let owner = deployment.owner().await;
    let ids = submit_jobs(&deployment, 1, 6).await;
    deployment.entries[owner].signal("STOP");
    deployment.wait_for_owner_other_than(owner).await;
    let more = {
        let other = (owner + 1) % 3;
        assert_eq!(
            deployment
                .submit(other, &job_id(90), "once", steps(3))
                .await,
            200
        );
        job_id(90)
    };
    deployment.entries[owner].signal("CONT");
    deployment.wait_for_state(&more, "done", JOB_TIMEOUT).await;
    assert_all_done(&deployment, &ids, Duration::from_secs(20)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_hands_over_jobs_and_answers_open_requests() {
    let mut deployment = Deployment::start("term", 2, 2).await;
    let owner = deployment.owner().await;
    let ids = submit_jobs(&deployment, 1, 4).await;
    deployment.entries[owner].signal("TERM");
    sleep_ms(200).await;
    assert_eq!(deployment.ready(owner).await, Some(503));
    let status = deployment
        .submit(owner, &job_id(50), "once", steps(1))
        .await;
    assert_eq!(
        status, 200,
        "requests are served until the load balancer has seen the failed probe"
    );
    let code = deployment.entries[owner].wait(Duration::from_secs(8));
    assert_eq!(code, Some(0));
    assert_all_done(&deployment, &ids, JOB_TIMEOUT).await;
    deployment
        .wait_for_state(&job_id(50), "done", JOB_TIMEOUT)
        .await;
}

#[rstest]
#[case::busy(Fault::Busy)]
#[case::silent(Fault::Silent)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_store_outage_stops_no_running_task(#[case] fault: Fault) {
    let deployment = Deployment::start("outage", 2, 2).await;
    start_long_running(&deployment, &job_id(1)).await;
    deployment.store.set_fault(fault);
    sleep_ms(3500).await;
    let started = Instant::now();
    let status = deployment.submit(0, &job_id(2), "once", steps(1)).await;
    assert_eq!(
        status, 503,
        "a job that was not sent to the store is refused"
    );
    assert!(
        started.elapsed() < Duration::from_millis(500),
        "{:?}",
        started.elapsed()
    );
    deployment.store.set_fault(Fault::None);
    sleep_ms(2000).await;
    assert_eq!(
        deployment.submit(0, &job_id(3), "once", steps(1)).await,
        200
    );
    deployment
        .wait_for_state(&job_id(3), "done", JOB_TIMEOUT)
        .await;
    let runs = deployment.journal.runs(&job_id(1));
    assert!(runs.iter().all(|run| run.ended.is_none()), "{runs:?}");
    assert!(deployment.journal.runs(&job_id(2)).is_empty());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_store_answer_is_not_reported_as_a_refusal() {
    let deployment = Deployment::start("lost", 2, 2).await;
    deployment.store.set_fault(Fault::LosesAnswers);
    let status = deployment.submit(0, &job_id(1), "once", steps(1)).await;
    assert!(status == 502 || status == 200, "status {status}");
    deployment.store.set_fault(Fault::None);
    sleep_ms(1500).await;
    assert_eq!(
        deployment.submit(1, &job_id(1), "once", steps(1)).await,
        200
    );
    deployment
        .wait_for_state(&job_id(1), "done", JOB_TIMEOUT)
        .await;
    assert_eq!(deployment.journal.duplicate_runs(), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_job_is_lost_when_the_store_compacts_its_history() {
    let deployment = Deployment::start("forget", 2, 2).await;
    let mut ids = submit_jobs(&deployment, 1, 3).await;
    deployment.store.compact();
    ids.extend(submit_jobs(&deployment, 10, 3).await);
    assert_all_done(&deployment, &ids, JOB_TIMEOUT).await;
}
