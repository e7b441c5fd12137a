use std::time::Duration;

use slotmap::SlotMap;

use super::{Clock, FailureHistory};
use crate::moment::Moment;
use crate::workflow::WorkflowKey;

fn at(millis: u64) -> Moment {
    Moment::from_micros(millis * 1000)
}

fn workflows(count: usize) -> Vec<WorkflowKey> {
    let mut arena: SlotMap<WorkflowKey, ()> = SlotMap::with_key();
    (0..count).map(|_| arena.insert(())).collect()
}

#[test]
fn lease_expiry_allows_for_slowest_clock() {
    let clock = Clock::new(50_000, at(100));
    let lease_end = clock.lease_end(at(1_100), Duration::from_secs(4));
    assert_eq!(lease_end, 55_000);
    assert_eq!(
        clock.latest_expiry(lease_end),
        at(100) + Duration::from_millis(5_100)
    );
}

#[test]
fn failures_of_one_job_do_not_quarantine_worker() {
    let workflow = workflows(1)[0];
    let mut failures = FailureHistory::default();
    let quarantined = (0..10).any(|_| failures.record_failure(workflow, at(0)));
    assert!(!quarantined);
}

#[test]
fn quarantine_expires_and_next_one_is_longer() {
    let jobs = workflows(6);
    let mut failures = FailureHistory::default();
    for workflow in &jobs[..3] {
        failures.record_failure(*workflow, at(0));
    }
    assert!(failures.is_quarantined(at(1_999)));
    assert!(!failures.is_quarantined(at(2_000)));
    for workflow in &jobs[3..] {
        failures.record_failure(*workflow, at(2_000));
    }
    assert!(failures.is_quarantined(at(5_999)));
    assert!(!failures.is_quarantined(at(6_000)));
}
