//! A deployment of separate processes, with a relay that cuts connections.

pub mod relay;

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use lycheelock::front::EntryStatus;
use lycheelock::operator::EntryClient;
use lycheelock::platform::{HostState, ListedHost};
use lycheelock::standins::audit::{Told, Violations, audit};
use lycheelock::standins::worker::{Journal, WorkerFaults};
use reqwest::Client;
use serde_json::{Value, json};

pub use crate::ports::free_address;

pub const TOKEN: &str = "operators";
pub const TEAM: &str = "linguists";
pub const TEAM_TOKEN: &str = "linguists-demo";

/// One process; it is killed when this is dropped.
pub struct Process {
    child: Child,
}

impl Process {
    fn start(arguments: &[&str]) -> Self {
        let child = Command::new(env!("CARGO_BIN_EXE_lycheelock"))
            .args(arguments)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        Self { child }
    }

    pub fn signal(&self, name: &str) {
        let done = Command::new("kill")
            .args([&format!("-{name}"), &self.child.id().to_string()])
            .status();
        assert!(done.expect("kill runs").success());
    }

    pub fn wait(&mut self, patience: Duration) -> Option<i32> {
        let until = Instant::now() + patience;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What a deployment is started with.
#[derive(Clone, Copy)]
pub struct Shape {
    pub entries: usize,
    pub workers: usize,
}

/// A deployment in one zone, from the questionnaire of Nombrario.
pub struct Deployment {
    pub folder: PathBuf,
    pub platform: SocketAddr,
    pub entries: Vec<SocketAddr>,
    pub processes: Vec<Process>,
    pub workers: Vec<SocketAddr>,
    pub http: Client,
    settings: Vec<String>,
    _platform: Process,
    _workers: Vec<Process>,
}

const QUESTIONNAIRE: &str = "[deployment]\nname = test\nzones = gt-a\nshards = 3\n\n\
    [service:shortlist]\nlatency_target = 250ms\nnon_idempotent = POST /trademark\n\n\
    [class:review]\ndeadline = 1h\nduration = 2s\ncores = 4\nmemory_mb = 1000\ncheckpointable = yes\n\n\
    [class:invoice]\ndeadline = 1h\nduration = 1s\ncores = 1\nmemory_mb = 100\nidempotent = no\n\n\
    [team:linguists]\ntoken = linguists-demo\nrequests = 400\ntasks = 200\n";

impl Deployment {
    /// Starts every process and waits until every worker is usable.
    pub async fn start(name: &str, shape: Shape) -> Self {
        let folder = std::env::temp_dir().join(format!("lycheelock-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder for settings");
        let platform = free_address();
        let mut deployment = Self {
            _platform: standin(
                &folder,
                "platform",
                &format!("[platform]\naddress = {platform}\n"),
            ),
            folder,
            platform,
            entries: Vec::new(),
            processes: Vec::new(),
            workers: Vec::new(),
            http: Client::new(),
            settings: Vec::new(),
            _workers: Vec::new(),
        };
        deployment.wait_for_platform().await;
        for number in 0..shape.workers {
            deployment.add_worker(number);
        }
        for number in 0..shape.entries {
            deployment.add_entry(number, None);
        }
        deployment.prepare(shape.workers).await;
        deployment
    }

    async fn wait_for_platform(&self) {
        let url = format!("http://{}/v1/hosts", self.platform);
        for _ in 0..200 {
            if self.http.get(&url).send().await.is_ok() {
                return;
            }
            pause(50).await;
        }
        panic!("the platform's stand-in did not start");
    }

    fn add_worker(&mut self, number: usize) {
        let address = free_address();
        let text = format!(
            "[worker]\nname = w{number}\nzone = gt-a\nrack = r{number}\naddress = {address}\n\
             platform = {}\nlatency = 5ms\n",
            self.platform
        );
        let process = standin(&self.folder, "worker", &text);
        self._workers.push(process);
        self.workers.push(address);
    }

    /// Starts an entry host; `announce` is where its peers connect.
    pub fn add_entry(&mut self, number: usize, announce: Option<(SocketAddr, SocketAddr)>) {
        let address = free_address();
        let (peers, line) = match announce {
            Some((peers, announced)) => (peers, format!("announce = {announced}\n")),
            None => (free_address(), String::new()),
        };
        let text = format!(
            "[entry]\nname = e{number}\nzone = gt-a\naddress = {address}\npeers = {peers}\n{line}\
             platform = {}\ntoken = {TOKEN}\nkey = secret\n",
            self.platform
        );
        let path = self.write(&format!("e{number}.ini"), &text);
        self.processes.push(Process::start(&["entry", "-c", &path]));
        self.entries.push(address);
        self.settings.push(path);
    }

    /// Starts an entry host again with its settings.
    pub fn restart_entry(&mut self, number: usize) {
        self.processes[number] = Process::start(&["entry", "-c", &self.settings[number]]);
    }

    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        fs::write(&path, text).expect("a file in the temporary folder");
        path.to_string_lossy().into_owned()
    }

    pub fn questionnaire(&self) -> String {
        self.write("questionnaire.ini", QUESTIONNAIRE)
    }

    async fn prepare(&self, workers: usize) {
        let path = self.questionnaire();
        self.wait_for("an entry host answers", || async {
            self.ready(0).await.is_some()
        })
        .await;
        let output = self.run(0, &["apply", &path, "--author", "test"]).await;
        assert!(output.status.success(), "{output:?}");
        self.wait_for("every worker is usable", || async {
            self.usable().await >= workers
        })
        .await;
    }

    async fn ready(&self, entry: usize) -> Option<u16> {
        let url = format!("http://{}/v1/ready", self.entries[entry]);
        let response = self.http.get(url).send().await.ok()?;
        Some(response.status().as_u16())
    }

    /// Workers that some entry host may use.
    pub async fn usable(&self) -> usize {
        let mut usable = 0;
        for number in 0..self.entries.len() {
            if let Some(status) = self.status(number).await {
                let workers = status.workers.iter();
                usable += workers.filter(|worker| worker.state == "usable").count();
            }
        }
        usable
    }

    pub async fn status(&self, entry: usize) -> Option<EntryStatus> {
        let client = EntryClient::new(&self.entries[entry].to_string(), TOKEN, None);
        let status = tokio::time::timeout(Duration::from_secs(1), client.status());
        status.await.ok()?.ok()
    }

    pub async fn wait_for<F: Future<Output = bool>>(&self, what: &str, holds: impl Fn() -> F) {
        for _ in 0..600 {
            if holds().await {
                return;
            }
            pause(100).await;
        }
        panic!("waited a minute until {what}");
    }

    /// Runs a command of the client against an entry host.
    pub async fn run(&self, entry: usize, arguments: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lycheelock"));
        command.args(arguments);
        command.args(["--entry", &self.entries[entry].to_string()]);
        if !arguments.contains(&"--token") {
            command.args(["--token", TOKEN]);
        }
        tokio::task::spawn_blocking(move || command.output().expect("the program runs"))
            .await
            .expect("the program ends")
    }

    /// Sends an interactive request and returns what its caller is told.
    pub async fn call(&self, entry: usize, path: &str, mark: &str, key: Option<&str>) -> Called {
        let url = format!("http://{}/svc/shortlist{path}", self.entries[entry]);
        let mut call = self
            .http
            .post(url)
            .header("lycheelock-team", TEAM)
            .header("lycheelock-deadline-ms", "4000")
            .header("x-mark", mark)
            .timeout(Duration::from_secs(6))
            .body(mark.to_owned());
        if let Some(key) = key {
            call = call.header("idempotency-key", key);
        }
        Called::read(call.send().await, mark).await
    }

    pub async fn submit(&self, entry: usize, class: &str, tasks: u32, key: &str) -> Value {
        let response = self
            .http
            .post(format!("http://{}/v1/jobs", self.entries[entry]))
            .header("lycheelock-team", TEAM)
            .header("idempotency-key", key)
            .bearer_auth(TEAM_TOKEN)
            .json(&json!({"class": class, "tasks": tasks}))
            .send()
            .await;
        match response {
            Ok(response) => response.json().await.unwrap_or(Value::Null),
            Err(_) => Value::Null,
        }
    }

    pub async fn job(&self, entry: usize, id: &str) -> Option<Value> {
        let response = self
            .http
            .get(format!("http://{}/v1/jobs/{id}", self.entries[entry]))
            .bearer_auth(TOKEN)
            .send()
            .await
            .ok()?;
        let found = response.status().is_success();
        let value = response.json().await.ok()?;
        found.then_some(value)
    }

    /// Waits until a job has ended and returns it.
    pub async fn ended(&self, entry: usize, id: &str) -> Value {
        for _ in 0..900 {
            if let Some(job) = self.job(entry, id).await
                && job["waiting"] == 0
                && job["running"] == 0
            {
                return job;
            }
            pause(100).await;
        }
        panic!("job {id} did not end: {:?}", self.job(entry, id).await);
    }

    pub async fn faults(&self, faults: Value) {
        let url = format!("http://{}/standin/faults", self.platform);
        let sent = self.http.post(url).json(&faults).send().await;
        sent.expect("the platform's stand-in answers");
    }

    pub async fn worker_faults(&self, worker: usize, faults: WorkerFaults) {
        let url = format!("http://{}/standin/faults", self.workers[worker]);
        let sent = self.http.post(url).json(&faults).send().await;
        sent.expect("the worker's stand-in answers");
    }

    /// Changes a worker's line in the host list.
    pub async fn list(&self, worker: usize, address: SocketAddr, state: HostState) {
        let url = format!("http://{}/v1/hosts", self.platform);
        let hosts: Value = self
            .http
            .get(url)
            .send()
            .await
            .unwrap()
            .json()
            .await
            .unwrap();
        let name = format!("w{worker}");
        let hosts = hosts["hosts"].as_array().unwrap().clone();
        let line = hosts
            .into_iter()
            .find(|host| host["name"] == *name)
            .unwrap();
        let mut line: ListedHost = serde_json::from_value(line).unwrap();
        line.address = address.to_string();
        line.state = state;
        let url = format!("http://{}/standin/hosts", self.platform);
        self.http.post(url).json(&line).send().await.unwrap();
    }

    pub async fn journals(&self) -> Vec<Journal> {
        let mut all = Vec::new();
        for worker in &self.workers {
            let url = format!("http://{worker}/standin/journal");
            all.push(
                self.http
                    .get(url)
                    .send()
                    .await
                    .unwrap()
                    .json()
                    .await
                    .unwrap(),
            );
        }
        all
    }

    pub async fn audit(&self, told: &[Told]) -> Violations {
        let source = lycheelock::settings::Source::parse("q.ini", QUESTIONNAIRE).unwrap();
        let checked = lycheelock::configuration::CheckedQuestionnaire::check(source).unwrap();
        audit(
            &self.journals().await,
            told,
            &checked.configuration.services,
        )
    }

    /// The entry host that owns the most shards.
    pub async fn owner(&self) -> usize {
        let mut best = (0, 0);
        for number in 0..self.entries.len() {
            if let Some(status) = self.status(number).await {
                let owned = status.shards.iter().filter(|shard| shard.acting).count();
                best = best.max((owned, number));
            }
        }
        best.1
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn standin(folder: &std::path::Path, kind: &str, text: &str) -> Process {
    let name = text
        .lines()
        .nth(1)
        .unwrap_or_default()
        .replace([' ', '=', ':'], "");
    let path = folder.join(format!("{kind}-{name}.ini"));
    fs::write(&path, text).expect("a file in the temporary folder");
    Process::start(&["standin", kind, "-c", &path.to_string_lossy()])
}

pub async fn pause(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// What a caller was told.
#[derive(Debug, Clone)]
pub struct Called {
    pub status: u16,
    pub error: String,
    pub told: Told,
}

impl Called {
    async fn read(sent: reqwest::Result<reqwest::Response>, mark: &str) -> Self {
        use lycheelock::kind::Run;
        let told = |run, own| Told {
            mark: mark.to_owned(),
            run,
            own,
        };
        let response = match sent {
            Ok(response) => response,
            Err(error) => {
                let run = if error.is_connect() {
                    Run::No
                } else {
                    Run::Unknown
                };
                return Self {
                    status: 0,
                    error: "no answer".to_owned(),
                    told: told(run, true),
                };
            }
        };
        let status = response.status().as_u16();
        let header = |name: &str| {
            let value = response
                .headers()
                .get(name)
                .and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let (error, run) = (header("lycheelock-error"), header("lycheelock-run"));
        let run = match run.as_str() {
            "no" => Run::No,
            "unknown" => Run::Unknown,
            _ => Run::Yes,
        };
        let own = response
            .text()
            .await
            .is_ok_and(|text| !error.is_empty() || text == mark);
        Self {
            status,
            error,
            told: told(run, own),
        }
    }
}
