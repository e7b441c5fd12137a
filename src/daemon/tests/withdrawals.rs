//! Tests of the lease and the rate of marks for jobs that were cancelled before they were accepted.

use std::time::Duration;

use crate::daemon::withdrawals::{LEASE_TTL, Withdrawals};
use crate::moment::Moment;

/// Much longer than any submission that was seen to take effect late.
const RETENTION: Duration = Duration::from_secs(60);

fn at(millis: u64) -> Moment {
    Moment::from_micros(millis * 1000)
}

/// Guards against clients that cancel ids at random and use up the store's writes and memory.
#[test]
fn marks_are_limited_in_the_long_run() {
    let mut withdrawals = Withdrawals::default();
    let admitted = (0..60_000).filter(|millis| withdrawals.admit(at(*millis)));
    assert_eq!(admitted.count(), 600 + 50);
    assert!(withdrawals.admit(at(70_000)));
}

/// Guards against marks that end before a submission in doubt can no longer take effect.
#[test]
fn each_mark_is_kept_for_its_retention_time() {
    let mut withdrawals = Withdrawals::default();
    assert_eq!(withdrawals.lease(at(0)), None);
    withdrawals.set_lease(7, at(0));
    let step = Duration::from_millis(100);
    let mut now = at(0);
    while withdrawals.lease(now).is_some() {
        assert!(at(0) + LEASE_TTL - now >= RETENTION);
        now = now + step;
    }
    withdrawals.set_lease(8, now);
    assert_eq!(withdrawals.lease(now), Some(8));
    withdrawals.forget_lease();
    assert_eq!(withdrawals.lease(now), None);
}
