//! Builds start and poll orders, and processes the workers' replies to starts.

use std::time::Duration;

use super::Scheduler;
use crate::fleet::{PollOrder, StartOrder, StartReply, StopOrder, WorkerKey};
use crate::moment::Moment;
use crate::workflow::{Stage, TaskKey, WorkflowKey};

/// How long a worker may wait for a run to end before it answers a poll.
const POLL_WAIT: Duration = Duration::from_millis(800);
/// The same while the store accepts no heartbeats or other writes, so that leases are renewed, and
/// fencing tokens raised, soon once it does.
const SHORT_POLL_WAIT: Duration = Duration::from_millis(200);
/// The longest silence after which the leases on a worker are still renewed.
const MAX_RENEWAL_SILENCE: Duration = Duration::from_millis(1500);
/// The reason for taking back a start on a worker of an evacuated zone.
pub const ZONE_EVACUATED: &str = "its zone is evacuated";

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
        if self.released {
            return None;
        }
        let first = task.lease_end.is_none();
        if first && let Some(reason) = self.leaving_reason(worker) {
            self.lose(key, reason, now);
            return None;
        }
        if first && let Some(reason) = self.silence_reason(worker) {
            self.lose(key, reason, now);
            return None;
        }
        if first && !self.holds_its_tasks(worker) {
            self.lose(key, "the worker's capacity has shrunk", now);
            return None;
        }
        let task = &self.ledger.tasks[key];
        let workflow = &self.ledger.workflows[task.workflow];
        let clock = self.workers.get(worker)?.clock?;
        // A repeated start keeps its lease, so that the lease of a silent worker ends.
        let until = task.lease_end.unwrap_or_else(|| self.lease_end(clock, now));
        let target = self.workers.get_mut(worker)?;
        target.leases.on_order(clock.latest_expiry(until));
        target.fences.on_lease();
        let fence = target.fences.current();
        self.ledger.tasks[key].lease_end = Some(until);
        self.ledger.tasks[key].last_copy = now;
        let task = &self.ledger.tasks[key];
        Some(StartOrder {
            task: task.name,
            run,
            payload: workflow.spec.payload.clone(),
            lease_end: until,
            fence,
            checkpoint: task.checkpoint.clone(),
            incarnation: self.workers[worker].registration.incarnation,
        })
    }

    /// Whether a start order must not be repeated before the worker answers a poll again. The
    /// worker may have restarted, and would begin a run that this owner is about to count as
    /// lost.
    pub fn holds_repeat(&self, worker: WorkerKey, key: TaskKey, run: u64) -> bool {
        let starting = self.starting_workflow(worker, key, run).is_some();
        let is_repeat = starting && self.ledger.tasks[key].lease_end.is_some();
        let Some(known) = self.workers.get(worker).filter(|_| is_repeat) else {
            return false;
        };
        known.poll_failed
            || known.suspicion.is_some()
            || known.last_contact < self.ledger.tasks[key].last_copy
    }

    /// Takes back a run whose start order is to be repeated to a worker that is leaving or in
    /// an evacuated zone. Returns the stop order to send.
    pub fn withdraw_repeat(
        &mut self,
        worker: WorkerKey,
        key: TaskKey,
        run: u64,
        now: Moment,
    ) -> Option<StopOrder> {
        self.starting_workflow(worker, key, run)?;
        let is_repeat = self.ledger.tasks[key].lease_end.is_some();
        let reason = self.leaving_reason(worker).filter(|_| is_repeat)?;
        self.withdraw(key, reason, now)
    }

    /// Why a worker gets no first copy of a start order before it reports again; `None` if it may
    /// get them.
    fn silence_reason(&self, worker: WorkerKey) -> Option<&'static str> {
        match self.workers.get(worker)? {
            known if known.poll_failed => Some("the worker does not answer"),
            known if known.suspicion.is_some() => Some("the worker may have restarted"),
            _ => None,
        }
    }

    /// Why a worker gets no start order, not even a repeated one; `None` if it may get them.
    fn leaving_reason(&self, worker: WorkerKey) -> Option<&'static str> {
        match self.workers.get(worker) {
            Some(worker) if !worker.is_leaving() => None,
            Some(worker) if worker.evacuated => Some(ZONE_EVACUATED),
            _ => Some("the worker is leaving"),
        }
    }

    /// Whether a worker's capacity, which may have shrunk, holds all its tasks.
    fn holds_its_tasks(&self, worker: WorkerKey) -> bool {
        let worker = self.workers.get(worker);
        worker.is_none_or(|worker| worker.registration.capacity.holds(worker.used))
    }

    /// Processes the reply to a copy of a start order. Returns the stop order to send
    /// next, if the run is withdrawn.
    pub fn on_start(
        &mut self,
        worker: WorkerKey,
        key: TaskKey,
        run: u64,
        reply: StartReply,
        now: Moment,
    ) -> Option<StopOrder> {
        let workflow = self.starting_workflow(worker, key, run)?;
        match reply {
            // The next report says whether a superseded run ended, and how.
            StartReply::Running | StartReply::Superseded => {
                self.ledger.set_stage(key, Stage::Running(worker), now);
                self.ledger.tasks[key].begun = reply == StartReply::Running;
                self.mark_started(workflow);
                None
            }
            StartReply::LeaseExpired(_) => {
                self.end_copies(key, "the worker did not start it", now);
                None
            }
            StartReply::NoCapacity => self.withdraw(key, "the worker did not start it", now),
        }
    }

    /// Processes a copy of a start order that got no answer: the worker may still carry
    /// it out. Returns the stop order to send next, if the run is withdrawn.
    pub fn on_start_unanswered(
        &mut self,
        worker: WorkerKey,
        key: TaskKey,
        run: u64,
        now: Moment,
    ) -> Option<StopOrder> {
        self.record_open_copy(worker, key, run, now);
        self.starting_workflow(worker, key, run)?;
        let reason = self.leaving_reason(worker)?;
        self.withdraw(key, reason, now)
    }

    /// Records a copy of a start order without an answer, also if its run was stopped meanwhile.
    fn record_open_copy(&mut self, worker: WorkerKey, key: TaskKey, run: u64, now: Moment) {
        let Some(task) = self.ledger.tasks.get_mut(key) else {
            return;
        };
        let current = task.run == run;
        let sent = if current { task.last_copy } else { now };
        task.unanswered_copies += u32::from(current);
        let name = task.name;
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.on_unanswered_copy((name, run), sent);
        }
    }

    /// Processes a worker's refusal of a copy of a start order; this copy had no effect.
    /// Returns the stop order to send next, if the run is withdrawn.
    pub fn on_start_refused(
        &mut self,
        worker: WorkerKey,
        key: TaskKey,
        run: u64,
        now: Moment,
    ) -> Option<StopOrder> {
        let workflow = self.starting_workflow(worker, key, run)?;
        let stop = self.withdraw(key, "the worker refused it", now);
        self.record_failure(worker, workflow, now);
        stop
    }

    /// Processes a start order to which another worker answered: the worker has ended,
    /// and all copies with it.
    pub fn on_start_misdirected(&mut self, worker: WorkerKey, key: TaskKey, run: u64, now: Moment) {
        if let Some(workflow) = self.starting_workflow(worker, key, run) {
            // An earlier copy may have begun the run and crashed the worker, so the crash is
            // recorded before the run is lost.
            if self.ledger.tasks[key].unanswered_copies > 0 {
                self.on_replaced(worker, now);
            }
            self.lose(key, "another worker answers at its address", now);
            self.record_failure(worker, workflow, now);
        }
        self.on_replaced(worker, now);
    }

    /// Processes a copy of a start order that never reached its worker. Returns whether
    /// the task was released: no other copy is open.
    pub fn on_start_undelivered(
        &mut self,
        worker: WorkerKey,
        key: TaskKey,
        run: u64,
        now: Moment,
    ) -> bool {
        let starting = self.starting_workflow(worker, key, run).is_some();
        if starting && self.ledger.tasks[key].unanswered_copies > 0 {
            return false;
        }
        if let Some(target) = self.workers.get_mut(worker) {
            target.last_contact = Moment::default();
        }
        if starting {
            self.lose(key, "the worker was not reached", now);
        }
        true
    }

    /// Whether the start of a run is not settled.
    pub fn is_starting(&self, worker: WorkerKey, run: &StopOrder) -> bool {
        let task = self.ledger.find_task(run.task);
        task.is_some_and(|task| self.starting_workflow(worker, task, run.run).is_some())
    }

    /// The job of a task, if the worker was ordered to start this run of it and the order
    /// is not settled.
    fn starting_workflow(&self, worker: WorkerKey, key: TaskKey, run: u64) -> Option<WorkflowKey> {
        let task = self.ledger.tasks.get(key)?;
        let starting = task.stage == Stage::Starting(worker) && task.run == run;
        starting.then_some(task.workflow)
    }

    /// Takes back a run after a copy of its start order was rejected. While other copies
    /// are open, only a confirmed stop order keeps the worker from beginning the run.
    fn withdraw(&mut self, key: TaskKey, reason: &'static str, now: Moment) -> Option<StopOrder> {
        if self.ledger.tasks[key].unanswered_copies == 0 {
            self.lose(key, reason, now);
            return None;
        }
        self.begin_stop(key, reason, now)
    }

    /// Records that the worker refuses all further copies of a start order. An open copy
    /// may have begun the run before; the next report tells.
    fn end_copies(&mut self, key: TaskKey, reason: &'static str, now: Moment) {
        if self.ledger.tasks[key].unanswered_copies == 0 {
            return self.lose(key, reason, now);
        }
        let task = &mut self.ledger.tasks[key];
        task.confirmed = true;
        task.since = now;
    }

    /// Builds the next poll of a worker. Without `renew` the leases are not
    /// renewed. `None` if the worker was removed or the shard released.
    pub fn poll_order(&mut self, key: WorkerKey, renew: bool, now: Moment) -> Option<PollOrder> {
        if self.released {
            return None;
        }
        let settles = self.awaits_report(key);
        let worker = self.workers.get(key)?;
        if worker.poll_failed || worker.is_doubtful() {
            self.raise_fence(key);
        }
        let worker = self.workers.get(key)?;
        // The worker may have restarted since a poll that failed. Its next incarnation would take a
        // lease by the former clock for the longest one, so a report comes first.
        let renews = renew
            && worker.synced
            && !worker.poll_failed
            && !worker.is_doubtful()
            && now - worker.last_contact < MAX_RENEWAL_SILENCE;
        let wait = if worker.fences.is_open() && !worker.fences.is_above_leases() {
            // Only an answer to a higher token settles the doubt, and the store has to accept a
            // write for that.
            SHORT_POLL_WAIT
        } else if !renews || settles {
            Duration::ZERO
        } else if self.has_full_leases(now) {
            POLL_WAIT
        } else {
            SHORT_POLL_WAIT
        };
        let lease_end = worker.clock.map(|clock| self.lease_end(clock, now));
        let worker = self.workers.get_mut(key)?;
        let until = match worker.clock.zip(lease_end) {
            Some((clock, until)) if renews => {
                worker.leases.on_renewal(now, clock.latest_expiry(until));
                Some(until)
            }
            _ => None,
        };
        worker.fences.on_poll(until.is_some());
        Some(PollOrder {
            lease_end: until,
            fence: worker.fences.current(),
            // A restarted worker counts its ends anew, and would forget unseen ones.
            acknowledged: if worker.poll_failed || worker.suspicion.is_some() {
                0
            } else {
                worker.acknowledged
            },
            wait,
        })
    }

    /// Whether a run that may not have begun is withdrawn, and only the next report is
    /// missing.
    fn awaits_report(&self, key: WorkerKey) -> bool {
        let Some(worker) = self.workers.get(key) else {
            return false;
        };
        let mut tasks = worker.tasks.values().map(|task| &self.ledger.tasks[*task]);
        tasks.any(|task| task.stage == Stage::Stopping(key) && task.confirmed && !task.begun)
    }
}
