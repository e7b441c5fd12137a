//! The commands of operators and submitters, and their output.

use std::path::Path;
use std::time::Duration;

use serde::Serialize;
use tokio::time::{Instant, sleep};

use super::client::EntryClient;
use crate::configuration::{CheckedQuestionnaire, Configuration, Warning};
use crate::entry::EvacuationView;
use crate::front::EntryStatus;
use crate::jobs::{Account, JobSpec, JobView};
use crate::table;
use crate::{Error, Result};

/// The delay between two status requests while a command waits.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The entry host to call, the credentials, and the output format.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Target {
    /// The address of the entry host.
    pub entry: String,
    /// The operators' token, or the team's.
    pub token: String,
    /// The team; absent with the operators' token.
    pub team: Option<String>,
    /// Whether to print JSON lines instead of text.
    pub json: bool,
}

impl Target {
    fn client(&self) -> EntryClient {
        EntryClient::new(&self.entry, &self.token, self.team.as_deref())
    }

    fn print<T: Serialize>(&self, value: &T, text: impl FnOnce() -> String) {
        if self.json {
            let line = serde_json::to_string(value).expect("plain values have a JSON form");
            println!("{line}");
        } else {
            println!("{}", text());
        }
    }
}

fn print_warnings(warnings: &[Warning]) {
    for warning in warnings {
        eprintln!("{warning}");
    }
}

/// Checks a questionnaire and prints its configuration without publishing it.
///
/// # Errors
///
/// Fails with all faults of the questionnaire.
pub fn check(path: &Path, json: bool) -> Result<bool> {
    let checked = CheckedQuestionnaire::read(path)?;
    print_warnings(&checked.warnings);
    let configuration = &checked.configuration;
    let text = match json {
        true => serde_json::to_string(configuration),
        false => serde_json::to_string_pretty(configuration),
    };
    println!("{}", text.expect("plain values have a JSON form"));
    Ok(true)
}

/// The result of `apply`: the entry hosts on which the revision is in force, and
/// the others.
#[derive(Debug, Serialize)]
struct ApplyResult {
    revision: u64,
    in_force: Vec<String>,
    not_in_force: Vec<String>,
}

