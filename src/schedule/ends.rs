//! What a look at a worker says about the runs there.

use std::collections::HashSet;
use std::time::Duration;

use super::{Note, Order, Scheduler};
use crate::fleet::{
    Availability, Clock, EndedRun, LiveRun, RunOutcome, StopOrder, WorkerKey, WorkerReport,
};
use crate::moment::Moment;
use crate::workflow::{JobTransition, Stage, Task, TaskKey, TaskName, WorkflowKey};

/// The most ends that a worker lists at once; a full list may not be complete.
const FULL_LIST: usize = 500;
/// How many of the workers that did not answer a line of the log names.
const NAMED: usize = 5;
/// How long after a stop the same run is stopped once more.
const STOP_AGAIN: Duration = Duration::from_millis(600);

impl Scheduler {
    /// Takes in what a worker reports; the look was sent at `sent`.
    pub fn on_look(&mut self, key: WorkerKey, sent: Moment, look: &WorkerReport, now: Moment) {
        if !self.workers.contains_key(key) {
            return;
        }
        self.check_life(key, look.incarnation, now);
        let worker = &mut self.workers[key];
        worker.clock = Some(Clock::new(look.clock, now));
        worker.last_contact = now;
        worker.responsive = true;
        let first = !std::mem::replace(&mut worker.synced, true);
        if !worker.in_roster {
            // The roster opens it with the next write.
            self.writes.enrol();
        }
        let complete = look.ended.len() < FULL_LIST;
        self.take_ends(key, &look.ended, now);
        self.take_running(key, &look.running, now);
        if complete {
            self.find_missing(key, sent, look, now);
        }
        if !self.check_worker(key, look, now) {
            self.adjust_pace(key, look, now);
        }
        let written = self.writes.written();
        self.workers[key].acknowledge(written);
        if first {
            self.former.remove(&key);
            self.closed.remove(&key);
            self.settle(now);
        }
    }

    /// Takes in that a worker has carried out a stop: the run ends, or will
    /// never begin.
    pub fn on_stop(&mut self, key: WorkerKey, order: &StopOrder, now: Moment) {
        let Some(task) = self.ledger.find_task(order.task) else {
            return;
        };
        let known = &mut self.ledger.tasks[task];
        if known.stage == Stage::Stopping(key) && known.run == order.run && !known.confirmed {
            known.confirmed = true;
            known.since = now;
        }
    }

    /// Whether a stop still has to be carried out.
    pub fn wants_stop(&self, key: WorkerKey, order: &StopOrder) -> bool {
        let Some(worker) = self.workers.get(key) else {
            return false;
        };
        let stopping = |task: TaskKey| {
            let known = &self.ledger.tasks[task];
            known.stage == Stage::Stopping(key) && known.run == order.run
        };
        let ours = self.ledger.find_task(order.task).is_some_and(stopping);
        ours || worker.unknown_runs.contains_key(&(order.task, order.run))
    }

    /// Whether a worker lists ends that it may not forget yet.
    pub fn has_listed_ends(&self, key: WorkerKey) -> bool {
        let worker = self.workers.get(key);
        worker.is_some_and(|worker| !worker.pending_ends.is_empty())
    }

