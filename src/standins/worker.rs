//! A worker's stand-in over HTTP, with a journal and faults for tests.

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
use crate::server::{self, METHODS, Running, answer};
use crate::settings::WorkerSettings;
use crate::workers::{
    BootId, EPOCH_HEADER, HeaderLine, NOT_RUN_HEADER, REQUEST_HEADER, SyncReply, SyncRequest,
    TICKET_LIFE,
};

/// A caller's own mark of a request, by which the audit follows it.
pub const MARK_HEADER: &str = "x-mark";

const MAX_BODY: u64 = 32 << 20;
const GRACE: Duration = Duration::from_secs(5);
/// How long a silent worker holds a request.
const SILENCE: Duration = Duration::from_secs(3600);

/// Faults of a worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WorkerFaults {
    /// Every interactive request gets status 500 and every task fails.
    pub fails: bool,
    /// Every interactive request is refused as not run.
    pub refuses: bool,
    /// Interactive requests run, but their answers never come.
    pub silent: bool,
    /// Milliseconds by which each answer is late.
    pub delay_ms: u64,
}

/// One interactive request that ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRun {
    /// The request id that the entry host gave it.
    pub id: String,
    /// The caller's mark.
    pub mark: String,
    /// The method and path.
    pub line: String,
}

/// Everything that a worker did.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Journal {
    /// The worker.
    pub worker: String,
    /// Interactive requests.
    pub requests: Vec<RequestRun>,
    /// Batch tasks, times in microseconds since the Unix epoch.
    pub tasks: Vec<TaskRun>,
    /// How often the worker was given more than it can hold.
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

/// A worker's stand-in.
#[derive(Debug)]
pub struct Worker {
    settings: WorkerSettings,
    inner: Mutex<Inner>,
    wall: u64,
}

impl Worker {
    /// A worker with these settings.
    pub fn new(settings: WorkerSettings) -> Arc<Self> {
        let room = Size {
            cores: settings.cores,
            memory: settings.memory,
            accelerators: settings.accelerators,
        };
        let mut model = TaskModel::new(BootId(rand::random()), room, TICKET_LIFE);
        model.pace = settings.duration_percent;
        Arc::new(Self {
            inner: Mutex::new(Inner {
                model,
                running: Vec::new(),
                ended: HashMap::new(),
                requests: Vec::new(),
                overfull: 0,
                faults: WorkerFaults::default(),
            }),
            wall: wall_offset(),
            settings,
        })
    }

    /// Starts to listen.
    ///
    /// # Errors
    ///
    /// Fails when the address is taken.
    pub async fn start(self: &Arc<Self>) -> Result<Running> {
        let rocket = server::build(self.settings.address, GRACE, MAX_BODY)
            .manage(self.clone())
            .mount("/", routes![sync, journal, set_faults])
            .mount("/serve", serve_routes(self));
        Running::start(rocket).await
    }

    /// The worker's line in the host list.
    pub fn listed(&self) -> ListedHost {
        let settings = &self.settings;
        ListedHost {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            rack: settings.rack.clone(),
            address: settings.address.to_string(),
            state: HostState::Live,
            size: Size {
                cores: settings.cores,
                memory: settings.memory,
                accelerators: settings.accelerators,
            },
            slots: settings.slots,
            connections: settings.connections,
        }
    }

    /// Switches faults on or off.
    pub fn set_faults(&self, faults: WorkerFaults) {
        let mut inner = self.lock();
        inner.model.fails = faults.fails;
        inner.faults = faults;
    }

    /// Everything that the worker did.
    pub fn journal(&self) -> Journal {
        let now = Moment::now();
        let mut inner = self.lock();
        let mut tasks = inner.model.runs(now);
        for run in &mut tasks {
            run.start += self.wall;
            run.end = run.end.map(|end| end + self.wall);
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

    fn enter(&self, call: &Call) -> std::result::Result<Duration, &'static str> {
        let mut inner = self.lock();
        let now = Moment::now();
        inner.model.advance(now);
        if inner.faults.refuses {
            return Err("refusing");
        }
        if !inner.model.admits(call.id, call.shard, call.epoch) {
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
        });
        let slower = inner.model.load() * self.settings.interference / 100;
        let delay = Duration::from_millis(inner.faults.delay_ms);
        Ok(self.settings.latency * (100 + slower) / 100 + delay)
    }

