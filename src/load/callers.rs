//! Sends interactive requests at a fixed rate that does not depend on the answers.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::kind::RunStatus;
use crate::standins::audit::CallerResult;
use crate::standins::worker::MARK_HEADER;

/// Whether a request may be repeated, and whether it has an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// An idempotent request, which may be repeated.
    Idempotent,
    /// A non-idempotent request without an idempotency key.
    Once,
    /// A non-idempotent request with an idempotency key.
    Keyed,
}

/// How one request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The caller received a complete answer with a success status.
    Answered,
    /// The request did not run: the answer says so, or no connection was made.
    Refused,
    /// The request may have run.
    Unknown,
}

/// One request that was sent.
#[derive(Debug, Clone)]
pub struct SentRequest {
    /// Time from the start of the run until the request was sent.
    pub start_offset: Duration,
    /// Time from sending the request until its outcome was known.
    pub latency: Duration,
    /// The outcome for the caller.
    pub outcome: CallOutcome,
    /// The caller's view of the request, for the audit.
    pub result: CallerResult,
}

/// Settings of a run of interactive requests.
#[derive(Debug, Clone)]
pub struct Callers {
    /// Addresses of the entry hosts, used round robin.
    pub entries: Vec<SocketAddr>,
    /// Name of the service that is called.
    pub service: String,
    /// Name of the team that the requests are sent for.
    pub team: String,
    /// Path of non-idempotent requests.
    pub once_path: String,
    /// Requests sent per second.
    pub rate: f64,
    /// Total number of requests to send.
    pub count: usize,
    /// Deadline of each request.
    pub deadline: Duration,
    /// Size of each request body in bytes.
    pub body_bytes: usize,
    /// Percentage of requests that are non-idempotent; half of them have a key.
    pub once_percent: u32,
    /// Seed of the random choices, which is also part of each mark.
    pub seed: u64,
    /// Entry hosts that the load balancer has taken out of rotation.
    pub excluded: watch::Receiver<Vec<SocketAddr>>,
}

impl Callers {
    /// Sends all requests and returns them once the last one has ended.
    pub async fn run(self) -> Vec<SentRequest> {
        let http = reqwest::Client::new();
        let callers = Arc::new(self);
        let run_start = Instant::now();
        let sent = Arc::new(Mutex::new(Vec::with_capacity(callers.count)));
        let mut random = SmallRng::seed_from_u64(callers.seed);
        let mut ticks = interval(Duration::from_secs_f64(1.0 / callers.rate));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
        let mut tasks = JoinSet::new();
        for number in 0..callers.count {
            ticks.tick().await;
            let kind = callers.choose_kind(&mut random);
            let (callers, http, sent) = (callers.clone(), http.clone(), sent.clone());
            tasks.spawn(async move {
                let one = callers.send(&http, number, kind, run_start).await;
                sent.lock().expect("no panic while locked").push(one);
            });
        }
        while tasks.join_next().await.is_some() {}
        let mut sent = sent.lock().expect("no panic while locked");
        std::mem::take(&mut *sent)
    }

    fn choose_kind(&self, random: &mut SmallRng) -> CallKind {
        let draw = random.random_range(0..200);
        match draw {
            _ if draw < self.once_percent => CallKind::Once,
            _ if draw < self.once_percent * 2 => CallKind::Keyed,
            _ => CallKind::Idempotent,
        }
    }

    async fn send(
        &self,
        http: &reqwest::Client,
        number: usize,
        kind: CallKind,
        run_start: Instant,
    ) -> SentRequest {
        let mark = format!("m{}-{number}", self.seed);
        let start_offset = run_start.elapsed();
        let entry = self.pick_entry(number);
        let path = match kind {
            CallKind::Idempotent => "/echo",
            CallKind::Once | CallKind::Keyed => self.once_path.as_str(),
        };
        let body = format!("{mark:>width$}", width = self.body_bytes.max(mark.len()));
        let url = format!("http://{entry}/svc/{}{path}", self.service);
        let mut call = http
            .post(url)
            .header("lycheelock-team", &self.team)
            .header(
                "lycheelock-deadline-ms",
                self.deadline.as_millis().to_string(),
            )
            .header(MARK_HEADER, &mark)
            .timeout(self.deadline + Duration::from_secs(1))
            .body(body.clone());
        if kind == CallKind::Keyed {
            call = call.header("idempotency-key", &mark);
        }
        let started = Instant::now();
        let answer = read_answer(call, &mark, &body).await;
        SentRequest {
            start_offset,
            latency: started.elapsed(),
            outcome: answer.outcome,
            result: answer.result,
        }
    }

