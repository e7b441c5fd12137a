//! Tests of tasks that crash the workers on which they start.

use rstest::rstest;

use super::*;
use crate::fleet::StopOrder;

/// The time after which a crashed worker mostly answers again.
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
    /// The time after which a crashed worker answers again.
    restart_delay: u64,
    /// The state of the generator of crashes without a cause; absent if there are none.
    random: Option<u64>,
    /// Whether a worker comes back under another id instead of a new incarnation.
    renames: bool,
    /// Whether the answer to a start of a deadly task, counted from 0, is lost.
    loses_answer: fn(usize) -> bool,
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
            restart_delay: RESTART_DELAY,
            random: None,
            renames: false,
            loses_answer: |_| false,
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
        let strikes = self.random.as_mut().is_some_and(strikes);
        if crash || (strikes && now >= simulated.down_until) {
            simulated.runs.clear();
            simulated.ended.clear();
            simulated.incarnation += 1;
            simulated.down_until = now + self.restart_delay;
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
        shard.scheduler.on_replaced(old, at(shard.now));
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
            scheduler.on_start_undelivered(key, task, run, now);
            return;
        }
        let deadly = order.task.workflow == WorkflowId(self.deadly);
        let earlier = self.starts.get(&order.task).copied().unwrap_or_default();
        if deadly && (self.loses_answer)(earlier) {
            scheduler.on_start_unanswered(key, task, run, now);
        } else {
            scheduler.on_start(key, task, run, StartReply::Running, now);
        }
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
            ..Term::default()
        };
        let roster: Vec<RosterEntry> = IDS.iter().map(|id| roster_entry(id, None)).collect();
        self.shard = Shard::new(term, &IDS);
        self.shard.now = now;
        self.shard.scheduler.on_roster(roster, 0, at(now));
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

