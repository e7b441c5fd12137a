//! A test deployment on one machine: entry daemons in processes of their own,
//! and a store and workers inside the test.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use lycheelock::server::RunningServer;
use serde_json::{Value, json};

use crate::door::{Door, Shut};
use crate::faults::Faults;
use crate::ports::free_address;
use crate::relay::Relay;
use crate::store::Store;
use crate::workers::{Journal, Reach, Worker};

/// Run time of a task that is not endless.
const TASK_DURATION: Duration = Duration::from_millis(300);
/// Time limit of waits that take no limit of their own.
const WAIT_TIMEOUT: Duration = Duration::from_secs(15);

/// Sleeps for a number of milliseconds.
pub async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// A daemon in a process of its own, killed on drop.
pub struct Process(Child);

impl Process {
    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.0.id()
    }

    /// Sends a signal, named as for `kill -s`.
    pub fn signal(&self, name: &str) {
        let id = self.0.id().to_string();
        let status = Command::new("kill").args(["-s", name, &id]).status();
        assert!(status.is_ok_and(|status| status.success()));
    }

    /// Whether the process has not exited.
    pub fn is_running(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(None))
    }

    /// Waits for the process to exit. Returns its exit code, or `None` after the
    /// timeout or if a signal ended it.
    pub fn wait(&mut self, timeout: Duration) -> Option<i32> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.0.try_wait() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// What a deployment consists of.
#[derive(Debug)]
pub struct Parts<'a> {
    /// Number of entry daemons.
    pub entries: usize,
    /// Number of workers.
    pub workers: usize,
    /// Availability zones, which the daemons and the workers are in by turns.
    pub zones: &'a [&'a str],
    /// What a daemon may use of its processor.
    pub cores: &'a str,
    /// Whether connections to the store and to workers lead through relays.
    pub relayed: bool,
    /// Whether connections to workers lead through doors.
    pub doors: bool,
    /// Readings, in milliseconds, and rates of the clocks of the first workers; the other
    /// clocks begin at 0.
    pub clocks: &'a [(u64, f64)],
    /// The limit on the body of a caller's request, in bytes.
    pub body: u64,
    /// Further lines of the daemons' settings.
    pub settings: &'a str,
}

impl Default for Parts<'_> {
    fn default() -> Self {
        Self {
            entries: 1,
            workers: 1,
            zones: &["a"],
            cores: "1",
            relayed: false,
            doors: false,
            clocks: &[],
            body: 65_536,
            settings: "",
        }
    }
}

/// A deployment under test.
pub struct Deployment {
    /// Processes of the entry daemons, in the order of their numbers.
    pub entries: Vec<Process>,
    /// Stand-in for the platform's store.
    pub store: Arc<Store>,
    /// Runs of all workers.
    pub journal: Arc<Journal>,
    /// Faults that all workers apply to orders.
    pub faults: Arc<Faults>,
    /// Addresses on which the entry daemons accept callers.
    pub front_addresses: Vec<SocketAddr>,
    ready_addresses: Vec<SocketAddr>,
    metrics_addresses: Vec<SocketAddr>,
    client: reqwest::Client,
    folder: PathBuf,
    workers: Vec<(Arc<Worker>, RunningServer)>,
    /// Relays to the store, one for each entry daemon, if there are any.
    pub store_relays: Vec<Relay>,
    /// Relays to the workers, if there are any.
    pub worker_relays: Vec<Relay>,
    /// Doors of the workers, if there are any.
    worker_doors: Vec<Door>,
    /// Availability zones, which the workers are in by turns.
    zones: Vec<String>,
    /// One for each entry daemon.
    _store_servers: Vec<RunningServer>,
}

impl Deployment {
    /// Starts all servers and waits until the daemons are ready and one owns the shard.
    pub async fn start(name: &str, entries: usize, workers: usize) -> Self {
        let parts = Parts {
            entries,
            workers,
            ..Parts::default()
        };
        Self::start_parts(name, &parts).await
    }

