use std::time::Duration;

use slotmap::SlotMap;

use super::{Clock, Trust};
use crate::moment::Moment;
use crate::workflow::FlowKey;

fn at(millis: u64) -> Moment {
    Moment::from_micros(millis * 1000)
}

fn flows(count: usize) -> Vec<FlowKey> {
    let mut arena: SlotMap<FlowKey, ()> = SlotMap::with_key();
    (0..count).map(|_| arena.insert(())).collect()
}

#[test]
fn a_lease_is_over_only_when_the_slowest_clock_has_passed_it() {
    let clock = Clock::new(50_000, at(100));
    let until = clock.lease_end(at(1_100), Duration::from_secs(4));
    assert_eq!(until, 55_000);
    assert_eq!(clock.passed(until), at(100) + Duration::from_millis(5_100));
}

#[test]
fn failures_of_one_job_do_not_speak_against_a_worker() {
    let flow = flows(1)[0];
    let mut trust = Trust::default();
    let lost = (0..10).any(|_| trust.failed(flow, at(0)));
    assert!(!lost);
}

#[test]
fn mistrust_ends_by_time_and_grows_when_it_returns() {
    let jobs = flows(6);
    let mut trust = Trust::default();
    for flow in &jobs[..3] {
        trust.failed(*flow, at(0));
    }
    assert!(trust.is_lost(at(1_999)));
    assert!(!trust.is_lost(at(2_000)));
    for flow in &jobs[3..] {
        trust.failed(*flow, at(2_000));
    }
    assert!(trust.is_lost(at(5_999)));
    assert!(!trust.is_lost(at(6_000)));
}
