//! Decides the next step of each interactive request in progress.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use slotmap::SlotMap;

use super::budget::RetryBudget;
use crate::drain::ZoneState;
use crate::ids::{HostId, RequestKey, ShardId, WorkerKey};
use crate::kind::{ErrorKind, RetryReason};
use crate::moment::Moment;
use crate::placement::Placement;

/// The number of lost answers after which a request is not sent again: it may be what
/// crashes its workers.
const MAX_LOST_ATTEMPTS: u32 = 3;
/// The weight of a new sample in the moving average of the service time.
const SMOOTHING_FACTOR: f64 = 0.05;
/// The time that a request waits while no worker is usable.
const NO_WORKER_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum number of waiting requests, whatever their deadlines.
const MAX_WAITING_REQUESTS: usize = 20_000;
/// The timeout of an attempt is at least this many times the mean service time.
const TIMEOUT_FACTOR: f64 = 4.0;
/// The minimum timeout of an attempt, unless the deadline of the request is sooner.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(250);

/// A new request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// The name of the requested service.
    pub service: String,
    /// The time by which the request has to be answered.
    pub deadline: Moment,
    /// Whether the request must run at most once.
    pub once: bool,
    /// Whether an entry host has already forwarded the request, which happens at most once.
    pub forwarded: bool,
}

/// The workers and the entry host to which a request can be sent.
#[derive(Debug)]
pub struct Candidates<'a> {
    /// The workers with their free slots.
    pub placement: &'a mut Placement,
    /// The shards whose workers this host may use now.
    pub shards: &'a [ShardId],
    /// The other entry host with the most free slots; none if no host has any.
    pub peer: Option<HostId>,
    /// Whether another entry host may serve requests, now or once it has a free slot.
    pub elsewhere: bool,
}

/// The next step of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Send the request to a worker.
    Send {
        /// The worker that has a free slot.
        worker: WorkerKey,
        /// The time after which the attempt counts as lost.
        timeout: Duration,
    },
    /// Forward the request to this entry host.
    Forward(HostId),
    /// Wait to be woken, at most until this time.
    Wait(Moment),
    /// Answer with a refusal of this kind.
    Refuse(ErrorKind),
}

/// The way in which an attempt at a worker or peer failed to answer a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The worker refused the request and started nothing.
    Refused,
    /// The request was not sent.
    NotSent,
    /// The answer is lost.
    Lost,
    /// The worker answered with a failure.
    Failed,
    /// The answer belonged to another request.
    WrongAnswer,
    /// The worker has proven that a request whose answer was lost did not run.
    ProvenNotRun,
    /// The entry host to which the request was forwarded refused it, and nothing ran.
    PeerRefused,
}

impl AttemptFailure {
    /// Whether it is certain that nothing ran.
    pub const fn is_not_run(self) -> bool {
        match self {
            Self::Refused | Self::NotSent | Self::ProvenNotRun | Self::PeerRefused => true,
            Self::Lost | Self::Failed | Self::WrongAnswer => false,
        }
    }

    /// The reason under which the retry is counted.
    pub const fn reason(self) -> RetryReason {
        match self {
            Self::Refused => RetryReason::WorkerRefused,
            Self::NotSent => RetryReason::ConnectFailed,
            Self::Lost => RetryReason::AnswerLost,
            Self::Failed => RetryReason::WorkerFailed,
            Self::WrongAnswer => RetryReason::WrongAnswer,
            Self::ProvenNotRun => RetryReason::ProvenNotRun,
            Self::PeerRefused => RetryReason::PeerRefused,
        }
    }
}

/// A request in progress.
#[derive(Debug)]
struct Request {
    arrival: Arrival,
    /// The workers to which the request has been sent.
    tried: Vec<WorkerKey>,
    /// The number of attempts whose answers were lost.
    lost: u32,
    /// Whether an attempt may have run.
    unresolved: bool,
    /// The time since which the request waits for a slot; none before it waits and once it is sent.
    waiting_since: Option<Moment>,
}

/// The position of a request in the queue, which is ordered by deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Waiting {
    deadline: Moment,
    key: RequestKey,
}

/// The interactive requests in progress at one entry host.
#[derive(Debug, Default)]
pub struct Dispatch {
    requests: SlotMap<RequestKey, Request>,
    waiting: BTreeSet<Waiting>,
    /// The retry budgets by service.
    budgets: HashMap<String, RetryBudget>,
    /// The moving average of the time of an answered attempt, in seconds.
    service_time: f64,
    retries: Vec<RetryReason>,
}

impl Dispatch {
    /// Adds a request and the credit of its first attempt.
    pub fn arrive(&mut self, arrival: Arrival) -> RequestKey {
        self.budgets
            .entry(arrival.service.clone())
            .or_default()
            .deposit();
        self.requests.insert(Request {
            arrival,
            tried: Vec::new(),
            lost: 0,
            unresolved: false,
            waiting_since: None,
        })
    }

    /// Decides the next step of a request that is not at a worker.
    pub fn next(&mut self, key: RequestKey, candidates: &mut Candidates<'_>, now: Moment) -> Step {
        self.stop_waiting(key);
        let Some(request) = self.requests.get(key) else {
            return Step::Refuse(ErrorKind::Internal);
        };
        let deadline = request.arrival.deadline;
        if now >= deadline {
            return self.refuse(key, ErrorKind::DeadlinePassed);
        }
        let picked = candidates
            .placement
            .pick_for_request(candidates.shards, &request.tried, now);
        if let Some(worker) = picked {
            return self.send(key, worker, now);
        }
        if let Some(peer) = candidates.peer.filter(|_| !request.arrival.forwarded) {
            self.requests[key].arrival.forwarded = true;
            return Step::Forward(peer);
        }
        self.wait(key, candidates, now)
    }

