//! A small deployment on loopback addresses: entry daemons as processes, a store and workers.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::{Server, call, free_address};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Kind, Worker};

/// The processors of a worker, in thousandths of a core.
pub const WORKER_CPU: u32 = 32_000;
const CALL_LIMIT: Duration = Duration::from_secs(3);

pub struct Entry {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
    pub process: Child,
}

pub struct Deployment {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub workers: Vec<Arc<Worker>>,
    pub entries: Vec<Entry>,
    pub platform: Option<Server>,
    folder: PathBuf,
}

pub fn sleep_ms(millis: u64) {
    sleep(Duration::from_millis(millis));
}

/// A queue in the configuration.
pub struct Queue {
    pub name: &'static str,
    pub prefix: String,
    pub priority: u32,
    pub attempts: u32,
}

pub fn queue(name: &'static str, priority: u32, attempts: u32) -> Queue {
    Queue { name, prefix: format!("/{name}/"), priority, attempts }
}

pub fn configuration(version: u64, queues: &[Queue]) -> String {
    let routes = queues.iter().map(|queue| {
        format!(
            "{{\"name\":\"{}\",\"host\":\"jobs.example\",\"prefix\":\"{}\",\"type\":\"unsafe\",\
             \"timeout_ms\":3000,\"target_latency_ms\":1000,\"priority\":{},\"backend\":\"pool\",\
             \"attempts\":{},\"stretch\":2.0}}",
            queue.name, queue.prefix, queue.priority, queue.attempts
        )
    });
    let routes: Vec<String> = routes.collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"pool\",\"rejects_overload\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144}}}}",
        routes.join(",")
    )
}

impl Deployment {
    /// Starts a store, workers and daemons, and waits until the daemons are ready.
    pub fn start(entries: usize, workers: usize, cores: &str, label: impl Fn(usize) -> String, queues: &[Queue]) -> Result<Self, String> {
        let record = Arc::new(Record::new());
        let store = Arc::new(Store::default());
        let address = free_address();
        let platform = Some(store.serve(address));
        let folder = std::env::temp_dir().join(format!("lycheelock-review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        store.put("op/config", &configuration(1, queues));
        let mut deployment =
            Self { record, store, workers: Vec::new(), entries: Vec::new(), platform, folder };
        for number in 0..workers {
            let kind = Kind {
                id: format!("w{number}-{}", std::process::id()),
                address: free_address(),
                zone: format!("zone-{}", ["a", "b", "c"][number % 3]),
                rack: format!("r{}-{}", number % 3, number / 24),
                label: label(number),
                cpu: WORKER_CPU,
                mem_mb: 128_000,
            };
            let worker = Worker::new(kind, &deployment.store, &deployment.record);
            worker.up();
            deployment.workers.push(worker);
        }
        for number in 0..entries {
            let entry = deployment.spawn(number, address, cores)?;
            deployment.entries.push(entry);
        }
        for number in 0..entries {
            deployment.wait_ready(number)?;
        }
        let deadline = Instant::now() + Duration::from_secs(15);
        while deployment.owner().is_none() {
            if Instant::now() > deadline {
                return Err("no daemon owns the shard".to_owned());
            }
            sleep_ms(20);
        }
        Ok(deployment)
    }

    /// Starts a daemon with the command of the deploy file and the settings of its template.
    fn spawn(&self, number: usize, platform: SocketAddr, cores: &str) -> Result<Entry, String> {
        let [front, ready, metrics] = [free_address(), free_address(), free_address()];
        let zone = ["a", "b", "c"][number % 3];
        let text = format!(
            "[fleet]\nname = edge-{number}\nzone = zone-{zone}\nzones = zone-a,zone-b,zone-c\n\
             address = {front}\nready = {ready}\nmetrics = {metrics}\nplatform = {platform}\n\
             cores = {cores}\ngrace = 6s\n"
        );
        let settings = self.folder.join(format!("edge-{number}.ini"));
        let log = self.folder.join(format!("edge-{number}.log"));
        fs::write(&settings, text).map_err(|error| error.to_string())?;
        let process = launch(&settings, &log)?;
        Ok(Entry { front, ready, metrics, process })
    }

    fn wait_ready(&mut self, number: usize) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_secs(15);
        while !self.is_ready(number) {
            if Instant::now() > deadline {
                return Err(format!("entry {number} is not ready"));
            }
            sleep_ms(20);
        }
        Ok(())
    }

    pub fn is_ready(&self, number: usize) -> bool {
        call(self.entries[number].ready, "GET", "/ready", "", Duration::from_secs(1)).0 == 200
    }

    /// The daemon that owns the shard.
    pub fn owner(&self) -> Option<usize> {
        (0..self.entries.len()).find(|number| {
            let address = self.entries[*number].metrics;
            let (_, text) = call(address, "GET", "/metrics", "", Duration::from_millis(300));
            text.contains("shards_owned ") && !text.contains("shards_owned 0")
        })
    }

    /// Kills a daemon, as the loss of its machine does.
    pub fn kill(&mut self, number: usize) {
        let _ = self.entries[number].process.kill();
        let _ = self.entries[number].process.wait();
        self.record.note(&format!("entry {number} killed"));
    }

    /// Submits a job at one of the given entries until one accepts it.
    pub fn submit(&self, entries: &[usize], queue: &str, id: &str, body: &str) -> bool {
        for attempt in 0..8 {
            let entry = entries[attempt % entries.len()];
            let path = format!("/{queue}/{id}");
            let (status, _) = call(self.entries[entry].front, "POST", &path, body, CALL_LIMIT);
            self.record.note(&format!("POST {path} at entry {entry}: {status}"));
            if status == 200 {
                return true;
            }
            sleep_ms(200);
        }
        false
    }

    /// The status and the state of a job.
    pub fn state(&self, entry: usize, queue: &str, id: &str) -> (u16, String) {
        let path = format!("/{queue}/{id}");
        let (status, body) = call(self.entries[entry].front, "GET", &path, "", CALL_LIMIT);
        let state = Json::parse(&body).map(|body| body.get("state").text().to_owned());
        (status, state.unwrap_or_default())
    }
}

fn launch(settings: &PathBuf, log: &PathBuf) -> Result<Child, String> {
    let output = File::options().create(true).append(true).open(log).map_err(|error| error.to_string())?;
    let errors = output.try_clone().map_err(|error| error.to_string())?;
    Command::new("target/release/lycheelock")
        .args(["entry", "-c"])
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(errors)
        .spawn()
        .map_err(|error| error.to_string())
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for entry in &mut self.entries {
            let _ = entry.process.kill();
            let _ = entry.process.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_some() {
            println!("logs: {}", self.folder.display());
        } else {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
