//! Workers of the fuzz test: runs with leases, fencing, and ends that are listed until they
//! are acknowledged.

use std::collections::{BTreeMap, VecDeque};

use super::super::*;
use crate::fleet::StartAnswer;
use crate::fleet::{PollOrder, StartOrder, StopOrder};

/// The longest lease that a worker grants, in milliseconds of its clock.
const MAX_LEASE: u64 = 10_000;
/// The number of ends that a report lists at most.
const REPORTED_ENDS: usize = 500;
/// The reading of a worker's clock at the start of its process, in milliseconds.
const FIRST_READING: u64 = 1_000;

/// A call to a worker.
#[derive(Debug, Clone)]
pub(super) enum Request {
    Start(StartOrder),
    Stop(StopOrder),
    Poll(PollOrder),
}

impl Request {
    pub const fn fence(&self) -> u64 {
        match self {
            Self::Start(order) => order.fence,
            Self::Stop(order) => order.fence,
            Self::Poll(order) => order.fence,
        }
    }
}

/// An answer of a worker.
#[derive(Debug, Clone)]
pub(super) enum Answer {
    Start(StartAnswer),
    Stop,
    Report(WorkerReport),
    Fenced,
    Replaced,
    Refused,
}

/// A run on a worker.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub begun: u64,
    /// How long the run takes; absent for long-running tasks.
    pub takes: Option<u64>,
    pub need: Capacity,
}

/// One incarnation of a worker's process.
#[derive(Debug)]
pub(super) struct Process {
    pub id: String,
    pub incarnation: u64,
    begun: u64,
    /// The speed of its clock, in thousandths.
    rate: u64,
    fence: u64,
    pub lease_end: u64,
    pub runs: BTreeMap<(TaskName, u64), Run>,
    /// The highest run of each task that was stopped or has ended here.
    refused: BTreeMap<TaskName, u64>,
    pub ends: VecDeque<EndedRun>,
    next_end: u64,
    /// Polls that wait for an end, by the id of the call.
    pub waiting: Vec<u64>,
}

impl Process {
    pub fn new(id: String, rate: u64, now: u64) -> Self {
        Self {
            id,
            incarnation: now + 1,
            begun: now,
            rate,
            fence: 0,
            lease_end: 0,
            runs: BTreeMap::new(),
            refused: BTreeMap::new(),
            ends: VecDeque::new(),
            next_end: 1,
            waiting: Vec::new(),
        }
    }

    pub fn clock(&self, now: u64) -> u64 {
        FIRST_READING + (now - self.begun) * self.rate / 1000
    }

    /// Returns a moment at which the clock has passed the lease.
    pub fn lapses_at(&self) -> u64 {
        let left = self.lease_end.saturating_sub(FIRST_READING);
        self.begun + left * 1000 / self.rate + 2
    }

    fn extend_lease(&mut self, until: u64, now: u64) {
        let longest = self.clock(now) + MAX_LEASE;
        self.lease_end = self.lease_end.max(until.min(longest));
    }

    /// Whether the process follows the sender of a call, which it does from then on.
    pub fn follows(&mut self, request: &Request) -> bool {
        let fence = request.fence();
        self.fence = self.fence.max(fence);
        fence == self.fence
    }

    /// Answers a start order without beginning the run; `None` if it is to begin.
    pub fn check_start(
        &mut self,
        order: &StartOrder,
        need: Capacity,
        guards: bool,
        now: u64,
    ) -> Option<StartReply> {
        let clock = self.clock(now);
        if order.lease_end <= clock {
            return Some(StartReply::LeaseExpired(clock));
        }
        self.extend_lease(order.lease_end, now);
        if self.runs.contains_key(&(order.task, order.run)) {
            return Some(StartReply::Running);
        }
        if self
            .refused
            .get(&order.task)
            .is_some_and(|run| *run >= order.run)
        {
            return Some(StartReply::Superseded);
        }
        let full = !registration("w").capacity.minus(self.used()).holds(need);
        (guards && full).then_some(StartReply::NoCapacity)
    }

    pub fn used(&self) -> Capacity {
        let mut used = Capacity::default();
        self.runs.values().for_each(|run| used += run.need);
        used
    }

    /// Refuses a run and all lower ones of its task from now on.
    pub fn refuse(&mut self, task: TaskName, run: u64) {
        let refused = self.refused.entry(task).or_default();
        *refused = run.max(*refused);
    }

    /// Lists the end of a run.
    pub fn list_end(&mut self, task: TaskName, run: u64, outcome: RunOutcome) {
        self.refuse(task, run);
        self.ends.push_back(EndedRun {
            number: self.next_end,
            task,
            run,
            outcome,
            checkpoint: String::new(),
        });
        self.next_end += 1;
    }

    /// Applies a poll. Returns the ends that the worker forgets.
    pub fn apply_poll(&mut self, order: &PollOrder, now: u64) -> Vec<EndedRun> {
        if let Some(until) = order.lease_end {
            self.extend_lease(until, now);
        }
        let known = self.ends.iter();
        let forgotten = known
            .take_while(|end| end.number <= order.acknowledged)
            .count();
        self.ends.drain(..forgotten).collect()
    }

    pub fn report(&self, now: u64) -> WorkerReport {
        let running = self.runs.iter().map(|((task, run), state)| {
            let ran = now - state.begun;
            LiveRun {
                task: *task,
                run: *run,
                checkpoint: String::new(),
                progress: state
                    .takes
                    .map_or(100, |takes| (ran * 100 / takes).min(99) as u8),
                measurement: state.need.millicores,
            }
        });
        WorkerReport {
            clock: self.clock(now),
            incarnation: self.incarnation,
            running: running.collect(),
            ended: self.ends.iter().take(REPORTED_ENDS).cloned().collect(),
        }
    }
}
