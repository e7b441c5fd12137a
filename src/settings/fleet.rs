//! The settings of an entry daemon on the users' platform.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use super::{Section, Source, form};
use crate::Result;

/// The settings of an entry daemon on the users' platform.
///
/// ```
/// use lycheelock::settings::FleetSettings;
///
/// let settings = FleetSettings { zone: "ie-a".to_owned(), ..FleetSettings::default() };
/// assert!(settings.session.as_secs() >= 1);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetSettings {
    /// The host's name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// All availability zones.
    pub zones: Vec<String>,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Where the balancer asks whether this host takes connections.
    pub ready: SocketAddr,
    /// Where counters and histograms are read.
    pub metrics: SocketAddr,
    /// The platform's store.
    pub platform: SocketAddr,
    /// What this host may use of its processor, in thousandths of a core.
    pub millicores: u32,
    /// How long a process has between the signal to stop and its end.
    pub grace: Duration,
    /// How long the hint of an owner lasts in the store without renewal.
    pub session: Duration,
    /// A call without an answer for this long has failed.
    pub silence: Duration,
}

impl Default for FleetSettings {
    fn default() -> Self {
        let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            name: "entry".to_owned(),
            zone: String::new(),
            zones: Vec::new(),
            address: local(8080),
            ready: local(8082),
            metrics: local(8083),
            platform: local(7000),
            millicores: 1000,
            grace: Duration::from_secs(6),
            session: Duration::from_millis(1500),
            silence: Duration::from_millis(1500),
        }
    }
}

impl FleetSettings {
    /// Whether the file asks for the users' platform.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or is not INI.
    pub fn is_meant(path: &Path) -> Result<bool> {
        Ok(Source::read(path)?.section("fleet").is_some())
    }

    /// Reads the settings from a file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read, and with every fault in it.
    pub fn read(path: &Path) -> Result<Self> {
        Self::check(Source::read(path)?)
    }

    /// Checks the settings.
    ///
    /// # Errors
    ///
    /// Fails with every fault of the source.
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
        if let Some(section) = source.required("fleet") {
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
        address("ready", &mut self.ready);
        address("metrics", &mut self.metrics);
        address("platform", &mut self.platform);
        if let Some(zones) = section.required("zones", &form::NAMES) {
            self.zones = zones;
        }
        self.millicores = section.value("cores", &form::CORES, self.millicores);
        self.grace = section.value("grace", &form::DURATION, self.grace);
        self.session = section.value("session", &form::DURATION, self.session);
        self.silence = section.value("silence", &form::DURATION, self.silence);
        if !self.zones.contains(&self.zone) {
            section.fault("zone", "must be one of zones");
        }
        section.finish();
    }
}
