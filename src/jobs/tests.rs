//! Tests of the ledger: starts, ends and cancellation of tasks.

mod evacuation;
mod eviction;
mod keys;
mod moves;
mod probes;
mod roster;
mod submit;
mod takeover;

use rstest::rstest;

use super::change::{Change, JobRecord, KeyOutcome, Outcome, StoredAnswer};
use super::keys::{IdempotencyKeys, KeyStep};
use super::ledger::{Ledger, LedgerSettings};
use super::submit::SubmitStep;
use super::{JobSpec, WallClock};
use crate::configuration::{CheckedQuestionnaire, Configuration, Size};
use crate::ids::{Attempt, Epoch, JobId, ShardId, TaskId, WorkerKey};
use crate::moment::Moment;
use crate::placement::{Contact, Placement};
use crate::platform::{HostState, ListedHost};
use crate::settings::Source;
use crate::workers::{BootId, Report, TaskReport, TaskState, Ticket};

const SHARD: ShardId = ShardId(0);
const SETTINGS: &str = "[deployment]\nname = d\nzones = a\nshards = 2\n\n[team:t]\ntoken = x\ntasks = 3\n\n\
    [class:plain]\ndeadline = 1h\nduration = 1s\ncores = 1\nmemory_mb = 10\ncheckpointable = yes\nattempts = 2\n\n\
    [class:once]\ndeadline = 1h\nduration = 1s\ncores = 1\nmemory_mb = 10\nidempotent = no\n";

fn at(ms: u64) -> Moment {
    Moment::from_micros(ms * 1000)
}

fn listed(name: &str, address: &str) -> ListedHost {
    ListedHost {
        name: name.to_owned(),
        zone: "a".to_owned(),
        rack: "r".to_owned(),
        address: address.to_owned(),
        state: HostState::Live,
        size: Size {
            millicores: 2000,
            memory: 100,
            accelerators: 0,
        },
        slots: 2,
        connections: 4,
    }
}

/// A ledger with two workers in its shard.
struct Fixture {
    ledger: Ledger,
    placement: Placement,
    configuration: Configuration,
    workers: Vec<WorkerKey>,
    number: u64,
    /// The process of the workers that the next report is from.
    boot: BootId,
}

impl Fixture {
    fn new(changes: &[Change]) -> Self {
        let source = Source::parse("d.ini", SETTINGS).unwrap();
        let mut placement = Placement::default();
        let workers = (0..2).map(|number| {
            let host = listed(&format!("w{number}"), "127.0.0.1:1");
            let key = placement.upsert_listed(&host, SHARD);
            placement.get_mut(key).unwrap().contact = Contact::Reachable;
            key
        });
        let workers = workers.collect();
        let settings = LedgerSettings::default();
        let mut fixture = Self {
            ledger: Ledger::replay(SHARD, Epoch(2), changes, settings, at(0)),
            configuration: CheckedQuestionnaire::check(source).unwrap().configuration,
            placement,
            workers,
            number: 0,
            boot: BootId(1),
        };
        fixture.maintain(0);
        fixture
    }

    fn maintain(&mut self, ms: u64) -> Vec<Change> {
        self.ledger
            .maintain(&mut self.placement, at(ms), WallClock(ms));
        let changes = self.log();
        self.ledger
            .maintain(&mut self.placement, at(ms), WallClock(ms));
        changes
    }

    /// Logs the pending changes and returns them.
    fn log(&mut self) -> Vec<Change> {
        let changes = self.ledger.take_changes();
        self.ledger.commit(&changes);
        changes
    }

    fn record(&self, number: u64, class: &str, tasks: u32) -> JobRecord {
        let spec = JobSpec {
            class: class.to_owned(),
            tasks,
            payload: String::new(),
            deadline_ms: None,
            size: None,
            duration_ms: None,
        };
        let id = JobId {
            shard: SHARD,
            number,
        };
        spec.record(
            id,
            "t",
            self.configuration.class(class).unwrap(),
            WallClock(0),
        )
    }

    fn accept(&mut self, number: u64, class: &str, tasks: u32) {
        let record = self.record(number, class, tasks);
        self.ledger.commit(&[Change::Accepted(Box::new(record))]);
    }

    fn plan(&mut self, ms: u64) {
        self.ledger.plan(
            &mut self.placement,
            &self.configuration,
            at(ms),
            WallClock(ms),
        );
    }

