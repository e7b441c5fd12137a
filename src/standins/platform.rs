//! The platform's stand-in over HTTP, with faults that tests switch on.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use rocket::http::Status;
use rocket::response::Response;
use rocket::serde::json::Json;
use rocket::{Route, State, delete, get, post, routes};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use super::store::Store;
use crate::Result;
use crate::moment::Moment;
use crate::platform::{
    GrantBody, HostState, Hosts, LeaseId, ListedHost, PutBody, Range, StoreOp, StoreReply, Version,
};
use crate::server::{self, RunningServer, json_answer};

const MAX_BODY: u64 = 2 << 20;
const GRACE: Duration = Duration::from_secs(1);
/// How long a call hangs whose answer the stand-in loses.
const LOST: Duration = Duration::from_secs(3600);

/// Faults of the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Every call fails and has no effect.
    pub down: bool,
    /// Milliseconds by which each answer is late.
    pub delay_ms: u64,
    /// Every this many writes the answer is lost after the write took effect; 0 for never.
    pub lose_every: u64,
}

/// The calls that the store has taken.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Writes.
    pub writes: u64,
    /// Reads, each round of a watch counted.
    pub reads: u64,
}

#[derive(Debug, Default)]
struct Inner {
    store: Store,
    hosts: BTreeMap<String, ListedHost>,
    faults: Faults,
}

/// The platform's stand-in.
#[derive(Debug, Default)]
pub struct Standin {
    inner: Mutex<Inner>,
    changed: Notify,
}

type Shared = State<Arc<Standin>>;
type Answer = std::result::Result<Reply, Status>;

/// A response that Rocket can send.
struct Reply(Response<'static>);

impl<'r> rocket::response::Responder<'r, 'static> for Reply {
    fn respond_to(self, _: &'r rocket::Request<'_>) -> rocket::response::Result<'static> {
        Ok(self.0)
    }
}

impl Standin {
    /// Starts a stand-in that listens on `address`.
    ///
    /// # Errors
    ///
    /// Fails when the address is taken.
    pub async fn start(self: &Arc<Self>, address: SocketAddr) -> Result<RunningServer> {
        let rocket = server::build(address, GRACE, MAX_BODY)
            .manage(self.clone())
            .mount("/", routes());
        RunningServer::start(rocket).await
    }

    /// Switches faults on or off.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Adds or changes a worker of the host list.
    pub fn list(&self, host: ListedHost) {
        self.lock().hosts.insert(host.name.clone(), host);
    }

    /// Marks a worker of the host list as leaving.
    pub fn leave(&self, name: &str) {
        if let Some(host) = self.lock().hosts.get_mut(name) {
            host.state = HostState::Leaving;
        }
    }

    /// Removes a worker from the host list.
    pub fn unlist(&self, name: &str) {
        self.lock().hosts.remove(name);
    }

