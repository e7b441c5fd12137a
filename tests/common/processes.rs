//! A test deployment of separate processes, with a relay that can cut connections.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use lycheelock::entry::EvacuationView;
use lycheelock::front::EntryStatus;
use lycheelock::operator::EntryClient;
use lycheelock::platform::{HostState, ListedHost};
use lycheelock::standins::audit::{CallerResult, Violations, audit};
use lycheelock::standins::worker::{Journal, WorkerFaults};
use reqwest::Client;
use serde_json::{Value, json};

pub use crate::ports::free_address;

pub const OPERATOR_TOKEN: &str = "operators";
pub const TEAM: &str = "linguists";
pub const TEAM_TOKEN: &str = "linguists-demo";

/// A process, killed on drop.
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

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process has not exited.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn signal(&self, name: &str) {
        let done = Command::new("kill")
            .args([&format!("-{name}"), &self.child.id().to_string()])
            .status();
        assert!(done.expect("kill runs").success());
    }

    /// Waits for the process to exit. Returns its exit code, or `None` after the
    /// timeout or if a signal ended it.
    pub fn wait(&mut self, timeout: Duration) -> Option<i32> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
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

/// Number of processes that a deployment starts.
#[derive(Clone, Copy)]
pub struct DeploymentSize {
    pub entries: usize,
    pub workers: usize,
}

/// A deployment, configured by [`QUESTIONNAIRE`]. Workers and entry hosts are spread over
/// its zones in turn.
pub struct Deployment {
    /// Names of the availability zones.
    pub zones: Vec<String>,
    pub folder: PathBuf,
    pub platform: SocketAddr,
    /// Addresses of the entry hosts.
    pub entries: Vec<SocketAddr>,
    pub entry_processes: Vec<Process>,
    /// Addresses of the workers.
    pub workers: Vec<SocketAddr>,
    pub http: Client,
    /// Addresses on which the entry hosts accept peers.
    pub peers: Vec<SocketAddr>,
    /// Further sections of the entry hosts' settings.
    sections: String,
    settings: Vec<String>,
    _platform_process: Process,
    _worker_processes: Vec<Process>,
}

/// The zone of a deployment in one zone, and the name in [`QUESTIONNAIRE`] that stands for
/// all zones.
pub const ZONE: &str = "gt-a";

/// Number of shards of each zone in [`QUESTIONNAIRE`].
const SHARDS_PER_ZONE: usize = 3;

/// Questionnaire of the test deployment, with services and classes of Nombrario.
const QUESTIONNAIRE: &str = "[deployment]\nname = test\nzones = gt-a\nshards = 3\n\n\
    [service:shortlist]\nlatency_target = 250ms\nnon_idempotent = POST /trademark\n\n\
    [class:review]\ndeadline = 1h\nduration = 2s\ncores = 4\nmemory_mb = 1000\ncheckpointable = yes\n\n\
    [class:invoice]\ndeadline = 1h\nduration = 1s\ncores = 1\nmemory_mb = 100\nidempotent = no\n\n\
    [team:linguists]\ntoken = linguists-demo\nrequests = 400\ntasks = 200\n";

impl Deployment {
    /// Starts every process in one zone and waits until every worker is usable, the shards
    /// are balanced and every host reaches the owner of each.
    pub async fn start(name: &str, size: DeploymentSize) -> Self {
        Self::start_in(name, size, &[ZONE]).await
    }

    /// Starts every process, in these zones, and waits as [`Deployment::start`] does.
    pub async fn start_in(name: &str, size: DeploymentSize, zones: &[&str]) -> Self {
        Self::start_parts(name, size, zones, "").await
    }

    /// Starts every process in one zone, with further sections in the settings of the entry
    /// hosts.
    pub async fn start_with(name: &str, size: DeploymentSize, sections: &str) -> Self {
        Self::start_parts(name, size, &[ZONE], sections).await
    }

