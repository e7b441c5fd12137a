//! Stand-ins for workers, with fencing tokens, run leases and a journal of all runs.

use std::collections::BTreeMap;
use std::future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use lycheelock::server::{self, RunningServer};
use rocket::serde::json::Json;
use rocket::{State, post, routes};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::faults::{Fate, Faults, OrderKind};
use crate::store::{Reply, json_answer};

/// Limit on the size of a request body.
const MAX_BODY_BYTES: u64 = 1 << 20;
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which a waiting `hold` call checks for ended runs.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longest overlap of two runs of a task that is not reported.
const OVERLAP_TOLERANCE: Duration = Duration::from_millis(5);
/// Run time of a brief task.
const BRIEF_DURATION: Duration = Duration::from_millis(50);
/// The longest lease that a worker grants (`hold_max_ms`).
const MAX_LEASE_MS: u64 = 10_000;

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
    /// Whether an owner has acknowledged the end before the worker's lease lapsed.
    pub acknowledged: bool,
}

/// Whose calls reach a worker. Others are neither carried out nor answered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Reach {
    /// All daemons reach it.
    #[default]
    Everyone,
    /// The owner whose calls it has got last, but no later owner.
    PresentOwner,
    /// Later owners only.
    LaterOwners,
    /// No daemon reaches it.
    Nobody,
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

    /// Describes the runs that have not ended.
    pub fn active_runs(&self) -> Vec<String> {
        let runs = self.0.lock().unwrap();
        let active = runs.iter().filter(|run| run.ended.is_none());
        let describe = |run: &Run| format!("{}: run {} on {}", run.task, run.run, run.worker);
        active.map(describe).collect()
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

    /// Describes the runs of a task at the same time, and the runs that began after an end as
    /// done that was acknowledged then or later.
    pub fn forbidden_repeats(&self) -> Vec<String> {
        let runs = self.0.lock().unwrap();
        let mut by_task: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
        runs.iter()
            .for_each(|run| by_task.entry(&run.task).or_default().push(run));
        let first = runs.first().map(|run| run.started);
        let since = |at: Instant| at.duration_since(first.unwrap_or(at)).as_millis();
        let describe = |run: &Run| {
            let ended = run.ended.map(|(at, outcome)| (since(at), outcome));
            let acknowledged = run.acknowledged;
            let (number, worker, started) = (run.run, &run.worker, since(run.started));
            format!("{number} on {worker} from {started} to {ended:?} ({acknowledged})")
        };
        let mut lines = Vec::new();
        for (task, runs) in by_task {
            for (index, earlier) in runs.iter().enumerate() {
                for later in &runs[index + 1..] {
                    let kind = match earlier.ended {
                        None => "at the same time",
                        Some((at, _)) if later.started + OVERLAP_TOLERANCE < at => {
                            "at the same time"
                        }
                        Some((_, "done")) if earlier.acknowledged => "after its end",
                        Some(_) => continue,
                    };
                    let (earlier, later) = (describe(earlier), describe(later));
                    lines.push(format!("{task} {kind}: {earlier}, {later}"));
                }
            }
        }
        lines
    }

    /// Describes the starts with which more than `limit` runs were on a worker.
    pub fn starts_beyond(&self, limit: usize) -> Vec<String> {
        let runs = self.0.lock().unwrap();
        let beside = |run: &Run| {
            let earlier = runs.iter().filter(|other| {
                let ended = other.ended.map(|(at, _)| at);
                other.worker == run.worker
                    && other.started <= run.started
                    && ended.is_none_or(|at| at > run.started + OVERLAP_TOLERANCE)
            });
            earlier.count()
        };
        let beyond = runs.iter().filter(|run| beside(run) > limit);
        let lines = beyond.map(|run| {
            let (task, count) = (&run.task, beside(run));
            format!(
                "{task}: run {} on {} is one of {count}",
                run.run, run.worker
            )
        });
        lines.collect()
    }

    /// Records that an end may never be reported to the owner.
    fn mark_unreported(&self, index: usize) {
        if let Some(ended) = &mut self.0.lock().unwrap()[index].ended {
            ended.1 = "unreported";
        }
    }

    /// Records that an owner has acknowledged the end of a run.
    fn acknowledge(&self, index: usize) {
        self.0.lock().unwrap()[index].acknowledged = true;
    }

    /// Records the end of a run.
    fn end(&self, index: usize, at: Instant, outcome: &'static str) {
        self.0.lock().unwrap()[index].ended = Some((at, outcome));
    }
}

