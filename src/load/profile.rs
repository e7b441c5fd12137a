//! Profiles of the two deployments at their present sizes.

use std::str::FromStr;
use std::time::Duration;

use super::cluster::ClusterSettings;
use crate::placement::Policy;
use crate::settings::WorkerSettings;

/// A deployment whose fleet the experiments reproduce.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Profile {
    /// Nombrario Consultores: 50 workers of 32 cores.
    Nombrario,
    /// Rothar Fit Collective: 65 workers of 16 cores.
    Rothar,
}

/// Duration of an interactive request on an idle worker.
const IDLE_LATENCY: Duration = Duration::from_secs(1);
const SLOTS_PER_WORKER: u32 = 8;
const CONNECTIONS_PER_WORKER: u32 = 64;
const WORKERS_PER_RACK: usize = 8;
const ZONE_COUNT: usize = 3;

impl Profile {
    /// Returns the name used on the command line.
    ///
    /// ```
    /// assert_eq!(lycheelock::load::Profile::Rothar.name(), "rothar");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            Self::Nombrario => "nombrario",
            Self::Rothar => "rothar",
        }
    }

    /// Returns the number of workers in all availability zones together.
    pub const fn workers(self) -> usize {
        match self {
            Self::Nombrario => 50,
            Self::Rothar => 65,
        }
    }

    /// Returns the CPU capacity of one worker, in thousandths of a core.
    const fn millicores(self) -> u32 {
        match self {
            Self::Nombrario => 32_000,
            Self::Rothar => 16_000,
        }
    }

    /// Returns the memory of one worker, in megabytes.
    const fn memory(self) -> u32 {
        match self {
            Self::Nombrario => 125_000,
            Self::Rothar => 60_000,
        }
    }

    /// Returns the number of interactive requests per second that the fleet can serve.
    pub fn capacity(self) -> f64 {
        (self.workers() as u32 * SLOTS_PER_WORKER) as f64 / IDLE_LATENCY.as_secs_f64()
    }

    /// Returns the settings of a cluster of this size with the given policy.
    pub fn cluster_settings(self, policy: Policy) -> ClusterSettings {
        ClusterSettings {
            entries: 3,
            workers: self.workers().div_ceil(ZONE_COUNT),
            rack_size: WORKERS_PER_RACK,
            worker_defaults: WorkerSettings {
                millicores: self.millicores(),
                memory: self.memory(),
                slots: SLOTS_PER_WORKER,
                connections: CONNECTIONS_PER_WORKER,
                latency: IDLE_LATENCY,
                ..WorkerSettings::default()
            },
            policy,
            ..ClusterSettings::default()
        }
    }
}

impl FromStr for Profile {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "nombrario" => Ok(Self::Nombrario),
            "rothar" => Ok(Self::Rothar),
            _ => Err(format!("{text:?} is not nombrario or rothar")),
        }
    }
}
