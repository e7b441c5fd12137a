//! The client of the platform's key-value store.

use std::fmt;
use std::net::SocketAddr;
use std::sync::RwLock;
use std::time::Duration;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use reqwest::{Client, RequestBuilder, StatusCode};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use thiserror::Error;

use super::connections::{Connections, Generation};
use crate::bounded::{ReadError, read_bounded};

/// The time that the answer to a watch may take in addition to its wait.
const WATCH_MARGIN: Duration = Duration::from_millis(800);
/// The limit on one answer, in bytes.
const MAX_ANSWER_BYTES: u64 = 32 << 20;

/// Why a call to the store has no result.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StoreFault {
    /// The store refused the call, or was not reached; nothing was changed.
    #[error("the store refused: {0}")]
    Refused(String),
    /// No answer arrived; a change may have taken effect, or may still do so.
    #[error("no answer from the store: {0}")]
    Unanswered(String),
    /// The answer could not be decoded.
    #[error("the store's answer could not be decoded: {0}")]
    Unreadable(String),
}

impl StoreFault {
    /// Returns true if it is certain that nothing was changed.
    pub const fn had_no_effect(&self) -> bool {
        matches!(self, Self::Refused(_))
    }
}

/// Bytes that are transmitted as standard base64 with padding. Other text is read as no
/// bytes, which no format accepts, so that one odd value does not make a page unreadable.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Bytes(pub Vec<u8>);

impl Serialize for Bytes {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&BASE64_STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Bytes {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_str(BytesVisitor)
    }
}

struct BytesVisitor;

impl serde::de::Visitor<'_> for BytesVisitor {
    type Value = Bytes;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("base64 text")
    }

    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<Bytes, E> {
        Ok(Bytes(BASE64_STANDARD.decode(text).unwrap_or_default()))
    }
}

/// A key-value pair of the store.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Item {
    /// The full key, with its prefix.
    pub key: String,
    /// The value, as the bytes that were written.
    pub value: Bytes,
    /// The revision of the last change of the key.
    #[serde(rename = "rev")]
    pub revision: u64,
}

/// A change that a watch reports.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// The key was written.
    Written(Item),
    /// The key was removed.
    Removed {
        /// The full key, with its prefix.
        key: String,
        /// The revision of the removal.
        #[serde(rename = "rev")]
        revision: u64,
    },
}

impl Change {
    /// Returns the key that changed.
    pub fn key(&self) -> &str {
        match self {
            Self::Written(item) => &item.key,
            Self::Removed { key, .. } => key,
        }
    }
}

/// All items under a prefix, as read page by page.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Page {
    /// The items, in the order of their keys.
    pub items: Vec<Item>,
    /// The store's revision at the first page. Items of later pages may be newer.
    pub revision: u64,
}

/// The result of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Watched {
    /// The changes, and the revision to continue from.
    Changes(Vec<Change>, u64),
    /// The store no longer has the history since that revision; the prefix must
    /// be read again.
    Compacted,
}

/// The result of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Commit {
    /// The transaction took effect at this revision.
    Done(u64),
    /// A condition did not hold. Contains the current items of the keys that the
    /// conditions name.
    Conflict(Vec<Item>),
    /// A lease that the transaction uses has ended.
    LeaseGone,
}

