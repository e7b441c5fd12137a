//! Tests of tasks that wait although workers have the capacity for them.

use super::*;

/// The time between two reports of a worker, in milliseconds.
const REPORT_INTERVAL: u64 = 250;

impl Shard {
    /// Lets all workers report these runs, and plans, until a start is ordered or
    /// until `millis`. Returns whether a start was ordered.
    fn starts_by(&mut self, millis: u64, running: &[(usize, LiveRun)]) -> bool {
        while self.now < millis {
            self.now += REPORT_INTERVAL;
            for worker in 0..self.workers.len() {
                let rows = running.iter().filter(|row| row.0 == worker);
                self.report_with(worker, 1, rows.map(|row| row.1.clone()).collect(), &[]);
            }
            self.plan();
            if self.orders().contains("start") {
                return true;
            }
        }
        false
    }
}

/// The rows with which workers report confirmed runs.
fn rows(runs: &[(usize, TaskName, u64)], measurement: u32) -> Vec<(usize, LiveRun)> {
    let rows = runs.iter();
    rows.map(|run| (run.0, live(run.1, run.2, measurement)))
        .collect()
}

#[test]
fn a_best_effort_task_as_wide_as_a_worker_never_starts_beside_a_small_serving_task() {
    let mut shard = Shard::first_owner(&["w0", "w1"]);
    let spread = Step {
        worker_limit: Some(1),
        ..serving(2, 1, "video")
    };
    shard.submit(active_workflow(1, vec![spread], 1, 0));
    shard.plan();
    let runs = shard.confirm();
    shard.submit(active_workflow(2, vec![best_effort(1, 8, "batch")], 2, 1));
    assert!(shard.starts_by(30_000, &rows(&runs, 10)));
}