    /// Calls a worker and returns one line for each command.
    fn call(&mut self, worker: usize) -> Vec<String> {
        self.number += 1;
        let zone = self.placement.zone;
        let commands = self
            .ledger
            .commands(self.workers[worker], self.number, zone);
        let attempt = |attempt: Attempt| format!("{}/{}", attempt.epoch, attempt.count);
        let starts = commands.starts.iter().map(|each| {
            let from = each.checkpoint;
            format!(
                "start {} attempt {} from {from}",
                each.task,
                attempt(each.attempt)
            )
        });
        let stops = commands
            .stops
            .iter()
            .map(|each| format!("stop {} attempt {}", each.task, attempt(each.attempt)));
        let forget = commands
            .forget
            .iter()
            .map(|each| format!("forget {} attempt {}", each.task, attempt(each.attempt)));
        starts.chain(stops).chain(forget).collect()
    }

    fn report(&mut self, worker: usize, tasks: Vec<TaskReport>, ms: u64) {
        let report = Report {
            boot: self.boot,
            ticket: Ticket(1),
            tasks,
            requests: Vec::new(),
            resolved: Vec::new(),
            load: 0,
        };
        let key = self.workers[worker];
        let placement = &mut self.placement;
        self.ledger
            .on_report(key, self.number, &report, placement, at(ms));
    }

    fn ended(&self, number: u64) -> String {
        let id = JobId {
            shard: SHARD,
            number,
        };
        let view = self.ledger.job(
            id,
            &self.placement,
            &self.configuration,
            at(0),
            WallClock(0),
        );
        format!("{:?}", view.unwrap().ended)
    }
}

fn task(number: u64, epoch: u32, count: u32, state: TaskState, checkpoint: u64) -> TaskReport {
    TaskReport {
        task: TaskId {
            job: JobId {
                shard: SHARD,
                number,
            },
            index: 0,
        },
        attempt: Attempt {
            epoch: Epoch(epoch),
            count,
        },
        state,
        checkpoint,
        used: Size::default(),
        ran_ms: 10,
    }
}

fn joined(name: &str) -> Change {
    Change::WorkerJoined {
        name: name.to_owned(),
        address: "127.0.0.1:1".to_owned(),
    }
}

