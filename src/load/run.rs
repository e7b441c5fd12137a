//! Runs the phases on one cluster for each policy, in turn.

use std::path::PathBuf;
use std::time::Duration;

use log::LevelFilter;
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use super::callers::{Callers, Sent, Tally};
use super::cluster::Cluster;
use super::phase::Phase;
use super::plot;
use super::profile::Profile;
use crate::configuration::{Class, Configuration, Service, Size, Team, Weights, Zone};
use crate::jobs::JobSpec;
use crate::placement::Policy;
use crate::standins::audit::{Told, Violations, audit};
use crate::standins::tasks::TaskRun;
use crate::standins::worker::WorkerFaults;
use crate::workers::TaskState;
use crate::{Result, logs, table};

/// The settings of an experiment.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadSettings {
    /// The deployment.
    pub profile: Profile,
    /// The policies to compare.
    pub policies: Vec<Policy>,
    /// The phases, in their order.
    pub phases: Vec<Phase>,
    /// How long each phase lasts.
    pub span: Duration,
    /// The seed of all choices.
    pub seed: u64,
    /// Whether to print only JSON lines.
    pub json: bool,
    /// Where to write the plot.
    pub plot: Option<PathBuf>,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            profile: Profile::Nombrario,
            policies: Policy::ALL.to_vec(),
            phases: Phase::ALL.to_vec(),
            span: Duration::from_secs(10),
            seed: 1,
            json: false,
            plot: None,
        }
    }
}

/// What one phase came to with one policy.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PhaseResult {
    /// The policy.
    pub policy: &'static str,
    /// The phase.
    pub phase: &'static str,
    /// Interactive requests sent.
    pub sent: u64,
    /// Interactive requests answered.
    pub answered: u64,
    /// Interactive requests refused as not run.
    pub refused: u64,
    /// Interactive requests that may have run.
    pub unknown: u64,
    /// Answers a second.
    pub goodput: f64,
    /// The median latency, in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile of the latency, in milliseconds.
    pub p99_ms: f64,
    /// Batch tasks finished a second.
    pub tasks: f64,
    /// Batch tasks stopped before their end.
    pub evictions: u64,
    /// Retries of interactive requests and batch tasks.
    pub retries: u64,
    /// What must never happen.
    pub violations: Violations,
}

const PREPARE: Duration = Duration::from_secs(60);
/// After a phase, for queues to empty.
const REST: Duration = Duration::from_secs(4);
const DEADLINE: Duration = Duration::from_secs(5);
const TASK_CORES: u32 = 4000;
const TASK_MS: u64 = 1000;
const TASKS_PER_JOB: u32 = 20;
const RESERVE_PERCENT: u32 = 40;
/// Of a hundred jobs, how many are urgent.
const URGENT_PERCENT: u64 = 10;

/// Runs an experiment; tells whether nothing happened that must never happen.
///
/// # Errors
///
/// Fails when a cluster does not start.
pub async fn run(settings: &LoadSettings) -> Result<bool> {
    logs::init(None, LevelFilter::Error)?;
    let configuration = configuration();
    let zones: Vec<String> = configuration
        .zones
        .iter()
        .map(|zone| zone.name.clone())
        .collect();
    let mut clusters = Vec::new();
    for policy in &settings.policies {
        let cluster = Cluster::start(&settings.profile.cluster(*policy), &zones).await?;
        cluster.prepare(&configuration, PREPARE).await?;
        eprintln!(
            "load: {} with {} is ready",
            settings.profile.name(),
            policy.name()
        );
        clusters.push(cluster);
    }
    let mut results = Vec::new();
    let mut series = Vec::new();
    for phase in settings.phases.iter().copied() {
        for (policy, cluster) in settings.policies.iter().zip(&clusters) {
            let ran = run_phase(settings, *policy, phase, cluster, &configuration).await;
            let line = serde_json::to_string(&ran.result).expect("plain values have a JSON form");
            if settings.json {
                println!("{line}");
            } else {
                eprintln!("load: {line}");
            }
            series.push(plot::Series::of(policy.name(), phase, &ran.sent));
            results.push(ran.result);
        }
    }
    if !settings.json {
        println!("{}", show(&results));
    }
    if let Some(path) = &settings.plot {
        std::fs::write(path, plot::draw(&series))?;
    }
    for cluster in clusters {
        cluster.stop().await;
    }
    Ok(results.iter().all(|result| result.violations.total() == 0))
}

