//! Calls an entry host by HTTP.

use std::time::Duration;

use reqwest::{Client, Method, RequestBuilder, StatusCode};
use serde::de::DeserializeOwned;

use crate::configuration::Configuration;
use crate::front::{AcceptedJob, EntryStatus, Published};
use crate::jobs::{Account, JobSpec, JobView};
use crate::{Error, Result};

const PATIENCE: Duration = Duration::from_secs(30);

/// A client of one entry host.
#[derive(Debug, Clone)]
pub struct EntryClient {
    http: Client,
    address: String,
    token: String,
    team: Option<String>,
}

/// The body of a refusal.
#[derive(serde::Deserialize)]
struct RefusalBody {
    error: String,
    run: String,
    message: String,
}

impl EntryClient {
    /// A client with an operators' token, or with a team and its token.
    pub fn new(address: &str, token: &str, team: Option<&str>) -> Self {
        Self {
            http: Client::new(),
            address: address.to_owned(),
            token: token.to_owned(),
            team: team.map(str::to_owned),
        }
    }

    /// The state of the entry host.
    ///
    /// # Errors
    ///
    /// Fails when the host does not answer or refuses.
    pub async fn status(&self) -> Result<EntryStatus> {
        self.send(self.call(Method::GET, "status")).await
    }

    /// Publishes a configuration; returns its revision.
    ///
    /// # Errors
    ///
    /// Fails when the host does not answer or refuses.
    pub async fn publish(&self, wanted: &Configuration) -> Result<u64> {
        let call = self.call(Method::POST, "configuration").json(wanted);
        let published: Published = self.send(call).await?;
        Ok(published.revision)
    }

    /// Submits a job; returns its id.
    ///
    /// # Errors
    ///
    /// Fails when the host does not answer or refuses.
    pub async fn submit(&self, spec: &JobSpec, key: Option<&str>) -> Result<String> {
        let mut call = self.call(Method::POST, "jobs").json(spec);
        if let Some(key) = key {
            call = call.header("idempotency-key", key);
        }
        let accepted: AcceptedJob = self.send(call).await?;
        Ok(accepted.id)
    }

    /// Looks up a job.
    ///
    /// # Errors
    ///
    /// Fails when the host does not answer or refuses.
    pub async fn job(&self, id: &str) -> Result<JobView> {
        self.send(self.call(Method::GET, &format!("jobs/{id}")))
            .await
    }

    /// Cancels a job.
    ///
    /// # Errors
    ///
    /// Fails when the host does not answer or refuses.
    pub async fn cancel(&self, id: &str) -> Result<()> {
        let call = self.call(Method::DELETE, &format!("jobs/{id}"));
        let _: AcceptedJob = self.send(call).await?;
        Ok(())
    }

    /// The account of what ran and what did not.
    ///
    /// # Errors
    ///
    /// Fails when the host does not answer or refuses.
    pub async fn account(&self) -> Result<Account> {
        self.send(self.call(Method::GET, "account")).await
    }

    /// Begins a planned stop of the host.
    ///
    /// # Errors
    ///
    /// Fails when the host does not answer or refuses.
    pub async fn drain(&self) -> Result<()> {
        let _: String = self.send(self.call(Method::POST, "drain")).await?;
        Ok(())
    }

    fn call(&self, method: Method, path: &str) -> RequestBuilder {
        let url = format!("http://{}/v1/{path}", self.address);
        let mut call = self.http.request(method, url).timeout(PATIENCE);
        call = call.bearer_auth(&self.token);
        match &self.team {
            Some(team) => call.header("lycheelock-team", team),
            None => call,
        }
    }

    async fn send<T: DeserializeOwned>(&self, call: RequestBuilder) -> Result<T> {
        let unreachable = |error: reqwest::Error| Error::Unreachable {
            address: self.address.clone(),
            reason: error.to_string(),
        };
        let response = call.send().await.map_err(unreachable)?;
        let status = response.status();
        let text = response.text().await.map_err(unreachable)?;
        if !status.is_success() {
            return Err(self.refused(status, &text));
        }
        serde_json::from_str(&text).map_err(|error| Error::Refused {
            address: self.address.clone(),
            message: format!("an answer that is not understood: {error}"),
        })
    }

    fn refused(&self, status: StatusCode, text: &str) -> Error {
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
