//! The lines that the daemon itself writes to the log.

use serde::Serialize;

use crate::schedule::Event;

/// What happened to the daemon, its dependencies or a caller's request.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(super) enum DaemonLine<'a> {
    /// The process started.
    Started {
        host: &'a str,
        zone: &'a str,
        life: u64,
    },
    /// A planned stop began.
    Stopping { in_progress: usize },
    /// The process ends.
    Stopped { in_progress: usize },
    /// The settings file was read again.
    Reloaded { applied: bool, reason: String },
    /// A dependency does not answer any more.
    DependencyLost {
        dependency: &'static str,
        reason: String,
    },
    /// A dependency answers again.
    DependencyRegained {
        dependency: &'static str,
        after_ms: u64,
    },
    /// A newer configuration is in force.
    ConfigurationChanged {
        version: u64,
        revision: u64,
        queues: usize,
    },
    /// A value in the store was left by another writer and is not used.
    ValueIgnored { key: &'a str, reason: String },
    /// This host claimed a shard.
    ShardClaimed {
        shard: &'a str,
        fence: u64,
        former: u64,
    },
    /// This host took up the state of a shard.
    ShardRestored {
        shard: &'a str,
        fence: u64,
        jobs: usize,
        workers: usize,
        took_ms: u64,
    },
    /// This host does not own a shard any more.
    ShardLost {
        shard: &'a str,
        fence: u64,
        reason: &'a str,
    },
    /// A caller was answered.
    Answered {
        id: &'a str,
        queue: &'a str,
        method: &'a str,
        status: u16,
        detail: &'a str,
        configuration: u64,
        took_ms: u64,
    },
    /// An order to a worker has no answer.
    OrderUnanswered {
        worker: &'a str,
        task: String,
        run: u64,
        reason: String,
    },
}

/// A decision of a shard's scheduler.
#[derive(Debug, Serialize)]
pub(super) struct ShardLine<'a> {
    pub shard: &'a str,
    pub fence: u64,
    #[serde(flatten)]
    pub note: &'a Event,
}