    async fn start_parts(name: &str, size: DeploymentSize, zones: &[&str], sections: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("lycheelock-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder for settings");
        let platform = free_address();
        let mut deployment = Self {
            _platform_process: start_standin(
                &folder,
                "platform",
                &format!("[platform]\naddress = {platform}\n"),
            ),
            zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
            folder,
            platform,
            entries: Vec::new(),
            entry_processes: Vec::new(),
            workers: Vec::new(),
            http: Client::new(),
            peers: Vec::new(),
            sections: sections.to_owned(),
            settings: Vec::new(),
            _worker_processes: Vec::new(),
        };
        deployment.wait_for_platform().await;
        for number in 0..size.workers {
            deployment.add_worker(number);
        }
        for number in 0..size.entries {
            deployment.add_entry(number, None);
        }
        deployment.prepare(size.workers).await;
        deployment
    }

    async fn wait_for_platform(&self) {
        let url = format!("http://{}/v1/hosts", self.platform);
        for _ in 0..200 {
            if self.http.get(&url).send().await.is_ok() {
                return;
            }
            sleep_ms(50).await;
        }
        panic!("the platform's stand-in did not start");
    }

    /// Returns the zone of the worker or entry host with a number.
    fn zone(&self, number: usize) -> &str {
        &self.zones[number % self.zones.len()]
    }

    fn add_worker(&mut self, number: usize) {
        let address = free_address();
        let zone = self.zone(number);
        let text = format!(
            "[worker]\nname = w{number}\nzone = {zone}\nrack = r{number}\naddress = {address}\n\
             platform = {}\nlatency = 5ms\n",
            self.platform
        );
        let process = start_standin(&self.folder, "worker", &text);
        self._worker_processes.push(process);
        self.workers.push(address);
    }

    /// Starts an entry host. `announced` holds the address on which it accepts peers
    /// and the address that it announces to them, if the two differ.
    pub fn add_entry(&mut self, number: usize, announced: Option<(SocketAddr, SocketAddr)>) {
        self.add_entry_at(number, announced, self.platform);
    }

    /// Starts an entry host that reaches the platform at this address.
    pub fn add_entry_at(
        &mut self,
        number: usize,
        announced: Option<(SocketAddr, SocketAddr)>,
        platform: SocketAddr,
    ) {
        let address = free_address();
        let zone = self.zone(number);
        let (peers, line) = match announced {
            Some((peers, relay)) => (peers, format!("announce = {relay}\n")),
            None => (free_address(), String::new()),
        };
        let text = format!(
            "[entry]\nname = e{number}\nzone = {zone}\naddress = {address}\npeers = {peers}\n{line}\
             platform = {platform}\ntoken = {OPERATOR_TOKEN}\nkey = secret\n{}",
            self.sections
        );
        let path = self.write_file(&format!("e{number}.ini"), &text);
        self.entry_processes
            .push(Process::start(&["entry", "-c", &path]));
        self.entries.push(address);
        self.peers.push(peers);
        self.settings.push(path);
    }

    /// Starts an entry host again with the same settings.
    pub fn restart_entry(&mut self, number: usize) {
        self.entry_processes[number] = Process::start(&["entry", "-c", &self.settings[number]]);
    }

    pub fn write_file(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        fs::write(&path, text).expect("a file in the temporary folder");
        path.to_string_lossy().into_owned()
    }

    pub fn write_questionnaire(&self) -> String {
        let zones = format!("zones = {}", self.zones.join(", "));
        let text = QUESTIONNAIRE.replace("zones = gt-a", &zones);
        self.write_file("questionnaire.ini", &text)
    }

    async fn prepare(&self, workers: usize) {
        let path = self.write_questionnaire();
        self.wait_for("an entry host answers", || async {
            self.ready(0).await.is_some()
        })
        .await;
        let output = self
            .run_command(0, &["apply", &path, "--author", "test"])
            .await;
        assert!(output.status.success(), "{output:?}");
        self.wait_for("every worker is usable", || async {
            self.usable_workers().await >= workers
        })
        .await;
        self.wait_for("every shard has its lasting owner", || async {
            self.shards_balanced().await
        })
        .await;
        self.wait_for("every host reaches the owner of each shard", || async {
            self.all_owners_reached().await
        })
        .await;
    }

