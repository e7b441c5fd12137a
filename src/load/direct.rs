//! Compares requests that pass through an entry host with requests sent
//! directly to a worker, in one run.

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
use crate::workers::BootId;
use crate::{Result, logs, table};

/// The settings of the comparison.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectSettings {
    /// Requests per second for small bodies, shared by all routes; large bodies are
    /// sent at a twentieth of this rate.
    pub rate: u32,
    /// Time spent on each route in a fixed-rate comparison; a saturated one takes
    /// half of it.
    pub span: Duration,
    /// Whether to print JSON lines instead of a table.
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

/// The route of a request to the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Route {
    Direct,
    Owner,
    Forwarded,
}

impl Route {
    const ALL: [Self; 3] = [Self::Direct, Self::Owner, Self::Forwarded];

    const fn name(self) -> &'static str {
        match self {
            Self::Direct => "straight to the worker",
            Self::Owner => "through its owner",
            Self::Forwarded => "with one pass to a peer",
        }
    }
}

/// One row of the result table.
#[derive(Debug, Serialize)]
struct Measurement {
    measure: &'static str,
    way: &'static str,
    bytes: usize,
    p50_ms: f64,
    p99_ms: f64,
    per_second: f64,
}

const PREPARE_TIMEOUT: Duration = Duration::from_secs(30);
const SMALL_BODY_BYTES: usize = 1 << 10;
const LARGE_BODY_BYTES: usize = 1 << 20;
const SATURATING_CALLERS: usize = 48;

/// The addresses that each route starts at, and the client that sends the requests.
struct Bench {
    http: reqwest::Client,
    worker: SocketAddr,
    boot: BootId,
    owner: SocketAddr,
    non_owner: SocketAddr,
    next_request: AtomicU64,
}

/// Measures every route with small and large bodies and prints the results.
///
/// # Errors
///
/// Fails when the cluster does not start.
pub async fn compare_direct(settings: &DirectSettings) -> Result<bool> {
    logs::init(None, LevelFilter::Error)?;
    let cluster = start_cluster().await?;
    let bench = Arc::new(create_bench(&cluster).await?);
    let mut measurements = Vec::new();
    for bytes in [SMALL_BODY_BYTES, LARGE_BODY_BYTES] {
        let rate = if bytes == SMALL_BODY_BYTES {
            settings.rate
        } else {
            settings.rate / 20
        };
        measurements.extend(measure_fixed_rate(&bench, bytes, rate, settings.span).await);
        for route in Route::ALL {
            measurements.push(measure_saturated(&bench, route, bytes, settings.span / 2).await);
        }
    }
    for measurement in &measurements {
        if settings.json {
            let text = serde_json::to_string(measurement).expect("plain values have a JSON form");
            println!("{text}");
        }
    }
    if !settings.json {
        println!("{}", render_table(&measurements));
    }
    cluster.stop().await;
    Ok(true)
}

/// Starts one availability zone whose workers all belong to one of two shards, so
/// that one of the two entry hosts has to forward every request.
async fn start_cluster() -> Result<Cluster> {
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
        rack_size: 4,
        worker_defaults: WorkerSettings {
            slots: 64,
            latency: Duration::from_micros(1),
            ..WorkerSettings::default()
        },
        ..ClusterSettings::default()
    };
    let cluster = Cluster::start(&settings, &["a".to_owned()]).await?;
    cluster.prepare(&configuration, PREPARE_TIMEOUT).await?;
    Ok(cluster)
}

async fn create_bench(cluster: &Cluster) -> Result<Bench> {
    let status = cluster.operator_client(0).status().await?;
    let first_owns = status.workers.iter().any(|worker| worker.state == "usable");
    let (owner, non_owner) = if first_owns { (0, 1) } else { (1, 0) };
    let worker = cluster.workers[0].listed_host().address;
    Ok(Bench {
        http: reqwest::Client::new(),
        worker: worker
            .parse()
            .expect("a worker stand-in lists a valid address"),
        boot: cluster.workers[0].boot(),
        owner: cluster.addresses[owner],
        non_owner: cluster.addresses[non_owner],
        next_request: AtomicU64::new(1),
    })
}

