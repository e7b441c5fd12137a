//! Measures how the CPU cost of scheduling decisions grows with the fleet.
//!
//! One entry host owns a whole availability zone. The largest size is the one
//! expected in two years: 417 workers, 11,500 tasks, 200 task starts per second.
//! Only the decisions run; a simulated store and simulated workers answer in memory.

use std::time::{Duration, Instant};

use serde::Serialize;

use crate::configuration::{Class, Configuration, Size, Team, Zone};
use crate::entry::{Core, CoreSettings, Effect};
use crate::ids::{HostId, JobId, ShardId, WorkerKey};
use crate::jobs::{JobSpec, WallClock};
use crate::moment::Moment;
use crate::ownership::OwnershipSettings;
use crate::platform::{HostState, ListedHost, Range, StoreOp};
use crate::standins::store::Store;
use crate::standins::tasks::TaskModel;
use crate::workers::{BootId, TICKET_LIFETIME};
use crate::{Result, table};

const SHARDS: u16 = 16;
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Ticks between two `sync` calls to the same worker.
const TICKS_PER_SYNC: u64 = 20;
const TASKS_PER_JOB: u32 = 40;

/// The figures measured for one fleet size.
#[derive(Debug, Clone, Serialize)]
struct Measurement {
    workers: usize,
    tasks: usize,
    started: u64,
    finished: u64,
    cpu_seconds: f64,
    virtual_seconds: f64,
    core_percent: f64,
    micros_per_start: f64,
    sync_bytes_per_worker: f64,
    store_writes_per_second: f64,
    store_reads_per_second: f64,
    log_bytes_per_second: f64,
    snapshot_bytes: usize,
}

/// One availability zone with its workers and store, simulated in virtual time.
struct SimulatedZone {
    core: Core,
    store: Store,
    workers: Vec<TaskModel>,
    keys: Vec<Option<WorkerKey>>,
    now: Moment,
    /// Time spent in the decisions of the entry host.
    decision_time: Duration,
    sync_bytes: u64,
    log_bytes: u64,
}

/// Measures several fleet sizes and prints a table, or JSON lines if `json` is set.
///
/// # Errors
///
/// Never fails.
pub fn measure(json: bool) -> Result<bool> {
    let sizes = [(50, 1400), (100, 2800), (209, 5750), (417, 11_500)];
    let measurements: Vec<Measurement> = sizes
        .iter()
        .map(|(workers, tasks)| measure_size(*workers, *tasks))
        .collect();
    if json {
        for measurement in &measurements {
            let text = serde_json::to_string(measurement).expect("plain values have a JSON form");
            println!("{text}");
        }
    } else {
        println!("{}", render_table(&measurements));
    }
    Ok(true)
}

fn configuration() -> Configuration {
    Configuration {
        revision: 1,
        zones: vec![Zone {
            name: "a".to_owned(),
            shards: SHARDS,
        }],
        classes: vec![Class {
            name: "c".to_owned(),
            deadline: Duration::from_secs(36_000),
            duration: Duration::from_millis(57_500),
            size: Size {
                millicores: 1000,
                memory: 1000,
                accelerators: 0,
            },
            overnight: false,
            checkpointable: true,
            idempotent: true,
            urgent: false,
            attempts: 5,
        }],
        teams: vec![Team {
            name: "t".to_owned(),
            token: "t".to_owned(),
            requests: 1000,
            tasks: 1_000_000,
        }],
        ..Configuration::default()
    }
}

fn listed_worker(number: usize) -> ListedHost {
    ListedHost {
        name: format!("w{number}"),
        zone: "a".to_owned(),
        rack: format!("r{}", number / 8),
        address: "127.0.0.1:1".to_owned(),
        state: HostState::Live,
        size: Size {
            millicores: 32_000,
            memory: 125_000,
            accelerators: 2,
        },
        slots: 8,
        connections: 64,
    }
}

/// Submits jobs for a minute of virtual time at the rate that keeps about `tasks`
/// tasks running, then measures the decisions for 15 more seconds at the same rate.
fn measure_size(workers: usize, tasks: usize) -> Measurement {
    let mut zone = SimulatedZone::new(workers);
    zone.run(Duration::from_secs(8));
    let per_second = tasks as f64 / 57.5;
    let mut submitted = 0.0;
    let mut number = 0;
    for second in 0..75 {
        submitted += per_second;
        while submitted >= f64::from(TASKS_PER_JOB) {
            submitted -= f64::from(TASKS_PER_JOB);
            number += 1;
            zone.submit(number);
        }
        zone.run(Duration::from_secs(1));
        if second == 59 {
            zone.reset_counters();
        }
    }
    zone.into_measurement(workers, Duration::from_secs(15))
}

impl SimulatedZone {
    fn new(workers: usize) -> Self {
        let worker_size = listed_worker(0).size;
        let settings = CoreSettings {
            ownership: OwnershipSettings {
                zone: "a".to_owned(),
                ..OwnershipSettings::default()
            },
            ..CoreSettings::default()
        };
        let mut core = Core::new(HostId(1), settings);
        let now = Moment::from_micros(1_000_000);
        core.on_configuration(configuration(), now);
        let hosts: Vec<ListedHost> = (0..workers).map(listed_worker).collect();
        core.on_hosts(hosts, now);
        core.on_evacuations(&Range::default(), 0, now);
        let keys = (0..workers).map(|number| core.placement.find(&format!("w{number}")));
        Self {
            keys: keys.collect(),
            core,
            store: Store::default(),
            workers: (0..workers)
                .map(|number| TaskModel::new(BootId(number as u64), worker_size, TICKET_LIFETIME))
                .collect(),
            now,
            decision_time: Duration::ZERO,
            sync_bytes: 0,
            log_bytes: 0,
        }
    }

