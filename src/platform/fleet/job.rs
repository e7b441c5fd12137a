//! The bodies of submitted jobs and of the answers about jobs.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fleet::Capacity;
use crate::workflow::{Recurrence, Step, Workflow, WorkflowState};

/// The header with the time that the caller waits for the answer, in milliseconds.
pub const DEADLINE_HEADER: &str = "X-Lycheelock-Deadline-Ms";

#[derive(Deserialize)]
struct JobBody {
    /// Opaque text that is passed to every task at its start.
    #[serde(default)]
    spec: String,
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
    #[serde(default)]
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
    let body: JobBody = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let recurrence = (body.times > 0.0).then(|| Recurrence {
        times: body.times as u32,
        start: Duration::from_millis(body.start_at_ms.max(0.0) as u64),
        interval: Duration::from_millis(body.interval_ms.max(0.0) as u64),
    });
    let workflow = Workflow {
        payload: body.spec,
        steps: body.steps.into_iter().map(step).collect(),
        recurrence,
    };
    workflow.check()?;
    Ok(workflow)
}

fn step(row: StepRow) -> Step {
    let non_empty = |text: String| (!text.is_empty()).then_some(text);
    Step {
        count: row.count,
        need: Capacity {
            millicores: row.cpu.max(0.0) as u32,
            memory: row.mem_mb.max(0.0) as u32,
            accelerators: row.gpu.max(0.0) as u32,
        },
        estimate: Duration::from_millis(row.est_ms.max(0.0) as u64),
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
        tail_target: (row.target_ms > 0.0).then(|| Duration::from_secs_f64(row.target_ms / 1000.0)),
        best_effort: row.fills,
        may_miss: row.may_miss,
    }
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