    /// Takes in that a look failed. `refused` says that nothing listens there:
    /// a worker that was leaving and runs nothing has left. A cut may look the
    /// same, so its runs are given up by their leases only.
    pub fn on_look_failed(&mut self, key: WorkerKey, refused: bool) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let gone = refused && worker.synced && !worker.listed;
        let leaving = worker.entry.availability == Availability::Draining;
        if gone && leaving && worker.tasks.is_empty() {
            self.remove_worker(key, "left");
        }
    }

    /// Gives up the runs of workers whose leases have all ended.
    pub(super) fn drop_lapsed(&mut self, now: Moment) {
        let lapsed = self.workers.iter().filter(|(_, worker)| {
            let silent = now > worker.last_contact + crate::fleet::RUN_LEASE;
            worker.synced && silent && worker.lease_deadline < self.confirmed
        });
        let keys: Vec<WorkerKey> = lapsed.map(|(key, _)| key).collect();
        for key in keys {
            if !self.workers[key].tasks.is_empty() {
                self.lose_all(key, "its lease has ended on a silent worker", now);
            }
            self.workers[key].unknown_runs.clear();
            if !self.workers[key].listed {
                self.remove_worker(key, "lost");
            }
        }
    }

    /// Lets tasks of a former owner start again once no run of them can exist.
    pub(super) fn settle(&mut self, now: Moment) {
        if !self.unsettled {
            return;
        }
        let answered = self.former.is_empty() && self.roster_read();
        let lapsed = self
            .term
            .settles
            .is_some_and(|settles| self.confirmed >= settles);
        if self.settling && !answered && !lapsed {
            return;
        }
        let silent = self.former.iter().take(NAMED);
        let silent = silent.map(|key| self.worker_name(*key)).collect();
        if lapsed {
            self.closed.clear();
            self.forget_former();
        }
        self.settling = false;
        self.unsettled = !self.closed.is_empty();
        let kept: HashSet<TaskName> = self.closed.values().flatten().copied().collect();
        let free = |task: &Task| task.stage == Stage::Recovering && !kept.contains(&task.name);
        let unsettled = self.ledger.tasks.iter().filter(|(_, task)| free(task));
        let keys: Vec<TaskKey> = unsettled.map(|(key, _)| key).collect();
        if keys.is_empty() && self.unsettled {
            return;
        }
        self.note(Note::Settled {
            tasks: keys.len(),
            kept: kept.len(),
            answered,
            silent,
        });
        let mut flows = HashSet::new();
        for key in keys {
            flows.insert(self.ledger.tasks[key].workflow);
            self.ledger.tasks[key].restart_gate = now;
            self.ledger.requeue(key, now);
        }
        for flow in flows {
            self.enqueue(flow, now);
        }
    }

    /// Takes in that the former owner has ended: all its leases end by `settles`.
    pub fn settle_by(&mut self, settles: Moment) {
        if let Some(known) = &mut self.term.settles {
            *known = settles.min(*known);
        }
    }

    /// Removes workers that only the former owner knew and that never answered.
    fn forget_former(&mut self) {
        self.former.clear();
        let unknown = self
            .workers
            .iter()
            .filter(|(_, worker)| !worker.listed && !worker.synced);
        let keys: Vec<WorkerKey> = unknown.map(|(key, _)| key).collect();
        for key in keys {
            self.remove_worker(key, "never answered");
        }
    }

    pub(super) fn mistrust(&mut self, key: WorkerKey, flow: WorkflowKey, now: Moment) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if worker.failures.record_failure(flow, now) {
            self.note_worker(key, "its results are not trusted for a time");
        }
    }

    pub(super) fn lose_all(&mut self, key: WorkerKey, reason: &'static str, now: Moment) {
        let tasks: Vec<TaskKey> = self.workers[key].tasks.values().copied().collect();
        for task in tasks {
            self.ledger.tasks[task].restart_gate = now;
            self.lose(task, reason, now);
        }
    }

    fn check_life(&mut self, key: WorkerKey, born: u64, now: Moment) {
        let worker = &self.workers[key];
        if worker.entry.incarnation == born || born == 0 {
            return;
        }
        let known = worker.synced;
        if known {
            self.lose_all(key, "the worker started anew", now);
        }
        self.workers[key].entry.incarnation = born;
        self.workers[key].reset(now);
        self.closed.remove(&key);
        self.note_worker(key, "started anew");
    }

    fn take_ends(&mut self, key: WorkerKey, ends: &[EndedRun], now: Moment) {
        for end in ends {
            if end.number <= self.workers[key].last_end {
                continue;
            }
            self.workers[key].last_end = end.number;
            self.workers[key].unknown_runs.remove(&(end.task, end.run));
            let kept = self.take_end(key, end, now);
            let write = if kept { self.writes.next() } else { 0 };
            self.workers[key]
                .pending_ends
                .push_back((end.number, write));
        }
    }

    /// Takes in one end. Returns whether the store must know of it before the
    /// worker may forget it.
    fn take_end(&mut self, key: WorkerKey, end: &EndedRun, now: Moment) -> bool {
        let Some(task) = self.ledger.find_task(end.task) else {
            return false;
        };
        let current = self.ledger.tasks[task].run == end.run;
        let stage = self.ledger.tasks[task].stage;
        let ours = current && stage.worker() == Some(key);
        let unsettled = stage == Stage::Recovering;
        let counts = matches!(end.outcome, RunOutcome::Done | RunOutcome::Failed);
        if !ours && !unsettled && !counts {
            return false;
        }
        self.note_end(key, task, end, now);
        self.settle_end(key, task, end, ours, now)
    }

    fn note_end(&mut self, key: WorkerKey, task: TaskKey, end: &EndedRun, now: Moment) {
        let since = self.ledger.tasks[task].since;
        let worker = self.worker_name(key);
        self.note(Note::RunEnded {
            task: end.task.to_string(),
            run: end.run,
            worker,
            ending: end.outcome,
            ran: (now - since).as_millis() as u64,
        });
    }

    /// Draws the consequences of an end. Only the end of the current run frees
    /// the task: a former owner may have started a later run elsewhere.
    fn settle_end(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        end: &EndedRun,
        ours: bool,
        now: Moment,
    ) -> bool {
        let flow = self.ledger.tasks[task].workflow;
        let lasting = self.ledger.workflows[flow].step(end.task).long_running;
        if ours {
            self.unassign(task);
            self.ledger.requeue(task, now);
        }
        if !end.checkpoint.is_empty() {
            self.ledger.tasks[task]
                .checkpoint
                .clone_from(&end.checkpoint);
        }
        let verdict = match end.outcome {
            RunOutcome::Done if !lasting => {
                self.workers[key].failures.record_success();
                self.stop_later_run(task, now);
                self.finish(task, now)
            }
            RunOutcome::Failed => {
                self.mistrust(key, flow, now);
                self.ledger.fail(task, end.run)
            }
            _ => JobTransition::Unchanged,
        };
        self.note_verdict(flow, verdict, now);
        self.forget_ended(flow, now);
        if !lasting && self.ledger.workflows.contains_key(flow) {
            self.writes.touch(flow);
        }
        !lasting
    }

    /// Stops the run of a task of which an earlier run has turned out done.
    fn stop_later_run(&mut self, task: TaskKey, now: Moment) {
        let Some(worker) = self.ledger.tasks[task].stage.worker() else {
            return;
        };
        let order = self.stop_order(task);
        self.unassign(task);
        if let Some(target) = self.workers.get_mut(worker) {
            target.unknown_runs.insert((order.task, order.run), now);
            self.order(worker, Order::Stop(order));
        }
    }

    /// Notes that a task is done; one member's end is that of its whole gang.
    fn finish(&mut self, task: TaskKey, now: Moment) -> JobTransition {
        if !self.is_gang(task) {
            return self.ledger.finish(task, now);
        }
        let mut verdict = JobTransition::Unchanged;
        for member in self.members(task) {
            self.keep_room(member, now);
            self.unassign(member);
            let ended = self.ledger.finish(member, now);
            verdict = if ended == JobTransition::Unchanged {
                verdict
            } else {
                ended
            };
        }
        verdict
    }

    /// Keeps a worker closed until it shows that a run there is gone.
    fn keep_room(&mut self, task: TaskKey, now: Moment) {
        let known = &self.ledger.tasks[task];
        let (run, worker) = ((known.name, known.run), known.stage.worker());
        if let Some(worker) = worker.and_then(|worker| self.workers.get_mut(worker)) {
            worker.unknown_runs.insert(run, now);
        }
    }

    fn take_running(&mut self, key: WorkerKey, running: &[LiveRun], now: Moment) {
        for run in running {
            match self.ledger.find_task(run.task) {
                Some(task) => self.take_run(key, task, run, now),
                None => self.stop_stranger(key, run, now),
            }
        }
        let live: HashSet<_> = running.iter().map(|run| (run.task, run.run)).collect();
        self.workers[key]
            .unknown_runs
            .retain(|run, _| live.contains(run));
    }

    fn take_run(&mut self, key: WorkerKey, task: TaskKey, run: &LiveRun, now: Moment) {
        let known = &self.ledger.tasks[task];
        let (stage, number, flow) = (known.stage, known.run, known.workflow);
        let ended = self.ledger.workflows[flow].state.is_final();
        match stage {
            Stage::Recovering => self.adopt(key, task, run, now),
            Stage::Starting(worker) if worker == key && number == run.run => {
                self.ledger.set_stage(task, Stage::Running(key), now);
                self.note_started(flow);
            }
            Stage::Running(worker) if worker == key && number == run.run => {}
            Stage::Stopping(worker) if worker == key && number == run.run => {
                self.stop_again(key, task, now);
                return;
            }
            _ => return self.stop_stranger(key, run, now),
        }
        let known = &mut self.ledger.tasks[task];
        if known.checkpoint != run.checkpoint && !run.checkpoint.is_empty() {
            known.checkpoint.clone_from(&run.checkpoint);
        }
        if ended && self.ledger.tasks[task].stage == Stage::Running(key) {
            self.stop(task, "the job has ended", now);
        }
    }

    fn adopt(&mut self, key: WorkerKey, task: TaskKey, run: &LiveRun, now: Moment) {
        self.ledger.tasks[task].run = run.run;
        self.ledger.set_stage(task, Stage::Running(key), now);
        self.count_in(task, key);
        let flow = self.ledger.tasks[task].workflow;
        self.note_started(flow);
        let worker = self.worker_name(key);
        self.note(Note::Adopted {
            task: run.task.to_string(),
            run: run.run,
            worker,
        });
    }

    fn stop_again(&mut self, key: WorkerKey, task: TaskKey, now: Moment) {
        if now - self.ledger.tasks[task].since < STOP_AGAIN {
            return;
        }
        self.ledger.tasks[task].since = now;
        let order = self.stop_order(task);
        self.order(key, Order::Stop(order));
    }

    /// Stops a run that this owner does not want.
    fn stop_stranger(&mut self, key: WorkerKey, run: &LiveRun, now: Moment) {
        let stopped = self.workers[key].unknown_runs.get(&(run.task, run.run));
        if stopped.is_some_and(|at| now - *at < STOP_AGAIN) {
            return;
        }
        self.workers[key]
            .unknown_runs
            .insert((run.task, run.run), now);
        let worker = self.worker_name(key);
        self.note(Note::Stopping {
            task: run.task.to_string(),
            run: run.run,
            worker,
            reason: "the run is not wanted",
        });
        let order = StopOrder {
            task: run.task,
            run: run.run,
            fence: self.term.fence,
        };
        self.order(key, Order::Stop(order));
    }

    /// Finds runs that were there before the look was sent and are not listed.
    fn find_missing(&mut self, key: WorkerKey, sent: Moment, look: &WorkerReport, now: Moment) {
        let live: HashSet<_> = look.running.iter().map(|run| (run.task, run.run)).collect();
        let tasks: Vec<TaskKey> = self.workers[key].tasks.values().copied().collect();
        for task in tasks {
            let known = &self.ledger.tasks[task];
            let confirmed = known.confirmed && known.since < sent;
            if confirmed && !live.contains(&(known.name, known.run)) {
                self.lose(task, "the worker does not list it", now);
            }
        }
    }
}