/// Publishes the configuration of a questionnaire and waits until it is in force
/// on all entry hosts, `wait` at most. Returns whether it is.
///
/// # Errors
///
/// Fails with all faults of the questionnaire, and when the host does not answer
/// or refuses the configuration.
pub async fn apply(path: &Path, author: &str, wait: Duration, target: &Target) -> Result<bool> {
    let checked = CheckedQuestionnaire::read(path)?;
    print_warnings(&checked.warnings);
    let client = target.client();
    let wanted = Configuration {
        author: author.to_owned(),
        ..checked.configuration
    };
    let revision = client.publish(&wanted).await?;
    let deadline = Instant::now() + wait;
    loop {
        let status = client.status().await?;
        let applied = apply_result(&status, revision);
        let done = applied.not_in_force.is_empty();
        if done || Instant::now() >= deadline {
            target.print(&applied, || format_applied(&applied));
            return Ok(done);
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// The result of `evacuate`: the entry hosts that follow the request, and the others.
#[derive(Debug, Serialize)]
struct EvacuationResult {
    zone: String,
    evacuated: bool,
    followed_by: Vec<String>,
    not_followed_by: Vec<String>,
}

/// Requests the evacuation of an availability zone, or ends it, and waits until all entry
/// hosts follow that, `wait` at most. Returns whether they do.
///
/// # Errors
///
/// Fails when the host does not answer or refuses the request.
pub async fn evacuate(zone: &str, end: bool, wait: Duration, target: &Target) -> Result<bool> {
    let client = target.client();
    let evacuated = client.evacuate(zone, end).await?.evacuated;
    let deadline = Instant::now() + wait;
    loop {
        let status = client.status().await?;
        let result = evacuation_result(&status, zone, evacuated);
        let done = result.not_followed_by.is_empty();
        if done || Instant::now() >= deadline {
            target.print(&result, || format_evacuation(&result));
            return Ok(done);
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn evacuation_result(status: &EntryStatus, zone: &str, evacuated: bool) -> EvacuationResult {
    let mut result = EvacuationResult {
        zone: zone.to_owned(),
        evacuated,
        followed_by: Vec::new(),
        not_followed_by: Vec::new(),
    };
    let own = status.evacuations.iter().any(|each| each.zone == zone);
    let mut add = |name: String, follows: bool| match follows {
        true => result.followed_by.push(name),
        false => result.not_followed_by.push(name),
    };
    add(status.name.clone(), own == evacuated);
    for peer in &status.peers {
        let knows = peer.evacuated.contains(zone) == evacuated;
        match peer.reachable {
            true => add(peer.name.clone(), knows),
            false => add(format!("{} (out of reach)", peer.name), false),
        }
    }
    result
}

fn format_evacuation(result: &EvacuationResult) -> String {
    let state = match result.evacuated {
        true => "evacuated",
        false => "in use",
    };
    let mut text = format!(
        "zone {} is {state} for {}",
        result.zone,
        result.followed_by.join(", ")
    );
    if !result.not_followed_by.is_empty() {
        text += &format!("\nnot yet for {}", result.not_followed_by.join(", "));
    }
    text
}

fn apply_result(status: &EntryStatus, revision: u64) -> ApplyResult {
    let mut applied = ApplyResult {
        revision,
        in_force: Vec::new(),
        not_in_force: Vec::new(),
    };
    let mut add = |name: String, at: u64| match at >= revision {
        true => applied.in_force.push(name),
        false => applied.not_in_force.push(name),
    };
    add(status.name.clone(), status.revision);
    for peer in &status.peers {
        let name = match peer.reachable {
            true => peer.name.clone(),
            false => format!("{} (out of reach)", peer.name),
        };
        add(name, peer.revision);
    }
    applied
}

fn format_applied(applied: &ApplyResult) -> String {
    let mut text = format!(
        "revision {} in force on {}",
        applied.revision,
        applied.in_force.join(", ")
    );
    if !applied.not_in_force.is_empty() {
        text += &format!("\nnot yet in force on {}", applied.not_in_force.join(", "));
    }
    text
}

/// Prints the state of an entry host.
///
/// # Errors
///
/// Fails when the host does not answer or refuses the request.
pub async fn status(target: &Target) -> Result<bool> {
    let status = target.client().status().await?;
    target.print(&status, || format_status(&status));
    Ok(true)
}

fn format_status(status: &EntryStatus) -> String {
    let shards: Vec<Vec<String>> = status
        .shards
        .iter()
        .map(|shard| {
            let owner = shard
                .owner
                .map_or("-".to_owned(), |owner| owner.to_string());
            vec![shard.shard.to_string(), owner, shard.acting.to_string()]
        })
        .collect();
    let workers: Vec<Vec<String>> = status
        .workers
        .iter()
        .map(|worker| {
            vec![
                worker.name.clone(),
                worker.shard.to_string(),
                worker.state.clone(),
                format!("{}/{}", worker.requests, worker.slots),
                format!("{}/{}", worker.used.millicores, worker.size.millicores),
            ]
        })
        .collect();
    let peers: Vec<Vec<String>> = status
        .peers
        .iter()
        .map(|peer| {
            vec![
                peer.name.clone(),
                peer.zone.clone(),
                peer.revision.to_string(),
                peer.reachable.to_string(),
            ]
        })
        .collect();
    let evacuations: Vec<Vec<String>> = status.evacuations.iter().map(evacuation_row).collect();
    let counters: Vec<Vec<String>> = status
        .counters
        .iter()
        .map(|counter| vec![counter.name.clone(), counter.value.to_string()])
        .collect();
    [
        format!(
            "{} in {} ({}), revision {}, store session {}, {} requests, {} waiting",
            status.name,
            status.zone,
            status.host,
            status.revision,
            if status.leased {
                "confirmed"
            } else {
                "not confirmed"
            },
            status.requests,
            status.waiting
        ),
        table::render(&["shard", "owner", "acting here"], &shards),
        table::render(
            &["worker", "shard", "state", "slots", "batch cores/1000"],
            &workers,
        ),
        table::render(&["peer", "zone", "revision", "reachable"], &peers),
        table::render(
            &[
                "evacuated zone",
                "requests",
                "tasks",
                "silent workers",
                "unknown shards",
                "empty",
            ],
            &evacuations,
        ),
        table::render(&["counter", "value"], &counters),
    ]
    .join("\n\n")
}

fn evacuation_row(view: &EvacuationView) -> Vec<String> {
    vec![
        view.zone.clone(),
        view.remaining.requests.to_string(),
        view.remaining.tasks.to_string(),
        view.remaining.silent.to_string(),
        view.unknown_shards.to_string(),
        view.empty.to_string(),
    ]
}

#[derive(Serialize)]
struct JobLine {
    id: String,
}

/// Submits a job and prints its id.
///
/// # Errors
///
/// Fails when the host does not answer or refuses the request.
pub async fn submit(spec: &JobSpec, key: Option<&str>, target: &Target) -> Result<bool> {
    let id = target.client().submit(spec, key).await?;
    target.print(&JobLine { id: id.clone() }, || id);
    Ok(true)
}

/// Cancels a job.
///
/// # Errors
///
/// Fails when the host does not answer or refuses the request.
pub async fn cancel(id: &str, target: &Target) -> Result<bool> {
    target.client().cancel(id).await?;
    let line = JobLine { id: id.to_owned() };
    target.print(&line, || format!("{id} cancelled"));
    Ok(true)
}

/// Prints the state of a job.
///
/// # Errors
///
/// Fails when the host does not answer or refuses the request.
pub async fn job(id: &str, target: &Target) -> Result<bool> {
    let view = target.client().job(id).await?;
    target.print(&view, || format_jobs(std::slice::from_ref(&view)));
    Ok(true)
}

fn format_jobs(jobs: &[JobView]) -> String {
    let rows: Vec<Vec<String>> = jobs
        .iter()
        .map(|job| {
            let ended: Vec<String> = job
                .ended
                .iter()
                .map(|(outcome, count)| format!("{outcome} {count}"))
                .collect();
            vec![
                job.id.clone(),
                job.team.clone(),
                job.class.clone(),
                job.waiting.to_string(),
                job.running.to_string(),
                ended.join(", "),
                if job.late { "late" } else { "in time" }.to_owned(),
                match job.moved_to.is_empty() {
                    true => job.reason.clone(),
                    false => format!("moved to {}", job.moved_to.join(", ")),
                },
            ]
        })
        .collect();
    let header = [
        "job",
        "team",
        "class",
        "waiting",
        "running",
        "ended",
        "deadline",
        "why it waits",
    ];
    table::render(&header, &rows)
}

/// Prints what ran, what did not, and why.
///
/// # Errors
///
/// Fails when the host does not answer or refuses the request.
pub async fn account(target: &Target) -> Result<bool> {
    let account = target.client().account().await?;
    target.print(&account, || format_account(&account));
    Ok(true)
}

fn format_account(account: &Account) -> String {
    let rows: Vec<Vec<String>> = account
        .teams
        .iter()
        .map(|(name, team)| {
            let ended: Vec<String> = team
                .ended
                .iter()
                .map(|(outcome, count)| format!("{outcome} {count}"))
                .collect();
            vec![
                name.clone(),
                team.jobs.to_string(),
                team.tasks.to_string(),
                team.waiting.to_string(),
                team.running.to_string(),
                team.late.to_string(),
                ended.join(", "),
            ]
        })
        .collect();
    let header = [
        "team",
        "jobs",
        "tasks",
        "waiting",
        "running",
        "late jobs",
        "ended",
    ];
    let mut text = table::render(&header, &rows);
    if !account.jobs.is_empty() {
        text += "\n\nJobs that are late or have tasks that did not finish:\n";
        text += &format_jobs(&account.jobs);
    }
    text
}

#[derive(Serialize)]
struct DrainResult {
    stopped: bool,
}

/// Starts a planned stop of an entry host and waits until it has stopped, `wait` at
/// most. Returns whether it has.
///
/// # Errors
///
/// Fails when the host does not answer or refuses the stop.
pub async fn drain(wait: Duration, target: &Target) -> Result<bool> {
    let client = target.client();
    client.drain().await?;
    let deadline = Instant::now() + wait;
    while Instant::now() < deadline {
        if let Err(Error::Unreachable { .. }) = client.status().await {
            let line = DrainResult { stopped: true };
            target.print(&line, || format!("{} has stopped", target.entry));
            return Ok(true);
        }
        sleep(POLL_INTERVAL).await;
    }
    let line = DrainResult { stopped: false };
    target.print(&line, || {
        format!("{} is still finishing requests", target.entry)
    });
    Ok(false)
}
