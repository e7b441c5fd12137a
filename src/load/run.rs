//! Runs an experiment: every phase in turn, on one cluster for each policy.

use std::path::PathBuf;
use std::time::Duration;

use log::LevelFilter;
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use super::callers::{Callers, SentRequest, Tally};
use super::cluster::Cluster;
use super::phase::Phase;
use super::plot;
use super::profile::Profile;
use crate::configuration::{Class, Configuration, Service, Size, Team, Weights, Zone};
use crate::jobs::JobSpec;
use crate::placement::Policy;
use crate::standins::audit::{CallerResult, Violations, audit};
use crate::standins::tasks::TaskRun;
use crate::standins::worker::WorkerFaults;
use crate::workers::TaskState;
use crate::{Result, logs, table};

/// The settings of an experiment.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadSettings {
    /// The deployment whose fleet is reproduced.
    pub profile: Profile,
    /// The placement policies to compare.
    pub policies: Vec<Policy>,
    /// The phases, in the order in which they run.
    pub phases: Vec<Phase>,
    /// Duration of each phase, without the time for queues to empty.
    pub span: Duration,
    /// Seed of the random choices.
    pub seed: u64,
    /// Whether to print JSON lines instead of a table.
    pub json: bool,
    /// Path of the SVG plot; `None` to write no plot.
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

/// The results of one phase with one policy.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PhaseResult {
    /// Name of the policy.
    pub policy: &'static str,
    /// Name of the phase.
    pub phase: &'static str,
    /// Number of interactive requests sent.
    pub sent: u64,
    /// Number of interactive requests answered successfully.
    pub answered: u64,
    /// Number of interactive requests refused without being run.
    pub refused: u64,
    /// Number of interactive requests that may have run.
    pub unknown: u64,
    /// Successful answers per second.
    pub goodput: f64,
    /// Median latency of successful answers, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of successful answers, in milliseconds.
    pub p99_ms: f64,
    /// Batch tasks finished per second.
    pub tasks: f64,
    /// Number of batch tasks stopped before they finished.
    pub evictions: u64,
    /// Number of retries of interactive requests and batch tasks.
    pub retries: u64,
    /// Violated invariants, as the audit counts them.
    pub violations: Violations,
}

const PREPARE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time after each phase in which queues empty before the next one starts.
const QUEUE_DRAIN_DELAY: Duration = Duration::from_secs(4);
const REQUEST_DEADLINE: Duration = Duration::from_secs(5);
/// CPU demand of each task, in thousandths of a core.
const TASK_MILLICORES: u32 = 4000;
const TASK_DURATION_MS: u64 = 1000;
const TASKS_PER_JOB: u32 = 20;
/// Percentage of the capacity that is reserved for interactive requests.
const RESERVE_PERCENT: u32 = 40;
/// Percentage of jobs that are urgent.
const URGENT_PERCENT: u64 = 10;

/// Runs an experiment and prints its results. Returns whether the audit found no
/// violations.
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
        let cluster = Cluster::start(&settings.profile.cluster_settings(*policy), &zones).await?;
        cluster.prepare(&configuration, PREPARE_TIMEOUT).await?;
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
            let run = run_phase(settings, *policy, phase, cluster, &configuration).await;
            let line = serde_json::to_string(&run.result).expect("plain values have a JSON form");
            if settings.json {
                println!("{line}");
            } else {
                eprintln!("load: {line}");
            }
            series.push(plot::Series::of(policy.name(), phase, &run.sent));
            results.push(run.result);
        }
    }
    if !settings.json {
        println!("{}", render_table(&results));
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
        duration: Duration::from_millis(TASK_DURATION_MS),
        size: Size {
            millicores: TASK_MILLICORES,
            memory: 1000,
            accelerators: 0,
        },
        overnight: false,
        checkpointable: true,
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
            deadline: REQUEST_DEADLINE,
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

struct PhaseRun {
    result: PhaseResult,
    sent: Vec<SentRequest>,
}

async fn run_phase(
    settings: &LoadSettings,
    policy: Policy,
    phase: Phase,
    cluster: &Cluster,
    configuration: &Configuration,
) -> PhaseRun {
    let retries_before = count_retries(cluster).await;
    let violations_before = count_violations(cluster, &[], configuration);
    for worker in cluster
        .workers
        .iter()
        .step_by(3)
        .take(phase.failing_workers())
    {
        worker.set_faults(WorkerFaults {
            fails: true,
            ..WorkerFaults::default()
        });
    }
    let started_at = wall_clock_micros();
    let interactive = tokio::spawn(callers(settings, phase, cluster).run());
    submit_jobs(settings, phase, cluster).await;
    let sent = interactive.await.unwrap_or_default();
    let ended_at = started_at + settings.span.as_micros() as u64;
    for worker in &cluster.workers {
        worker.set_faults(WorkerFaults::default());
    }
    let batch = BatchCounts::between(cluster, started_at, ended_at);
    sleep(QUEUE_DRAIN_DELAY).await;
    let caller_results: Vec<CallerResult> = sent.iter().map(|each| each.result.clone()).collect();
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
        retries: count_retries(cluster).await - retries_before,
        violations: count_violations(cluster, &caller_results, configuration)
            .minus(violations_before),
    };
    PhaseRun { result, sent }
}

