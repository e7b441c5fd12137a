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
    let lease_end = clock.lease_end(at(1_100), Duration::from_millis(3_900));
    assert_eq!(lease_end, 54_900);
    assert_eq!(clock.latest_expiry(lease_end), at(5_100));
}

/// Guards against a slow clock that counts as reset, and leases that count as ended too soon.
#[test]
fn a_clock_that_is_as_slow_as_allowed_has_not_restarted_and_reaches_its_leases_in_time() {
    let clock = Clock::new(50_000, at(100));
    for elapsed in (0..=3_000).map(|step| step * 10) {
        let (now, reading) = (at(100 + elapsed), 50_000 + elapsed * 98 / 100);
        assert!(!clock.is_behind(reading, now), "{elapsed} ms later");
        // Workers may round their clocks up in one answer and down in the next.
        assert!(!clock.is_behind(reading - 1, now), "{elapsed} ms later");
        assert!(clock.latest_lease_end(now) <= reading, "{elapsed} ms later");
        assert!(clock.latest_expiry(reading + 1) > now, "{elapsed} ms later");
    }
    assert!(clock.is_behind(50_978, at(1_100)));
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
