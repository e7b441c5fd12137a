//! Tests of crashes under runs that are not known to have begun: their start orders got
//! no answer, and no report listed them.

use rstest::rstest;

use super::*;
use crate::workflow::CrashRecord;

const IDS: [&str; 6] = ["w0", "w1", "w2", "w3", "w4", "w5"];
const REPORT_INTERVAL: u64 = 250;

/// What shows that a worker has crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Evidence {
    /// Another worker answers at its address.
    Replaced,
    /// It reports a new incarnation.
    Restarted,
    /// Another worker answers at its address once its leases have ended.
    ReplacedLate,
}

/// What becomes known of a run before its worker crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Knowledge {
    Unanswered,
    /// The start is answered: the run or a later one has ended there.
    Superseded,
    /// The run is stopped before its start is answered.
    Stopped,
    Answered,
    Listed,
    /// The run is listed once it is being stopped.
    ListedStopping,
}

/// A shard whose workers crash one after another, each under the same task.
struct CrashingShard {
    shard: Shard,
    /// The incarnation of each worker; absent while it is silent.
    incarnations: [Option<u64>; IDS.len()],
}

impl CrashingShard {
    fn new(step: Step) -> Self {
        let mut shard = Shard::first_owner(&IDS);
        shard.submit(active_workflow(1, vec![step], 1, 0));
        Self {
            shard,
            incarnations: [Some(1); IDS.len()],
        }
    }

    /// Lets time pass until starts are ordered; workers that have not crashed confirm
    /// stop orders and report their runs. Returns the worker, the task and the run of each.
    fn next_starts(&mut self) -> Vec<(usize, TaskKey, u64)> {
        for _ in 0..100 {
            let shard = &mut self.shard;
            shard.write();
            shard.plan();
            let answers = |worker: usize| self.incarnations[worker].is_some();
            let mut starts = Vec::new();
            for (key, order) in std::mem::take(&mut shard.orders) {
                let index = shard.workers.iter().position(|known| *known == key);
                match order {
                    Order::Start { task, run } => starts.push((index.unwrap(), task, run)),
                    Order::Stop(stop) if index.is_some_and(answers) => {
                        shard.scheduler.on_stop(key, &stop, at(shard.now));
                    }
                    Order::Stop(_) | Order::Throttle(..) => {}
                }
            }
            if !starts.is_empty() {
                return starts;
            }
            self.report_after_interval();
        }
        panic!("no start was ordered");
    }

    fn report_after_interval(&mut self) {
        self.shard.now += REPORT_INTERVAL;
        for worker in 0..IDS.len() {
            self.report(worker, Vec::new());
        }
    }

    fn report(&mut self, worker: usize, running: Vec<LiveRun>) {
        if let Some(incarnation) = self.incarnations[worker] {
            self.shard.report_with(worker, incarnation, running, &[]);
        }
    }

    fn send(&mut self, (worker, task, run): (usize, TaskKey, u64), knowledge: Knowledge) {
        let (key, now) = (self.shard.workers[worker], at(self.shard.now));
        let scheduler = &mut self.shard.scheduler;
        let order = scheduler.start_order(key, task, run, now).expect("wanted");
        match knowledge {
            Knowledge::Superseded => {
                scheduler.on_start(key, task, run, StartReply::Superseded, now);
            }
            Knowledge::Answered => {
                scheduler.on_start(key, task, run, StartReply::Running, now);
            }
            _ => {
                scheduler.on_start_unanswered(key, task, run, now);
            }
        }
        if matches!(knowledge, Knowledge::Stopped | Knowledge::ListedStopping) {
            scheduler.stop(task, "a test", now);
        }
        if matches!(knowledge, Knowledge::Listed | Knowledge::ListedStopping) {
            self.report(worker, vec![live(order.task, run, 0)]);
        }
    }

    fn crash(&mut self, (worker, task, run): (usize, TaskKey, u64), evidence: Evidence) {
        let key = self.shard.workers[worker];
        match evidence {
            Evidence::Replaced => {
                self.incarnations[worker] = None;
                self.shard.now += 100;
                let now = at(self.shard.now);
                self.shard
                    .scheduler
                    .on_start_misdirected(key, task, run, now);
            }
            Evidence::Restarted => {
                self.shard.now += 100;
                self.incarnations[worker] = self.incarnations[worker].map(|last| last + 1);
                self.report(worker, Vec::new());
            }
            Evidence::ReplacedLate => self.replace_late(worker, task),
        }
    }

