//! Counters of refusals, retries and other events, also sent to statsd with the
//! `cadence` crate.

use std::net::UdpSocket;
use std::sync::atomic::{AtomicU64, Ordering};

use cadence::{Counted, NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};
use serde::{Deserialize, Serialize};

use crate::kind::{ErrorKind, RetryReason};

const METRIC_PREFIX: &str = "lycheelock";

/// Events that are counted in addition to refusals and retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Count {
    /// Interactive requests that a worker answered.
    Answered,
    /// Interactive requests forwarded to a peer.
    Forwarded,
    /// Writes to the store.
    StoreWrites,
    /// Reads from the store, including each round of a watch.
    StoreReads,
    /// Shards claimed.
    Claims,
    /// Shards taken over from another host.
    Takeovers,
    /// Starts that were not sent, as the worker's zone is to be evacuated.
    StartsWithheld,
    /// Starts without an answer that were withdrawn for the same reason.
    StartsWithdrawn,
    /// Tasks placed on the rack of their data.
    OnDataRack,
    /// Tasks placed on another rack than that of their data.
    OffDataRack,
}

impl Count {
    /// All variants, in the order of the counters.
    pub const ALL: [Self; 10] = [
        Self::Answered,
        Self::Forwarded,
        Self::StoreWrites,
        Self::StoreReads,
        Self::Claims,
        Self::Takeovers,
        Self::StartsWithheld,
        Self::StartsWithdrawn,
        Self::OnDataRack,
        Self::OffDataRack,
    ];

    /// Returns the name of the counter.
    ///
    /// ```
    /// assert_eq!(lycheelock::counters::Count::Takeovers.name(), "takeovers");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Forwarded => "forwarded",
            Self::StoreWrites => "store_writes",
            Self::StoreReads => "store_reads",
            Self::Claims => "claims",
            Self::Takeovers => "takeovers",
            Self::StartsWithheld => "zone_starts_withheld",
            Self::StartsWithdrawn => "zone_starts_withdrawn",
            Self::OnDataRack => "placed_on_data_rack",
            Self::OffDataRack => "placed_off_data_rack",
        }
    }
}

/// The value of a counter when it was read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reading {
    /// The full name, such as `refused.overloaded`.
    pub name: String,
    /// The count since the process started.
    pub value: u64,
}

/// The counters of one process.
#[derive(Debug)]
pub struct Counters {
    refusals: [AtomicU64; ErrorKind::ALL.len()],
    retries: [AtomicU64; RetryReason::ALL.len()],
    counts: [AtomicU64; Count::ALL.len()],
    statsd: StatsdClient,
}

impl Default for Counters {
    fn default() -> Self {
        Self::with_client(StatsdClient::from_sink(METRIC_PREFIX, NopMetricSink))
    }
}

impl Counters {
    /// Creates counters that are also sent to the statsd server at `address`.
    ///
    /// # Errors
    ///
    /// Fails if no local UDP socket can be opened or the address is invalid.
    ///
    /// ```
    /// use lycheelock::counters::Counters;
    /// use lycheelock::kind::ErrorKind;
    ///
    /// let counters = Counters::statsd("127.0.0.1:8125").unwrap();
    /// counters.refused(ErrorKind::Overloaded);
    /// assert_eq!(counters.read()[0].name, "refused.overloaded");
    /// ```
    pub fn statsd(address: &str) -> Result<Self, cadence::MetricError> {
        let socket = UdpSocket::bind("0.0.0.0:0")?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(address, socket)?;
        let queue = QueuingMetricSink::from(sink);
        Ok(Self::with_client(StatsdClient::from_sink(
            METRIC_PREFIX,
            queue,
        )))
    }

    fn with_client(statsd: StatsdClient) -> Self {
        Self {
            refusals: [const { AtomicU64::new(0) }; ErrorKind::ALL.len()],
            retries: [const { AtomicU64::new(0) }; RetryReason::ALL.len()],
            counts: [const { AtomicU64::new(0) }; Count::ALL.len()],
            statsd,
        }
    }

    /// Counts a refusal.
    pub fn refused(&self, kind: ErrorKind) {
        self.refusals[kind.index()].fetch_add(1, Ordering::Relaxed);
        let _ = self.statsd.count(&format!("refused.{kind}"), 1);
    }

    /// Counts a retry.
    pub fn retried(&self, reason: RetryReason) {
        self.retries[reason.index()].fetch_add(1, Ordering::Relaxed);
        let _ = self.statsd.count(&format!("retried.{}", reason.name()), 1);
    }

    /// Adds `value` to a counter.
    pub fn add(&self, count: Count, value: u64) {
        self.counts[count as usize].fetch_add(value, Ordering::Relaxed);
        let _ = self.statsd.count(count.name(), value as i64);
    }

    /// Returns the current value of a counter.
    pub fn get(&self, count: Count) -> u64 {
        self.counts[count as usize].load(Ordering::Relaxed)
    }

    /// Returns all counters that are not zero.
    ///
    /// ```
    /// use lycheelock::counters::{Count, Counters};
    ///
    /// let counters = Counters::default();
    /// counters.add(Count::Answered, 2);
    /// assert_eq!(counters.read()[0].value, 2);
    /// ```
    pub fn read(&self) -> Vec<Reading> {
        let refusals = ErrorKind::ALL
            .iter()
            .map(|kind| (format!("refused.{kind}"), &self.refusals[kind.index()]));
        let retries = RetryReason::ALL.iter().map(|reason| {
            (
                format!("retried.{}", reason.name()),
                &self.retries[reason.index()],
            )
        });
        let counts = Count::ALL
            .iter()
            .map(|count| (count.name().to_owned(), &self.counts[*count as usize]));
        refusals
            .chain(retries)
            .chain(counts)
            .map(|(name, value)| Reading {
                name,
                value: value.load(Ordering::Relaxed),
            })
            .filter(|reading| reading.value > 0)
            .collect()
    }
}