/// Whether a worker crashes without a cause in this step, about once in 3000 steps.
fn strikes(state: &mut u64) -> bool {
    *state = state
        .wrapping_mul(6_364_136_223_846_793_005)
        .wrapping_add(1);
    (*state >> 33).is_multiple_of(3000)
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

#[test]
fn a_task_is_given_up_although_its_workers_come_back_after_their_leases() {
    for restart_delay in [1_000, 6_000, 12_000] {
        let mut fleet = fleet_with_deadly_job(10, step(1, 1));
        fleet.renames = true;
        fleet.restart_delay = restart_delay;
        fleet.run_until(90_000);
        assert_given_up(&fleet);
        assert_sound_jobs_done(&fleet);
    }
}

#[test]
fn sound_jobs_are_not_given_up_when_their_workers_crash_without_a_cause() {
    let mut crashes = 0;
    for seed in 1..=30 {
        let mut fleet = CrashingFleet::new(&IDS, DEADLY, 10);
        fleet.random = Some(seed);
        for id in 2..122 {
            fleet.shard.submit(sound_job(id));
            fleet.run_until((id - 1) * 400);
        }
        fleet.run_until(90_000);
        crashes += fleet.crashes;
        for id in 2..122 {
            let state = fleet.state_of(id);
            assert_eq!(state, Some(WorkflowState::Done), "seed {seed}, job {id}");
        }
    }
    assert!(crashes > 80, "{crashes}");
}

#[rstest]
#[case::first(|start| start == 0, &[1_000, 3_000, 6_000])]
#[case::first_two(|start| start < 2, &[1_000, 3_000, 6_000])]
#[case::every_second(|start| start % 2 == 0, &[1_000, 3_000, 6_000])]
#[case::first_three(|start| start < 3, &[1_000, 3_000])]
#[case::three_in_between(|start: usize| (1..4).contains(&start), &[1_000, 3_000])]
fn a_task_is_given_up_although_answers_are_lost_with_its_workers(
    #[case] loses_answer: fn(usize) -> bool,
    #[case] restart_delays: &[u64],
    #[values(false, true)] renames: bool,
) {
    for restart_delay in restart_delays {
        let mut fleet = fleet_with_deadly_job(10, step(1, 1));
        fleet.loses_answer = loses_answer;
        fleet.renames = renames;
        fleet.restart_delay = *restart_delay;
        fleet.run_until(90_000);
        assert_given_up(&fleet);
        assert_sound_jobs_done(&fleet);
    }
}

/// The tasks that are suspects of crashes, by the log.
fn suspects(shard: &mut Shard) -> Vec<String> {
    let events = shard.scheduler.take_events().into_iter();
    let suspects = events.filter_map(|event| match event {
        Event::WorkerCrashed { suspects, .. } => Some(suspects),
        _ => None,
    });
    suspects.flatten().map(|run| run.task).collect()
}

/// A shard with two workers, the first of which has just started a task.
fn shard_with_started_task() -> Shard {
    let mut shard = Shard::first_owner(&["w0", "w1"]);
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.plan();
    let started = shard.confirm();
    if started[0].0 == 1 {
        shard.workers.swap(0, 1);
    }
    shard
}

#[test]
fn a_worker_that_was_cut_off_has_not_crashed() {
    let mut shard = shard_with_started_task();
    shard.now = 12_000;
    shard.plan();
    shard.report(0, &[], &[]);
    shard.scheduler.on_poll_failed(shard.workers[1], true);
    assert_eq!(suspects(&mut shard), [""; 0]);
    assert!(
        shard
            .scheduler
            .collect(true, at(12_000))
            .progress
            .is_empty()
    );
}

#[test]
fn a_worker_that_left_after_draining_has_not_crashed() {
    let mut shard = shard_with_started_task();
    let draining = Registration {
        availability: Availability::Draining,
        ..shard.scheduler.workers[shard.workers[0]]
            .registration
            .clone()
    };
    let other = shard.scheduler.workers[shard.workers[1]]
        .registration
        .clone();
    shard.scheduler.on_registry(vec![draining, other], at(0));
    shard.scheduler.on_replaced(shard.workers[0], at(100));
    assert_eq!(suspects(&mut shard), [""; 0]);
}

#[test]
fn only_runs_that_have_just_started_are_suspects() {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.plan();
    let first = shard.confirm()[0];
    shard.now = 600;
    shard.report(0, &[(first.1, first.2)], &[]);
    shard.submit(active_workflow(2, vec![step(1, 1)], 2, 0));
    // Placed and sent, but queued behind the first: it was never ordered.
    shard.submit(active_workflow(3, vec![step(1, 1)], 3, 0));
    shard.plan();
    let orders = std::mem::take(&mut shard.orders);
    shard.orders = orders[..1].to_vec();
    assert_eq!(shard.confirm().len(), 1);
    shard.now = 700;
    shard.report_with(0, 2, Vec::new(), &[]);
    assert_eq!(suspects(&mut shard), [name(2, 0, 0).to_string()]);
}

#[test]
fn a_suspect_starts_alone_and_is_cleared_once_it_survives() {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.submit(active_workflow(2, vec![step(1, 1)], 2, 0));
    shard.plan();
    assert_eq!(shard.confirm().len(), 2);
    shard.now = 100;
    shard.report_with(0, 2, Vec::new(), &[]);
    shard.write();
    let mut alone = Vec::new();
    for step in 0..8 {
        shard.now += 400;
        shard.plan();
        alone.push((step, shard.confirm().len()));
        let worker = &shard.scheduler.workers[shard.workers[0]];
        let tasks = worker.tasks.iter();
        let running: Vec<LiveRun> = tasks
            .map(|(name, key)| live(*name, shard.scheduler.ledger.tasks[*key].run, 0))
            .collect();
        shard.report_with(0, 2, running, &[]);
    }
    insta::assert_snapshot!(format!("{alone:?}"), @"[(0, 1), (1, 0), (2, 0), (3, 1), (4, 0), (5, 0), (6, 0), (7, 0)]");
    let tasks = shard.scheduler.ledger.tasks.values();
    assert!(tasks.into_iter().all(|task| task.crashes.is_empty()));
}

#[test]
fn a_worker_without_runs_that_is_replaced_is_no_crash_in_the_log() {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.scheduler.take_events();
    shard.scheduler.on_replaced(shard.workers[0], at(100));
    assert!(shard.scheduler.take_events().is_empty());
}

#[test]
fn a_worker_that_answers_again_after_a_misdirected_call_gets_tasks() {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.scheduler.on_replaced(shard.workers[0], at(100));
    shard.report(0, &[], &[]);
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.plan();
    assert_eq!(shard.confirm().len(), 1);
}

#[test]
fn a_cut_off_worker_that_does_not_tell_its_incarnation_has_not_crashed() {
    let mut shard = shard_with_started_task();
    shard.now = 12_000;
    shard.plan();
    shard.report_with(0, 0, Vec::new(), &[]);
    assert_eq!(suspects(&mut shard), [""; 0]);
}

#[test]
fn the_trials_of_one_pool_do_not_hold_back_those_of_another() {
    let mut shard = Shard::first_owner(&["w0", "w1"]);
    let other = Registration {
        pool: "other".to_owned(),
        ..registration("w1")
    };
    let entries = vec![registration("w0"), other];
    shard.scheduler.on_registry(entries, at(0));
    for (id, pool) in [(1, "pool"), (2, "other")] {
        let mut workflow = active_workflow(id, vec![step(1, 1)], id, 0);
        let queue = Arc::make_mut(&mut workflow.queue);
        queue.pool = pool.to_owned();
        shard.submit(workflow);
    }
    shard.plan();
    assert_eq!(shard.confirm().len(), 2);
    for worker in 0..2 {
        shard.report_with(worker, 2, Vec::new(), &[]);
    }
    shard.write();
    shard.now = 100;
    shard.plan();
    assert_eq!(shard.confirm().len(), 2);
}

/// Steps of 50 ms: all workers report what they run, every start is confirmed. Returns
/// the tasks that started, with the moment.
fn run_confirmed(shard: &mut Shard, incarnations: &[u64], end: u64) -> Vec<(u64, TaskName)> {
    let mut started = Vec::new();
    while shard.now < end {
        shard.now += 50;
        if shard.now.is_multiple_of(REPORT_INTERVAL) {
            report_assigned(shard, incarnations);
        }
        shard.write();
        shard.plan();
        let now = shard.now;
        started.extend(shard.confirm().into_iter().map(|run| (now, run.1)));
    }
    started
}

fn report_assigned(shard: &mut Shard, incarnations: &[u64]) {
    for (index, incarnation) in incarnations.iter().enumerate() {
        let Some(worker) = shard.scheduler.workers.get(shard.workers[index]) else {
            continue;
        };
        let tasks = worker.tasks.iter();
        let running: Vec<LiveRun> = tasks
            .map(|(name, key)| live(*name, shard.scheduler.ledger.tasks[*key].run, 0))
            .collect();
        shard.report_with(index, *incarnation, running, &[]);
    }
}

#[test]
fn a_suspect_gang_that_fits_nowhere_does_not_stop_sound_jobs() {
    let mut shard = Shard::first_owner(&["w0", "w1", "w2"]);
    let gang = Step {
        gang: true,
        ..step(3, 8)
    };
    shard.submit(active_workflow(1, vec![gang], 1, 0));
    shard.plan();
    assert_eq!(shard.confirm().len(), 3);
    shard.now = 100;
    for worker in 0..3 {
        shard.report_with(worker, 2, Vec::new(), &[]);
    }
    let restarted = |id| Registration {
        incarnation: 2,
        ..registration(id)
    };
    let left = ["w0", "w1"].map(restarted).to_vec();
    shard.scheduler.on_registry(left, at(100));
    shard.submit(active_workflow(2, vec![step(1, 1)], 2, 1));
    let started = run_confirmed(&mut shard, &[2, 2, 2], 60_000);
    assert!(
        started.iter().any(|start| start.1 == name(2, 0, 0)),
        "{started:?}"
    );
}

#[test]
fn a_suspect_best_effort_gang_starts_on_a_busy_pool() {
    let mut fleet = CrashingFleet::new(&["w0", "w1"], DEADLY, 10);
    fleet.run_time = 300;
    let gang = Step {
        gang: true,
        ..best_effort(2, 5, "batch")
    };
    fleet.shard.submit(active_workflow(2, vec![gang], 1, 0));
    fleet.run_until(50);
    for worker in &mut fleet.workers {
        worker.runs.clear();
        worker.incarnation += 1;
    }
    for id in 3..600 {
        let next = fleet.shard.now + 100;
        fleet.run_until(next);
        fleet
            .shard
            .submit(active_workflow(id, vec![step(1, 1)], id, 0));
    }
    assert_eq!(fleet.state_of(2), Some(WorkflowState::Done));
}

#[test]
fn a_suspect_is_started_soon_after_a_power_loss() {
    let ids = ["w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7"];
    let mut shard = Shard::first_owner(&ids);
    for id in 1..=48 {
        let small = Step {
            need: Capacity {
                millicores: 500,
                memory: 100,
                accelerators: 0,
            },
            ..serving(1, 1, "web")
        };
        shard.submit(active_workflow(id, vec![small], 1, 0));
    }
    shard.plan();
    assert_eq!(shard.confirm().len(), 48);
    shard.now = 100;
    for worker in 0..8 {
        shard.report_with(worker, 2, Vec::new(), &[]);
    }
    shard.write();
    // Polls wait up to 800 ms, so a survival is seen later than here.
    let started = run_confirmed(&mut shard, &[2; 8], 60_000);
    assert_eq!(started.len(), 48);
    let last = started.iter().map(|start| start.0).max().unwrap();
    assert!(last <= 6_100, "the last started at {last}");
}

#[test]
fn a_gang_whose_members_crash_their_workers_in_turn_is_given_up() {
    let ids = ["w0", "w1", "w2", "w3", "w4", "w5"];
    let mut shard = Shard::first_owner(&ids);
    let gang = Step {
        gang: true,
        ..step(6, 8)
    };
    shard.submit(active_workflow(1, vec![gang], 1, 0));
    let mut incarnations = [1; 6];
    let mut numbers = [0; 6];
    let mut starts = 0;
    for round in 0..12 {
        let mut runs = Vec::new();
        for _ in 0..400 {
            shard.now += 50;
            if shard.now.is_multiple_of(REPORT_INTERVAL) {
                report_assigned(&mut shard, &incarnations);
            }
            shard.write();
            shard.plan();
            runs = shard.confirm();
            if !runs.is_empty() {
                break;
            }
        }
        if runs.is_empty() {
            break;
        }
        starts += 1;
        shard.now += 50;
        for (worker, task, run) in runs {
            if task.index == round % 6 {
                incarnations[worker] += 1;
                numbers[worker] = 0;
                shard.report_with(worker, incarnations[worker], Vec::new(), &[]);
            } else {
                numbers[worker] += 1;
                let end = (numbers[worker], task, run, RunOutcome::MemberEnded);
                shard.report_with(worker, incarnations[worker], Vec::new(), &[end]);
            }
        }
    }
    assert!(starts <= MAX_STARTS, "{starts} starts");
}

#[test]
fn a_task_that_crashes_late_is_given_up_although_its_workers_come_back_late() {
    let mut fleet = fleet_with_deadly_job(700, step(1, 1));
    fleet.renames = true;
    fleet.restart_delay = 12_000;
    fleet.run_until(200_000);
    assert_given_up(&fleet);
}

#[test]
fn a_sound_suspect_is_not_tried_beside_a_task_that_crashes_late() {
    let record = |crashes: &str| TaskRecord {
        occurrence: 0,
        step: 0,
        index: 0,
        done: false,
        failed: Vec::new(),
        checkpoint: String::new(),
        crashes: serde_json::from_str(crashes).unwrap(),
    };
    let mut shard = Shard::first_owner(&["w0"]);
    // The first crashes its workers 700 ms after its start.
    let late = record(r#"{"suspected":[],"late":[1]}"#);
    let sound = record(r#"{"suspected":[{"run":2,"sole":false}],"late":[]}"#);
    shard.restore(active_workflow(1, vec![step(1, 1)], 1, 0), &[late]);
    shard.plan();
    assert_eq!(shard.confirm().len(), 1);
    shard.restore(active_workflow(2, vec![step(1, 1)], 2, 0), &[sound]);
    let started = run_confirmed(&mut shard, &[1], 700);
    shard.report_with(0, 2, Vec::new(), &[]);
    let workflow = shard.scheduler.ledger.find(WorkflowId(2)).unwrap();
    let state = shard.scheduler.ledger.workflows[workflow].state;
    assert_ne!(state, WorkflowState::Failed, "{started:?}");
}

#[test]
fn a_start_refused_by_another_worker_is_no_suspect() {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    shard.plan();
    let (worker, order) = shard.orders.remove(0);
    let Order::Start { task, run } = order else {
        panic!()
    };
    let now = at(100);
    shard.scheduler.start_order(worker, task, run, now).unwrap();
    // As daemon::worker::send_start does if the first sending is refused.
    shard.scheduler.on_start_refused(worker, task, run, now);
    shard.scheduler.on_replaced(worker, now);
    assert_eq!(suspects(&mut shard), [""; 0]);
}

#[test]
fn a_stored_record_with_many_late_crashes_does_not_end_the_process() {
    let text = r#"{"suspected":[],"late":[1,2,3,4,5,6,7,8,9,10,11,12,13,14,15]}"#;
    let record: crate::workflow::CrashRecord = serde_json::from_str(text).unwrap();
    assert!(record.survival_time() >= Duration::from_secs(100));
}

/// How long a long-running task may be without a run while there is room, in milliseconds.
const MAX_IDLE: u64 = 6_000;

impl CrashingFleet {
    /// Crashes all workers at once.
    fn crash_all(&mut self) {
        let now = self.shard.now;
        for worker in &mut self.workers {
            worker.runs.clear();
            worker.ended.clear();
            worker.incarnation += 1;
            worker.down_until = now + self.restart_delay;
        }
    }

    /// Whether a worker that accepts tasks has a processor free.
    fn has_room(&self) -> bool {
        let now = at(self.shard.now);
        let mut workers = self.shard.scheduler.workers.values();
        workers.any(|worker| worker.accepts_tasks(now) && worker.free().millicores >= CORE)
    }

    /// The longest time for which a task of a job has waited, in milliseconds.
    fn longest_wait(&self, job: u64) -> u64 {
        let tasks = self.shard.scheduler.ledger.tasks.values();
        let waiting = tasks
            .filter(|task| task.name.workflow == WorkflowId(job) && task.stage == Stage::Waiting);
        let waits = waiting.map(|task| (at(self.shard.now) - task.ready).as_millis() as u64);
        waits.max().unwrap_or_default()
    }
}

#[rstest]
fn lost_long_running_tasks_run_again_in_time_beside_suspects_of_many_crashes(
    #[values(10, 700, 2_000)] crash_after: u64,
    #[values(1_000, 3_000)] restart_delay: u64,
    #[values(false, true)] deadly_lasts: bool,
) {
    const SOUND: u64 = 2;
    let mut fleet = CrashingFleet::new(&IDS, DEADLY, crash_after);
    fleet.run_time = 1_000_000;
    fleet.restart_delay = restart_delay;
    let sound = active_workflow(SOUND, vec![serving(8, 1, "web")], 1, 0);
    fleet.shard.submit(sound);
    fleet.run_until(1_000);
    let deadly = match deadly_lasts {
        true => serving(8, 1, "video"),
        false => step(8, 1),
    };
    fleet
        .shard
        .submit(active_workflow(DEADLY, vec![deadly], 1, 0));
    let mut room_since = 0;
    for now in (1_050..60_000).step_by(50) {
        if [6_000, 8_000, 16_000].contains(&now) {
            fleet.crash_all();
        }
        fleet.run_until(now);
        if !fleet.has_room() {
            room_since = now;
        }
        let waited = fleet.longest_wait(SOUND).min(now - room_since);
        assert!(waited <= MAX_IDLE, "{waited} at {now}");
    }
    assert!(fleet.most_starts() <= MAX_STARTS, "{:?}", fleet.starts);
    assert_eq!(fleet.state_of(SOUND), None, "sound tasks were given up");
}
