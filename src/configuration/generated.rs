//! The generated configuration.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::ids::{ShardId, mix, stable_hash};

/// The configuration that entry hosts work by.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Configuration {
    /// Grows by one with each accepted change.
    pub revision: u64,
    /// Tells two writers of the same revision apart.
    pub nonce: u64,
    /// The deployment's name.
    pub deployment: String,
    /// Who published it.
    pub author: String,
    /// The last revisions, this one included, the newest last.
    pub history: Vec<Mark>,
    /// The availability zones, in the order that numbers the shards.
    pub zones: Vec<Zone>,
    /// What the deployment weighs.
    pub weights: Weights,
    /// The interactive services.
    pub services: Vec<Service>,
    /// The classes of batch jobs.
    pub classes: Vec<Class>,
    /// The teams.
    pub teams: Vec<Team>,
}

/// Who published a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// The revision.
    pub revision: u64,
    /// The nonce of its writer.
    pub nonce: u64,
    /// The operator.
    pub author: String,
}

/// How many revisions the history keeps.
const MAX_HISTORY: usize = 32;

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Zone {
    /// Its name.
    pub name: String,
    /// Into how many shards its racks are divided.
    pub shards: u16,
}

/// How much each of the four measures counts; they add up to 1 or more.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Weights {
    /// The tail latency of services.
    pub latency: f64,
    /// Batch throughput.
    pub throughput: f64,
    /// Evictions.
    pub evictions: f64,
    /// What the other kind of work keeps during a flood.
    pub share: f64,
}

/// An interactive service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name in paths.
    pub name: String,
    /// Nearly all requests are answered within this time.
    pub target: Duration,
    /// The deadline of a request that names none.
    pub deadline: Duration,
    /// Requests that must run at most once: a method and a path prefix.
    pub once: Vec<Pattern>,
    /// The part of a worker's cores that batch work leaves free, in percent.
    pub reserve: u32,
}

/// A method and a path prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pattern {
    /// The HTTP method; `*` matches each.
    pub method: String,
    /// The start of the path.
    pub prefix: String,
}

/// What one task takes of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Size {
    /// Thousandths of a core.
    pub cores: u32,
    /// Memory in megabytes.
    pub memory: u32,
    /// Accelerators.
    pub accelerators: u32,
}

/// A class of batch jobs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// A job's deadline, counted from its submission.
    pub deadline: Duration,
    /// How long a task is declared to run.
    pub duration: Duration,
    /// What a task is declared to take.
    pub size: Size,
    /// Whether its work may wait overnight.
    pub overnight: bool,
    /// Whether a task can resume from a checkpoint.
    pub checkpoint: bool,
    /// Whether a task that may have run may run again.
    pub idempotent: bool,
    /// Whether its work is urgent.
    pub urgent: bool,
    /// How often a failing task is tried.
    pub attempts: u32,
}

/// A team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// The token of its batch submissions.
    pub token: String,
    /// Interactive requests in progress at once, on each entry host.
    pub requests: u32,
    /// Batch tasks running at once, in each shard.
    pub tasks: u32,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            latency: 1.0,
            throughput: 1.0,
            evictions: 1.0,
            share: 1.0,
        }
    }
}

impl Size {
    /// Whether this size fits into `room`.
    ///
    /// ```
    /// use lycheelock::configuration::Size;
    ///
    /// let task = Size { cores: 500, memory: 64, accelerators: 0 };
    /// assert!(task.fits(Size { cores: 500, memory: 100, accelerators: 1 }));
    /// ```
    pub const fn fits(self, room: Self) -> bool {
        self.cores <= room.cores
            && self.memory <= room.memory
            && self.accelerators <= room.accelerators
    }

    /// What is left to batch work when a part of the cores, in percent, is kept free.
    ///
    /// ```
    /// use lycheelock::configuration::Size;
    ///
    /// let size = Size { cores: 1000, ..Size::default() };
    /// assert_eq!(size.without_reserve(40).cores, 600);
    /// ```
    pub const fn without_reserve(self, percent: u32) -> Self {
        let kept = 100_u32.saturating_sub(percent);
        Self {
            cores: self.cores / 100 * kept,
            ..self
        }
    }

