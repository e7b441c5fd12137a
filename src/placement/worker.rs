//! One worker as its owner counts it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::configuration::Size;
use crate::ids::{HostId, RequestId, ShardId};
use crate::moment::Moment;
use crate::workers::BootId;

/// Failures in a row after which a worker is quarantined.
const QUARANTINE_AFTER: u32 = 5;
const FIRST_QUARANTINE: Duration = Duration::from_secs(2);
const LONGEST_QUARANTINE: Duration = Duration::from_secs(60);

/// Whether the worker has told what it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Contact {
    /// Not since this host owns its shard.
    Unasked,
    /// It answers.
    Good,
    /// Its last call had no answer.
    Silent {
        /// Since when.
        since: Moment,
    },
}

/// Whether the worker may be trusted with work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It may.
    Fine,
    /// It failed everything; nothing is sent until this point, then one probe.
    Quarantined {
        /// When it is probed.
        until: Moment,
        /// How long the next quarantine lasts if the probe fails.
        next: Duration,
    },
    /// One piece of work is out to see whether it still fails.
    Probing {
        /// How long the next quarantine lasts if the probe fails.
        next: Duration,
    },
}

/// One worker.
#[derive(Debug)]
pub struct Worker {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: String,
    /// Its shard.
    pub shard: ShardId,
    /// What it holds of batch work.
    pub size: Size,
    /// Interactive requests that run at once.
    pub slots: u32,
    /// Connections for interactive requests.
    pub connections: u32,
    /// Whether the host list has it.
    pub listed: bool,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Whether the shard's log says that it may run batch tasks.
    pub enrolled: bool,
    /// Whether it has told what it runs.
    pub contact: Contact,
    /// Whether it may be trusted with work.
    pub health: Health,
    /// The process that answered last.
    pub boot: Option<BootId>,
    /// What its batch tasks take.
    pub used: Size,
    /// When the last report came.
    pub reported: Option<Moment>,
    /// The speed limit of batch work, in percent.
    pub throttle: u32,
    /// The use of the processors by the last report, in percent.
    pub load: u32,
    /// Requests of this host, with the worker process that each was sent to.
    mine: BTreeMap<RequestId, Option<BootId>>,
    doubts: BTreeSet<RequestId>,
    foreign: u32,
    failures: u32,
}

/// A worker in status pages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerView {
    /// Its name.
    pub name: String,
    /// Its shard.
    pub shard: ShardId,
    /// `usable`, or why it is not.
    pub state: String,
    /// Interactive requests that it counts.
    pub requests: u32,
    /// Its slots.
    pub slots: u32,
    /// What its batch tasks take.
    pub used: Size,
    /// What it holds.
    pub size: Size,
}

impl Worker {
    pub(super) fn new(name: &str, address: &str, shard: ShardId) -> Self {
        Self {
            name: name.to_owned(),
            address: address.to_owned(),
            shard,
            size: Size::default(),
            slots: 0,
            connections: 0,
            listed: false,
            leaving: false,
            enrolled: false,
            contact: Contact::Unasked,
            health: Health::Fine,
            boot: None,
            used: Size::default(),
            reported: None,
            throttle: 100,
            load: 0,
            mine: BTreeMap::new(),
            doubts: BTreeSet::new(),
            foreign: 0,
            failures: 0,
        }
    }

    /// Interactive requests that count against its slots.
    pub fn requests(&self) -> u32 {
        self.mine.len() as u32 + self.foreign
    }

    /// Free slots for interactive requests.
    pub fn free_slots(&self) -> u32 {
        let limit = self.slots.min(self.connections);
        limit.saturating_sub(self.requests())
    }

    /// Whether it may be given new work.
    pub fn is_usable(&self, now: Moment) -> bool {
        let trusted = match self.health {
            Health::Fine => true,
            Health::Quarantined { until, .. } => now >= until,
            Health::Probing { .. } => false,
        };
        trusted && !self.leaving && self.contact == Contact::Good
    }

    /// Counts an interactive request that is about to be sent.
    pub fn take_slot(&mut self, id: RequestId) {
        self.mine.insert(id, self.boot);
        self.begin_probe();
    }

    /// Drops an interactive request that has certainly ended.
    pub fn free_slot(&mut self, id: RequestId) {
        self.mine.remove(&id);
        self.doubts.remove(&id);
    }

    /// Keeps the slot of a request whose answer was lost until its fate is known.
    pub fn doubt(&mut self, id: RequestId) {
        if self.mine.contains_key(&id) {
            self.doubts.insert(id);
        }
    }

    /// The requests whose fate is unknown.
    pub fn doubts(&self) -> Vec<RequestId> {
        self.doubts.iter().copied().collect()
    }

    /// Whether a request was sent to this process of the worker. Another
    /// process cannot know whether the request ran.
    pub fn was_sent_to(&self, id: RequestId, boot: BootId) -> bool {
        self.mine.get(&id) == Some(&Some(boot))
    }

    /// Counts the requests that other hosts have running here.
    pub fn set_foreign(&mut self, running: &[RequestId], me: HostId) {
        let others = running.iter().filter(|id| id.host != me);
        self.foreign = others.count() as u32;
    }

    /// Begins probing if a quarantine has ended.
    pub fn begin_probe(&mut self) {
        if let Health::Quarantined { next, .. } = self.health {
            self.health = Health::Probing { next };
        }
    }

    /// Notes that the worker did a piece of work.
    pub fn note_success(&mut self) {
        self.failures = 0;
        self.health = Health::Fine;
    }

    /// Notes that the worker failed a piece of work.
    pub fn note_failure(&mut self, now: Moment) {
        self.failures += 1;
        let span = match self.health {
            Health::Probing { next } => next,
            Health::Quarantined { .. } => return,
            Health::Fine if self.failures >= QUARANTINE_AFTER => FIRST_QUARANTINE,
            Health::Fine => return,
        };
        self.health = Health::Quarantined {
            until: now + span,
            next: (span * 2).min(LONGEST_QUARANTINE),
        };
    }

    /// Ends a probe that told nothing.
    pub fn end_probe(&mut self, now: Moment) {
        if let Health::Probing { next } = self.health {
            self.health = Health::Quarantined { until: now, next };
        }
    }

    /// Forgets what is counted when the shard is lost; requests of this host
    /// that still run keep their slots.
    pub(super) fn reset(&mut self) {
        self.contact = Contact::Unasked;
        self.enrolled = false;
        self.used = Size::default();
        self.foreign = 0;
        self.reported = None;
    }

    /// How the worker looks in status pages.
    pub fn view(&self, now: Moment) -> WorkerView {
        let state = match (self.leaving, self.contact, self.health) {
            (true, _, _) => "leaving",
            (_, Contact::Unasked, _) => "unasked",
            (_, Contact::Silent { .. }, _) => "silent",
            (_, _, Health::Quarantined { until, .. }) if now < until => "quarantined",
            (_, _, Health::Quarantined { .. } | Health::Probing { .. }) => "probing",
            (_, Contact::Good, Health::Fine) => "usable",
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
