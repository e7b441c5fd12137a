//! The platform stand-in: serves the store and the host list over HTTP, with faults
//! that tests switch on.

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

const MAX_BODY_BYTES: u64 = 2 << 20;
/// Time that requests in progress have to end when the server stops.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay of a lost answer: longer than any caller waits.
const LOST_ANSWER_DELAY: Duration = Duration::from_secs(3600);

/// Faults that the platform stand-in simulates.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// Every call fails and has no effect.
    pub down: bool,
    /// Delay of each call before it is handled, in milliseconds. A watch is delayed a
    /// second time before its answer.
    pub delay_ms: u64,
    /// Interval, in writes, at which the answer to a write is lost after the write took
    /// effect; 0 for never.
    pub lose_every: u64,
}

/// Numbers of calls that the store has handled.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Calls that changed something or tried to.
    pub writes: u64,
    /// Calls that only read; each request of a watch counts as one.
    pub reads: u64,
}

#[derive(Debug, Default)]
struct Inner {
    store: Store,
    hosts: BTreeMap<String, ListedHost>,
    faults: PlatformFaults,
}

/// A simulated platform with its store and host list.
#[derive(Debug, Default)]
pub struct PlatformStandin {
    inner: Mutex<Inner>,
    changed: Notify,
}

type SharedStandin = State<Arc<PlatformStandin>>;
type Answer = std::result::Result<Reply, Status>;

/// Lets a finished response be returned from a Rocket handler.
struct Reply(Response<'static>);

impl<'r> rocket::response::Responder<'r, 'static> for Reply {
    fn respond_to(self, _: &'r rocket::Request<'_>) -> rocket::response::Result<'static> {
        Ok(self.0)
    }
}

impl PlatformStandin {
    /// Starts a stand-in that listens on `address`.
    ///
    /// # Errors
    ///
    /// Fails when the address is taken.
    pub async fn start(self: &Arc<Self>, address: SocketAddr) -> Result<RunningServer> {
        let rocket = server::build(address, SHUTDOWN_TIMEOUT, MAX_BODY_BYTES)
            .manage(self.clone())
            .mount("/", routes());
        RunningServer::start(rocket).await
    }

    /// Replaces the simulated faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.lock().faults = faults;
    }

    /// Adds a worker to the host list or changes its entry.
    pub fn upsert_host(&self, host: ListedHost) {
        self.lock().hosts.insert(host.name.clone(), host);
    }

    /// Marks a worker in the host list as leaving.
    pub fn mark_leaving(&self, name: &str) {
        if let Some(host) = self.lock().hosts.get_mut(name) {
            host.state = HostState::Leaving;
        }
    }

    /// Removes a worker from the host list.
    pub fn remove_host(&self, name: &str) {
        self.lock().hosts.remove(name);
    }

    /// Returns the numbers of calls handled so far.
    pub fn calls(&self) -> CallCounts {
        let inner = self.lock();
        CallCounts {
            writes: inner.store.writes,
            reads: inner.store.reads,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no panic while locked")
    }

    /// Executes one operation of the store under the simulated faults.
    async fn call(&self, op: StoreOp) -> std::result::Result<StoreReply, Status> {
        let faults = self.apply_faults().await?;
        let writes = op.writes();
        let (reply, write_count) = {
            let mut inner = self.lock();
            let reply = inner.store.call(op, Moment::now());
            (reply, inner.store.writes)
        };
        self.changed.notify_waiters();
        let lost = writes && faults.lose_every > 0 && write_count.is_multiple_of(faults.lose_every);
        if lost {
            sleep(LOST_ANSWER_DELAY).await;
        }
        Ok(reply)
    }

    /// Fails or delays a call according to the simulated faults, and returns these.
    async fn apply_faults(&self) -> std::result::Result<PlatformFaults, Status> {
        let faults = self.lock().faults;
        if faults.down {
            return Err(Status::ServiceUnavailable);
        }
        sleep(Duration::from_millis(faults.delay_ms)).await;
        Ok(faults)
    }

    fn changed_entries(&self, prefix: &str, after: u64) -> Range {
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
        get_hosts,
        put_host,
        delete_host,
        set_faults,
        calls
    ]
}

