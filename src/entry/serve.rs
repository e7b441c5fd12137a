//! Execution of interactive requests: at a worker, or by forwarding them to a
//! peer.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

use super::core::{LogResult, NextStep, PendingChange, RequestAttempt, ShardOwner};
use super::node::Node;
use crate::counters::Count;
use crate::dispatch::{Arrival, AttemptFailure};
use crate::ids::{HostId, RequestKey, WorkerKey, stable_hash};
use crate::jobs::{KeyOutcome, KeyStep, StoredAnswer, WallClock};
use crate::kind::{ErrorKind, Refusal, RunStatus};
use crate::moment::Moment;
use crate::overload::Charge;
use crate::peers::{CallFailure, IdempotencyKey, PeerAnswer, PeerCall, ServeCall};
use crate::workers::{AttemptOutcome, RequestState, WorkerAnswer, WorkerClient, WorkerRequest};

/// Lowest HTTP status that counts as a failure of the worker.
const FAILURE_STATUS: u16 = 500;
/// Time limit for finding out whether a request whose answer was lost ran.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(1);
/// Added to the time limit of a call to a peer, so that the peer's answer arrives
/// before the call times out.
const PEER_CALL_GRACE: Duration = Duration::from_millis(200);

type Served = Result<WorkerAnswer, Refusal>;

impl Node {
    /// Returns the home shard and the hashes of an idempotency key, or `None` if
    /// no shard is configured.
    pub(crate) fn idempotency_key(
        &self,
        team: &str,
        key: &str,
        call: &ServeCall,
    ) -> Option<IdempotencyKey> {
        let hash = stable_hash(format!("{team}\n{key}").as_bytes());
        let mut text = format!("{} {} {}\n", call.method, call.service, call.path).into_bytes();
        text.extend_from_slice(&call.body);
        let shard = self.read(|core, _| core.configuration().ok()?.home_shard(hash));
        Some(IdempotencyKey {
            shard: shard?,
            key: hash,
            digest: stable_hash(&text),
        })
    }

    /// Serves a request of a caller or peer, here or at the home shard of its
    /// key. Runs in its own task, so that the request completes even if the
    /// caller disconnects.
    pub(crate) async fn serve(self: &Arc<Self>, call: ServeCall, charge: Arc<Charge>) -> Served {
        let node = self.clone();
        let served = tokio::spawn(async move {
            match call.key {
                Some(key) => node.serve_keyed(call, key, &charge).await,
                None => node.serve_here(&call, &charge).await,
            }
        });
        let served = served.await.unwrap_or_else(|error| {
            let message = format!("the task of the request failed: {error}");
            Err(Refusal::new(ErrorKind::Internal, message))
        });
        if served.is_ok() {
            self.counters.add(Count::Answered, 1);
        }
        served
    }

    async fn serve_keyed(
        self: &Arc<Self>,
        call: ServeCall,
        key: IdempotencyKey,
        charge: &Charge,
    ) -> Served {
        match self.read(|core, now| core.shard_owner(key.shard, now)) {
            // A host that may not act for the shard may still know the key.
            ShardOwner::Local | ShardOwner::Unreachable => self.serve_once(call, key, charge).await,
            ShardOwner::Peer(host) if !call.forwarded => {
                self.forward_keyed(host, &call, charge).await
            }
            ShardOwner::Peer(_) => {
                let message = format!("no entry host that owns shard {} can be reached", key.shard);
                Err(Refusal::new(ErrorKind::OwnerUnavailable, message))
            }
        }
    }

    /// Logs the intent of a keyed request, sends the request at most once and
    /// logs the outcome.
    async fn serve_once(
        self: &Arc<Self>,
        call: ServeCall,
        key: IdempotencyKey,
        charge: &Charge,
    ) -> Served {
        let change = PendingChange::Key(key.shard, key.key);
        let (step, logged) = self.decide(|core, now| {
            let step = core.begin_key(key.shard, key.key, key.digest, now, WallClock::now());
            let logs = matches!(step, KeyStep::Log(_));
            (step, logs.then(|| self.expect_logged(change)))
        });
        match step {
            KeyStep::Stored(outcome) => return stored_answer(outcome),
            KeyStep::Refuse(refusal) => return Err(refusal),
            KeyStep::Log(_) => {}
        }
        let deadline = Duration::from_millis(call.deadline_ms);
        if let Some(logged) = logged {
            let result = timeout(deadline, logged).await;
            self.check_intent(key, result.ok().and_then(Result::ok))?;
        }
        // The key is settled here: a peer that runs the request must not look it up.
        let call = ServeCall {
            key: None,
            forwarded: false,
            ..call
        };
        let served = self.serve_here(&call, charge).await;
        let outcome = self.key_outcome(&served);
        self.decide(|core, now| core.end_key(key.shard, key.key, outcome, now));
        served
    }

