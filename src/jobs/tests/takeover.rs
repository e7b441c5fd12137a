//! Tests of what a new owner concludes from the log and from reports.

use super::*;

#[test]
fn a_new_owner_starts_nothing_before_every_worker_has_reported() {
    let record = Fixture::new(&[]).record(7, "plain", 1);
    let accepted = Change::Accepted(Box::new(record));
    let mut fixture = Fixture::new(&[joined("w0"), joined("w1"), accepted]);
    let mut lines = Vec::new();
    fixture.plan(10);
    lines.push(format!("before any report: {:?}", fixture.call(0)));
    fixture.report(0, Vec::new(), 20);
    fixture.plan(30);
    lines.push(format!("after one report: {:?}", fixture.call(0)));
    fixture.call(1);
    fixture.report(1, vec![task(7, 1, 4, TaskState::Running, 0)], 40);
    fixture.plan(50);
    lines.push(format!(
        "it runs on the other: {:?} {:?}",
        fixture.call(0),
        fixture.call(1)
    ));
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn a_new_owner_waits_for_the_recovery_delay_of_a_silent_worker() {
    let record = Fixture::new(&[]).record(7, "plain", 1);
    let accepted = Change::Accepted(Box::new(record));
    let mut fixture = Fixture::new(&[joined("w0"), joined("w1"), accepted]);
    fixture.call(0);
    fixture.report(0, Vec::new(), 20);
    let recovery_delay = LedgerSettings::default().recovery_delay().as_millis() as u64;
    fixture.plan(recovery_delay - 1);
    assert!(fixture.call(0).is_empty() && fixture.call(1).is_empty());
    fixture.plan(recovery_delay);
    assert_eq!(fixture.call(0).len() + fixture.call(1).len(), 1);
}

#[test]
fn a_started_task_that_is_not_idempotent_is_unknown_after_a_takeover() {
    let record = Fixture::new(&[]).record(1, "once", 1);
    let id = TaskId {
        job: record.id,
        index: 0,
    };
    let intent = Change::Intent {
        task: id,
        attempt: Attempt::default(),
    };
    let mut fixture = Fixture::new(&[Change::Accepted(Box::new(record)), intent]);
    fixture.plan(10);
    assert!(fixture.call(0).is_empty() && fixture.call(1).is_empty());
    fixture.log();
    assert_eq!(fixture.ended(1), r#"{"unknown": 1}"#);
}

#[test]
fn a_replayed_snapshot_yields_the_same_snapshot() {
    let mut fixture = Fixture::new(&[]);
    fixture.accept(1, "plain", 3);
    fixture.accept(2, "once", 2);
    fixture.plan(10);
    fixture.log();
    fixture.call(0);
    fixture.report(0, vec![task(1, 2, 1, TaskState::Finished, 0)], 20);
    fixture.ledger.cancel(fixture.record(2, "once", 1).id);
    fixture.log();
    fixture.log();
    let snapshot = fixture.ledger.snapshot();
    let settings = LedgerSettings::default();
    let replayed = Ledger::replay(SHARD, Epoch(3), &snapshot, settings, at(30));
    assert_eq!(replayed.snapshot(), snapshot);
}

#[test]
fn a_new_owner_ends_no_cancelled_task_before_every_worker_has_reported() {
    let record = Fixture::new(&[]).record(7, "plain", 1);
    let job = record.id;
    let log = [
        joined("w0"),
        joined("w1"),
        Change::Accepted(Box::new(record)),
        Change::Cancelled { job },
    ];
    let mut fixture = Fixture::new(&log);
    let before = fixture.ended(7);
    fixture.call(0);
    fixture.report(0, Vec::new(), 20);
    fixture.call(1);
    fixture.report(1, vec![task(7, 1, 4, TaskState::Running, 0)], 30);
    let used = fixture.placement.get(fixture.workers[1]).unwrap().used;
    let stops = [fixture.call(1), fixture.call(1)];
    fixture.report(1, vec![task(7, 1, 4, TaskState::Finished, 0)], 40);
    fixture.log();
    assert_eq!(before, "{}");
    assert_eq!(
        (used.millicores, stops.map(|each| each.len())),
        (1000, [1, 1])
    );
    assert_eq!(fixture.ended(7), r#"{"finished": 1}"#);
}

#[test]
fn a_new_owner_ends_cancelled_tasks_at_once_if_no_worker_may_run_them() {
    let record = Fixture::new(&[]).record(7, "plain", 1);
    let job = record.id;
    let log = [
        Change::Accepted(Box::new(record)),
        Change::Cancelled { job },
    ];
    let mut fixture = Fixture::new(&log);
    fixture.log();
    assert_eq!(fixture.ended(7), r#"{"cancelled": 1}"#);
}

#[test]
fn a_later_owner_waits_the_whole_recovery_delay_although_an_owner_between_has_ended() {
    let record = Fixture::new(&[]).record(7, "plain", 1);
    let log = [
        joined("w0"),
        joined("w1"),
        Change::Accepted(Box::new(record)),
    ];
    let delay = LedgerSettings::default().recovery_delay().as_millis() as u64;
    let claim = |epoch, ms| {
        let settings = LedgerSettings::default();
        Ledger::replay(SHARD, Epoch(epoch), &log, settings, at(ms))
    };
    let between = claim(3, 0);
    let later = claim(4, 1000);
    assert!(!between.is_recovered(at(delay - 1)) && between.is_recovered(at(delay)));
    assert!(!later.is_recovered(at(delay + 999)) && later.is_recovered(at(delay + 1000)));
}
