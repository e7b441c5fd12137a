//! Runs the demo: the load, the injected failures and the printed results.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use log::LevelFilter;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

use super::summary::{JobSums, RequestSums, Summary};
use crate::Result;
use crate::configuration::{CheckedQuestionnaire, Configuration};
use crate::counters::Reading;
use crate::jobs::{JobSpec, Outcome, WallClock};
use crate::load::{Callers, Cluster, ClusterSettings, SentRequest, Tally};
use crate::logs;
use crate::moment::Moment;
use crate::standins::audit::{
    CallerResult, EvacuatedSpan, Violations, audit, count_evacuated_starts,
};
use crate::standins::worker::WorkerFaults;
use crate::table;

/// The settings of the demo.
#[derive(Debug, Clone, PartialEq)]
pub struct DemoSettings {
    /// Path of the questionnaire that the configuration is generated from.
    pub questionnaire: PathBuf,
    /// Total number of interactive requests.
    pub requests: usize,
    /// Interactive requests sent per second.
    pub rate: f64,
    /// Number of batch jobs to submit.
    pub jobs: usize,
    /// Number of tasks in each job.
    pub tasks: u32,
    /// Seed of the random choices.
    pub seed: u64,
}

impl Default for DemoSettings {
    fn default() -> Self {
        Self {
            questionnaire: PathBuf::from("examples/nombrario.ini"),
            requests: 1500,
            rate: 100.0,
            jobs: 48,
            tasks: 4,
            seed: 7,
        }
    }
}

const PREPARE_TIMEOUT: Duration = Duration::from_secs(30);
const JOBS_TIMEOUT: Duration = Duration::from_secs(90);
const REQUEST_DEADLINE: Duration = Duration::from_secs(4);
/// Fraction of the requests' time after which the batch jobs are submitted.
const BATCH_START_FRACTION: f64 = 0.25;

/// Time after which no call that was sent before an evacuation arrives at a worker.
const IN_TRANSIT: Duration = Duration::from_millis(500);
const FOLLOW_TIMEOUT: Duration = Duration::from_secs(10);

/// Evacuates an availability zone for a time, and takes it back.
///
/// # Errors
///
/// Fails when not every entry host follows.
async fn evacuate(cluster: &Cluster, zone: &str, time: Duration) -> Result<EvacuatedSpan> {
    print_progress(&format!("zone {zone} is evacuated"));
    cluster.evacuate(zone, false, FOLLOW_TIMEOUT).await?;
    sleep(IN_TRANSIT).await;
    let from = WallClock::now();
    let end = Instant::now() + time;
    let empty = cluster.wait_empty(zone, time).await;
    print_progress(&format!("nothing runs in zone {zone}: {empty}"));
    sleep_until(end).await;
    let until = WallClock::now();
    cluster.evacuate(zone, true, FOLLOW_TIMEOUT).await?;
    print_progress(&format!("zone {zone} is used again"));
    Ok(EvacuatedSpan {
        workers: cluster.workers_of(zone),
        from: from.0 * 1000,
        until: until.0 * 1000,
    })
}

fn print_progress(text: &str) {
    eprintln!("demo {}: {text}", Moment::now());
}

