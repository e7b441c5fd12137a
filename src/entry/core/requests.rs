//! Interactive requests and their idempotency keys.

use super::{Arrived, Attempted, Core, Effect, Next, not_owner};
use crate::dispatch::{Arrival, AttemptFailure, Candidates, Dispatch, Step};
use crate::ids::{AttemptKey, HostId, RequestId, ShardId, WorkerKey};
use crate::jobs::{KeyOutcome, KeyStep, WallClock};
use crate::kind::ErrorKind;
use crate::moment::Moment;

impl Core {
    /// Takes an interactive request and decides what happens first.
    pub fn arrive(&mut self, arrival: Arrival, now: Moment) -> Arrived {
        let key = self.dispatch.arrive(arrival);
        let next = self.next_step(key, now);
        Arrived { key, next }
    }

    /// Decides what happens to a request that was woken.
    pub fn next_step(&mut self, key: AttemptKey, now: Moment) -> Next {
        self.decide(now, |dispatch, candidates| {
            dispatch.next(key, candidates, now)
        })
    }

    /// Decides what follows an attempt without an answer.
    pub fn ended(&mut self, key: AttemptKey, end: AttemptFailure, now: Moment) -> Next {
        self.decide(now, |dispatch, candidates| {
            dispatch.ended(key, end, candidates, now)
        })
    }

    /// Asks for a step on the workers that this host may use now.
    fn decide(
        &mut self,
        now: Moment,
        step: impl FnOnce(&mut Dispatch, &mut Candidates<'_>) -> Step,
    ) -> Next {
        let shards = self.acting(now);
        let mut candidates = Candidates {
            peer: self.ownership.freest_peer(now),
            placement: &mut self.placement,
            shards: &shards,
        };
        let step = step(&mut self.dispatch, &mut candidates);
        self.reserve(step, now)
    }

    /// Notes that a request that was passed on has ended.
    pub fn pass_ended(&mut self, host: HostId, now: Moment) {
        self.ownership.give_free(host);
        self.wake(now);
    }

    /// Takes the slot that a step needs, in the same decision that found it free.
    fn reserve(&mut self, step: Step, now: Moment) -> Next {
        match step {
            Step::Refuse(kind) => Next::Refuse(kind),
            Step::Wait(until) => Next::Wait(until),
            Step::Forward(host) => {
                self.ownership.take_free(host);
                Next::Pass(host)
            }
            Step::Send { worker, timeout } => match self.begin_attempt(worker, now) {
                Some(attempted) => Next::Send {
                    worker,
                    patience: timeout,
                    attempted,
                },
                None => Next::Refuse(ErrorKind::NoWorker),
            },
        }
    }

    fn begin_attempt(&mut self, worker: WorkerKey, now: Moment) -> Option<Attempted> {
        let found = self.placement.get(worker)?;
        let shard = found.shard;
        let address = found.address.clone();
        let epoch = self.ownership.acting_epoch(shard, now)?;
        self.next_request += 1;
        let id = RequestId {
            host: self.ownership.me(),
            number: self.next_request,
        };
        self.placement.take_slot(worker, id);
        Some(Attempted {
            id,
            shard,
            epoch,
            address,
        })
    }

    /// Frees the slot of an attempt that has certainly ended.
    pub fn free_attempt(&mut self, worker: WorkerKey, id: RequestId, now: Moment) {
        if let Some(worker) = self.placement.get_mut(worker) {
            worker.free_slot(id);
        }
        self.wake(now);
    }

    /// Keeps the slot of an attempt whose answer is lost.
    pub fn doubt_attempt(&mut self, worker: WorkerKey, id: RequestId) {
        if let Some(found) = self.placement.get_mut(worker) {
            found.doubt(id);
        }
        self.effects.push_back(Effect::Call(worker));
    }

    pub(super) fn wake(&mut self, now: Moment) {
        if self.dispatch.waiting() == 0 {
            return;
        }
        let shards = self.acting(now);
        let near = self.placement.free_slots(&shards, now);
        let free = near + self.ownership.peer_slots(now);
        for key in self.dispatch.wake(free as usize) {
            self.effects.push_back(Effect::Wake(key));
        }
    }

    /// Decides on a keyed request whose home shard this host owns.
    pub fn begin_key(
        &mut self,
        shard: ShardId,
        key: u64,
        digest: u64,
        now: Moment,
        wall: WallClock,
    ) -> KeyStep {
        if let Some(refusal) = self.cannot_log(shard, now) {
            return KeyStep::Refuse(refusal);
        }
        let Some(ledger) = self.ledgers.get_mut(&shard) else {
            return KeyStep::Refuse(not_owner(shard));
        };
        let step = ledger.keys.begin(key, digest, wall);
        if let KeyStep::Log(change) = &step {
            self.ownership.append(shard, vec![change.clone()]);
            self.flush(now);
        }
        step
    }

    /// Notes the outcome of a keyed request.
    pub fn end_key(&mut self, shard: ShardId, key: u64, outcome: KeyOutcome, now: Moment) {
        if let Some(ledger) = self.ledgers.get_mut(&shard) {
            let change = ledger.keys.end(key, outcome);
            self.ownership.append(shard, vec![change]);
            self.flush(now);
        }
    }

    /// Drops a key whose intent was not logged.
    pub fn forget_key(&mut self, shard: ShardId, key: u64) {
        if let Some(ledger) = self.ledgers.get_mut(&shard) {
            ledger.keys.forget(key);
        }
    }
}
