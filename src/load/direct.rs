//! Through an entry host against straight to the worker, in one run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hdrhistogram::Histogram;
use log::LevelFilter;
use serde::Serialize;
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::cluster::{Cluster, ClusterSettings};
use crate::configuration::{Configuration, Service, Team, Zone};
use crate::settings::WorkerSettings;
use crate::{Result, logs, table};

/// The settings of the comparison.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectSettings {
    /// Requests a second.
    pub rate: u32,
    /// How long each comparison lasts.
    pub span: Duration,
    /// Whether to print only JSON lines.
    pub json: bool,
}

impl Default for DirectSettings {
    fn default() -> Self {
        Self {
            rate: 1000,
            span: Duration::from_secs(8),
            json: false,
        }
    }
}

/// The way that a request takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Straight,
    Entry,
    OnePass,
}

impl Way {
    const ALL: [Self; 3] = [Self::Straight, Self::Entry, Self::OnePass];

    const fn name(self) -> &'static str {
        match self {
            Self::Straight => "straight to the worker",
            Self::Entry => "through its owner",
            Self::OnePass => "with one pass to a peer",
        }
    }
}

#[derive(Debug, Serialize)]
struct Line {
    measure: &'static str,
    way: &'static str,
    bytes: usize,
    p50_ms: f64,
    p99_ms: f64,
    per_second: f64,
}

const PREPARE: Duration = Duration::from_secs(30);
const SMALL: usize = 1 << 10;
const LARGE: usize = 1 << 20;
const CALLERS: usize = 48;

struct Bench {
    http: reqwest::Client,
    worker: SocketAddr,
    owner: SocketAddr,
    other: SocketAddr,
    next: AtomicU64,
}

/// Compares the ways and prints a table.
///
/// # Errors
///
/// Fails when the cluster does not start.
pub async fn compare_direct(settings: &DirectSettings) -> Result<bool> {
    logs::init(None, LevelFilter::Error)?;
    let cluster = cluster().await?;
    let bench = Arc::new(bench(&cluster).await?);
    let mut lines = Vec::new();
    for bytes in [SMALL, LARGE] {
        let rate = if bytes == SMALL {
            settings.rate
        } else {
            settings.rate / 20
        };
        lines.extend(paced(&bench, bytes, rate, settings.span).await);
        for way in Way::ALL {
            lines.push(saturated(&bench, way, bytes, settings.span / 2).await);
        }
    }
    for line in &lines {
        if settings.json {
            let text = serde_json::to_string(line).expect("plain values have a JSON form");
            println!("{text}");
        }
    }
    if !settings.json {
        println!("{}", show(&lines));
    }
    cluster.stop().await;
    Ok(true)
}

/// One zone whose workers all belong to one of two shards, so that one of the
/// two entry hosts has to pass every request on.
async fn cluster() -> Result<Cluster> {
    let configuration = Configuration {
        author: "load".to_owned(),
        zones: vec![Zone {
            name: "a".to_owned(),
            shards: 2,
        }],
        services: vec![Service {
            name: "svc".to_owned(),
            target: Duration::from_secs(1),
            deadline: Duration::from_secs(10),
            once: Vec::new(),
            reserve: 40,
        }],
        teams: vec![Team {
            name: "team".to_owned(),
            token: "load".to_owned(),
            requests: 10_000,
            tasks: 1,
        }],
        ..Configuration::default()
    };
    let settings = ClusterSettings {
        entries: 2,
        workers: 4,
        rack: 4,
        worker: WorkerSettings {
            slots: 64,
            latency: Duration::from_micros(1),
            ..WorkerSettings::default()
        },
        ..ClusterSettings::default()
    };
    let cluster = Cluster::start(&settings, &["a".to_owned()]).await?;
    cluster.prepare(&configuration, PREPARE).await?;
    Ok(cluster)
}

