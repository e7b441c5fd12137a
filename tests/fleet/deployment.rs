//! A deployment of a few entry daemons, a store and workers on one machine.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use lycheelock::server::RunningServer;
use serde_json::{Value, json};

use crate::ports::free_address;
use crate::store::Store;
use crate::workers::{Journal, Worker};

const TASK_TIME: Duration = Duration::from_millis(300);
const PATIENCE: Duration = Duration::from_secs(15);

/// Waits for some milliseconds.
pub async fn pause(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// A daemon as a process of its own; it ends with this.
pub struct Process(Child);

impl Process {
    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let id = self.0.id().to_string();
        let status = Command::new("kill").args(["-s", name, &id]).status();
        assert!(status.is_ok_and(|status| status.success()));
    }

    /// Waits for the end of the process. Returns its exit code.
    pub fn wait(&mut self, patience: Duration) -> Option<i32> {
        let until = Instant::now() + patience;
        while Instant::now() < until {
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
        // It may have ended already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A deployment under test.
pub struct Deployment {
    /// The entry daemons.
    pub entries: Vec<Process>,
    /// The store.
    pub store: Arc<Store>,
    /// What the workers ran.
    pub journal: Arc<Journal>,
    fronts: Vec<SocketAddr>,
    readies: Vec<SocketAddr>,
    metrics: Vec<SocketAddr>,
    client: reqwest::Client,
    folder: PathBuf,
    workers: Vec<RunningServer>,
    _store: RunningServer,
}

impl Deployment {
    /// Starts everything and waits until the daemons are ready.
    pub async fn start(name: &str, entries: usize, workers: usize) -> Self {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let unique = format!("lycheelock-fleet-{name}-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(unique);
        fs::create_dir_all(&folder).expect("the folder for settings can be made");
        let store = Arc::new(Store::default());
        let platform = free_address();
        let store_server = store.serve(platform).await;
        let mut running = Vec::new();
        let journal = Arc::new(Journal::default());
        for number in 0..workers {
            let address = free_address();
            let worker = Worker::new(&format!("w{number}"), &journal, TASK_TIME);
            running.push(worker.serve(address).await);
            store.put(&format!("servers/w{number}"), &worker.entry(address));
        }
        store.put("op/config", &configuration());
        let mut deployment = Self {
            entries: Vec::new(),
            store,
            journal,
            fronts: Vec::new(),
            readies: Vec::new(),
            metrics: Vec::new(),
            client: reqwest::Client::new(),
            folder,
            workers: running,
            _store: store_server,
        };
        for number in 0..entries {
            deployment.add_entry(number, platform);
        }
        for number in 0..entries {
            deployment.wait_ready(number).await;
        }
        deployment.owner().await;
        deployment
    }

    fn add_entry(&mut self, number: usize, platform: SocketAddr) {
        let [front, ready, metrics] = [free_address(), free_address(), free_address()];
        let text = format!(
            "[fleet]\nname = e{number}\nzone = a\nzones = a\naddress = {front}\nready = {ready}\n\
             metrics = {metrics}\nplatform = {platform}\nsilence = 800ms\n"
        );
        let path = self.folder.join(format!("e{number}.ini"));
        fs::write(&path, text).expect("settings can be written");
        let child = Command::new(assert_cmd::cargo::cargo_bin!("lycheelock"))
            .args(["entry", "-c"])
            .arg(&path)
            .stdout(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        self.entries.push(Process(child));
        self.fronts.push(front);
        self.readies.push(ready);
        self.metrics.push(metrics);
    }

    async fn wait_ready(&self, entry: usize) {
        let until = Instant::now() + PATIENCE;
        while self.ready(entry).await != Some(200) {
            assert!(Instant::now() < until, "entry {entry} is not ready");
            pause(30).await;
        }
    }

    /// What an entry answers to the balancer.
    pub async fn ready(&self, entry: usize) -> Option<u16> {
        let url = format!("http://{}/ready", self.readies[entry]);
        let response = self
            .client
            .get(url)
            .timeout(Duration::from_secs(1))
            .send()
            .await;
        response.ok().map(|response| response.status().as_u16())
    }

    /// Waits until something holds.
    pub async fn wait_for(&self, what: &str, holds: impl Fn() -> bool) {
        let until = Instant::now() + PATIENCE;
        while !holds() {
            assert!(Instant::now() < until, "waited in vain until {what}");
            pause(20).await;
        }
    }

    async fn owns(&self, entry: usize) -> bool {
        let url = format!("http://{}/metrics", self.metrics[entry]);
        let call = self.client.get(url).timeout(Duration::from_millis(300));
        let Ok(response) = call.send().await else {
            return false;
        };
        response
            .text()
            .await
            .is_ok_and(|text| text.contains("shards_owned 1"))
    }

    /// The entry that owns the workers.
    pub async fn owner(&self) -> usize {
        let until = Instant::now() + PATIENCE;
        loop {
            for entry in 0..self.entries.len() {
                if self.owns(entry).await {
                    return entry;
                }
            }
            assert!(Instant::now() < until, "no entry owns the workers");
            pause(20).await;
        }
    }

    /// Waits until another entry owns the workers.
    pub async fn wait_for_owner_other_than(&self, entry: usize) {
        let until = Instant::now() + PATIENCE;
        loop {
            for other in (0..self.entries.len()).filter(|other| *other != entry) {
                if self.owns(other).await {
                    return;
                }
            }
            assert!(Instant::now() < until, "no other entry owns the workers");
            pause(20).await;
        }
    }

    /// Ends a worker for good; the registry goes on listing it.
    pub fn end_worker(&mut self, worker: usize) {
        self.workers.remove(worker).abort();
    }

    /// Kills an entry.
    pub fn kill(&mut self, entry: usize) {
        self.entries[entry].signal("KILL");
        self.entries[entry].wait(PATIENCE);
    }

    /// Sends a body to an entry. Returns the status.
    pub async fn post(&self, entry: usize, path: &str, body: Vec<u8>) -> u16 {
        let url = format!("http://{}{path}", self.fronts[entry]);
        let call = self.client.post(url).header("host", "jobs.example");
        let response = call.body(body).send().await.expect("the entry answers");
        response.status().as_u16()
    }

    /// Submits a job. Returns the status.
    pub async fn submit(&self, entry: usize, id: &str, payload: &str, steps: Value) -> u16 {
        let body = json!({"spec": payload, "steps": steps});
        self.post(entry, &format!("/q/{id}"), body.to_string().into_bytes())
            .await
    }

    /// Cancels a job. Returns the status.
    pub async fn cancel(&self, entry: usize, id: &str) -> u16 {
        let url = format!("http://{}/q/{id}", self.fronts[entry]);
        let call = self.client.delete(url).header("host", "jobs.example");
        call.send()
            .await
            .expect("the entry answers")
            .status()
            .as_u16()
    }

    /// A job's state.
    pub async fn state(&self, entry: usize, id: &str) -> (u16, String) {
        let url = format!("http://{}/q/{id}", self.fronts[entry]);
        let call = self.client.get(url).header("host", "jobs.example");
        let Ok(response) = call.timeout(Duration::from_secs(2)).send().await else {
            return (0, String::new());
        };
        let status = response.status().as_u16();
        let body: Value = response.json().await.unwrap_or_default();
        (
            status,
            body["state"].as_str().unwrap_or_default().to_owned(),
        )
    }

    /// Waits until any entry shows a job in a state.
    pub async fn wait_for_state(&self, id: &str, state: &str, patience: Duration) {
        let until = Instant::now() + patience;
        loop {
            for entry in 0..self.entries.len() {
                if self.state(entry, id).await.1 == state {
                    return;
                }
            }
            let runs = self.journal.runs(id);
            assert!(Instant::now() < until, "job {id} is not {state}: {runs:?}");
            pause(50).await;
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.entries.clear();
        // What is left in the folder for temporary files does no harm.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn configuration() -> Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "queue", "host": "jobs.example", "prefix": "/q/", "type": "unsafe",
            "timeout_ms": 3000, "target_latency_ms": 1000, "priority": 0,
            "backend": "pool", "attempts": 3, "stretch": 2.0,
        }],
        "services": [],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536},
    })
}
