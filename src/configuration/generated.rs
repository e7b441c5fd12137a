//! The configuration generated from a questionnaire.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::ids::{ShardId, mix, stable_hash};

/// The configuration of a deployment, shared by all of its entry hosts.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Configuration {
    /// The revision, which grows by one with each published configuration; 0 before
    /// the first publication.
    pub revision: u64,
    /// A random number that distinguishes two operators who publish the same revision.
    pub nonce: u64,
    /// The deployment's name.
    pub deployment: String,
    /// The operator who published this revision.
    pub author: String,
    /// The most recent revisions, oldest first, including this one.
    pub history: Vec<HistoryEntry>,
    /// The availability zones; shards are numbered in this order.
    pub zones: Vec<Zone>,
    /// The weights of the deployment's goals.
    pub weights: Weights,
    /// The interactive services of the deployment.
    pub services: Vec<Service>,
    /// The classes of batch jobs that teams may submit.
    pub classes: Vec<Class>,
    /// The teams that send requests and submit jobs.
    pub teams: Vec<Team>,
}

/// The record of one published revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The number of the revision.
    pub revision: u64,
    /// The nonce of the publication.
    pub nonce: u64,
    /// The operator who published the revision.
    pub author: String,
}

/// The maximum number of revisions in the history.
const MAX_HISTORY_ENTRIES: usize = 32;

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Zone {
    /// The zone's name.
    pub name: String,
    /// The number of shards among which the zone's racks are divided.
    pub shards: u16,
}

/// The relative weights of a deployment's four goals; they add up to 1 or more.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Weights {
    /// The weight of a low tail latency of the services.
    pub latency: f64,
    /// The weight of batch throughput.
    pub throughput: f64,
    /// The weight of few evictions.
    pub evictions: f64,
    /// The weight of the share that one kind of work keeps while the other floods
    /// the deployment.
    pub share: f64,
}

/// An interactive service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The service's name in request paths.
    pub name: String,
    /// The latency target, within which nearly all requests are to be answered.
    pub target: Duration,
    /// The default deadline, for requests that give none.
    pub deadline: Duration,
    /// The patterns of requests that must run at most once.
    pub once: Vec<Pattern>,
    /// The share of each worker's cores that batch work must leave free, in percent.
    pub reserve: u32,
}

/// A pattern of requests: a method and a path prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pattern {
    /// The HTTP method; `*` matches any.
    pub method: String,
    /// The prefix of the path.
    pub prefix: String,
}

/// An amount of a worker's resources, such as the demand of one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Size {
    /// Processor time, in thousandths of a core.
    #[serde(rename = "cores")]
    pub millicores: u32,
    /// Memory, in megabytes.
    pub memory: u32,
    /// The number of accelerators.
    pub accelerators: u32,
}

/// A class of batch jobs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// The class's name.
    pub name: String,
    /// The deadline of a job, counted from its submission.
    pub deadline: Duration,
    /// The declared run time of a task.
    pub duration: Duration,
    /// The declared resources of a task.
    pub size: Size,
    /// Whether the jobs may wait overnight.
    pub overnight: bool,
    /// Whether a task can resume from a checkpoint.
    #[serde(rename = "checkpoint")]
    pub checkpointable: bool,
    /// Whether a task that may have run may run again.
    pub idempotent: bool,
    /// Whether the jobs are urgent.
    pub urgent: bool,
    /// The maximum number of attempts for a failing task.
    pub attempts: u32,
}