/// Runs the demo and prints its results. Returns whether
/// [`Summary::is_successful`] holds.
///
/// # Errors
///
/// Fails when the cluster does not start.
pub async fn run(settings: &DemoSettings) -> Result<bool> {
    logs::init(None, LevelFilter::Warn)?;
    let checked = CheckedQuestionnaire::read(&settings.questionnaire)?;
    let configuration = Configuration {
        author: "demo".to_owned(),
        ..checked.configuration
    };
    let zones: Vec<String> = configuration
        .zones
        .iter()
        .map(|zone| zone.name.clone())
        .collect();
    let mut cluster = Cluster::start(&ClusterSettings::default(), &zones).await?;
    print_progress(&format!(
        "{} zones, {} workers, {} entry hosts",
        zones.len(),
        cluster.workers.len(),
        cluster.entries.len()
    ));
    cluster.prepare(&configuration, PREPARE_TIMEOUT).await?;
    print_progress("configuration in force, every shard owned, every worker usable");

    let (exclude, excluded) = watch::channel(Vec::new());
    let callers = callers(settings, &configuration, &cluster, excluded);
    let span = Duration::from_secs_f64(settings.requests as f64 / settings.rate);
    let interactive = tokio::spawn(callers.run());
    sleep(span.mul_f64(BATCH_START_FRACTION)).await;
    print_progress("submitting batch jobs");
    let (jobs, refused) = submit_jobs(settings, &configuration, &cluster).await;
    sleep(span.mul_f64(0.1)).await;
    print_progress("one worker starts to fail all requests and tasks");
    cluster.workers[0].set_faults(WorkerFaults {
        fails: true,
        ..WorkerFaults::default()
    });
    sleep(span.mul_f64(0.1)).await;
    print_progress("the platform marks one worker as leaving");
    let leaving = cluster.workers[cluster.workers.len() - 1]
        .listed_host()
        .name;
    cluster.platform.mark_leaving(&leaving);
    sleep(span.mul_f64(0.1)).await;
    let evacuated = evacuate(&cluster, &zones[1 % zones.len()], span.mul_f64(0.2)).await?;
    let before_stop = read_counters(&cluster).await;
    print_progress("one entry host starts a planned shutdown");
    exclude.send_replace(vec![cluster.addresses[1]]);
    cluster.stop_entry(1).await;
    print_progress("the entry host has stopped");
    let sent = interactive.await.unwrap_or_default();
    print_progress("all requests have ended; waiting for the jobs");
    let progress = wait_for_jobs(&cluster, &configuration, &jobs).await;

    let tally = Tally::of(&sent);
    let results: Vec<CallerResult> = sent.iter().map(|each| each.result.clone()).collect();
    let journals = cluster.journals();
    let violations = Violations {
        evacuated: count_evacuated_starts(&journals, &evacuated),
        ..audit(&journals, &results, &configuration.services)
    };
    let mut all = read_counters(&cluster).await;
    merge_stopped(&mut all, &before_stop);
    let summary = Summary {
        requests: RequestSums {
            sent: tally.sent,
            answered: tally.answered,
            refused: tally.refused,
            unknown: tally.unknown,
        },
        jobs: JobSums {
            accepted: jobs.len() as u64,
            finished: progress.finished_jobs,
            refused,
        },
        evictions: all.get("tasks_evicted").copied().unwrap_or(0),
        retries: with_prefix(&all, "retried."),
        violations: violations.total(),
    };
    print_tables(&summary, &tally, &sent, &progress, &all, span);
    if violations.total() > 0 {
        print_progress(&format!("violations: {violations:?}"));
    }
    cluster.stop().await;
    let line = serde_json::to_string(&summary).expect("plain values have a JSON form");
    println!("{line}");
    Ok(summary.is_successful())
}

fn callers(
    settings: &DemoSettings,
    configuration: &Configuration,
    cluster: &Cluster,
    excluded: watch::Receiver<Vec<std::net::SocketAddr>>,
) -> Callers {
    let service = &configuration.services[0];
    let once_path = service
        .once
        .first()
        .map_or("/echo", |pattern| &pattern.prefix);
    Callers {
        entries: cluster.addresses.clone(),
        service: service.name.clone(),
        team: configuration.teams[0].name.clone(),
        once_path: once_path.to_owned(),
        rate: settings.rate,
        count: settings.requests,
        deadline: REQUEST_DEADLINE,
        body_bytes: 1024,
        once_percent: 20,
        seed: settings.seed,
        excluded,
    }
}

/// Submits the jobs round robin over the entry hosts. Returns the ids of the
/// accepted jobs and the number of refused ones.
async fn submit_jobs(
    settings: &DemoSettings,
    configuration: &Configuration,
    cluster: &Cluster,
) -> (Vec<String>, u64) {
    let team = &configuration.teams[0];
    let mut accepted = Vec::new();
    let mut refused = 0;
    for number in 0..settings.jobs {
        let class = &configuration.classes[number % configuration.classes.len()];
        let spec = JobSpec {
            class: class.name.clone(),
            tasks: settings.tasks,
            payload: String::new(),
            deadline_ms: None,
            size: None,
            duration_ms: None,
        };
        let entry = number % cluster.addresses.len();
        let client = cluster.team_client(entry, &team.name, &team.token);
        match client.submit(&spec, Some(&format!("demo-{number}"))).await {
            Ok(id) => accepted.push(id),
            Err(error) => {
                print_progress(&format!("job {number}: {error}"));
                refused += 1;
            }
        }
    }
    (accepted, refused)
}