    /// Refuses the request if its intent was not logged. Nothing has been sent at
    /// this point, so the refusal says that the request did not run.
    fn check_intent(&self, key: IdempotencyKey, result: Option<LogResult>) -> Result<(), Refusal> {
        match result {
            Some(LogResult::Logged) => return Ok(()),
            Some(LogResult::NotLogged) => {
                self.decide(|core, _| core.forget_key(key.shard, key.key));
            }
            Some(LogResult::Unknown) => {}
            None => {
                // The intent may still be logged later; the outcome that follows
                // it makes the key usable again.
                let outcome = KeyOutcome::NotRun;
                self.decide(|core, now| core.end_key(key.shard, key.key, outcome, now));
            }
        }
        let message = "the intent could not be logged; nothing was sent";
        Err(Refusal::new(ErrorKind::StoreUnavailable, message))
    }

    fn key_outcome(&self, served: &Served) -> KeyOutcome {
        match served {
            Ok(answer) if answer.body.len() as u64 <= self.settings.limits.stored_answer => {
                KeyOutcome::Answered(StoredAnswer {
                    status: answer.status,
                    headers: answer.headers.clone(),
                    body: answer.body.clone(),
                })
            }
            Ok(_) => KeyOutcome::TooLarge,
            Err(refusal) => match refusal.kind.response().run {
                RunStatus::No => KeyOutcome::NotRun,
                RunStatus::Unknown => KeyOutcome::Unknown,
                RunStatus::Yes => KeyOutcome::TooLarge,
            },
        }
    }

    /// Serves a request with the workers of this zone.
    pub(crate) async fn serve_here(self: &Arc<Self>, call: &ServeCall, charge: &Charge) -> Served {
        let arrival = Arrival {
            service: call.service.clone(),
            deadline: Moment::now() + Duration::from_millis(call.deadline_ms),
            once: call.once,
            forwarded: call.forwarded,
        };
        let deadline = arrival.deadline;
        let arrived = self.decide(|core, now| core.arrive(arrival, now));
        let served = self
            .run_steps(arrived.key, arrived.next, call, deadline, charge)
            .await;
        self.decide(|core, _| core.dispatch.finish(arrived.key));
        self.forget_wait(arrived.key);
        served
    }

    async fn run_steps(
        self: &Arc<Self>,
        key: RequestKey,
        first: NextStep,
        call: &ServeCall,
        deadline: Moment,
        charge: &Charge,
    ) -> Served {
        let mut next = first;
        let mut failed_answer = None;
        loop {
            next = match next {
                NextStep::Refuse(kind) => {
                    return failed_answer.ok_or_else(|| refusal(kind, &call.service));
                }
                NextStep::Wait(until) => {
                    self.wait_woken(key, until).await;
                    self.decide(|core, now| core.next_step(key, now))
                }
                NextStep::Forward(host) => {
                    let outcome = self.forward(host, call, deadline, charge).await;
                    self.decide(|core, now| core.on_forward_ended(host, now));
                    match outcome {
                        ForwardOutcome::Served(served) => return served,
                        ForwardOutcome::NotSent(_) => {
                            let failure = AttemptFailure::NotSent;
                            self.decide(|core, now| core.on_attempt_failed(key, failure, now))
                        }
                        ForwardOutcome::Failed(failure) => {
                            self.decide(|core, now| core.on_attempt_failed(key, failure, now))
                        }
                    }
                }
                NextStep::Send {
                    worker,
                    timeout,
                    attempt,
                } => {
                    let outcome = self.attempt(worker, attempt, call, timeout, deadline, charge);
                    match outcome.await {
                        LocalOutcome::Served(served) => return served,
                        LocalOutcome::WorkerFailed(answer) => {
                            failed_answer = Some(answer);
                            self.decide(|core, now| {
                                core.on_attempt_failed(key, AttemptFailure::Failed, now)
                            })
                        }
                        LocalOutcome::Failed(failure) => {
                            self.decide(|core, now| core.on_attempt_failed(key, failure, now))
                        }
                    }
                }
            };
        }
    }

