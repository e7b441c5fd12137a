//! A worker crashes, starts again under its id, and is lost for good some seconds later. Its tasks
//! that last are not started again for long.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::deployment::{client, Deployment, Random};
use crate::worker::{Run, Worker};

const WORKERS: usize = 10;
const CPU: u64 = 8000;
/// "from 6 s after its last run", then "for 3 s", and one second more.
const BOUND: Duration = Duration::from_secs(10);

pub fn play(trouble: bool) -> (String, i32) {
    let deployment = Deployment::start(3, &["a", "b", "c"], 4);
    let world = deployment.world.clone();
    let zones = ["a", "b", "c"];
    let workers: Vec<_> = (0..WORKERS)
        .map(|number| {
            Worker::start(
                number,
                zones[number % 3],
                &format!("r{}", number % 3),
                CPU,
                &world,
                &deployment.store,
            )
        })
        .collect();
    if deployment.wait_ready().is_none() {
        return ("the hosts did not get ready\n".into(), 2);
    }
    std::thread::sleep(Duration::from_secs(3));
    let mut random = Random(3);
    let limit = Duration::from_millis(3000);
    let submit = |random: &mut Random| {
        let id = random.id();
        let body = "{\"spec\":\"d=0\",\"steps\":[{\"count\":10,\"cpu\":500,\"mem_mb\":100,\"daemon\":true}]}";
        let answer = client(deployment.hosts[0].front, "POST", &id, body, limit);
        world.note(format!(
            "client: POST {id}, 10 tasks that last, answered {answer:?}"
        ));
    };
    submit(&mut random);
    std::thread::sleep(Duration::from_secs(3));
    let worker = &workers[4];
    if trouble {
        world.note(format!("srv_crash: {}", worker.id()));
        worker.crash();
    }
    std::thread::sleep(Duration::from_millis(1500));
    if trouble {
        worker.restart(true);
        world.note(format!("{} has started again under its id", worker.id()));
    }
    for _ in 0..6 {
        std::thread::sleep(Duration::from_millis(500));
        submit(&mut random);
    }
    std::thread::sleep(Duration::from_millis(500));
    let lost = Instant::now();
    if trouble {
        world.note(format!("srv_crash (gone): {}", worker.id()));
        worker.crash();
        let (store, id) = (deployment.store.clone(), worker.id());
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(4500));
            store.remove(&format!("servers/{id}"));
        });
    }
    std::thread::sleep(Duration::from_secs(25));
    let runs = world.runs.lock().unwrap().clone();
    let mut by_task: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in &runs {
        by_task.entry(&run.task).or_default().push(run);
    }
    let now = Instant::now();
    let mut broken = Vec::new();
    for (task, own) in &by_task {
        for (place, run) in own.iter().enumerate() {
            let Some((end, how)) = run.end else { continue };
            let next = own.get(place + 1).map_or(now, |next| next.start);
            if end >= lost && next.saturating_duration_since(end) > BOUND {
                broken.push(format!(
                    "{task}: run {} on {} ended ({how}) at {} ms, the next one started at {}, {} ms later",
                    run.run, run.worker, world.ms(end),
                    own.get(place + 1).map_or("no time".to_owned(), |next| format!("{} ms on {}", world.ms(next.start), next.worker)),
                    next.saturating_duration_since(end).as_millis()
                ));
            }
        }
    }
    let mut text = world.notes.lock().unwrap().join("\n") + "\n";
    for run in &runs {
        text += &format!(
            "run: {} {} on {} from {} ms, end {:?}\n",
            run.task,
            run.run,
            run.worker,
            world.ms(run.start),
            run.end.map(|(at, how)| (world.ms(at), how))
        );
    }
    text += &format!(
        "{} tasks; the other {} workers have {} cores each, the tasks need half a core each\n",
        by_task.len(),
        WORKERS - 1,
        CPU / 1000
    );
    for line in &broken {
        text += &format!("LOST: {line}\n");
    }
    text += &format!("{} tasks that last broke LOST\n", broken.len());
    (text, i32::from(!broken.is_empty()))
}
