//! The calls of the fuzz test: how they reach the workers and the store, and what the workers
//! do.

use super::super::*;
use super::owner::OwnerProcess;
use super::step::WORKER_COUNT;
use super::store::Write;
use super::worker::{Answer, Process, Request, Run};
use super::world::{Action, OwnerAction, World};
use crate::fleet::StartAnswer;
use crate::fleet::{PollOrder, StartOrder};

/// The time after which an order without an answer fails, in milliseconds.
const ORDER_TIMEOUT: u64 = 250;
/// The time that the answer to a poll may take beside its wait.
const POLL_MARGIN: u64 = 500;
/// The time after which a call to the store without an answer fails.
const STORE_TIMEOUT: u64 = 500;
/// The limit on how late a write to the store takes effect.
const MAX_WRITE_LATENESS: u64 = 6_000;
/// The limit on the time that a stopped run takes to end.
const MAX_STOP_TIME: u64 = 80;
/// The silence after which the registry drops a worker.
const REGISTRY_SILENCE: u64 = 1_500;
/// The number of workers that are never lost for good.
const MIN_WORKERS: usize = 3;
/// The number of ends in a backlog.
const BACKLOG: u32 = 500;

/// The outcome of a call to a worker.
#[derive(Debug, Clone)]
pub(super) enum Outcome {
    Answer(Answer),
    NotConnected { refused: bool },
    Unanswered,
}

/// What becomes of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Answered,
    Refused,
    NotConnected,
    /// It does not arrive.
    Lost,
    /// It is carried out, and its answer is lost.
    AnswerLost,
    /// It is carried out late, without an answer.
    Late(u64),
}

/// A call that an owner has sent.
#[derive(Debug)]
pub(super) struct SentCall {
    pub key: WorkerKey,
    pub at: u64,
    pub fence: u64,
    pub order: Option<Order>,
}

/// A call on its way to a worker.
#[derive(Debug, Clone)]
pub(super) struct Call {
    pub id: u64,
    pub owner: usize,
    pub slot: usize,
    pub worker: String,
    pub request: Request,
    answered: bool,
    /// The incarnation of the worker when the call was sent; 0 if it was down.
    incarnation: u64,
}

impl World {
    pub(super) fn call(
        &mut self,
        owner: usize,
        key: WorkerKey,
        slot: usize,
        worker: String,
        request: Request,
        order: Option<Order>,
    ) {
        let id = self.next_id();
        let at = self.now;
        let fence = request.fence();
        let sent = SentCall {
            key,
            at,
            fence,
            order,
        };
        self.sent.insert(id, sent);
        let limit = match &request {
            Request::Poll(order) => order.wait.as_millis() as u64 + POLL_MARGIN,
            Request::Start(_) | Request::Stop(_) => ORDER_TIMEOUT,
        };
        let fate = self.fate(self.owners[owner].host, slot);
        let latency = 1 + self.rng.below(8);
        let process = self.slots[slot].process.as_ref();
        let incarnation = process.map_or(0, |process| process.incarnation);
        let mut call = Call {
            id,
            owner,
            slot,
            worker,
            request,
            answered: true,
            incarnation,
        };
        match fate {
            Fate::Answered => self.after(latency, Action::Arrive(call)),
            Fate::Refused => self.answer(&call, Outcome::Answer(Answer::Refused)),
            Fate::NotConnected => {
                let outcome = Outcome::NotConnected { refused: false };
                self.answer(&call, outcome);
            }
            Fate::Lost => {}
            Fate::AnswerLost | Fate::Late(_) => {
                call.answered = false;
                let late = if let Fate::Late(late) = fate { late } else { 0 };
                self.after(latency + late, Action::Arrive(call));
            }
        }
        let timeout = OwnerAction::Outcome(id, Outcome::Unanswered);
        self.after(limit, Action::Owner(owner, timeout));
    }

    fn fate(&mut self, host: usize, slot: usize) -> Fate {
        let link = &self.links[host][slot];
        let now = self.now;
        if link.requests > now {
            return if self.rng.below(2) == 0 {
                Fate::NotConnected
            } else {
                Fate::Lost
            };
        }
        if link.answers > now {
            return Fate::AnswerLost;
        }
        if !self.call_faults.strikes(now, &mut self.rng) {
            return Fate::Answered;
        }
        match self.rng.below(5) {
            0 => Fate::Refused,
            1 => Fate::Lost,
            2 => Fate::AnswerLost,
            _ => Fate::Late(ORDER_TIMEOUT + self.rng.below(self.max_lateness)),
        }
    }

    fn answer(&mut self, call: &Call, outcome: Outcome) {
        if !call.answered || self.links[self.owners[call.owner].host][call.slot].answers > self.now
        {
            return;
        }
        let latency = 1 + self.rng.below(8);
        let action = OwnerAction::Outcome(call.id, outcome);
        self.after(latency, Action::Owner(call.owner, action));
    }