    async fn attempt(
        self: &Arc<Self>,
        worker: WorkerKey,
        attempt: RequestAttempt,
        call: &ServeCall,
        timeout: Duration,
        deadline: Moment,
        charge: &Charge,
    ) -> LocalOutcome {
        let sent_at = Moment::now();
        let max_bytes = self.settings.limits.answer;
        let client = WorkerClient::new(self.http.clone(), &attempt.address, max_bytes);
        let outcome = client
            .attempt(worker_request(&attempt, call, timeout), charge)
            .await;
        match outcome {
            AttemptOutcome::Answer(answer) => {
                self.record_answer(worker, &attempt, &answer, sent_at);
                match answer.status >= FAILURE_STATUS && !call.once {
                    true => LocalOutcome::WorkerFailed(answer),
                    false => LocalOutcome::Served(Ok(answer)),
                }
            }
            AttemptOutcome::TooLarge => {
                self.keep_unresolved(worker, &attempt);
                LocalOutcome::Served(Err(refusal(ErrorKind::AnswerTooLarge, &call.service)))
            }
            AttemptOutcome::NoBudget => {
                // The worker is not at fault: five such answers would quarantine it.
                self.record_ran(worker, &attempt);
                LocalOutcome::Served(Err(refusal(ErrorKind::AnswerTooLarge, &call.service)))
            }
            AttemptOutcome::Refused(_) => {
                self.record_refusal(worker, &attempt);
                LocalOutcome::Failed(AttemptFailure::Refused)
            }
            AttemptOutcome::NotSent(_) => {
                self.record_not_sent(worker, &attempt);
                LocalOutcome::Failed(AttemptFailure::NotSent)
            }
            AttemptOutcome::WrongAnswer => {
                self.keep_unresolved(worker, &attempt);
                LocalOutcome::Failed(AttemptFailure::WrongAnswer)
            }
            AttemptOutcome::Lost(_) => {
                LocalOutcome::Failed(self.resolve(worker, &attempt, deadline).await)
            }
        }
    }

    fn record_answer(
        &self,
        worker: WorkerKey,
        attempt: &RequestAttempt,
        answer: &WorkerAnswer,
        sent_at: Moment,
    ) {
        self.decide(|core, now| {
            let latency = now - sent_at;
            core.dispatch.record_latency(latency);
            core.placement.record_latency(worker, latency);
            if let Some(found) = core.placement.get_mut(worker) {
                match answer.status >= FAILURE_STATUS {
                    true => found.record_failure(now),
                    false => found.record_success(),
                }
            }
            core.release_attempt(worker, attempt.id, now);
        });
    }

    fn record_ran(&self, worker: WorkerKey, attempt: &RequestAttempt) {
        self.decide(|core, now| {
            if let Some(found) = core.placement.get_mut(worker) {
                found.record_success();
            }
            core.release_attempt(worker, attempt.id, now);
        });
    }

    fn record_refusal(&self, worker: WorkerKey, attempt: &RequestAttempt) {
        self.decide(|core, now| {
            if let Some(found) = core.placement.get_mut(worker) {
                found.end_probe(now);
            }
            core.release_attempt(worker, attempt.id, now);
        });
    }

    fn record_not_sent(&self, worker: WorkerKey, attempt: &RequestAttempt) {
        self.decide(|core, now| {
            if let Some(found) = core.placement.get_mut(worker) {
                found.record_failure(now);
            }
            core.release_attempt(worker, attempt.id, now);
        });
    }

    fn keep_unresolved(&self, worker: WorkerKey, attempt: &RequestAttempt) {
        self.decide(|core, now| {
            core.keep_unresolved(worker, attempt.id);
            if let Some(found) = core.placement.get_mut(worker) {
                found.record_failure(now);
            }
        });
    }

    /// Finds out from the worker whether a request with a lost answer ran, until
    /// the deadline or [`RESOLVE_TIMEOUT`].
    async fn resolve(
        &self,
        worker: WorkerKey,
        attempt: &RequestAttempt,
        deadline: Moment,
    ) -> AttemptFailure {
        let resolved = self.expect_resolved(attempt.id);
        self.keep_unresolved(worker, attempt);
        let left = Moment::now().until(deadline).min(RESOLVE_TIMEOUT);
        match timeout(left, resolved).await {
            Ok(Ok(RequestState::NotRun)) => AttemptFailure::ProvenNotRun,
            _ => AttemptFailure::Lost,
        }
    }

    /// Forwards a keyed request to the owner of its home shard.
    async fn forward_keyed(&self, host: HostId, call: &ServeCall, charge: &Charge) -> Served {
        let deadline = Moment::now() + Duration::from_millis(call.deadline_ms);
        match self.forward(host, call, deadline, charge).await {
            ForwardOutcome::Served(served) => served,
            ForwardOutcome::NotSent(failure) => Err(failure.refusal()),
            ForwardOutcome::Failed(AttemptFailure::PeerRefused) => {
                Err(refusal(ErrorKind::OwnerUnavailable, &call.service))
            }
            ForwardOutcome::Failed(_) => Err(CallFailure::Lost.refusal()),
        }
    }