    /// Lets the leases on a silent worker end. Then another one answers at its address.
    fn replace_late(&mut self, worker: usize, task: TaskKey) {
        let key = self.shard.workers[worker];
        self.incarnations[worker] = None;
        while self.shard.scheduler.ledger.tasks[task].stage.worker() == Some(key) {
            self.report_after_interval();
            self.shard.write();
            self.shard.scheduler.confirmed = at(self.shard.now);
            self.shard.scheduler.expire_leases(at(self.shard.now));
        }
        let known = self.shard.scheduler.workers.values();
        let mut entries: Vec<Registration> = known
            .map(|known| known.registration.clone())
            .filter(|known| known.address != address(IDS[worker]))
            .collect();
        entries.push(Registration {
            id: format!("{}-{}", IDS[worker], self.shard.now),
            address: address(IDS[worker]),
            ..registration(IDS[worker])
        });
        let added = self
            .shard
            .scheduler
            .on_registry(entries, at(self.shard.now));
        self.shard.workers[worker] = added[0];
        self.incarnations[worker] = Some(1);
        self.report(worker, Vec::new());
    }

    /// Lets workers crash under all started tasks, several times or until the job has
    /// ended.
    fn crash_workers(&mut self, crashes: usize, knowledge: Knowledge, evidence: Evidence) {
        for _ in 0..crashes {
            let starts = self.next_starts();
            for start in &starts {
                self.send(*start, knowledge);
            }
            for start in starts {
                self.crash(start, evidence);
            }
            if self.state() == WorkflowState::Failed {
                return;
            }
        }
    }

    fn state(&self) -> WorkflowState {
        let workflow = self.shard.scheduler.ledger.find(WorkflowId(1)).unwrap();
        self.shard.scheduler.ledger.workflows[workflow].state
    }

    fn crashes(&self) -> CrashRecord {
        let task = self.shard.task(name(1, 0, 0));
        self.shard.scheduler.ledger.tasks[task].crashes.clone()
    }
}

#[rstest]
#[case(Knowledge::Unanswered, Evidence::Replaced)]
#[case(Knowledge::Unanswered, Evidence::Restarted)]
#[case(Knowledge::Unanswered, Evidence::ReplacedLate)]
#[case(Knowledge::Superseded, Evidence::Restarted)]
#[case(Knowledge::Superseded, Evidence::ReplacedLate)]
#[case(Knowledge::Stopped, Evidence::Restarted)]
#[case(Knowledge::Stopped, Evidence::ReplacedLate)]
fn a_task_is_not_given_up_for_runs_that_are_not_known_to_have_begun(
    #[case] knowledge: Knowledge,
    #[case] evidence: Evidence,
) {
    let mut crashing = CrashingShard::new(step(1, 1));
    crashing.crash_workers(4, knowledge, evidence);
    assert_ne!(crashing.state(), WorkflowState::Failed);
    assert!(crashing.crashes().is_suspect());
}

#[rstest]
#[case(Knowledge::Unanswered, Evidence::Replaced)]
#[case(Knowledge::Unanswered, Evidence::ReplacedLate)]
fn a_gang_is_not_given_up_for_runs_that_are_not_known_to_have_begun(
    #[case] knowledge: Knowledge,
    #[case] evidence: Evidence,
) {
    let gang = Step {
        gang: true,
        ..step(2, 5)
    };
    let mut crashing = CrashingShard::new(gang);
    crashing.crash_workers(3, knowledge, evidence);
    assert_ne!(crashing.state(), WorkflowState::Failed);
}

#[rstest]
#[case(Knowledge::Answered, Evidence::Replaced)]
#[case(Knowledge::Answered, Evidence::Restarted)]
#[case(Knowledge::Answered, Evidence::ReplacedLate)]
#[case(Knowledge::Listed, Evidence::Restarted)]
#[case(Knowledge::Listed, Evidence::ReplacedLate)]
#[case(Knowledge::ListedStopping, Evidence::Restarted)]
#[case(Knowledge::ListedStopping, Evidence::ReplacedLate)]
fn a_task_is_given_up_for_two_runs_that_are_known_to_have_begun(
    #[case] knowledge: Knowledge,
    #[case] evidence: Evidence,
) {
    let mut crashing = CrashingShard::new(step(1, 1));
    crashing.crash_workers(2, knowledge, evidence);
    assert_eq!(crashing.state(), WorkflowState::Failed);
}

