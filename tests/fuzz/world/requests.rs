//! Simulation of interactive requests, which may be delayed, lost, resolved or refused.

use std::collections::BTreeSet;
use std::time::Duration;

use lycheelock::dispatch::{Arrival, AttemptFailure};
use lycheelock::entry::{NextStep, RequestAttempt};
use lycheelock::ids::{HostId, RequestId, RequestKey, WorkerKey};
use lycheelock::kind::RunStatus;
use lycheelock::moment::Moment;

use super::World;

/// Deadline of each request after its arrival.
const REQUEST_DEADLINE: Duration = Duration::from_secs(4);
/// Time that a sender waits to learn whether an unanswered request ran.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that a worker takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(700);

/// Requests that a worker runs and has run.
#[derive(Default)]
pub struct ServingState {
    running: Vec<RunningRequest>,
    ended: BTreeSet<RequestId>,
}

struct RunningRequest {
    id: RequestId,
    ends_at: Moment,
}

/// An attempt of a request that a host has sent to a worker.
pub struct SentAttempt {
    host: usize,
    host_id: HostId,
    key: RequestKey,
    worker_key: WorkerKey,
    worker: usize,
    attempt: RequestAttempt,
    /// Number of the request in the oracle.
    mark: u64,
    once: bool,
    arrives_at: Moment,
    expires_at: Moment,
    stage: Stage,
    /// Time until which its sender waits to learn whether it ran; absent before its
    /// timeout.
    resolve_until: Option<Moment>,
    /// The worker reported that it did not run and never will.
    not_run: bool,
    /// The sender expects no answer any more.
    abandoned: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    InTransit,
    Running,
    Answered,
    Refused,
}

impl SentAttempt {
    /// Whether the attempt stays in the simulation when a worker restarts. One that
    /// was running there never ends, so it stays until its sender times out. One that is in
    /// transit arrives at the next process.
    pub fn survives_restart(&self, worker: usize) -> bool {
        self.worker != worker || !self.abandoned || self.stage == Stage::InTransit
    }
}

impl ServingState {
    pub fn ids(&self) -> Vec<RequestId> {
        self.running.iter().map(|each| each.id).collect()
    }

    pub fn has_ended(&self, id: RequestId) -> bool {
        self.ended.contains(&id)
    }

    fn end_due(&mut self, now: Moment) {
        let due = self.running.iter().filter(|each| each.ends_at <= now);
        self.ended.extend(due.map(|each| each.id));
        self.running.retain(|each| each.ends_at > now);
    }
}

impl World {
    /// Sends a request to a host.
    pub fn request(&mut self, number: usize, once: bool) {
        if self.hosts[number].paused {
            return;
        }
        let mark = self.oracle.next_mark(once);
        let now = self.now;
        let arrival = Arrival {
            service: "s".to_owned(),
            deadline: now + REQUEST_DEADLINE,
            once,
            forwarded: false,
        };
        let arrived = self.hosts[number].core.arrive(arrival, now);
        self.apply_next_step(number, arrived.key, arrived.next, mark, once);
        self.handle_effects(number);
    }

    /// Sends or ends a request as its host decided.
    fn apply_next_step(
        &mut self,
        number: usize,
        key: RequestKey,
        next: NextStep,
        mark: u64,
        once: bool,
    ) {
        let now = self.now;
        match next {
            NextStep::Send {
                worker,
                timeout,
                attempt,
            } => {
                assert!(
                    self.evacuation.since.is_none(),
                    "a request was sent to a worker while its zone is evacuated"
                );
                let name = self.hosts[number].core.placement.get(worker);
                let name = name.map(|worker| worker.name.clone());
                let index = self
                    .workers
                    .iter()
                    .position(|each| Some(&each.listing.name) == name.as_ref());
                let index = index.expect("a known worker");
                self.sent_attempts.push(SentAttempt {
                    host: number,
                    host_id: self.hosts[number].id,
                    key,
                    worker_key: worker,
                    worker: index,
                    attempt,
                    mark,
                    once,
                    arrives_at: now + self.workers[index].delay,
                    expires_at: now + timeout,
                    stage: Stage::InTransit,
                    resolve_until: None,
                    not_run: false,
                    abandoned: false,
                });
            }
            NextStep::Refuse(kind) => {
                self.hosts[number].core.dispatch.finish(key);
                self.oracle.record_answer(mark, kind.response().run);
            }
            // The caller disconnects instead of waiting. Nothing was sent for this step.
            NextStep::Wait(_) | NextStep::Forward(_) => {
                self.hosts[number].core.dispatch.finish(key)
            }
        }
    }

