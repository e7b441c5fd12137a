//! What must always hold, in the simplest words.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lycheelock::configuration::PublishOutcome;
use lycheelock::ids::{HostId, JobId, ShardId, TaskId};
use lycheelock::jobs::{JobView, Outcome};
use lycheelock::kind::Run;
use lycheelock::moment::Moment;
use lycheelock::standins::tasks::TaskRun;
use lycheelock::workers::TaskState;

use super::World;

/// A worker that leaves gets no new task after this time.
const LEAVING_GRACE: Duration = Duration::from_secs(3);

struct Job {
    tasks: u32,
    idempotent: bool,
    accepted: bool,
    cancelled: bool,
}

struct Request {
    once: bool,
    runs: u32,
    not_run: bool,
}

/// What the world was told, and what ran.
#[derive(Default)]
pub struct Oracle {
    jobs: BTreeMap<JobId, Job>,
    keys: BTreeMap<u64, u32>,
    requests: BTreeMap<u64, Request>,
    marks: u64,
    revisions: BTreeMap<HostId, u64>,
    accepted: BTreeMap<u64, u64>,
    /// Runs on worker processes that were killed.
    killed: Vec<TaskRun>,
    nonces: u64,
}

impl Oracle {
    pub fn submitted(&mut self, id: JobId, tasks: u32, idempotent: bool) {
        let job = Job {
            tasks,
            idempotent,
            accepted: false,
            cancelled: false,
        };
        self.jobs.insert(id, job);
    }

    pub fn accepted(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.accepted = true;
        }
    }

    pub fn cancelled(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.cancelled = true;
        }
    }

    pub fn pick_job(&self, pick: usize) -> Option<JobId> {
        let ids: Vec<&JobId> = self.jobs.keys().collect();
        ids.get(pick % ids.len().max(1)).map(|id| **id)
    }

    pub fn key_ran(&mut self, key: u64) {
        let runs = self.keys.entry(key).or_default();
        *runs += 1;
        assert!(*runs <= 1, "a request with key {key} ran twice");
    }

    pub fn next_mark(&mut self, once: bool) -> u64 {
        self.marks += 1;
        let request = Request {
            once,
            runs: 0,
            not_run: false,
        };
        self.requests.insert(self.marks, request);
        self.marks
    }

    pub fn ran(&mut self, mark: u64) {
        let request = self.requests.get_mut(&mark).expect("a known mark");
        request.runs += 1;
        assert!(
            !request.not_run,
            "request {mark} ran after \"not run\" was said"
        );
        assert!(
            !request.once || request.runs == 1,
            "request {mark} ran twice"
        );
    }

    pub fn told(&mut self, mark: u64, run: Run) {
        let request = self.requests.get_mut(&mark).expect("a known mark");
        if run == Run::No {
            assert_eq!(
                request.runs, 0,
                "request {mark} ran, and \"not run\" was said"
            );
            request.not_run = true;
        }
    }

    pub const fn next_nonce(&mut self) -> u64 {
        self.nonces += 1;
        self.nonces
    }

    pub fn published(&mut self, nonce: u64, verdict: &PublishOutcome) {
        if let PublishOutcome::Accepted(revision) = verdict {
            let other = self.accepted.insert(*revision, nonce);
            assert!(
                other.is_none_or(|other| other == nonce),
                "revision {revision} was accepted from two operators"
            );
        }
    }

    pub fn forget_host(&mut self, host: HostId) {
        self.revisions.remove(&host);
    }

    pub fn note_killed(&mut self, runs: &[TaskRun], now: Moment) {
        for run in runs {
            let mut run = run.clone();
            run.end = run.end.or(Some(now.as_micros()));
            if run.state == TaskState::Running {
                run.state = TaskState::Stopped;
            }
            self.killed.push(run);
        }
    }

    /// Checks everything that must hold at each moment.
    pub fn check(world: &mut World) {
        check_owners(world);
        check_running(world);
        check_revisions(world);
        check_workers(world);
    }

    /// Checks what must hold once every fault has ended.
    pub fn check_end(world: &mut World) {
        check_runs(world);
        let jobs: Vec<JobId> = world.oracle.jobs.keys().copied().collect();
        for id in jobs {
            check_job(world, id);
        }
    }
}

