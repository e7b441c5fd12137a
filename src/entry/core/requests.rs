//! Decisions on interactive requests and their idempotency keys.

use super::{ArrivedRequest, Core, Effect, NextStep, RequestAttempt, owner_unreachable};
use crate::dispatch::{Arrival, AttemptFailure, Candidates, Dispatch, Step};
use crate::ids::{HostId, RequestId, RequestKey, ShardId, WorkerKey};
use crate::jobs::{KeyOutcome, KeyStep, WallClock};
use crate::kind::{ErrorKind, Refusal};
use crate::moment::Moment;

impl Core {
    /// Counts a request in the quota of its team.
    ///
    /// # Errors
    ///
    /// Refuses a team that is not configured any more, and one whose quota is used up.
    pub fn acquire_quota(&mut self, team: &str) -> Result<(), Refusal> {
        let found = self.configuration()?.team(team).cloned();
        let found = found.ok_or_else(|| {
            let message = format!("team {team:?} is not configured");
            Refusal::new(ErrorKind::UnknownTeam, message)
        })?;
        self.quotas.acquire(&found)
    }

    /// Adds an interactive request and decides its first step.
    pub fn arrive(&mut self, arrival: Arrival, now: Moment) -> ArrivedRequest {
        let key = self.dispatch.arrive(arrival);
        let next = self.next_step(key, now);
        ArrivedRequest { key, next }
    }

    /// Decides the next step of a request that was woken or whose wait ended.
    pub fn next_step(&mut self, key: RequestKey, now: Moment) -> NextStep {
        self.decide_step(now, |dispatch, candidates| {
            dispatch.next(key, candidates, now)
        })
    }

    /// Decides the next step after an attempt that did not answer the request.
    pub fn on_attempt_failed(
        &mut self,
        key: RequestKey,
        failure: AttemptFailure,
        now: Moment,
    ) -> NextStep {
        self.decide_step(now, |dispatch, candidates| {
            dispatch.on_failure(key, failure, candidates, now)
        })
    }

    /// Decides a step on the workers that this host may use now, and takes the
    /// slot that it needs.
    fn decide_step(
        &mut self,
        now: Moment,
        step: impl FnOnce(&mut Dispatch, &mut Candidates<'_>) -> Step,
    ) -> NextStep {
        let shards = self.acting_shards(now);
        let mut candidates = Candidates {
            peer: self.ownership.freest_peer(now),
            elsewhere: self.ownership.has_serving_peer(now),
            placement: &mut self.placement,
            shards: &shards,
        };
        let step = step(&mut self.dispatch, &mut candidates);
        self.apply_step(step, now)
    }

    /// Releases the slot that a request forwarded to a peer reserved there.
    pub fn on_forward_ended(&mut self, host: HostId, now: Moment) {
        self.ownership.release_slot(host);
        self.wake(now);
    }

    /// Takes the slot that a step needs. This belongs to the decision that found
    /// it free: otherwise another request could take the slot in between.
    fn apply_step(&mut self, step: Step, now: Moment) -> NextStep {
        match step {
            Step::Refuse(kind) => NextStep::Refuse(kind),
            Step::Wait(until) => NextStep::Wait(until),
            Step::Forward(host) => {
                self.ownership.reserve_slot(host);
                NextStep::Forward(host)
            }
            Step::Send { worker, timeout } => match self.begin_attempt(worker, now) {
                Some(attempt) => NextStep::Send {
                    worker,
                    timeout,
                    attempt,
                },
                None => NextStep::Refuse(ErrorKind::NoWorker),
            },
        }
    }

    fn begin_attempt(&mut self, worker: WorkerKey, now: Moment) -> Option<RequestAttempt> {
        let found = self.placement.get(worker)?;
        let shard = found.shard;
        let address = found.address.clone();
        let boot = found.boot?;
        let epoch = self.ownership.acting_epoch(shard, now)?;
        self.next_request += 1;
        let id = RequestId {
            host: self.ownership.me(),
            number: self.next_request,
        };
        self.placement.take_slot(worker, id);
        Some(RequestAttempt {
            id,
            shard,
            epoch,
            boot,
            address,
        })
    }

    /// Releases the slot of an attempt that has certainly ended.
    pub fn release_attempt(&mut self, worker: WorkerKey, id: RequestId, now: Moment) {
        if let Some(worker) = self.placement.get_mut(worker) {
            worker.release_slot(id);
        }
        self.wake(now);
    }

    /// Keeps the slot of an attempt whose answer was lost, and calls the worker
    /// to find out whether it ran.
    pub fn keep_unresolved(&mut self, worker: WorkerKey, id: RequestId) {
        if let Some(found) = self.placement.get_mut(worker) {
            found.mark_unresolved(id);
        }
        self.effects.push_back(Effect::Sync(worker));
    }

    /// Wakes as many waiting requests as there are free slots here and at the
    /// freest peer.
    pub(super) fn wake(&mut self, now: Moment) {
        if self.dispatch.waiting() == 0 {
            return;
        }
        let shards = self.acting_shards(now);
        let local = self.placement.free_slots(&shards, now);
        let free = local + self.ownership.peer_slots(now);
        for key in self.dispatch.wake(free as usize) {
            self.effects.push_back(Effect::Wake(key));
        }
    }

    /// Decides on a request with an idempotency key whose home shard this host
    /// owns. One with a known key is not refused because nothing can be logged now:
    /// the refusal would say that it did not run.
    pub fn begin_key(
        &mut self,
        shard: ShardId,
        key: u64,
        digest: u64,
        now: Moment,
        wall: WallClock,
    ) -> KeyStep {
        if let Some(refusal) = self.cannot_log(shard, now) {
            let ledger = self.ledgers.get(&shard);
            let repeated = ledger.and_then(|ledger| ledger.keys.repeated(key, digest));
            return repeated.unwrap_or(KeyStep::Refuse(refusal));
        }
        let Some(ledger) = self.ledgers.get_mut(&shard) else {
            return KeyStep::Refuse(owner_unreachable(shard));
        };
        let step = ledger.keys.begin(key, digest, wall);
        if let KeyStep::Log(change) = &step {
            self.ownership.append(shard, vec![change.clone()]);
            self.flush(now);
        }
        step
    }

    /// Logs the outcome of a request with an idempotency key.
    pub fn end_key(&mut self, shard: ShardId, key: u64, outcome: KeyOutcome, now: Moment) {
        if let Some(ledger) = self.ledgers.get_mut(&shard) {
            let change = ledger.keys.end(key, outcome);
            self.ownership.append(shard, vec![change]);
            self.flush(now);
        }
    }

    /// Removes a key whose intent was not logged.
    pub fn forget_key(&mut self, shard: ShardId, key: u64) {
        if let Some(ledger) = self.ledgers.get_mut(&shard) {
            ledger.keys.forget(key);
        }
    }
}
