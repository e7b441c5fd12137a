//! The client of a worker.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use reqwest::{Client, StatusCode, Url};
use serde::de::{IgnoredAny, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};
use thiserror::Error;

use super::decode::{DecodeError, span};
use crate::bounded::read_bounded;
use crate::fleet::{
    EndedRun, LiveRun, PollOrder, RunOutcome, StartAnswer, StartOrder, StartReply, StopOrder,
    WorkerReport,
};
use crate::workflow::TaskName;

/// The time after which an unused connection to a worker is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The header with the id of the addressed worker. A different worker at the same
/// address refuses the call.
const INSTANCE_HEADER: &str = "X-Lycheelock-Expect-Instance";
/// The time that the answer to a poll may take in addition to its wait.
const POLL_MARGIN: Duration = Duration::from_millis(500);
/// The limit on one answer, in bytes.
const MAX_ANSWER_BYTES: u64 = 8 << 20;

/// The limit on a worker's clock, which counts from the start of its process.
const MAX_CLOCK: Duration = Duration::from_hours(100 * 366 * 24);

/// The limit on the measurement of a run, so that the sum over a report's runs does not
/// overflow. Larger ones are cut.
const MAX_MEASUREMENT: f64 = 1_000_000.0;

/// Why a call to a worker has no result.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WorkerFault {
    /// No connection was made; the order had no effect.
    #[error("connection failed: {0}")]
    ConnectFailed(String),
    /// No process listens at the worker's address; the order had no effect.
    #[error("connection refused: {0}")]
    ConnectionRefused(String),
    /// No answer arrived; the order may have taken effect, or may do so later.
    #[error("no answer: {0}")]
    Unanswered(String),
    /// The worker has received orders with a higher fencing token, from a newer
    /// owner.
    #[error("the worker follows a newer owner")]
    Fenced,
    /// Another worker answers at the address, so the addressed one has ended.
    #[error("another worker answers at the address")]
    Replaced,
    /// The worker refused the order; it had no effect.
    #[error("refused: {0}")]
    Refused(String),
}

impl WorkerFault {
    /// Whether the call may have reached the worker.
    pub const fn may_have_arrived(&self) -> bool {
        !matches!(self, Self::ConnectFailed(_) | Self::ConnectionRefused(_))
    }

    /// Whether the worker, or another one at its address, answered the call.
    pub const fn is_answer(&self) -> bool {
        match self {
            Self::Fenced | Self::Replaced | Self::Refused(_) => true,
            Self::ConnectFailed(_) | Self::ConnectionRefused(_) | Self::Unanswered(_) => false,
        }
    }
}

#[derive(Serialize)]
struct StartBody<'a> {
    task: String,
    run: u64,
    spec: &'a str,
    until_ms: u64,
    fence: u64,
    #[serde(skip_serializing_if = "str::is_empty")]
    last_checkpoint: &'a str,
}

#[derive(Serialize)]
struct StopBody {
    task: String,
    run: u64,
    fence: u64,
}

#[derive(Serialize)]
struct ThrottleBody {
    task: String,
    run: u64,
    percent: u8,
    fence: u64,
}

#[derive(Serialize)]
struct PollBody {
    #[serde(skip_serializing_if = "Option::is_none")]
    until_ms: Option<u64>,
    fence: u64,
    last_seen: u64,
    wait_ms: u64,
}

#[derive(Default, Deserialize)]
struct ReasonBody {
    #[serde(default)]
    reason: String,
    #[serde(default)]
    clock_ms: f64,
}

#[derive(Deserialize)]
struct PollAnswer {
    clock_ms: f64,
    #[serde(default)]
    born: u64,
    running: Vec<RunningRow>,
    finished: Vec<FinishedRow>,
}

struct RunningRow(LiveRun);

impl<'de> Deserialize<'de> for RunningRow {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_seq(RunningVisitor)
    }
}

struct RunningVisitor;

impl<'de> Visitor<'de> for RunningVisitor {
    type Value = RunningRow;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a row of task, run, checkpoint, percent and measurement")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut row: A) -> Result<RunningRow, A::Error> {
        let task: String = element(&mut row, "task")?;
        let run: u64 = element(&mut row, "run")?;
        let checkpoint: Option<String> = row.next_element()?;
        let percent: Option<f64> = row.next_element()?;
        let measurement: Option<f64> = row.next_element()?;
        while row.next_element::<IgnoredAny>()?.is_some() {}
        Ok(RunningRow(LiveRun {
            task: parse_task(&task)?,
            run,
            checkpoint: checkpoint.unwrap_or_default(),
            progress: percent.unwrap_or_default().clamp(0.0, 100.0) as u8,
            measurement: measurement.unwrap_or_default().clamp(0.0, MAX_MEASUREMENT) as u32,
        }))
    }
}

struct FinishedRow(EndedRun);