/// Task and number of a run.
type RunKey = (String, u64);

#[derive(Debug)]
struct ActiveRun {
    /// Position in the journal.
    index: usize,
    /// When the task is done, absent for an endless one.
    finish_at: Option<Instant>,
}

/// An end that the owner has not acknowledged.
#[derive(Debug)]
struct End {
    number: u64,
    /// Position in the journal.
    index: usize,
    run: RunKey,
    outcome: &'static str,
    /// Whether the worker's lease has lapsed since.
    lapsed: bool,
}

/// A worker's steady clock.
#[derive(Debug, Clone, Copy)]
struct Clock {
    started: Instant,
    /// Reading when it started, in milliseconds.
    base: u64,
    /// Its rate; up to 2% slow.
    rate: f64,
}

impl Clock {
    fn new(base: u64, rate: f64) -> Self {
        let started = Instant::now();
        Self {
            started,
            base,
            rate,
        }
    }

    fn read(&self) -> u64 {
        self.base + self.started.elapsed().mul_f64(self.rate).as_millis() as u64
    }

    /// When the clock shows a reading, at the earliest when it started.
    fn shows(&self, reading: u64) -> Instant {
        let since = Duration::from_millis(reading.saturating_sub(self.base));
        self.started + since.div_f64(self.rate)
    }
}

/// What becomes of an order whose execution is due in a later incarnation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum AfterRestart {
    /// It is lost with the incarnation that received it.
    #[default]
    Lost,
    /// The later incarnation executes it.
    Executed,
}

/// What one incarnation of a worker knows.
#[derive(Debug)]
struct Inner {
    /// The Unix millisecond of the incarnation's start.
    born: u64,
    clock: Clock,
    /// Highest fencing token seen.
    fence: u64,
    /// End of the lease of all runs in milliseconds of the worker's clock.
    lease_end: u64,
    active: BTreeMap<RunKey, ActiveRun>,
    /// Highest run of each task that may not start any more.
    closed_runs: BTreeMap<String, u64>,
    ends: Vec<End>,
    /// Number of the last end.
    last_end: u64,
    reach: Reach,
    /// Highest fencing token seen when `reach` was set.
    reached_fence: u64,
    /// Whether the worker has crashed and not started again.
    down: bool,
    after_restart: AfterRestart,
}

impl Inner {
    fn new(born: u64, clock: Clock) -> Self {
        Self {
            born,
            clock,
            fence: 0,
            lease_end: 0,
            active: BTreeMap::new(),
            closed_runs: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
            reach: Reach::Everyone,
            reached_fence: 0,
            down: false,
            after_restart: AfterRestart::Lost,
        }
    }

    /// Whether a call with this fencing token reaches the worker.
    fn is_reached(&self, fence: u64) -> bool {
        match self.reach {
            _ if self.down => false,
            Reach::Everyone => true,
            Reach::PresentOwner => fence <= self.reached_fence,
            Reach::LaterOwners => fence > self.reached_fence,
            Reach::Nobody => false,
        }
    }

    fn begin_incarnation(&mut self) {
        let clock = Clock::new(0, self.clock.rate);
        *self = Self {
            reach: self.reach,
            reached_fence: self.reached_fence,
            after_restart: self.after_restart,
            ..Self::new(unix_ms().max(self.born + 1), clock)
        };
    }

