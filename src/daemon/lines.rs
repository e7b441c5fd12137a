//! The events that the daemon writes to the log.

use serde::Serialize;

use crate::fleet::RunOutcome;
use crate::journal::{Entry, Importance};
use crate::schedule::Event;

/// The lowest HTTP status that tells a caller that the request was refused or failed.
const REFUSED_STATUS: u16 = 400;

/// An event of the daemon, its dependencies or a caller's request.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(super) enum DaemonLine<'a> {
    /// The process started.
    Started {
        host: &'a str,
        zone: &'a str,
        #[serde(rename = "life")]
        incarnation: u64,
    },
    /// A planned stop began.
    Stopping { in_progress: usize },
    /// The planned stop is complete; the process exits.
    Stopped { in_progress: usize },
    /// The settings file was read again.
    Reloaded { applied: bool, reason: String },
    /// A dependency no longer answers.
    DependencyLost {
        dependency: &'static str,
        reason: String,
    },
    /// A dependency answers again.
    DependencyRegained {
        dependency: &'static str,
        /// How long it did not answer, in milliseconds.
        after_ms: u64,
    },
    /// A newer configuration was applied.
    ConfigurationChanged {
        version: u64,
        revision: u64,
        queues: usize,
    },
    /// A value in the store cannot be read and is ignored; another program may
    /// have written it.
    ValueIgnored { key: &'a str, reason: String },
    /// A request to evacuate a zone names none of the zones in the settings.
    ZoneUnknown { zone: &'a str, revision: u64 },
    /// This host claimed a shard.
    ShardClaimed {
        shard: &'a str,
        fence: u64,
        /// The fencing token of the former owner; 0 for the first claim.
        former: u64,
    },
    /// This host restored the state of a shard from the store.
    ShardRestored {
        shard: &'a str,
        fence: u64,
        jobs: usize,
        workers: usize,
        /// The revision of the mark that no earlier owner gives orders any more; 0 if there is none.
        recovered: u64,
        took_ms: u64,
    },
    /// This host no longer owns a shard.
    ShardLost {
        shard: &'a str,
        fence: u64,
        reason: &'a str,
    },
    /// A caller's request was answered.
    Answered {
        id: &'a str,
        queue: &'a str,
        method: &'a str,
        status: u16,
        detail: &'a str,
        configuration: u64,
        took_ms: u64,
    },
    /// An order to a worker was not answered; it may still be carried out.
    OrderUnanswered {
        order: OrderKind,
        worker: &'a str,
        task: String,
        run: u64,
        #[serde(flatten)]
        lease: Option<OrderLease>,
        reason: String,
    },
    /// A worker refused one copy of an order. That says nothing of earlier copies without
    /// an answer.
    OrderRefused {
        order: OrderKind,
        worker: &'a str,
        task: String,
        run: u64,
        #[serde(flatten)]
        lease: Option<OrderLease>,
        reason: String,
    },
}

/// The lease in a start order, and the incarnation of the worker by whose clock it was given.
#[derive(Debug, Clone, Copy, Serialize)]
pub(super) struct OrderLease {
    /// The end of the lease, in milliseconds of that clock.
    pub lease_end: u64,
    pub incarnation: u64,
}

/// The kind of an order to a worker.
#[derive(Debug, Clone, Copy, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum OrderKind {
    /// Starts a run.
    Start,
    /// Stops a run.
    Stop,
    /// Changes the speed of a run.
    Throttle,
}

/// A scheduler event with the shard that it belongs to.
#[derive(Debug, Serialize)]
pub(super) struct ShardLine<'a> {
    pub shard: &'a str,
    pub fence: u64,
    #[serde(flatten)]
    pub event: &'a Event,
}

impl Entry for DaemonLine<'_> {
    fn importance(&self) -> Importance {
        match self {
            // The start and the end of a process, and the loss of the store, explain
            // refusals and changes of ownership.
            Self::Started { .. }
            | Self::Stopping { .. }
            | Self::Stopped { .. }
            | Self::DependencyLost { .. }
            | Self::DependencyRegained { .. }
            | Self::Reloaded { .. }
            | Self::ConfigurationChanged { .. }
            | Self::ZoneUnknown { .. }
            | Self::ShardClaimed { .. }
            | Self::ShardRestored { .. }
            | Self::ShardLost { .. } => Importance::Essential,
            Self::Answered { status, .. } if *status >= REFUSED_STATUS => Importance::Essential,
            // Other writers of the store decide how many values are ignored.
            Self::ValueIgnored { .. }
            | Self::Answered { .. }
            | Self::OrderUnanswered { .. }
            | Self::OrderRefused { .. } => Importance::Ordinary,
        }
    }
}

impl Entry for ShardLine<'_> {
    fn importance(&self) -> Importance {
        match self.event {
            // A failed run is what a failed job ends by.
            Event::JobEnded { .. }
            | Event::TaskGivenUp { .. }
            | Event::RunEnded {
                outcome: RunOutcome::Failed,
                ..
            }
            | Event::JobMoved { .. }
            | Event::ZoneEvacuated { .. }
            | Event::ZoneEmpty { .. }
            | Event::ZoneRestored { .. }
            | Event::RecoveryFinished { .. } => Importance::Essential,
            Event::Queued { .. }
            | Event::Placed { .. }
            | Event::StartAnswered { .. }
            | Event::RestartSuspected { .. }
            | Event::RestartDisproved { .. }
            | Event::WorkerRestarted { .. }
            | Event::FormerWorker { .. }
            | Event::Waiting { .. }
            | Event::JobIdle { .. }
            | Event::Adopted { .. }
            | Event::RunEnded { .. }
            | Event::DuplicateRun { .. }
            | Event::RunLost { .. }
            | Event::Stopping { .. }
            | Event::JobOverdue { .. }
            | Event::WorkerChanged { .. }
            | Event::WorkerCrashed { .. }
            | Event::Throttled { .. }
            | Event::EvidenceMerged { .. }
            | Event::EvidenceRefused { .. } => Importance::Ordinary,
        }
    }
}
