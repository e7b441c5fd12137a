//! Raises the fencing tokens of the orders to workers that may have restarted.

use super::Scheduler;
use super::ends::is_complete;
use crate::fleet::{StopOrder, WorkerKey, WorkerReport};
use crate::moment::Moment;

impl Scheduler {
    /// Records that the store accepted a write, at this revision, that required this ownership.
    pub fn on_owned_write(&mut self, revision: u64) {
        self.owned_revision = self.owned_revision.max(revision);
    }

    /// Raises the fencing token of the orders to a worker that may have restarted, so that its
    /// answer to the next poll tells what late orders have begun.
    pub(super) fn raise_fence(&mut self, key: WorkerKey) {
        let newest = self.owned_revision;
        if self.workers[key].fences.raise(newest) {
            self.fence = self.fence.max(newest);
        }
    }

    /// Returns an order with the present fencing token of its worker.
    ///
    /// An order that is sent again may have been built under a lower one.
    pub fn with_fence(&self, key: WorkerKey, order: StopOrder) -> StopOrder {
        let fence = self.workers.get(key);
        let fence = fence.map_or(self.fence, |worker| worker.fences.current());
        StopOrder { fence, ..order }
    }

    /// Whether a worker that refuses this fencing token follows a newer owner, and not a later
    /// order of this one.
    pub fn is_superseded(&self, key: WorkerKey, fence: u64) -> bool {
        let worker = self.workers.get(key);
        fence >= worker.map_or(self.fence, |worker| worker.fences.current())
    }

    /// Processes an answer to a worker's newest poll. If the worker has restarted, and the poll's
    /// fencing token is above those of all orders with a lease, then no order to a former
    /// incarnation has an effect from now on. Returns whether this report is the first that shows
    /// so: what it does not list was not begun.
    pub(super) fn settle_orders(
        &mut self,
        key: WorkerKey,
        report: &WorkerReport,
        now: Moment,
    ) -> bool {
        let longest = self.longest_lease;
        let worker = &mut self.workers[key];
        let settled = is_complete(report) && worker.fences.is_settled() && worker.fences.settle();
        if settled {
            worker.leases.end_former_orders(now, longest);
            self.writes.mark_roster_changed();
        }
        settled
    }
}