    pub(super) fn arrive(&mut self, call: Call) {
        let Some(process) = &mut self.slots[call.slot].process else {
            if self.rng.below(3) > 0 {
                self.answer(&call, Outcome::NotConnected { refused: true });
            }
            return;
        };
        if !call.answered && call.incarnation != process.incarnation && !self.late_after_restart {
            return;
        }
        if process.id != call.worker {
            return self.answer(&call, Outcome::Answer(Answer::Replaced));
        }
        if !process.follows(&call.request) {
            return self.answer(&call, Outcome::Answer(Answer::Fenced));
        }
        let answer = match call.request.clone() {
            Request::Start(order) => {
                let clock = Some(process.clock(self.now));
                let reply = self.begin(call.slot, &order);
                Answer::Start(StartAnswer { reply, clock })
            }
            Request::Stop(order) => {
                process.refuse(order.task, order.run);
                if process.runs.contains_key(&(order.task, order.run)) {
                    let incarnation = process.incarnation;
                    let delay = self.rng.below(MAX_STOP_TIME);
                    let run = (order.task, order.run);
                    let outcome = RunOutcome::Stopped;
                    let action = Action::RunEnds(call.slot, incarnation, run, outcome);
                    self.after(delay, action);
                }
                Answer::Stop
            }
            Request::Poll(order) => return self.on_poll(call, order),
        };
        self.watch_lease(call.slot);
        self.trace(|| format!("w{}: {:?} -> {answer:?}", call.slot, call.request));
        self.answer(&call, Outcome::Answer(answer));
    }

    fn begin(&mut self, slot: usize, order: &StartOrder) -> StartReply {
        let (now, guards) = (self.now, self.guards);
        let step = self.oracle.step(order.task).clone();
        let Some(process) = &mut self.slots[slot].process else {
            return StartReply::NoCapacity;
        };
        if let Some(reply) = process.check_start(order, step.need, guards, now) {
            return reply;
        }
        let takes = (!step.long_running).then_some(step.estimate.as_millis() as u64);
        let run = Run {
            begun: now,
            takes,
            need: step.need,
        };
        process.runs.insert((order.task, order.run), run);
        let full = !registration("w").capacity.holds(process.used());
        assert!(
            !full,
            "LIMIT: {} run {} on w{slot} at {now}",
            order.task, order.run
        );
        let incarnation = process.incarnation;
        self.oracle.on_start(order.task, order.run, slot, now);
        if let Some(takes) = takes {
            let outcome = self.outcome(order.task);
            let run = (order.task, order.run);
            self.after(takes, Action::RunEnds(slot, incarnation, run, outcome));
        }
        StartReply::Running
    }

    /// How the next run of a task ends: images name the number of runs that fail.
    fn outcome(&self, task: TaskName) -> RunOutcome {
        let failing: usize = self.oracle.step(task).image.parse().unwrap_or(0);
        if self.oracle.failures(task) < failing {
            RunOutcome::Failed
        } else {
            RunOutcome::Done
        }
    }

    fn on_poll(&mut self, call: Call, order: PollOrder) {
        let (now, slot) = (self.now, call.slot);
        let Some(process) = &mut self.slots[slot].process else {
            return;
        };
        let forgotten = process.apply_poll(&order, now);
        let wait = order.wait.as_millis() as u64;
        let waits = wait > 0 && process.ends.is_empty();
        let (id, incarnation) = (call.id, process.incarnation);
        if waits {
            process.waiting.push(id);
        }
        for end in &forgotten {
            self.oracle.on_acknowledged(end);
        }
        self.watch_lease(slot);
        if waits {
            self.polls.insert(id, call);
            self.after(wait, Action::PollWaited(slot, incarnation, id));
        } else {
            self.report(&call);
        }
    }

    fn report(&mut self, call: &Call) {
        if let Some(process) = &self.slots[call.slot].process {
            let report = process.report(self.now);
            self.answer(call, Outcome::Answer(Answer::Report(report)));
        }
    }

    /// Answers a poll that has waited, if it was not answered since.
    pub(super) fn poll_waited(&mut self, slot: usize, incarnation: u64, id: u64) {
        let Some(process) = self.process(slot, incarnation) else {
            return;
        };
        process.waiting.retain(|waiting| *waiting != id);
        if let Some(call) = self.polls.remove(&id) {
            self.report(&call);
        }
    }

    fn process(&mut self, slot: usize, incarnation: u64) -> Option<&mut Process> {
        let process = self.slots[slot].process.as_mut();
        process.filter(|process| process.incarnation == incarnation)
    }

    pub(super) fn end_run(
        &mut self,
        slot: usize,
        incarnation: u64,
        (task, run): (TaskName, u64),
        outcome: RunOutcome,
    ) {
        let Some(process) = self.process(slot, incarnation) else {
            return;
        };
        if process.runs.remove(&(task, run)).is_none() {
            return;
        }
        process.list_end(task, run, outcome);
        let waiting = std::mem::take(&mut process.waiting);
        self.trace(|| format!("w{slot}: {task} run {run} ends: {outcome:?}"));
        self.oracle.on_end(task, run, outcome, self.now);
        for id in waiting {
            if let Some(call) = self.polls.remove(&id) {
                self.report(&call);
            }
        }
    }

