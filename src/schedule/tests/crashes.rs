//! Tests of tasks that crash the workers on which they start.

use super::*;
use crate::fleet::StopOrder;

/// The time after which a crashed worker answers again.
const RESTART_DELAY: u64 = 3_000;
/// The interval at which simulated workers report.
const REPORT_INTERVAL: u64 = 250;
/// The number of starts of a task that are allowed at most: the third crash may be
/// followed by two more.
const MAX_STARTS: usize = 5;

/// A simulated worker: its runs, with the moment at which each ends.
#[derive(Debug, Clone, Default)]
struct SimulatedWorker {
    incarnation: u64,
    runs: Vec<(TaskName, u64, u64)>,
    ended: Vec<(u64, TaskName, u64, RunOutcome)>,
    down_until: u64,
}

/// A shard whose workers run for real what they are told to start.
struct CrashingFleet {
    shard: Shard,
    workers: Vec<SimulatedWorker>,
    /// The job whose tasks crash their workers, and how long after their start.
    deadly: u64,
    crash_after: u64,
    /// For how long every other task runs.
    run_time: u64,
    /// The starts of tasks of the deadly job, by task.
    starts: std::collections::BTreeMap<TaskName, usize>,
    crashes: usize,
    ended: Vec<(String, WorkflowState)>,
    /// Whether a worker comes back under another id instead of a new incarnation.
    renames: bool,
}

impl CrashingFleet {
    fn new(ids: &[&str], deadly: u64, crash_after: u64) -> Self {
        Self {
            shard: Shard::first_owner(ids),
            workers: vec![
                SimulatedWorker {
                    incarnation: 1,
                    ..SimulatedWorker::default()
                };
                ids.len()
            ],
            deadly,
            crash_after,
            run_time: 1_000,
            starts: std::collections::BTreeMap::new(),
            crashes: 0,
            ended: Vec::new(),
            renames: false,
        }
    }

    /// Runs the shard until a moment, in steps of 50 ms.
    fn run_until(&mut self, end: u64) {
        while self.shard.now < end {
            self.shard.now += 50;
            let now = self.shard.now;
            for worker in 0..self.workers.len() {
                self.advance(worker, now);
                if now.is_multiple_of(REPORT_INTERVAL) && now >= self.workers[worker].down_until {
                    self.report(worker);
                }
            }
            self.shard.write();
            self.shard.plan();
            self.carry_out();
            self.note_events();
        }
    }

    fn advance(&mut self, worker: usize, now: u64) {
        let simulated = &mut self.workers[worker];
        let crash = simulated
            .runs
            .iter()
            .any(|(task, _, end)| task.workflow == WorkflowId(self.deadly) && *end <= now);
        if crash {
            simulated.runs.clear();
            simulated.ended.clear();
            simulated.incarnation += 1;
            simulated.down_until = now + RESTART_DELAY;
            self.crashes += 1;
            return;
        }
        let done: Vec<_> = simulated.runs.extract_if(.., |run| run.2 <= now).collect();
        for (task, run, _) in done {
            let number = simulated.ended.len() as u64 + 1;
            simulated.ended.push((number, task, run, RunOutcome::Done));
        }
    }

    fn report(&mut self, worker: usize) {
        let simulated = self.workers[worker].clone();
        if self.renames && simulated.incarnation > 1 {
            self.rename(worker);
        }
        let running = simulated.runs.iter();
        let running = running.map(|(task, run, _)| live(*task, *run, 0)).collect();
        let incarnation = simulated.incarnation;
        self.shard
            .report_with(worker, incarnation, running, &simulated.ended);
    }

    /// Registers the worker anew: its address now answers under another id.
    fn rename(&mut self, worker: usize) {
        let (shard, simulated) = (&mut self.shard, &mut self.workers[worker]);
        let old = shard.workers[worker];
        shard.scheduler.on_replaced(old);
        let mut entry = shard.scheduler.workers[old].registration.clone();
        entry.id = format!("{}-again", entry.id);
        entry.incarnation = shard.now;
        let known = shard
            .scheduler
            .workers
            .values()
            .filter(|known| known.listed);
        let mut entries: Vec<Registration> = known
            .map(|known| known.registration.clone())
            .filter(|known| known.address != entry.address)
            .collect();
        entries.push(entry);
        let added = shard.scheduler.on_registry(entries, at(shard.now));
        shard.workers[worker] = added[0];
        simulated.incarnation = 1;
    }

    fn carry_out(&mut self) {
        let now = at(self.shard.now);
        for (key, order) in std::mem::take(&mut self.shard.orders) {
            let Some(worker) = self.shard.workers.iter().position(|known| *known == key) else {
                continue;
            };
            match order {
                Order::Start { task, run } => self.start(worker, key, task, run, now),
                Order::Stop(stop) => self.stop(worker, key, &stop, now),
                Order::Throttle(..) => {}
            }
        }
    }

    fn start(&mut self, worker: usize, key: WorkerKey, task: TaskKey, run: u64, now: Moment) {
        let scheduler = &mut self.shard.scheduler;
        let Some(order) = scheduler.start_order(key, task, run, now) else {
            return;
        };
        if self.shard.now < self.workers[worker].down_until {
            return scheduler.on_start_undelivered(key, task, run, now);
        }
        scheduler.on_start(key, task, run, StartReply::Running, now);
        let deadly = order.task.workflow == WorkflowId(self.deadly);
        let end = self.shard.now
            + if deadly {
                self.crash_after
            } else {
                self.run_time
            };
        self.workers[worker].runs.push((order.task, run, end));
        if deadly {
            *self.starts.entry(order.task).or_default() += 1;
        }
    }

