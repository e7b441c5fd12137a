//! Marks in the store for jobs that were cancelled before they were accepted.
//!
//! A submission without an answer may take effect seconds later. The mark stands under the key of
//! the job's record, which a submission requires to be absent, and goes by itself with its lease.

use std::time::Duration;

use crate::kind::CANCELLED_RETRY_DELAY;
use crate::moment::Moment;

/// The time to live of the leases of marks.
pub(super) const LEASE_TTL: Duration = CANCELLED_RETRY_DELAY;
/// How long a lease is used for new marks, so that one call to the store serves many. Each mark
/// stands for the rest of the lease at least: much longer than a call to the store can be late.
const LEASE_REUSE: Duration = Duration::from_secs(60);
/// The interval between two marks of this host in the long run: clients that cancel random ids
/// leave most of the store's writes, and little of its memory, to others.
const MARK_INTERVAL: Duration = Duration::from_millis(100);
/// The number of marks that this host may write at once.
const MARK_BURST: u32 = 50;

/// The lease and the rate of the marks that this host writes.
#[derive(Debug, Default)]
pub(super) struct Withdrawals {
    /// The lease for new marks, and when it was requested.
    lease: Option<(u64, Moment)>,
    /// When all marks so far would have been written at the limit of the rate.
    written: Moment,
}

impl Withdrawals {
    /// Whether this host may write a mark now. Counts the mark if it may.
    pub fn admit(&mut self, now: Moment) -> bool {
        let written = self.written.max(now);
        let admitted = written - now < MARK_INTERVAL * MARK_BURST;
        if admitted {
            self.written = written + MARK_INTERVAL;
        }
        admitted
    }

    /// The lease for a mark that is written now; `None` if a new one is needed.
    pub fn lease(&self, now: Moment) -> Option<u64> {
        let (lease, requested) = self.lease?;
        (now - requested < LEASE_REUSE).then_some(lease)
    }

    /// Records a lease that was requested at that moment.
    pub const fn set_lease(&mut self, lease: u64, requested: Moment) {
        self.lease = Some((lease, requested));
    }

    /// Records that the store knows the lease no more.
    pub const fn forget_lease(&mut self) {
        self.lease = None;
    }
}
