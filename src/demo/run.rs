//! The course of the demo.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use log::LevelFilter;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use super::summary::{JobSums, RequestSums, Summary};
use crate::Result;
use crate::configuration::{CheckedQuestionnaire, Configuration};
use crate::counters::Reading;
use crate::jobs::{JobSpec, Outcome};
use crate::load::{Callers, Cluster, ClusterSettings, Sent, Tally};
use crate::logs;
use crate::moment::Moment;
use crate::standins::audit::{Told, audit};
use crate::standins::worker::WorkerFaults;
use crate::table;

/// The settings of the demo.
#[derive(Debug, Clone, PartialEq)]
pub struct DemoSettings {
    /// The questionnaire.
    pub questionnaire: PathBuf,
    /// Interactive requests.
    pub requests: usize,
    /// Requests a second.
    pub rate: f64,
    /// Batch jobs.
    pub jobs: usize,
    /// Tasks of each job.
    pub tasks: u32,
    /// The seed of all choices.
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

const PREPARE: Duration = Duration::from_secs(30);
const FINISH: Duration = Duration::from_secs(90);
const DEADLINE: Duration = Duration::from_secs(4);
/// The batch jobs come in this part of the requests' time.
const FLOOD_AFTER: f64 = 0.25;

fn say(text: &str) {
    eprintln!("demo {}: {text}", Moment::now());
}

/// Runs the demo; tells whether it showed what it should.
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
    say(&format!(
        "{} zones, {} workers, {} entry hosts",
        zones.len(),
        cluster.workers.len(),
        cluster.entries.len()
    ));
    cluster.prepare(&configuration, PREPARE).await?;
    say("configuration in force, every shard owned, every worker usable");

    let (out, watched) = watch::channel(Vec::new());
    let callers = callers(settings, &configuration, &cluster, watched);
    let span = Duration::from_secs_f64(settings.requests as f64 / settings.rate);
    let calling = tokio::spawn(callers.run());
    sleep(span.mul_f64(FLOOD_AFTER)).await;
    say("batch jobs arrive");
    let (jobs, refused) = submit(settings, &configuration, &cluster).await;
    sleep(span.mul_f64(0.1)).await;
    say("a worker begins to fail everything");
    cluster.workers[0].set_faults(WorkerFaults {
        fails: true,
        ..WorkerFaults::default()
    });
    sleep(span.mul_f64(0.1)).await;
    say("a worker leaves");
    let leaving = cluster.workers[cluster.workers.len() - 1].listed().name;
    cluster.platform.leave(&leaving);
    sleep(span.mul_f64(0.1)).await;
    let before = counters(&cluster).await;
    say("an entry host stops as planned");
    out.send_replace(vec![cluster.addresses[1]]);
    cluster.stop_entry(1).await;
    say("the entry host has stopped");
    let sent = calling.await.unwrap_or_default();
    say("all requests have ended; waiting for the jobs");
    let finished = wait_for_jobs(&cluster, &configuration, &jobs).await;

    let tally = Tally::of(&sent);
    let told: Vec<Told> = sent.iter().map(|each| each.told.clone()).collect();
    let violations = audit(&cluster.journals(), &told, &configuration.services);
    let mut all = counters(&cluster).await;
    add_stopped(&mut all, &before);
    let summary = Summary {
        requests: RequestSums {
            sent: tally.sent,
            answered: tally.answered,
            refused: tally.refused,
            unknown: tally.unknown,
        },
        jobs: JobSums {
            accepted: jobs.len() as u64,
            finished: finished.count,
            refused,
        },
        evictions: all.get("tasks_evicted").copied().unwrap_or(0),
        retries: with_prefix(&all, "retried."),
        violations: violations.total(),
    };
    show(&summary, &tally, &sent, &finished, &all, span);
    if violations.total() > 0 {
        say(&format!("violations: {violations:?}"));
    }
    cluster.stop().await;
    let line = serde_json::to_string(&summary).expect("plain values have a JSON form");
    println!("{line}");
    Ok(summary.is_good())
}

