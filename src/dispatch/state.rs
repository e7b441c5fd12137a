//! The interactive requests in progress and what happens to them next.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use slotmap::SlotMap;

use super::budget::Budget;
use crate::ids::{AttemptKey, HostId, ShardId, WorkerKey};
use crate::kind::{ErrorKind, RetryReason};
use crate::moment::Moment;
use crate::placement::Placement;

/// The weight of a new sample of the service time.
const SMOOTHING: f64 = 0.05;
/// How long a request waits while no worker is usable at all.
const NO_WORKER_WAIT: Duration = Duration::from_secs(2);
/// The most requests that wait, whatever their deadlines.
const MOST_WAITING: usize = 20_000;
/// An attempt is given this many times the mean time of an answer.
const PATIENT_TIMES: f64 = 4.0;
/// The shortest time that an attempt is given before another is tried.
const LEAST_PATIENCE: Duration = Duration::from_millis(250);

/// A request as it arrives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// The service.
    pub service: String,
    /// Its deadline.
    pub deadline: Moment,
    /// Whether it must run at most once.
    pub once: bool,
    /// Whether another entry host passed it on.
    pub passed: bool,
}

/// What a request can be given.
#[derive(Debug)]
pub struct Ground<'a> {
    /// The workers.
    pub placement: &'a mut Placement,
    /// The shards that this host may act for now.
    pub shards: &'a [ShardId],
    /// The peer with the most free slots.
    pub peer: Option<HostId>,
}

/// What happens to a request next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Send it to this worker, and give up after this time.
    Send {
        /// The worker.
        worker: WorkerKey,
        /// How long the attempt may take.
        patience: Duration,
    },
    /// Pass it on to this entry host.
    Pass(HostId),
    /// Wait to be woken, at most until this point.
    Wait(Moment),
    /// Answer with a refusal.
    Refuse(ErrorKind),
}

/// How an attempt ended, as far as retries are concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The worker refused and started nothing.
    Refused,
    /// Nothing was sent.
    NotSent,
    /// The answer is lost.
    Lost,
    /// The worker answered with a failure.
    Failed,
    /// The answer was another request's.
    WrongAnswer,
    /// The worker proved that a lost request did not run.
    ProvenNotRun,
    /// The peer refused, and nothing ran.
    PeerRefused,
}

impl End {
    /// Whether it is proven that nothing ran.
    pub const fn is_not_run(self) -> bool {
        match self {
            Self::Refused | Self::NotSent | Self::ProvenNotRun | Self::PeerRefused => true,
            Self::Lost | Self::Failed | Self::WrongAnswer => false,
        }
    }

    /// The reason under which a retry is counted.
    pub const fn reason(self) -> RetryReason {
        match self {
            Self::Refused => RetryReason::WorkerRefused,
            Self::NotSent => RetryReason::ConnectFailed,
            Self::Lost => RetryReason::AnswerLost,
            Self::Failed => RetryReason::WorkerFailed,
            Self::WrongAnswer => RetryReason::WrongAnswer,
            Self::ProvenNotRun => RetryReason::ResolvedNotRun,
            Self::PeerRefused => RetryReason::PeerRefused,
        }
    }
}

#[derive(Debug)]
struct Call {
    arrival: Arrival,
    tried: Vec<WorkerKey>,
    /// Whether an attempt may have run.
    doubtful: bool,
    waits_since: Option<Moment>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Waiting {
    deadline: Moment,
    key: AttemptKey,
}

/// The interactive requests of one entry host.
#[derive(Debug, Default)]
pub struct Dispatch {
    calls: SlotMap<AttemptKey, Call>,
    waiting: BTreeSet<Waiting>,
    budgets: HashMap<String, Budget>,
    /// The mean time of an answered attempt, in seconds.
    service_time: f64,
    retries: Vec<RetryReason>,
}

impl Dispatch {
    /// Takes a request.
    pub fn arrive(&mut self, arrival: Arrival) -> AttemptKey {
        self.budgets
            .entry(arrival.service.clone())
            .or_default()
            .earn();
        self.calls.insert(Call {
            arrival,
            tried: Vec::new(),
            doubtful: false,
            waits_since: None,
        })
    }

