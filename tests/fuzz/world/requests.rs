//! Interactive requests in the world: sent, late, lost, settled, refused.

use std::collections::BTreeSet;
use std::time::Duration;

use lycheelock::dispatch::{Arrival, End};
use lycheelock::entry::{Attempted, Next};
use lycheelock::ids::{AttemptKey, HostId, RequestId, WorkerKey};
use lycheelock::kind::RunStatus;
use lycheelock::moment::Moment;

use super::World;

const DEADLINE: Duration = Duration::from_secs(4);
/// How long a sender waits to hear whether a request ran.
const SETTLE_WAIT: Duration = Duration::from_secs(1);
/// How long a worker takes for a request.
const SERVICE: Duration = Duration::from_millis(700);

/// What a worker runs for callers.
#[derive(Default)]
pub struct Serving {
    running: Vec<Running>,
    ended: BTreeSet<RequestId>,
}

struct Running {
    id: RequestId,
    until: Moment,
}

/// One attempt on its way, at the worker, or answered.
pub struct Flight {
    host: usize,
    owner: HostId,
    key: AttemptKey,
    worker_key: WorkerKey,
    worker: usize,
    attempted: Attempted,
    mark: u64,
    once: bool,
    arrives: Moment,
    gives_up: Moment,
    stage: Stage,
    /// Until when its sender waits to hear of its fate.
    settles: Option<Moment>,
    /// The worker said that it did not run and never will.
    proven: bool,
    /// The caller's side has given up on it.
    abandoned: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    Travelling,
    Running,
    Answered,
    Refused,
}

impl Flight {
    /// Whether the restart of a worker leaves this attempt as it is: one that
    /// was running there never ends, and its sender gives up on it.
    pub const fn outlives(&self, worker: usize) -> bool {
        self.worker != worker || !self.abandoned
    }
}

impl Serving {
    pub fn ids(&self) -> Vec<RequestId> {
        self.running.iter().map(|each| each.id).collect()
    }

    pub fn has_ended(&self, id: RequestId) -> bool {
        self.ended.contains(&id)
    }

    fn end_due(&mut self, now: Moment) {
        let due = self.running.iter().filter(|each| each.until <= now);
        self.ended.extend(due.map(|each| each.id));
        self.running.retain(|each| each.until > now);
    }
}

impl World {
    /// A caller sends a request to a host.
    pub fn request(&mut self, number: usize, once: bool) {
        if self.hosts[number].paused {
            return;
        }
        let mark = self.oracle.next_mark(once);
        let now = self.now;
        let arrival = Arrival {
            service: "s".to_owned(),
            deadline: now + DEADLINE,
            once,
            passed: false,
        };
        let arrived = self.hosts[number].core.arrive(arrival, now);
        self.follow(number, arrived.key, arrived.next, mark, once);
        self.effects(number);
    }

    fn follow(&mut self, number: usize, key: AttemptKey, next: Next, mark: u64, once: bool) {
        let now = self.now;
        match next {
            Next::Send {
                worker,
                patience,
                attempted,
            } => {
                let name = self.hosts[number].core.placement.get(worker);
                let name = name.map(|worker| worker.name.clone());
                let place = self
                    .workers
                    .iter()
                    .position(|each| Some(&each.host.name) == name.as_ref());
                let place = place.expect("a known worker");
                self.flights.push(Flight {
                    host: number,
                    owner: self.hosts[number].id,
                    key,
                    worker_key: worker,
                    worker: place,
                    attempted,
                    mark,
                    once,
                    arrives: now + self.workers[place].delay,
                    gives_up: now + patience,
                    stage: Stage::Travelling,
                    settles: None,
                    proven: false,
                    abandoned: false,
                });
            }
            Next::Refuse(kind) => {
                self.hosts[number].core.dispatch.finish(key);
                self.oracle.told(mark, kind.response().run);
            }
            // The caller goes away instead of waiting; nothing was sent for this step.
            Next::Wait(_) | Next::Pass(_) => self.hosts[number].core.dispatch.finish(key),
        }
    }

    /// A worker told its owner that a request did not run.
    pub(super) fn prove_not_run(&mut self, id: RequestId) {
        let mut flights = self.flights.iter_mut();
        if let Some(flight) = flights.find(|flight| flight.attempted.id == id) {
            flight.proven = true;
        }
    }

    pub(super) fn run_flights(&mut self) {
        let now = self.now;
        for worker in &mut self.workers {
            worker.serving.end_due(now);
        }
        let mut flights = std::mem::take(&mut self.flights);
        for flight in &mut flights {
            self.arrive_at_worker(flight);
        }
        for flight in &mut flights {
            self.return_to_host(flight);
        }
        flights.retain(|flight| {
            let travels = flight.stage == Stage::Travelling;
            let late = now < flight.arrives + Duration::from_secs(40);
            !flight.abandoned || (travels && late)
        });
        flights.append(&mut self.flights);
        self.flights = flights;
    }

    /// A request takes effect even after its sender gave up on it.
    fn arrive_at_worker(&mut self, flight: &mut Flight) {
        let now = self.now;
        let worker = &mut self.workers[flight.worker];
        let id = flight.attempted.id;
        if flight.stage == Stage::Running && worker.serving.has_ended(id) {
            flight.stage = Stage::Answered;
        }
        if flight.stage != Stage::Travelling || now < flight.arrives || worker.silent {
            return;
        }
        let (shard, epoch) = (flight.attempted.shard, flight.attempted.epoch);
        if !worker.model.admits(id, shard, epoch) {
            flight.stage = Stage::Refused;
            return;
        }
        let slots = worker.host.slots as usize;
        assert!(
            worker.serving.running.len() < slots,
            "{} was given more than its {slots} slots",
            worker.host.name
        );
        worker.serving.running.push(Running {
            id,
            until: now + SERVICE,
        });
        flight.stage = Stage::Running;
        self.oracle.ran(flight.mark);
    }

    fn return_to_host(&mut self, flight: &mut Flight) {
        let now = self.now;
        let host = &mut self.hosts[flight.host];
        if flight.abandoned || host.paused {
            return;
        }
        if host.id != flight.owner {
            flight.abandoned = true;
            return;
        }
        let silent = self.workers[flight.worker].silent;
        let over = now >= flight.gives_up;
        let id = flight.attempted.id;
        let end = match flight.stage {
            Stage::Answered if !silent && !over => {
                host.core.free_attempt(flight.worker_key, id, now);
                host.core.dispatch.finish(flight.key);
                self.oracle.told(flight.mark, RunStatus::Yes);
                flight.abandoned = true;
                return;
            }
            Stage::Refused if !silent && !over => {
                host.core.free_attempt(flight.worker_key, id, now);
                End::Refused
            }
            _ if flight.proven => End::ProvenNotRun,
            _ if flight.settles.is_some_and(|until| now >= until) => End::Lost,
            _ if over && flight.settles.is_none() => {
                host.core.doubt_attempt(flight.worker_key, id);
                flight.settles = Some(now + SETTLE_WAIT);
                return;
            }
            _ => return,
        };
        flight.abandoned = true;
        let next = host.core.ended(flight.key, end, now);
        let (number, key, mark, once) = (flight.host, flight.key, flight.mark, flight.once);
        self.follow(number, key, next, mark, once);
        self.effects(number);
    }
}
