//! The worker stand-in: runs requests and tasks over HTTP, with a journal and faults
//! for tests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rocket::data::ToByteUnit;
use rocket::http::Status;
use rocket::route::{Handler, Outcome};
use rocket::serde::json::Json;
use rocket::{Data, Request, Route, State, get, post, routes};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::tasks::{TaskModel, TaskRun};
use crate::Result;
use crate::configuration::Size;
use crate::ids::{Epoch, RequestId, ShardId};
use crate::moment::Moment;
use crate::platform::{HostState, ListedHost};
use crate::server::{self, METHODS, RunningServer, answer};
use crate::settings::WorkerSettings;
use crate::workers::{
    BOOT_HEADER, BootId, EPOCH_HEADER, HeaderLine, NOT_RUN_HEADER, REQUEST_HEADER, SyncReply,
    SyncRequest, TICKET_LIFETIME,
};

/// Header with the mark that a caller gives a request, by which the audit matches
/// the run of a request with its answer.
pub const MARK_HEADER: &str = "x-mark";

const MAX_BODY_BYTES: u64 = 32 << 20;
/// Time that requests in progress have to end when the server stops.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay of each answer of a silent worker: longer than any caller waits.
const SILENT_ANSWER_DELAY: Duration = Duration::from_secs(3600);

/// Faults that a worker stand-in simulates.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WorkerFaults {
    /// Every interactive request is answered with status 500, and every task fails.
    pub fails: bool,
    /// Every interactive request is refused without being run.
    pub refuses: bool,
    /// Interactive requests run, but are never answered.
    pub silent: bool,
    /// Time added to the run of each interactive request, in milliseconds.
    pub delay_ms: u64,
}

/// One interactive request that ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRun {
    /// Id that the entry host gave the request.
    pub id: String,
    /// Mark that the caller gave the request; empty if it gave none.
    pub mark: String,
    /// Method and path, separated by a space.
    pub line: String,
    /// Time of the start, in microseconds since the Unix epoch.
    #[serde(default)]
    pub start: u64,
}

/// All requests and tasks that a worker has run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Journal {
    /// Name of the worker.
    pub worker: String,
    /// Interactive requests that ran, in the order of their start.
    pub requests: Vec<RequestRun>,
    /// Attempts at batch tasks, with times in microseconds since the Unix epoch.
    pub tasks: Vec<TaskRun>,
    /// Number of requests and tasks that exceeded the worker's capacity.
    pub overfull: u64,
}

#[derive(Debug)]
struct Inner {
    model: TaskModel,
    running: Vec<RequestId>,
    ended: HashMap<RequestId, ()>,
    requests: Vec<RequestRun>,
    overfull: u64,
    faults: WorkerFaults,
}

/// A simulated worker.
#[derive(Debug)]
pub struct WorkerStandin {
    settings: WorkerSettings,
    inner: Mutex<Inner>,
    /// Microseconds between the Unix epoch and the start of the process.
    unix_offset: u64,
}

impl WorkerStandin {
    /// Creates a worker that does not listen yet.
    pub fn new(settings: WorkerSettings) -> Arc<Self> {
        let capacity = Size {
            millicores: settings.millicores,
            memory: settings.memory,
            accelerators: settings.accelerators,
        };
        let mut model = TaskModel::new(BootId(rand::random()), capacity, TICKET_LIFETIME);
        model.duration_percent = settings.duration_percent;
        Arc::new(Self {
            inner: Mutex::new(Inner {
                model,
                running: Vec::new(),
                ended: HashMap::new(),
                requests: Vec::new(),
                overfull: 0,
                faults: WorkerFaults::default(),
            }),
            unix_offset: unix_offset(),
            settings,
        })
    }