fn configuration() -> Configuration {
    let class = |name: &str, urgent: bool| Class {
        name: name.to_owned(),
        deadline: Duration::from_secs(20),
        duration: Duration::from_millis(TASK_MS),
        size: Size {
            cores: TASK_CORES,
            memory: 1000,
            accelerators: 0,
        },
        overnight: false,
        checkpoint: true,
        idempotent: true,
        urgent,
        attempts: 20,
    };
    let zone = |name: &str| Zone {
        name: name.to_owned(),
        shards: 3,
    };
    Configuration {
        author: "load".to_owned(),
        deployment: "load".to_owned(),
        zones: vec![zone("a"), zone("b"), zone("c")],
        weights: Weights::default(),
        services: vec![Service {
            name: "svc".to_owned(),
            target: Duration::from_secs(1),
            deadline: DEADLINE,
            once: Vec::new(),
            reserve: RESERVE_PERCENT,
        }],
        classes: vec![class("plain", false), class("urgent", true)],
        teams: vec![Team {
            name: "team".to_owned(),
            token: "load".to_owned(),
            requests: 100_000,
            tasks: 100_000,
        }],
        ..Configuration::default()
    }
}

struct Ran {
    result: PhaseResult,
    sent: Vec<Sent>,
}

async fn run_phase(
    settings: &LoadSettings,
    policy: Policy,
    phase: Phase,
    cluster: &Cluster,
    configuration: &Configuration,
) -> Ran {
    let retries_before = retries(cluster).await;
    let violations_before = violations(cluster, &[], configuration);
    for worker in cluster.workers.iter().step_by(3).take(phase.failing()) {
        worker.set_faults(WorkerFaults {
            fails: true,
            ..WorkerFaults::default()
        });
    }
    let begun = wall_micros();
    let calling = tokio::spawn(callers(settings, phase, cluster).run());
    submit_jobs(settings, phase, cluster).await;
    let sent = calling.await.unwrap_or_default();
    let ended = begun + settings.span.as_micros() as u64;
    for worker in &cluster.workers {
        worker.set_faults(WorkerFaults::default());
    }
    let batch = Batch::between(cluster, begun, ended);
    sleep(REST).await;
    let told: Vec<Told> = sent.iter().map(|each| each.told.clone()).collect();
    let tally = Tally::of(&sent);
    let result = PhaseResult {
        policy: policy.name(),
        phase: phase.name(),
        sent: tally.sent,
        answered: tally.answered,
        refused: tally.refused,
        unknown: tally.unknown,
        goodput: tally.answered as f64 / settings.span.as_secs_f64(),
        p50_ms: tally.percentile(50.0),
        p99_ms: tally.percentile(99.0),
        tasks: batch.finished as f64 / settings.span.as_secs_f64(),
        evictions: batch.stopped,
        retries: retries(cluster).await - retries_before,
        violations: violations(cluster, &told, configuration).minus(violations_before),
    };
    Ran { result, sent }
}

fn callers(settings: &LoadSettings, phase: Phase, cluster: &Cluster) -> Callers {
    let rate = settings.profile.capacity() * f64::from(phase.requests_percent()) / 100.0;
    Callers {
        entries: cluster.addresses.clone(),
        service: "svc".to_owned(),
        team: "team".to_owned(),
        once: "/echo".to_owned(),
        rate,
        count: (rate * settings.span.as_secs_f64()) as usize,
        deadline: DEADLINE,
        bytes: 256,
        once_percent: 0,
        seed: settings.seed * 100 + phase as u64,
        out: watch::channel(Vec::new()).1,
    }
}

