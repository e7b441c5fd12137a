//! The bodies of submitted jobs and of the answers about jobs.

use std::fmt;
use std::marker::PhantomData;
use std::time::Duration;

use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};

use super::decode::{DecodeError, MAX_SPAN, amount, span};
use crate::fleet::Capacity;
use crate::workflow::{MAX_STEPS, Recurrence, Step, Workflow, WorkflowState};

/// The header with the time that the caller waits for the answer, in milliseconds.
pub const DEADLINE_HEADER: &str = "X-Lycheelock-Deadline-Ms";

/// The limit on the due time of the first occurrence, as time since the Unix epoch: the
/// year 2370.
const MAX_START: Duration = Duration::from_hours(400 * 366 * 24);

#[derive(Deserialize)]
struct JobBody {
    /// Opaque text that is passed to every task at its start.
    #[serde(default)]
    spec: String,
    #[serde(deserialize_with = "step_list")]
    steps: Vec<StepRow>,
    #[serde(default)]
    times: f64,
    #[serde(default)]
    start_at_ms: f64,
    #[serde(default)]
    interval_ms: f64,
}

#[derive(Deserialize)]
struct StepRow {
    count: u32,
    /// Processor time in thousandths of a core.
    #[serde(default)]
    cpu: f64,
    #[serde(default)]
    mem_mb: f64,
    #[serde(default)]
    gpu: f64,
    #[serde(default)]
    est_ms: f64,
    #[serde(default, deserialize_with = "step_list")]
    after: Vec<usize>,
    #[serde(default)]
    checkpoint: bool,
    #[serde(default)]
    gang: bool,
    #[serde(default)]
    same_rack: bool,
    #[serde(default)]
    required_label: String,
    #[serde(default)]
    data_rack: String,
    #[serde(default)]
    max_per_server: u32,
    #[serde(default)]
    speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(default)]
    daemon: bool,
    #[serde(default)]
    image: String,
    /// The tail latency that the tasks' own callers may see, in milliseconds; 0 if
    /// the tasks serve no callers.
    #[serde(default)]
    target_ms: f64,
    /// Whether the tasks are best-effort.
    #[serde(default)]
    fills: bool,
    #[serde(default)]
    may_miss: u32,
}

/// A list of steps, or of their numbers. It is refused at the first entry over the limit:
/// an entry of a few bytes may need a hundred times as much memory once it is decoded.
struct StepList<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for StepList<T> {
    type Value = Vec<T>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a list")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut entries: A) -> Result<Vec<T>, A::Error> {
        let mut list = Vec::new();
        while let Some(entry) = entries.next_element()? {
            if list.len() == MAX_STEPS {
                let message = format!("a list of steps: give at most {MAX_STEPS} entries");
                return Err(A::Error::custom(message));
            }
            list.push(entry);
        }
        Ok(list)
    }
}

fn step_list<'de, T, D>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    T: Deserialize<'de>,
    D: Deserializer<'de>,
{
    deserializer.deserialize_seq(StepList(PhantomData))
}

/// Decodes a submitted job.
///
/// # Errors
///
/// Fails with a message that names the invalid field and its value.
///
/// ```
/// use lycheelock::platform::fleet::read_workflow;
///
/// let body = br#"{"spec":"x","steps":[{"count":2,"cpu":500,"mem_mb":64,"est_ms":900}]}"#;
/// assert_eq!(read_workflow(body).unwrap().steps[0].count, 2);
/// assert!(read_workflow(b"{}").is_err());
/// ```
pub fn read_workflow(body: &[u8]) -> Result<Workflow, String> {
    let workflow = decode(body).map_err(|error| error.to_string())?;
    workflow.check()?;
    Ok(workflow)
}

fn decode(body: &[u8]) -> Result<Workflow, DecodeError> {
    let body: JobBody = serde_json::from_slice(body)?;
    let recurrence = if body.times > 0.0 {
        Some(Recurrence {
            times: amount("times", body.times)?,
            start: span("start_at_ms", body.start_at_ms, MAX_START)?,
            interval: span("interval_ms", body.interval_ms, MAX_SPAN)?,
        })
    } else {
        None
    };
    let steps: Result<Vec<Step>, DecodeError> = body.steps.into_iter().map(step).collect();
    Ok(Workflow {
        payload: body.spec,
        steps: steps?,
        recurrence,
    })
}

fn step(row: StepRow) -> Result<Step, DecodeError> {
    let tail_target = if row.target_ms > 0.0 {
        Some(span("target_ms", row.target_ms, MAX_SPAN)?)
    } else {
        None
    };
    let non_empty = |text: String| (!text.is_empty()).then_some(text);
    Ok(Step {
        count: row.count,
        need: Capacity {
            millicores: amount("cpu", row.cpu)?,
            memory: amount("mem_mb", row.mem_mb)?,
            accelerators: amount("gpu", row.gpu)?,
        },
        estimate: span("est_ms", row.est_ms, MAX_SPAN)?,
        after: row.after,
        checkpoints: row.checkpoint,
        gang: row.gang,
        same_rack: row.same_rack,
        label: non_empty(row.required_label),
        data_rack: non_empty(row.data_rack),
        worker_limit: (row.max_per_server > 0).then_some(row.max_per_server),
        speculative: row.speculative,
        long_running: row.daemon,
        image: row.image,
        tail_target,
        best_effort: row.fills,
        may_miss: row.may_miss,
    })
}

#[derive(Serialize)]
struct StateBody {
    state: &'static str,
}

/// Encodes the answer to a request for a job's state.
pub fn write_state(state: WorkflowState) -> Vec<u8> {
    let state = match state {
        WorkflowState::Queued => "queued",
        WorkflowState::Running => "running",
        WorkflowState::Done => "done",
        WorkflowState::Failed => "failed",
        WorkflowState::Cancelled => "cancelled",
    };
    serde_json::to_vec(&StateBody { state }).expect("plain values have a JSON form")
}

#[derive(Serialize)]
struct PendingBody {
    pending: u64,
}

/// Encodes the answer to a request for the number of a queue's jobs of which no
/// task has started.
pub fn write_pending(pending: u64) -> Vec<u8> {
    serde_json::to_vec(&PendingBody { pending }).expect("plain values have a JSON form")
}