    /// Starts all servers and waits until the daemons are ready and one owns a shard.
    pub async fn start_parts(name: &str, parts: &Parts<'_>) -> Self {
        let Parts {
            entries,
            workers,
            zones,
            cores,
            relayed,
            doors,
            clocks,
            body,
            settings,
        } = *parts;
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let unique = format!("lycheelock-fleet-{name}-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(unique);
        fs::create_dir_all(&folder).expect("the settings folder can be created");
        let store = Arc::new(Store::default());
        let (mut store_relays, mut worker_relays) = (Vec::new(), Vec::new());
        let mut platforms = Vec::new();
        let mut store_servers = Vec::new();
        for number in 0..entries {
            let platform = free_address();
            store_servers.push(store.serve(number, platform).await);
            let relay = relayed.then(|| Relay::start(platform));
            platforms.push(relay.as_ref().map_or(platform, |relay| relay.address));
            store_relays.extend(relay);
        }
        let mut running = Vec::new();
        let mut worker_doors = Vec::new();
        let journal = Arc::new(Journal::default());
        let faults = Arc::new(Faults::default());
        for number in 0..workers {
            let id = format!("w{number}");
            let worker = Worker::new(&id, free_address(), &journal, &faults, TASK_DURATION);
            if let Some((reading, rate)) = clocks.get(number) {
                worker.set_clock(*reading, *rate);
            }
            let server = worker.serve().await;
            let mut entry = worker.roster_entry();
            entry["zone"] = json!(zones[number % zones.len()]);
            if relayed {
                let relay = Relay::start(worker.address());
                entry["address"] = json!(relay.address.to_string());
                worker_relays.push(relay);
            }
            if doors {
                let door = Door::open_at(free_address(), worker.address());
                entry["address"] = json!(door.address.to_string());
                worker_doors.push(door);
            }
            store.put(&format!("servers/{id}"), &entry);
            running.push((worker, server));
        }
        let mut configured = configuration(1, "/q/");
        configured["limits"]["max_body_bytes"] = json!(body);
        store.put("op/config", &configured);
        let mut deployment = Self {
            entries: Vec::new(),
            store,
            journal,
            faults,
            front_addresses: Vec::new(),
            ready_addresses: Vec::new(),
            metrics_addresses: Vec::new(),
            client: reqwest::Client::new(),
            folder,
            workers: running,
            store_relays,
            worker_relays,
            worker_doors,
            zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
            _store_servers: store_servers,
        };
        for (number, platform) in platforms.into_iter().enumerate() {
            let zone = zones[number % zones.len()];
            let place = format!(
                "zone = {zone}\nzones = {}\ncores = {cores}\n{settings}",
                zones.join(",")
            );
            deployment.add_entry(number, platform, &place);
        }
        for number in 0..entries {
            deployment.wait_ready(number).await;
        }
        deployment.owner().await;
        deployment
    }

    fn add_entry(&mut self, number: usize, platform: SocketAddr, place: &str) {
        let [front, ready, metrics] = [free_address(), free_address(), free_address()];
        let text = format!(
            "[fleet]\nname = e{number}\n{place}address = {front}\nready = {ready}\n\
             metrics = {metrics}\nplatform = {platform}\nsilence = 800ms\n"
        );
        let path = self.folder.join(format!("e{number}.ini"));
        fs::write(&path, text).expect("settings can be written");
        let child = Command::new(assert_cmd::cargo::cargo_bin!("lycheelock"))
            .args(["entry", "-c"])
            .arg(&path)
            .stdout(File::create(self.log(number)).expect("a log can be written"))
            .spawn()
            .expect("the daemon starts");
        self.entries.push(Process(child));
        self.front_addresses.push(front);
        self.ready_addresses.push(ready);
        self.metrics_addresses.push(metrics);
    }

    fn log(&self, entry: usize) -> PathBuf {
        self.folder.join(format!("e{entry}.log"))
    }

    async fn wait_ready(&self, entry: usize) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while self.ready(entry).await != Some(200) {
            assert!(Instant::now() < deadline, "entry {entry} is not ready");
            sleep_ms(30).await;
        }
    }

    /// Returns the status of an entry daemon's readiness probe, or `None` if it
    /// does not answer.
    pub async fn ready(&self, entry: usize) -> Option<u16> {
        let url = format!("http://{}/ready", self.ready_addresses[entry]);
        let response = self
            .client
            .get(url)
            .timeout(Duration::from_secs(1))
            .send()
            .await;
        response.ok().map(|response| response.status().as_u16())
    }

