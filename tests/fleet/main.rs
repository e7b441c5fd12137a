//! The entry daemon as separate processes on the users' platform, against
//! small stand-ins of its store and its workers, under failure.

mod deployment;
#[path = "../common/ports.rs"]
mod ports;
mod store;
mod workers;

use std::time::{Duration, Instant};

use deployment::{Deployment, pause};
use rstest::rstest;
use serde_json::{Value, json};
use store::Fault;

const SOON: Duration = Duration::from_secs(10);

fn steps(count: u32) -> Value {
    json!([
        {"count": count, "cpu": 500, "mem_mb": 10, "est_ms": 300},
        {"count": 1, "cpu": 500, "mem_mb": 10, "est_ms": 300, "after": [0]},
    ])
}

fn id(number: u32) -> String {
    format!("{number:016x}")
}

async fn submit_many(deployment: &Deployment, first: u32, count: u32) -> Vec<String> {
    let mut accepted = Vec::new();
    for number in first..first + count {
        let entry = number as usize % deployment.entries.len();
        let status = deployment
            .submit(entry, &id(number), "once", steps(3))
            .await;
        if status == 200 {
            accepted.push(id(number));
        }
    }
    accepted
}

async fn all_done(deployment: &Deployment, ids: &[String], patience: Duration) {
    for job in ids {
        deployment.wait_for_state(job, "done", patience).await;
    }
    assert_eq!(deployment.journal.doubles(), Vec::<String>::new());
}

