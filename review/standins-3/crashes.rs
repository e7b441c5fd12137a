//! Workers crash again and again. A job none of whose tasks has failed is shown as failed.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::deployment::{client, Deployment, Random};
use crate::worker::Worker;

const WORKERS: usize = 22;
/// Workers that crash together: a share of 0.14 at most.
const CRASHED: usize = 3;
const DOWN: Duration = Duration::from_millis(1200);
const EVERY: Duration = Duration::from_millis(2000);
const LENGTH: Duration = Duration::from_secs(75);

pub fn play(trouble: bool) -> (String, i32) {
    let deployment = Deployment::start(3, &["a", "b", "c"], 4);
    let world = deployment.world.clone();
    let zones = ["a", "b", "c"];
    let workers: Vec<_> = (0..WORKERS)
        .map(|number| Worker::start(number, zones[number % 3], &format!("r{}", number / 8), 8000, &world, &deployment.store))
        .collect();
    if deployment.wait_ready().is_none() {
        return ("the hosts did not get ready\n".into(), 2);
    }
    std::thread::sleep(Duration::from_secs(3));
    let seed = std::env::var("SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(1);
    let begun = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    let crasher = trouble.then(|| {
        let (workers, stop, world) = (workers.clone(), stop.clone(), world.clone());
        std::thread::spawn(move || {
            let mut random = Random(seed);
            std::thread::sleep(Duration::from_secs(3));
            while !stop.load(Ordering::Relaxed) {
                let round = Instant::now();
                let mut chosen = Vec::new();
                while chosen.len() < CRASHED {
                    let number = random.below(WORKERS as u64) as usize;
                    if !chosen.contains(&number) {
                        chosen.push(number);
                    }
                }
                for number in &chosen {
                    world.note(format!("srv_crash: {}", workers[*number].id()));
                    workers[*number].crash();
                }
                std::thread::sleep(DOWN);
                for number in &chosen {
                    workers[*number].restart(false);
                    world.note(format!("started at the same address: {}", workers[*number].id()));
                }
                std::thread::sleep(EVERY.saturating_sub(round.elapsed()));
            }
        })
    });
    let mut random = Random(seed + 1000);
    let jobs: Arc<Mutex<BTreeMap<String, String>>> = Arc::default();
    while begun.elapsed() < LENGTH {
        let id = random.id();
        let front = deployment.hosts[random.below(3) as usize].front;
        let (world, jobs) = (world.clone(), jobs.clone());
        std::thread::spawn(move || {
            let body = "{\"spec\":\"d=1000\",\"steps\":[{\"count\":6,\"cpu\":2300,\"mem_mb\":4600,\"est_ms\":1000}]}";
            let answer = client(front, "POST", &id, body, Duration::from_millis(3000));
            world.note(format!("client: POST {id} answered {answer:?}"));
            if answer.is_some_and(|(status, _)| status / 100 == 2) {
                jobs.lock().unwrap().insert(id, "accepted".into());
            }
        });
        std::thread::sleep(Duration::from_millis(140));
    }
    stop.store(true, Ordering::Relaxed);
    if let Some(crasher) = crasher {
        let _ = crasher.join();
    }
    std::thread::sleep(Duration::from_secs(12));
    let ids: Vec<String> = jobs.lock().unwrap().keys().cloned().collect();
    let mut states: BTreeMap<String, usize> = BTreeMap::new();
    let mut broken = Vec::new();
    let runs = world.runs.lock().unwrap().clone();
    let mut by_job: BTreeMap<&str, Vec<_>> = BTreeMap::new();
    for run in &runs {
        by_job.entry(&run.task[..16]).or_default().push(run);
    }
    for id in &ids {
        let answer = client(deployment.hosts[0].front, "GET", id, "", Duration::from_millis(3000));
        let state = match answer {
            Some((200, state)) => state,
            other => format!("{other:?}"),
        };
        if state == "failed" {
            let own = by_job.get(id.as_str()).cloned().unwrap_or_default();
            let count = |how: &str| own.iter().filter(|run| run.end.is_some_and(|(_, end)| end == how)).count();
            if count("failed") == 0 {
                broken.push(format!("{id} is shown as failed: {} runs ended failed, {} done, {} with their worker", count("failed"), count("done"), count("crashed")));
                for run in own.iter().filter(|run| run.end.is_some_and(|(_, how)| how == "crashed")) {
                    broken.push(format!("  {} run {} on {}: from {} ms to {:?}", run.task, run.run, run.worker, world.ms(run.start), run.end.map(|(at, how)| (world.ms(at), how))));
                }
            }
        }
        *states.entry(state).or_default() += 1;
    }
    let mut text = world.notes.lock().unwrap().join("\n") + "\n";
    for run in &runs {
        text += &format!("run: {} {} on {} from {} ms, end {:?}\n", run.task, run.run, run.worker, world.ms(run.start), run.end.map(|(at, how)| (world.ms(at), how)));
    }
    text += &format!("{} jobs accepted, states {states:?}, {} runs\n", ids.len(), runs.len());
    let count = broken.iter().filter(|line| !line.starts_with(' ')).count();
    for line in &broken {
        text += &format!("LOST: {line}\n");
    }
    text += &format!("{count} jobs broke LOST\n");
    (text, i32::from(count > 0))
}