fn key_text(key: &std::path::Path) -> String {
    key.to_string_lossy().into_owned()
}

#[get("/v1/kv/<key..>")]
async fn get_key(key: PathBuf, standin: &SharedStandin) -> Answer {
    let key = key_text(&key);
    match standin.call(StoreOp::Get { key }).await? {
        StoreReply::Value(Some(entry)) => Ok(Reply(json_answer(200, &entry))),
        _ => Err(Status::NotFound),
    }
}

#[post("/v1/kv/<key..>", data = "<body>")]
async fn put_key(key: PathBuf, body: Json<PutBody>, standin: &SharedStandin) -> Answer {
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
async fn delete_key(key: PathBuf, standin: &SharedStandin) -> Answer {
    let key = key_text(&key);
    standin.call(StoreOp::Delete { key }).await?;
    Ok(Reply(json_answer(200, &())))
}

#[get("/v1/range?<prefix>")]
async fn range(prefix: String, standin: &SharedStandin) -> Answer {
    standin.apply_faults().await?;
    standin.lock().store.reads += 1;
    Ok(Reply(json_answer(
        200,
        &standin.changed_entries(&prefix, 0),
    )))
}

#[get("/v1/watch?<prefix>&<after>&<wait_ms>")]
async fn watch(prefix: String, after: u64, wait_ms: u64, standin: &SharedStandin) -> Answer {
    standin.apply_faults().await?;
    standin.lock().store.reads += 1;
    let wait = async {
        loop {
            let notified = standin.changed.notified();
            let range = standin.changed_entries(&prefix, after);
            if !range.entries.is_empty() {
                return range;
            }
            notified.await;
        }
    };
    let changed = timeout(Duration::from_millis(wait_ms), wait).await;
    standin.apply_faults().await?;
    let range = changed.unwrap_or_else(|_| standin.changed_entries(&prefix, after));
    Ok(Reply(json_answer(200, &range)))
}

#[post("/v1/leases", data = "<body>")]
async fn grant(body: Json<GrantBody>, standin: &SharedStandin) -> Answer {
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
async fn renew(lease: u64, standin: &SharedStandin) -> Answer {
    let lease = LeaseId(lease);
    call_lease(standin, StoreOp::Renew { lease }).await
}

#[delete("/v1/leases/<lease>")]
async fn revoke(lease: u64, standin: &SharedStandin) -> Answer {
    let lease = LeaseId(lease);
    call_lease(standin, StoreOp::Revoke { lease }).await
}

async fn call_lease(standin: &SharedStandin, op: StoreOp) -> Answer {
    match standin.call(op).await? {
        StoreReply::Done => Ok(Reply(json_answer(200, &()))),
        _ => Err(Status::NotFound),
    }
}

#[get("/v1/hosts")]
async fn get_hosts(standin: &SharedStandin) -> Answer {
    standin.apply_faults().await?;
    let mut inner = standin.lock();
    inner.store.reads += 1;
    let hosts = Hosts {
        hosts: inner.hosts.values().cloned().collect(),
    };
    Ok(Reply(json_answer(200, &hosts)))
}

#[post("/standin/hosts", data = "<host>")]
async fn put_host(host: Json<ListedHost>, standin: &SharedStandin) {
    standin.upsert_host(host.into_inner());
}

#[delete("/standin/hosts/<name>")]
async fn delete_host(name: &str, standin: &SharedStandin) {
    standin.remove_host(name);
}

#[post("/standin/faults", data = "<faults>")]
async fn set_faults(faults: Json<PlatformFaults>, standin: &SharedStandin) {
    standin.set_faults(faults.into_inner());
}

#[get("/standin/calls")]
async fn calls(standin: &SharedStandin) -> Json<CallCounts> {
    Json(standin.calls())
}
