//! Calls to a worker.

use std::fmt;
use std::time::Duration;

use reqwest::{Client, StatusCode};
use serde::de::{IgnoredAny, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};
use thiserror::Error;

use crate::fleet::{
    EndedRun, LiveRun, PollOrder, RunOutcome, StartOrder, StartReply, StopOrder, WorkerReport,
};
use crate::workflow::TaskName;

/// How long an unused connection to a worker is kept.
const IDLE: Duration = Duration::from_secs(30);
/// The worker that a call means; any other at that address does nothing.
const INSTANCE_HEADER: &str = "X-Lycheelock-Expect-Instance";
/// How much longer than its wait a look may take.
const LOOK_MARGIN: Duration = Duration::from_millis(500);

/// Why a call to a worker has no result.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WorkerFault {
    /// No connection was made; nothing was done.
    #[error("not reached: {0}")]
    Unreached(String),
    /// Nothing listens at the worker's address; nothing was done.
    #[error("connection refused: {0}")]
    NobodyThere(String),
    /// No answer came; the order may be carried out now or later.
    #[error("no answer: {0}")]
    Unanswered(String),
    /// A newer owner commands the worker.
    #[error("a newer owner commands the worker")]
    Deposed,
    /// The worker said that it did nothing.
    #[error("refused: {0}")]
    Refused(String),
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
struct PaceBody {
    task: String,
    run: u64,
    percent: u8,
    fence: u64,
}

