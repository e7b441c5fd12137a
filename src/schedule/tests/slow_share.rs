//! Tests of slow runs: their share of a worker, their moves, and their speed.

use super::*;
use crate::workflow::FULL_SPEED;

/// A shard whose workers each serve "video", with which "loud" interferes.
fn serving_shard(workers: &[&str]) -> (Shard, Vec<Vec<(TaskName, u64)>>) {
    let mut shard = Shard::first_owner(workers);
    let spread = Step {
        worker_limit: Some(1),
        ..serving(workers.len() as u32, 1, "video")
    };
    shard.submit(active_workflow(1, vec![spread], 1, 0));
    shard.plan();
    let mut running = vec![Vec::new(); workers.len()];
    for (worker, task, run) in shard.confirm() {
        running[worker].push((task, run));
    }
    let images = &mut shard.scheduler.images;
    let (video, loud) = (images.key("video"), images.key("loud"));
    shard.scheduler.pairs.restore(video, loud, stored(5.0));
    (shard, running)
}

fn step_once(shard: &mut Shard, running: &mut [Vec<(TaskName, u64)>]) {
    shard.now += 250;
    for (worker, runs) in running.iter().enumerate() {
        shard.report(worker, runs, &[]);
    }
    shard.plan();
}

fn run_until(shard: &mut Shard, running: &mut [Vec<(TaskName, u64)>], millis: u64) {
    while shard.now < millis {
        step_once(shard, running);
        for (worker, task, run) in shard.confirm() {
            running[worker].push((task, run));
        }
    }
}

fn resumable(count: u32, cores: u32) -> Step {
    Step {
        checkpoints: true,
        ..best_effort(count, cores, "loud")
    }
}

#[test]
fn slow_tasks_exceed_their_share_of_a_worker() {
    let (mut shard, mut running) = serving_shard(&["w0", "w1", "w2", "w3"]);
    for id in 2..42 {
        shard.submit(active_workflow(id, vec![best_effort(1, 4, "loud")], id, 1));
    }
    run_until(&mut shard, &mut running, 8_000);
    let used: Vec<u32> = shard
        .workers
        .iter()
        .map(|key| shard.scheduler.workers[*key].best_effort_cpu)
        .collect();
    // A tenth of a worker: above it the tails were far over their targets.
    assert!(used.iter().all(|cpu| *cpu <= 800), "{used:?}");
}

#[test]
fn all_slow_tasks_move_to_the_capacity_of_one() {
    let (mut shard, mut running) = serving_shard(&["w0"]);
    for id in 2..5 {
        shard.submit(active_workflow(id, vec![resumable(1, 6)], id, 1));
    }
    run_until(&mut shard, &mut running, 7_000);
    let entries = vec![registration("w0"), registration("w1")];
    let added = shard.scheduler.on_registry(entries, at(7_000));
    shard.workers.extend(added);
    running.push(Vec::new());
    shard.report(1, &[], &[]);
    shard.write();
    shard.now = 7_750;
    shard.report(1, &[], &[]);
    shard.report(0, &running[0].clone(), &[]);
    shard.plan();
    assert_eq!(
        shard.orders().matches("stop").count(),
        1,
        "{}",
        shard.orders()
    );
}

#[test]
fn a_slow_gang_is_stopped_for_capacity_that_holds_one_member() {
    let (mut shard, mut running) = serving_shard(&["w0"]);
    let gang = Step {
        gang: true,
        ..resumable(2, 6)
    };
    shard.submit(active_workflow(2, vec![gang], 2, 1));
    run_until(&mut shard, &mut running, 7_000);
    assert_eq!(running[0].len(), 3, "the gang runs slowly");
    let entries = vec![registration("w0"), registration("w1")];
    let added = shard.scheduler.on_registry(entries, at(7_000));
    shard.workers.extend(added);
    shard.report(1, &[], &[]);
    shard.write();
    shard.now = 7_750;
    shard.report(1, &[], &[]);
    shard.report(0, &running[0].clone(), &[]);
    shard.plan();
    assert_eq!(shard.orders(), "");
}

#[test]
fn a_slow_task_without_checkpoints_stays_slow_where_it_no_longer_interferes() {
    let (mut shard, mut running) = serving_shard(&["w0"]);
    shard.submit(active_workflow(2, vec![best_effort(1, 4, "loud")], 2, 1));
    run_until(&mut shard, &mut running, 7_000);
    shard.scheduler.cancel(WorkflowId(1), at(7_000));
    let (served, run) = running[0].remove(0);
    let rest = running[0].clone();
    shard.report(0, &rest, &[(1, served, run, RunOutcome::Stopped)]);
    run_until(&mut shard, &mut running, 20_000);
    let task = shard.task(name(2, 0, 0));
    assert_eq!(shard.scheduler.ledger.tasks[task].speed, FULL_SPEED);
}

