//! An HTTP client for one worker.

use std::time::Duration;

use hyper::body::Bytes;
use reqwest::header::{HeaderMap, HeaderName, HeaderValue};
use reqwest::redirect::Policy;
use reqwest::{Client, Method, Response};

use super::messages::{BootId, SyncReply, SyncRequest};
use super::{BOOT_HEADER, DEADLINE_HEADER, EPOCH_HEADER, NOT_RUN_HEADER, REQUEST_HEADER};
use crate::bounded::read_bounded;
use crate::ids::{Epoch, RequestId, ShardId};
use crate::overload::Charge;

/// Prefix of lycheelock's own headers, which are never forwarded.
const RESERVED_PREFIX: &str = "lycheelock-";

/// The time after which an idle connection to a worker is closed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Headers that apply to a single connection and are not forwarded.
const CONNECTION_HEADERS: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
];

/// An interactive request as it is sent to a worker.
#[derive(Debug, Clone)]
pub struct WorkerRequest {
    /// The id of the request, which the worker repeats in its answer.
    pub id: RequestId,
    /// The shard that the worker belongs to.
    pub shard: ShardId,
    /// The epoch of the shard's owner.
    pub epoch: Epoch,
    /// The process of the worker that the request is meant for.
    pub boot: BootId,
    /// The HTTP method.
    pub method: String,
    /// The service name, path and query string, without a leading slash.
    pub path: String,
    /// The headers of the caller.
    pub headers: Vec<HeaderLine>,
    /// The request body.
    pub body: Bytes,
    /// The time left until the caller's deadline.
    pub deadline: Duration,
}

/// One HTTP header.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HeaderLine {
    /// The name of the header.
    pub name: String,
    /// The value of the header.
    pub value: String,
}

/// The complete answer of a worker.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct WorkerAnswer {
    /// The HTTP status code.
    pub status: u16,
    /// The headers to forward to the caller.
    pub headers: Vec<HeaderLine>,
    /// The body of the answer.
    #[serde(with = "crate::bytes")]
    pub body: Vec<u8>,
}

/// What came of sending a request to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The worker answered.
    Answer(WorkerAnswer),
    /// The worker refused the request and started nothing; with its reason.
    Refused(String),
    /// No connection could be made, or the request is invalid; nothing was sent.
    NotSent(String),
    /// The request was sent, but the answer was lost.
    Lost(String),
    /// The answer carries the id of another request, or none.
    WrongAnswer,
    /// The answer exceeds the size limit.
    TooLarge,
    /// The worker answered, but the budget for requests in progress does not allow the
    /// answer.
    NoBudget,
}

/// Creates the HTTP client with which an entry host calls its workers.
pub fn http_client(connect_timeout: Duration) -> Client {
    Client::builder()
        .connect_timeout(connect_timeout)
        .pool_idle_timeout(POOL_IDLE_TIMEOUT)
        // A redirect is the worker's answer; following it would send the request again.
        .redirect(Policy::none())
        .build()
        .expect("building a client without TLS cannot fail")
}

/// A client for one worker, with its connection pool.
#[derive(Debug, Clone)]
pub struct WorkerClient {
    client: Client,
    base_url: String,
    max_bytes: u64,
}

impl WorkerClient {
    /// Creates a client for the worker at `address`, whose answers may have at most
    /// `max_bytes` bytes.
    pub fn new(client: Client, address: &str, max_bytes: u64) -> Self {
        Self {
            client,
            base_url: format!("http://{address}"),
            max_bytes,
        }
    }