fn callers(
    settings: &DemoSettings,
    configuration: &Configuration,
    cluster: &Cluster,
    out: watch::Receiver<Vec<std::net::SocketAddr>>,
) -> Callers {
    let service = &configuration.services[0];
    let once = service
        .once
        .first()
        .map_or("/echo", |pattern| &pattern.prefix);
    Callers {
        entries: cluster.addresses.clone(),
        service: service.name.clone(),
        team: configuration.teams[0].name.clone(),
        once: once.to_owned(),
        rate: settings.rate,
        count: settings.requests,
        deadline: DEADLINE,
        bytes: 1024,
        once_percent: 20,
        seed: settings.seed,
        out,
    }
}

async fn submit(
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
        let client = cluster.submitter(entry, &team.name, &team.token);
        match client.submit(&spec, Some(&format!("demo-{number}"))).await {
            Ok(id) => accepted.push(id),
            Err(error) => {
                say(&format!("job {number}: {error}"));
                refused += 1;
            }
        }
    }
    (accepted, refused)
}

/// Jobs that finished and how long the last one took.
struct Finished {
    count: u64,
    tasks: u64,
    span: Duration,
}

async fn wait_for_jobs(
    cluster: &Cluster,
    configuration: &Configuration,
    jobs: &[String],
) -> Finished {
    let team = &configuration.teams[0];
    let client = cluster.submitter(0, &team.name, &team.token);
    let begun = Instant::now();
    loop {
        let mut finished = Finished {
            count: 0,
            tasks: 0,
            span: begun.elapsed(),
        };
        let mut open = 0;
        for id in jobs {
            match client.job(id).await {
                Ok(view) => {
                    let tasks = view.count(Outcome::Finished);
                    finished.tasks += u64::from(tasks);
                    finished.count += u64::from(tasks == view.tasks);
                    open += u64::from(!view.is_ended());
                }
                Err(_) => open += 1,
            }
        }
        if open == 0 || begun.elapsed() > FINISH {
            return finished;
        }
        say(&format!("{open} jobs are not finished"));
        sleep(Duration::from_secs(1)).await;
    }
}

async fn counters(cluster: &Cluster) -> BTreeMap<String, u64> {
    let mut all = BTreeMap::new();
    for (number, entry) in cluster.entries.iter().enumerate() {
        if entry.is_none() {
            continue;
        }
        if let Ok(status) = cluster.operator(number).status().await {
            for Reading { name, value } in status.counters {
                *all.entry(name).or_default() += value;
            }
        }
    }
    all
}

/// Counts of a stopped host are those read before it stopped.
fn add_stopped(all: &mut BTreeMap<String, u64>, before: &BTreeMap<String, u64>) {
    for (name, value) in before {
        let now = all.entry(name.clone()).or_default();
        *now = (*now).max(*value);
    }
}

fn with_prefix(all: &BTreeMap<String, u64>, prefix: &str) -> BTreeMap<String, u64> {
    all.iter()
        .filter_map(|(name, value)| Some((name.strip_prefix(prefix)?.to_owned(), *value)))
        .collect()
}

fn show(
    summary: &Summary,
    tally: &Tally,
    sent: &[Sent],
    finished: &Finished,
    all: &BTreeMap<String, u64>,
    span: Duration,
) {
    let flood = span.mul_f64(FLOOD_AFTER);
    let calm = Tally::of(sent.iter().filter(|each| each.at < flood));
    let busy = Tally::of(sent.iter().filter(|each| each.at >= flood));
    let goodput = |tally: &Tally| tally.answered as f64 / (tally.sent.max(1)) as f64;
    let kept = goodput(&busy) / goodput(&calm).max(f64::EPSILON);
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
            format!("{}", finished.tasks),
        ],
        vec![
            "waited for jobs after the last request, s".to_owned(),
            format!("{:.1}", finished.span.as_secs_f64()),
        ],
        vec!["evictions".to_owned(), summary.evictions.to_string()],
        vec![
            "share of interactive work kept beside batch work".to_owned(),
            format!("{:.1} %", kept * 100.0),
        ],
    ];
    println!("{}\n", table::render(&["measure", "value"], &rows));
    let reasons: Vec<Vec<String>> = all
        .iter()
        .map(|(name, value)| vec![name.clone(), value.to_string()])
        .collect();
    println!("{}\n", table::render(&["counter", "value"], &reasons));
}
