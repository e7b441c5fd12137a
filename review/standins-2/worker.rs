//! Stand-in for a worker: runs, leases, fencing tokens and lists of ends, as the pages say.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Answer, Request, Server};
use crate::json::{Json, quote};
use crate::record::Record;
use crate::store::Store;

/// The longest lease, in milliseconds (`hold_max_ms`).
const HOLD_MAX_MS: u64 = 6000;
const MAX_ENDS: usize = 500;
/// Three heartbeat intervals, after which the entry of a silent worker is removed.
const SILENCE: Duration = Duration::from_millis(4500);

type RunKey = (String, u64);

struct Active {
    /// The number of the run in the record.
    number: usize,
    begun: Instant,
    /// When the run is done; absent for a task that lasts.
    done: Option<Instant>,
    saves: bool,
}

struct Life {
    born: u64,
    started: Instant,
    fence: u64,
    lease_end: u64,
    active: BTreeMap<RunKey, Active>,
    closed: BTreeMap<String, u64>,
    ends: Vec<(u64, String, u64, &'static str, String)>,
    last_end: u64,
}

impl Life {
    fn new() -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            born: born.as_millis() as u64,
            started: Instant::now(),
            fence: 0,
            lease_end: 0,
            active: BTreeMap::new(),
            closed: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
        }
    }

    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn refuse(&self, reason: &str) -> Answer {
        Some((409, format!("{{\"clock_ms\":{},\"born\":{},\"reason\":\"{reason}\"}}", self.clock(), self.born)))
    }

    fn accept(&self) -> Answer {
        Some((200, format!("{{\"clock_ms\":{},\"born\":{}}}", self.clock(), self.born)))
    }
}

/// What a worker is, apart from its life.
#[derive(Clone)]
pub struct Kind {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub rack: String,
    pub label: String,
    pub cpu: u32,
    pub mem_mb: u32,
}

pub struct Worker {
    pub kind: Mutex<Kind>,
    store: Arc<Store>,
    record: Arc<Record>,
    life: Mutex<Life>,
    changed: Condvar,
    server: Mutex<Option<Server>>,
    /// Whether calls are neither carried out nor answered.
    mute: AtomicBool,
    draining: AtomicBool,
}

impl Worker {
    pub fn new(kind: Kind, store: &Arc<Store>, record: &Arc<Record>) -> Arc<Self> {
        let worker = Arc::new(Self {
            kind: Mutex::new(kind),
            store: store.clone(),
            record: record.clone(),
            life: Mutex::new(Life::new()),
            changed: Condvar::new(),
            server: Mutex::new(None),
            mute: AtomicBool::new(false),
            draining: AtomicBool::new(false),
        });
        let ticking = Arc::downgrade(&worker);
        thread::spawn(move || {
            while let Some(worker) = ticking.upgrade() {
                worker.runs();
                drop(worker);
                thread::sleep(Duration::from_millis(10));
            }
        });
        worker
    }

    /// Begins a life: it registers the worker and listens at its address.
    pub fn up(self: &Arc<Self>) {
        let kind = self.kind.lock().unwrap().clone();
        *self.life.lock().unwrap() = Life::new();
        self.register();
        let worker = self.clone();
        let handler = move |request: &Request| worker.answer(request);
        let server = loop {
            match Server::start(kind.address, Arc::new(handler.clone())) {
                Ok(server) => break server,
                Err(_) => thread::sleep(Duration::from_millis(5)),
            }
        };
        *self.server.lock().unwrap() = Some(server);
        self.record.note(&format!("worker {} up, kind {}", kind.id, kind.label));
    }

    /// Ends a life: everything that runs ends with it, and no end is listed. The store removes
    /// the entry of a worker that stays silent.
    pub fn down(self: &Arc<Self>) {
        if let Some(server) = self.server.lock().unwrap().take() {
            server.stop();
        }
        let mut life = self.life.lock().unwrap();
        self.end_due(&mut life);
        for (_, active) in std::mem::take(&mut life.active) {
            self.record.end(active.number, "lost");
        }
        life.ends.clear();
        drop(life);
        let id = self.kind.lock().unwrap().id.clone();
        self.record.note(&format!("worker {id} down"));
        let worker = self.clone();
        thread::spawn(move || {
            thread::sleep(SILENCE);
            if worker.server.lock().unwrap().is_none() {
                worker.store.remove(&format!("servers/{id}"));
            }
        });
    }

    /// Leaves calls unanswered from now on, or answers them again.
    pub fn set_mute(&self, mute: bool) {
        self.mute.store(mute, Ordering::SeqCst);
        let id = self.kind.lock().unwrap().id.clone();
        let change = if mute { "leaves calls unanswered" } else { "answers again" };
        self.record.note(&format!("worker {id} {change}"));
    }