    /// The calls taken so far.
    pub fn calls(&self) -> Calls {
        let inner = self.lock();
        Calls {
            writes: inner.store.writes,
            reads: inner.store.reads,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no panic while locked")
    }

    async fn call(&self, op: StoreOp) -> std::result::Result<StoreReply, Status> {
        let faults = self.enter().await?;
        let writes = op.writes();
        let (reply, count) = {
            let mut inner = self.lock();
            let reply = inner.store.call(op, Moment::now());
            (reply, inner.store.writes)
        };
        self.changed.notify_waiters();
        let lost = writes && faults.lose_every > 0 && count.is_multiple_of(faults.lose_every);
        if lost {
            sleep(LOST).await;
        }
        Ok(reply)
    }

    async fn enter(&self) -> std::result::Result<Faults, Status> {
        let faults = self.lock().faults;
        if faults.down {
            return Err(Status::ServiceUnavailable);
        }
        sleep(Duration::from_millis(faults.delay_ms)).await;
        Ok(faults)
    }

    fn changes(&self, prefix: &str, after: u64) -> Range {
        let mut inner = self.lock();
        inner.store.expire(Moment::now());
        inner.store.range(prefix, after)
    }
}

fn routes() -> Vec<Route> {
    routes![
        get_key,
        put_key,
        delete_key,
        range,
        watch,
        grant,
        renew,
        revoke,
        hosts,
        list_host,
        unlist_host,
        set_faults,
        calls
    ]
}

fn key_text(key: &std::path::Path) -> String {
    key.to_string_lossy().into_owned()
}

#[get("/v1/kv/<key..>")]
async fn get_key(key: PathBuf, standin: &Shared) -> Answer {
    let key = key_text(&key);
    match standin.call(StoreOp::Get { key }).await? {
        StoreReply::Value(Some(entry)) => Ok(Reply(json_answer(200, &entry))),
        _ => Err(Status::NotFound),
    }
}

#[post("/v1/kv/<key..>", data = "<body>")]
async fn put_key(key: PathBuf, body: Json<PutBody>, standin: &Shared) -> Answer {
    let body = body.into_inner();
    let op = StoreOp::Put {
        key: key_text(&key),
        value: body.value,
        expect: body.expect,
        lease: body.lease,
    };
    match standin.call(op).await? {
        StoreReply::Written(version) => Ok(Reply(json_answer(200, &Version { version }))),
        StoreReply::LeaseGone => Err(Status::Gone),
        _ => Err(Status::Conflict),
    }
}

#[delete("/v1/kv/<key..>")]
async fn delete_key(key: PathBuf, standin: &Shared) -> Answer {
    let key = key_text(&key);
    standin.call(StoreOp::Delete { key }).await?;
    Ok(Reply(json_answer(200, &())))
}

#[get("/v1/range?<prefix>")]
async fn range(prefix: String, standin: &Shared) -> Answer {
    standin.enter().await?;
    standin.lock().store.reads += 1;
    Ok(Reply(json_answer(200, &standin.changes(&prefix, 0))))
}

#[get("/v1/watch?<prefix>&<after>&<wait_ms>")]
async fn watch(prefix: String, after: u64, wait_ms: u64, standin: &Shared) -> Answer {
    standin.enter().await?;
    standin.lock().store.reads += 1;
    let wait = async {
        loop {
            let notified = standin.changed.notified();
            let range = standin.changes(&prefix, after);
            if !range.entries.is_empty() {
                return range;
            }
            notified.await;
        }
    };
    let found = timeout(Duration::from_millis(wait_ms), wait).await;
    standin.enter().await?;
    let range = found.unwrap_or_else(|_| standin.changes(&prefix, after));
    Ok(Reply(json_answer(200, &range)))
}

#[post("/v1/leases", data = "<body>")]
async fn grant(body: Json<GrantBody>, standin: &Shared) -> Answer {
    let ttl_ms = body.ttl_ms;
    match standin.call(StoreOp::Grant { ttl_ms }).await? {
        StoreReply::Granted(lease) => {
            let granted = GrantBody {
                ttl_ms,
                lease: Some(lease),
            };
            Ok(Reply(json_answer(200, &granted)))
        }
        _ => Err(Status::InternalServerError),
    }
}

#[post("/v1/leases/<lease>", rank = 2)]
async fn renew(lease: u64, standin: &Shared) -> Answer {
    let lease = LeaseId(lease);
    on_lease(standin, StoreOp::Renew { lease }).await
}

#[delete("/v1/leases/<lease>")]
async fn revoke(lease: u64, standin: &Shared) -> Answer {
    let lease = LeaseId(lease);
    on_lease(standin, StoreOp::Revoke { lease }).await
}

async fn on_lease(standin: &Shared, op: StoreOp) -> Answer {
    match standin.call(op).await? {
        StoreReply::Done => Ok(Reply(json_answer(200, &()))),
        _ => Err(Status::NotFound),
    }
}

#[get("/v1/hosts")]
async fn hosts(standin: &Shared) -> Answer {
    standin.enter().await?;
    let mut inner = standin.lock();
    inner.store.reads += 1;
    let hosts = Hosts {
        hosts: inner.hosts.values().cloned().collect(),
    };
    Ok(Reply(json_answer(200, &hosts)))
}

#[post("/standin/hosts", data = "<host>")]
async fn list_host(host: Json<ListedHost>, standin: &Shared) {
    standin.list(host.into_inner());
}

#[delete("/standin/hosts/<name>")]
async fn unlist_host(name: &str, standin: &Shared) {
    standin.unlist(name);
}

#[post("/standin/faults", data = "<faults>")]
async fn set_faults(faults: Json<Faults>, standin: &Shared) {
    standin.set_faults(faults.into_inner());
}

#[get("/standin/calls")]
async fn calls(standin: &Shared) -> Json<Calls> {
    Json(standin.calls())
}
