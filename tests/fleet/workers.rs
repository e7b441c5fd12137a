//! Stand-ins of workers: fences, leases, ends; they note all that they run.

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

const MOST_BODY: u64 = 1 << 20;
const GRACE: Duration = Duration::from_secs(1);
const POLL: Duration = Duration::from_millis(10);
const SLACK: Duration = Duration::from_millis(5);

/// One run of a task, as its worker saw it.
#[derive(Debug, Clone)]
pub struct Run {
    /// The task.
    pub task: String,
    /// The run.
    pub run: u64,
    /// The worker.
    pub worker: String,
    /// When it began.
    pub begun: Instant,
    /// When it ended, and how.
    pub ended: Option<(Instant, &'static str)>,
}

/// Everything that all workers ran.
#[derive(Debug, Default)]
pub struct Journal(Mutex<Vec<Run>>);

impl Journal {
    /// All runs of tasks whose names begin so.
    pub fn runs(&self, prefix: &str) -> Vec<Run> {
        let runs = self.0.lock().unwrap();
        runs.iter()
            .filter(|run| run.task.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Tasks that ran in two places at once, or again after they were done.
    pub fn doubles(&self) -> Vec<String> {
        let runs = self.0.lock().unwrap();
        let mut by_task: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
        runs.iter()
            .for_each(|run| by_task.entry(&run.task).or_default().push(run));
        let doubled = by_task.into_iter().filter(|(_, runs)| {
            runs.windows(2).any(|pair| {
                let Some((end, how)) = pair[0].ended else {
                    return true;
                };
                pair[1].begun + SLACK < end || how == "done"
            })
        });
        let tell = |run: &&Run| format!("run {} on {}: {:?}", run.run, run.worker, run.ended);
        let told = doubled.map(|(task, runs)| {
            let runs: Vec<String> = runs.iter().map(tell).collect();
            format!("{task}: {}", runs.join(", "))
        });
        told.collect()
    }
}

#[derive(Debug)]
struct Live {
    place: usize,
    until: u64,
    done_at: Option<Instant>,
    run: u64,
}

#[derive(Debug, Default)]
struct Inner {
    fence: u64,
    live: BTreeMap<String, Live>,
    refused: BTreeMap<String, u64>,
    ends: Vec<(u64, String, u64, &'static str)>,
    count: u64,
}

/// A worker.
#[derive(Debug)]
pub struct Worker {
    /// Its id.
    pub id: String,
    journal: Arc<Journal>,
    begun: Instant,
    task_time: Duration,
    inner: Mutex<Inner>,
}

impl Worker {
    /// A worker whose tasks take this long, unless their payload is `lasts`.
    pub fn new(id: &str, journal: &Arc<Journal>, task_time: Duration) -> Arc<Self> {
        Arc::new(Self {
            id: id.to_owned(),
            journal: journal.clone(),
            begun: Instant::now(),
            task_time,
            inner: Mutex::default(),
        })
    }

    /// Serves the worker on an address.
    pub async fn serve(self: &Arc<Self>, address: SocketAddr) -> RunningServer {
        let rocket = server::build(address, GRACE, MOST_BODY)
            .manage(self.clone())
            .mount("/", routes![start, stop, hold, pace]);
        RunningServer::start(rocket)
            .await
            .expect("the address is free")
    }

    /// What the worker writes about itself in the store.
    pub fn entry(&self, address: SocketAddr) -> Value {
        json!({
            "backend": "pool", "address": address.to_string(), "zone": "a", "version": "v1",
            "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1,
            "capacity": {"cpu": 4000, "mem_mb": 8000, "gpu": 0}, "labels": ["kind", "rack"],
        })
    }

    fn clock(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    fn act<T>(&self, change: impl FnOnce(&mut Inner) -> T) -> T {
        let mut inner = self.inner.lock().unwrap();
        self.settle(&mut inner);
        change(&mut inner)
    }

    /// Carries an order out, unless its owner was deposed.
    fn obey(&self, fence: u64, order: impl FnOnce(&mut Inner) -> Reply) -> Reply {
        self.act(|inner| {
            if fence < inner.fence {
                return self.refuse("fence");
            }
            inner.fence = fence;
            order(inner)
        })
    }

    /// Ends what is done and what has lost its lease.
    fn settle(&self, inner: &mut Inner) {
        let (now, clock) = (Instant::now(), self.clock());
        let ended = inner.live.iter().filter_map(|(task, live)| {
            let done = live.done_at.is_some_and(|at| at <= now);
            let how = if done { "done" } else { "lapsed" };
            (done || live.until < clock).then(|| (task.clone(), how))
        });
        let ended: Vec<(String, &'static str)> = ended.collect();
        ended
            .into_iter()
            .for_each(|(task, how)| self.end(inner, &task, how));
    }

    fn end(&self, inner: &mut Inner, task: &str, how: &'static str) {
        let Some(live) = inner.live.remove(task) else {
            return;
        };
        inner.count += 1;
        inner
            .ends
            .push((inner.count, task.to_owned(), live.run, how));
        inner.refused.insert(task.to_owned(), live.run);
        self.journal.0.lock().unwrap()[live.place].ended = Some((Instant::now(), how));
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
    worker.obey(body.fence, |inner| {
        if inner
            .live
            .get(&body.task)
            .is_some_and(|live| live.run == body.run)
        {
            return worker.accept();
        }
        let refused = inner.refused.get(&body.task).copied().unwrap_or_default();
        if body.run <= refused {
            return worker.refuse("old");
        }
        if body.until_ms <= worker.clock() {
            return worker.refuse("late");
        }
        let mut runs = worker.journal.0.lock().unwrap();
        let place = runs.len();
        runs.push(Run {
            task: body.task.clone(),
            run: body.run,
            worker: worker.id.clone(),
            begun: Instant::now(),
            ended: None,
        });
        let done_at = (body.spec != "lasts").then(|| Instant::now() + worker.task_time);
        let live = Live {
            place,
            until: body.until_ms,
            done_at,
            run: body.run,
        };
        inner.live.insert(body.task.clone(), live);
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
    worker.obey(body.fence, |inner| {
        if inner
            .live
            .get(&body.task)
            .is_some_and(|live| live.run == body.run)
        {
            worker.end(inner, &body.task, "stopped");
        }
        let refused = inner.refused.entry(body.task.clone()).or_default();
        *refused = body.run.max(*refused);
        worker.accept()
    })
}

#[post("/pace", data = "<_body>")]
fn pace(_body: Json<Value>, worker: &State<Arc<Worker>>) -> Reply {
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
    let deposed = worker.act(|inner| {
        if body.fence < inner.fence {
            return true;
        }
        inner.fence = body.fence;
        inner.ends.retain(|end| end.0 > body.last_seen);
        if let Some(until) = body.until_ms {
            inner
                .live
                .values_mut()
                .for_each(|live| live.until = live.until.max(until));
        }
        false
    });
    if deposed {
        return worker.refuse("fence");
    }
    let until = Instant::now() + Duration::from_millis(body.wait_ms);
    while Instant::now() < until && worker.act(|inner| inner.ends.is_empty()) {
        sleep(POLL).await;
    }
    worker.act(|inner| {
        let running = inner
            .live
            .iter()
            .map(|(task, live)| json!([task, live.run, "", 100, 0]));
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