    /// Starts the HTTP server of the worker.
    ///
    /// # Errors
    ///
    /// Fails when the address is taken.
    pub async fn start(self: &Arc<Self>) -> Result<RunningServer> {
        let rocket = server::build(self.settings.address, SHUTDOWN_TIMEOUT, MAX_BODY_BYTES)
            .manage(self.clone())
            .mount("/", routes![sync, journal, set_faults])
            .mount("/serve", serve_routes(self));
        RunningServer::start(rocket).await
    }

    /// Returns the worker's entry in the host list.
    pub fn listed_host(&self) -> ListedHost {
        let settings = &self.settings;
        ListedHost {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            rack: settings.rack.clone(),
            address: settings.address.to_string(),
            state: HostState::Live,
            size: Size {
                millicores: settings.millicores,
                memory: settings.memory,
                accelerators: settings.accelerators,
            },
            slots: settings.slots,
            connections: settings.connections,
        }
    }

    /// Returns the id of this run of the worker's process.
    pub fn boot(&self) -> BootId {
        self.lock().model.boot()
    }

    /// Replaces the simulated faults.
    pub fn set_faults(&self, faults: WorkerFaults) {
        let mut inner = self.lock();
        inner.model.fails = faults.fails;
        inner.faults = faults;
    }

    /// Returns all requests and tasks that the worker has run.
    pub fn journal(&self) -> Journal {
        let now = Moment::now();
        let mut inner = self.lock();
        let mut tasks = inner.model.runs(now);
        for run in &mut tasks {
            run.start += self.unix_offset;
            run.end = run.end.map(|end| end + self.unix_offset);
        }
        Journal {
            worker: self.settings.name.clone(),
            requests: inner.requests.clone(),
            overfull: inner.overfull + inner.model.overfull,
            tasks,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no panic while locked")
    }

    /// Starts an interactive request and returns the time it takes, or the reason why
    /// it is refused.
    fn start_request(&self, call: &IncomingRequest) -> std::result::Result<Duration, &'static str> {
        let mut inner = self.lock();
        let now = Moment::now();
        inner.model.advance(now);
        if inner.faults.refuses {
            return Err("refusing");
        }
        if !inner
            .model
            .admits(call.id, call.shard, call.epoch, call.boot)
        {
            return Err("old");
        }
        if inner.running.len() >= self.settings.slots as usize {
            inner.overfull += 1;
            return Err("full");
        }
        inner.running.push(call.id);
        inner.requests.push(RequestRun {
            id: call.id.to_string(),
            mark: call.mark.clone(),
            line: call.line.clone(),
            start: now.as_micros() + self.unix_offset,
        });
        let slowdown = inner.model.load() * self.settings.interference_percent / 100;
        let delay = Duration::from_millis(inner.faults.delay_ms);
        Ok(self.settings.latency * (100 + slowdown) / 100 + delay)
    }

    fn end_request(&self, id: RequestId) {
        let mut inner = self.lock();
        inner.running.retain(|running| *running != id);
        inner.ended.insert(id, ());
    }
}

/// Returns the microseconds between the Unix epoch and the start of the process.
fn unix_offset() -> u64 {
    let wall = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    wall.as_micros() as u64 - Moment::now().as_micros()
}

/// Ends a request when it is dropped, so also when the caller has disconnected.
struct RunningGuard {
    worker: Arc<WorkerStandin>,
    id: RequestId,
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.worker.end_request(self.id);
    }
}

/// An interactive request, as its headers describe it.
struct IncomingRequest {
    id: RequestId,
    shard: ShardId,
    epoch: Epoch,
    boot: BootId,
    mark: String,
    line: String,
}

impl IncomingRequest {
    /// Reads the headers; `None` if one that the worker needs is missing or invalid.
    fn from_headers(request: &Request<'_>) -> Option<Self> {
        let headers = request.headers();
        let (shard, epoch) = headers.get_one(EPOCH_HEADER)?.split_once('/')?;
        Some(Self {
            id: headers.get_one(REQUEST_HEADER)?.parse().ok()?,
            shard: ShardId(shard.strip_prefix('s')?.parse().ok()?),
            epoch: Epoch(epoch.parse().ok()?),
            boot: BootId(headers.get_one(BOOT_HEADER)?.parse().ok()?),
            mark: headers.get_one(MARK_HEADER).unwrap_or_default().to_owned(),
            line: format!("{} {}", request.method(), request.uri()),
        })
    }
}

