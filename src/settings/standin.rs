//! The settings of the stand-ins for the platform and for a worker.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use super::{Source, form};
use crate::Result;

/// The settings of the stand-in for the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// The address on which the stand-in listens.
    pub address: SocketAddr,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 7000)),
        }
    }
}

impl PlatformSettings {
    /// Reads the settings from a file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read, and with all of its faults.
    pub fn read(path: &Path) -> Result<Self> {
        let mut source = Source::read(path)?;
        let mut settings = Self::default();
        if let Some(mut section) = source.required_section("platform") {
            if let Some(address) = section.required("address", &form::ADDRESS) {
                settings.address = address;
            }
            section.finish();
        }
        source.finish()?;
        Ok(settings)
    }
}

/// The settings of the stand-in for a worker.
///
/// ```
/// use lycheelock::settings::WorkerSettings;
///
/// let settings = WorkerSettings { slots: 2, ..WorkerSettings::default() };
/// assert_eq!(settings.connections, 64);
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerSettings {
    /// The worker's name.
    pub name: String,
    /// The worker's availability zone.
    pub zone: String,
    /// The worker's rack.
    pub rack: String,
    /// The address on which the stand-in listens.
    pub address: SocketAddr,
    /// The address of the platform, whose host list the worker joins.
    pub platform: SocketAddr,
    /// The worker's processor cores, in thousandths of a core.
    pub millicores: u32,
    /// The worker's memory, in megabytes.
    pub memory: u32,
    /// The number of the worker's accelerators.
    pub accelerators: u32,
    /// The number of interactive requests that run at the same time.
    pub slots: u32,
    /// The number of connections for interactive requests.
    pub connections: u32,
    /// The latency of an interactive request on an idle worker.
    pub latency: Duration,
    /// The run time of batch tasks, in percent of their declared run time.
    pub duration_percent: u32,
    /// The added latency of interactive requests under a full load of batch work,
    /// in percent.
    pub interference_percent: u32,
}

impl Default for WorkerSettings {
    fn default() -> Self {
        Self {
            name: "worker".to_owned(),
            zone: "zone-a".to_owned(),
            rack: "rack-1".to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 9000)),
            platform: SocketAddr::from(([127, 0, 0, 1], 7000)),
            millicores: 32_000,
            memory: 125_000,
            accelerators: 0,
            slots: 8,
            connections: 64,
            latency: Duration::from_millis(2),
            duration_percent: 100,
            interference_percent: 100,
        }
    }
}

impl WorkerSettings {
    /// Reads the settings from a file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read, and with all of its faults.
    pub fn read(path: &Path) -> Result<Self> {
        let mut source = Source::read(path)?;
        let mut settings = Self::default();
        if let Some(mut section) = source.required_section("worker") {
            let default = Self::default();
            settings = Self {
                name: section
                    .required("name", &form::NAME)
                    .unwrap_or(default.name),
                zone: section
                    .required("zone", &form::NAME)
                    .unwrap_or(default.zone),
                rack: section
                    .required("rack", &form::NAME)
                    .unwrap_or(default.rack),
                address: section
                    .required("address", &form::ADDRESS)
                    .unwrap_or(default.address),
                platform: section
                    .required("platform", &form::ADDRESS)
                    .unwrap_or(default.platform),
                millicores: section.value("cores", &form::CORES, default.millicores),
                memory: section.value("memory_mb", &form::COUNT, default.memory),
                accelerators: section.value("accelerators", &form::NUMBER, default.accelerators),
                slots: section.value("slots", &form::COUNT, default.slots),
                connections: section.value("connections", &form::COUNT, default.connections),
                latency: section.value("latency", &form::DURATION, default.latency),
                duration_percent: section.value(
                    "pace_percent",
                    &form::COUNT,
                    default.duration_percent,
                ),
                interference_percent: section.value(
                    "interference_percent",
                    &form::NUMBER,
                    default.interference_percent,
                ),
            };
            section.finish();
        }
        source.finish()?;
        Ok(settings)
    }
}