#[test]
fn a_worker_forgets_a_task_only_after_its_end_is_logged() {
    let mut fixture = Fixture::new(&[]);
    fixture.accept(1, "plain", 1);
    fixture.plan(10);
    let first = usize::from(fixture.call(0).is_empty());
    fixture.call(first);
    let finished = || vec![task(1, 2, 1, TaskState::Finished, 0)];
    fixture.report(first, finished(), 20);
    assert_eq!(fixture.call(first), Vec::<String>::new());
    fixture.log();
    fixture.report(first, finished(), 30);
    assert_eq!(fixture.call(first).len(), 1);
    assert_eq!(fixture.ended(1), r#"{"finished": 1}"#);
}

#[test]
fn evicted_work_resumes_once_from_its_checkpoint() {
    let mut fixture = Fixture::new(&[]);
    fixture.accept(1, "plain", 1);
    fixture.plan(10);
    let first = usize::from(fixture.call(0).is_empty());
    fixture.call(first);
    fixture.report(first, vec![task(1, 2, 1, TaskState::Running, 0)], 20);
    fixture.placement.unlist(&format!("w{first}"));
    fixture.maintain(30);
    let mut lines = fixture.call(first);
    fixture.report(first, vec![task(1, 2, 1, TaskState::Stopped, 300)], 40);
    fixture.log();
    fixture.plan(50);
    lines.extend(fixture.call(1 - first));
    fixture.report(first, vec![task(1, 2, 1, TaskState::Stopped, 300)], 60);
    fixture.plan(70);
    lines.push(format!("the old worker again: {:?}", fixture.call(first)));
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn a_task_that_crashes_its_workers_is_not_started_again_and_again() {
    let mut fixture = Fixture::new(&[]);
    fixture.accept(1, "plain", 1);
    let mut starts = 0;
    for round in 1..=10 {
        fixture.plan(round * 10_000);
        for worker in 0..2 {
            starts += fixture.call(worker).len();
            // A restarted worker reports none of its tasks.
            fixture.report(worker, Vec::new(), round * 10_000 + 100);
            fixture.log();
        }
    }
    assert!(starts <= 5, "{starts} starts");
}

#[rstest]
#[case("plain", TaskState::Stopped)]
#[case("once", TaskState::Stopped)]
#[case("plain", TaskState::Failed)]
#[case("once", TaskState::Failed)]
#[case("once", TaskState::Refused)]
fn each_end_of_an_attempt_is_logged_or_retried(#[case] class: &str, #[case] state: TaskState) {
    let mut fixture = Fixture::new(&[]);
    fixture.accept(1, class, 1);
    fixture.plan(10);
    let logged = fixture.log();
    let first = usize::from(fixture.call(0).is_empty());
    fixture.call(first);
    fixture.report(first, vec![task(1, 2, 1, state, 200)], 20);
    let changes = fixture.log();
    fixture.plan(10_000);
    fixture.log();
    let next = [fixture.call(0), fixture.call(1)].concat();
    let name = format!("{class}_{state:?}");
    let text = format!("logged first: {logged:?}\nthen: {changes:?}\nnext: {next:?}");
    insta::assert_snapshot!(name, text);
}

#[rstest]
#[case("once", r#"{"unknown": 1}"#, 0)]
#[case("plain", "{}", 1)]
fn a_start_that_a_restarted_worker_refuses_may_have_run_before(
    #[case] class: &str,
    #[case] ended: &str,
    #[case] starts: usize,
) {
    let mut fixture = Fixture::new(&[]);
    for worker in 0..2 {
        fixture.call(worker);
        fixture.report(worker, Vec::new(), 5);
    }
    fixture.accept(1, class, 1);
    fixture.plan(10);
    fixture.log();
    let first = usize::from(fixture.call(0).is_empty());
    // This call is carried out without an answer, then the worker restarts.
    fixture.call(first);
    fixture.boot = BootId(2);
    assert_eq!(fixture.call(first).len(), 1);
    fixture.report(first, vec![task(1, 2, 1, TaskState::Refused, 0)], 20);
    fixture.log();
    fixture.plan(10_000);
    fixture.log();
    let next = [fixture.call(0), fixture.call(1)].concat();
    let next = next.iter().filter(|line| line.starts_with("start"));
    assert_eq!((fixture.ended(1).as_str(), next.count()), (ended, starts));
}

#[test]
fn the_quota_of_a_team_bounds_its_running_tasks() {
    let mut fixture = Fixture::new(&[]);
    fixture.accept(1, "plain", 10);
    fixture.plan(10);
    assert_eq!(fixture.call(0).len() + fixture.call(1).len(), 3);
}

#[test]
fn ten_thousand_tasks_are_cancelled_at_once() {
    let mut fixture = Fixture::new(&[]);
    fixture.accept(1, "plain", 10_000);
    fixture.plan(10);
    let id = fixture.record(1, "plain", 1).id;
    assert!(fixture.ledger.cancel(id));
    fixture.log();
    fixture.log();
    assert_eq!(fixture.ended(1), r#"{"cancelled": 9997}"#);
    let stops = [fixture.call(0), fixture.call(1)].concat();
    assert!(
        stops.iter().all(|line| line.starts_with("stop")),
        "{stops:?}"
    );
}

#[rstest]
fn a_task_placed_while_its_cancellation_is_being_logged_does_not_start(
    #[values("plain", "once")] class: &str,
) {
    let mut fixture = Fixture::new(&[]);
    fixture.accept(1, class, 1);
    assert!(fixture.ledger.cancel(fixture.record(1, class, 1).id));
    fixture.plan(10);
    fixture.log();
    let commands = [fixture.call(0), fixture.call(1)].concat();
    let starts = commands.iter().filter(|line| line.starts_with("start"));
    assert_eq!(starts.count(), 0, "{commands:?}");
    for worker in 0..2 {
        fixture.report(worker, Vec::new(), 20);
    }
    fixture.log();
    assert_eq!(fixture.ended(1), r#"{"cancelled": 1}"#);
}

#[test]
fn outcome_names_are_unique() {
    let names: std::collections::BTreeSet<&str> =
        Outcome::ALL.iter().map(|outcome| outcome.name()).collect();
    assert_eq!(names.len(), Outcome::ALL.len());
}

#[test]
fn a_worker_forgets_a_stopped_attempt_only_after_its_checkpoint_is_logged() {
    let mut fixture = Fixture::new(&[]);
    fixture.accept(1, "plain", 1);
    fixture.plan(10);
    let first = usize::from(fixture.call(0).is_empty());
    fixture.call(first);
    let stopped = || vec![task(1, 2, 1, TaskState::Stopped, 300)];
    fixture.report(first, stopped(), 20);
    let before = fixture.call(first);
    fixture.report(first, stopped(), 30);
    let again = fixture.call(first);
    fixture.log();
    fixture.report(first, stopped(), 40);
    let after = fixture.call(first);
    let none = Vec::<String>::new();
    assert_eq!((before, again, after.len()), (none.clone(), none, 1));
}