fn serve_routes(worker: &Arc<WorkerStandin>) -> Vec<Route> {
    let handler = ServeHandler(worker.clone());
    METHODS
        .iter()
        .map(|method| Route::new(*method, "/<path..>", handler.clone()))
        .collect()
}

/// Runs interactive requests. The answer to a path with `/bytes/N` is N bytes long;
/// any other path echoes the body of the request.
#[derive(Clone)]
struct ServeHandler(Arc<WorkerStandin>);

#[rocket::async_trait]
impl Handler for ServeHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let Some(call) = IncomingRequest::from_headers(request) else {
            return Outcome::Error(Status::BadRequest);
        };
        let body = match data.open(MAX_BODY_BYTES.bytes()).into_bytes().await {
            Ok(body) if body.is_complete() => body.into_inner(),
            _ => return Outcome::Error(Status::BadRequest),
        };
        let id = header(REQUEST_HEADER, &call.id.to_string());
        let span = match self.0.start_request(&call) {
            Ok(span) => span,
            Err(reason) => {
                let headers = [id, header(NOT_RUN_HEADER, reason)];
                return Outcome::Success(answer(503, &headers, Vec::new()));
            }
        };
        let guard = RunningGuard {
            worker: self.0.clone(),
            id: call.id,
        };
        sleep(span).await;
        drop(guard);
        let faults = self.0.lock().faults;
        if faults.silent {
            sleep(SILENT_ANSWER_DELAY).await;
        }
        let status = if faults.fails { 500 } else { 200 };
        let headers = [id, header(MARK_HEADER, &call.mark)];
        let body = requested_bytes(request.uri().path().as_str()).unwrap_or(body);
        Outcome::Success(answer(status, &headers, body))
    }
}

fn header(name: &str, value: &str) -> HeaderLine {
    HeaderLine {
        name: name.to_owned(),
        value: value.to_owned(),
    }
}

fn requested_bytes(path: &str) -> Option<Vec<u8>> {
    let (_, size) = path.split_once("/bytes/")?;
    let size: usize = size.parse().ok()?;
    Some((0..size).map(|index| (index % 251) as u8).collect())
}

#[post("/control/sync", data = "<request>")]
async fn sync(request: Json<SyncRequest>, worker: &State<Arc<WorkerStandin>>) -> Json<SyncReply> {
    let mut guard = worker.lock();
    let inner = &mut *guard;
    let ended = |id| inner.ended.contains_key(&id);
    let reply = inner
        .model
        .sync(&request, &inner.running, ended, Moment::now());
    Json(reply)
}

#[get("/standin/journal")]
async fn journal(worker: &State<Arc<WorkerStandin>>) -> Json<Journal> {
    Json(worker.journal())
}

#[post("/standin/faults", data = "<faults>")]
async fn set_faults(faults: Json<WorkerFaults>, worker: &State<Arc<WorkerStandin>>) {
    worker.set_faults(faults.into_inner());
}

/// Adds a worker to the host list of the platform stand-in.
///
/// # Errors
///
/// Fails when the platform does not answer.
pub async fn register_worker(platform: SocketAddr, host: &ListedHost) -> Result<()> {
    let url = format!("http://{platform}/standin/hosts");
    let sent = reqwest::Client::new().post(&url).json(host).send().await;
    match sent.and_then(reqwest::Response::error_for_status) {
        Ok(_) => Ok(()),
        Err(error) => Err(crate::Error::Unreachable {
            address: platform.to_string(),
            reason: error.to_string(),
        }),
    }
}