    fn leave(&self, id: RequestId) {
        let mut inner = self.lock();
        inner.running.retain(|running| *running != id);
        inner.ended.insert(id, ());
    }
}

/// The microseconds between the Unix epoch and the start of the process.
fn wall_offset() -> u64 {
    let wall = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    wall.as_micros() as u64 - Moment::now().as_micros()
}

/// Ends a request, also when its connection is gone.
struct RunningGuard {
    worker: Arc<Worker>,
    id: RequestId,
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.worker.leave(self.id);
    }
}

struct Call {
    id: RequestId,
    shard: ShardId,
    epoch: Epoch,
    mark: String,
    line: String,
}

impl Call {
    fn read(request: &Request<'_>) -> Option<Self> {
        let headers = request.headers();
        let (shard, epoch) = headers.get_one(EPOCH_HEADER)?.split_once('/')?;
        Some(Self {
            id: headers.get_one(REQUEST_HEADER)?.parse().ok()?,
            shard: ShardId(shard.strip_prefix('s')?.parse().ok()?),
            epoch: Epoch(epoch.parse().ok()?),
            mark: headers.get_one(MARK_HEADER).unwrap_or_default().to_owned(),
            line: format!("{} {}", request.method(), request.uri()),
        })
    }
}

fn serve_routes(worker: &Arc<Worker>) -> Vec<Route> {
    let handler = Serve(worker.clone());
    METHODS
        .iter()
        .map(|method| Route::new(*method, "/<path..>", handler.clone()))
        .collect()
}

/// Runs interactive requests. `/bytes/N` answers N bytes, anything else
/// answers the request's own body.
#[derive(Clone)]
struct Serve(Arc<Worker>);

#[rocket::async_trait]
impl Handler for Serve {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let Some(call) = Call::read(request) else {
            return Outcome::Error(Status::BadRequest);
        };
        let body = match data.open(MAX_BODY.bytes()).into_bytes().await {
            Ok(body) if body.is_complete() => body.into_inner(),
            _ => return Outcome::Error(Status::BadRequest),
        };
        let id = header(REQUEST_HEADER, &call.id.to_string());
        let span = match self.0.enter(&call) {
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
            sleep(SILENCE).await;
        }
        let status = if faults.fails { 500 } else { 200 };
        let headers = [id, header(MARK_HEADER, &call.mark)];
        let body = wanted_bytes(request.uri().path().as_str()).unwrap_or(body);
        Outcome::Success(answer(status, &headers, body))
    }
}

fn header(name: &str, value: &str) -> HeaderLine {
    HeaderLine {
        name: name.to_owned(),
        value: value.to_owned(),
    }
}

fn wanted_bytes(path: &str) -> Option<Vec<u8>> {
    let (_, size) = path.split_once("/bytes/")?;
    let size: usize = size.parse().ok()?;
    Some((0..size).map(|place| (place % 251) as u8).collect())
}

#[post("/control/sync", data = "<request>")]
async fn sync(request: Json<SyncRequest>, worker: &State<Arc<Worker>>) -> Json<SyncReply> {
    let mut guard = worker.lock();
    let inner = &mut *guard;
    let ended = |id| inner.ended.contains_key(&id);
    let reply = inner
        .model
        .sync(&request, &inner.running, ended, Moment::now());
    Json(reply)
}

#[get("/standin/journal")]
async fn journal(worker: &State<Arc<Worker>>) -> Json<Journal> {
    Json(worker.journal())
}

#[post("/standin/faults", data = "<faults>")]
async fn set_faults(faults: Json<WorkerFaults>, worker: &State<Arc<Worker>>) {
    worker.set_faults(faults.into_inner());
}

/// Adds a worker to the host list of the platform's stand-in.
///
/// # Errors
///
/// Fails when the platform does not answer.
pub async fn join(platform: SocketAddr, host: &ListedHost) -> Result<()> {
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
