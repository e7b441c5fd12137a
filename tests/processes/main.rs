//! Tests of separate processes under kills, pauses, cut connections, store outages
//! and planned stops, on lycheelock's own platform. The counterpart for the users'
//! platform is `tests/fleet`.

#[allow(dead_code, reason = "the overload tests use the rest of it")]
#[path = "../common/processes.rs"]
mod deployment;
mod evacuation;
#[path = "../common/ports.rs"]
mod ports;
#[path = "../common/relay.rs"]
mod relay;

use std::sync::Arc;
use std::time::{Duration, Instant};

use deployment::{Deployment, DeploymentSize, TEAM, TEAM_TOKEN, free_address, sleep_ms};
use lycheelock::kind::RunStatus;
use lycheelock::platform::HostState;
use lycheelock::standins::audit::{CallerResult, Violations};
use lycheelock::standins::worker::WorkerFaults;
use relay::Relay;
use serde_json::{Value, json};

const SMALL: DeploymentSize = DeploymentSize {
    entries: 3,
    workers: 4,
};

/// Sends requests for a time. Every third one must not be repeated, and every
/// second one has an idempotency key.
async fn send_requests(deployment: &Deployment, tag: &str, span: Duration) -> Vec<CallerResult> {
    let deadline = Instant::now() + span;
    let mut results = Vec::new();
    let mut number = 0;
    while Instant::now() < deadline {
        let mark = format!("{tag}-{number}");
        let path = if number % 3 == 0 {
            "/trademark"
        } else {
            "/echo"
        };
        let key = (number % 2 == 0).then_some(mark.as_str());
        let entry = number % deployment.entries.len();
        results.push(deployment.call(entry, path, &mark, key).await.result);
        number += 1;
        sleep_ms(10).await;
    }
    results
}

fn count_answered(results: &[CallerResult]) -> usize {
    results
        .iter()
        .filter(|each| each.run == RunStatus::Yes)
        .count()
}

async fn submit_jobs(deployment: &Deployment, tag: &str, count: usize) -> Vec<String> {
    let mut ids = Vec::new();
    for number in 0..count {
        let class = if number % 3 == 0 { "invoice" } else { "review" };
        let accepted = deployment
            .submit(0, class, 2, &format!("{tag}-{number}"))
            .await;
        let id = accepted["id"].as_str();
        ids.push(id.unwrap_or_else(|| panic!("{accepted}")).to_owned());
    }
    ids
}