/// Submits a job of two lasting tasks and waits until both run.
async fn start_lasting(deployment: &Deployment, id: &str) {
    let lasting = json!([{"count": 2, "cpu": 100, "mem_mb": 10, "daemon": true}]);
    assert_eq!(deployment.submit(0, id, "lasts", lasting).await, 200);
    let both = || deployment.journal.runs(id).len() == 2;
    deployment.wait_for("both tasks run", both).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_run_step_after_step_and_once() {
    let deployment = Deployment::start("calm", 2, 3).await;
    let ids = submit_many(&deployment, 1, 6).await;
    assert_eq!(ids.len(), 6);
    let again = deployment.submit(1, &ids[0], "once", steps(3)).await;
    assert_eq!(again, 200);
    all_done(&deployment, &ids, SOON).await;
    let runs = deployment.journal.runs(&ids[0]);
    assert_eq!(runs.len(), 4, "{runs:?}");
    let last = runs.iter().find(|run| run.task.ends_with(".1.0")).unwrap();
    let before = runs.iter().filter(|run| !run.task.ends_with(".1.0"));
    assert!(
        before
            .into_iter()
            .all(|run| run.ended.unwrap().0 <= last.begun)
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cancelled_job_stops_and_is_shown_as_cancelled() {
    let deployment = Deployment::start("cancel", 2, 2).await;
    start_lasting(&deployment, &id(1)).await;
    assert_eq!(deployment.cancel(1, &id(1)).await, 200);
    assert_eq!(
        deployment.state(0, &id(1)).await,
        (200, "cancelled".to_owned())
    );
    let stopped = || {
        deployment
            .journal
            .runs(&id(1))
            .iter()
            .all(|run| run.ended.is_some())
    };
    deployment.wait_for("both tasks are stopped", stopped).await;
    deployment
        .wait_for("the work is forgotten", || {
            // Only the mark of the claim is left.
            deployment.store.count("work/") == 1
        })
        .await;
}

#[rstest]
#[case::unreadable(b"{".to_vec(), 400)]
#[case::no_steps(br#"{"spec":"","steps":[]}"#.to_vec(), 400)]
#[case::later_step(br#"{"spec":"","steps":[{"count":1,"after":[1]},{"count":1}]}"#.to_vec(), 400)]
#[case::too_large(vec![b' '; 70_000], 413)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_input_is_refused_at_once(#[case] body: Vec<u8>, #[case] expected: u16) {
    let deployment = Deployment::start("bad", 1, 1).await;
    let begun = Instant::now();
    let status = deployment.post(0, &format!("/q/{}", id(1)), body).await;
    assert_eq!(status, expected);
    assert!(begun.elapsed() < Duration::from_secs(1));
    assert_eq!(deployment.store.count("job/"), 0);
    assert_eq!(deployment.post(0, "/nothing/1", Vec::new()).await, 404);
    assert_eq!(deployment.state(0, &id(1)).await.0, 410);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_owner_is_followed_and_nothing_runs_twice() {
    let mut deployment = Deployment::start("kill", 3, 3).await;
    let ids = submit_many(&deployment, 1, 6).await;
    let owner = deployment.owner().await;
    let killed = Instant::now();
    deployment.kill(owner);
    deployment.wait_for_owner_other_than(owner).await;
    assert!(
        killed.elapsed() < Duration::from_secs(5),
        "{:?}",
        killed.elapsed()
    );
    all_done(&deployment, &ids, SOON).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_job_does_not_wait_for_a_worker_that_died_with_its_owner() {
    let mut deployment = Deployment::start("silent", 3, 3).await;
    let ids = submit_many(&deployment, 1, 3).await;
    all_done(&deployment, &ids, SOON).await;
    let owner = deployment.owner().await;
    deployment.end_worker(0);
    deployment.entries[owner].signal("STOP");
    deployment.wait_for_owner_other_than(owner).await;
    let other = (owner + 1) % 3;
    assert_eq!(
        deployment.submit(other, &id(50), "once", steps(1)).await,
        200
    );
    // Runs of the former owner are waited for 11 s.
    let begun = Instant::now();
    let started = || !deployment.journal.runs(&id(50)).is_empty();
    deployment.wait_for("the job starts", started).await;
    let waited = begun.elapsed();
    deployment.entries[owner].signal("CONT");
    assert!(waited < Duration::from_secs(3), "{waited:?}");
    deployment.wait_for_state(&id(50), "done", SOON).await;
    // The former owner has had time to act on what it believes.
    pause(1500).await;
    assert_eq!(deployment.journal.doubles(), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_that_was_frozen_starts_nothing_again() {
    let deployment = Deployment::start("freeze", 3, 3).await;
    let owner = deployment.owner().await;
    let ids = submit_many(&deployment, 1, 6).await;
    deployment.entries[owner].signal("STOP");
    deployment.wait_for_owner_other_than(owner).await;
    let more = {
        let other = (owner + 1) % 3;
        assert_eq!(
            deployment.submit(other, &id(90), "once", steps(3)).await,
            200
        );
        id(90)
    };
    deployment.entries[owner].signal("CONT");
    deployment.wait_for_state(&more, "done", SOON).await;
    all_done(&deployment, &ids, Duration::from_secs(20)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_hands_over_and_answers_what_it_has_taken() {
    let mut deployment = Deployment::start("term", 2, 2).await;
    let owner = deployment.owner().await;
    let ids = submit_many(&deployment, 1, 4).await;
    deployment.entries[owner].signal("TERM");
    pause(200).await;
    assert_eq!(deployment.ready(owner).await, Some(503));
    let status = deployment.submit(owner, &id(50), "once", steps(1)).await;
    assert_eq!(
        status, 200,
        "requests are served until the balancer has noticed"
    );
    let code = deployment.entries[owner].wait(Duration::from_secs(8));
    assert_eq!(code, Some(0));
    all_done(&deployment, &ids, SOON).await;
    deployment.wait_for_state(&id(50), "done", SOON).await;
}

#[rstest]
#[case::busy(Fault::Busy)]
#[case::silent(Fault::Silent)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_outage_of_the_store_stops_no_running_task(#[case] fault: Fault) {
    let deployment = Deployment::start("outage", 2, 2).await;
    start_lasting(&deployment, &id(1)).await;
    deployment.store.fail(fault);
    pause(3500).await;
    let begun = Instant::now();
    let status = deployment.submit(0, &id(2), "once", steps(1)).await;
    assert_eq!(status, 503, "what was not sent to the store is refused");
    assert!(
        begun.elapsed() < Duration::from_millis(500),
        "{:?}",
        begun.elapsed()
    );
    deployment.store.fail(Fault::None);
    pause(2000).await;
    assert_eq!(deployment.submit(0, &id(3), "once", steps(1)).await, 200);
    deployment.wait_for_state(&id(3), "done", SOON).await;
    let runs = deployment.journal.runs(&id(1));
    assert!(runs.iter().all(|run| run.ended.is_none()), "{runs:?}");
    assert!(deployment.journal.runs(&id(2)).is_empty());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_answer_of_the_store_is_not_called_a_refusal() {
    let deployment = Deployment::start("lost", 2, 2).await;
    deployment.store.fail(Fault::LosesAnswers);
    let status = deployment.submit(0, &id(1), "once", steps(1)).await;
    assert!(status == 502 || status == 200, "status {status}");
    deployment.store.fail(Fault::None);
    pause(1500).await;
    assert_eq!(deployment.submit(1, &id(1), "once", steps(1)).await, 200);
    deployment.wait_for_state(&id(1), "done", SOON).await;
    assert_eq!(deployment.journal.doubles(), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_store_that_forgets_its_history_loses_no_job() {
    let deployment = Deployment::start("forget", 2, 2).await;
    let mut ids = submit_many(&deployment, 1, 3).await;
    deployment.store.forget();
    ids.extend(submit_many(&deployment, 10, 3).await);
    all_done(&deployment, &ids, SOON).await;
}