/// How far the jobs were when the demo stopped waiting for them.
struct JobProgress {
    /// Number of jobs all of whose tasks finished.
    finished_jobs: u64,
    /// Number of finished tasks of all jobs.
    finished_tasks: u64,
    /// Time waited since the last interactive request ended.
    waited: Duration,
}

/// Polls the jobs every second until all have ended or the timeout has passed.
async fn wait_for_jobs(
    cluster: &Cluster,
    configuration: &Configuration,
    jobs: &[String],
) -> JobProgress {
    let team = &configuration.teams[0];
    let client = cluster.team_client(0, &team.name, &team.token);
    let started = Instant::now();
    loop {
        let mut progress = JobProgress {
            finished_jobs: 0,
            finished_tasks: 0,
            waited: started.elapsed(),
        };
        let mut unfinished = 0;
        for id in jobs {
            match client.job(id).await {
                Ok(view) => {
                    let tasks = view.count(Outcome::Finished);
                    progress.finished_tasks += u64::from(tasks);
                    progress.finished_jobs += u64::from(tasks == view.tasks);
                    unfinished += u64::from(!view.is_ended());
                }
                Err(_) => unfinished += 1,
            }
        }
        if unfinished == 0 || started.elapsed() > JOBS_TIMEOUT {
            return progress;
        }
        print_progress(&format!("{unfinished} jobs have not ended"));
        sleep(Duration::from_secs(1)).await;
    }
}

/// Sums the counters of all running entry hosts.
async fn read_counters(cluster: &Cluster) -> BTreeMap<String, u64> {
    let mut all = BTreeMap::new();
    for (number, entry) in cluster.entries.iter().enumerate() {
        if entry.is_none() {
            continue;
        }
        if let Ok(status) = cluster.operator_client(number).status().await {
            for Reading { name, value } in status.counters {
                *all.entry(name).or_default() += value;
            }
        }
    }
    all
}

/// Keeps the counts of a stopped host: no sum may be lower than the one read before
/// the host stopped.
fn merge_stopped(all: &mut BTreeMap<String, u64>, before_stop: &BTreeMap<String, u64>) {
    for (name, value) in before_stop {
        let sum = all.entry(name.clone()).or_default();
        *sum = (*sum).max(*value);
    }
}

/// Selects the counters whose names start with `prefix`, and strips it.
fn with_prefix(all: &BTreeMap<String, u64>, prefix: &str) -> BTreeMap<String, u64> {
    all.iter()
        .filter_map(|(name, value)| Some((name.strip_prefix(prefix)?.to_owned(), *value)))
        .collect()
}

fn print_tables(
    summary: &Summary,
    tally: &Tally,
    sent: &[SentRequest],
    progress: &JobProgress,
    all: &BTreeMap<String, u64>,
    span: Duration,
) {
    let batch_start = span.mul_f64(BATCH_START_FRACTION);
    let before_batch = Tally::of(sent.iter().filter(|each| each.start_offset < batch_start));
    let after_batch = Tally::of(sent.iter().filter(|each| each.start_offset >= batch_start));
    let goodput = |tally: &Tally| tally.answered as f64 / (tally.sent.max(1)) as f64;
    let kept_share = goodput(&after_batch) / goodput(&before_batch).max(f64::EPSILON);
    let rows = vec![
        vec![
            "tail latency of services, p50 / p99 ms".to_owned(),
            format!(
                "{:.1} / {:.1}",
                tally.percentile(50.0),
                tally.percentile(99.0)
            ),
        ],
        vec![
            "batch tasks finished".to_owned(),
            format!("{}", progress.finished_tasks),
        ],
        vec![
            "waited for jobs after the last request, s".to_owned(),
            format!("{:.1}", progress.waited.as_secs_f64()),
        ],
        vec!["evictions".to_owned(), summary.evictions.to_string()],
        vec![
            "share of interactive work kept beside batch work".to_owned(),
            format!("{:.1} %", kept_share * 100.0),
        ],
    ];
    println!("{}\n", table::render(&["measure", "value"], &rows));
    let counter_rows: Vec<Vec<String>> = all
        .iter()
        .map(|(name, value)| vec![name.clone(), value.to_string()])
        .collect();
    println!("{}\n", table::render(&["counter", "value"], &counter_rows));
}