    fn stop(&mut self, worker: usize, key: WorkerKey, stop: &StopOrder, now: Moment) {
        if self.shard.now < self.workers[worker].down_until {
            return;
        }
        let simulated = &mut self.workers[worker];
        let is_stopped = |run: &(TaskName, u64, u64)| (run.0, run.1) == (stop.task, stop.run);
        if simulated.runs.iter().any(is_stopped) {
            simulated.runs.retain(|run| !is_stopped(run));
            let number = simulated.ended.len() as u64 + 1;
            let end = (number, stop.task, stop.run, RunOutcome::Stopped);
            simulated.ended.push(end);
        }
        self.shard.scheduler.on_stop(key, stop, now);
    }

    fn note_events(&mut self) {
        for event in self.shard.scheduler.take_events() {
            if let Event::JobEnded { id, state, .. } = event {
                self.ended.push((id, state));
            }
        }
    }

    /// Lets another owner take over with the stored progress of the deadly job.
    fn take_over(&mut self) {
        let now = self.shard.now;
        let ledger = &self.shard.scheduler.ledger;
        let workflow = ledger.find(WorkflowId(self.deadly)).expect("a known job");
        let progress = ledger.progress(workflow);
        let spec = ledger.workflows[workflow].spec.steps.clone();
        let term = Term {
            fence: FENCE + 1,
            recovery_deadline: Some(at(now + 10_000)),
        };
        let roster: Vec<RosterEntry> = IDS.iter().map(|id| roster_entry(id, None)).collect();
        self.shard = Shard::new(term, &IDS);
        self.shard.now = now;
        self.shard.scheduler.on_roster(roster, at(now));
        let deadly = active_workflow(self.deadly, spec, 1, 0);
        self.shard.restore(deadly, &progress.tasks);
    }

    fn most_starts(&self) -> usize {
        self.starts.values().copied().max().unwrap_or_default()
    }

    fn state_of(&self, id: u64) -> Option<WorkflowState> {
        let id = WorkflowId(id).to_string();
        let ended = self.ended.iter().find(|ended| ended.0 == id);
        ended.map(|ended| ended.1)
    }
}

const DEADLY: u64 = 1;
const IDS: [&str; 6] = ["w0", "w1", "w2", "w3", "w4", "w5"];
const SOUND_JOBS: std::ops::Range<u64> = 2..42;

/// A loaded fleet into which a deadly job comes.
fn fleet_with_deadly_job(crash_after: u64, step: Step) -> CrashingFleet {
    let mut fleet = CrashingFleet::new(&IDS, DEADLY, crash_after);
    for id in SOUND_JOBS {
        fleet.shard.submit(sound_job(id));
    }
    fleet.run_until(1_000);
    fleet
        .shard
        .submit(active_workflow(DEADLY, vec![step], 1, 0));
    fleet
}

fn sound_job(id: u64) -> ActiveWorkflow {
    let first = step(6, 1);
    let second = Step {
        after: vec![0],
        ..step(6, 1)
    };
    active_workflow(id, vec![first, second], 1, 0)
}

fn assert_given_up(fleet: &CrashingFleet) {
    assert!(fleet.most_starts() <= MAX_STARTS, "{:?}", fleet.starts);
    assert_eq!(fleet.state_of(DEADLY), Some(WorkflowState::Failed));
}

fn assert_sound_jobs_done(fleet: &CrashingFleet) {
    for id in SOUND_JOBS {
        assert_eq!(fleet.state_of(id), Some(WorkflowState::Done), "job {id}");
    }
}

#[test]
fn a_task_that_crashes_worker_after_worker_is_given_up() {
    for renames in [false, true] {
        let mut fleet = fleet_with_deadly_job(10, step(1, 1));
        fleet.renames = renames;
        fleet.run_until(60_000);
        assert_given_up(&fleet);
        assert_sound_jobs_done(&fleet);
    }
}

#[test]
fn a_task_that_crashes_its_workers_late_is_given_up() {
    for crash_after in [700, 2_000, 5_000, 15_000] {
        let mut fleet = fleet_with_deadly_job(crash_after, step(1, 1));
        fleet.run_until(200_000);
        assert_given_up(&fleet);
        assert_sound_jobs_done(&fleet);
    }
}

#[test]
fn a_step_whose_tasks_all_crash_their_workers_is_given_up() {
    let mut fleet = fleet_with_deadly_job(10, step(8, 1));
    fleet.run_until(60_000);
    assert_given_up(&fleet);
    assert!(fleet.crashes <= IDS.len() + 2, "{}", fleet.crashes);
    assert_sound_jobs_done(&fleet);
}

#[test]
fn a_long_running_task_that_crashes_its_workers_is_given_up() {
    let mut fleet = fleet_with_deadly_job(10, serving(1, 1, "web"));
    fleet.run_until(60_000);
    assert_given_up(&fleet);
    assert_sound_jobs_done(&fleet);
}

#[test]
fn a_gang_that_crashes_its_workers_is_given_up() {
    let gang = Step {
        gang: true,
        ..step(3, 2)
    };
    let mut fleet = fleet_with_deadly_job(10, gang);
    fleet.run_until(60_000);
    assert_given_up(&fleet);
    assert_sound_jobs_done(&fleet);
}

#[test]
fn the_count_of_crashes_outlives_the_owner() {
    let mut fleet = fleet_with_deadly_job(10, step(1, 1));
    while fleet.crashes < 1 || fleet.shard.now < 6_000 {
        let next = fleet.shard.now + 50;
        fleet.run_until(next);
    }
    fleet.take_over();
    fleet.run_until(60_000);
    assert_eq!(fleet.state_of(DEADLY), Some(WorkflowState::Failed));
    assert!(fleet.most_starts() <= 3, "{:?}", fleet.starts);
}
