//! Tests of how many best-effort tasks run beside a serving image while it is unknown
//! whether they interfere.

use super::*;

const WORKERS: [&str; 12] = [
    "w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8", "w9", "wa", "wb",
];
/// The tail of the serving tasks in milliseconds, alone and beside a task that interferes;
/// the target is 20.
const LOW_TAIL: u32 = 4;
const DISTURBED_TAIL: u32 = 60;

/// A shard in which each worker serves "video" and has room for a best-effort task, and a
/// wide job of a best-effort image of which nothing is known.
struct Fixture {
    shard: Shard,
    runs: Vec<(usize, TaskName, u64)>,
}

impl Fixture {
    fn new() -> Self {
        let mut shard = Shard::first_owner(&WORKERS);
        shard.submit(active_workflow(1, vec![serving(12, 5, "video")], 1, 0));
        shard.plan();
        let runs = shard.confirm();
        let mut workers: Vec<usize> = runs.iter().map(|run| run.0).collect();
        workers.sort_unstable();
        workers.dedup();
        assert_eq!(workers.len(), WORKERS.len());
        let wide = active_workflow(2, vec![best_effort(12, 3, "batch")], 2, 2);
        shard.submit(wide);
        let mut fixture = Self { shard, runs };
        fixture.plan();
        fixture
    }

    fn plan(&mut self) {
        self.shard.plan();
        let started = self.shard.confirm();
        self.runs.extend(started);
    }

    fn started(&self) -> usize {
        let job = WorkflowId(2);
        let of_job = self.runs.iter().filter(|run| run.1.workflow == job);
        of_job.count()
    }

    /// Lets all workers report; `tail` gives the tail of the serving tasks on a worker, by
    /// whether a best-effort task runs there.
    fn report(&mut self, now: u64, tail: impl Fn(bool) -> u32) {
        self.shard.now = now;
        for worker in 0..WORKERS.len() {
            let here: Vec<_> = self.runs.iter().filter(|run| run.0 == worker).collect();
            let batch = here.iter().any(|run| run.1.workflow == WorkflowId(2));
            let rows = here.iter().map(|run| {
                let serving = run.1.workflow == WorkflowId(1);
                live(run.1, run.2, if serving { tail(batch) } else { 3_000 })
            });
            let rows = rows.collect();
            self.shard.report_with(worker, 1, rows, &[]);
        }
        self.plan();
    }
}

#[test]
fn few_tasks_of_an_unknown_image_start_beside_a_serving_image() {
    assert_eq!(Fixture::new().started(), 4);
}

#[test]
fn the_others_start_once_the_first_have_shown_that_they_do_not_interfere() {
    let mut fixture = Fixture::new();
    fixture.report(600, |_| LOW_TAIL);
    assert_eq!(fixture.started(), 12);
}

#[test]
fn the_others_do_not_start_once_the_first_interfere() {
    let mut fixture = Fixture::new();
    for now in [600, 1_200] {
        fixture.report(
            now,
            |disturbed| if disturbed { DISTURBED_TAIL } else { LOW_TAIL },
        );
    }
    assert_eq!(fixture.started(), 4);
}

#[test]
fn ended_and_moved_tasks_are_not_counted_any_more() {
    let mut fixture = Fixture::new();
    fixture.shard.scheduler.cancel(WorkflowId(2), at(100));
    let ended: Vec<_> = fixture.runs.drain(12..).collect();
    for (worker, task, run) in ended {
        let serving: Vec<_> = fixture.runs.iter().filter(|run| run.0 == worker).collect();
        let live: Vec<_> = serving.iter().map(|run| (run.1, run.2)).collect();
        let end = (1, task, run, RunOutcome::Stopped);
        fixture.shard.report(worker, &live, &[end]);
    }
    let job = active_workflow(3, vec![best_effort(12, 3, "batch")], 3, 2);
    fixture.shard.submit(job);
    fixture.shard.plan();
    assert_eq!(fixture.shard.confirm().len(), 4);
}
