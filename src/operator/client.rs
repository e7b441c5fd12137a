//! An HTTP client for entry hosts.

use std::time::Duration;

use reqwest::{Client, Method, RequestBuilder, StatusCode};
use serde::de::DeserializeOwned;

use crate::configuration::Configuration;
use crate::front::{EntryStatus, EvacuationBody, JobIdBody, Published};
use crate::jobs::{Account, JobSpec, JobView};
use crate::{Error, Result};

/// The timeout of a request to an entry host.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// An HTTP client for one entry host.
#[derive(Debug, Clone)]
pub struct EntryClient {
    http: Client,
    address: String,
    token: String,
    team: Option<String>,
}

/// The JSON body of a refusal.
#[derive(serde::Deserialize)]
struct RefusalBody {
    error: String,
    run: String,
    message: String,
}

impl EntryClient {
    /// Creates a client with the operators' token, or with a team and its token.
    pub fn new(address: &str, token: &str, team: Option<&str>) -> Self {
        Self {
            http: Client::new(),
            address: address.to_owned(),
            token: token.to_owned(),
            team: team.map(str::to_owned),
        }
    }

    /// Returns the state of the entry host.
    ///
    /// # Errors
    ///
    /// Fails when the host does not answer or refuses the request.
    pub async fn status(&self) -> Result<EntryStatus> {
        self.send(self.request(Method::GET, "status")).await
    }

    /// Publishes a configuration; returns its revision.
    ///
    /// # Errors
    ///
    /// Fails when the host does not answer or refuses the request.
    pub async fn publish(&self, wanted: &Configuration) -> Result<u64> {
        let request = self.request(Method::POST, "configuration").json(wanted);
        let published: Published = self.send(request).await?;
        Ok(published.revision)
    }

    /// Submits a job; returns its id.
    ///
    /// # Errors
    ///
    /// Fails when the host does not answer or refuses the request.
    pub async fn submit(&self, spec: &JobSpec, key: Option<&str>) -> Result<String> {
        let mut request = self.request(Method::POST, "jobs").json(spec);
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let accepted: JobIdBody = self.send(request).await?;
        Ok(accepted.id)
    }

    /// Returns the state of a job.
    ///
    /// # Errors
    ///
    /// Fails when the host does not answer or refuses the request.
    pub async fn job(&self, id: &str) -> Result<JobView> {
        self.send(self.request(Method::GET, &format!("jobs/{id}")))
            .await
    }

    /// Cancels a job.
    ///
    /// # Errors
    ///
    /// Fails when the host does not answer or refuses the request.
    pub async fn cancel(&self, id: &str) -> Result<()> {
        let request = self.request(Method::DELETE, &format!("jobs/{id}"));
        let _: JobIdBody = self.send(request).await?;
        Ok(())
    }

    /// Returns the account of what ran, what did not, and why.
    ///
    /// # Errors
    ///
    /// Fails when the host does not answer or refuses the request.
    pub async fn account(&self) -> Result<Account> {
        self.send(self.request(Method::GET, "account")).await
    }

    /// Requests the evacuation of an availability zone, or ends it.
    ///
    /// # Errors
    ///
    /// Fails when the host does not answer or refuses the request.
    pub async fn evacuate(&self, zone: &str, end: bool) -> Result<EvacuationBody> {
        let method = match end {
            true => Method::DELETE,
            false => Method::POST,
        };
        self.send(self.request(method, &format!("evacuations/{zone}")))
            .await
    }

    /// Starts a planned stop of the host.
    ///
    /// # Errors
    ///
    /// Fails when the host does not answer or refuses the request.
    pub async fn drain(&self) -> Result<()> {
        let _: String = self.send(self.request(Method::POST, "drain")).await?;
        Ok(())
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        let url = format!("http://{}/v1/{path}", self.address);
        let mut request = self.http.request(method, url).timeout(REQUEST_TIMEOUT);
        request = request.bearer_auth(&self.token);
        match &self.team {
            Some(team) => request.header("lycheelock-team", team),
            None => request,
        }
    }

    async fn send<T: DeserializeOwned>(&self, request: RequestBuilder) -> Result<T> {
        let unreachable = |error: reqwest::Error| Error::Unreachable {
            address: self.address.clone(),
            reason: error.to_string(),
        };
        let response = request.send().await.map_err(unreachable)?;
        let status = response.status();
        let text = response.text().await.map_err(unreachable)?;
        if !status.is_success() {
            return Err(self.refusal(status, &text));
        }
        serde_json::from_str(&text).map_err(|error| Error::Refused {
            address: self.address.clone(),
            message: format!("cannot parse the answer: {error}"),
        })
    }

    /// Builds the error for an answer with a failure status.
    fn refusal(&self, status: StatusCode, text: &str) -> Error {
        let message = match serde_json::from_str::<RefusalBody>(text) {
            Ok(body) => format!("{} (run: {}): {}", body.error, body.run, body.message),
            Err(_) => format!("status {status}"),
        };
        Error::Refused {
            address: self.address.clone(),
            message,
        }
    }
}
