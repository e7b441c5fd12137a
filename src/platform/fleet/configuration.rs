//! The format of the operator's configuration.

use serde::Deserialize;

use super::decode::{DecodeError, MAX_SPAN, number, span};
use crate::routing::{MAX_STRETCH, Queue, Queues};

#[derive(Deserialize)]
struct Document {
    version: u64,
    #[serde(default)]
    routes: Vec<RouteRow>,
    #[serde(default)]
    limits: LimitRow,
}

/// A route, which defines a queue of jobs. `backend` names the pool of workers
/// that runs them.
#[derive(Deserialize)]
struct RouteRow {
    name: String,
    host: String,
    prefix: String,
    #[serde(default)]
    timeout_ms: f64,
    #[serde(default)]
    target_latency_ms: f64,
    #[serde(default)]
    priority: f64,
    backend: String,
    #[serde(default = "one")]
    attempts: f64,
    #[serde(default = "one")]
    stretch: f64,
}

#[derive(Default, Deserialize)]
struct LimitRow {
    #[serde(default)]
    max_header_bytes: f64,
    #[serde(default)]
    max_body_bytes: f64,
}

const fn one() -> f64 {
    1.0
}

/// The limit on a request's headers, in bytes, if the operator sets none.
const DEFAULT_HEADER_LIMIT: u64 = 16 << 10;
/// The limit on a request's body, in bytes, if the operator sets none.
const DEFAULT_BODY_LIMIT: u64 = 256 << 10;

/// Decodes the queues of the operator's configuration.
///
/// # Errors
///
/// Fails if the value is not a valid configuration.
///
/// ```
/// let text = br#"{"version":7,"routes":[],"services":[],"limits":{}}"#;
/// let queues = lycheelock::platform::fleet::read_queues(text).unwrap();
/// assert_eq!(queues.version, 7);
/// ```
pub fn read_queues(value: &[u8]) -> Result<Queues, DecodeError> {
    let document: Document = serde_json::from_slice(value)?;
    let list: Result<Vec<Queue>, DecodeError> = document.routes.into_iter().map(queue).collect();
    let limit = |given: f64, default: u64| if given > 0.0 { given as u64 } else { default };
    Ok(Queues {
        version: document.version,
        list: list?,
        header_limit: limit(document.limits.max_header_bytes, DEFAULT_HEADER_LIMIT),
        body_limit: limit(document.limits.max_body_bytes, DEFAULT_BODY_LIMIT),
    })
}

fn queue(row: RouteRow) -> Result<Queue, DecodeError> {
    Ok(Queue {
        name: row.name,
        host: row.host,
        prefix: row.prefix,
        pool: row.backend,
        timeout: span("timeout_ms", row.timeout_ms, MAX_SPAN)?,
        latency_target: span("target_latency_ms", row.target_latency_ms, MAX_SPAN)?,
        priority: row.priority.max(0.0) as u32,
        attempts: row.attempts.max(1.0) as u32,
        stretch: number("stretch", row.stretch, MAX_STRETCH)?.max(1.0),
    })
}