/// The crashes recorded for two tasks on one worker, the first of which has begun, the
/// second possibly. The first is a suspect for 3 s if it is known to crash late.
fn crash_beside_unanswered_start(crashes_late: bool) -> (CrashRecord, CrashRecord) {
    let mut shard = Shard::first_owner(&["w0"]);
    let mut record = TaskRecord::default();
    if crashes_late {
        record.crashes.record_late(1);
    }
    shard.restore(active_workflow(1, vec![step(1, 1)], 1, 0), &[record]);
    shard.plan();
    let known = shard.confirm()[0];
    if crashes_late {
        shard.now = 1_000;
        shard.report(0, &[(known.1, known.2)], &[]);
    }
    shard.submit(active_workflow(2, vec![step(1, 1)], 2, 0));
    shard.plan();
    let (worker, order) = shard.orders.remove(0);
    let Order::Start { task, run } = order else {
        panic!()
    };
    let now = at(shard.now);
    shard.scheduler.start_order(worker, task, run, now).unwrap();
    shard.scheduler.on_start_unanswered(worker, task, run, now);
    shard.now += 100;
    shard.report_with(0, 2, Vec::new(), &[]);
    let crashes = |id| {
        shard.scheduler.ledger.tasks[shard.task(name(id, 0, 0))]
            .crashes
            .clone()
    };
    (crashes(1), crashes(2))
}

#[rstest]
fn a_run_is_not_the_sole_suspect_beside_one_that_may_have_begun(
    #[values(false, true)] crashes_late: bool,
) {
    let (known, uncertain) = crash_beside_unanswered_start(crashes_late);
    let sole: Vec<bool> = known.suspected().iter().map(|crash| crash.sole).collect();
    assert_eq!(sole, [false]);
    assert!(uncertain.suspected().is_empty() && uncertain.is_suspect());
}

#[test]
fn a_suspect_that_may_not_have_begun_is_cleared_once_it_survives() {
    let mut crashing = CrashingShard::new(step(1, 1));
    crashing.crash_workers(1, Knowledge::Unanswered, Evidence::Replaced);
    let start = crashing.next_starts()[0];
    crashing.send(start, Knowledge::Answered);
    crashing.shard.now += 600;
    let listed = live(name(1, 0, 0), start.2, 0);
    crashing.report(start.0, vec![listed]);
    assert!(crashing.crashes().is_empty());
}

#[test]
fn stored_crashes_are_read_by_earlier_and_later_versions() {
    /// The form in which earlier versions store and read crashes.
    #[derive(serde::Serialize, serde::Deserialize)]
    struct EarlierRecord {
        suspected: Vec<crate::workflow::SuspectedCrash>,
        late: Vec<u64>,
    }
    let mut record = CrashRecord::default();
    record.record_suspected(7, true);
    record.record_late(8);
    let without = serde_json::to_string(&record).unwrap();
    record.record_uncertain(9);
    let text = serde_json::to_string(&record).unwrap();
    insta::assert_snapshot!(format!("{without}\n{text}"), @r#"
    {"suspected":[{"run":7,"sole":true}],"late":[8]}
    {"suspected":[{"run":7,"sole":true}],"late":[8],"uncertain":[9]}
    "#);
    assert_eq!(serde_json::from_str::<CrashRecord>(&text).unwrap(), record);
    let earlier: EarlierRecord = serde_json::from_str(&text).unwrap();
    assert_eq!(serde_json::to_string(&earlier).unwrap(), without);
    let read: CrashRecord = serde_json::from_str(&without).unwrap();
    assert_eq!(serde_json::to_string(&read).unwrap(), without);
}

#[test]
fn the_trial_of_a_suspect_that_may_not_have_begun_outlives_the_owner() {
    let mut crashing = CrashingShard::new(step(1, 1));
    crashing.crash_workers(1, Knowledge::Unanswered, Evidence::Replaced);
    let ledger = &crashing.shard.scheduler.ledger;
    let stored = ledger.progress(ledger.find(WorkflowId(1)).unwrap());
    let batch = crashing
        .shard
        .scheduler
        .collect(true, at(crashing.shard.now));
    assert_eq!(batch.progress.len(), 1);
    let mut later = Shard::first_owner(&IDS);
    later.restore(active_workflow(1, vec![step(1, 1)], 1, 0), &stored.tasks);
    let task = later.task(name(1, 0, 0));
    assert!(later.scheduler.needs_trial(task, at(later.now)));
}

#[test]
fn a_task_is_not_given_up_for_runs_that_its_worker_still_reports() {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.submit(active_workflow(1, vec![step(1, 1)], 1, 0));
    for round in 1..=3 {
        shard.write();
        shard.plan();
        let run = shard.confirm()[0];
        shard.now += 100;
        shard.scheduler.on_replaced(shard.workers[0], at(shard.now));
        shard.now += 100;
        shard.report(0, &[(run.1, run.2)], &[]);
        let task = shard.task(name(1, 0, 0));
        assert!(shard.scheduler.ledger.tasks[task].crashes.is_empty());
        let end = (round, run.1, run.2, RunOutcome::Lapsed);
        shard.report(0, &[], &[end]);
    }
}
