//! Jobs of all kinds under random disruptions, to look for broken rules. Not a case by itself.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::deployment::{client, Deployment, Random};
use crate::store::Fate;
use crate::worker::{OrderFate, Run, Worker};

const WORKERS: usize = 14;
const CPU: u64 = 8000;
const ATTEMPTS: u32 = 3;

#[derive(Clone)]
struct Job {
    kind: usize,
    cpu: u64,
    accepted: bool,
    cancelled: Option<Instant>,
    done_at: Option<Instant>,
    start_at: Option<Instant>,
    interval: Duration,
    tasks: Vec<(usize, usize)>,
    times: usize,
}

pub fn play(_trouble: bool) -> (String, i32) {
    let seed: u64 = std::env::var("SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(1);
    let kinds: Vec<String> = std::env::var("KINDS").unwrap_or("kill,stop,cut,lost,late,crash,same,wcut,olate,term".into()).split(',').map(str::to_owned).collect();
    let jobs_wanted: Vec<usize> = std::env::var("JOBS").unwrap_or("0,1,2,3,4,5,6,7".into()).split(',').filter_map(|text| text.parse().ok()).collect();
    let length = Duration::from_secs(std::env::var("LEN").ok().and_then(|text| text.parse().ok()).unwrap_or(60));
    let deployment = Arc::new(Deployment::start(3, &["a", "b", "c"], ATTEMPTS));
    let world = deployment.world.clone();
    let zones = ["a", "b", "c"];
    let workers: Vec<_> = (0..WORKERS)
        .map(|number| Worker::start(number, zones[number % 3], &format!("r{}", number / 5), CPU, &world, &deployment.store))
        .collect();
    if deployment.wait_ready().is_none() {
        return ("the hosts did not get ready\n".into(), 2);
    }
    std::thread::sleep(Duration::from_secs(2));
    let begun = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    let disrupter = {
        let (deployment, workers, stop, world) = (deployment.clone(), workers.clone(), stop.clone(), world.clone());
        std::thread::spawn(move || {
            let mut random = Random(seed);
            std::thread::sleep(Duration::from_secs(3));
            let mut threads = Vec::new();
            while !stop.load(Ordering::Relaxed) {
                let kind = kinds[random.below(kinds.len() as u64) as usize].clone();
                let owner = deployment.owner().unwrap_or(random.below(3) as usize);
                let (deployment, workers, world) = (deployment.clone(), workers.clone(), world.clone());
                let mut own = Random(random.next());
                threads.push(std::thread::spawn(move || {
                    let host = &deployment.hosts[owner];
                    match kind.as_str() {
                        "kill" => {
                            world.note(format!("kill {owner}"));
                            host.kill();
                            std::thread::sleep(Duration::from_millis(300 + own.below(3000)));
                            host.run();
                        }
                        "term" => {
                            world.note(format!("term {owner}"));
                            host.signal("TERM");
                            std::thread::sleep(Duration::from_millis(6000));
                            host.kill();
                            host.run();
                        }
                        "stop" => {
                            world.note(format!("stop {owner}"));
                            host.signal("STOP");
                            std::thread::sleep(Duration::from_millis(1000 + own.below(3000)));
                            host.signal("CONT");
                            world.note(format!("cont {owner}"));
                        }
                        "cut" => {
                            world.note(format!("cut {owner}"));
                            host.relay.set_cut(true);
                            std::thread::sleep(Duration::from_millis(1000 + own.below(4500)));
                            host.relay.set_cut(false);
                            world.note(format!("uncut {owner}"));
                        }
                        "lost" | "late" => {
                            world.note(format!("store {kind}"));
                            let state = Mutex::new(Random(own.next()));
                            let late = kind == "late";
                            deployment.store.set_rule(Some(Arc::new(move |_, _| {
                                let mut random = state.lock().unwrap();
                                if random.below(100) >= 35 {
                                    Fate::Answered
                                } else if late {
                                    Fate::Late(Duration::from_millis(1000 + random.below(5000)))
                                } else {
                                    Fate::Lost
                                }
                            })));
                            std::thread::sleep(Duration::from_millis(4500));
                            deployment.store.set_rule(None);
                        }
                        "crash" | "same" => {
                            let down = 300 + own.below(3000);
                            let mut chosen = BTreeSet::new();
                            while chosen.len() < 2 {
                                chosen.insert(own.below(WORKERS as u64) as usize);
                            }
                            for number in &chosen {
                                if workers[*number].is_up() {
                                    world.note(format!("{kind} {} for {down}", workers[*number].id()));
                                    workers[*number].crash();
                                }
                            }
                            std::thread::sleep(Duration::from_millis(down));
                            for number in &chosen {
                                if !workers[*number].is_up() {
                                    workers[*number].restart(kind == "same");
                                }
                            }
                        }
                        "wcut" => {
                            let span = 1500 + own.below(4000);
                            for _ in 0..2 {
                                let number = own.below(WORKERS as u64) as usize;
                                world.note(format!("cut of worker {number} for {span}"));
                                *workers[number].rule.lock().unwrap() = Some(Arc::new(|_, _| OrderFate::Dropped));
                                let worker = workers[number].clone();
                                std::thread::spawn(move || {
                                    std::thread::sleep(Duration::from_millis(span));
                                    *worker.rule.lock().unwrap() = None;
                                });
                            }
                            std::thread::sleep(Duration::from_millis(span));
                        }
                        _ => {
                            world.note("applied_late".into());
                            let share = if own.below(2) == 0 { 6 } else { 40 };
                            for worker in &workers {
                                let state = Mutex::new(Random(own.next()));
                                *worker.rule.lock().unwrap() = Some(Arc::new(move |_, request| {
                                    let mut random = state.lock().unwrap();
                                    let order = request.path != "/hold" || random.below(2) == 0;
                                    if order && random.below(100) < share {
                                        OrderFate::Late(Duration::from_millis(2000 + random.below(10_000)))
                                    } else {
                                        OrderFate::Answered
                                    }
                                }));
                            }
                            std::thread::sleep(Duration::from_millis(5500));
                            for worker in &workers {
                                *worker.rule.lock().unwrap() = None;
                            }
                        }
                    }
                }));
                std::thread::sleep(Duration::from_millis(2500 + random.below(4500)));
            }
            for thread in threads {
                let _ = thread.join();
            }
            deployment.store.set_rule(None);
            for worker in &workers {
                *worker.rule.lock().unwrap() = None;
            }
        })
    };
    let mut random = Random(seed + 1000);
    let jobs: Arc<Mutex<BTreeMap<String, Job>>> = Arc::default();
    while begun.elapsed() < length {
        let id = random.id();
        let kind = jobs_wanted[random.below(jobs_wanted.len() as u64) as usize];
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let now = Instant::now();
        let mut job = Job { kind, cpu: 1000, accepted: false, cancelled: None, done_at: None, start_at: None, interval: Duration::ZERO, tasks: Vec::new(), times: 1 };
        let body = match kind {
            0 => {
                job.tasks = vec![(0, 3), (1, 2)];
                "{\"spec\":\"d=1500\",\"steps\":[{\"count\":3,\"cpu\":1000,\"mem_mb\":100,\"est_ms\":1500,\"checkpoint\":true},{\"count\":2,\"cpu\":1000,\"mem_mb\":100,\"est_ms\":1500,\"after\":[0]}]}".to_owned()
            }
            1 => {
                job.tasks = vec![(0, 4)];
                "{\"spec\":\"d=2500 gang=4\",\"steps\":[{\"count\":4,\"cpu\":1000,\"mem_mb\":100,\"est_ms\":2500,\"gang\":true,\"checkpoint\":true}]}".to_owned()
            }
            2 => {
                job.tasks = vec![(0, 2), (1, 1)];
                job.times = 5;
                job.start_at = Some(now + Duration::from_millis(1000));
                job.interval = Duration::from_millis(2500);
                format!("{{\"spec\":\"d=700\",\"times\":5,\"start_at_ms\":{},\"interval_ms\":2500,\"steps\":[{{\"count\":2,\"cpu\":1000,\"mem_mb\":100,\"est_ms\":700}},{{\"count\":1,\"cpu\":1000,\"mem_mb\":100,\"est_ms\":700,\"after\":[0]}}]}}", unix + 1000)
            }
            3 => {
                job.tasks = vec![(0, 5)];
                "{\"spec\":\"d=1200\",\"steps\":[{\"count\":5,\"cpu\":1000,\"mem_mb\":100,\"est_ms\":1200,\"max_per_server\":1}]}".to_owned()
            }
            4 => {
                job.tasks = vec![(0, 2)];
                let fails = [0, 0, 0, 1, 2, 3][random.below(6) as usize];
                format!("{{\"spec\":\"d=600 fail={fails}\",\"steps\":[{{\"count\":2,\"cpu\":1000,\"mem_mb\":100,\"est_ms\":600}}]}}")
            }
            5 => {
                job.tasks = vec![(0, 2)];
                "{\"spec\":\"d=0\",\"steps\":[{\"count\":2,\"cpu\":500,\"mem_mb\":100,\"daemon\":true,\"max_per_server\":1}]}".to_owned()
            }
            6 => {
                job.tasks = vec![(0, 3)];
                "{\"spec\":\"d=5000\",\"steps\":[{\"count\":3,\"cpu\":1000,\"mem_mb\":100,\"est_ms\":5000,\"checkpoint\":true}]}".to_owned()
            }
            _ => {
                job.tasks = vec![(0, 3)];
                "{\"spec\":\"d=1000 gang=3\",\"steps\":[{\"count\":3,\"cpu\":1500,\"mem_mb\":100,\"est_ms\":1000,\"gang\":true,\"same_rack\":true,\"required_label\":\"kind-a\"}]}".to_owned()
            }
        };
        jobs.lock().unwrap().insert(id.clone(), job);
        let (world, jobs, deployment) = (world.clone(), jobs.clone(), deployment.clone());
        let mut own = Random(random.next());
        std::thread::spawn(move || {
            let mut accepted = false;
            for _ in 0..5 {
                let front = deployment.hosts[own.below(3) as usize].front;
                let answer = client(front, "POST", &id, &body, Duration::from_millis(3000));
                world.note(format!("client: POST {id} answered {answer:?}"));
                if answer.as_ref().is_some_and(|(status, _)| status / 100 == 2) {
                    accepted = true;
                    jobs.lock().unwrap().get_mut(&id).unwrap().accepted = true;
                    break;
                }
                std::thread::sleep(Duration::from_millis(400));
            }
            if accepted && (kind == 5 || own.below(10) == 0) {
                std::thread::sleep(Duration::from_millis(if kind == 5 { 8000 + own.below(8000) } else { own.below(3000) }));
                for _ in 0..30 {
                    let front = deployment.hosts[own.below(3) as usize].front;
                    let answer = client(front, "DELETE", &id, "", Duration::from_millis(3000));
                    world.note(format!("client: DELETE {id} answered {answer:?}"));
                    if answer.as_ref().is_some_and(|(status, _)| status / 100 == 2 || *status == 410) {
                        jobs.lock().unwrap().get_mut(&id).unwrap().cancelled = Some(Instant::now());
                        break;
                    }
                    std::thread::sleep(Duration::from_millis(400));
                }
            }
        });
        std::thread::sleep(Duration::from_millis(420));
    }
    stop.store(true, Ordering::Relaxed);
    let _ = disrupter.join();
    std::thread::sleep(Duration::from_secs(25));
    let mut broken = Vec::new();
    let end = Instant::now();
    let all: Vec<String> = jobs.lock().unwrap().keys().cloned().collect();
    let mut states = BTreeMap::new();
    for id in &all {
        let answer = client(deployment.hosts[0].front, "GET", id, "", Duration::from_millis(3000));
        states.insert(id.clone(), answer);
    }
    let runs = world.runs.lock().unwrap().clone();
    let jobs = jobs.lock().unwrap().clone();
    let show = |run: &Run| format!("{} {} on {} from {} to {:?} noted {:?}", run.task, run.run, run.worker, world.ms(run.start), run.end.map(|(at, how)| (world.ms(at), how)), run.noted.map(|at| world.ms(at)));
    let ended = |run: &Run| run.end.map_or(end, |(at, _)| at);
    let mut by_task: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in &runs {
        by_task.entry(run.task.as_str()).or_default().push(run);
    }
    let slack = Duration::from_millis(15);
    for own in by_task.values() {
        for (place, earlier) in own.iter().enumerate() {
            for later in &own[place + 1..] {
                if later.start + slack < ended(earlier) {
                    broken.push(format!("TWICE at once: {} / {}", show(earlier), show(later)));
                }
                if matches!(earlier.end, Some((at, "done")) if at < later.start) && earlier.noted.is_some() {
                    broken.push(format!("TWICE after done: {} / {}", show(earlier), show(later)));
                }
            }
            let failed = own[..place].iter().filter(|run| matches!(run.end, Some((at, "failed")) if at < earlier.start) && run.noted.is_some()).count();
            if failed >= ATTEMPTS as usize {
                broken.push(format!("BUDGET: {}", show(earlier)));
            }
        }
    }
    for run in &runs {
        let parts: Vec<&str> = run.task.split('.').collect();
        let Some(job) = jobs.get(parts[0]) else {
            broken.push(format!("UNASKED: {}", show(run)));
            continue;
        };
        let (number, step): (usize, usize) = (parts[1].parse().unwrap(), parts[2].parse().unwrap());
        if step > 0 {
            for index in 0..job.tasks[0].1 {
                let name = format!("{}.{}.0.{}", parts[0], number, index);
                let done = by_task.get(name.as_str()).is_some_and(|own| own.iter().any(|other| matches!(other.end, Some((at, "done")) if at <= run.start)));
                if !done {
                    broken.push(format!("ORDER: {} before {name}", show(run)));
                }
            }
        }
        if let Some(start) = job.start_at {
            let due = start + job.interval * number as u32;
            if run.start + Duration::from_millis(250) < due {
                broken.push(format!("ORDER early: {}", show(run)));
            }
        }
        if let Some(cancelled) = job.cancelled {
            if run.start > cancelled + Duration::from_millis(3000) {
                broken.push(format!("UNASKED after cancel by {} ms: {}", run.start.duration_since(cancelled).as_millis(), show(run)));
            }
            if run.end.is_none() {
                broken.push(format!("UNASKED runs on after cancel: {}", show(run)));
            }
        }
        if !run.checkpoint.is_empty() {
            let name = if job.kind == 1 || job.kind == 7 { run.task.rsplit_once('.').unwrap().0 } else { &run.task };
            if !world.written.lock().unwrap().get(name).is_some_and(|set| set.contains(&run.checkpoint)) {
                broken.push(format!("UNASKED checkpoint {}: {}", run.checkpoint, show(run)));
            }
        }
        let beside: Vec<&Run> = runs.iter().filter(|other| other.worker == run.worker && other.start <= run.start && ended(other) > run.start + slack).collect();
        let used: u64 = beside.iter().filter_map(|other| jobs.get(&other.task[..16])).map(|job| if job.kind == 7 { 1500 } else if job.kind == 5 { 500 } else { job.cpu }).sum();
        if used > CPU {
            broken.push(format!("LIMIT {used}: {}", show(run)));
        }
        if job.kind == 3 || job.kind == 5 {
            let prefix = run.task.rsplit_once('.').unwrap().0.to_owned() + ".";
            let same = beside.iter().filter(|other| other.task.starts_with(&prefix)).count();
            if same > 1 {
                broken.push(format!("ROUTE {same}: {}", show(run)));
            }
        }
    }
    for (id, job) in &jobs {
        let state = states[id].clone();
        let has_runs = runs.iter().any(|run| run.task.starts_with(id.as_str()));
        let Some((200, state)) = state else {
            if job.accepted {
                broken.push(format!("LOST: {id} kind {} state {state:?}", job.kind));
            }
            continue;
        };
        if !job.accepted {
            continue;
        }
        let mut missing = 0;
        for number in 0..job.times {
            for (step, count) in &job.tasks {
                for index in 0..*count {
                    let name = format!("{id}.{number}.{step}.{index}");
                    let gang = job.kind == 1 || job.kind == 7;
                    let done = by_task.iter().any(|(task, own)| {
                        (*task == name || (gang && task.starts_with(&format!("{id}.{number}.{step}.")))) && own.iter().any(|run| matches!(run.end, Some((_, "done"))))
                    });
                    missing += usize::from(!done);
                }
            }
        }
        let failed = runs.iter().filter(|run| run.task.starts_with(id.as_str()) && matches!(run.end, Some((_, "failed")))).count();
        match state.as_str() {
            "done" if missing > 0 => broken.push(format!("MIXED: {id} kind {} is done, {missing} tasks are not", job.kind)),
            "done" => {}
            "cancelled" if job.cancelled.is_some() => {}
            "failed" if failed >= ATTEMPTS as usize => {}
            "failed" => broken.push(format!("(known) LOST: {id} failed without cause")),
            other => {
                if job.cancelled.is_some() || (job.kind != 5 || !has_runs) {
                    broken.push(format!("LOST: {id} kind {} is {other} at the end, cancelled {:?}", job.kind, job.cancelled.map(|at| world.ms(at))));
                }
            }
        }
    }
    let mut lines: Vec<String> = world.notes.lock().unwrap().clone();
    for run in &runs {
        lines.push(format!("{:>7} ms  run {}", world.ms(run.start), show(run)));
    }
    lines.sort();
    let mut text = lines.join("\n") + "\n";
    text += &format!("{} jobs, {} runs\n", jobs.len(), runs.len());
    for line in &broken {
        text += &format!("{line}\n");
    }
    text += &format!("{} broken\n", broken.len());
    (text, i32::from(!broken.is_empty()))
}