    fn wall_clock(&self) -> WallClock {
        WallClock(self.now.as_micros() / 1000)
    }

    fn submit(&mut self, number: u64) {
        let configuration = configuration();
        let spec = JobSpec {
            class: "c".to_owned(),
            tasks: TASKS_PER_JOB,
            payload: String::new(),
            deadline_ms: None,
            size: None,
            duration_ms: None,
        };
        let shards = self.core.fitting_shards(configuration.classes[0].size);
        let shard = shards[number as usize % shards.len()];
        let id = JobId { shard, number };
        let record = spec.record(id, "t", &configuration.classes[0], self.wall_clock());
        let (now, wall) = (self.now, self.wall_clock());
        let started = Instant::now();
        self.core.submit(record, now, wall);
        self.decision_time += started.elapsed();
    }

    fn run(&mut self, span: Duration) {
        let deadline = self.now + span;
        while self.now < deadline {
            self.now = self.now + TICK_INTERVAL;
            self.tick();
        }
    }

    fn tick(&mut self) {
        let (now, wall) = (self.now, self.wall_clock());
        let started = Instant::now();
        self.core.tick(now, wall);
        self.decision_time += started.elapsed();
        self.run_effects();
        let sync_turn = now.as_micros() / TICK_INTERVAL.as_micros() as u64 % TICKS_PER_SYNC;
        for number in 0..self.workers.len() {
            if number as u64 % TICKS_PER_SYNC == sync_turn {
                self.sync(number);
            }
        }
    }

    fn run_effects(&mut self) {
        while let Some(effect) = self.core.next_effect() {
            if let Effect::Store { call, op } = effect {
                if let StoreOp::Put { value, .. } = &op {
                    self.log_bytes += value.len() as u64;
                }
                let reply = self.store.call(op, self.now);
                let started = Instant::now();
                self.core.on_store(call, Some(reply), self.now);
                self.decision_time += started.elapsed();
            }
        }
    }

    fn sync(&mut self, number: usize) {
        let Some(key) = self.keys[number] else {
            return;
        };
        let started = Instant::now();
        let call = self.core.sync_call(key, self.now);
        self.decision_time += started.elapsed();
        let Some(call) = call else {
            return;
        };
        let reply = self.workers[number].sync(&call.request, &[], |_| false, self.now);
        self.sync_bytes += json_bytes(&call.request) + json_bytes(&reply);
        let started = Instant::now();
        self.core.on_sync(key, &call.request, Some(reply), self.now);
        self.decision_time += started.elapsed();
        self.run_effects();
    }

    fn reset_counters(&mut self) {
        self.decision_time = Duration::ZERO;
        self.sync_bytes = 0;
        self.log_bytes = 0;
        self.store.writes = 0;
        self.store.reads = 0;
        for shard in 0..SHARDS {
            if let Some(ledger) = self.core.ledger_mut(ShardId(shard)) {
                ledger.started = 0;
                ledger.finished = 0;
            }
        }
    }

    fn into_measurement(mut self, workers: usize, span: Duration) -> Measurement {
        let counts = self.core.task_counts();
        let now = self.now;
        let tasks = self
            .workers
            .iter_mut()
            .map(|model| model.running_count(now))
            .sum();
        let seconds = span.as_secs_f64();
        let cpu_seconds = self.decision_time.as_secs_f64();
        let snapshots = (0..SHARDS).filter_map(|shard| self.core.ledger(ShardId(shard)));
        let snapshot_bytes = snapshots
            .map(|ledger| json_bytes(&ledger.snapshot()) as usize)
            .sum();
        Measurement {
            workers,
            tasks,
            started: counts.started,
            finished: counts.finished,
            cpu_seconds,
            virtual_seconds: seconds,
            core_percent: cpu_seconds / seconds * 100.0,
            micros_per_start: cpu_seconds * 1e6 / counts.started.max(1) as f64,
            sync_bytes_per_worker: self.sync_bytes as f64 / seconds / workers as f64,
            store_writes_per_second: self.store.writes as f64 / seconds,
            store_reads_per_second: self.store.reads as f64 / seconds,
            log_bytes_per_second: self.log_bytes as f64 / seconds,
            snapshot_bytes,
        }
    }
}

fn json_bytes<T: Serialize>(value: &T) -> u64 {
    serde_json::to_vec(value).map_or(0, |bytes| bytes.len() as u64)
}

fn render_table(measurements: &[Measurement]) -> String {
    let rows: Vec<Vec<String>> = measurements
        .iter()
        .map(|measurement| {
            vec![
                measurement.workers.to_string(),
                measurement.tasks.to_string(),
                format!(
                    "{:.0}",
                    measurement.started as f64 / measurement.virtual_seconds
                ),
                format!("{:.1} %", measurement.core_percent),
                format!("{:.0}", measurement.micros_per_start),
                format!("{:.0}", measurement.sync_bytes_per_worker),
                format!("{:.1}", measurement.store_writes_per_second),
                format!("{:.1}", measurement.store_reads_per_second),
                format!("{:.0}", measurement.log_bytes_per_second),
                measurement.snapshot_bytes.to_string(),
            ]
        })
        .collect();
    let header = [
        "workers",
        "tasks running",
        "starts/s",
        "of a core",
        "us/start",
        "sync B/s a worker",
        "store writes/s",
        "store reads/s",
        "log B/s",
        "snapshot B",
    ];
    table::render(&header, &rows)
}