    /// Sends commands. Returns `None` if no valid answer arrives within `timeout`.
    pub async fn sync(&self, request: &SyncRequest, timeout: Duration) -> Option<SyncReply> {
        let call = self
            .client
            .post(format!("{}/control/sync", self.base_url))
            .timeout(timeout)
            .json(request);
        let response = call.send().await.ok()?;
        let body = read_bounded(response, self.max_bytes).await.ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Sends an interactive request and waits for the complete answer. Its bytes are
    /// added to the charge.
    pub async fn attempt(&self, request: WorkerRequest, charge: &Charge) -> AttemptOutcome {
        let Ok(method) = Method::from_bytes(request.method.as_bytes()) else {
            return AttemptOutcome::NotSent(format!("method {:?}", request.method));
        };
        let id = request.id;
        let call = self
            .client
            .request(method, format!("{}/serve/{}", self.base_url, request.path))
            .headers(worker_headers(&request))
            .timeout(request.deadline)
            .body(request.body);
        match call.send().await {
            Ok(response) => {
                let before = charge.bytes();
                let outcome = self.read_answer(id, response, charge).await;
                if !matches!(outcome, AttemptOutcome::Answer(_)) {
                    charge.shrink(before);
                }
                outcome
            }
            Err(error) if error.is_connect() || error.is_builder() => {
                AttemptOutcome::NotSent(error.to_string())
            }
            Err(error) => AttemptOutcome::Lost(error.to_string()),
        }
    }

    async fn read_answer(
        &self,
        id: RequestId,
        mut response: Response,
        charge: &Charge,
    ) -> AttemptOutcome {
        let echoed = response.headers().get(REQUEST_HEADER);
        let same = echoed.and_then(|echo| echo.to_str().ok()) == Some(&id.to_string());
        if !same {
            return AttemptOutcome::WrongAnswer;
        }
        if let Some(reason) = response.headers().get(NOT_RUN_HEADER) {
            let reason = reason.to_str().unwrap_or_default();
            return AttemptOutcome::Refused(reason.to_owned());
        }
        let status = response.status().as_u16();
        let headers = forwarded_headers(response.headers());
        let length = response.content_length().unwrap_or_default();
        if length > self.max_bytes {
            return AttemptOutcome::TooLarge;
        }
        if !charge.reserve(length).await {
            return AttemptOutcome::NoBudget;
        }
        let mut body = Vec::with_capacity(length as usize);
        loop {
            let chunk = match response.chunk().await {
                Ok(Some(chunk)) => chunk,
                Ok(None) => break,
                Err(error) => return AttemptOutcome::Lost(error.to_string()),
            };
            let needed = body.len() + chunk.len();
            if needed as u64 > self.max_bytes {
                return AttemptOutcome::TooLarge;
            }
            if needed > body.capacity() {
                let doubled = needed.max(body.capacity() * 2);
                if !charge.reserve((doubled - body.capacity()) as u64).await {
                    return AttemptOutcome::NoBudget;
                }
                body.reserve_exact(doubled - body.len());
            }
            body.extend_from_slice(&chunk);
        }
        AttemptOutcome::Answer(WorkerAnswer {
            status,
            headers,
            body,
        })
    }
}

/// Returns whether a header is forwarded between caller and worker.
///
/// ```
/// assert!(lycheelock::workers::is_forwarded("Accept"));
/// assert!(!lycheelock::workers::is_forwarded("Lycheelock-Epoch"));
/// ```
pub fn is_forwarded(name: &str) -> bool {
    let name = name.to_ascii_lowercase();
    !name.starts_with(RESERVED_PREFIX) && !CONNECTION_HEADERS.contains(&name.as_str())
}

fn worker_headers(request: &WorkerRequest) -> HeaderMap {
    let mut map = HeaderMap::new();
    let own = [
        (BOOT_HEADER, request.boot.0.to_string()),
        (REQUEST_HEADER, request.id.to_string()),
        (EPOCH_HEADER, format!("{}/{}", request.shard, request.epoch)),
        (DEADLINE_HEADER, request.deadline.as_millis().to_string()),
    ];
    let lines = request
        .headers
        .iter()
        .filter(|line| is_forwarded(&line.name));
    for line in lines {
        let name = HeaderName::from_bytes(line.name.as_bytes());
        let value = HeaderValue::from_str(&line.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            map.append(name, value);
        }
    }
    for (name, value) in own {
        let value = HeaderValue::from_str(&value).expect("ids and numbers are valid header values");
        map.insert(name, value);
    }
    map
}

fn forwarded_headers(headers: &HeaderMap) -> Vec<HeaderLine> {
    let lines = headers
        .iter()
        .filter(|(name, _)| is_forwarded(name.as_str()));
    lines
        .filter_map(|(name, value)| {
            Some(HeaderLine {
                name: name.as_str().to_owned(),
                value: value.to_str().ok()?.to_owned(),
            })
        })
        .collect()
}