/// At most one host may act for a shard.
fn check_owners(world: &World) {
    let mut acting: BTreeMap<ShardId, HostId> = BTreeMap::new();
    for host in &world.hosts {
        for view in host.core.ownership.view(world.now) {
            if !view.acting {
                continue;
            }
            let other = acting.insert(view.shard, host.id);
            assert!(
                other.is_none(),
                "shard {} is commanded by {:?} and {}",
                view.shard,
                other,
                host.id
            );
        }
    }
}

/// No task runs in two places at once, and no worker has more than it can hold.
fn check_running(world: &mut World) {
    let now = world.now;
    let mut running: BTreeSet<TaskId> = BTreeSet::new();
    for worker in &mut world.workers {
        for run in worker.model.runs(now) {
            if run.state == TaskState::Running {
                assert!(running.insert(run.task), "task {} runs twice", run.task);
            }
        }
    }
}

/// No host goes back to an older configuration, and no accepted one is undone.
fn check_revisions(world: &mut World) {
    for host in &world.hosts {
        let revision = host.core.current.revision();
        let former = world.oracle.revisions.insert(host.id, revision);
        assert!(former.unwrap_or(0) <= revision, "a configuration reverted");
        if let Some(current) = host.core.current.get()
            && let Some(nonce) = world.oracle.accepted.get(&revision)
        {
            assert_eq!(current.nonce, *nonce, "another configuration is in force");
        }
    }
}

fn check_workers(world: &mut World) {
    let now = world.now;
    for worker in &mut world.workers {
        assert_eq!(
            worker.model.overfull, 0,
            "{} was overfull",
            worker.host.name
        );
        let Some(since) = worker.leaving_since else {
            continue;
        };
        let late = worker
            .model
            .runs(now)
            .into_iter()
            .find(|run| run.start > (since + LEAVING_GRACE).as_micros());
        assert!(
            late.is_none(),
            "{} got work while leaving",
            worker.host.name
        );
    }
}

/// Over the whole time: no two runs of a task overlap, a task that is not
/// idempotent ran once, and each run resumed from saved work.
fn check_runs(world: &mut World) {
    let now = world.now;
    let mut runs: BTreeMap<TaskId, Vec<TaskRun>> = BTreeMap::new();
    let mut all = world.oracle.killed.clone();
    for worker in &mut world.workers {
        all.extend(worker.model.runs(now));
    }
    for run in all {
        runs.entry(run.task).or_default().push(run);
    }
    for (task, mut runs) in runs {
        runs.sort_by_key(|run| run.start);
        for pair in runs.windows(2) {
            let end = pair[0].end.unwrap_or(u64::MAX);
            assert!(
                end <= pair[1].start,
                "runs of task {task} overlap: {pair:?}"
            );
            let saved = runs.iter().take_while(|run| run.start < pair[1].start);
            let saved = saved.map(|run| run.checkpoint).max().unwrap_or(0);
            assert!(
                pair[1].resumed <= saved,
                "task {task} resumed from work it never did"
            );
        }
        let once = world
            .oracle
            .jobs
            .get(&task.job)
            .is_some_and(|job| !job.idempotent);
        assert!(
            !once || runs.len() == 1,
            "task {task} ran {} times",
            runs.len()
        );
    }
}

/// Every accepted job is known to its owner, and every task has its account.
fn check_job(world: &World, id: JobId) {
    let job = &world.oracle.jobs[&id];
    let views: Vec<JobView> = world
        .hosts
        .iter()
        .filter_map(|host| host.core.job(id, world.now, world.wall()).ok())
        .collect();
    if !job.accepted {
        return;
    }
    assert_eq!(
        views.len(),
        1,
        "accepted job {id} is known to {} hosts",
        views.len()
    );
    let view = &views[0];
    assert!(view.is_ended(), "job {id} did not end: {view:?}");
    let ended: u32 = view.ended.values().sum();
    assert_eq!(ended, job.tasks, "job {id} lost a task: {view:?}");
    let finished = view.count(Outcome::Finished);
    let cancelled = view.count(Outcome::Cancelled);
    let unknown = view.count(Outcome::Unknown);
    let failed = view.count(Outcome::Failed);
    let moved = view.count(Outcome::Moved);
    assert!(
        cancelled == 0 || view.cancelled,
        "job {id} was cancelled by nobody"
    );
    assert!(
        !job.cancelled || view.cancelled,
        "a cancellation of {id} was lost"
    );
    if job.idempotent && !view.cancelled {
        assert_eq!(
            finished + moved,
            job.tasks,
            "job {id} did not finish: {view:?}"
        );
    }
    assert!(
        unknown + failed == 0 || !job.idempotent,
        "job {id}: {view:?}"
    );
}