/// A team that sends interactive requests and submits batch jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// The team's name.
    pub name: String,
    /// The token that authorizes the team's batch submissions.
    pub token: String,
    /// The quota of interactive requests in progress on each entry host.
    pub requests: u32,
    /// The quota of batch tasks that run at the same time in each shard.
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
    /// Returns whether this size fits into `free`.
    ///
    /// ```
    /// use lycheelock::configuration::Size;
    ///
    /// let task = Size { millicores: 500, memory: 64, accelerators: 0 };
    /// assert!(task.fits(Size { millicores: 500, memory: 100, accelerators: 1 }));
    /// ```
    pub const fn fits(self, free: Self) -> bool {
        self.millicores <= free.millicores
            && self.memory <= free.memory
            && self.accelerators <= free.accelerators
    }

    /// Returns the resources left to batch work when `percent` of the cores is kept
    /// free.
    ///
    /// ```
    /// use lycheelock::configuration::Size;
    ///
    /// let size = Size { millicores: 1000, ..Size::default() };
    /// assert_eq!(size.without_reserve(40).millicores, 600);
    /// ```
    pub const fn without_reserve(self, percent: u32) -> Self {
        let usable = 100_u32.saturating_sub(percent);
        Self {
            millicores: self.millicores / 100 * usable,
            ..self
        }
    }

    /// Adds two sizes.
    pub const fn plus(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.saturating_add(other.millicores),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Subtracts `other`, down to zero at the lowest.
    pub const fn minus(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
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
    /// Returns whether a request must run at most once.
    pub fn runs_once(&self, method: &str, path: &str) -> bool {
        self.once
            .iter()
            .any(|pattern| pattern.matches(method, path))
    }
}

impl Team {
    /// Checks a token in a time that does not depend on where it differs.
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

/// Compares two secrets in a time that does not depend on where they differ. An
/// empty expected secret never matches.
///
/// ```
/// assert!(!lycheelock::configuration::same_secret("a", "b"));
/// ```
pub fn same_secret(expected: &str, given: &str) -> bool {
    !expected.is_empty() && bool::from(expected.as_bytes().ct_eq(given.as_bytes()))
}

impl Configuration {
    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Returns the job class with this name.
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// Returns the team with this name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == name)
    }

    /// Sets the revision that follows `previous` and appends it to the history.
    pub(super) fn set_revision_after(&mut self, previous: Option<Self>) {
        let previous = previous.unwrap_or_default();
        self.revision = previous.revision + 1;
        self.history = previous.history;
        self.history.push(HistoryEntry {
            revision: self.revision,
            nonce: self.nonce,
            author: self.author.clone(),
        });
        let excess = self.history.len().saturating_sub(MAX_HISTORY_ENTRIES);
        self.history.drain(..excess);
    }

    /// Returns the history entry of a revision, if the history still holds it.
    pub fn history_entry(&self, revision: u64) -> Option<&HistoryEntry> {
        self.history.iter().find(|entry| entry.revision == revision)
    }

    /// Returns the share of each worker's cores that batch work must leave free, in
    /// percent: the largest reserve of all services.
    pub fn reserve(&self) -> u32 {
        let reserves = self.services.iter().map(|service| service.reserve);
        reserves.max().unwrap_or(0)
    }

    /// Returns the shards of a zone; none for an unknown zone.
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
        for known in &self.zones {
            if known.name == zone {
                return (first..first + known.shards).map(ShardId).collect();
            }
            first += known.shards;
        }
        Vec::new()
    }

    /// Returns the number of shards in all zones.
    pub fn total_shards(&self) -> u16 {
        self.zones.iter().map(|zone| zone.shards).sum()
    }

    /// Returns the shard that a rack belongs to; none for an unknown zone.
    pub fn shard_of(&self, zone: &str, rack: &str) -> Option<ShardId> {
        let shards = self.shards(zone);
        let count = shards.len() as u64;
        let hash = mix(stable_hash(rack.as_bytes()));
        (count > 0).then(|| shards[(hash % count) as usize])
    }

    /// Returns the shard that is responsible for an idempotency key; none without any
    /// shards.
    pub fn home_shard(&self, key: u64) -> Option<ShardId> {
        let count = u64::from(self.total_shards());
        (count > 0).then(|| ShardId((mix(key) % count) as u16))
    }

    /// Returns whether all shards of `previous` keep their number, zone and racks in
    /// this configuration.
    pub fn keeps_shards(&self, previous: &Self) -> bool {
        self.zones.starts_with(&previous.zones)
    }
}