    /// Whether every shard has an acting owner, and the hosts of a zone own so evenly many
    /// that none hands one over for balance. A host that claims before the others of its zone
    /// connect can own all at first.
    async fn shards_balanced(&self) -> bool {
        let mut counts: BTreeMap<String, Vec<usize>> = BTreeMap::new();
        for entry in 0..self.entries.len() {
            let Some(status) = self.status(entry).await else {
                return false;
            };
            let acting = status.shards.iter().filter(|shard| shard.acting).count();
            counts.entry(status.zone).or_default().push(acting);
        }
        counts.values().all(|owned| {
            let (most, fewest) = (owned.iter().max(), owned.iter().min());
            let difference = most.unwrap_or(&0) - fewest.unwrap_or(&0);
            owned.iter().sum::<usize>() == SHARDS_PER_ZONE && difference < 2
        })
    }

    /// Whether each entry host reaches the owner of each shard of every zone. Usable workers
    /// do not imply it: a shard may have no workers, and each host learns of its first owner
    /// from a heartbeat.
    async fn all_owners_reached(&self) -> bool {
        let shards = SHARDS_PER_ZONE * self.zones.len();
        for entry in 0..self.entries.len() {
            for shard in 0..shards {
                if !self.reaches_owner(entry, shard).await {
                    return false;
                }
            }
        }
        true
    }

    /// Whether the owner of a shard answers an entry host that a job, which nobody submitted,
    /// is not known.
    async fn reaches_owner(&self, entry: usize, shard: usize) -> bool {
        let url = format!("http://{}/v1/jobs/s{shard}-0", self.entries[entry]);
        let call = self.http.get(url).bearer_auth(OPERATOR_TOKEN);
        let Ok(answer) = call.send().await else {
            return false;
        };
        let kind = answer.headers().get("lycheelock-error");
        kind.is_some_and(|kind| kind == "unknown_job")
    }

    /// Returns what an entry host shows of an evacuated zone; absent if it shows that the
    /// zone is not evacuated or does not answer.
    pub async fn evacuation(&self, entry: usize, zone: &str) -> Option<EvacuationView> {
        let evacuations = self.status(entry).await?.evacuations;
        evacuations.into_iter().find(|each| each.zone == zone)
    }

    async fn ready(&self, entry: usize) -> Option<u16> {
        let url = format!("http://{}/v1/ready", self.entries[entry]);
        let response = self.http.get(url).send().await.ok()?;
        Some(response.status().as_u16())
    }

    /// Returns the number of workers that the entry hosts report as usable.
    pub async fn usable_workers(&self) -> usize {
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
        let client = EntryClient::new(&self.entries[entry].to_string(), OPERATOR_TOKEN, None);
        let status = tokio::time::timeout(Duration::from_secs(1), client.status());
        status.await.ok()?.ok()
    }

    pub async fn wait_for<F: Future<Output = bool>>(&self, condition: &str, holds: impl Fn() -> F) {
        for _ in 0..600 {
            if holds().await {
                return;
            }
            sleep_ms(100).await;
        }
        panic!("timed out after a minute waiting until {condition}");
    }

    /// Runs a command of the program against an entry host.
    pub async fn run_command(&self, entry: usize, arguments: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lycheelock"));
        command.args(arguments);
        command.args(["--entry", &self.entries[entry].to_string()]);
        if !arguments.contains(&"--token") {
            command.args(["--token", OPERATOR_TOKEN]);
        }
        tokio::task::spawn_blocking(move || command.output().expect("the program runs"))
            .await
            .expect("the program ends")
    }

    /// Sends an interactive request. Returns its answer as its caller sees it.
    pub async fn call(
        &self,
        entry: usize,
        path: &str,
        mark: &str,
        key: Option<&str>,
    ) -> CallResult {
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
        CallResult::read(call.send().await, mark).await
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
            .bearer_auth(OPERATOR_TOKEN)
            .send()
            .await
            .ok()?;
        let found = response.status().is_success();
        let value = response.json().await.ok()?;
        found.then_some(value)
    }

