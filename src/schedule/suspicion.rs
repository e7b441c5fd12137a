//! Asks a worker whose clock is behind whether it has restarted.

use super::{Event, Scheduler};
use crate::fleet::{StartAnswer, StartReply, Suspicion, WorkerKey, WorkerReport};
use crate::moment::Moment;
use crate::workflow::{TaskKey, TaskName};

/// The sign of a restart that a worker's clock gives.
const CLOCK_BEHIND: &str = "its clock was reset";

impl Scheduler {
    /// Processes the worker's clock in the answer to a start order that was sent at `sent`. A
    /// reading that is too low is a sign that the worker has restarted; it may have accepted the
    /// order, whose lease ends far ahead on its new clock. Two clocks prove nothing: the runs count
    /// as lost only once the worker reports under a new incarnation, or the registry shows one.
    pub fn check_clock(
        &mut self,
        worker: WorkerKey,
        task: TaskKey,
        answer: StartAnswer,
        sent: Moment,
        now: Moment,
    ) {
        self.record_start_answer(worker, task, answer, sent);
        let Some(known) = self.workers.get(worker) else {
            return;
        };
        let reading = answer.clock.zip(known.clock);
        if !reading.is_some_and(|(new, old)| old.is_behind(new, sent)) {
            return;
        }
        let current = known.tasks.values().any(|key| *key == task);
        let accepted = current && answer.reply == StartReply::Running;
        self.suspect_restart(worker, accepted.then_some(task), now);
    }

    /// Keeps new starts away from a worker that may have restarted, until it reports. `begun` is
    /// the task whose start order it has accepted, if it has.
    fn suspect_restart(&mut self, key: WorkerKey, begun: Option<TaskKey>, now: Moment) {
        let begun: Vec<TaskKey> = begun.into_iter().collect();
        let in_progress = self.newest_order(key, &begun, now);
        let open = self.open_tasks(key, now);
        let worker = &self.workers[key];
        let leases = worker
            .leases
            .restarted(in_progress, now, self.longest_lease);
        let names = |tasks: &[TaskKey]| -> Vec<TaskName> {
            let names = tasks.iter().map(|task| self.ledger.tasks[*task].name);
            names.collect()
        };
        let (begun, open) = (names(&begun), names(&open));
        let worker = &mut self.workers[key];
        let incarnation = worker.registration.incarnation;
        let suspicion = worker.suspicion.get_or_insert_with(|| Suspicion::new(now));
        suspicion.since = now;
        suspicion.leases_end = suspicion.leases_end.max(leases.overlong());
        suspicion.open.extend(begun.iter().chain(&open).copied());
        suspicion.begun.extend(begun);
        worker.in_roster = false;
        let event = Event::RestartSuspected {
            worker: worker.registration.id.clone(),
            incarnation,
            evidence: CLOCK_BEHIND,
            open: suspicion.open.len(),
            leases_left: (suspicion.leases_end - now).as_millis() as u64,
        };
        // A successor must know of the leases, should the worker have restarted.
        self.writes.mark_roster_changed();
        self.workers[key].roster_version = self.writes.roster_version();
        self.record(event);
    }

    fn record_start_answer(
        &mut self,
        worker: WorkerKey,
        task: TaskKey,
        answer: StartAnswer,
        sent: Moment,
    ) {
        let known = self.workers.get(worker);
        let Some((known, task)) = known.zip(self.ledger.tasks.get(task)) else {
            return;
        };
        let event = Event::StartAnswered {
            task: task.name.to_string(),
            run: task.run,
            worker: known.registration.id.clone(),
            incarnation: known.registration.incarnation,
            reply: answer.reply.name(),
            lease_end: task.lease_end,
            least_clock: known.clock.map(|clock| clock.latest_lease_end(sent)),
            clock: answer.clock,
        };
        self.record(event);
    }

    /// Ends the suspicion that a worker has restarted if it has answered a poll sent after the
    /// sign. A worker that names no incarnation has restarted if its clock is behind there, too.
    pub(super) fn check_suspicion(
        &mut self,
        key: WorkerKey,
        sent: Moment,
        report: &WorkerReport,
        now: Moment,
    ) {
        let worker = &mut self.workers[key];
        let answered = |suspicion: &mut Suspicion| sent >= suspicion.since;
        let Some(suspicion) = worker.suspicion.take_if(answered) else {
            return;
        };
        let known = worker.registration.incarnation;
        let behind = worker
            .clock
            .is_some_and(|clock| clock.is_behind(report.clock, sent));
        if report.incarnation == 0 && behind {
            let restart = self.reported_restart(key, known, report, CLOCK_BEHIND);
            return self.process_restart(key, restart, now);
        }
        self.writes.mark_roster_changed();
        self.record(Event::RestartDisproved {
            worker: self.worker_name(key),
            incarnation: known,
            after: (now - suspicion.since).as_millis() as u64,
        });
    }
}