async fn assert_ended(deployment: &Deployment, entry: usize, ids: &[String]) {
    for id in ids {
        let job = deployment.wait_for_job_end(entry, id).await;
        let ended = job["ended"].as_object().expect("outcomes");
        let sum: u64 = ended.values().filter_map(Value::as_u64).sum();
        assert_eq!(sum, job["tasks"].as_u64().unwrap(), "{job}");
        let only = ended
            .keys()
            .all(|outcome| outcome == "finished" || outcome == "unknown");
        assert!(only, "{job}");
        assert!(
            job["class"] == "invoice" || !ended.contains_key("unknown"),
            "{job}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_through_separate_processes_returns_the_workers_bytes() {
    let deployment = Deployment::start("bytes", SMALL).await;
    let url = format!(
        "http://{}/svc/shortlist/bytes/100000?x=%2F",
        deployment.entries[1]
    );
    let call = deployment.http.get(url).header("lycheelock-team", TEAM);
    let body = call.send().await.unwrap().bytes().await.unwrap();
    let expected: Vec<u8> = (0..100_000).map(|place| (place % 251) as u8).collect();
    assert_eq!(body, expected);

    let forged = deployment
        .http
        .post(format!(
            "http://{}/svc/shortlist/echo",
            deployment.entries[0]
        ))
        .header("lycheelock-team", TEAM)
        .header("lycheelock-epoch", "s0/999")
        .header("lycheelock-request", "00000000000000ff-1")
        .body("x");
    assert_eq!(forged.send().await.unwrap().status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_keyed_request_runs_at_a_peer_if_the_owner_of_its_key_has_no_free_slot() {
    let size = DeploymentSize {
        entries: 2,
        workers: 1,
    };
    let deployment = Deployment::start("keyed-forward", size).await;
    deployment
        .wait_for("each entry host owns a shard", || async {
            let mut owners = 0;
            for entry in 0..2 {
                let status = deployment.status(entry).await;
                owners += usize::from(
                    status.is_some_and(|status| status.shards.iter().any(|shard| shard.acting)),
                );
            }
            owners == 2
        })
        .await;
    sleep_ms(1000).await;
    let mut results = Vec::new();
    for number in 0..16 {
        let mark = format!("keyed-{number}");
        let call = deployment.call(number % 2, "/trademark", &mark, Some(&mark));
        results.push(call.await.result);
    }
    assert_eq!(count_answered(&results), 16, "{results:?}");
    assert_eq!(deployment.audit(&results).await, Violations::default());
}

#[tokio::test(flavor = "multi_thread")]
async fn oversized_requests_are_refused_as_not_run() {
    let deployment = Deployment::start("limits", SMALL).await;
    let url = format!("http://{}/svc/shortlist/echo", deployment.entries[0]);
    let call = || deployment.http.post(&url).header("lycheelock-team", TEAM);
    let large_body = call().body(vec![0; (8 << 20) + 1]);
    let large_header = call().header("x-large", "a".repeat(9000));
    let large_key = call().header("idempotency-key", "k".repeat(300));
    let mut lines = Vec::new();
    for (name, call) in [
        ("body", large_body),
        ("header", large_header),
        ("key", large_key),
    ] {
        let response = call.send().await.unwrap();
        let status = response.status().as_u16();
        let body: Value = response.json().await.unwrap();
        lines.push(format!("{name}: {status} {body}"));
    }
    insta::assert_snapshot!(lines.join("\n"));
    assert!(
        deployment
            .journals()
            .await
            .iter()
            .all(|journal| journal.requests.is_empty())
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn operator_commands_work_end_to_end() {
    let deployment = Deployment::start("commands", SMALL).await;
    let team = ["--team", TEAM, "--token", TEAM_TOKEN];
    let submit = [
        &["submit", "--class", "review", "--tasks", "2", "--json"],
        &team[..],
    ]
    .concat();
    let output = deployment.run_command(0, &submit).await;
    let line: Value = serde_json::from_slice(&output.stdout).expect("a JSON line");
    let id = line["id"].as_str().unwrap();
    assert!(
        deployment
            .run_command(1, &["job", id])
            .await
            .status
            .success()
    );
    assert!(
        deployment
            .run_command(2, &["cancel", id])
            .await
            .status
            .success()
    );
    let job = deployment.wait_for_job_end(1, id).await;
    assert_eq!(job["cancelled"], true);
    let account = deployment.run_command(0, &["account", "--json"]).await;
    let account: Value = serde_json::from_slice(&account.stdout).expect("a JSON line");
    assert_eq!(account["teams"]["linguists"]["jobs"], 1);
    let wrong = deployment
        .run_command(0, &["status", "--token", "no"])
        .await;
    assert_eq!(wrong.status.code(), Some(1));
    let text = String::from_utf8_lossy(&wrong.stderr).into_owned();
    assert!(text.contains("bad_token (run: no)"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_loser_of_two_racing_operators_is_told_the_published_revision() {
    let deployment = Deployment::start("race", SMALL).await;
    let path = deployment.write_questionnaire();
    let (ana, ben) = (
        ["apply", &path, "--author", "ana"],
        ["apply", &path, "--author", "ben"],
    );
    let mut conflicts = 0;
    for _ in 0..5 {
        let (first, second) = tokio::join!(
            deployment.run_command(0, &ana),
            deployment.run_command(1, &ben)
        );
        for output in [first, second] {
            let text = String::from_utf8_lossy(&output.stderr).into_owned();
            let conflict = text.contains("published revision");
            conflicts += usize::from(conflict);
            assert!(output.status.success() || conflict, "{output:?}");
        }
    }
    let revisions = [deployment.status(0).await, deployment.status(2).await];
    let revisions = revisions.map(|status| status.unwrap().revision);
    assert_eq!(
        revisions[0] as usize + conflicts,
        11,
        "every apply was accepted or reported as a conflict"
    );
    assert_eq!(revisions[0], revisions[1]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_owner_loses_no_work_and_repeats_none() {
    let mut deployment = Deployment::start("kill", SMALL).await;
    let ids = submit_jobs(&deployment, "kill", 12).await;
    let owner = deployment.owner().await;
    deployment.entry_processes[owner].signal("KILL");
    let results = send_requests(&deployment, "kill", Duration::from_secs(12)).await;
    deployment.restart_entry(owner);
    let entry = (owner + 1) % 3;
    assert_ended(&deployment, entry, &ids).await;
    assert_eq!(deployment.audit(&results).await, Violations::default());
    assert!(
        count_answered(&results) * 2 > results.len(),
        "{} of {}",
        count_answered(&results),
        results.len()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_former_owner_no_longer_acts() {
    let deployment = Deployment::start("freeze", SMALL).await;
    let ids = submit_jobs(&deployment, "freeze", 12).await;
    let owner = deployment.owner().await;
    deployment.entry_processes[owner].signal("STOP");
    let mut results = send_requests(&deployment, "paused", Duration::from_secs(14)).await;
    deployment.entry_processes[owner].signal("CONT");
    results.extend(send_requests(&deployment, "resumed", Duration::from_secs(3)).await);
    assert_ended(&deployment, (owner + 1) % 3, &ids).await;
    assert_eq!(deployment.audit(&results).await, Violations::default());
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_answered_during_a_minute_of_store_outage() {
    let deployment = Deployment::start("outage", SMALL).await;
    let ids = submit_jobs(&deployment, "outage", 6).await;
    deployment.set_platform_faults(json!({"down": true})).await;
    sleep_ms(8000).await;
    let keyed = deployment.call(0, "/echo", "keyed", Some("keyed")).await;
    assert_eq!(
        (keyed.error.as_str(), keyed.result.run),
        ("store_unavailable", RunStatus::No)
    );
    let refused = deployment.submit(0, "review", 1, "late").await;
    assert_eq!(
        (refused["error"].as_str(), refused["run"].as_str()),
        (Some("store_unavailable"), Some("no"))
    );
    let mut results = vec![keyed.result];
    let mut answers = 0;
    for number in 0..500 {
        let path = if number % 3 == 0 {
            "/trademark"
        } else {
            "/echo"
        };
        let called = deployment
            .call(number % 3, path, &format!("out-{number}"), None)
            .await;
        answers += usize::from(called.status == 200);
        results.push(called.result);
        sleep_ms(100).await;
    }
    assert!(
        answers >= 495,
        "{answers} of 500 answered while the store was down"
    );
    deployment.set_platform_faults(json!({})).await;
    assert_ended(&deployment, 1, &ids).await;
    assert_eq!(deployment.audit(&results).await, Violations::default());
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_store_answers_repeat_no_work() {
    let deployment = Deployment::start("lost", SMALL).await;
    deployment
        .set_platform_faults(json!({"lose_every": 5}))
        .await;
    let mut accepted = Vec::new();
    for number in 0..9 {
        let key = format!("lost-{number}");
        for _ in 0..20 {
            let answer = deployment.submit(number % 3, "review", 1, &key).await;
            if let Some(id) = answer["id"].as_str() {
                accepted.push(id.to_owned());
                break;
            }
            sleep_ms(300).await;
        }
    }
    let results = send_requests(&deployment, "lost", Duration::from_secs(4)).await;
    deployment.set_platform_faults(json!({})).await;
    assert_eq!(accepted.len(), 9);
    assert_ended(&deployment, 0, &accepted).await;
    let runs: usize = deployment
        .journals()
        .await
        .iter()
        .map(|journal| journal.tasks.len())
        .sum();
    assert_eq!(runs, 9, "every task ran once");
    assert_eq!(deployment.audit(&results).await, Violations::default());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_connection_to_a_worker_is_replaced() {
    let deployment = Deployment::start(
        "silent",
        DeploymentSize {
            entries: 1,
            workers: 2,
        },
    )
    .await;
    let relay = Relay::start(deployment.workers[0]);
    deployment
        .update_listing(0, relay.address, HostState::Live)
        .await;
    sleep_ms(2500).await;
    let before = send_requests(&deployment, "before", Duration::from_secs(1)).await;
    relay.silence_open_connections();
    let started = Instant::now();
    let results = send_requests(&deployment, "silent", Duration::from_secs(10)).await;
    assert!(
        count_answered(&results) * 10 >= results.len() * 9,
        "{} of {}",
        count_answered(&results),
        results.len()
    );
    deployment
        .wait_for("the worker is usable again", || async {
            deployment.usable_workers().await == 2
        })
        .await;
    assert!(started.elapsed() < Duration::from_secs(20));
    let all: Vec<CallerResult> = before.into_iter().chain(results).collect();
    assert_eq!(deployment.audit(&all).await, Violations::default());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_between_entry_hosts_loses_no_work_and_repeats_none() {
    let mut deployment = Deployment::start(
        "cut",
        DeploymentSize {
            entries: 2,
            workers: 4,
        },
    )
    .await;
    let peers = free_address();
    let relay = Relay::start(peers);
    deployment.add_entry(2, Some((peers, relay.address)));
    deployment
        .wait_for("the third host owns a shard", || async {
            let status = deployment.status(2).await;
            status.is_some_and(|status| status.shards.iter().any(|shard| shard.acting))
        })
        .await;
    let ids = submit_jobs(&deployment, "cut", 6).await;
    relay.set_cut(true);
    let mut results = send_requests(&deployment, "cut", Duration::from_secs(10)).await;
    relay.set_cut(false);
    results.extend(send_requests(&deployment, "restored", Duration::from_secs(3)).await);
    assert_ended(&deployment, 0, &ids).await;
    assert_eq!(deployment.audit(&results).await, Violations::default());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_drops_no_request() {
    let deployment = Deployment::start("stop", SMALL).await;
    for worker in 0..4 {
        let slow = WorkerFaults {
            delay_ms: 1500,
            ..WorkerFaults::default()
        };
        deployment.set_worker_faults(worker, slow).await;
    }
    let deployment = Arc::new(tokio::sync::Mutex::new(deployment));
    let mut calls = tokio::task::JoinSet::new();
    {
        let locked = deployment.lock().await;
        for number in 0..12 {
            let http = locked.http.clone();
            let url = format!("http://{}/svc/shortlist/trademark", locked.entries[0]);
            calls.spawn(async move {
                let call = http
                    .post(url)
                    .header("lycheelock-team", TEAM)
                    .body(number.to_string());
                call.send().await.map(|response| response.status().as_u16())
            });
        }
    }
    sleep_ms(500).await;
    let mut locked = deployment.lock().await;
    locked.entry_processes[0].signal("TERM");
    while let Some(called) = calls.join_next().await {
        assert_eq!(called.unwrap().unwrap(), 200);
    }
    assert_eq!(
        locked.entry_processes[0].wait(Duration::from_secs(20)),
        Some(0)
    );
    locked
        .wait_for("the other entry hosts use its workers", || async {
            locked.usable_workers().await == 4
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_signal_ends_the_process_within_three_seconds() {
    let mut deployment = Deployment::start("second", SMALL).await;
    deployment.entry_processes[0].signal("TERM");
    sleep_ms(100).await;
    deployment.entry_processes[0].signal("TERM");
    let code = deployment.entry_processes[0].wait(Duration::from_secs(3));
    assert!(matches!(code, Some(0 | 1)), "{code:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_worker_gets_no_work_after_three_seconds() {
    let deployment = Deployment::start("leave", SMALL).await;
    let address = deployment.workers[0];
    deployment
        .update_listing(0, address, HostState::Leaving)
        .await;
    sleep_ms(3000).await;
    let count = |journals: &[lycheelock::standins::worker::Journal]| {
        journals[0].requests.len() + journals[0].tasks.len()
    };
    let before = count(&deployment.journals().await);
    let ids = submit_jobs(&deployment, "leave", 6).await;
    let results = send_requests(&deployment, "leave", Duration::from_secs(2)).await;
    assert_ended(&deployment, 0, &ids).await;
    assert_eq!(count(&deployment.journals().await), before);
    assert_eq!(deployment.audit(&results).await, Violations::default());
}
