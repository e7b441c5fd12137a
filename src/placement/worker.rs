//! State of one worker as seen by the owner of its shard.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::configuration::Size;
use crate::drain::ZoneState;
use crate::ids::{HostId, RequestId, ShardId};
use crate::moment::Moment;
use crate::workers::BootId;

/// Consecutive failures after which a worker is quarantined.
const QUARANTINE_FAILURES: u32 = 5;
/// Duration of the first quarantine; doubles with each failed probe.
const MIN_QUARANTINE: Duration = Duration::from_secs(2);
/// Upper limit of the quarantine duration.
const MAX_QUARANTINE: Duration = Duration::from_secs(60);

/// Whether the worker answers `sync` calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Contact {
    /// The worker has not reported since this host took over its shard.
    Unreported,
    /// The worker answered the last call.
    Reachable,
    /// The last call to the worker had no answer.
    Silent {
        /// When the first call without an answer timed out.
        since: Moment,
    },
}

/// Whether the worker may be given work, judged by its failures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// Work is assigned without restriction.
    Healthy,
    /// The worker failed repeatedly: no work is assigned until the quarantine
    /// ends, then a single probe.
    Quarantined {
        /// When the quarantine ends and a probe is allowed.
        until: Moment,
        /// How long the next quarantine lasts if the probe fails.
        next: Duration,
    },
    /// One request or task was assigned to test whether the worker still fails.
    Probing {
        /// How long the next quarantine lasts if the probe fails.
        next: Duration,
    },
}

/// A worker, its limits and its current usage.
#[derive(Debug)]
pub struct Worker {
    /// Name in the host list.
    pub name: String,
    /// Address of the worker's HTTP server.
    pub address: String,
    /// Address in the host list. While it differs, the process at the other address
    /// may still run tasks, and the worker receives no new work.
    pub listed_address: String,
    /// Shard that the worker belongs to.
    pub shard: ShardId,
    /// Total capacity for batch tasks, including the reserve.
    pub size: Size,
    /// Maximum number of interactive requests that run concurrently.
    pub slots: u32,
    /// Maximum number of connections for interactive requests.
    pub connections: u32,
    /// Whether the host list contains the worker.
    pub listed: bool,
    /// Whether the worker is leaving and receives no new work.
    pub leaving: bool,
    /// Whether the worker is in the roster in the shard's log, which it must be
    /// to run batch tasks.
    pub in_roster: bool,
    /// Whether the worker answers `sync` calls.
    pub contact: Contact,
    /// Whether the worker may be given work, judged by its failures.
    pub health: Health,
    /// Worker process that answered last; `None` before the first answer.
    pub boot: Option<BootId>,
    /// Total size of the batch tasks placed on the worker.
    pub used: Size,
    /// When the last report arrived; `None` if there was none since this host
    /// took over the shard.
    pub last_report: Option<Moment>,
    /// Speed limit of batch tasks, in percent of full speed.
    pub batch_speed: u32,
    /// CPU use according to the last report, in percent.
    pub load: u32,
    /// Number of batch tasks that run according to the last report.
    pub running: u32,
    /// Requests that this host sent, with the worker process each was sent to.
    own_requests: BTreeMap<RequestId, Option<BootId>>,
    /// Requests of this host whose answer was lost and of which it is not known
    /// whether they ran.
    unresolved: BTreeSet<RequestId>,
    /// Number of running requests that other hosts sent.
    foreign_requests: u32,
    /// Consecutive failures.
    failures: u32,
}

/// A worker as shown on status pages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerView {
    /// Name in the host list.
    pub name: String,
    /// Shard that the worker belongs to.
    pub shard: ShardId,
    /// `usable`, or the reason why the worker is not usable.
    pub state: String,
    /// Interactive requests that occupy a slot.
    pub requests: u32,
    /// Maximum number of interactive requests that run concurrently.
    pub slots: u32,
    /// Total size of the batch tasks placed on the worker.
    pub used: Size,
    /// Total capacity for batch tasks.
    pub size: Size,
}

impl Worker {
    pub(super) fn new(name: &str, address: &str, shard: ShardId) -> Self {
        Self {
            name: name.to_owned(),
            address: address.to_owned(),
            listed_address: address.to_owned(),
            shard,
            size: Size::default(),
            slots: 0,
            connections: 0,
            listed: false,
            leaving: false,
            in_roster: false,
            contact: Contact::Unreported,
            health: Health::Healthy,
            boot: None,
            used: Size::default(),
            last_report: None,
            batch_speed: 100,
            load: 0,
            running: 0,
            own_requests: BTreeMap::new(),
            unresolved: BTreeSet::new(),
            foreign_requests: 0,
            failures: 0,
        }
    }

