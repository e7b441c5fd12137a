//! The HTTP client of the platform.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::{Client, Method, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::messages::{Entry, GrantBody, Hosts, PutBody, Range, StoreOp, StoreReply, Version};
use crate::bounded::{ReadError, read_bounded};

/// A call to the platform that failed. A write may have taken effect.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("platform: {0}")]
pub struct StoreFailure(pub String);

impl From<reqwest::Error> for StoreFailure {
    fn from(error: reqwest::Error) -> Self {
        Self(error.to_string())
    }
}

impl From<ReadError> for StoreFailure {
    fn from(error: ReadError) -> Self {
        Self(error.to_string())
    }
}

/// The limit on an answer, in bytes.
const MAX_ANSWER_BYTES: u64 = 32 << 20;

type Answer<T> = Result<T, StoreFailure>;

/// A client of the platform with a connection pool.
#[derive(Debug, Clone)]
pub struct Platform {
    client: Client,
    base: String,
}

impl Platform {
    /// Creates a client for the platform at `address`. Unanswered calls fail after
    /// `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let client = Client::builder()
            .timeout(timeout)
            .connect_timeout(timeout)
            .build()
            .expect("a client without TLS needs nothing that can fail");
        Self {
            client,
            base: format!("http://{address}/v1"),
        }
    }

    /// Executes one operation.
    ///
    /// # Errors
    ///
    /// Fails if there was no valid answer; a write may have taken effect anyway.
    pub async fn call(&self, op: StoreOp) -> Answer<StoreReply> {
        match op {
            StoreOp::Get { key } => self.get(&key).await.map(StoreReply::Value),
            StoreOp::Range { prefix } => {
                let range: Range = self.fetch(&format!("range?prefix={prefix}")).await?;
                Ok(StoreReply::Entries(range.entries))
            }
            StoreOp::Put {
                key,
                value,
                expect,
                lease,
            } => {
                let body = PutBody {
                    value,
                    expect,
                    lease,
                };
                self.put(&key, &body).await
            }
            StoreOp::Delete { key } => {
                let path = format!("kv/{key}");
                check_status(self.send(Method::DELETE, &path, None::<&()>).await?)?;
                Ok(StoreReply::Done)
            }
            StoreOp::Grant { ttl_ms } => self.grant(ttl_ms).await,
            StoreOp::Renew { lease } => {
                let path = format!("leases/{}", lease.0);
                self.send_lease(Method::POST, &path).await
            }
            StoreOp::Revoke { lease } => {
                let path = format!("leases/{}", lease.0);
                self.send_lease(Method::DELETE, &path).await
            }
        }
    }

    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Fails if there was no valid answer.
    pub async fn get(&self, key: &str) -> Answer<Option<Entry>> {
        let response = self
            .send(Method::GET, &format!("kv/{key}"), None::<&()>)
            .await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        Ok(Some(read(check_status(response)?).await?))
    }

    /// Waits up to `wait` for changes under a prefix after a version.
    ///
    /// # Errors
    ///
    /// Fails if there was no valid answer.
    pub async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Answer<Range> {
        let wait_ms = wait.as_millis();
        self.fetch(&format!(
            "watch?prefix={prefix}&after={after}&wait_ms={wait_ms}"
        ))
        .await
    }

    /// Reads the host list.
    ///
    /// # Errors
    ///
    /// Fails if there was no valid answer.
    pub async fn hosts(&self) -> Answer<Hosts> {
        self.fetch("hosts").await
    }

    async fn put(&self, key: &str, body: &PutBody) -> Answer<StoreReply> {
        let response = self
            .send(Method::POST, &format!("kv/{key}"), Some(body))
            .await?;
        match response.status() {
            StatusCode::CONFLICT => Ok(StoreReply::Conflict),
            StatusCode::GONE => Ok(StoreReply::LeaseGone),
            _ => {
                let written: Version = read(check_status(response)?).await?;
                Ok(StoreReply::Written(written.version))
            }
        }
    }

    async fn grant(&self, ttl_ms: u64) -> Answer<StoreReply> {
        let body = GrantBody {
            ttl_ms,
            lease: None,
        };
        let response = self.send(Method::POST, "leases", Some(&body)).await?;
        let granted: GrantBody = read(check_status(response)?).await?;
        granted
            .lease
            .map(StoreReply::Granted)
            .ok_or_else(|| StoreFailure("the answer to a grant has no lease".to_owned()))
    }

    async fn send_lease(&self, method: Method, path: &str) -> Answer<StoreReply> {
        let response = self.send(method, path, None::<&()>).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(StoreReply::LeaseGone);
        }
        check_status(response)?;
        Ok(StoreReply::Done)
    }

    async fn fetch<T: DeserializeOwned>(&self, path: &str) -> Answer<T> {
        let response = self.send(Method::GET, path, None::<&()>).await?;
        read(check_status(response)?).await
    }

    async fn send<T: Serialize>(
        &self,
        method: Method,
        path: &str,
        body: Option<&T>,
    ) -> Answer<Response> {
        let mut request = self.client.request(method, format!("{}/{path}", self.base));
        if let Some(body) = body {
            request = request.json(body);
        }
        Ok(request.send().await?)
    }
}

async fn read<T: DeserializeOwned>(response: Response) -> Answer<T> {
    let body = read_bounded(response, MAX_ANSWER_BYTES).await?;
    serde_json::from_slice(&body).map_err(|error| StoreFailure(error.to_string()))
}

fn check_status(response: Response) -> Answer<Response> {
    if response.status().is_success() {
        return Ok(response);
    }
    Err(StoreFailure(format!("status {}", response.status())))
}
