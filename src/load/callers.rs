//! Callers: interactive requests at a fixed rate, whatever the answers.

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
use crate::standins::audit::Told;
use crate::standins::worker::MARK_HEADER;

/// The kinds of requests that callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// It may be repeated.
    Idempotent,
    /// It must not be repeated and has no key.
    Once,
    /// It must not be repeated and has a key.
    Keyed,
}

/// How one request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer came.
    Answered,
    /// It was refused, as not run.
    Refused,
    /// It may have run.
    Unknown,
}

/// One request that was sent.
#[derive(Debug, Clone)]
pub struct Sent {
    /// When, since the callers began.
    pub at: Duration,
    /// How long it took.
    pub latency: Duration,
    /// How it ended.
    pub outcome: Outcome,
    /// What the caller was told, for the audit.
    pub told: Told,
}

/// What callers do.
#[derive(Debug, Clone)]
pub struct Callers {
    /// The entry hosts, used in turn.
    pub entries: Vec<SocketAddr>,
    /// The service.
    pub service: String,
    /// The team.
    pub team: String,
    /// The path of requests that must not be repeated.
    pub once: String,
    /// Requests a second.
    pub rate: f64,
    /// How many requests.
    pub count: usize,
    /// The deadline of each.
    pub deadline: Duration,
    /// The bytes of each body.
    pub bytes: usize,
    /// Of a hundred requests, how many must not be repeated; half of them keyed.
    pub once_percent: u32,
    /// The seed of all choices.
    pub seed: u64,
    /// Entry hosts that the balancer has taken out.
    pub out: watch::Receiver<Vec<SocketAddr>>,
}

impl Callers {
    /// Sends the requests and returns them all.
    pub async fn run(self) -> Vec<Sent> {
        let http = reqwest::Client::new();
        let callers = Arc::new(self);
        let begun = Instant::now();
        let sent = Arc::new(Mutex::new(Vec::with_capacity(callers.count)));
        let mut random = SmallRng::seed_from_u64(callers.seed);
        let mut ticks = interval(Duration::from_secs_f64(1.0 / callers.rate));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
        let mut tasks = JoinSet::new();
        for number in 0..callers.count {
            ticks.tick().await;
            let kind = callers.choose(&mut random);
            let (callers, http, sent) = (callers.clone(), http.clone(), sent.clone());
            tasks.spawn(async move {
                let one = callers.send(&http, number, kind, begun).await;
                sent.lock().expect("no panic while locked").push(one);
            });
        }
        while tasks.join_next().await.is_some() {}
        let mut sent = sent.lock().expect("no panic while locked");
        std::mem::take(&mut *sent)
    }

    fn choose(&self, random: &mut SmallRng) -> CallKind {
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
        begun: Instant,
    ) -> Sent {
        let mark = format!("m{}-{number}", self.seed);
        let at = begun.elapsed();
        let entry = self.entry(number);
        let path = match kind {
            CallKind::Idempotent => "/echo",
            CallKind::Once | CallKind::Keyed => self.once.as_str(),
        };
        let body = format!("{mark:>width$}", width = self.bytes.max(mark.len()));
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
        let end = read(call, &mark, &body).await;
        Sent {
            at,
            latency: started.elapsed(),
            outcome: end.outcome,
            told: end.told,
        }
    }

    fn entry(&self, number: usize) -> SocketAddr {
        let out = self.out.borrow();
        let count = self.entries.len();
        let turn = (0..count).map(|step| self.entries[(number + step) % count]);
        turn.into_iter()
            .find(|entry| !out.contains(entry))
            .unwrap_or(self.entries[number % count])
    }
}

struct Ended {
    outcome: Outcome,
    told: Told,
}

async fn read(call: reqwest::RequestBuilder, mark: &str, body: &str) -> Ended {
    let told = |run, own| Told {
        mark: mark.to_owned(),
        run,
        own,
    };
    let unknown = || Ended {
        outcome: Outcome::Unknown,
        told: told(RunStatus::Unknown, true),
    };
    let response = match call.send().await {
        Ok(response) => response,
        Err(error) if error.is_connect() => {
            return Ended {
                outcome: Outcome::Refused,
                told: told(RunStatus::No, true),
            };
        }
        Err(_) => return unknown(),
    };
    let run = response.headers().get("lycheelock-run").cloned();
    match run.as_ref().map(|run| run.as_bytes()) {
        Some(b"no") => Ended {
            outcome: Outcome::Refused,
            told: told(RunStatus::No, true),
        },
        Some(_) => unknown(),
        None => {
            let ok = response.status().is_success();
            let same = response
                .headers()
                .get(MARK_HEADER)
                .map(|echo| echo.as_bytes())
                == Some(mark.as_bytes());
            match response.text().await {
                Ok(text) => Ended {
                    outcome: if ok {
                        Outcome::Answered
                    } else {
                        Outcome::Unknown
                    },
                    told: told(RunStatus::Yes, same && text == body),
                },
                Err(_) => unknown(),
            }
        }
    }
}

/// The sums of many requests.
#[derive(Debug, Clone)]
pub struct Tally {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered.
    pub answered: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// The latencies of answered requests, in microseconds.
    pub latency: Histogram<u64>,
}

impl Tally {
    /// Adds up requests.
    pub fn of<'a>(requests: impl IntoIterator<Item = &'a Sent>) -> Self {
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

    fn add(&mut self, request: &Sent) {
        self.sent += 1;
        match request.outcome {
            Outcome::Answered => {
                self.answered += 1;
                let micros = request.latency.as_micros() as u64;
                let _ = self.latency.record(micros);
            }
            Outcome::Refused => self.refused += 1,
            Outcome::Unknown => self.unknown += 1,
        }
    }

    /// A percentile of the latency, in milliseconds.
    pub fn percentile(&self, percent: f64) -> f64 {
        self.latency.value_at_percentile(percent) as f64 / 1000.0
    }
}
