//! Tests of jobs of which nothing runs although workers have room.

use super::*;
use crate::workflow::FULL_SPEED;

/// One worker with a serving task and, on half of its processors, best-effort tasks of an
/// image that does not interfere. The image "loud" is known to interfere.
struct BusyPool {
    shard: Shard,
    /// The runs that the worker reports, with the measurement of each.
    running: Vec<(TaskName, u64, u32)>,
}

impl BusyPool {
    fn new() -> Self {
        let mut shard = Shard::first_owner(&["w0"]);
        shard.submit(active_workflow(1, vec![serving(1, 1, "video")], 1, 0));
        shard.submit(active_workflow(2, vec![best_effort(1, 4, "quiet")], 2, 1));
        shard.plan();
        let running = shard
            .confirm()
            .iter()
            .map(|run| (run.1, run.2, 0))
            .collect();
        let images = &mut shard.scheduler.images;
        let (video, loud) = (images.key("video"), images.key("loud"));
        shard.scheduler.pairs.restore(video, loud, stored(5.0));
        Self { shard, running }
    }

    /// Reports the runs and plans every 250 ms until `millis`, and submits a job that fits
    /// no worker each second, as a sign that new jobs come. Returns the runs that were
    /// started, each with the time of its start.
    fn run_until(&mut self, millis: u64) -> Vec<(u64, TaskName)> {
        let mut started = Vec::new();
        while self.shard.now < millis {
            self.shard.now += 250;
            if self.shard.now.is_multiple_of(1_000) {
                let id = 100 + self.shard.now;
                let new = active_workflow(id, vec![step(1, 9)], id, 0);
                let accepted = at(self.shard.now);
                self.shard.submit(ActiveWorkflow { accepted, ..new });
            }
            let rows = self.running.iter();
            let rows = rows.map(|(task, run, measurement)| live(*task, *run, *measurement));
            self.shard.report_with(0, 1, rows.collect(), &[]);
            self.shard.plan();
            for (_, task, run) in self.shard.confirm() {
                started.push((self.shard.now, task));
                self.running.push((task, run, 0));
            }
        }
        started
    }

    /// Reports the end of a run, as the end with this number.
    fn end(&mut self, number: u64, task: TaskName, outcome: RunOutcome) {
        let index = self.running.iter().position(|run| run.0 == task).unwrap();
        let run = self.running.remove(index);
        let rows = self.running.iter().map(|row| live(row.0, row.1, row.2));
        self.shard
            .report_with(0, 1, rows.collect(), &[(number, run.0, run.1, outcome)]);
    }

    fn speed(&self, task: TaskName) -> u8 {
        self.shard.scheduler.ledger.tasks[self.shard.task(task)].speed
    }
}

fn loud_job(tasks: u32) -> ActiveWorkflow {
    active_workflow(3, vec![best_effort(tasks, 2, "loud")], 3, 1)
}

#[test]
fn an_overdue_job_stays_idle_in_a_pool_busy_with_other_best_effort_tasks() {
    let mut pool = BusyPool::new();
    pool.shard.submit(loud_job(2));
    let started = pool.run_until(8_000);
    assert_eq!(started, [(6_000, name(3, 0, 0))]);
    let speed = pool.speed(name(3, 0, 0));
    assert!(speed < FULL_SPEED, "it interferes at a speed of {speed}");
}

#[test]
fn an_overdue_job_stays_idle_after_each_of_its_runs() {
    let mut pool = BusyPool::new();
    pool.shard.submit(loud_job(2));
    pool.run_until(8_000);
    pool.end(1, name(3, 0, 0), RunOutcome::Stopped);
    let started = pool.run_until(11_000);
    assert_eq!(started, [(8_250, name(3, 0, 1))]);
    pool.end(2, name(3, 0, 1), RunOutcome::Done);
    let started = pool.run_until(14_000);
    assert_eq!(started, [(11_250, name(3, 0, 0))]);
}

#[test]
fn an_overdue_job_stays_idle_while_all_tails_were_recently_over_their_targets() {
    let mut pool = BusyPool::new();
    pool.shard.submit(loud_job(1));
    pool.running[0].2 = 60;
    let started = pool.run_until(8_000);
    assert_eq!(started, [(6_000, name(3, 0, 0))]);
}

#[test]
fn slow_tasks_use_a_small_share_of_a_worker() {
    let mut pool = BusyPool::new();
    for id in 3..6 {
        let steps = vec![best_effort(1, 2, "loud")];
        pool.shard.submit(active_workflow(id, steps, id, 1));
    }
    let started = pool.run_until(8_000);
    let speeds: Vec<u8> = started.iter().map(|run| pool.speed(run.1)).collect();
    // 4 percent of 8 cores, divided among three tasks of 2 cores.
    assert_eq!(speeds, [5, 5, 5]);
}

#[test]
fn a_slow_task_moves_when_another_worker_can_run_it_at_full_speed() {
    let mut pool = BusyPool::new();
    let resumable = Step {
        checkpoints: true,
        ..best_effort(1, 2, "loud")
    };
    pool.shard.submit(active_workflow(3, vec![resumable], 3, 1));
    pool.run_until(7_000);
    let entries = vec![registration("w0"), registration("w1")];
    let added = pool.shard.scheduler.on_registry(entries, at(7_000));
    pool.shard.workers.extend(added);
    pool.shard.report(1, &[], &[]);
    pool.shard.write();
    pool.shard.now = 7_500;
    pool.shard.report(1, &[], &[]);
    let rows = pool.running.iter().map(|row| live(row.0, row.1, row.2));
    pool.shard.report_with(0, 1, rows.collect(), &[]);
    pool.shard.plan();
    insta::assert_snapshot!(pool.shard.orders(), @"w0: stop 0000000000000003.0.0.0 run 100000003");
}

#[test]
fn a_slow_run_whose_speed_is_not_in_force_runs_at_full_speed() {
    let mut pool = BusyPool::new();
    pool.shard.submit(loud_job(1));
    pool.run_until(6_000);
    pool.running.last_mut().unwrap().2 = 1_900;
    let mut ordered = Vec::new();
    while pool.shard.now < 8_500 {
        pool.shard.now += 250;
        let rows = pool.running.iter().map(|row| live(row.0, row.1, row.2));
        pool.shard.report_with(0, 1, rows.collect(), &[]);
        pool.shard.plan();
        let now = pool.shard.now;
        ordered.extend(pool.shard.speeds().iter().map(|order| (now, order.1)));
    }
    assert_eq!(ordered, [(7_000, 16), (8_000, 16)]);
}