    /// Says that the worker leaves. The store has accepted it when this returns.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
        self.register();
        let id = self.kind.lock().unwrap().id.clone();
        self.record.note(&format!("worker {id} is draining"));
    }

    fn register(&self) {
        let state = if self.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let kind = self.kind.lock().unwrap().clone();
        let born = self.life.lock().unwrap().born;
        let entry = format!(
            "{{\"backend\":\"pool\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"{state}\",\"cold_left_ms\":0,\"seq\":1,\"born\":{born},\
             \"capacity\":{{\"cpu\":{},\"mem_mb\":{},\"gpu\":0}},\"labels\":[\"{}\",\"{}\"]}}",
            kind.address, kind.zone, kind.cpu, kind.mem_mb, kind.label, kind.rack
        );
        self.store.put(&format!("servers/{}", kind.id), &entry);
    }

    /// The number of its runs.
    pub fn runs(&self) -> usize {
        let mut life = self.life.lock().unwrap();
        self.end_due(&mut life);
        life.active.len()
    }

    fn end_due(&self, life: &mut Life) {
        let now = Instant::now();
        let lapse = life.started + Duration::from_millis(life.lease_end);
        let due = life.active.iter().filter_map(|(key, active)| {
            let (at, how) = match active.done {
                Some(done) if done <= lapse => (done, "done"),
                _ => (lapse, "lapsed"),
            };
            (at <= now).then(|| (key.clone(), how))
        });
        let due: Vec<(RunKey, &'static str)> = due.collect();
        for (key, how) in due {
            self.end(life, key, how);
        }
    }

    fn end(&self, life: &mut Life, key: RunKey, how: &'static str) {
        let Some(active) = life.active.remove(&key) else {
            return;
        };
        life.last_end += 1;
        let closed = life.closed.entry(key.0.clone()).or_default();
        *closed = key.1.max(*closed);
        let saved = checkpoint(&key, &active);
        life.ends.push((life.last_end, key.0, key.1, how, saved));
        self.record.end(active.number, how);
    }

    fn answer(&self, request: &Request) -> Answer {
        let id = self.kind.lock().unwrap().id.clone();
        if request.header("X-Lycheelock-Expect-Instance").is_some_and(|named| named != id) {
            return Some((421, "{}".to_owned()));
        }
        if self.mute.load(Ordering::SeqCst) {
            return None;
        }
        let body = Json::parse(&request.body)?;
        if request.path == "/hold" {
            return self.hold(&body);
        }
        let mut life = self.life.lock().unwrap();
        self.end_due(&mut life);
        let fence = body.get("fence").int();
        if fence < life.fence {
            return life.refuse("fence");
        }
        life.fence = fence;
        let key = (body.get("task").text().to_owned(), body.get("run").int());
        match request.path.as_str() {
            "/run-start" => self.start(&mut life, key, &body),
            "/run-stop" => {
                let closed = life.closed.entry(key.0.clone()).or_default();
                *closed = key.1.max(*closed);
                self.end(&mut life, key, "stopped");
                self.changed.notify_all();
                life.accept()
            }
            "/pace" => life.accept(),
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn start(&self, life: &mut Life, key: RunKey, body: &Json) -> Answer {
        let until = body.get("until_ms").int().min(life.clock() + HOLD_MAX_MS);
        if life.active.contains_key(&key) {
            life.lease_end = life.lease_end.max(until);
            return life.accept();
        }
        if key.1 <= life.closed.get(&key.0).copied().unwrap_or_default() {
            life.lease_end = life.lease_end.max(until);
            return life.refuse("old");
        }
        if until <= life.clock() {
            return life.refuse("late");
        }
        life.lease_end = life.lease_end.max(until);
        let kind = self.kind.lock().unwrap().clone();
        let spec = body.get("spec").text().to_owned();
        let number = self.record.start(&key.0, key.1, &kind.id, &kind.label);
        let begun = Instant::now();
        let span: Option<u64> = spec.split(' ').next().and_then(|text| text.parse().ok());
        let done = span.map(|millis| begun + Duration::from_millis(millis));
        let saves = spec.contains("saves");
        life.active.insert(key, Active { number, begun, done, saves });
        life.accept()
    }

    fn hold(&self, body: &Json) -> Answer {
        let mut life = self.life.lock().unwrap();
        self.end_due(&mut life);
        let (fence, born) = (body.get("fence").int(), life.born);
        if fence < life.fence {
            return life.refuse("fence");
        }
        life.fence = fence;
        let seen = body.get("last_seen").int();
        for end in life.ends.iter().filter(|end| end.0 <= seen) {
            self.record.noted(&end.1, end.2);
        }
        life.ends.retain(|end| end.0 > seen);
        let until = body.get("until_ms").int().min(life.clock() + HOLD_MAX_MS);
        life.lease_end = life.lease_end.max(until);
        let deadline = Instant::now() + Duration::from_millis(body.get("wait_ms").int());
        while life.ends.is_empty() && life.born == born && Instant::now() < deadline {
            let left = deadline.saturating_duration_since(Instant::now());
            let left = left.min(Duration::from_millis(10));
            life = self.changed.wait_timeout(life, left).unwrap().0;
            self.end_due(&mut life);
        }
        if life.born != born {
            return None;
        }
        let running = life.active.iter().map(|(key, active)| {
            let saved = checkpoint(key, active);
            format!("[{},{},{},{},0]", quote(&key.0), key.1, quote(&saved), percent(active))
        });
        let running: Vec<String> = running.collect();
        let ends = life.ends.iter().take(MAX_ENDS);
        let ends = ends.map(|(number, task, run, how, saved)| {
            format!("[{number},{},{run},\"{how}\",{}]", quote(task), quote(saved))
        });
        let ends: Vec<String> = ends.collect();
        Some((200, format!(
            "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
            life.clock(), life.born, running.join(","), ends.join(",")
        )))
    }
}

fn percent(active: &Active) -> u64 {
    let Some(done) = active.done else {
        return 100;
    };
    let whole = (done - active.begun).as_millis().max(1);
    (active.begun.elapsed().as_millis() * 100 / whole).min(99) as u64
}

/// The last checkpoint of a run: 16 digits, new with each two seconds of work and at a stop.
fn checkpoint(key: &RunKey, active: &Active) -> String {
    if !active.saves {
        return String::new();
    }
    let count = active.begun.elapsed().as_secs() / 2 + 1;
    let job: String = key.0.chars().filter(char::is_ascii_hexdigit).take(12).collect();
    format!("{count:04x}{job:0<12}")
}