    /// The sum of two sizes.
    pub const fn plus(self, other: Self) -> Self {
        Self {
            cores: self.cores.saturating_add(other.cores),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// The difference of two sizes, not below zero.
    pub const fn minus(self, other: Self) -> Self {
        Self {
            cores: self.cores.saturating_sub(other.cores),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

impl Pattern {
    fn matches(&self, method: &str, path: &str) -> bool {
        let same_method = self.method == "*" || self.method.eq_ignore_ascii_case(method);
        same_method && path.starts_with(&self.prefix)
    }
}

impl Service {
    /// Whether a request must run at most once.
    pub fn runs_once(&self, method: &str, path: &str) -> bool {
        self.once
            .iter()
            .any(|pattern| pattern.matches(method, path))
    }
}

impl Team {
    /// Compares a token in constant time.
    ///
    /// ```
    /// use lycheelock::configuration::Team;
    ///
    /// let team = Team { name: "a".into(), token: "t".into(), requests: 1, tasks: 1 };
    /// assert!(team.accepts("t") && !team.accepts("u"));
    /// ```
    pub fn accepts(&self, token: &str) -> bool {
        same_secret(&self.token, token)
    }
}

/// Compares two secrets in a time that does not depend on where they differ.
///
/// ```
/// assert!(!lycheelock::configuration::same_secret("a", "b"));
/// ```
pub fn same_secret(expected: &str, given: &str) -> bool {
    !expected.is_empty() && bool::from(expected.as_bytes().ct_eq(given.as_bytes()))
}

impl Configuration {
    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// The job class with this name.
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// The team with this name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == name)
    }

    /// Takes the revision after `former` and enters itself in the history.
    pub(super) fn follow(&mut self, former: Option<Self>) {
        let former = former.unwrap_or_default();
        self.revision = former.revision + 1;
        self.history = former.history;
        self.history.push(Mark {
            revision: self.revision,
            nonce: self.nonce,
            author: self.author.clone(),
        });
        let excess = self.history.len().saturating_sub(MAX_HISTORY);
        self.history.drain(..excess);
    }

    /// Who published a revision, if the history still reaches it.
    pub fn mark(&self, revision: u64) -> Option<&Mark> {
        self.history.iter().find(|mark| mark.revision == revision)
    }

    /// The part of each worker's cores that batch work leaves free, in percent.
    pub fn reserve(&self) -> u32 {
        let reserves = self.services.iter().map(|service| service.reserve);
        reserves.max().unwrap_or(0)
    }

    /// The shards of a zone.
    ///
    /// ```
    /// use lycheelock::configuration::{Configuration, Zone};
    /// use lycheelock::ids::ShardId;
    ///
    /// let zone = |name: &str| Zone { name: name.into(), shards: 2 };
    /// let configuration = Configuration {
    ///     zones: vec![zone("a"), zone("b")],
    ///     ..Configuration::default()
    /// };
    /// assert_eq!(configuration.shards("b"), vec![ShardId(2), ShardId(3)]);
    /// ```
    pub fn shards(&self, zone: &str) -> Vec<ShardId> {
        let mut first = 0;
        for each in &self.zones {
            if each.name == zone {
                return (first..first + each.shards).map(ShardId).collect();
            }
            first += each.shards;
        }
        Vec::new()
    }

    /// How many shards all zones have.
    pub fn total_shards(&self) -> u16 {
        self.zones.iter().map(|zone| zone.shards).sum()
    }

    /// The shard of a rack, none for an unknown zone.
    pub fn shard_of(&self, zone: &str, rack: &str) -> Option<ShardId> {
        let shards = self.shards(zone);
        let count = shards.len() as u64;
        let hash = mix(stable_hash(rack.as_bytes()));
        (count > 0).then(|| shards[(hash % count) as usize])
    }

    /// The home shard of an idempotency key.
    pub fn home_shard(&self, key: u64) -> Option<ShardId> {
        let count = u64::from(self.total_shards());
        (count > 0).then(|| ShardId((mix(key) % count) as u16))
    }

    /// Whether shards keep their meaning when this configuration follows `former`.
    pub fn keeps_shards(&self, former: &Self) -> bool {
        self.zones.starts_with(&former.zones)
    }
}
