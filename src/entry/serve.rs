//! How an entry host carries out an interactive request.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

use super::core::{Attempted, Home, LogResult, Next, Token};
use super::node::Node;
use crate::counters::Count;
use crate::dispatch::{Arrival, End};
use crate::ids::{AttemptKey, HostId, WorkerKey, stable_hash};
use crate::jobs::{KeptAnswer, KeyOutcome, KeyStep, Wall};
use crate::kind::{ErrorKind, Refusal, Run};
use crate::moment::Moment;
use crate::peers::{CallFailure, KeyCall, PeerAnswer, PeerCall, ServeCall};
use crate::workers::{AttemptEnd, AttemptRequest, Fate, WorkerAnswer, WorkerClient};

/// The lowest HTTP status that says that the worker failed.
const FAILURE: u16 = 500;
/// The longest wait for the fate of a request whose answer is lost.
const SETTLE_WAIT: Duration = Duration::from_secs(1);
/// Added to a call to a peer, so that the peer's own answer comes first.
const PEER_GRACE: Duration = Duration::from_millis(200);

type Served = Result<WorkerAnswer, Refusal>;

impl Node {
    /// The home of an idempotency key.
    pub(crate) fn key_call(&self, team: &str, key: &str, call: &ServeCall) -> Option<KeyCall> {
        let hash = stable_hash(format!("{team}\n{key}").as_bytes());
        let mut text = format!("{} {} {}\n", call.method, call.service, call.path).into_bytes();
        text.extend_from_slice(&call.body);
        let configuration = self.look(|core, _| core.configuration().ok()?.home_shard(hash));
        Some(KeyCall {
            shard: configuration?,
            key: hash,
            digest: stable_hash(&text),
        })
    }

    /// Serves a request of a caller, here or at the home of its key. It goes
    /// on to its end also when the caller has gone.
    pub(crate) async fn serve(self: &Arc<Self>, call: ServeCall) -> Served {
        let node = self.clone();
        let served = tokio::spawn(async move {
            match call.key {
                Some(key) => node.serve_keyed(call, key).await,
                None => node.serve_here(&call).await,
            }
        });
        let served = served.await.unwrap_or_else(|error| {
            let message = format!("the request's task ended: {error}");
            Err(Refusal::new(ErrorKind::Internal, message))
        });
        if served.is_ok() {
            self.counters.add(Count::Answered, 1);
        }
        served
    }

    async fn serve_keyed(self: &Arc<Self>, call: ServeCall, key: KeyCall) -> Served {
        match self.look(|core, now| core.home(key.shard, now)) {
            Home::Here => self.serve_once(&call, key).await,
            Home::Peer(host) if !call.passed => self.pass(host, &call).await,
            Home::Peer(_) | Home::Nowhere => {
                let message = format!("the owner of shard {} is out of reach", key.shard);
                Err(Refusal::new(ErrorKind::OwnerUnavailable, message))
            }
        }
    }

    /// Logs the intent, sends the request at most once, logs the outcome.
    async fn serve_once(self: &Arc<Self>, call: &ServeCall, key: KeyCall) -> Served {
        let token = Token::Key(key.shard, key.key);
        let (step, logged) = self.decide(|core, now| {
            let step = core.begin_key(key.shard, key.key, key.digest, now, Wall::now());
            let logs = matches!(step, KeyStep::Log(_));
            (step, logs.then(|| self.expect_logged(token)))
        });
        match step {
            KeyStep::Stored(outcome) => return stored(outcome),
            KeyStep::Refuse(refusal) => return Err(refusal),
            KeyStep::Log(_) => {}
        }
        let deadline = Duration::from_millis(call.deadline_ms);
        if let Some(logged) = logged {
            let result = timeout(deadline, logged).await;
            self.check_intent(key, result.ok().and_then(Result::ok))?;
        }
        let served = self.serve_here(call).await;
        let outcome = self.outcome(&served);
        self.decide(|core, now| core.end_key(key.shard, key.key, outcome, now));
        served
    }

    /// Nothing was sent yet, so a refusal here says "not run".
    fn check_intent(&self, key: KeyCall, result: Option<LogResult>) -> Result<(), Refusal> {
        match result {
            Some(LogResult::Logged) => return Ok(()),
            Some(LogResult::NotLogged) => {
                self.decide(|core, _| core.forget_key(key.shard, key.key));
            }
            Some(LogResult::Unknown) => {}
            None => {
                // The intent may still be logged; the key is then free again.
                let outcome = KeyOutcome::NotRun;
                self.decide(|core, now| core.end_key(key.shard, key.key, outcome, now));
            }
        }
        let message = "the intent could not be logged; nothing was sent";
        Err(Refusal::new(ErrorKind::StoreUnavailable, message))
    }