    /// Decides what happens to a request that is not at a worker.
    pub fn next(&mut self, key: AttemptKey, ground: &mut Ground<'_>, now: Moment) -> Step {
        self.stop_waiting(key);
        let Some(call) = self.calls.get(key) else {
            return Step::Refuse(ErrorKind::Internal);
        };
        let deadline = call.arrival.deadline;
        if now >= deadline {
            return self.refuse(key, ErrorKind::DeadlinePassed);
        }
        let picked = ground.placement.pick_slot(ground.shards, &call.tried, now);
        if let Some(worker) = picked {
            return self.send(key, worker, now);
        }
        if let Some(peer) = ground.peer.filter(|_| !call.arrival.passed) {
            self.calls[key].arrival.passed = true;
            return Step::Pass(peer);
        }
        self.wait(key, ground, now)
    }

    fn send(&mut self, key: AttemptKey, worker: WorkerKey, now: Moment) -> Step {
        let call = &mut self.calls[key];
        call.tried.push(worker);
        call.waits_since = None;
        let left = now.until(call.arrival.deadline);
        let patience = match call.arrival.once {
            true => left,
            false => (left / 2)
                .max(LEAST_PATIENCE)
                .max(Duration::from_secs_f64(self.service_time * PATIENT_TIMES))
                .min(left),
        };
        Step::Send { worker, patience }
    }

    /// Lets a request wait if it is likely to be answered by its deadline.
    fn wait(&mut self, key: AttemptKey, ground: &Ground<'_>, now: Moment) -> Step {
        let slots = ground.placement.slots(ground.shards, now);
        let before = self.waiting.len();
        let call = &mut self.calls[key];
        let since = *call.waits_since.get_or_insert(now);
        let deadline = call.arrival.deadline;
        let until = match slots {
            0 => deadline.min(since + NO_WORKER_WAIT),
            _ => deadline,
        };
        if now >= until {
            return self.refuse(key, ErrorKind::NoWorker);
        }
        if before >= MOST_WAITING {
            return self.refuse(key, ErrorKind::Overloaded);
        }
        let turns = before as f64 / f64::from(slots.max(1)) + 1.0;
        let needed = Duration::from_secs_f64(turns * self.service_time);
        if slots > 0 && now + needed > deadline {
            return self.refuse(key, ErrorKind::DeadlineTooShort);
        }
        self.waiting.insert(Waiting { deadline, key });
        Step::Wait(until)
    }

    fn stop_waiting(&mut self, key: AttemptKey) {
        if let Some(call) = self.calls.get(key) {
            let deadline = call.arrival.deadline;
            self.waiting.remove(&Waiting { deadline, key });
        }
    }

    /// Takes the next requests to wake when slots are free.
    pub fn wake(&mut self, free: usize) -> Vec<AttemptKey> {
        let woken: Vec<Waiting> = self.waiting.iter().take(free).copied().collect();
        for waiting in &woken {
            self.waiting.remove(waiting);
        }
        woken.into_iter().map(|waiting| waiting.key).collect()
    }

    /// How many requests wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// How many requests are in progress.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no request is in progress.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Notes an answered attempt.
    pub fn answered(&mut self, latency: Duration) {
        let sample = latency.as_secs_f64();
        self.service_time += SMOOTHING * (sample - self.service_time);
    }

    /// Decides what follows an attempt without an answer.
    pub fn ended(
        &mut self,
        key: AttemptKey,
        end: End,
        ground: &mut Ground<'_>,
        now: Moment,
    ) -> Step {
        let Some(call) = self.calls.get_mut(key) else {
            return Step::Refuse(ErrorKind::Internal);
        };
        call.doubtful |= !end.is_not_run();
        if !end.is_not_run() && call.arrival.once {
            return self.refuse(key, ErrorKind::AnswerLost);
        }
        if now >= call.arrival.deadline {
            return self.refuse(key, ErrorKind::DeadlinePassed);
        }
        let free = end == End::PeerRefused;
        let service = call.arrival.service.clone();
        if !free && !self.budgets.entry(service).or_default().spend() {
            return self.refuse(key, ErrorKind::Overloaded);
        }
        self.retries.push(end.reason());
        self.next(key, ground, now)
    }

    /// A refusal says "not run" only if no attempt may have run.
    fn refuse(&self, key: AttemptKey, kind: ErrorKind) -> Step {
        let doubtful = self.calls.get(key).is_some_and(|call| call.doubtful);
        Step::Refuse(if doubtful {
            ErrorKind::AnswerLost
        } else {
            kind
        })
    }

    /// Ends a request.
    pub fn finish(&mut self, key: AttemptKey) {
        self.stop_waiting(key);
        self.calls.remove(key);
    }

    /// Takes the retries since the last call, for counters.
    pub fn take_retries(&mut self) -> Vec<RetryReason> {
        std::mem::take(&mut self.retries)
    }
}