/// Submits jobs at the phase's rate until its time is over.
async fn submit_jobs(settings: &LoadSettings, phase: Phase, cluster: &Cluster) {
    let cores = cluster
        .workers
        .iter()
        .map(|worker| u64::from(worker.listed().size.cores));
    let room: u64 = cores.sum::<u64>() * u64::from(100 - RESERVE_PERCENT) / 100;
    let capacity = room as f64 / f64::from(TASK_CORES) / (TASK_MS as f64 / 1000.0);
    let rate = capacity * f64::from(phase.batch_percent()) / 100.0 / f64::from(TASKS_PER_JOB);
    let begun = Instant::now();
    let mut number = 0;
    let mut submissions = tokio::task::JoinSet::new();
    while begun.elapsed() < settings.span {
        let due = begun + Duration::from_secs_f64(number as f64 / rate);
        tokio::time::sleep_until(due).await;
        let entry = number as usize % cluster.addresses.len();
        let client = cluster.submitter(entry, "team", "load");
        let urgent = number % 100 < URGENT_PERCENT;
        let spec = JobSpec {
            class: if urgent { "urgent" } else { "plain" }.to_owned(),
            tasks: TASKS_PER_JOB,
            payload: phase.payload(number + settings.seed),
            deadline_ms: None,
            size: None,
            duration_ms: None,
        };
        submissions.spawn(async move {
            let _ = client.submit(&spec, None).await;
        });
        number += 1;
    }
    submissions.abort_all();
}

/// Batch tasks that ended within a span.
struct Batch {
    finished: u64,
    stopped: u64,
}

impl Batch {
    fn between(cluster: &Cluster, begun: u64, ended: u64) -> Self {
        let journals = cluster.journals();
        let runs = journals.iter().flat_map(|journal| &journal.tasks);
        let within: Vec<&TaskRun> = runs
            .filter(|run| run.end.is_some_and(|end| begun <= end && end < ended))
            .collect();
        let count = |state| within.iter().filter(|run| run.state == state).count() as u64;
        Self {
            finished: count(TaskState::Finished),
            stopped: count(TaskState::Stopped),
        }
    }
}

fn wall_micros() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.unwrap_or_default().as_micros() as u64
}

async fn retries(cluster: &Cluster) -> u64 {
    let mut sum = 0;
    for number in 0..cluster.addresses.len() {
        if let Ok(status) = cluster.operator(number).status().await {
            let retried = status.counters.iter();
            sum += retried
                .filter(|counter| counter.name.starts_with("retried."))
                .map(|counter| counter.value)
                .sum::<u64>();
        }
    }
    sum
}

fn violations(cluster: &Cluster, told: &[Told], configuration: &Configuration) -> Violations {
    audit(&cluster.journals(), told, &configuration.services)
}

fn show(results: &[PhaseResult]) -> String {
    let rows: Vec<Vec<String>> = results
        .iter()
        .map(|result| {
            vec![
                result.phase.to_owned(),
                result.policy.to_owned(),
                result.sent.to_string(),
                format!("{:.0}", result.goodput),
                format!("{:.0}", result.p50_ms),
                format!("{:.0}", result.p99_ms),
                format!("{:.1}", result.tasks),
                result.evictions.to_string(),
                result.refused.to_string(),
                result.unknown.to_string(),
                result.retries.to_string(),
                result.violations.total().to_string(),
            ]
        })
        .collect();
    let header = [
        "phase",
        "policy",
        "sent",
        "answered/s",
        "p50 ms",
        "p99 ms",
        "tasks/s",
        "evictions",
        "refused",
        "unknown",
        "retries",
        "violations",
    ];
    table::render(&header, &rows)
}