    fn send(&mut self, key: RequestKey, worker: WorkerKey, now: Moment) -> Step {
        let request = &mut self.requests[key];
        request.tried.push(worker);
        request.waiting_since = None;
        let left = now.until(request.arrival.deadline);
        let timeout = match request.arrival.once {
            true => left,
            false => (left / 2)
                .max(MIN_ATTEMPT_TIMEOUT)
                .max(Duration::from_secs_f64(self.service_time * TIMEOUT_FACTOR))
                .min(left),
        };
        Step::Send { worker, timeout }
    }

    /// Queues a request if it is likely to be answered by its deadline, and
    /// refuses it otherwise.
    fn wait(&mut self, key: RequestKey, candidates: &Candidates<'_>, now: Moment) -> Step {
        let evacuated = candidates.placement.zone == ZoneState::Evacuated;
        let forwarded = self.requests[key].arrival.forwarded;
        if evacuated && (forwarded || !candidates.elsewhere) {
            // Waiting is of no use: the workers here get no work until an operator ends
            // the evacuation.
            return self.refuse(key, ErrorKind::NoWorker);
        }
        let slots = candidates.placement.slots(candidates.shards, now);
        let before = self.waiting.len();
        let request = &mut self.requests[key];
        let since = *request.waiting_since.get_or_insert(now);
        let deadline = request.arrival.deadline;
        let until = match slots {
            0 => deadline.min(since + NO_WORKER_TIMEOUT),
            _ => deadline,
        };
        if now >= until {
            return self.refuse(key, ErrorKind::NoWorker);
        }
        if before >= MAX_WAITING_REQUESTS {
            return self.refuse(key, ErrorKind::Overloaded);
        }
        let rounds = before as f64 / f64::from(slots.max(1)) + 1.0;
        let needed = Duration::from_secs_f64(rounds * self.service_time);
        if slots > 0 && now + needed > deadline {
            return self.refuse(key, ErrorKind::DeadlineTooShort);
        }
        self.waiting.insert(Waiting { deadline, key });
        Step::Wait(until)
    }

    fn stop_waiting(&mut self, key: RequestKey) {
        if let Some(request) = self.requests.get(key) {
            let deadline = request.arrival.deadline;
            self.waiting.remove(&Waiting { deadline, key });
        }
    }

    /// Removes and returns all waiting requests, so that each decides its step again.
    pub fn wake_all(&mut self) -> Vec<RequestKey> {
        self.wake(usize::MAX)
    }

    /// Removes and returns the requests to wake, earliest deadline first, when this
    /// many slots are free.
    pub fn wake(&mut self, free: usize) -> Vec<RequestKey> {
        let woken: Vec<Waiting> = self.waiting.iter().take(free).copied().collect();
        for waiting in &woken {
            self.waiting.remove(waiting);
        }
        woken.into_iter().map(|waiting| waiting.key).collect()
    }

    /// The number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The number of requests in progress.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is in progress.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Adds the time of an answered attempt to the mean service time.
    pub fn record_latency(&mut self, latency: Duration) {
        let sample = latency.as_secs_f64();
        self.service_time += SMOOTHING_FACTOR * (sample - self.service_time);
    }

    /// Decides the next step after a failed attempt.
    pub fn on_failure(
        &mut self,
        key: RequestKey,
        failure: AttemptFailure,
        candidates: &mut Candidates<'_>,
        now: Moment,
    ) -> Step {
        let Some(request) = self.requests.get_mut(key) else {
            return Step::Refuse(ErrorKind::Internal);
        };
        request.unresolved |= !failure.is_not_run();
        if !failure.is_not_run() && request.arrival.once {
            return self.refuse(key, ErrorKind::AnswerLost);
        }
        if now >= request.arrival.deadline {
            return self.refuse(key, ErrorKind::DeadlinePassed);
        }
        request.lost += u32::from(failure == AttemptFailure::Lost);
        if request.lost >= MAX_LOST_ATTEMPTS {
            return self.refuse(key, ErrorKind::AnswerLost);
        }
        let exempt = failure == AttemptFailure::PeerRefused;
        let service = request.arrival.service.clone();
        if !exempt && !self.budgets.entry(service).or_default().withdraw() {
            return self.refuse(key, ErrorKind::Overloaded);
        }
        self.retries.push(failure.reason());
        self.next(key, candidates, now)
    }

    /// Refuses a request. If an attempt may have run, the kind is `AnswerLost`,
    /// because the other kinds mean that the request did not run.
    fn refuse(&self, key: RequestKey, kind: ErrorKind) -> Step {
        let unresolved = self
            .requests
            .get(key)
            .is_some_and(|request| request.unresolved);
        Step::Refuse(if unresolved {
            ErrorKind::AnswerLost
        } else {
            kind
        })
    }

    /// Removes a request that has ended.
    pub fn finish(&mut self, key: RequestKey) {
        self.stop_waiting(key);
        self.requests.remove(key);
    }

    /// Removes and returns the reasons of retries since the last call, for metrics.
    pub fn take_retries(&mut self) -> Vec<RetryReason> {
        std::mem::take(&mut self.retries)
    }
}
