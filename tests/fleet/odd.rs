//! Tests with values in the store that other programs wrote and that no worker,
//! caller or operator would write.

use std::time::{Duration, Instant};

use lycheelock::routing::Queue;
use lycheelock::shards::{AcceptedJob, encode, work_key};
use lycheelock::workflow::{Step, Workflow};
use serde_json::{Value, json};

use crate::deployment::{Deployment, configuration, sleep_ms};
use crate::{JOB_TIMEOUT, assert_all_done, job_id, steps};

/// A number of levels that overflows the stack of a recursive parser.
const DEEP_LEVELS: usize = 100_000;

/// The registry entry of a worker at which nobody listens, with one field set to a
/// JSON text.
fn worker_with(field: &str, text: &str) -> Vec<u8> {
    let mut entry = json!({
        "backend": "pool", "address": "127.0.0.1:9", "zone": "a", "version": "v1",
        "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1,
        "capacity": {"cpu": 4000, "mem_mb": 8000, "gpu": 0}, "labels": ["kind", "rack"],
    });
    entry[field] = Value::from("marker");
    entry.to_string().replace("\"marker\"", text).into_bytes()
}

fn odd_workers() -> Vec<Vec<u8>> {
    let deep = "[".repeat(DEEP_LEVELS) + &"]".repeat(DEEP_LEVELS);
    let fields = [
        ("extra", deep.as_str()),
        ("labels", &deep),
        ("labels", "[]"),
        ("labels", "{}"),
        ("remaining_ms", "1e300"),
        ("remaining_ms", "1e999"),
        ("remaining_ms", "-1"),
        ("capacity", r#"{"cpu":1e300,"mem_mb":1e300}"#),
        ("born", "18446744073709551616"),
        ("address", r#""127.0.0.1:99999""#),
        ("address", r#""127.0.0.1:0""#),
        ("address", r#""127.0.0.1""#),
        ("address", r#""host name:1""#),
        ("address", r#""""#),
        ("zone", r#""no/such\nzone""#),
        ("zone", "5"),
    ];
    let mut odd: Vec<Vec<u8>> = fields
        .iter()
        .map(|(field, text)| worker_with(field, text))
        .collect();
    odd.extend([deep.into_bytes(), b"\xff{".to_vec(), Vec::new()]);
    odd
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn odd_registry_entries_stop_no_daemon_and_no_job() {
    let mut deployment = Deployment::start("odd", 2, 2).await;
    for (number, value) in odd_workers().iter().enumerate() {
        let key = format!("servers/odd{number}");
        deployment.store.put_bytes(&key, value);
    }
    let not_base64 = "?".to_owned();
    deployment.store.put_text("servers/odd", not_base64);
    let owner = deployment.owner().await;
    deployment.kill(owner);
    deployment.wait_for_owner_other_than(owner).await;
    let other = 1 - owner;
    let id = job_id(1);
    let status = deployment.submit(other, &id, "once", steps(3)).await;
    assert_eq!(status, 200);
    assert_all_done(&deployment, &[id], JOB_TIMEOUT).await;
    assert!(deployment.entries[other].is_running());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn job_with_impossible_estimate_stops_no_other_job() {
    let deployment = Deployment::start("estimate", 1, 1).await;
    let odd = json!([{"count": 10_000, "cpu": 500, "est_ms": u64::MAX}]);
    let status = deployment.submit(0, &job_id(1), "once", odd).await;
    let id = job_id(2);
    assert_eq!(deployment.submit(0, &id, "once", steps(3)).await, 200);
    assert_all_done(&deployment, &[id], JOB_TIMEOUT).await;
    assert_eq!(status, 400);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn odd_configuration_does_not_hide_the_next_one() {
    let deployment = Deployment::start("configuration", 1, 1).await;
    let odd = configuration(2, "/q/").to_string();
    let odd = odd.replace("\"timeout_ms\":3000", "\"timeout_ms\":1e300");
    deployment.store.put_bytes("op/config", odd.as_bytes());
    assert_eq!(deployment.job_state(0, &job_id(1)).await.0, 410);
    deployment.store.put("op/config", &configuration(3, "/r/"));
    let deadline = Instant::now() + JOB_TIMEOUT;
    while deployment.job_state(0, &job_id(1)).await.0 != 404 {
        assert!(
            Instant::now() < deadline,
            "the configuration is not applied"
        );
        sleep_ms(20).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stored_job_that_would_be_refused_stops_no_other_job() {
    let deployment = Deployment::start("stored", 1, 1).await;
    let step = Step {
        count: 10_000,
        estimate: Duration::from_millis(u64::MAX),
        ..Step::default()
    };
    let stored = AcceptedJob {
        queue: Queue::default(),
        workflow: Workflow {
            steps: vec![step],
            ..Workflow::default()
        },
        accepted_at: 0,
        moved: None,
    };
    let key = work_key("all", job_id(1).parse().unwrap());
    deployment.store.put_bytes(&key, &encode(&stored));
    let id = job_id(2);
    assert_eq!(deployment.submit(0, &id, "once", steps(3)).await, 200);
    assert_all_done(&deployment, &[id], JOB_TIMEOUT).await;
    assert_eq!(deployment.owner().await, 0);
}

/// Guards against answers without a kind to requests that no route takes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_no_route_takes_is_refused_with_its_kind() {
    let deployment = Deployment::start("methods", 1, 1).await;
    let url = format!("http://{}/q/{}", deployment.front_addresses[0], job_id(1));
    for method in ["TRACE", "CONNECT", "PROPFIND"] {
        let method = reqwest::Method::from_bytes(method.as_bytes()).unwrap();
        let client = reqwest::Client::new();
        let response = client.request(method.clone(), &url).send().await.unwrap();
        let kind = response.headers().get("lycheelock-error").cloned();
        let status = response.status();
        let body = response.text().await.unwrap();
        let kind = kind.unwrap_or_else(|| panic!("{method}: {status} {body}"));
        let body: Value = serde_json::from_str(&body).unwrap();
        assert_eq!(body["error"], kind.to_str().unwrap(), "{method}");
        assert_eq!(body["run"], "no", "{method}");
    }
}
