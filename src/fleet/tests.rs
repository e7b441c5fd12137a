use std::time::Duration;

use slotmap::SlotMap;

use super::{Clock, Trust};
use crate::moment::Moment;
use crate::workflow::FlowKey;

fn at(millis: u64) -> Moment {
    Moment::from_micros(millis * 1000)
}

fn workflows(count: usize) -> Vec<FlowKey> {
    let mut arena: SlotMap<FlowKey, ()> = SlotMap::with_key();
    (0..count).map(|_| arena.insert(())).collect()
}

#[test]
fn lease_expiry_allows_for_slowest_clock() {
    let clock = Clock::new(50_000, at(100));
    let until = clock.lease_end(at(1_100), Duration::from_secs(4));
    assert_eq!(until, 55_000);
    assert_eq!(clock.passed(until), at(100) + Duration::from_millis(5_100));
}

#[test]
fn failures_of_one_job_do_not_quarantine_worker() {
    let workflow = workflows(1)[0];
    let mut trust = Trust::default();
    let quarantined = (0..10).any(|_| trust.failed(workflow, at(0)));
    assert!(!quarantined);
}

#[test]
fn quarantine_expires_and_next_one_is_longer() {
    let jobs = workflows(6);
    let mut trust = Trust::default();
    for workflow in &jobs[..3] {
        trust.failed(*workflow, at(0));
    }
    assert!(trust.is_lost(at(1_999)));
    assert!(!trust.is_lost(at(2_000)));
    for workflow in &jobs[3..] {
        trust.failed(*workflow, at(2_000));
    }
    assert!(trust.is_lost(at(5_999)));
    assert!(!trust.is_lost(at(6_000)));
}
