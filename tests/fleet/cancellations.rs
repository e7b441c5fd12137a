//! Tests of cancellations that reach the store before the submission of their job does.

use serde_json::{Value, json};

use super::deployment::{Deployment, sleep_ms};
use super::{JOB_TIMEOUT, job_id, steps};

/// How long tasks may take to start once a submission takes effect.
const START_TIME: u64 = 1_500;

fn endless() -> Value {
    json!([{"count": 2, "cpu": 100, "mem_mb": 10, "daemon": true}])
}

/// Three entry daemons, the first of the result the owner of the shard.
async fn start(name: &str) -> (Deployment, [usize; 3]) {
    let deployment = Deployment::start(name, 3, 2).await;
    let owner = deployment.owner().await;
    (deployment, [owner, (owner + 1) % 3, (owner + 2) % 3])
}

/// Guards against a job that runs as its submission takes effect after its cancelling.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_whose_submission_takes_effect_after_its_cancelling_never_runs() {
    let (deployment, [_, near, other]) = start("late-submission").await;
    deployment.store.hold_writes(near, true);
    let job = job_id(1);
    let status = deployment.submit(near, &job, "endless", endless()).await;
    assert_eq!(status, 502);
    assert!(deployment.store.pending() > 0);
    assert_eq!(deployment.cancel(other, &job).await, 410);
    assert_eq!(deployment.job_state(other, &job).await.0, 410);
    deployment.store.hold_writes(near, false);
    let applied = || deployment.store.pending() == 0;
    deployment
        .wait_for("the submission is applied", applied)
        .await;
    sleep_ms(START_TIME).await;
    assert!(deployment.journal.runs(&job).is_empty());
    for entry in [near, other] {
        assert_eq!(deployment.job_state(entry, &job).await.0, 410);
        assert_eq!(deployment.cancel(entry, &job).await, 410);
    }
}

/// Guards against a submission that is said to be accepted although its job never runs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_submission_of_a_job_that_was_cancelled_before_is_refused() {
    let (deployment, [owner, near, other]) = start("withdrawn").await;
    let job = job_id(1);
    assert_eq!(deployment.cancel(near, &job).await, 410);
    // Each acknowledgement holds for the same time.
    let marked = deployment.store.revision(&format!("job/{job}"));
    assert_eq!(deployment.cancel(other, &job).await, 410);
    assert!(deployment.store.revision(&format!("job/{job}")) > marked);
    for entry in [owner, near, other] {
        let status = deployment.submit(entry, &job, "endless", endless()).await;
        assert_eq!(status, 503);
    }
    assert_eq!(
        deployment.submit(near, &job_id(2), "once", steps(1)).await,
        200
    );
    deployment
        .wait_for_state(&job_id(2), "done", JOB_TIMEOUT)
        .await;
    assert!(deployment.journal.runs(&job).is_empty());
    let metrics = deployment.metrics(near).await;
    assert!(metrics.contains("job_cancelled"), "{metrics}");
}

/// Guards against an acknowledged cancellation that is not stored.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cancellation_that_cannot_be_stored_is_not_acknowledged() {
    let (deployment, [_, near, _]) = start("unstored-cancel").await;
    deployment.store.hold_writes(near, true);
    let status = deployment.cancel(near, &job_id(1)).await;
    assert!([502, 503].contains(&status), "{status}");
    deployment.store.hold_writes(near, false);
}

/// Guards against a host that keeps all of the store's writes busy for one client.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cancellations_of_many_unknown_jobs_are_refused_and_known_jobs_are_cancelled() {
    let (deployment, [_, near, _]) = start("many-cancels").await;
    let known = job_id(1);
    let status = deployment.submit(near, &known, "endless", endless()).await;
    assert_eq!(status, 200);
    let mut refused = 0;
    for number in 100..400 {
        match deployment.cancel(near, &job_id(number)).await {
            410 => {}
            503 => refused += 1,
            status => panic!("{status}"),
        }
    }
    assert!(refused > 0);
    assert_eq!(deployment.cancel(near, &known).await, 200);
    let state = deployment.job_state(near, &known).await;
    assert_eq!(state, (200, "cancelled".to_owned()));
    // The limit passes by itself.
    sleep_ms(500).await;
    assert_eq!(deployment.cancel(near, &job_id(500)).await, 410);
}