    /// Records that a worker reported to its owner that a request did not run.
    pub(super) fn record_not_run(&mut self, id: RequestId) {
        let mut sent_attempts = self.sent_attempts.iter_mut();
        if let Some(sent) = sent_attempts.find(|sent| sent.attempt.id == id) {
            sent.not_run = true;
        }
    }

    pub(super) fn advance_attempts(&mut self) {
        let now = self.now;
        for worker in &mut self.workers {
            worker.serving.end_due(now);
        }
        let mut sent_attempts = std::mem::take(&mut self.sent_attempts);
        for sent in &mut sent_attempts {
            self.arrive_at_worker(sent);
        }
        for sent in &mut sent_attempts {
            self.return_to_host(sent);
        }
        sent_attempts.retain(|sent| {
            let in_transit = sent.stage == Stage::InTransit;
            let recent = now < sent.arrives_at + Duration::from_secs(40);
            !sent.abandoned || (in_transit && recent)
        });
        sent_attempts.append(&mut self.sent_attempts);
        self.sent_attempts = sent_attempts;
    }

    /// Starts a request that has arrived at its worker, even if its sender timed out.
    fn arrive_at_worker(&mut self, sent: &mut SentAttempt) {
        let now = self.now;
        let worker = &mut self.workers[sent.worker];
        let id = sent.attempt.id;
        if sent.stage == Stage::Running && worker.serving.has_ended(id) {
            sent.stage = Stage::Answered;
        }
        if sent.stage != Stage::InTransit || now < sent.arrives_at || worker.silent {
            return;
        }
        let (shard, epoch, boot) = (sent.attempt.shard, sent.attempt.epoch, sent.attempt.boot);
        if !worker.model.admits(id, shard, epoch, boot) {
            sent.stage = Stage::Refused;
            return;
        }
        let slots = worker.listing.slots as usize;
        assert!(
            worker.serving.running.len() < slots,
            "{} was given more than its {slots} slots",
            worker.listing.name
        );
        worker.serving.running.push(RunningRequest {
            id,
            ends_at: now + SERVICE_TIME,
        });
        sent.stage = Stage::Running;
        self.oracle.record_request_run(sent.mark);
    }

    /// Delivers an answer or a timeout to the sender.
    fn return_to_host(&mut self, sent: &mut SentAttempt) {
        let now = self.now;
        let host = &mut self.hosts[sent.host];
        if sent.abandoned || host.paused {
            return;
        }
        if host.id != sent.host_id {
            sent.abandoned = true;
            return;
        }
        let silent = self.workers[sent.worker].silent;
        let timed_out = now >= sent.expires_at;
        let id = sent.attempt.id;
        let failure = match sent.stage {
            Stage::Answered if !silent && !timed_out => {
                host.core.release_attempt(sent.worker_key, id, now);
                host.core.dispatch.finish(sent.key);
                self.oracle.record_answer(sent.mark, RunStatus::Yes);
                sent.abandoned = true;
                return;
            }
            Stage::Refused if !silent && !timed_out => {
                host.core.release_attempt(sent.worker_key, id, now);
                AttemptFailure::Refused
            }
            _ if sent.not_run => AttemptFailure::ProvenNotRun,
            _ if sent.resolve_until.is_some_and(|until| now >= until) => AttemptFailure::Lost,
            _ if timed_out && sent.resolve_until.is_none() => {
                host.core.keep_unresolved(sent.worker_key, id);
                sent.resolve_until = Some(now + RESOLVE_TIMEOUT);
                return;
            }
            _ => return,
        };
        sent.abandoned = true;
        let next = host.core.on_attempt_failed(sent.key, failure, now);
        let (number, key, mark, once) = (sent.host, sent.key, sent.mark, sent.once);
        self.apply_next_step(number, key, next, mark, once);
        self.handle_effects(number);
    }
}