#[test]
fn adopted_slow_runs_mark_their_worker_as_impaired() {
    let mut shard = Shard::later_owner(&["w0"]);
    for id in 2..4 {
        let slow = Step {
            estimate: Duration::from_secs(30),
            ..best_effort(1, 4, "loud")
        };
        shard.submit(active_workflow(id, vec![slow], id, 1));
    }
    // At a tenth of full speed, one percent of 30 s takes 3 s.
    for millis in (0..4_000).step_by(250) {
        shard.now = millis;
        let progress = 10 + (millis / 3_000) as u8;
        let row = |id| LiveRun {
            progress,
            ..live(name(id, 0, 0), 5, 400)
        };
        shard.report_with(0, 1, vec![row(2), row(3)], &[]);
        shard.plan();
    }
    let worker = &shard.scheduler.workers[shard.workers[0]];
    assert_eq!(worker.avoided_until, None);
}

/// Two workers of 32 cores and 128 GB; each serves "video".
fn large_shard() -> (Shard, Vec<Vec<(TaskName, u64)>>) {
    let (mut shard, running) = serving_shard(&["w0", "w1"]);
    for key in shard.workers.clone() {
        let capacity = &mut shard.scheduler.workers[key].registration.capacity;
        capacity.millicores = 32 * CORE;
        capacity.memory = 128_000;
    }
    (shard, running)
}

fn usual_task() -> Step {
    let mut step = resumable(1, 3);
    step.need.millicores = 3_500;
    step.need.memory = 6_400;
    step
}

#[test]
fn further_slow_tasks_gather_on_one_worker() {
    let (mut shard, mut running) = large_shard();
    for id in 2..22 {
        shard.submit(active_workflow(id, vec![usual_task()], id, 1));
    }
    run_until(&mut shard, &mut running, 8_000);
    let used: Vec<u32> = shard
        .workers
        .iter()
        .map(|key| shard.scheduler.workers[*key].best_effort_cpu)
        .collect();
    assert!(used[0].abs_diff(used[1]) <= 1_000, "{used:?}");
    assert!(used.iter().all(|cpu| *cpu <= 3_200), "{used:?}");
}

#[test]
fn usual_tails_beside_a_slow_task_clear_the_evidence_of_interference() {
    let (mut shard, mut running) = large_shard();
    for id in 2..4 {
        shard.submit(active_workflow(id, vec![usual_task()], id, 1));
    }
    run_until(&mut shard, &mut running, 7_000);
    let (video, loud) = (
        shard.scheduler.images.key("video"),
        shard.scheduler.images.key("loud"),
    );
    shard.scheduler.baselines.clear();
    for turn in 0..20 {
        shard.now += 500;
        // Of 20 undisturbed tails 9 are low, 10 are usual and 1 is high.
        let tail = match turn {
            0..9 => 7,
            9 => 15,
            _ => 10,
        };
        for (worker, runs) in running.iter().enumerate() {
            let rows = runs.iter().map(|(task, run)| {
                let measurement = if task.workflow == WorkflowId(1) {
                    tail
                } else {
                    1_260
                };
                live(*task, *run, measurement)
            });
            shard.report_with(worker, 1, rows.collect(), &[]);
        }
        shard.plan();
        let orders = shard.orders();
        if !orders.is_empty() {}
    }
    assert!(shard.scheduler.pairs.is_harmful(video, loud));
}

#[test]
fn an_adopted_slow_run_stays_slow_while_it_counts_as_running_at_full_speed() {
    let mut shard = Shard::later_owner(&["w0"]);
    shard.submit(active_workflow(2, vec![best_effort(1, 4, "loud")], 2, 1));
    let mut orders = String::new();
    for millis in (0..10_000).step_by(250) {
        shard.now = millis;
        // It uses a tenth of the 4 cores for which it asks.
        let row = LiveRun {
            progress: (millis / 100) as u8,
            ..live(name(2, 0, 0), 5, 400)
        };
        shard.report_with(0, 1, vec![row], &[]);
        shard.plan();
        orders += &shard.orders();
    }
    let worker = &shard.scheduler.workers[shard.workers[0]];
    assert!(
        orders.contains("throttle") || worker.best_effort_cpu == 400,
        "{} {orders:?}",
        worker.best_effort_cpu
    );
}

#[test]
fn a_late_job_stays_idle_in_a_pool_busy_with_other_best_effort_tasks() {
    let (mut shard, mut running) = serving_shard(&["w0"]);
    shard.submit(active_workflow(3, vec![best_effort(1, 4, "quiet")], 3, 1));
    run_until(&mut shard, &mut running, 250);
    let late = Step {
        estimate: Duration::from_millis(3_500),
        ..best_effort(1, 2, "loud")
    };
    let job = active_workflow(2, vec![late], 2, 1);
    // It may take 7 s; it is judged 14 s after its acceptance.
    assert_eq!(job.objective(), at(7_000));
    shard.submit(job);
    run_until(&mut shard, &mut running, 14_000);
    assert_ne!(shard.stage(name(2, 0, 0)), Stage::Waiting);
}