    fn outcome(&self, served: &Served) -> KeyOutcome {
        match served {
            Ok(answer) if answer.body.len() as u64 <= self.settings.limits.stored_answer => {
                KeyOutcome::Answered(KeptAnswer {
                    status: answer.status,
                    headers: answer.headers.clone(),
                    body: answer.body.clone(),
                })
            }
            Ok(_) => KeyOutcome::TooLarge,
            Err(refusal) => match refusal.kind.row().run {
                Run::No => KeyOutcome::NotRun,
                Run::Unknown => KeyOutcome::Unknown,
                Run::Yes => KeyOutcome::TooLarge,
            },
        }
    }

    /// Serves a request with this zone's workers.
    pub(crate) async fn serve_here(self: &Arc<Self>, call: &ServeCall) -> Served {
        let arrival = Arrival {
            service: call.service.clone(),
            deadline: Moment::now() + Duration::from_millis(call.deadline_ms),
            once: call.once,
            passed: call.passed,
        };
        let deadline = arrival.deadline;
        let arrived = self.decide(|core, now| core.arrive(arrival, now));
        let served = self.follow(arrived.key, arrived.next, call, deadline).await;
        self.decide(|core, _| core.dispatch.finish(arrived.key));
        self.forget_wait(arrived.key);
        served
    }

    async fn follow(
        self: &Arc<Self>,
        key: AttemptKey,
        first: Next,
        call: &ServeCall,
        deadline: Moment,
    ) -> Served {
        let mut next = first;
        let mut failure = None;
        loop {
            next = match next {
                Next::Refuse(kind) => {
                    return failure.ok_or_else(|| refusal(kind, &call.service));
                }
                Next::Wait(until) => {
                    self.wait_woken(key, until).await;
                    self.decide(|core, now| core.next_step(key, now))
                }
                Next::Pass(host) => {
                    let passed = self.pass_on(host, call, deadline).await;
                    self.decide(|core, now| core.pass_ended(host, now));
                    match passed {
                        Passed::Served(served) => return served,
                        Passed::Ended(end) => self.decide(|core, now| core.ended(key, end, now)),
                    }
                }
                Next::Send {
                    worker,
                    patience,
                    attempted,
                } => {
                    let tried = self.attempt(worker, attempted, call, patience, deadline);
                    match tried.await {
                        Tried::Served(served) => return served,
                        Tried::Failed(answer) => {
                            failure = Some(answer);
                            self.decide(|core, now| core.ended(key, End::Failed, now))
                        }
                        Tried::Ended(end) => self.decide(|core, now| core.ended(key, end, now)),
                    }
                }
            };
        }
    }

    async fn attempt(
        self: &Arc<Self>,
        worker: WorkerKey,
        attempted: Attempted,
        call: &ServeCall,
        patience: Duration,
        deadline: Moment,
    ) -> Tried {
        let begun = Moment::now();
        let limit = self.settings.limits.answer;
        let client = WorkerClient::new(self.http.clone(), &attempted.address, limit);
        let end = client.attempt(request(&attempted, call, patience)).await;
        match end {
            AttemptEnd::Answer(answer) => {
                self.note_answer(worker, &attempted, &answer, begun);
                match answer.status >= FAILURE && !call.once {
                    true => Tried::Failed(answer),
                    false => Tried::Served(Ok(answer)),
                }
            }
            AttemptEnd::TooLarge => {
                self.doubt(worker, &attempted);
                Tried::Served(Err(refusal(ErrorKind::AnswerTooLarge, &call.service)))
            }
            AttemptEnd::Refused(_) => {
                self.free(worker, &attempted);
                Tried::Ended(End::Refused)
            }
            AttemptEnd::NotSent(_) => {
                self.fail(worker, &attempted);
                Tried::Ended(End::NotSent)
            }
            AttemptEnd::WrongAnswer => {
                self.doubt(worker, &attempted);
                Tried::Ended(End::WrongAnswer)
            }
            AttemptEnd::Lost(_) => Tried::Ended(self.settle(worker, &attempted, deadline).await),
        }
    }

    fn note_answer(
        &self,
        worker: WorkerKey,
        attempted: &Attempted,
        answer: &WorkerAnswer,
        begun: Moment,
    ) {
        self.decide(|core, now| {
            let latency = now - begun;
            core.dispatch.answered(latency);
            core.placement.note_latency(worker, latency);
            if let Some(found) = core.placement.get_mut(worker) {
                match answer.status >= FAILURE {
                    true => found.note_failure(now),
                    false => found.note_success(),
                }
            }
            core.free_attempt(worker, attempted.id, now);
        });
    }