    /// Waits until a condition holds.
    pub async fn wait_for(&self, condition: &str, holds: impl Fn() -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !holds() {
            assert!(
                Instant::now() < deadline,
                "timed out waiting until {condition}"
            );
            sleep_ms(20).await;
        }
    }

    /// Returns an entry daemon's metrics; empty if it does not answer.
    pub async fn metrics(&self, entry: usize) -> String {
        let url = format!("http://{}/metrics", self.metrics_addresses[entry]);
        let request = self.client.get(url).timeout(Duration::from_millis(300));
        let Ok(response) = request.send().await else {
            return String::new();
        };
        response.text().await.unwrap_or_default()
    }

    /// Returns the lines of an event in the log of an entry daemon.
    pub fn logged(&self, entry: usize, event: &str) -> Vec<Value> {
        let text = fs::read_to_string(self.log(entry)).unwrap_or_default();
        let lines = text
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok());
        lines
            .filter(|line: &Value| line["event"] == event)
            .collect()
    }

    async fn owns_shard(&self, entry: usize) -> bool {
        self.metrics(entry).await.contains("shards_owned 1")
    }

    /// Waits until an entry daemon owns the shard. Returns its number.
    pub async fn owner(&self) -> usize {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            for entry in 0..self.entries.len() {
                if self.owns_shard(entry).await {
                    return entry;
                }
            }
            assert!(Instant::now() < deadline, "no entry daemon owns the shard");
            sleep_ms(20).await;
        }
    }

    /// Waits until a different entry daemon owns the shard. Returns its number.
    pub async fn wait_for_owner_other_than(&self, entry: usize) -> usize {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            for other in (0..self.entries.len()).filter(|other| *other != entry) {
                if self.owns_shard(other).await {
                    return other;
                }
            }
            assert!(
                Instant::now() < deadline,
                "no other entry daemon owns the shard"
            );
            sleep_ms(20).await;
        }
    }

    /// Stops a worker permanently. The roster still lists it.
    pub fn stop_worker(&mut self, worker: usize) {
        self.workers.remove(worker).1.abort();
    }

    /// Sets whose calls reach some of the workers.
    pub fn set_reach(&self, workers: Range<usize>, reach: Reach) {
        let newest = self.store.current_revision();
        for (worker, _) in &self.workers[workers] {
            worker.set_reach(reach, newest);
        }
    }

    /// Restarts a worker under its id.
    pub fn restart_worker(&self, worker: usize) {
        let worker = &self.workers[worker].0;
        worker.restart();
        let key = format!("servers/{}", worker.id);
        self.store.put(&key, &worker.roster_entry());
    }

    /// Restarts a worker under its id at another address.
    pub async fn move_worker(&mut self, worker: usize) {
        let (former, server) = self.workers.remove(worker);
        former.restart();
        // Open connections would be served on.
        former.set_reach(Reach::Nobody, 0);
        server.abort();
        let (journal, faults) = (&self.journal, &self.faults);
        let moved = Worker::new(&former.id, free_address(), journal, faults, TASK_DURATION);
        moved.restart();
        let server = moved.serve().await;
        let key = format!("servers/{}", moved.id);
        self.store.put(&key, &moved.roster_entry());
        self.workers.insert(worker, (moved, server));
    }

    /// Returns a worker.
    pub fn worker(&self, worker: usize) -> &Worker {
        &self.workers[worker].0
    }

    /// Opens the door of a worker, or shuts it.
    pub fn set_door(&self, worker: usize, shut: Option<Shut>) {
        self.worker_doors[worker].set(shut);
    }

    /// Writes the registry's entry of a worker that is behind a door.
    pub fn register(&self, worker: usize) {
        let mut entry = self.worker(worker).roster_entry();
        entry["address"] = json!(self.worker_doors[worker].address.to_string());
        entry["zone"] = json!(self.zones[worker % self.zones.len()]);
        self.store.put(&self.registry_key(worker), &entry);
    }

    /// Removes the registry's entry of a worker.
    pub fn unregister(&self, worker: usize) {
        self.store.delete(&self.registry_key(worker));
    }

    fn registry_key(&self, worker: usize) -> String {
        format!("servers/{}", self.worker(worker).id)
    }

    /// Kills an entry daemon and waits for its process to exit.
    pub fn kill(&mut self, entry: usize) {
        self.entries[entry].signal("KILL");
        self.entries[entry].wait(WAIT_TIMEOUT);
    }

    /// Sends a POST request to an entry daemon. Returns the status.
    pub async fn post(&self, entry: usize, path: &str, body: Vec<u8>) -> u16 {
        let url = format!("http://{}{path}", self.front_addresses[entry]);
        let request = self.client.post(url).header("host", "jobs.example");
        let response = request.body(body).send().await.expect("the entry answers");
        response.status().as_u16()
    }

    /// Submits a job. Returns the status.
    pub async fn submit(&self, entry: usize, id: &str, payload: &str, steps: Value) -> u16 {
        let body = json!({"spec": payload, "steps": steps});
        self.post(entry, &format!("/q/{id}"), body.to_string().into_bytes())
            .await
    }

    /// Submits a job to a daemon that may be down. Returns the status, 0 if there is none.
    pub async fn try_submit(&self, entry: usize, id: &str, payload: &str, steps: &Value) -> u16 {
        let url = format!("http://{}/q/{id}", self.front_addresses[entry]);
        let body = json!({"spec": payload, "steps": steps}).to_string();
        let request = self.client.post(url).header("host", "jobs.example");
        let request = request.body(body).timeout(Duration::from_secs(2));
        let response = request.send().await;
        response.map_or(0, |response| response.status().as_u16())
    }

    /// Returns the status of the answer to a request for the queue of a path prefix.
    pub async fn queue_status(&self, entry: usize, prefix: &str) -> u16 {
        let url = format!("http://{}{prefix}", self.front_addresses[entry]);
        let request = self.client.get(url).header("host", "jobs.example");
        let response = request.send().await.expect("the entry answers");
        response.status().as_u16()
    }

    /// Cancels a job. Returns the status.
    pub async fn cancel(&self, entry: usize, id: &str) -> u16 {
        let url = format!("http://{}/q/{id}", self.front_addresses[entry]);
        let request = self.client.delete(url).header("host", "jobs.example");
        request
            .send()
            .await
            .expect("the entry answers")
            .status()
            .as_u16()
    }

    /// Returns the status of the answer, 0 if there is none, and the job's state.
    pub async fn job_state(&self, entry: usize, id: &str) -> (u16, String) {
        let url = format!("http://{}/q/{id}", self.front_addresses[entry]);
        let request = self.client.get(url).header("host", "jobs.example");
        let Ok(response) = request.timeout(Duration::from_secs(2)).send().await else {
            return (0, String::new());
        };
        let status = response.status().as_u16();
        let body: Value = response.json().await.unwrap_or_default();
        (
            status,
            body["state"].as_str().unwrap_or_default().to_owned(),
        )
    }

    /// Waits until any entry daemon reports a job in a state.
    pub async fn wait_for_state(&self, id: &str, state: &str, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        loop {
            for entry in 0..self.entries.len() {
                if self.job_state(entry, id).await.1 == state {
                    return;
                }
            }
            let runs = self.journal.runs(id);
            assert!(
                Instant::now() < deadline,
                "job {id} did not reach state {state}: {runs:?}"
            );
            sleep_ms(50).await;
        }
    }
}

impl Deployment {
    /// Copies the logs of the daemons to a folder, under names that begin with a prefix.
    pub fn keep_logs(&self, folder: &Path, prefix: &str) {
        for entry in 0..self.entries.len() {
            let name = format!("{prefix}-e{entry}.log");
            fs::copy(self.log(entry), folder.join(name)).expect("logs can be copied");
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.entries.clear();
        if std::thread::panicking() {
            eprintln!("logs of the daemons: {}", self.folder.display());
            return;
        }
        // A leftover in the temporary folder is harmless.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A configuration of one queue.
pub fn configuration(version: u64, prefix: &str) -> Value {
    json!({
        "version": version,
        "routes": [{
            "name": "queue", "host": "jobs.example", "prefix": prefix, "type": "unsafe",
            "timeout_ms": 3000, "target_latency_ms": 1000, "priority": 0,
            "backend": "pool", "attempts": 3, "stretch": 2.0,
        }],
        "services": [],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536},
    })
}