    async fn forward(
        &self,
        host: HostId,
        call: &ServeCall,
        deadline: Moment,
        charge: &Charge,
    ) -> ForwardOutcome {
        self.counters.add(Count::Forwarded, 1);
        let left = Moment::now().until(deadline);
        let forwarded = ServeCall {
            forwarded: true,
            deadline_ms: left.as_millis() as u64,
            ..call.clone()
        };
        let keyed = call.key.is_some();
        let call_timeout = left + PEER_CALL_GRACE;
        match self
            .links
            .call(host, PeerCall::Serve(forwarded), call_timeout)
            .await
        {
            Ok(PeerAnswer::Served(answer)) if !charge.grow(answer.body.len() as u64) => {
                ForwardOutcome::Served(Err(refusal(ErrorKind::AnswerTooLarge, &call.service)))
            }
            Ok(PeerAnswer::Served(answer)) => ForwardOutcome::Served(Ok(answer)),
            Ok(PeerAnswer::Refused(refusal))
                if keyed || refusal.kind.response().run != RunStatus::No =>
            {
                ForwardOutcome::Served(Err(refusal))
            }
            Ok(PeerAnswer::Refused(_)) => ForwardOutcome::Failed(AttemptFailure::PeerRefused),
            Ok(_) => ForwardOutcome::Failed(AttemptFailure::WrongAnswer),
            Err(failure @ (CallFailure::NotConnected | CallFailure::OutboxFull)) => {
                ForwardOutcome::NotSent(failure)
            }
            Err(CallFailure::Lost) => ForwardOutcome::Failed(AttemptFailure::Lost),
        }
    }
}

/// What an attempt at a worker means for a request.
enum LocalOutcome {
    /// The answer or refusal that the caller gets.
    Served(Served),
    /// The worker answered with a failure, which is returned if no retry is left.
    WorkerFailed(WorkerAnswer),
    /// The request got no answer; the next step depends on the failure.
    Failed(AttemptFailure),
}

/// What forwarding to a peer means for a request.
enum ForwardOutcome {
    /// The answer or refusal that the caller gets.
    Served(Served),
    /// The request was not sent to the peer.
    NotSent(CallFailure),
    /// The request got no answer; the next step depends on the failure.
    Failed(AttemptFailure),
}

fn worker_request(attempt: &RequestAttempt, call: &ServeCall, timeout: Duration) -> WorkerRequest {
    WorkerRequest {
        id: attempt.id,
        shard: attempt.shard,
        epoch: attempt.epoch,
        boot: attempt.boot,
        method: call.method.clone(),
        path: format!("{}{}", call.service, call.path),
        headers: call.headers.clone(),
        body: call.body.clone(),
        deadline: timeout,
    }
}

/// Returns the answer to a request whose key already has an outcome.
fn stored_answer(outcome: KeyOutcome) -> Served {
    match outcome {
        KeyOutcome::Answered(answer) => Ok(WorkerAnswer {
            status: answer.status,
            headers: answer.headers,
            body: answer.body,
        }),
        KeyOutcome::TooLarge => Err(Refusal::new(
            ErrorKind::AnswerNotKept,
            "the request ran; its answer was too large to keep",
        )),
        KeyOutcome::NotRun | KeyOutcome::Unknown => Err(Refusal::new(
            ErrorKind::AnswerLost,
            "the first request with this key may have run; its answer is lost",
        )),
    }
}

fn refusal(kind: ErrorKind, service: &str) -> Refusal {
    let reason = match kind {
        ErrorKind::DeadlinePassed => "the deadline passed before a worker was free",
        ErrorKind::DeadlineTooShort => {
            "the requests waiting before it need longer than its deadline allows"
        }
        ErrorKind::NoWorker => "no worker is usable",
        ErrorKind::Overloaded => "no worker accepted it and no retry is left",
        ErrorKind::AnswerLost => "a worker may have run it; its answer is lost",
        ErrorKind::AnswerTooLarge => {
            "the worker's answer is over the limit, or the requests in progress leave no memory for it"
        }
        ErrorKind::OwnerUnavailable => "the entry host that owns its key refused it",
        _ => "it was not served",
    };
    Refusal::new(kind, format!("service {service:?}: {reason}"))
}