    /// Returns the number of interactive requests that occupy a slot.
    pub fn requests(&self) -> u32 {
        self.own_requests.len() as u32 + self.foreign_requests
    }

    /// Returns the number of free slots for interactive requests.
    pub fn free_slots(&self) -> u32 {
        let limit = self.slots.min(self.connections);
        limit.saturating_sub(self.requests())
    }

    /// Whether the worker may be given new work.
    pub fn is_usable(&self, now: Moment) -> bool {
        let healthy = match self.health {
            Health::Healthy => true,
            Health::Quarantined { until, .. } => now >= until,
            Health::Probing { .. } => false,
        };
        healthy && !self.leaving && !self.is_moving() && self.contact == Contact::Reachable
    }

    /// Whether the host list names another address than the one that is called.
    pub fn is_moving(&self) -> bool {
        self.address != self.listed_address
    }

    /// Calls the worker at this address from now on; it has to report first.
    pub fn move_to(&mut self, address: &str) {
        self.address = address.to_owned();
        self.contact = Contact::Unreported;
        self.in_roster = false;
        self.last_report = None;
    }

    /// Occupies a slot for an interactive request that is about to be sent.
    pub fn take_slot(&mut self, id: RequestId) {
        self.own_requests.insert(id, self.boot);
        self.begin_probe();
    }

    /// Releases the slot of an interactive request that has certainly ended.
    pub fn release_slot(&mut self, id: RequestId) {
        self.own_requests.remove(&id);
        self.unresolved.remove(&id);
    }

    /// Keeps the slot of a request whose answer was lost until it is known whether
    /// the request ran.
    pub fn mark_unresolved(&mut self, id: RequestId) {
        if self.own_requests.contains_key(&id) {
            self.unresolved.insert(id);
        }
    }

    /// Returns the requests with a lost answer of which it is not known whether they
    /// ran.
    pub fn unresolved(&self) -> Vec<RequestId> {
        self.unresolved.iter().copied().collect()
    }

    /// Whether a request was sent to this process of the worker. Another
    /// process cannot know whether the request ran.
    pub fn was_sent_to(&self, id: RequestId, boot: BootId) -> bool {
        self.own_requests.get(&id) == Some(&Some(boot))
    }

    /// Updates the number of requests that other hosts have running on the worker.
    pub fn set_foreign_requests(&mut self, running: &[RequestId], me: HostId) {
        let others = running.iter().filter(|id| id.host != me);
        self.foreign_requests = others.count() as u32;
    }

    /// Marks the worker as being probed if it was quarantined.
    pub fn begin_probe(&mut self) {
        if let Health::Quarantined { next, .. } = self.health {
            self.health = Health::Probing { next };
        }
    }

    /// Records a success, which ends a quarantine.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.health = Health::Healthy;
    }

    /// Records a failure and starts a quarantine after a failed probe or too
    /// many failures in a row.
    pub fn record_failure(&mut self, now: Moment) {
        self.failures += 1;
        let duration = match self.health {
            Health::Probing { next } => next,
            Health::Quarantined { .. } => return,
            Health::Healthy if self.failures >= QUARANTINE_FAILURES => MIN_QUARANTINE,
            Health::Healthy => return,
        };
        self.health = Health::Quarantined {
            until: now + duration,
            next: (duration * 2).min(MAX_QUARANTINE),
        };
    }

    /// Ends a probe without a result, so that the next request or task is a probe again.
    pub fn end_probe(&mut self, now: Moment) {
        if let Health::Probing { next } = self.health {
            self.health = Health::Quarantined { until: now, next };
        }
    }

    /// Clears the counts when the shard is gained or lost; requests of this
    /// host that still run keep their slots.
    pub(super) fn reset(&mut self) {
        self.contact = Contact::Unreported;
        self.in_roster = false;
        self.used = Size::default();
        self.foreign_requests = 0;
        self.running = 0;
        self.last_report = None;
    }

    /// Returns the worker as shown on status pages.
    pub fn view(&self, zone: ZoneState, now: Moment) -> WorkerView {
        let state = match (self.leaving, self.contact, self.health) {
            (true, _, _) => "leaving",
            (_, Contact::Unreported, _) => "unasked",
            _ if self.is_moving() => "moving",
            (_, Contact::Silent { .. }, _) => "silent",
            _ if zone == ZoneState::Evacuated => "evacuated",
            (_, _, Health::Quarantined { until, .. }) if now < until => "quarantined",
            (_, _, Health::Quarantined { .. } | Health::Probing { .. }) => "probing",
            (_, Contact::Reachable, Health::Healthy) => "usable",
        };
        WorkerView {
            name: self.name.clone(),
            shard: self.shard,
            state: state.to_owned(),
            requests: self.requests(),
            slots: self.slots,
            used: self.used,
            size: self.size,
        }
    }
}