impl<'de> Deserialize<'de> for FinishedRow {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_seq(FinishedVisitor)
    }
}

struct FinishedVisitor;

impl<'de> Visitor<'de> for FinishedVisitor {
    type Value = FinishedRow;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a row of number, task, run, ending and checkpoint")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut row: A) -> Result<FinishedRow, A::Error> {
        let number: u64 = element(&mut row, "number")?;
        let task: String = element(&mut row, "task")?;
        let run: u64 = element(&mut row, "run")?;
        let outcome: OutcomeWord = element(&mut row, "ending")?;
        let checkpoint: Option<String> = row.next_element()?;
        while row.next_element::<IgnoredAny>()?.is_some() {}
        Ok(FinishedRow(EndedRun {
            number,
            task: parse_task(&task)?,
            run,
            outcome: outcome.into(),
            checkpoint: checkpoint.unwrap_or_default(),
        }))
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum OutcomeWord {
    Done,
    Failed,
    Stopped,
    Lapsed,
    Broken,
    Alone,
}

impl From<OutcomeWord> for RunOutcome {
    fn from(word: OutcomeWord) -> Self {
        match word {
            OutcomeWord::Done => Self::Done,
            OutcomeWord::Failed => Self::Failed,
            OutcomeWord::Stopped => Self::Stopped,
            OutcomeWord::Lapsed => Self::Lapsed,
            OutcomeWord::Broken => Self::MemberEnded,
            OutcomeWord::Alone => Self::GangIncomplete,
        }
    }
}

fn element<'de, A: SeqAccess<'de>, T: Deserialize<'de>>(
    row: &mut A,
    field: &'static str,
) -> Result<T, A::Error> {
    row.next_element()?
        .ok_or_else(|| serde::de::Error::missing_field(field))
}

fn parse_task<E: serde::de::Error>(text: &str) -> Result<TaskName, E> {
    text.parse().map_err(E::custom)
}

/// A client of one worker.
#[derive(Debug, Clone)]
pub struct WorkerApi {
    client: Client,
    id: String,
    endpoints: Arc<Endpoints>,
    timeout: Duration,
}

/// The addresses of a worker's calls, parsed once as each is called many times a second.
#[derive(Debug)]
struct Endpoints {
    start: Url,
    stop: Url,
    throttle: Url,
    poll: Url,
}

impl Endpoints {
    fn new(address: SocketAddr) -> Self {
        let url = |path: &str| {
            let text = format!("http://{address}/{path}");
            Url::parse(&text).expect("an address and a fixed path form a URL")
        };
        Self {
            start: url("run-start"),
            stop: url("run-stop"),
            throttle: url("pace"),
            poll: url("hold"),
        }
    }
}

impl WorkerApi {
    /// Creates the connection pool that the clients of all workers share.
    pub fn pool(timeout: Duration) -> Client {
        Client::builder()
            .connect_timeout(timeout)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(2)
            .tcp_nodelay(true)
            .build()
            .expect("a client without TLS needs nothing that can fail")
    }

