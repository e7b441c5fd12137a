//! The two deployments at their sizes of today.

use std::str::FromStr;
use std::time::Duration;

use super::cluster::ClusterSettings;
use crate::placement::Policy;
use crate::settings::WorkerSettings;

/// A deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Profile {
    /// Nombrario Consultores: 50 workers of 32 cores.
    Nombrario,
    /// Rothar Fit Collective: 65 workers of 16 cores.
    Rothar,
}

/// What an interactive request takes on an idle worker.
const LATENCY: Duration = Duration::from_secs(1);
const SLOTS: u32 = 8;
const CONNECTIONS: u32 = 64;
const RACK: usize = 8;
const ZONES: usize = 3;

impl Profile {
    /// The name on the command line.
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

    /// Workers in all zones.
    pub const fn workers(self) -> usize {
        match self {
            Self::Nombrario => 50,
            Self::Rothar => 65,
        }
    }

    const fn cores(self) -> u32 {
        match self {
            Self::Nombrario => 32_000,
            Self::Rothar => 16_000,
        }
    }

    const fn memory(self) -> u32 {
        match self {
            Self::Nombrario => 125_000,
            Self::Rothar => 60_000,
        }
    }

    /// Interactive requests a second that the fleet can take.
    pub fn capacity(self) -> f64 {
        (self.workers() as u32 * SLOTS) as f64 / LATENCY.as_secs_f64()
    }

    /// The cluster with a policy.
    pub fn cluster(self, policy: Policy) -> ClusterSettings {
        ClusterSettings {
            entries: 3,
            workers: self.workers().div_ceil(ZONES),
            rack: RACK,
            worker: WorkerSettings {
                cores: self.cores(),
                memory: self.memory(),
                slots: SLOTS,
                connections: CONNECTIONS,
                latency: LATENCY,
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
