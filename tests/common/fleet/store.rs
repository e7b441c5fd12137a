//! Stand-in for the platform's store: leases, watches, conditional writes and
//! faults that tests inject.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use lycheelock::server::{self, RunningServer};
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{State, delete, get, post, routes};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::writes::{self, WriteFate};

/// Limit on the size of a request body.
const MAX_BODY_BYTES: u64 = 4 << 20;
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which a watch checks for expired leases while no key changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Delay of an answer that is never to arrive: longer than any test.
const SILENT_DELAY: Duration = Duration::from_secs(3600);

/// Fault that the store applies to calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// Calls are served.
    #[default]
    None,
    /// Calls are rejected with status 503.
    Busy,
    /// Transactions are applied but not answered; other calls are served.
    LosesAnswers,
    /// A seed decides which transactions are answered; other calls are served.
    LateWrites(u64),
    /// Watches are rejected with status 503; other calls are served.
    NoWatches,
    /// Watches report no changes; other calls are served.
    LateWatches,
    /// Calls are neither applied nor answered.
    Silent,
}

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct Inner {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, Value)>,
    /// Last revision whose events were dropped from the history.
    compacted: u64,
    /// Time to live and expiry of each lease.
    leases: BTreeMap<u64, (Duration, Instant)>,
    fault: Fault,
    /// Transactions that the seed has decided on.
    drawn: u64,
    /// Late transactions that are not applied yet.
    pending: usize,
    /// Entry daemons whose calls are neither applied nor answered.
    isolated: BTreeSet<usize>,
    /// Entry daemons whose transactions are held up, and not answered.
    held: BTreeSet<usize>,
}

/// A key-value store that tests and daemons use at the same time.
#[derive(Debug, Default)]
pub struct Store {
    inner: Mutex<Inner>,
    changed: Notify,
}

/// The store as one entry daemon reaches it.
#[derive(Debug)]
struct Access {
    store: Arc<Store>,
    entry: usize,
}

/// Status and JSON body of an answer.
pub type Reply = (Status, Json<Value>);

type RouteResult = Result<Reply, Status>;

/// Returns an answer with a status and a JSON body.
pub fn json_answer(status: u16, value: &Value) -> Reply {
    (Status::new(status), Json(value.clone()))
}

impl Store {
    /// Serves the store to an entry daemon on an address.
    pub async fn serve(self: &Arc<Self>, entry: usize, address: SocketAddr) -> RunningServer {
        let routes = routes![get_key, get_range, watch, commit, grant, renew, revoke];
        let rocket = server::build(address, SHUTDOWN_TIMEOUT, MAX_BODY_BYTES)
            .manage(Access {
                store: self.clone(),
                entry,
            })
            .mount("/", routes);
        RunningServer::start(rocket)
            .await
            .expect("the address is free")
    }

    /// Sets the fault that applies to calls from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.inner.lock().unwrap().fault = fault;
    }

    /// Cuts an entry daemon off from the store, or connects it again.
    pub fn isolate(&self, entry: usize, isolated: bool) {
        let mut inner = self.inner.lock().unwrap();
        if isolated {
            inner.isolated.insert(entry);
        } else {
            inner.isolated.remove(&entry);
        }
    }

    /// Holds up the transactions of an entry daemon, or lets those that were held up take effect.
    pub fn hold_writes(&self, entry: usize, held: bool) {
        let mut inner = self.inner.lock().unwrap();
        if held {
            inner.held.insert(entry);
        } else {
            inner.held.remove(&entry);
        }
    }

    /// Returns the number of late transactions that are not applied yet.
    pub fn pending(&self) -> usize {
        self.inner.lock().unwrap().pending
    }

    /// Drops the history of changes, so that watches from earlier revisions fail.
    pub fn compact(&self) {
        let mut inner = self.inner.lock().unwrap();
        inner.compacted = inner.revision;
        inner.history.clear();
    }

    /// Writes a key without a lease, as the operator or a worker does.
    pub fn put(&self, key: &str, value: &Value) {
        self.put_bytes(key, &serde_json::to_vec(value).unwrap());
    }

    /// Writes a key with any bytes, without a lease.
    pub fn put_bytes(&self, key: &str, value: &[u8]) {
        self.put_text(key, BASE64_STANDARD.encode(value));
    }

    /// Writes a key whose value is transmitted as this text, which should be base64.
    pub fn put_text(&self, key: &str, value: String) {
        let mut inner = self.inner.lock().unwrap();
        inner.revision += 1;
        inner.write(key, value, 0);
        drop(inner);
        self.changed.notify_waiters();
    }

    /// Removes a key, as the operator does.
    pub fn delete(&self, key: &str) {
        let mut inner = self.inner.lock().unwrap();
        inner.revision += 1;
        inner.remove(key);
        drop(inner);
        self.changed.notify_waiters();
    }

    /// Returns the number of keys with a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        let inner = self.inner.lock().unwrap();
        inner
            .items
            .keys()
            .filter(|key| key.starts_with(prefix))
            .count()
    }

    /// Returns the revision of the last change.
    pub fn current_revision(&self) -> u64 {
        self.inner.lock().unwrap().revision
    }

    /// Returns the revision of a key's last change, or 0 if the key does not exist.
    pub fn revision(&self, key: &str) -> u64 {
        let inner = self.inner.lock().unwrap();
        inner.items.get(key).map_or(0, |item| item.revision)
    }

    /// Applies a transaction after a delay if its preconditions hold then.
    fn commit_later(self: &Arc<Self>, body: Transaction, delay: Duration) {
        let store = self.clone();
        store.inner.lock().unwrap().pending += 1;
        tokio::spawn(async move {
            sleep(delay).await;
            store.update(|inner| {
                apply(inner, &body);
                inner.pending -= 1;
            });
        });
    }

    /// Applies a transaction once those of its entry daemon are no longer held up.
    fn commit_when_released(self: &Arc<Self>, body: Transaction, entry: usize) {
        let store = self.clone();
        store.inner.lock().unwrap().pending += 1;
        tokio::spawn(async move {
            while store.inner.lock().unwrap().held.contains(&entry) {
                sleep(WATCH_POLL_INTERVAL).await;
            }
            store.update(|inner| {
                apply(inner, &body);
                inner.pending -= 1;
            });
        });
    }

    /// Expires leases, applies a change and wakes all watches.
    fn update<T>(&self, change: impl FnOnce(&mut Inner) -> T) -> T {
        let mut inner = self.inner.lock().unwrap();
        inner.expire();
        let result = change(&mut inner);
        drop(inner);
        self.changed.notify_waiters();
        result
    }
}