    /// Extends the lease of all runs, as far as the worker grants it.
    fn extend_lease(&mut self, until: u64) {
        let longest = self.clock.read() + MAX_LEASE_MS;
        self.lease_end = self.lease_end.max(until.min(longest));
    }

    fn refuse(&self, reason: &str) -> Reply {
        json_answer(
            409,
            &json!({"clock_ms": self.clock.read(), "reason": reason}),
        )
    }

    fn accept(&self) -> Reply {
        json_answer(200, &json!({"clock_ms": self.clock.read()}))
    }
}

/// A worker and its runs.
#[derive(Debug)]
pub struct Worker {
    /// Name in the roster.
    pub id: String,
    address: SocketAddr,
    journal: Arc<Journal>,
    faults: Arc<Faults>,
    task_duration: Duration,
    inner: Mutex<Inner>,
}

impl Worker {
    /// Creates a worker whose tasks take as many milliseconds as their payload says, or
    /// `task_duration` if it says nothing, or less if it is `brief`, or never end if it is
    /// `endless`.
    pub fn new(
        id: &str,
        address: SocketAddr,
        journal: &Arc<Journal>,
        faults: &Arc<Faults>,
        task_duration: Duration,
    ) -> Arc<Self> {
        Arc::new(Self {
            id: id.to_owned(),
            address,
            journal: journal.clone(),
            faults: faults.clone(),
            task_duration,
            inner: Mutex::new(Inner::new(unix_ms(), Clock::new(0, 1.0))),
        })
    }

    /// Sets the reading of the clock of this incarnation, in milliseconds, and the rate of
    /// the clock in this one and later ones.
    pub fn set_clock(&self, reading: u64, rate: f64) {
        self.update(|inner| inner.clock = Clock::new(reading, rate));
    }

    /// Sets what becomes of late orders when the worker restarts.
    pub fn set_after_restart(&self, after_restart: AfterRestart) {
        self.update(|inner| inner.after_restart = after_restart);
    }

    /// Serves the worker's interface.
    pub async fn serve(self: &Arc<Self>) -> RunningServer {
        let rocket = server::build(self.address, SHUTDOWN_TIMEOUT, MAX_BODY_BYTES)
            .manage(self.clone())
            .mount("/", routes![start, stop, hold, throttle]);
        RunningServer::start(rocket)
            .await
            .expect("the address is free")
    }

    /// The address at which the worker takes orders.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the entry that the worker writes about itself to the roster.
    pub fn roster_entry(&self) -> Value {
        let born = self.inner.lock().unwrap().born;
        json!({
            "backend": "pool", "address": self.address.to_string(), "zone": "a", "version": "v1",
            "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": born,
            "capacity": {"cpu": 4000, "mem_mb": 8000, "gpu": 0}, "labels": ["kind", "rack"],
        })
    }

    /// Sets whose calls reach the worker. The present owner has fencing tokens of up to `newest`,
    /// the store's revision: an owner's token rises when a worker may have restarted.
    pub fn set_reach(&self, reach: Reach, newest: u64) {
        self.update(|inner| {
            inner.reach = reach;
            inner.reached_fence = newest;
        });
    }

    /// Ends all runs and begins a new incarnation that knows nothing of the former one.
    pub fn restart(&self) {
        self.update(|inner| {
            self.end_incarnation(inner);
            inner.begin_incarnation();
        });
    }

    /// Ends all runs. The worker is down until it starts again.
    pub fn crash(&self) {
        self.update(|inner| self.end_incarnation(inner));
    }

    /// Begins a new incarnation that knows nothing of the former one.
    pub fn start_again(&self) {
        self.update(Inner::begin_incarnation);
    }

    fn end_incarnation(&self, inner: &mut Inner) {
        let now = Instant::now();
        for active in inner.active.values() {
            self.journal.end(active.index, now, "crashed");
        }
        // The owner may never learn of these ends, and then has to repeat the tasks.
        for end in &inner.ends {
            self.journal.mark_unreported(end.index);
        }
        inner.active.clear();
        inner.ends.clear();
        inner.down = true;
    }

