//! Stand-ins for workers, with fencing tokens, run leases and a journal of all runs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use lycheelock::server::{self, RunningServer};
use rocket::serde::json::Json;
use rocket::{State, post, routes};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::store::{Reply, json_answer};

/// Limit on the size of a request body.
const MAX_BODY_BYTES: u64 = 1 << 20;
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which a waiting `hold` call checks for ended runs.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longest overlap of two runs of a task that is not reported.
const OVERLAP_TOLERANCE: Duration = Duration::from_millis(5);

/// One run of a task, as its worker recorded it.
#[derive(Debug, Clone)]
pub struct Run {
    /// Name of the task.
    pub task: String,
    /// Number of the run, higher for each later run of a task.
    pub run: u64,
    /// Name of the worker.
    pub worker: String,
    /// Start of the run.
    pub started: Instant,
    /// Time and outcome of its end, absent while it runs.
    pub ended: Option<(Instant, &'static str)>,
}

/// Runs of all workers, in the order of their starts.
#[derive(Debug, Default)]
pub struct Journal(Mutex<Vec<Run>>);

impl Journal {
    /// Returns the runs of tasks whose names start with a prefix.
    pub fn runs(&self, prefix: &str) -> Vec<Run> {
        let runs = self.0.lock().unwrap();
        runs.iter()
            .filter(|run| run.task.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Describes the tasks that ran twice at a time, or again after they were done.
    pub fn duplicate_runs(&self) -> Vec<String> {
        let runs = self.0.lock().unwrap();
        let mut by_task: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
        runs.iter()
            .for_each(|run| by_task.entry(&run.task).or_default().push(run));
        let repeated = by_task.into_iter().filter(|(_, runs)| {
            runs.windows(2).any(|pair| {
                let Some((end, outcome)) = pair[0].ended else {
                    return true;
                };
                pair[1].started + OVERLAP_TOLERANCE < end || outcome == "done"
            })
        });
        let describe = |run: &&Run| format!("run {} on {}: {:?}", run.run, run.worker, run.ended);
        let lines = repeated.map(|(task, runs)| {
            let runs: Vec<String> = runs.iter().map(describe).collect();
            format!("{task}: {}", runs.join(", "))
        });
        lines.collect()
    }
}

#[derive(Debug)]
struct ActiveRun {
    /// Position in the journal.
    index: usize,
    /// End of the lease in milliseconds of the worker's clock.
    lease_end: u64,
    /// When the task is done, absent for an endless one.
    finish_at: Option<Instant>,
    run: u64,
}

#[derive(Debug, Default)]
struct Inner {
    /// Highest fencing token seen.
    fence: u64,
    active: BTreeMap<String, ActiveRun>,
    /// Highest run of each task that may not start any more.
    closed_runs: BTreeMap<String, u64>,
    /// Ends that the owner has not acknowledged: number, task, run and outcome.
    ends: Vec<(u64, String, u64, &'static str)>,
    /// Number of the last end.
    last_end: u64,
}

/// A worker and its runs.
#[derive(Debug)]
pub struct Worker {
    /// Name in the roster.
    pub id: String,
    journal: Arc<Journal>,
    started: Instant,
    task_duration: Duration,
    inner: Mutex<Inner>,
}

impl Worker {
    /// Creates a worker whose tasks take `task_duration`, or never end if their
    /// payload is `endless`.
    pub fn new(id: &str, journal: &Arc<Journal>, task_duration: Duration) -> Arc<Self> {
        Arc::new(Self {
            id: id.to_owned(),
            journal: journal.clone(),
            started: Instant::now(),
            task_duration,
            inner: Mutex::default(),
        })
    }

    /// Serves the worker's interface on an address.
    pub async fn serve(self: &Arc<Self>, address: SocketAddr) -> RunningServer {
        let rocket = server::build(address, SHUTDOWN_TIMEOUT, MAX_BODY_BYTES)
            .manage(self.clone())
            .mount("/", routes![start, stop, hold, throttle]);
        RunningServer::start(rocket)
            .await
            .expect("the address is free")
    }

    /// Returns the entry that the worker writes about itself to the roster.
    pub fn roster_entry(&self, address: SocketAddr) -> Value {
        json!({
            "backend": "pool", "address": address.to_string(), "zone": "a", "version": "v1",
            "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1,
            "capacity": {"cpu": 4000, "mem_mb": 8000, "gpu": 0}, "labels": ["kind", "rack"],
        })
    }

    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Ends due runs, then applies a change.
    fn update<T>(&self, change: impl FnOnce(&mut Inner) -> T) -> T {
        let mut inner = self.inner.lock().unwrap();
        self.end_due_runs(&mut inner);
        change(&mut inner)
    }

    /// Executes an order unless its fencing token is outdated.
    fn execute(&self, fence: u64, order: impl FnOnce(&mut Inner) -> Reply) -> Reply {
        self.update(|inner| {
            if fence < inner.fence {
                return self.refuse("fence");
            }
            inner.fence = fence;
            order(inner)
        })
    }

    /// Ends the runs that are done or whose leases have expired.
    fn end_due_runs(&self, inner: &mut Inner) {
        let (now, clock) = (Instant::now(), self.clock());
        let ended = inner.active.iter().filter_map(|(task, active)| {
            let done = active.finish_at.is_some_and(|at| at <= now);
            let outcome = if done { "done" } else { "lapsed" };
            (done || active.lease_end < clock).then(|| (task.clone(), outcome))
        });
        let ended: Vec<(String, &'static str)> = ended.collect();
        ended
            .into_iter()
            .for_each(|(task, outcome)| self.end(inner, &task, outcome));
    }

    fn end(&self, inner: &mut Inner, task: &str, outcome: &'static str) {
        let Some(active) = inner.active.remove(task) else {
            return;
        };
        inner.last_end += 1;
        inner
            .ends
            .push((inner.last_end, task.to_owned(), active.run, outcome));
        inner.closed_runs.insert(task.to_owned(), active.run);
        self.journal.0.lock().unwrap()[active.index].ended = Some((Instant::now(), outcome));
    }

    fn refuse(&self, reason: &str) -> Reply {
        json_answer(409, &json!({"clock_ms": self.clock(), "reason": reason}))
    }

    fn accept(&self) -> Reply {
        json_answer(200, &json!({"clock_ms": self.clock()}))
    }
}

#[derive(Deserialize)]
struct StartBody {
    task: String,
    run: u64,
    spec: String,
    until_ms: u64,
    fence: u64,
}

#[post("/run-start", data = "<body>")]
fn start(body: Json<StartBody>, worker: &State<Arc<Worker>>) -> Reply {
    worker.execute(body.fence, |inner| {
        if inner
            .active
            .get(&body.task)
            .is_some_and(|active| active.run == body.run)
        {
            return worker.accept();
        }
        let closed_run = inner
            .closed_runs
            .get(&body.task)
            .copied()
            .unwrap_or_default();
        if body.run <= closed_run {
            return worker.refuse("old");
        }
        if body.until_ms <= worker.clock() {
            return worker.refuse("late");
        }
        let mut runs = worker.journal.0.lock().unwrap();
        let index = runs.len();
        runs.push(Run {
            task: body.task.clone(),
            run: body.run,
            worker: worker.id.clone(),
            started: Instant::now(),
            ended: None,
        });
        let finish_at = (body.spec != "endless").then(|| Instant::now() + worker.task_duration);
        let active = ActiveRun {
            index,
            lease_end: body.until_ms,
            finish_at,
            run: body.run,
        };
        inner.active.insert(body.task.clone(), active);
        worker.accept()
    })
}

#[derive(Deserialize)]
struct StopBody {
    task: String,
    run: u64,
    fence: u64,
}

#[post("/run-stop", data = "<body>")]
fn stop(body: Json<StopBody>, worker: &State<Arc<Worker>>) -> Reply {
    worker.execute(body.fence, |inner| {
        if inner
            .active
            .get(&body.task)
            .is_some_and(|active| active.run == body.run)
        {
            worker.end(inner, &body.task, "stopped");
        }
        let closed_run = inner.closed_runs.entry(body.task.clone()).or_default();
        *closed_run = body.run.max(*closed_run);
        worker.accept()
    })
}

#[post("/pace", data = "<_body>")]
fn throttle(_body: Json<Value>, worker: &State<Arc<Worker>>) -> Reply {
    worker.accept()
}

#[derive(Deserialize)]
struct HoldBody {
    until_ms: Option<u64>,
    fence: u64,
    last_seen: u64,
    #[serde(default)]
    wait_ms: u64,
}

#[post("/hold", data = "<body>")]
async fn hold(body: Json<HoldBody>, worker: &State<Arc<Worker>>) -> Reply {
    let stale = worker.update(|inner| {
        if body.fence < inner.fence {
            return true;
        }
        inner.fence = body.fence;
        inner.ends.retain(|end| end.0 > body.last_seen);
        if let Some(lease_end) = body.until_ms {
            inner
                .active
                .values_mut()
                .for_each(|active| active.lease_end = active.lease_end.max(lease_end));
        }
        false
    });
    if stale {
        return worker.refuse("fence");
    }
    let deadline = Instant::now() + Duration::from_millis(body.wait_ms);
    while Instant::now() < deadline && worker.update(|inner| inner.ends.is_empty()) {
        sleep(POLL_INTERVAL).await;
    }
    worker.update(|inner| {
        let running = inner
            .active
            .iter()
            .map(|(task, active)| json!([task, active.run, "", 100, 0]));
        let running: Vec<Value> = running.collect();
        let ended = inner
            .ends
            .iter()
            .map(|end| json!([end.0, end.1, end.2, end.3, ""]));
        let finished: Vec<Value> = ended.collect();
        let clock = worker.clock();
        json_answer(
            200,
            &json!({"clock_ms": clock, "born": 1, "running": running, "finished": finished}),
        )
    })
}
