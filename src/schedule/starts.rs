//! Builds start and poll orders, and processes the workers' replies to starts.

use std::time::Duration;

use super::Scheduler;
use crate::fleet::{PollOrder, RUN_LEASE, StartOrder, StartReply, WorkerKey};
use crate::moment::Moment;
use crate::workflow::{Stage, TaskKey};

/// How long a worker may wait for a run to end before it answers a poll.
const POLL_WAIT: Duration = Duration::from_millis(800);
/// The longest silence after which the leases on a worker are still renewed.
const MAX_RENEWAL_SILENCE: Duration = Duration::from_millis(1500);

impl Scheduler {
    /// Builds the start order to send, unless the run is obsolete.
    pub fn start_order(
        &mut self,
        worker: WorkerKey,
        key: TaskKey,
        run: u64,
        now: Moment,
    ) -> Option<StartOrder> {
        let task = self.ledger.tasks.get(key)?;
        if task.stage != Stage::Starting(worker) || task.run != run {
            return None;
        }
        let first = task.lease_end.is_none();
        if first && !self.holds_its_tasks(worker) {
            self.lose(key, "the worker's capacity has shrunk", now);
            return None;
        }
        let task = &self.ledger.tasks[key];
        let workflow = &self.ledger.workflows[task.workflow];
        let target = self.workers.get_mut(worker)?;
        let clock = target.clock?;
        // A repeated start keeps its lease, so that the lease of a silent worker ends.
        let until = task
            .lease_end
            .unwrap_or_else(|| clock.lease_end(now, RUN_LEASE));
        target.lease_deadline = target.lease_deadline.max(clock.latest_expiry(until));
        self.ledger.tasks[key].lease_end = Some(until);
        let task = &self.ledger.tasks[key];
        Some(StartOrder {
            task: task.name,
            run,
            payload: workflow.spec.payload.clone(),
            lease_end: until,
            fence: self.term.fence,
            checkpoint: task.checkpoint.clone(),
        })
    }

    /// Whether a worker's capacity, which may have shrunk, holds all its tasks.
    fn holds_its_tasks(&self, worker: WorkerKey) -> bool {
        let worker = self.workers.get(worker);
        worker.is_none_or(|worker| worker.registration.capacity.holds(worker.used))
    }

    /// Processes the reply to a start order.
    pub fn on_start(
        &mut self,
        worker: WorkerKey,
        key: TaskKey,
        run: u64,
        reply: StartReply,
        now: Moment,
    ) {
        let Some(task) = self.ledger.tasks.get(key) else {
            return;
        };
        if task.stage != Stage::Starting(worker) || task.run != run {
            return;
        }
        match reply {
            // The next report says whether a superseded run ended, and how.
            StartReply::Running | StartReply::Superseded => {
                self.ledger.set_stage(key, Stage::Running(worker), now);
                self.ledger.tasks[key].begun = reply == StartReply::Running;
                let workflow = self.ledger.tasks[key].workflow;
                self.mark_started(workflow);
            }
            StartReply::LeaseExpired(_) | StartReply::NoCapacity => {
                self.lose(key, "the worker did not start it", now);
            }
        }
    }

    /// Processes a copy of a start order that got no answer: the worker may still carry
    /// it out.
    pub fn on_start_unanswered(&mut self, worker: WorkerKey, key: TaskKey, run: u64) {
        let Some(task) = self.ledger.tasks.get_mut(key) else {
            return;
        };
        if task.stage == Stage::Starting(worker) && task.run == run {
            task.unanswered_copies += 1;
        }
    }

    /// Processes a worker's refusal to start a run; the worker did nothing.
    pub fn on_start_refused(&mut self, worker: WorkerKey, key: TaskKey, run: u64, now: Moment) {
        let Some(task) = self.ledger.tasks.get(key) else {
            return;
        };
        if task.stage != Stage::Starting(worker) || task.run != run {
            return;
        }
        let workflow = task.workflow;
        self.lose(key, "the worker refused it", now);
        self.record_failure(worker, workflow, now);
    }

    /// Processes a start order that never reached its worker.
    pub fn on_start_undelivered(&mut self, worker: WorkerKey, key: TaskKey, run: u64, now: Moment) {
        if let Some(target) = self.workers.get_mut(worker) {
            target.last_contact = Moment::default();
        }
        let Some(task) = self.ledger.tasks.get(key) else {
            return;
        };
        if task.stage == Stage::Starting(worker) && task.run == run {
            self.lose(key, "the worker was not reached", now);
        }
    }

    /// Builds the next poll of a worker. Without `renew` the leases are not
    /// renewed.
    pub fn poll_order(&mut self, key: WorkerKey, renew: bool, now: Moment) -> Option<PollOrder> {
        let worker = self.workers.get_mut(key)?;
        let renews = renew && worker.synced && now - worker.last_contact < MAX_RENEWAL_SILENCE;
        let until = match worker.clock {
            Some(clock) if renews => {
                let until = clock.lease_end(now, RUN_LEASE);
                worker.lease_deadline = worker.lease_deadline.max(clock.latest_expiry(until));
                Some(until)
            }
            _ => None,
        };
        Some(PollOrder {
            lease_end: until,
            fence: self.term.fence,
            acknowledged: worker.acknowledged,
            wait: if renews { POLL_WAIT } else { Duration::ZERO },
        })
    }
}