impl Access {
    /// Applies the current fault to a call that is no transaction.
    async fn apply_fault(&self) -> Result<(), Status> {
        self.decide(false).await.map(|_| ())
    }

    /// Applies the current fault to a call. Returns the fate of a transaction.
    async fn decide(&self, is_write: bool) -> Result<WriteFate, Status> {
        let (fault, isolated) = {
            let inner = self.store.inner.lock().unwrap();
            (inner.fault, inner.isolated.contains(&self.entry))
        };
        match fault {
            _ if isolated => {
                sleep(SILENT_DELAY).await;
                Err(Status::ServiceUnavailable)
            }
            Fault::Busy => Err(Status::ServiceUnavailable),
            Fault::Silent => {
                sleep(SILENT_DELAY).await;
                Err(Status::ServiceUnavailable)
            }
            Fault::LosesAnswers if is_write => Ok(WriteFate::Unanswered),
            Fault::LateWrites(seed) if is_write => {
                let mut inner = self.store.inner.lock().unwrap();
                inner.drawn += 1;
                Ok(writes::draw(seed, inner.drawn))
            }
            _ => Ok(WriteFate::Answered),
        }
    }
}

impl Inner {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let event = json!({"key": key, "value": value, "rev": revision, "created": revision, "lease": lease});
        self.history.push((revision, event));
        let item = Item {
            value,
            revision,
            lease,
        };
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let event = json!({"key": key, "rev": self.revision, "removed": true});
            self.history.push((self.revision, event));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let expired = self.leases.iter().filter(|(_, lease)| lease.1 <= now);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        expired.into_iter().for_each(|lease| self.revoke(lease));
    }

    /// Ends a lease and removes its keys.
    fn revoke(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let leased = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = leased.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.remove(&key);
        }
    }

    fn item_json(&self, key: &str) -> Option<Value> {
        let item = self.items.get(key)?;
        Some(json!({
            "key": key, "value": item.value, "rev": item.revision,
            "created": item.revision, "lease": item.lease, "current_rev": self.revision,
        }))
    }
}

#[get("/kv-key?<key>")]
async fn get_key(key: &str, access: &State<Access>) -> RouteResult {
    access.apply_fault().await?;
    let found = access.store.update(|inner| inner.item_json(key));
    found
        .map(|item| json_answer(200, &item))
        .ok_or(Status::NotFound)
}

#[get("/kv-range?<prefix>")]
async fn get_range(prefix: &str, access: &State<Access>) -> RouteResult {
    access.apply_fault().await?;
    Ok(access.store.update(|inner| {
        let keys = inner.items.keys().filter(|key| key.starts_with(prefix));
        let items: Vec<Value> = keys.filter_map(|key| inner.item_json(key)).collect();
        let body = json!({"items": items, "has_more": false, "current_rev": inner.revision});
        json_answer(200, &body)
    }))
}