    /// Ends the runs that are due, as a call would.
    pub fn settle(&self) {
        self.update(|_| ());
    }

    /// Ends due runs, then applies a change.
    fn update<T>(&self, change: impl FnOnce(&mut Inner) -> T) -> T {
        let mut inner = self.inner.lock().unwrap();
        self.end_due_runs(&mut inner);
        change(&mut inner)
    }

    /// Ends the runs that are done or whose leases have expired.
    fn end_due_runs(&self, inner: &mut Inner) {
        let now = Instant::now();
        let lease_end = inner.clock.shows(inner.lease_end);
        let due = inner.active.iter().filter_map(|(run, active)| {
            let (at, outcome) = match active.finish_at {
                Some(finish_at) if finish_at <= lease_end => (finish_at, "done"),
                _ => (lease_end, "lapsed"),
            };
            (at <= now).then(|| (run.clone(), at, outcome))
        });
        let due: Vec<(RunKey, Instant, &'static str)> = due.collect();
        for (run, at, outcome) in due {
            self.end(inner, run, at, outcome);
        }
        if lease_end <= now {
            inner.ends.iter_mut().for_each(|end| end.lapsed = true);
        }
    }

    fn end(&self, inner: &mut Inner, run: RunKey, at: Instant, outcome: &'static str) {
        let Some(ActiveRun { index, .. }) = inner.active.remove(&run) else {
            return;
        };
        inner.last_end += 1;
        let closed_run = inner.closed_runs.entry(run.0.clone()).or_default();
        *closed_run = run.1.max(*closed_run);
        inner.ends.push(End {
            number: inner.last_end,
            index,
            run,
            outcome,
            lapsed: false,
        });
        self.journal.end(index, at, outcome);
    }

    /// Applies the current faults to an order.
    async fn receive(self: &Arc<Self>, kind: OrderKind, order: Order) -> Reply {
        if !self.update(|inner| inner.is_reached(order.fence)) {
            return future::pending().await;
        }
        match self.faults.decide(kind, &order.task, order.run) {
            Fate::Served => self.update(|inner| self.execute(inner, kind, &order)),
            Fate::Late(delay) => {
                self.execute_later(kind, order, delay);
                future::pending().await
            }
            Fate::Unavailable => json_answer(503, &json!({})),
            Fate::NoRoom => self.update(|inner| {
                if order.fence < inner.fence {
                    return inner.refuse("fence");
                }
                inner.fence = order.fence;
                inner.extend_lease(order.until_ms);
                inner.refuse("room")
            }),
        }
    }

    /// Executes an order after a delay. An incarnation that has ended by then has lost it,
    /// or the next one executes it, at the earliest when it has started.
    fn execute_later(self: &Arc<Self>, kind: OrderKind, order: Order, delay: Duration) {
        let worker = self.clone();
        let born = self.inner.lock().unwrap().born;
        tokio::spawn(async move {
            sleep(delay).await;
            while worker.update(|inner| inner.down) {
                sleep(POLL_INTERVAL).await;
            }
            worker.update(|inner| {
                if inner.born == born || inner.after_restart == AfterRestart::Executed {
                    worker.execute(inner, kind, &order);
                }
            });
            worker.faults.carried_out();
        });
    }

    /// Executes an order unless its fencing token is outdated.
    fn execute(&self, inner: &mut Inner, kind: OrderKind, order: &Order) -> Reply {
        if order.fence < inner.fence {
            return inner.refuse("fence");
        }
        inner.fence = order.fence;
        match kind {
            OrderKind::Start => self.start(inner, order),
            OrderKind::Stop => {
                let run = (order.task.clone(), order.run);
                self.end(inner, run, Instant::now(), "stopped");
                let closed_run = inner.closed_runs.entry(order.task.clone()).or_default();
                *closed_run = order.run.max(*closed_run);
                inner.accept()
            }
            OrderKind::Throttle => inner.accept(),
        }
    }

    fn start(&self, inner: &mut Inner, order: &Order) -> Reply {
        let run = (order.task.clone(), order.run);
        inner.extend_lease(order.until_ms);
        if inner.active.contains_key(&run) {
            return inner.accept();
        }
        let closed_run = inner.closed_runs.get(&order.task).copied();
        if order.run <= closed_run.unwrap_or_default() {
            return inner.refuse("old");
        }
        if order.until_ms <= inner.clock.read() {
            return inner.refuse("late");
        }
        let started = Instant::now();
        let mut runs = self.journal.0.lock().unwrap();
        let index = runs.len();
        runs.push(Run {
            task: order.task.clone(),
            run: order.run,
            worker: self.id.clone(),
            started,
            ended: None,
            acknowledged: false,
        });
        let finish_at = match order.spec.as_str() {
            "endless" => None,
            "brief" => Some(started + BRIEF_DURATION),
            spec => {
                let ms = spec.parse().map(Duration::from_millis);
                Some(started + ms.unwrap_or(self.task_duration))
            }
        };
        inner.active.insert(run, ActiveRun { index, finish_at });
        inner.accept()
    }
}

/// The body of an order. Only starts have a payload and a lease end.
#[derive(Deserialize)]
struct Order {
    task: String,
    run: u64,
    fence: u64,
    #[serde(default)]
    spec: String,
    #[serde(default)]
    until_ms: u64,
}

#[post("/run-start", data = "<body>")]
async fn start(body: Json<Order>, worker: &State<Arc<Worker>>) -> Reply {
    worker.receive(OrderKind::Start, body.into_inner()).await
}

#[post("/run-stop", data = "<body>")]
async fn stop(body: Json<Order>, worker: &State<Arc<Worker>>) -> Reply {
    worker.receive(OrderKind::Stop, body.into_inner()).await
}

#[post("/pace", data = "<body>")]
async fn throttle(body: Json<Order>, worker: &State<Arc<Worker>>) -> Reply {
    worker.receive(OrderKind::Throttle, body.into_inner()).await
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
    if !worker.update(|inner| inner.is_reached(body.fence)) {
        return future::pending().await;
    }
    let applied = worker.update(|inner| {
        if body.fence < inner.fence {
            return Err(inner.refuse("fence"));
        }
        inner.fence = body.fence;
        let acknowledged = inner.ends.iter().filter(|end| end.number <= body.last_seen);
        for end in acknowledged.filter(|end| !end.lapsed) {
            worker.journal.acknowledge(end.index);
        }
        inner.ends.retain(|end| end.number > body.last_seen);
        inner.extend_lease(body.until_ms.unwrap_or_default());
        Ok(inner.born)
    });
    let born = match applied {
        Ok(born) => born,
        Err(refusal) => return refusal,
    };
    let deadline = Instant::now() + Duration::from_millis(body.wait_ms);
    while Instant::now() < deadline
        && worker.update(|inner| inner.born == born && inner.ends.is_empty())
    {
        sleep(POLL_INTERVAL).await;
    }
    // The answer of a call that waited while the worker was cut off is lost.
    if !worker.update(|inner| inner.is_reached(body.fence)) {
        return future::pending().await;
    }
    let report = worker.update(|inner| (inner.born == born).then(|| report(inner)));
    match report {
        Some(report) => report,
        // The incarnation that got the call has ended, and its connections with it.
        None => json_answer(503, &json!({})),
    }
}

fn report(inner: &Inner) -> Reply {
    let running = inner.active.keys();
    let running: Vec<Value> = running
        .map(|(task, run)| json!([task, run, "", 100, 0]))
        .collect();
    let ends = inner.ends.iter();
    let finished: Vec<Value> = ends
        .map(|end| json!([end.number, end.run.0, end.run.1, end.outcome, ""]))
        .collect();
    json_answer(
        200,
        &json!({
            "clock_ms": inner.clock.read(), "born": inner.born,
            "running": running, "finished": finished,
        }),
    )
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.expect("the system's clock is set").as_millis() as u64
}