    fn watch_lease(&mut self, slot: usize) {
        let now = self.now;
        let state = &mut self.slots[slot];
        let Some(process) = &state.process else {
            return;
        };
        if !std::mem::replace(&mut state.lease_watched, true) {
            let delay = process.lapses_at().saturating_sub(now).max(1);
            let action = Action::Lapse(slot, process.incarnation);
            self.after(delay, action);
        }
    }

    /// Ends all runs of a worker whose lease has ended.
    pub(super) fn lapse(&mut self, slot: usize, incarnation: u64) {
        let now = self.now;
        let Some(process) = self.process(slot, incarnation) else {
            return;
        };
        if process.clock(now) <= process.lease_end {
            self.slots[slot].lease_watched = false;
            return self.watch_lease(slot);
        }
        let runs: Vec<(TaskName, u64)> = process.runs.keys().copied().collect();
        let listed: Vec<EndedRun> = process.ends.iter().cloned().collect();
        self.slots[slot].lease_watched = false;
        listed.iter().for_each(|end| self.oracle.on_lapse(end));
        for run in runs {
            self.end_run(slot, incarnation, run, RunOutcome::Lapsed);
        }
    }

    /// Ends a worker's process. Returns the worker's id, unless it was down.
    fn end_process(&mut self, slot: usize) -> Option<String> {
        self.update_registry();
        let process = self.slots[slot].process.take()?;
        self.oracle.on_worker_lost(slot, self.now);
        let state = &mut self.slots[slot];
        state.silent_since = self.now;
        state.lease_watched = false;
        Some(process.id)
    }

    /// Ends a worker that never returns, if at least [`MIN_WORKERS`] others are left.
    pub(super) fn lose_worker(&mut self, slot: usize) {
        let gone = self.slots.iter().filter(|slot| slot.gone).count();
        if gone + MIN_WORKERS < WORKER_COUNT && self.end_process(slot).is_some() {
            self.trace(|| format!("w{slot} is gone"));
            self.slots[slot].gone = true;
        }
    }

    pub(super) fn crash(&mut self, slot: usize, same: bool, span: u64) {
        let Some(id) = self.end_process(slot) else {
            return;
        };
        self.trace(|| format!("w{slot} crashes"));
        self.oracle.crashed = true;
        self.disturbed_until = self.disturbed_until.max(self.now + span);
        let state = &mut self.slots[slot];
        let id = if same {
            id
        } else {
            state.names += 1;
            format!("w{slot}-{}", state.names)
        };
        self.after(span, Action::Return(slot, id));
    }

    /// Lists many ends of runs of a job that nobody knows any more.
    pub(super) fn add_backlog(&mut self, slot: usize) {
        if let Some(process) = &mut self.slots[slot].process {
            for index in 0..BACKLOG {
                process.list_end(name(u64::MAX, 0, index), 1, RunOutcome::Stopped);
            }
        }
    }

    /// Applies what the workers have sent to the registry, if their start is distinguished from
    /// their registration.
    pub(super) fn update_registry(&mut self) {
        if self.registers_after.is_some() {
            self.registry();
        }
    }

    /// The workers that the registry lists.
    pub(super) fn registry(&mut self) -> Vec<Registration> {
        let now = self.now;
        for slot in 0..WORKER_COUNT {
            let state = &mut self.slots[slot];
            let registers = state.store_cut.max(state.registers_at) <= now;
            if let Some(process) = state.process.as_ref().filter(|_| registers) {
                state.silent_since = now;
                state.entry = Some(Registration {
                    id: process.id.clone(),
                    incarnation: process.incarnation,
                    address: super::world::slot_address(slot),
                    zone: super::evacuation::zone_of(slot).to_owned(),
                    ..registration("w")
                });
            } else if now > state.silent_since + REGISTRY_SILENCE {
                state.entry = None;
            }
        }
        let entries = self.slots.iter().filter_map(|slot| slot.entry.clone());
        entries.collect()
    }

    /// Sends a write to the store.
    pub(super) fn send_write(&mut self, owner: usize, write: Write) {
        let sent = self.now;
        let known: &OwnerProcess = &self.owners[owner];
        let reaches = self.takes_writes(known.host);
        let mut fate = Fate::Answered;
        if !reaches {
            fate = Fate::Lost;
        } else if self.store_fails() {
            fate = match self.rng.below(4) {
                0 => Fate::Lost,
                1 => Fate::AnswerLost,
                _ => Fate::Late(self.rng.below(MAX_WRITE_LATENESS)),
            };
        }
        let latency = 1 + self.rng.below(10);
        let late = if let Fate::Late(late) = fate { late } else { 0 };
        if fate != Fate::Lost {
            let answered = (fate == Fate::Answered).then_some(owner);
            let action = Action::Commit(answered, sent, write);
            self.after(latency + late, action);
        }
        if fate != Fate::Answered {
            let action = OwnerAction::Written(None);
            self.after(STORE_TIMEOUT, Action::Owner(owner, action));
        }
    }
}