#[get("/kv-watch?<prefix>&<after>&<wait_ms>")]
async fn watch(prefix: &str, after: u64, wait_ms: u64, access: &State<Access>) -> RouteResult {
    access.apply_fault().await?;
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let changed = access.store.changed.notified();
        let found = {
            let mut inner = access.store.inner.lock().unwrap();
            inner.expire();
            if after < inner.compacted {
                return Err(Status::Gone);
            }
            let matching = inner.history.iter().filter(|(revision, event)| {
                *revision > after && event["key"].as_str().unwrap().starts_with(prefix)
            });
            let events: Vec<Value> = matching.map(|(_, event)| event.clone()).collect();
            json!({"events": events, "current_rev": inner.revision})
        };
        let timed_out = Instant::now() >= deadline;
        if timed_out || !found["events"].as_array().unwrap().is_empty() {
            access.apply_fault().await?;
            let fault = access.store.inner.lock().unwrap().fault;
            return match fault {
                Fault::NoWatches => Err(Status::ServiceUnavailable),
                Fault::LateWatches => {
                    let none = json!({"events": [], "current_rev": after});
                    Ok(json_answer(200, &none))
                }
                _ => Ok(json_answer(200, &found)),
            };
        }
        let _ = timeout(WATCH_POLL_INTERVAL, changed).await;
    }
}

#[derive(Deserialize)]
struct Transaction {
    #[serde(default)]
    precondition: Vec<Condition>,
    #[serde(default)]
    set_keys: Vec<SetKey>,
    #[serde(default)]
    remove: Vec<String>,
}

#[derive(Deserialize)]
struct Condition {
    key: String,
    rev: u64,
}

#[derive(Deserialize)]
struct SetKey {
    key: String,
    value: String,
    #[serde(default)]
    lease: u64,
}

#[post("/kv-txn", data = "<body>")]
async fn commit(body: Json<Transaction>, access: &State<Access>) -> RouteResult {
    let body = body.into_inner();
    let fate = access.decide(true).await?;
    let rows = body.precondition.len() + body.set_keys.len() + body.remove.len();
    assert!(rows <= 32, "{rows} rows in one transaction");
    if access
        .store
        .inner
        .lock()
        .unwrap()
        .held
        .contains(&access.entry)
    {
        access.store.commit_when_released(body, access.entry);
        sleep(SILENT_DELAY).await;
        return Err(Status::ServiceUnavailable);
    }
    if let WriteFate::Late(delay) = fate {
        access.store.commit_later(body, delay);
        sleep(SILENT_DELAY).await;
        return Err(Status::ServiceUnavailable);
    }
    let response = access.store.update(|inner| apply(inner, &body));
    if fate == WriteFate::Unanswered {
        sleep(SILENT_DELAY).await;
    }
    Ok(response)
}

fn apply(inner: &mut Inner, body: &Transaction) -> Reply {
    let revision = |key: &String| inner.items.get(key).map_or(0, |item| item.revision);
    let holds = body
        .precondition
        .iter()
        .all(|row| revision(&row.key) == row.rev);
    if !holds {
        let keys = body.precondition.iter().map(|row| &row.key);
        let items: Vec<Value> = keys.filter_map(|key| inner.item_json(key)).collect();
        return json_answer(412, &json!({"items": items}));
    }
    let leased = body.set_keys.iter().filter(|row| row.lease > 0);
    if leased
        .into_iter()
        .any(|row| !inner.leases.contains_key(&row.lease))
    {
        return json_answer(404, &json!({}));
    }
    inner.revision += 1;
    for row in &body.set_keys {
        inner.write(&row.key, row.value.clone(), row.lease);
    }
    for key in &body.remove {
        inner.remove(key);
    }
    json_answer(200, &json!({"rev": inner.revision}))
}

#[derive(Deserialize)]
struct Grant {
    ttl_ms: u64,
}

#[post("/kv-lease", data = "<body>")]
async fn grant(body: Json<Grant>, access: &State<Access>) -> RouteResult {
    access.apply_fault().await?;
    let ttl = Duration::from_millis(body.ttl_ms);
    let lease = access.store.update(|inner| {
        inner.revision += 1;
        let lease = inner.revision;
        inner.leases.insert(lease, (ttl, Instant::now() + ttl));
        lease
    });
    Ok(json_answer(
        200,
        &json!({"lease": lease, "ttl_ms": body.ttl_ms}),
    ))
}

#[post("/kv-keep/<lease>")]
async fn renew(lease: u64, access: &State<Access>) -> RouteResult {
    access.apply_fault().await?;
    let ttl = access.store.update(|inner| {
        let granted = inner.leases.get_mut(&lease)?;
        granted.1 = Instant::now() + granted.0;
        Some(granted.0.as_millis() as u64)
    });
    let ttl_ms = ttl.ok_or(Status::NotFound)?;
    Ok(json_answer(200, &json!({"ttl_ms": ttl_ms})))
}

#[delete("/kv-lease-end/<lease>")]
async fn revoke(lease: u64, access: &State<Access>) -> RouteResult {
    access.apply_fault().await?;
    access.store.update(|inner| inner.revoke(lease));
    Ok(json_answer(200, &json!({})))
}
