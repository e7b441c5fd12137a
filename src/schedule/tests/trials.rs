//! Tests of how long suspects wait for the trials of others.

use super::*;

/// A job of long-running tasks under each of which a worker has crashed.
fn suspects(count: u32) -> (ActiveWorkflow, Vec<TaskRecord>) {
    let records = (0..count).map(|index| TaskRecord {
        occurrence: 0,
        step: 0,
        index,
        done: false,
        failed: Vec::new(),
        checkpoint: String::new(),
        crashes: serde_json::from_str(r#"{"suspected":[{"run":2,"sole":false}],"late":[]}"#)
            .unwrap(),
    });
    let job = active_workflow(1, vec![serving(count, 1, "video")], 1, 0);
    (job, records.collect())
}

const WORKERS: [&str; 16] = [
    "w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8", "w9", "wa", "wb", "wc", "wd", "we", "wf",
];
/// How long a long-running task may be without a run while there is room for it, in
/// milliseconds: the users' bound on tasks that last.
const MAX_IDLE: u64 = 6_000;

#[test]
fn long_running_suspects_do_not_wait_until_the_trials_of_their_job_have_ended() {
    let mut shard = Shard::first_owner(&WORKERS);
    let (job, records) = suspects(4);
    shard.restore(job, &records);
    let mut runs: Vec<(usize, TaskName, u64)> = Vec::new();
    for now in (0..MAX_IDLE).step_by(200) {
        shard.now = now;
        shard.plan();
        // The workers on trial do not report, so that no trial ends.
        runs.extend(shard.confirm());
        for worker in 0..WORKERS.len() {
            let live: Vec<_> = runs.iter().filter(|run| run.0 == worker).collect();
            if live.is_empty() {
                shard.report(worker, &[], &[]);
            }
        }
    }
    assert_eq!(runs.len(), 4, "{runs:?}");
}

#[test]
fn suspects_that_end_wait_until_the_trial_of_their_job_has_ended() {
    let mut shard = Shard::first_owner(&WORKERS);
    let (mut job, records) = suspects(2);
    let short = Workflow {
        steps: vec![step(2, 1)],
        ..Workflow::default()
    };
    job.spec = Arc::new(short);
    shard.restore(job, &records);
    shard.plan();
    let first = shard.confirm();
    assert_eq!(first.len(), 1);
    for now in (200..2_000).step_by(200) {
        shard.now = now;
        for worker in (0..WORKERS.len()).filter(|worker| *worker != first[0].0) {
            shard.report(worker, &[], &[]);
        }
        shard.plan();
        assert_eq!(shard.confirm().len(), 0, "at {now}");
    }
}