    /// Returns the id of the worker.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Creates a client for the worker at `address`. Unanswered orders fail after
    /// `timeout`.
    pub fn new(client: Client, id: &str, address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client,
            id: id.to_owned(),
            endpoints: Arc::new(Endpoints::new(address)),
            timeout,
        }
    }

    /// Starts a run.
    ///
    /// # Errors
    ///
    /// Fails if the worker was not reached, did not answer or refused the order.
    pub async fn start(&self, order: &StartOrder) -> Result<StartAnswer, WorkerFault> {
        let body = StartBody {
            task: order.task.to_string(),
            run: order.run,
            spec: &order.payload,
            until_ms: order.lease_end,
            fence: order.fence,
            last_checkpoint: &order.checkpoint,
        };
        let (status, bytes) = self
            .post(&self.endpoints.start, &body, self.timeout)
            .await?;
        let reply = read_start_reply(status, &bytes)?;
        let clock = read_clock(&bytes);
        Ok(StartAnswer { reply, clock })
    }

    /// Stops a run. If its start order has not arrived yet, the worker will refuse
    /// that order.
    ///
    /// # Errors
    ///
    /// Fails if the worker was not reached, did not answer or refused the order.
    pub async fn stop(&self, order: &StopOrder) -> Result<(), WorkerFault> {
        let body = StopBody {
            task: order.task.to_string(),
            run: order.run,
            fence: order.fence,
        };
        let (status, bytes) = self.post(&self.endpoints.stop, &body, self.timeout).await?;
        check_status(status, &bytes)
    }

    /// Throttles a run to `percent` of its full speed; 0 pauses it.
    ///
    /// # Errors
    ///
    /// Fails if the worker was not reached, did not answer or refused the order.
    pub async fn throttle(&self, order: &StopOrder, percent: u8) -> Result<(), WorkerFault> {
        let body = ThrottleBody {
            task: order.task.to_string(),
            run: order.run,
            percent,
            fence: order.fence,
        };
        let (status, bytes) = self
            .post(&self.endpoints.throttle, &body, self.timeout)
            .await?;
        check_status(status, &bytes)
    }

    /// Reads which runs exist and which have ended, and extends the leases of all
    /// runs if the order contains a new lease end.
    ///
    /// # Errors
    ///
    /// Fails if the worker was not reached, did not answer or refused the order.
    pub async fn poll(&self, order: &PollOrder) -> Result<WorkerReport, WorkerFault> {
        let body = PollBody {
            until_ms: order.lease_end,
            fence: order.fence,
            last_seen: order.acknowledged,
            wait_ms: order.wait.as_millis() as u64,
        };
        let timeout = order.wait + POLL_MARGIN;
        let (status, bytes) = self.post(&self.endpoints.poll, &body, timeout).await?;
        if status != StatusCode::OK {
            return Err(refusal(status, &bytes));
        }
        read_report(&bytes)
            .map_err(|error| WorkerFault::Refused(format!("invalid answer: {error}")))
    }

    async fn post<T: Serialize>(
        &self,
        url: &Url,
        body: &T,
        timeout: Duration,
    ) -> Result<(StatusCode, Vec<u8>), WorkerFault> {
        let call = self
            .client
            .post(url.clone())
            .header(INSTANCE_HEADER, &self.id)
            .json(body);
        let response = call.timeout(timeout).send().await.map_err(|error| {
            if error.is_connect() && error.is_timeout() {
                WorkerFault::ConnectFailed(error.to_string())
            } else if error.is_connect() {
                WorkerFault::ConnectionRefused(error.to_string())
            } else {
                WorkerFault::Unanswered(error.to_string())
            }
        })?;
        let status = response.status();
        let bytes = read_bounded(response, MAX_ANSWER_BYTES)
            .await
            .map_err(|error| WorkerFault::Unanswered(error.to_string()))?;
        Ok((status, bytes))
    }
}

/// Decodes a worker's report.
pub(super) fn read_report(bytes: &[u8]) -> Result<WorkerReport, DecodeError> {
    let answer: PollAnswer = serde_json::from_slice(bytes)?;
    Ok(WorkerReport {
        clock: clock(answer.clock_ms)?,
        incarnation: answer.born,
        running: answer.running.into_iter().map(|row| row.0).collect(),
        ended: answer.finished.into_iter().map(|row| row.0).collect(),
    })
}

/// Decodes a worker's clock, in milliseconds.
fn clock(millis: f64) -> Result<u64, DecodeError> {
    span("clock_ms", millis, MAX_CLOCK).map(|clock| clock.as_millis() as u64)
}

/// Reads the clock in a worker's answer, in milliseconds, if there is one.
pub(super) fn read_clock(bytes: &[u8]) -> Option<u64> {
    let answer: ReasonBody = serde_json::from_slice(bytes).ok()?;
    let reading = clock(answer.clock_ms).ok()?;
    (reading > 0).then_some(reading)
}

/// Decodes a worker's answer to a start order.
pub(super) fn read_start_reply(
    status: StatusCode,
    bytes: &[u8],
) -> Result<StartReply, WorkerFault> {
    if status == StatusCode::OK {
        return Ok(StartReply::Running);
    }
    let answer: ReasonBody = serde_json::from_slice(bytes).unwrap_or_default();
    match (status, answer.reason.as_str()) {
        (StatusCode::CONFLICT, "old") => Ok(StartReply::Superseded),
        (StatusCode::CONFLICT, "late") => clock(answer.clock_ms)
            .map(StartReply::LeaseExpired)
            .map_err(|error| WorkerFault::Refused(error.to_string())),
        (StatusCode::CONFLICT, "room") => Ok(StartReply::NoCapacity),
        _ => Err(refusal(status, bytes)),
    }
}

fn check_status(status: StatusCode, bytes: &[u8]) -> Result<(), WorkerFault> {
    if status == StatusCode::OK {
        return Ok(());
    }
    Err(refusal(status, bytes))
}

/// Decodes an answer that is no success. Only with some statuses a worker says that it
/// did nothing.
fn refusal(status: StatusCode, bytes: &[u8]) -> WorkerFault {
    let answer: ReasonBody = serde_json::from_slice(bytes).unwrap_or_default();
    let text = format!("status {status} {}", answer.reason);
    match status {
        _ if answer.reason == "fence" => WorkerFault::Fenced,
        StatusCode::MISDIRECTED_REQUEST => WorkerFault::Replaced,
        StatusCode::SERVICE_UNAVAILABLE => WorkerFault::Refused(text),
        status if status.is_client_error() => WorkerFault::Refused(text),
        _ => WorkerFault::Unanswered(text),
    }
}