    /// Waits until a job has ended. Returns its last state.
    pub async fn wait_for_job_end(&self, entry: usize, id: &str) -> Value {
        for _ in 0..900 {
            if let Some(job) = self.job(entry, id).await
                && job["waiting"] == 0
                && job["running"] == 0
            {
                return job;
            }
            sleep_ms(100).await;
        }
        panic!("job {id} did not end: {:?}", self.job(entry, id).await);
    }

    pub async fn set_platform_faults(&self, faults: Value) {
        let url = format!("http://{}/standin/faults", self.platform);
        let sent = self.http.post(url).json(&faults).send().await;
        sent.expect("the platform's stand-in answers");
    }

    pub async fn set_worker_faults(&self, worker: usize, faults: WorkerFaults) {
        let url = format!("http://{}/standin/faults", self.workers[worker]);
        let sent = self.http.post(url).json(&faults).send().await;
        sent.expect("the worker's stand-in answers");
    }

    /// Changes the address and state of a worker in the host list.
    pub async fn update_listing(&self, worker: usize, address: SocketAddr, state: HostState) {
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
        let listing = hosts
            .into_iter()
            .find(|host| host["name"] == *name)
            .unwrap();
        let mut listing: ListedHost = serde_json::from_value(listing).unwrap();
        listing.address = address.to_string();
        listing.state = state;
        let url = format!("http://{}/standin/hosts", self.platform);
        self.http.post(url).json(&listing).send().await.unwrap();
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

    pub async fn audit(&self, results: &[CallerResult]) -> Violations {
        let source = lycheelock::settings::Source::parse("q.ini", QUESTIONNAIRE).unwrap();
        let checked = lycheelock::configuration::CheckedQuestionnaire::check(source).unwrap();
        audit(
            &self.journals().await,
            results,
            &checked.configuration.services,
        )
    }

    /// Returns the number of the entry host that owns the most shards.
    pub async fn owner(&self) -> usize {
        let mut most = (0, 0);
        for number in 0..self.entries.len() {
            if let Some(status) = self.status(number).await {
                let owned = status.shards.iter().filter(|shard| shard.acting).count();
                most = most.max((owned, number));
            }
        }
        most.1
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn start_standin(folder: &std::path::Path, kind: &str, text: &str) -> Process {
    let name = text
        .lines()
        .nth(1)
        .unwrap_or_default()
        .replace([' ', '=', ':'], "");
    let path = folder.join(format!("{kind}-{name}.ini"));
    fs::write(&path, text).expect("a file in the temporary folder");
    Process::start(&["standin", kind, "-c", &path.to_string_lossy()])
}

pub async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// The answer to a request.
#[derive(Debug, Clone)]
pub struct CallResult {
    /// HTTP status, 0 if there was no answer.
    pub status: u16,
    /// Kind of the error that the answer names, empty if it names none.
    pub error: String,
    /// What the audit needs to know of the answer.
    pub result: CallerResult,
}

impl CallResult {
    async fn read(sent: reqwest::Result<reqwest::Response>, mark: &str) -> Self {
        use lycheelock::kind::RunStatus;
        let result = |run, matches_request| CallerResult {
            mark: mark.to_owned(),
            run,
            matches_request,
        };
        let response = match sent {
            Ok(response) => response,
            Err(error) => {
                let run = if error.is_connect() {
                    RunStatus::No
                } else {
                    RunStatus::Unknown
                };
                return Self {
                    status: 0,
                    error: "no answer".to_owned(),
                    result: result(run, true),
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
            "no" => RunStatus::No,
            "unknown" => RunStatus::Unknown,
            _ => RunStatus::Yes,
        };
        let matches_request = response
            .text()
            .await
            .is_ok_and(|text| !error.is_empty() || text == mark);
        Self {
            status,
            error,
            result: result(run, matches_request),
        }
    }
}
