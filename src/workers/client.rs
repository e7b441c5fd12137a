//! Calls one worker by HTTP.

use std::time::Duration;

use reqwest::header::{HeaderMap, HeaderName, HeaderValue};
use reqwest::{Client, Method, Response};

use super::messages::{SyncReply, SyncRequest};
use super::{DEADLINE_HEADER, EPOCH_HEADER, NOT_RUN_HEADER, REQUEST_HEADER};
use crate::ids::{Epoch, RequestId, ShardId};

const OWN_PREFIX: &str = "lycheelock-";

/// Headers that belong to one connection, and are not passed on.
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

/// An interactive request on its way to a worker.
#[derive(Debug, Clone)]
pub struct AttemptRequest {
    /// Its id.
    pub id: RequestId,
    /// The shard of the worker.
    pub shard: ShardId,
    /// The owner's epoch.
    pub epoch: Epoch,
    /// The HTTP method.
    pub method: String,
    /// The service, the path and the query, without a leading slash.
    pub path: String,
    /// The caller's headers.
    pub headers: Vec<HeaderLine>,
    /// The body.
    pub body: Vec<u8>,
    /// The time left.
    pub deadline: Duration,
}

/// A header.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HeaderLine {
    /// The name.
    pub name: String,
    /// The value.
    pub value: String,
}

/// A worker's whole answer.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct WorkerAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The headers to pass on.
    pub headers: Vec<HeaderLine>,
    /// The body.
    #[serde(with = "crate::bytes")]
    pub body: Vec<u8>,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The worker answered.
    Answer(WorkerAnswer),
    /// The worker said that it started nothing.
    Refused(String),
    /// No connection was made, nothing was sent.
    NotSent(String),
    /// The request was sent, the answer is lost.
    Lost(String),
    /// The answer names another request.
    WrongAnswer,
    /// The answer is over the limit.
    TooLarge,
}

/// The connections to one worker.
#[derive(Debug, Clone)]
pub struct WorkerClient {
    client: Client,
    base: String,
    limit: u64,
}

impl WorkerClient {
    /// A worker at `address` whose answers have at most `limit` bytes.
    pub fn new(client: Client, address: &str, limit: u64) -> Self {
        Self {
            client,
            base: format!("http://{address}"),
            limit,
        }
    }

    /// Sends commands; none if no answer came within `silence`.
    pub async fn sync(&self, request: &SyncRequest, silence: Duration) -> Option<SyncReply> {
        let call = self
            .client
            .post(format!("{}/control/sync", self.base))
            .timeout(silence)
            .json(request);
        let response = call.send().await.ok()?;
        response.json().await.ok()
    }

    /// Sends an interactive request and waits for its whole answer.
    pub async fn attempt(&self, request: AttemptRequest) -> AttemptEnd {
        let Ok(method) = Method::from_bytes(request.method.as_bytes()) else {
            return AttemptEnd::NotSent(format!("method {:?}", request.method));
        };
        let id = request.id;
        let call = self
            .client
            .request(method, format!("{}/serve/{}", self.base, request.path))
            .headers(headers(&request))
            .timeout(request.deadline)
            .body(request.body);
        match call.send().await {
            Ok(response) => self.read(id, response).await,
            Err(error) if error.is_connect() || error.is_builder() => {
                AttemptEnd::NotSent(error.to_string())
            }
            Err(error) => AttemptEnd::Lost(error.to_string()),
        }
    }

    async fn read(&self, id: RequestId, mut response: Response) -> AttemptEnd {
        let echoed = response.headers().get(REQUEST_HEADER);
        let same = echoed.and_then(|echo| echo.to_str().ok()) == Some(&id.to_string());
        if !same {
            return AttemptEnd::WrongAnswer;
        }
        if let Some(reason) = response.headers().get(NOT_RUN_HEADER) {
            let reason = reason.to_str().unwrap_or_default();
            return AttemptEnd::Refused(reason.to_owned());
        }
        let status = response.status().as_u16();
        let headers = passed_on(response.headers());
        let mut body = Vec::new();
        loop {
            match response.chunk().await {
                Ok(Some(chunk)) => body.extend_from_slice(&chunk),
                Ok(None) => break,
                Err(error) => return AttemptEnd::Lost(error.to_string()),
            }
            if body.len() as u64 > self.limit {
                return AttemptEnd::TooLarge;
            }
        }
        AttemptEnd::Answer(WorkerAnswer {
            status,
            headers,
            body,
        })
    }
}

/// Whether a header goes from a caller to a worker or back.
///
/// ```
/// assert!(lycheelock::workers::passes("Accept"));
/// assert!(!lycheelock::workers::passes("Lycheelock-Epoch"));
/// ```
pub fn passes(name: &str) -> bool {
    let name = name.to_ascii_lowercase();
    !name.starts_with(OWN_PREFIX) && !CONNECTION_HEADERS.contains(&name.as_str())
}

fn headers(request: &AttemptRequest) -> HeaderMap {
    let mut map = HeaderMap::new();
    let own = [
        (REQUEST_HEADER, request.id.to_string()),
        (EPOCH_HEADER, format!("{}/{}", request.shard, request.epoch)),
        (DEADLINE_HEADER, request.deadline.as_millis().to_string()),
    ];
    let lines = request.headers.iter().filter(|line| passes(&line.name));
    for line in lines {
        let name = HeaderName::from_bytes(line.name.as_bytes());
        let value = HeaderValue::from_str(&line.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            map.append(name, value);
        }
    }
    for (name, value) in own {
        let value = HeaderValue::from_str(&value).expect("digits and dashes");
        map.insert(name, value);
    }
    map
}

fn passed_on(headers: &HeaderMap) -> Vec<HeaderLine> {
    let lines = headers.iter().filter(|(name, _)| passes(name.as_str()));
    lines
        .filter_map(|(name, value)| {
            Some(HeaderLine {
                name: name.as_str().to_owned(),
                value: value.to_str().ok()?.to_owned(),
            })
        })
        .collect()
}