impl Bench {
    /// Sends one request and returns its latency, or `None` if the answer was
    /// incomplete or not a success.
    async fn send(&self, route: Route, bytes: usize) -> Option<Duration> {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        let call = match route {
            Route::Direct => self
                .http
                .get(format!("http://{}/serve/svc/bytes/{bytes}", self.worker))
                .header("lycheelock-request", format!("0000000000000001-{number}"))
                .header("lycheelock-epoch", "s999/1")
                .header("lycheelock-boot", self.boot.0),
            Route::Owner => self
                .http
                .get(format!("http://{}/svc/svc/bytes/{bytes}", self.owner)),
            Route::Forwarded => self
                .http
                .get(format!("http://{}/svc/svc/bytes/{bytes}", self.non_owner)),
        };
        let started = Instant::now();
        let response = call.header("lycheelock-team", "team").send().await.ok()?;
        let success = response.status().is_success();
        let body = response.bytes().await.ok()?;
        (success && body.len() == bytes).then(|| started.elapsed())
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are allowed")
}

fn summarize(
    measure: &'static str,
    route: Route,
    bytes: usize,
    latencies: &Histogram<u64>,
    span: Duration,
) -> Measurement {
    let ms = |percent| latencies.value_at_percentile(percent) as f64 / 1000.0;
    Measurement {
        measure,
        way: route.name(),
        bytes,
        p50_ms: ms(50.0),
        p99_ms: ms(99.0),
        per_second: latencies.len() as f64 / span.as_secs_f64(),
    }
}

/// Sends requests at a fixed rate, each by the next route in turn, so that all
/// routes are measured under the same conditions.
async fn measure_fixed_rate(
    bench: &Arc<Bench>,
    bytes: usize,
    rate: u32,
    span: Duration,
) -> Vec<Measurement> {
    let mut ticks = interval(Duration::from_secs(1) / rate);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let count = (span.as_secs_f64() * f64::from(rate)) as usize * Route::ALL.len();
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..count {
        ticks.tick().await;
        let route = Route::ALL[number % Route::ALL.len()];
        let bench = bench.clone();
        tasks.spawn(async move { (route, bench.send(route, bytes).await) });
    }
    let mut latencies = Route::ALL.map(|_| histogram());
    while let Some(ended) = tasks.join_next().await {
        if let Ok((route, Some(latency))) = ended {
            let _ = latencies[route as usize].record(latency.as_micros() as u64);
        }
    }
    let total_span = span * Route::ALL.len() as u32;
    Route::ALL
        .iter()
        .zip(&latencies)
        .map(|(route, latencies)| summarize("fixed rate", *route, bytes, latencies, total_span))
        .collect()
}

/// Sends requests by one route as fast as a fixed number of callers can, each of
/// which waits for an answer before it sends the next request.
async fn measure_saturated(
    bench: &Arc<Bench>,
    route: Route,
    bytes: usize,
    span: Duration,
) -> Measurement {
    let deadline = Instant::now() + span;
    let mut tasks = tokio::task::JoinSet::new();
    for _ in 0..SATURATING_CALLERS {
        let bench = bench.clone();
        tasks.spawn(async move {
            let mut latencies = histogram();
            while Instant::now() < deadline {
                if let Some(latency) = bench.send(route, bytes).await {
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
    summarize("saturated", route, bytes, &all, span)
}

fn render_table(measurements: &[Measurement]) -> String {
    let rows: Vec<Vec<String>> = measurements
        .iter()
        .map(|measurement| {
            vec![
                measurement.measure.to_owned(),
                measurement.way.to_owned(),
                measurement.bytes.to_string(),
                format!("{:.2}", measurement.p50_ms),
                format!("{:.2}", measurement.p99_ms),
                format!("{:.0}", measurement.per_second),
            ]
        })
        .collect();
    let header = ["measure", "way", "bytes", "p50 ms", "p99 ms", "requests/s"];
    table::render(&header, &rows)
}
