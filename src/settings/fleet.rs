//! The settings of an entry daemon on the users' platform; its counterpart for
//! lycheelock's own platform is [`EntrySettings`](super::EntrySettings).

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use super::{Section, Source, form, overload};
use crate::Result;
use crate::fleet::MAX_WORKER_LEASE;
use crate::locality::RemoteFactor;
use crate::overload::OverloadSettings;

/// The settings of an entry daemon on the users' platform.
///
/// ```
/// use lycheelock::settings::FleetSettings;
///
/// let settings = FleetSettings { zone: "ie-a".to_owned(), ..FleetSettings::default() };
/// assert!(settings.session_ttl.as_secs() >= 1);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetSettings {
    /// The host's name.
    pub name: String,
    /// The host's availability zone.
    pub zone: String,
    /// The names of all availability zones.
    pub zones: Vec<String>,
    /// The address that callers connect to.
    pub address: SocketAddr,
    /// The address of the readiness endpoint, which the load balancer polls.
    pub ready_address: SocketAddr,
    /// The address of the metrics endpoint, with counters and histograms.
    pub metrics_address: SocketAddr,
    /// The address of the platform's store.
    pub platform: SocketAddr,
    /// The processor time that this host may use, in thousandths of a core.
    pub millicores: u32,
    /// The time between the signal to stop and the forced end of the process.
    pub grace: Duration,
    /// The time after which an owner lease in the store expires without a renewal.
    pub session_ttl: Duration,
    /// The timeout of calls to the store and the workers.
    pub call_timeout: Duration,
    /// Limits on what all callers together can make the process hold.
    pub overload: OverloadSettings,
    /// How many times as long a task takes on a rack other than that of its data.
    pub remote_factor: RemoteFactor,
    /// The longest lease that a worker grants, by its own clock.
    pub longest_lease: Duration,
}

impl Default for FleetSettings {
    fn default() -> Self {
        let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            name: "entry".to_owned(),
            zone: String::new(),
            zones: Vec::new(),
            address: local(8080),
            ready_address: local(8082),
            metrics_address: local(8083),
            platform: local(7000),
            millicores: 1000,
            grace: Duration::from_secs(6),
            session_ttl: Duration::from_millis(1500),
            call_timeout: Duration::from_millis(1500),
            overload: OverloadSettings::default(),
            remote_factor: RemoteFactor::default(),
            longest_lease: MAX_WORKER_LEASE,
        }
    }
}

impl FleetSettings {
    /// Whether the file has the `fleet` section, which selects the users' platform.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or is not INI.
    pub fn has_fleet_section(path: &Path) -> Result<bool> {
        Ok(Source::read(path)?.section("fleet").is_some())
    }

    /// Reads the settings from a file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read, and with all of its faults.
    pub fn read(path: &Path) -> Result<Self> {
        Self::check(Source::read(path)?)
    }

    /// Builds the settings from a parsed file and checks them.
    ///
    /// # Errors
    ///
    /// Fails with all faults of the file.
    ///
    /// ```
    /// use lycheelock::settings::{FleetSettings, Source};
    ///
    /// let text = "[fleet]\nname = a1\nzone = gt-a\nzones = gt-a, gt-b\naddress = 127.0.0.1:1\n\
    ///             ready = 127.0.0.1:2\nmetrics = 127.0.0.1:3\nplatform = 127.0.0.1:4\n";
    /// let settings = FleetSettings::check(Source::parse("a.ini", text).unwrap()).unwrap();
    /// assert_eq!(settings.zones, ["gt-a", "gt-b"]);
    /// ```
    pub fn check(mut source: Source) -> Result<Self> {
        let mut settings = Self::default();
        if let Some(section) = source.required_section("fleet") {
            settings.read_fleet(section);
        }
        source.finish()?;
        Ok(settings)
    }

    fn read_fleet(&mut self, mut section: Section<'_>) {
        let mut text = |key, to: &mut String| {
            if let Some(value) = section.required(key, &form::NAME) {
                *to = value;
            }
        };
        text("name", &mut self.name);
        text("zone", &mut self.zone);
        let mut address = |key, to: &mut SocketAddr| {
            if let Some(value) = section.required(key, &form::ADDRESS) {
                *to = value;
            }
        };
        address("address", &mut self.address);
        address("ready", &mut self.ready_address);
        address("metrics", &mut self.metrics_address);
        address("platform", &mut self.platform);
        if let Some(zones) = section.required("zones", &form::NAMES) {
            self.zones = zones;
        }
        self.millicores = section.value("cores", &form::CORES, self.millicores);
        self.grace = section.value("grace", &form::DURATION, self.grace);
        self.session_ttl = section.value("session", &form::DURATION, self.session_ttl);
        self.call_timeout = section.value("silence", &form::DURATION, self.call_timeout);
        overload::read(&mut self.overload, &mut section);
        self.remote_factor =
            section.value("remote_factor", &form::REMOTE_FACTOR, self.remote_factor);
        self.longest_lease = section.value("longest_lease", &form::DURATION, self.longest_lease);
        if !self.zones.contains(&self.zone) {
            section.report("zone", "must be one of zones");
        }
        section.finish();
    }
}