fn callers(settings: &LoadSettings, phase: Phase, cluster: &Cluster) -> Callers {
    let rate = settings.profile.capacity() * f64::from(phase.requests_percent()) / 100.0;
    Callers {
        entries: cluster.addresses.clone(),
        service: "svc".to_owned(),
        team: "team".to_owned(),
        once_path: "/echo".to_owned(),
        rate,
        count: (rate * settings.span.as_secs_f64()) as usize,
        deadline: REQUEST_DEADLINE,
        body_bytes: 256,
        once_percent: 0,
        seed: settings.seed * 100 + phase as u64,
        excluded: watch::channel(Vec::new()).1,
    }
}

/// Submits jobs at the phase's rate until the phase ends, then aborts the
/// submissions that are still in progress.
async fn submit_jobs(settings: &LoadSettings, phase: Phase, cluster: &Cluster) {
    let cores = cluster
        .workers
        .iter()
        .map(|worker| u64::from(worker.listed_host().size.millicores));
    let batch_cores: u64 = cores.sum::<u64>() * u64::from(100 - RESERVE_PERCENT) / 100;
    let capacity =
        batch_cores as f64 / f64::from(TASK_MILLICORES) / (TASK_DURATION_MS as f64 / 1000.0);
    let rate = capacity * f64::from(phase.batch_percent()) / 100.0 / f64::from(TASKS_PER_JOB);
    let started = Instant::now();
    let mut number = 0;
    let mut submissions = tokio::task::JoinSet::new();
    while started.elapsed() < settings.span {
        let due = started + Duration::from_secs_f64(number as f64 / rate);
        tokio::time::sleep_until(due).await;
        let entry = number as usize % cluster.addresses.len();
        let client = cluster.team_client(entry, "team", "load");
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

/// Numbers of batch tasks that ended within a time span.
struct BatchCounts {
    finished: u64,
    stopped: u64,
}

impl BatchCounts {
    /// Counts the tasks whose end lies between two points in microseconds since the
    /// Unix epoch.
    fn between(cluster: &Cluster, started_at: u64, ended_at: u64) -> Self {
        let journals = cluster.journals();
        let runs = journals.iter().flat_map(|journal| &journal.tasks);
        let within: Vec<&TaskRun> = runs
            .filter(|run| {
                run.end
                    .is_some_and(|end| started_at <= end && end < ended_at)
            })
            .collect();
        let count = |state| within.iter().filter(|run| run.state == state).count() as u64;
        Self {
            finished: count(TaskState::Finished),
            stopped: count(TaskState::Stopped),
        }
    }
}

fn wall_clock_micros() -> u64 {
    let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    elapsed.unwrap_or_default().as_micros() as u64
}

/// Sums the counters of retries, `retried.*`, of all entry hosts.
async fn count_retries(cluster: &Cluster) -> u64 {
    let mut sum = 0;
    for number in 0..cluster.addresses.len() {
        if let Ok(status) = cluster.operator_client(number).status().await {
            let counters = status.counters.iter();
            sum += counters
                .filter(|counter| counter.name.starts_with("retried."))
                .map(|counter| counter.value)
                .sum::<u64>();
        }
    }
    sum
}

fn count_violations(
    cluster: &Cluster,
    results: &[CallerResult],
    configuration: &Configuration,
) -> Violations {
    audit(&cluster.journals(), results, &configuration.services)
}

fn render_table(results: &[PhaseResult]) -> String {
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