    fn pick_entry(&self, number: usize) -> SocketAddr {
        let excluded = self.excluded.borrow();
        let count = self.entries.len();
        let rotation = (0..count).map(|step| self.entries[(number + step) % count]);
        rotation
            .into_iter()
            .find(|entry| !excluded.contains(entry))
            .unwrap_or(self.entries[number % count])
    }
}

struct CallerAnswer {
    outcome: CallOutcome,
    result: CallerResult,
}

async fn read_answer(call: reqwest::RequestBuilder, mark: &str, body: &str) -> CallerAnswer {
    let result = |run, matches_request| CallerResult {
        mark: mark.to_owned(),
        run,
        matches_request,
    };
    let unknown = || CallerAnswer {
        outcome: CallOutcome::Unknown,
        result: result(RunStatus::Unknown, true),
    };
    let response = match call.send().await {
        Ok(response) => response,
        Err(error) if error.is_connect() => {
            return CallerAnswer {
                outcome: CallOutcome::Refused,
                result: result(RunStatus::No, true),
            };
        }
        Err(_) => return unknown(),
    };
    let run = response.headers().get("lycheelock-run").cloned();
    match run.as_ref().map(|run| run.as_bytes()) {
        Some(b"no") => CallerAnswer {
            outcome: CallOutcome::Refused,
            result: result(RunStatus::No, true),
        },
        Some(_) => unknown(),
        None => {
            let ok = response.status().is_success();
            let echoed = response
                .headers()
                .get(MARK_HEADER)
                .map(|echo| echo.as_bytes())
                == Some(mark.as_bytes());
            match response.text().await {
                Ok(text) => CallerAnswer {
                    outcome: if ok {
                        CallOutcome::Answered
                    } else {
                        CallOutcome::Unknown
                    },
                    result: result(RunStatus::Yes, echoed && text == body),
                },
                Err(_) => unknown(),
            }
        }
    }
}

/// Counts and latencies of a set of requests.
#[derive(Debug, Clone)]
pub struct Tally {
    /// Number of requests sent.
    pub sent: u64,
    /// Number of requests with [`CallOutcome::Answered`].
    pub answered: u64,
    /// Number of requests with [`CallOutcome::Refused`].
    pub refused: u64,
    /// Number of requests with [`CallOutcome::Unknown`].
    pub unknown: u64,
    /// Latencies of answered requests, in microseconds.
    pub latency: Histogram<u64>,
}

impl Tally {
    /// Counts the requests and records the latencies of the answered ones.
    pub fn of<'a>(requests: impl IntoIterator<Item = &'a SentRequest>) -> Self {
        let mut tally = Self {
            sent: 0,
            answered: 0,
            refused: 0,
            unknown: 0,
            latency: Histogram::new(3).expect("three digits are allowed"),
        };
        for request in requests {
            tally.add(request);
        }
        tally
    }

    fn add(&mut self, request: &SentRequest) {
        self.sent += 1;
        match request.outcome {
            CallOutcome::Answered => {
                self.answered += 1;
                let micros = request.latency.as_micros() as u64;
                let _ = self.latency.record(micros);
            }
            CallOutcome::Refused => self.refused += 1,
            CallOutcome::Unknown => self.unknown += 1,
        }
    }

    /// Returns the given percentile of the latency, in milliseconds.
    pub fn percentile(&self, percent: f64) -> f64 {
        self.latency.value_at_percentile(percent) as f64 / 1000.0
    }
}