    fn free(&self, worker: WorkerKey, attempted: &Attempted) {
        self.decide(|core, now| {
            if let Some(found) = core.placement.get_mut(worker) {
                found.end_probe(now);
            }
            core.free_attempt(worker, attempted.id, now);
        });
    }

    fn fail(&self, worker: WorkerKey, attempted: &Attempted) {
        self.decide(|core, now| {
            if let Some(found) = core.placement.get_mut(worker) {
                found.note_failure(now);
            }
            core.free_attempt(worker, attempted.id, now);
        });
    }

    fn doubt(&self, worker: WorkerKey, attempted: &Attempted) {
        self.decide(|core, now| {
            core.doubt_attempt(worker, attempted.id);
            if let Some(found) = core.placement.get_mut(worker) {
                found.note_failure(now);
            }
        });
    }

    /// Asks the worker whether a request without an answer ran.
    async fn settle(&self, worker: WorkerKey, attempted: &Attempted, deadline: Moment) -> End {
        let fate = self.expect_settled(attempted.id);
        self.doubt(worker, attempted);
        let left = Moment::now().until(deadline).min(SETTLE_WAIT);
        match timeout(left, fate).await {
            Ok(Ok(Fate::NotRun)) => End::ProvenNotRun,
            _ => End::Lost,
        }
    }

    /// Passes a keyed request on to its home.
    async fn pass(&self, host: HostId, call: &ServeCall) -> Served {
        let deadline = Moment::now() + Duration::from_millis(call.deadline_ms);
        match self.pass_on(host, call, deadline).await {
            Passed::Served(served) => served,
            Passed::Ended(End::NotSent) => Err(CallFailure::NotSent.refusal()),
            Passed::Ended(End::PeerRefused) => {
                Err(refusal(ErrorKind::OwnerUnavailable, &call.service))
            }
            Passed::Ended(_) => Err(CallFailure::Lost.refusal()),
        }
    }

    async fn pass_on(&self, host: HostId, call: &ServeCall, deadline: Moment) -> Passed {
        self.counters.add(Count::Forwarded, 1);
        let left = Moment::now().until(deadline);
        let passed = ServeCall {
            passed: true,
            deadline_ms: left.as_millis() as u64,
            ..call.clone()
        };
        let keyed = call.key.is_some();
        let patience = left + PEER_GRACE;
        match self
            .links
            .call(host, PeerCall::Serve(passed), patience)
            .await
        {
            Ok(PeerAnswer::Served(answer)) => Passed::Served(Ok(answer)),
            Ok(PeerAnswer::Refused(refusal)) if keyed || refusal.kind.row().run != Run::No => {
                Passed::Served(Err(refusal))
            }
            Ok(PeerAnswer::Refused(_)) => Passed::Ended(End::PeerRefused),
            Ok(_) => Passed::Ended(End::WrongAnswer),
            Err(CallFailure::NotSent) => Passed::Ended(End::NotSent),
            Err(CallFailure::Lost) => Passed::Ended(End::Lost),
        }
    }
}

/// What an attempt at a worker came to.
enum Tried {
    Served(Served),
    /// A failure of the worker's own; it is the answer if no retry is left.
    Failed(WorkerAnswer),
    Ended(End),
}

/// What passing a request on came to.
enum Passed {
    Served(Served),
    Ended(End),
}

fn request(attempted: &Attempted, call: &ServeCall, patience: Duration) -> AttemptRequest {
    AttemptRequest {
        id: attempted.id,
        shard: attempted.shard,
        epoch: attempted.epoch,
        method: call.method.clone(),
        path: format!("{}{}", call.service, call.path),
        headers: call.headers.clone(),
        body: call.body.clone(),
        deadline: patience,
    }
}

fn stored(outcome: KeyOutcome) -> Served {
    match outcome {
        KeyOutcome::Answered(kept) => Ok(WorkerAnswer {
            status: kept.status,
            headers: kept.headers,
            body: kept.body,
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
    let why = match kind {
        ErrorKind::DeadlinePassed => "the deadline passed before a worker was free",
        ErrorKind::DeadlineTooShort => "the requests before it need longer than its deadline",
        ErrorKind::NoWorker => "no worker is usable",
        ErrorKind::Overloaded => "no worker took it and no retry is left",
        ErrorKind::AnswerLost => "a worker may have run it; its answer is lost",
        ErrorKind::AnswerTooLarge => "the worker's answer is over the limit",
        ErrorKind::OwnerUnavailable => "the entry host that owns its key refused it",
        _ => "it was not served",
    };
    Refusal::new(kind, format!("service {service:?}: {why}"))
}
