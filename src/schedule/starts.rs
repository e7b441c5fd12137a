//! Orders as they are sent, and what workers answer to them.

use std::time::Duration;

use super::Scheduler;
use crate::fleet::{PollOrder, RUN_LEASE, StartOrder, StartReply, WorkerKey};
use crate::moment::Moment;
use crate::workflow::{Stage, TaskKey};

/// How long a worker waits for an end before it answers a look.
const LOOK_WAIT: Duration = Duration::from_millis(800);
/// A worker that was silent for longer than this keeps its leases as they are.
const RENEWS: Duration = Duration::from_millis(1500);

impl Scheduler {
    /// The order to send for a start, unless it is not wanted any more.
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
        let flow = &self.ledger.workflows[task.workflow];
        let target = self.workers.get_mut(worker)?;
        let clock = target.clock?;
        // A repeated start keeps its lease, so that a silent worker lapses.
        let until = task
            .lease_end
            .unwrap_or_else(|| clock.lease_end(now, RUN_LEASE));
        target.lease_deadline = target.lease_deadline.max(clock.latest_expiry(until));
        self.ledger.tasks[key].lease_end = Some(until);
        let task = &self.ledger.tasks[key];
        Some(StartOrder {
            task: task.name,
            run,
            payload: flow.spec.payload.clone(),
            lease_end: until,
            fence: self.term.fence,
            checkpoint: task.checkpoint.clone(),
        })
    }

    /// Takes in the answer to a start.
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
            // The next look says whether a superseded run ended, and how.
            StartReply::Running | StartReply::Superseded => {
                self.ledger.set_stage(key, Stage::Running(worker), now);
                let flow = self.ledger.tasks[key].workflow;
                self.note_started(flow);
            }
            StartReply::LeaseExpired(_) | StartReply::NoCapacity => {
                self.lose(key, "the worker did not start it", now);
            }
        }
    }

    /// Takes in that a worker refused to start a run and did nothing.
    pub fn on_start_refused(&mut self, worker: WorkerKey, key: TaskKey, run: u64, now: Moment) {
        let Some(task) = self.ledger.tasks.get(key) else {
            return;
        };
        if task.stage != Stage::Starting(worker) || task.run != run {
            return;
        }
        let flow = task.workflow;
        self.lose(key, "the worker refused it", now);
        self.mistrust(worker, flow, now);
    }

    /// Takes in that a start never reached its worker.
    pub fn on_start_unreached(&mut self, worker: WorkerKey, key: TaskKey, run: u64, now: Moment) {
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

    /// The next look at a worker. Without `renew` the leases stay as they are.
    pub fn look_order(&mut self, key: WorkerKey, renew: bool, now: Moment) -> Option<PollOrder> {
        let worker = self.workers.get_mut(key)?;
        let renews = renew && worker.synced && now - worker.last_contact < RENEWS;
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
            wait: if renews { LOOK_WAIT } else { Duration::ZERO },
        })
    }
}