#[derive(Serialize)]
struct HoldBody {
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
struct HoldAnswer {
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
        f.write_str("a row of task, run, checkpoint, percent and figure")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut row: A) -> Result<RunningRow, A::Error> {
        let task: String = element(&mut row, "task")?;
        let run: u64 = element(&mut row, "run")?;
        let checkpoint: Option<String> = row.next_element()?;
        let percent: Option<f64> = row.next_element()?;
        let figure: Option<f64> = row.next_element()?;
        while row.next_element::<IgnoredAny>()?.is_some() {}
        Ok(RunningRow(LiveRun {
            task: name(&task)?,
            run,
            checkpoint: checkpoint.unwrap_or_default(),
            progress: percent.unwrap_or_default().clamp(0.0, 100.0) as u8,
            measurement: figure.unwrap_or_default().max(0.0) as u32,
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
        let ending: EndWord = element(&mut row, "ending")?;
        let checkpoint: Option<String> = row.next_element()?;
        while row.next_element::<IgnoredAny>()?.is_some() {}
        Ok(FinishedRow(EndedRun {
            number,
            task: name(&task)?,
            run,
            outcome: ending.into(),
            checkpoint: checkpoint.unwrap_or_default(),
        }))
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum EndWord {
    Done,
    Failed,
    Stopped,
    Lapsed,
    Broken,
    Alone,
}

impl From<EndWord> for RunOutcome {
    fn from(word: EndWord) -> Self {
        match word {
            EndWord::Done => Self::Done,
            EndWord::Failed => Self::Failed,
            EndWord::Stopped => Self::Stopped,
            EndWord::Lapsed => Self::Lapsed,
            EndWord::Broken => Self::MemberEnded,
            EndWord::Alone => Self::GangIncomplete,
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

fn name<E: serde::de::Error>(text: &str) -> Result<TaskName, E> {
    text.parse().map_err(E::custom)
}

/// A client of one worker.
#[derive(Debug, Clone)]
pub struct WorkerApi {
    client: Client,
    id: String,
    base: String,
    silence: Duration,
}

impl WorkerApi {
    /// The connections that the clients of all workers share.
    pub fn pool(silence: Duration) -> Client {
        Client::builder()
            .connect_timeout(silence)
            .pool_idle_timeout(IDLE)
            .pool_max_idle_per_host(2)
            .tcp_nodelay(true)
            .build()
            .expect("a client without TLS needs nothing that can fail")
    }

    /// The worker's id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// A worker at `address`. Orders without an answer fail after `silence`.
    pub fn new(client: Client, id: &str, address: &str, silence: Duration) -> Self {
        Self {
            client,
            id: id.to_owned(),
            base: format!("http://{address}"),
            silence,
        }
    }

    /// Starts a run.
    ///
    /// # Errors
    ///
    /// Fails when the worker was not reached, did not answer or did nothing.
    pub async fn start(&self, order: &StartOrder) -> Result<StartReply, WorkerFault> {
        let body = StartBody {
            task: order.task.to_string(),
            run: order.run,
            spec: &order.payload,
            until_ms: order.lease_end,
            fence: order.fence,
            last_checkpoint: &order.checkpoint,
        };
        let (status, bytes) = self.post("run-start", &body, self.silence).await?;
        if status == StatusCode::OK {
            return Ok(StartReply::Running);
        }
        let answer: ReasonBody = serde_json::from_slice(&bytes).unwrap_or_default();
        match (status, answer.reason.as_str()) {
            (StatusCode::CONFLICT, "fence") => Err(WorkerFault::Deposed),
            (StatusCode::CONFLICT, "old") => Ok(StartReply::Superseded),
            (StatusCode::CONFLICT, "late") => {
                Ok(StartReply::LeaseExpired(answer.clock_ms.max(0.0) as u64))
            }
            (StatusCode::CONFLICT, "room") => Ok(StartReply::NoCapacity),
            (_, reason) => Err(WorkerFault::Refused(format!("status {status} {reason}"))),
        }
    }

    /// Stops a run, or refuses it for good if it has not arrived yet.
    ///
    /// # Errors
    ///
    /// Fails when the worker was not reached, did not answer or did nothing.
    pub async fn stop(&self, order: &StopOrder) -> Result<(), WorkerFault> {
        let body = StopBody {
            task: order.task.to_string(),
            run: order.run,
            fence: order.fence,
        };
        let (status, bytes) = self.post("run-stop", &body, self.silence).await?;
        settled(status, &bytes)
    }

    /// Slows a run down to `percent` of its speed.
    ///
    /// # Errors
    ///
    /// Fails when the worker was not reached, did not answer or did nothing.
    pub async fn pace(&self, order: &StopOrder, percent: u8) -> Result<(), WorkerFault> {
        let body = PaceBody {
            task: order.task.to_string(),
            run: order.run,
            percent,
            fence: order.fence,
        };
        let (status, bytes) = self.post("pace", &body, self.silence).await?;
        settled(status, &bytes)
    }

    /// Prolongs the leases of all runs and reads what runs and what has ended.
    ///
    /// # Errors
    ///
    /// Fails when the worker was not reached, did not answer or did nothing.
    pub async fn look(&self, order: &PollOrder) -> Result<WorkerReport, WorkerFault> {
        let body = HoldBody {
            until_ms: order.lease_end,
            fence: order.fence,
            last_seen: order.acknowledged,
            wait_ms: order.wait.as_millis() as u64,
        };
        let silence = order.wait + LOOK_MARGIN;
        let (status, bytes) = self.post("hold", &body, silence).await?;
        if status != StatusCode::OK {
            return Err(refusal(status, &bytes));
        }
        let answer: HoldAnswer = serde_json::from_slice(&bytes)
            .map_err(|error| WorkerFault::Refused(format!("unreadable answer: {error}")))?;
        Ok(WorkerReport {
            clock: answer.clock_ms.max(0.0) as u64,
            incarnation: answer.born,
            running: answer.running.into_iter().map(|row| row.0).collect(),
            ended: answer.finished.into_iter().map(|row| row.0).collect(),
        })
    }

    async fn post<T: Serialize>(
        &self,
        path: &str,
        body: &T,
        silence: Duration,
    ) -> Result<(StatusCode, Vec<u8>), WorkerFault> {
        let call = self
            .client
            .post(format!("{}/{path}", self.base))
            .header(INSTANCE_HEADER, &self.id)
            .json(body);
        let response = call.timeout(silence).send().await.map_err(|error| {
            if error.is_connect() && error.is_timeout() {
                WorkerFault::Unreached(error.to_string())
            } else if error.is_connect() {
                WorkerFault::NobodyThere(error.to_string())
            } else {
                WorkerFault::Unanswered(error.to_string())
            }
        })?;
        let status = response.status();
        let bytes = response
            .bytes()
            .await
            .map_err(|error| WorkerFault::Unanswered(error.to_string()))?;
        Ok((status, bytes.to_vec()))
    }
}

fn settled(status: StatusCode, bytes: &[u8]) -> Result<(), WorkerFault> {
    if status == StatusCode::OK {
        return Ok(());
    }
    Err(refusal(status, bytes))
}

fn refusal(status: StatusCode, bytes: &[u8]) -> WorkerFault {
    let answer: ReasonBody = serde_json::from_slice(bytes).unwrap_or_default();
    if answer.reason == "fence" {
        return WorkerFault::Deposed;
    }
    WorkerFault::Refused(format!("status {status} {}", answer.reason))
}