async fn bench(cluster: &Cluster) -> Result<Bench> {
    let status = cluster.operator(0).status().await?;
    let first_owns = status.workers.iter().any(|worker| worker.state == "usable");
    let (owner, other) = if first_owns { (0, 1) } else { (1, 0) };
    let worker = cluster.workers[0].listed().address;
    Ok(Bench {
        http: reqwest::Client::new(),
        worker: worker.parse().expect("a stand-in lists its own address"),
        owner: cluster.addresses[owner],
        other: cluster.addresses[other],
        next: AtomicU64::new(1),
    })
}

impl Bench {
    /// Sends one request; none if it was not answered in full.
    async fn send(&self, way: Way, bytes: usize) -> Option<Duration> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let call = match way {
            Way::Straight => self
                .http
                .get(format!("http://{}/serve/svc/bytes/{bytes}", self.worker))
                .header("lycheelock-request", format!("0000000000000001-{number}"))
                .header("lycheelock-epoch", "s999/1"),
            Way::Entry => self
                .http
                .get(format!("http://{}/svc/svc/bytes/{bytes}", self.owner)),
            Way::OnePass => self
                .http
                .get(format!("http://{}/svc/svc/bytes/{bytes}", self.other)),
        };
        let begun = Instant::now();
        let response = call.header("lycheelock-team", "team").send().await.ok()?;
        let whole = response.status().is_success();
        let body = response.bytes().await.ok()?;
        (whole && body.len() == bytes).then(|| begun.elapsed())
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are allowed")
}

fn line(
    measure: &'static str,
    way: Way,
    bytes: usize,
    latencies: &Histogram<u64>,
    span: Duration,
) -> Line {
    let ms = |percent| latencies.value_at_percentile(percent) as f64 / 1000.0;
    Line {
        measure,
        way: way.name(),
        bytes,
        p50_ms: ms(50.0),
        p99_ms: ms(99.0),
        per_second: latencies.len() as f64 / span.as_secs_f64(),
    }
}

/// Sends at a fixed rate, each request by the next way in turn.
async fn paced(bench: &Arc<Bench>, bytes: usize, rate: u32, span: Duration) -> Vec<Line> {
    let mut ticks = interval(Duration::from_secs(1) / rate);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let count = (span.as_secs_f64() * f64::from(rate)) as usize * Way::ALL.len();
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..count {
        ticks.tick().await;
        let way = Way::ALL[number % Way::ALL.len()];
        let bench = bench.clone();
        tasks.spawn(async move { (way, bench.send(way, bytes).await) });
    }
    let mut latencies = Way::ALL.map(|_| histogram());
    while let Some(ended) = tasks.join_next().await {
        if let Ok((way, Some(latency))) = ended {
            let _ = latencies[way as usize].record(latency.as_micros() as u64);
        }
    }
    let all = span * Way::ALL.len() as u32;
    Way::ALL
        .iter()
        .zip(&latencies)
        .map(|(way, latencies)| line("fixed rate", *way, bytes, latencies, all))
        .collect()
}

/// Sends as fast as a fixed number of callers can.
async fn saturated(bench: &Arc<Bench>, way: Way, bytes: usize, span: Duration) -> Line {
    let until = Instant::now() + span;
    let mut tasks = tokio::task::JoinSet::new();
    for _ in 0..CALLERS {
        let bench = bench.clone();
        tasks.spawn(async move {
            let mut latencies = histogram();
            while Instant::now() < until {
                if let Some(latency) = bench.send(way, bytes).await {
                    let _ = latencies.record(latency.as_micros() as u64);
                }
            }
            latencies
        });
    }
    let mut all = histogram();
    while let Some(ended) = tasks.join_next().await {
        if let Ok(latencies) = ended {
            let _ = all.add(&latencies);
        }
    }
    line("saturated", way, bytes, &all, span)
}

fn show(lines: &[Line]) -> String {
    let rows: Vec<Vec<String>> = lines
        .iter()
        .map(|line| {
            vec![
                line.measure.to_owned(),
                line.way.to_owned(),
                line.bytes.to_string(),
                format!("{:.2}", line.p50_ms),
                format!("{:.2}", line.p99_ms),
                format!("{:.0}", line.per_second),
            ]
        })
        .collect();
    let header = ["measure", "way", "bytes", "p50 ms", "p99 ms", "requests/s"];
    table::render(&header, &rows)
}
