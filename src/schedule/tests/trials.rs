//! Tests of how long suspects wait for the trials of others.

use rstest::rstest;

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

/// A record of a task of a job's first step, with these crashes.
fn record(crashes: &str) -> TaskRecord {
    TaskRecord {
        occurrence: 0,
        step: 0,
        index: 0,
        done: false,
        failed: Vec::new(),
        checkpoint: String::new(),
        crashes: serde_json::from_str(crashes).unwrap(),
    }
}

const SUSPECT: &str = r#"{"suspected":[{"run":2,"sole":false}],"late":[]}"#;
/// A suspect that has crashed workers late, so that its trial is long.
const LATE_SUSPECT: &str = r#"{"suspected":[{"run":2,"sole":false}],"late":[3,4,5]}"#;
const LATE: &str = r#"{"suspected":[],"late":[3,4,5]}"#;
const INTERVAL: u64 = 200;

/// A long-running task that has lost its run with its worker, under these crashes.
fn lost_task(id: u64, crashes: &str) -> (ActiveWorkflow, TaskRecord) {
    let job = active_workflow(id, vec![serving(1, 1, "video")], 1, 0);
    (job, record(crashes))
}

/// Plans until a job's first task starts. All workers but the silent ones report. Returns the
/// moment, or the end of the bound.
fn start_of(shard: &mut Shard, id: u64, silent: impl Fn(u64, usize) -> bool) -> u64 {
    let since = shard.now;
    let incarnations = vec![1; shard.workers.len()];
    while shard.now < since + MAX_IDLE {
        shard.plan();
        if shard.confirm().iter().any(|run| run.1 == name(id, 0, 0)) {
            break;
        }
        shard.now += INTERVAL;
        for (worker, incarnation) in incarnations.iter().enumerate() {
            if !silent(shard.now, worker) {
                report_running(shard, worker, *incarnation);
            }
        }
    }
    shard.now - since
}

/// Lets a worker report what it was told to start.
fn report_running(shard: &mut Shard, worker: usize, incarnation: u64) {
    let tasks = shard.scheduler.workers[shard.workers[worker]].tasks.iter();
    let tasks = tasks.map(|(name, key)| live(*name, shard.scheduler.ledger.tasks[*key].run, 0));
    let running = tasks.collect();
    shard.report_with(worker, incarnation, running, &[]);
}

#[rstest]
#[case::sound(r#"{"suspected":[],"late":[]}"#)]
#[case::late(LATE)]
#[case::suspect(SUSPECT)]
fn a_lost_long_running_task_does_not_wait_until_the_only_room_is_free_of_a_trial(
    #[case] crashes: &str,
) {
    let mut shard = Shard::first_owner(&["w0"]);
    let trial = active_workflow(1, vec![step(1, 1)], 1, 0);
    shard.restore(trial, &[record(LATE_SUSPECT)]);
    shard.plan();
    assert_eq!(shard.confirm().len(), 1);
    let (job, record) = lost_task(2, crashes);
    shard.restore(job, &[record]);
    let waited = start_of(&mut shard, 2, |_, _| false);
    assert!(waited <= MAX_IDLE / 2 + INTERVAL, "{waited}");
}

#[test]
fn a_lost_long_running_task_does_not_wait_for_trials_that_do_not_begin() {
    let mut shard = Shard::first_owner(&["w0", "w1"]);
    // Runs that have not survived for long enough, so that no trial begins beside them.
    for id in 1..=3 {
        let fresh = active_workflow(id, vec![step(1, 1)], 1, 0);
        shard.restore(fresh, &[record(LATE)]);
    }
    shard.plan();
    let runs = shard.confirm();
    let on_first = runs.iter().filter(|run| run.0 == 0).count();
    let reserved = usize::from(on_first == 2);
    let (job, record) = lost_task(4, SUSPECT);
    shard.restore(job, &[record]);
    // The worker with the fewest runs is reserved first, and then crashes.
    let waited = start_of(&mut shard, 4, |_, worker| worker == reserved);
    assert!(waited <= MAX_IDLE / 2 + INTERVAL, "{waited}");
}

#[test]
fn a_lost_long_running_task_does_not_wait_behind_gang_after_gang() {
    let mut shard = Shard::first_owner(&["w0", "w1"]);
    // A run that keeps the gangs from starting.
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.plan();
    assert_eq!(shard.confirm().len(), 1);
    let lost = serving(1, 1, "video");
    let mut waited = None;
    while shard.now < 2 * MAX_IDLE && waited.is_none() {
        if shard.now.is_multiple_of(1_000) {
            let gang = Step {
                gang: true,
                ..step(2, 8)
            };
            shard.submit(active_workflow(10 + shard.now, vec![gang], 1, 0));
        }
        if shard.now == MAX_IDLE {
            shard.submit(active_workflow(2, vec![lost.clone()], 1, 1));
        }
        shard.plan();
        let started = shard.confirm();
        if started.iter().any(|run| run.1 == name(2, 0, 0)) {
            waited = Some(shard.now - MAX_IDLE);
        }
        shard.now += INTERVAL;
        report_running(&mut shard, 0, 1);
        report_running(&mut shard, 1, 1);
    }
    assert!(
        waited.is_some_and(|waited| waited <= MAX_IDLE / 2 + INTERVAL),
        "{waited:?}"
    );
}

#[test]
fn a_lost_long_running_task_starts_on_a_worker_without_a_trial_if_there_is_one() {
    let mut shard = Shard::first_owner(&["w0", "w1"]);
    let trial = active_workflow(1, vec![step(1, 1)], 1, 0);
    shard.restore(trial, &[record(LATE_SUSPECT)]);
    shard.plan();
    let tried = shard.confirm()[0].0;
    shard.submit(active_workflow(3, vec![step(1, 8)], 1, 0));
    shard.plan();
    assert_eq!(shard.confirm().len(), 1);
    let (job, lost) = lost_task(2, LATE);
    shard.restore(job, &[lost]);
    // No room elsewhere until the bound, and then on both.
    while shard.now < MAX_IDLE / 2 - INTERVAL {
        shard.now += INTERVAL;
        report_running(&mut shard, tried, 1);
        report_running(&mut shard, 1 - tried, 1);
        shard.plan();
        assert_eq!(shard.confirm().len(), 0, "at {}", shard.now);
    }
    shard.now += INTERVAL;
    report_running(&mut shard, tried, 1);
    let key = shard.task(name(3, 0, 0));
    let run = shard.scheduler.ledger.tasks[key].run;
    let end = (1, name(3, 0, 0), run, RunOutcome::Done);
    shard.report(1 - tried, &[], &[end]);
    shard.write();
    shard.plan();
    let started = shard.confirm();
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].0, 1 - tried);
}