/// Changes that take effect atomically if all conditions hold.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Transaction {
    #[serde(rename = "precondition")]
    conditions: Vec<ConditionRow>,
    #[serde(rename = "set_keys")]
    sets: Vec<SetRow>,
    #[serde(rename = "remove")]
    removals: Vec<String>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct ConditionRow {
    key: String,
    #[serde(rename = "rev")]
    revision: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct SetRow {
    key: String,
    value: Bytes,
    #[serde(skip_serializing_if = "Option::is_none")]
    lease: Option<u64>,
}

impl Transaction {
    /// The store's limit on the rows of one transaction.
    pub const MAX_ROWS: usize = 32;

    /// Requires that the key was last changed at this revision; 0 requires that it
    /// does not exist.
    pub fn require(mut self, key: &str, revision: u64) -> Self {
        let key = key.to_owned();
        self.conditions.push(ConditionRow { key, revision });
        self
    }

    /// Writes a key.
    pub fn set(mut self, key: &str, value: Vec<u8>) -> Self {
        self.sets.push(SetRow {
            key: key.to_owned(),
            value: Bytes(value),
            lease: None,
        });
        self
    }

    /// Writes a key that is removed when the lease ends.
    pub fn set_leased(mut self, key: &str, value: Vec<u8>, lease: u64) -> Self {
        self.sets.push(SetRow {
            key: key.to_owned(),
            value: Bytes(value),
            lease: Some(lease),
        });
        self
    }

    /// Removes a key.
    pub fn remove(mut self, key: &str) -> Self {
        self.removals.push(key.to_owned());
        self
    }
}

#[derive(Deserialize)]
struct RangeAnswer {
    items: Vec<Item>,
    #[serde(default)]
    has_more: bool,
    #[serde(rename = "current_rev")]
    revision: u64,
}

#[derive(Deserialize)]
struct WatchAnswer {
    events: Vec<Change>,
    #[serde(rename = "current_rev")]
    revision: u64,
}

#[derive(Deserialize)]
struct CommitAnswer {
    #[serde(rename = "rev")]
    revision: u64,
}

#[derive(Deserialize)]
struct ConflictAnswer {
    #[serde(default)]
    items: Vec<Item>,
}

#[derive(Serialize)]
struct LeaseBody {
    ttl_ms: u64,
}

#[derive(Deserialize)]
struct LeaseAnswer {
    lease: u64,
}

/// A client of the store. All tasks share its connections.
#[derive(Debug)]
pub struct Store {
    connections: Connections,
    base: RwLock<String>,
    timeout: Duration,
}

type Answer<T> = Result<T, StoreFault>;

impl Store {
    /// Creates a client for the store at `address`. Unanswered calls fail after
    /// `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            connections: Connections::new(timeout),
            base: RwLock::new(format!("http://{address}")),
            timeout,
        }
    }

    /// Sends all further calls to another address.
    pub fn move_to(&self, address: SocketAddr) {
        *self.base.write().expect("no holder panics") = format!("http://{address}");
    }

    /// Reads one key. The answer is at least as new as the call.
    ///
    /// # Errors
    ///
    /// Fails if the store refused or did not answer.
    pub async fn get(&self, key: &str) -> Answer<Option<Item>> {
        let build = |client: &Client| client.get(self.url("kv-key")).query(&[("key", key)]);
        let (status, body) = self.send(build, self.timeout).await?;
        if status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        decode(&check_status(status, body)?).map(Some)
    }

    /// Reads all items under a prefix, page by page. A `stale` read is cheaper, but
    /// its result may be seconds old.
    ///
    /// # Errors
    ///
    /// Fails if the store refused or did not answer.
    pub async fn range(&self, prefix: &str, stale: bool) -> Answer<Page> {
        let mut page = Page::default();
        let mut after = String::new();
        loop {
            let mut query = vec![("prefix", prefix)];
            if stale {
                query.push(("serializable", "1"));
            }
            if !after.is_empty() {
                query.push(("after", after.as_str()));
            }
            let build = |client: &Client| client.get(self.url("kv-range")).query(&query);
            let (status, body) = self.send(build, self.timeout).await?;
            let answer: RangeAnswer = decode(&check_status(status, body)?)?;
            if page.revision == 0 {
                page.revision = answer.revision;
            }
            page.items.extend(answer.items);
            match page.items.last() {
                Some(last) if answer.has_more => after = last.key.clone(),
                _ => return Ok(page),
            }
        }
    }

    /// Waits up to `wait` for changes under a prefix after a revision. Returns no changes earlier
    /// if its connection may be silent.
    ///
    /// # Errors
    ///
    /// Fails if the store refused, ended the watch early or did not answer.
    pub async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Answer<Watched> {
        let generation = self.connections.current();
        tokio::select! {
            watched = self.watch_on(&generation, prefix, after, wait) => watched,
            () = self.connections.wait_superseded(&generation) => {
                Ok(Watched::Changes(Vec::new(), after))
            }
        }
    }

    async fn watch_on(
        &self,
        generation: &Generation,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Answer<Watched> {
        let after = after.to_string();
        let wait_ms = wait.as_millis().to_string();
        let query = [
            ("prefix", prefix),
            ("after", after.as_str()),
            ("wait_ms", wait_ms.as_str()),
        ];
        let call = generation.client.get(self.url("kv-watch")).query(&query);
        let (status, body) = self.send_on(generation, call, wait + WATCH_MARGIN).await?;
        if status == StatusCode::GONE {
            return Ok(Watched::Compacted);
        }
        let answer: WatchAnswer = decode(&check_status(status, body)?)?;
        Ok(Watched::Changes(answer.events, answer.revision))
    }

    /// Commits a transaction.
    ///
    /// # Errors
    ///
    /// Fails if the store refused or did not answer. After
    /// [`StoreFault::Unanswered`] the transaction may have taken effect, or may do
    /// so later.
    pub async fn commit(&self, transaction: &Transaction) -> Answer<Commit> {
        self.commit_within(transaction, self.timeout).await
    }

    /// Commits a transaction like [`Store::commit`], with a time limit of its own.
    ///
    /// # Errors
    ///
    /// The same.
    pub async fn commit_within(
        &self,
        transaction: &Transaction,
        timeout: Duration,
    ) -> Answer<Commit> {
        let build = |client: &Client| client.post(self.url("kv-txn")).json(transaction);
        let (status, body) = self.send(build, timeout).await?;
        match status {
            StatusCode::PRECONDITION_FAILED => {
                decode::<ConflictAnswer>(&body).map(|answer| Commit::Conflict(answer.items))
            }
            StatusCode::NOT_FOUND => Ok(Commit::LeaseGone),
            _ => {
                let answer: CommitAnswer = decode(&check_status(status, body)?)?;
                Ok(Commit::Done(answer.revision))
            }
        }
    }

    /// Grants a lease.
    ///
    /// # Errors
    ///
    /// Fails if the store refused or did not answer.
    pub async fn grant(&self, ttl: Duration) -> Answer<u64> {
        let ttl_ms = ttl.as_millis() as u64;
        let lease = LeaseBody { ttl_ms };
        let build = |client: &Client| client.post(self.url("kv-lease")).json(&lease);
        let (status, body) = self.send(build, self.timeout).await?;
        let answer: LeaseAnswer = decode(&check_status(status, body)?)?;
        Ok(answer.lease)
    }

    /// Renews a lease, unless that takes longer than `timeout`. Returns false if the lease has
    /// already ended.
    ///
    /// # Errors
    ///
    /// Fails if the store refused or did not answer.
    pub async fn renew(&self, lease: u64, timeout: Duration) -> Answer<bool> {
        let url = self.url(&format!("kv-keep/{lease}"));
        let build = |client: &Client| client.post(&url);
        let (status, body) = self.send(build, timeout).await?;
        if status == StatusCode::NOT_FOUND {
            return Ok(false);
        }
        check_status(status, body).map(|_| true)
    }

    fn url(&self, path: &str) -> String {
        let base = self.base.read().expect("no holder panics");
        format!("{base}/{path}")
    }

    async fn send(
        &self,
        build: impl Fn(&Client) -> RequestBuilder,
        timeout: Duration,
    ) -> Answer<(StatusCode, Vec<u8>)> {
        let generation = self.connections.current();
        let call = build(&generation.client);
        self.send_on(&generation, call, timeout).await
    }

    async fn send_on(
        &self,
        generation: &Generation,
        call: RequestBuilder,
        timeout: Duration,
    ) -> Answer<(StatusCode, Vec<u8>)> {
        let answer = read_answer(call.timeout(timeout)).await;
        match &answer {
            Ok(_) | Err(ReadError::TooLarge(_)) => self.connections.on_answer(generation),
            Err(ReadError::Failed(error)) if error.is_timeout() && !error.is_connect() => {
                self.connections.on_timeout(generation)
            }
            Err(_) => {}
        }
        answer.map_err(|error| match &error {
            ReadError::Failed(failed) if failed.is_connect() => {
                StoreFault::Refused(error.to_string())
            }
            _ => StoreFault::Unanswered(error.to_string()),
        })
    }
}

async fn read_answer(call: RequestBuilder) -> Result<(StatusCode, Vec<u8>), ReadError> {
    let response = call.send().await?;
    let status = response.status();
    Ok((status, read_bounded(response, MAX_ANSWER_BYTES).await?))
}

fn check_status(status: StatusCode, body: Vec<u8>) -> Answer<Vec<u8>> {
    if status.is_success() {
        return Ok(body);
    }
    Err(StoreFault::Refused(format!("status {status}")))
}

fn decode<T: serde::de::DeserializeOwned>(body: &[u8]) -> Answer<T> {
    serde_json::from_slice(body).map_err(|error| StoreFault::Unreadable(error.to_string()))
}
