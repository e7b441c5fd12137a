//! The limits of a process, derived from the memory and descriptors of its host.

use std::time::Duration;

/// The limits of a process. Those that are not given follow from the others.
///
/// ```
/// use lycheelock::overload::OverloadSettings;
///
/// let settings = OverloadSettings { requests: Some(50 << 20), ..OverloadSettings::default() };
/// assert_eq!(settings.budget(), 50 << 20);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OverloadSettings {
    /// The memory of the host, in bytes.
    pub memory: u64,
    /// The descriptors that the process may open.
    pub descriptors: u32,
    /// The bytes of all requests and responses in progress; derived if absent.
    pub requests: Option<u64>,
    /// The open connections from callers; derived if absent.
    pub connections: Option<u32>,
    /// The longest time without progress of a request or response in transmission.
    pub stall: Duration,
    /// The bytes of the largest request that must be served, with its response.
    pub largest: u64,
}

impl Default for OverloadSettings {
    fn default() -> Self {
        Self {
            memory: 160 << 20,
            descriptors: 4100,
            requests: None,
            connections: None,
            // Callers wait 3 s for a response.
            stall: Duration::from_secs(5),
            largest: 16 << 20,
        }
    }
}

impl OverloadSettings {
    /// The least memory of a host, in bytes.
    pub const MIN_MEMORY: u64 = 64 << 20;
    /// The least number of descriptors.
    pub const MIN_DESCRIPTORS: u32 = 256;
    /// The least time without progress after which a connection is closed. A host with
    /// a small share of a processor may itself be late by several hundred milliseconds.
    pub const MIN_STALL: Duration = Duration::from_secs(1);
    /// The memory that a connection uses besides bodies, in bytes: hyper's read and
    /// write buffers, its task, and an answer that is too small to count.
    pub const CONNECTION_BYTES: u64 = 40 << 10;

    /// The bytes of all requests and responses in progress: a quarter of the memory, as
    /// the state, the connections and the kernel's buffers need the rest; more if the
    /// largest request needs more.
    pub fn budget(&self) -> u64 {
        let derived = (self.memory / 4).max(self.least_budget());
        self.requests.unwrap_or(derived)
    }

    /// The least budget with which the largest request is served.
    pub const fn least_budget(&self) -> u64 {
        self.largest.div_ceil(3) * 4
    }

    /// The limit on open connections from callers: a quarter of the memory and of the
    /// descriptors, as connections to workers and peers need descriptors, too.
    pub fn connection_limit(&self) -> usize {
        let by_memory = self.memory / 4 / Self::CONNECTION_BYTES;
        let derived = by_memory.min(u64::from(self.descriptors / 4));
        self.connections
            .map_or(derived as usize, |given| given as usize)
    }
}
