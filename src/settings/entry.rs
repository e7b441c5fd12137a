//! The settings of an entry daemon on lycheelock's own platform; its counterpart
//! for the users' platform is [`FleetSettings`](super::FleetSettings).

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use super::{Section, Source, form, overload};
use crate::Result;
use crate::overload::OverloadSettings;

/// The settings of an entry daemon on lycheelock's own platform.
///
/// ```
/// use lycheelock::settings::EntrySettings;
///
/// let settings = EntrySettings { zone: "ie-a".to_owned(), ..EntrySettings::default() };
/// assert_eq!(settings.limits.body, 8 << 20);
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct EntrySettings {
    /// The host's name, shown by `status` and in logs.
    pub name: String,
    /// The host's availability zone.
    pub zone: String,
    /// The address that callers and operators connect to.
    pub address: SocketAddr,
    /// The address on which this host listens for other entry hosts.
    pub peer_address: SocketAddr,
    /// The address that other entry hosts connect to; `peer_address` if absent.
    pub announced_address: Option<SocketAddr>,
    /// The address of the platform's service.
    pub platform: SocketAddr,
    /// The bearer token that authorizes operators' requests.
    pub token: String,
    /// The shared secret with which entry hosts authenticate each other.
    pub key: String,
    /// The path of the log file; standard error if absent.
    pub log: Option<PathBuf>,
    /// The address of a statsd server; no metrics are sent if absent.
    pub statsd: Option<SocketAddr>,
    /// Size limits on requests and answers.
    pub limits: Limits,
    /// Timeouts, intervals and lease durations.
    pub timing: Timing,
}

/// Size limits on requests and answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// The largest body of a request, in bytes.
    pub body: u64,
    /// The largest body of a worker's answer, in bytes.
    pub answer: u64,
    /// The largest header, name and value together, in bytes.
    pub header: u64,
    /// The largest answer, in bytes, that is stored for repeats of a request with
    /// an idempotency key.
    pub stored_answer: u64,
    /// Limits on what all callers together can make the process hold.
    pub overload: OverloadSettings,
}

/// Timeouts, intervals and lease durations of an entry daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Timing {
    /// The time after which a session at the store expires without a renewal.
    pub session_ttl: Duration,
    /// The time for which a promise to another entry host is valid.
    pub promise_ttl: Duration,
    /// The safety margin subtracted from every lease, because clocks run at
    /// different rates.
    pub margin: Duration,
    /// The interval between heartbeats to the entry hosts of the zone.
    pub heartbeat_interval: Duration,
    /// The timeout of calls; a connection without an answer for this long is
    /// replaced.
    pub call_timeout: Duration,
    /// The time for which a task may run without a renewal by the shard's owner.
    pub task_lease: Duration,
    /// The longest deadline that an interactive request may have.
    pub max_deadline: Duration,
}

impl Default for EntrySettings {
    fn default() -> Self {
        let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            name: "entry".to_owned(),
            zone: "zone-a".to_owned(),
            address: local(8080),
            peer_address: local(8081),
            announced_address: None,
            platform: local(7000),
            token: String::new(),
            key: String::new(),
            log: None,
            statsd: None,
            limits: Limits::default(),
            timing: Timing::default(),
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: 8 << 20,
            answer: 16 << 20,
            header: 8 << 10,
            stored_answer: 32 << 10,
            overload: OverloadSettings {
                largest: 24 << 20,
                ..OverloadSettings::default()
            },
        }
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            session_ttl: Duration::from_secs(6),
            promise_ttl: Duration::from_secs(3),
            margin: Duration::from_millis(300),
            heartbeat_interval: Duration::from_millis(500),
            call_timeout: Duration::from_secs(2),
            task_lease: Duration::from_secs(10),
            max_deadline: Duration::from_secs(30),
        }
    }
}

impl EntrySettings {
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
    /// use lycheelock::settings::{EntrySettings, Source};
    ///
    /// let text = "[entry]\nname = a1\nzone = gt-a\naddress = 127.0.0.1:1\npeers = 127.0.0.1:2\n\
    ///             platform = 127.0.0.1:3\ntoken = t\nkey = k\n";
    /// let settings = EntrySettings::check(Source::parse("a.ini", text).unwrap()).unwrap();
    /// assert_eq!(settings.name, "a1");
    /// ```
    pub fn check(mut source: Source) -> Result<Self> {
        let mut settings = Self::default();
        if let Some(section) = source.required_section("entry") {
            settings.read_entry(section);
        }
        if let Some(section) = source.section("limits") {
            settings.limits = Limits::read(section);
        }
        if let Some(section) = source.section("timing") {
            settings.timing = Timing::read(section);
        }
        source.finish()?;
        Ok(settings)
    }

    fn read_entry(&mut self, mut section: Section<'_>) {
        let mut text = |key, to: &mut String, form| {
            if let Some(value) = section.required(key, form) {
                *to = value;
            }
        };
        text("name", &mut self.name, &form::NAME);
        text("zone", &mut self.zone, &form::NAME);
        text("token", &mut self.token, &form::TEXT);
        text("key", &mut self.key, &form::TEXT);
        let mut address = |key, to: &mut SocketAddr| {
            if let Some(value) = section.required(key, &form::ADDRESS) {
                *to = value;
            }
        };
        address("address", &mut self.address);
        address("peers", &mut self.peer_address);
        address("platform", &mut self.platform);
        self.log = section.optional("log", &form::TEXT).map(PathBuf::from);
        self.announced_address = section.optional("announce", &form::ADDRESS);
        self.statsd = section.optional("statsd", &form::ADDRESS);
        section.finish();
    }
}

impl Limits {
    fn read(mut section: Section<'_>) -> Self {
        let default = Self::default();
        let mut limits = Self {
            body: section.value("body", &form::SIZE, default.body),
            answer: section.value("answer", &form::SIZE, default.answer),
            header: section.value("header", &form::SIZE, default.header),
            stored_answer: section.value("kept", &form::SIZE, default.stored_answer),
            overload: default.overload,
        };
        limits.overload.largest = limits.body.saturating_add(limits.answer);
        overload::read(&mut limits.overload, &mut section);
        section.finish();
        limits
    }
}

impl Timing {
    fn read(mut section: Section<'_>) -> Self {
        let default = Self::default();
        let timing = Self {
            session_ttl: section.value("session", &form::DURATION, default.session_ttl),
            promise_ttl: section.value("promise", &form::DURATION, default.promise_ttl),
            margin: section.value("margin", &form::DURATION, default.margin),
            heartbeat_interval: section.value(
                "heartbeat",
                &form::DURATION,
                default.heartbeat_interval,
            ),
            call_timeout: section.value("silence", &form::DURATION, default.call_timeout),
            task_lease: section.value("task", &form::DURATION, default.task_lease),
            max_deadline: section.value("deadline", &form::DURATION, default.max_deadline),
        };
        timing.check(&mut section);
        section.finish();
        timing
    }

    fn check(&self, section: &mut Section<'_>) {
        if self.margin * 4 > self.session_ttl {
            section.report("margin", "must be at most a quarter of session");
        }
        if self.margin * 4 > self.promise_ttl {
            section.report("margin", "must be at most a quarter of promise");
        }
        if self.heartbeat_interval * 3 > self.promise_ttl {
            section.report("heartbeat", "must be at most a third of promise");
        }
        if self.call_timeout < self.heartbeat_interval * 2 {
            section.report("silence", "must be at least twice heartbeat");
        }
        if self.task_lease < self.heartbeat_interval * 6 {
            section.report("task", "must be at least six times heartbeat");
        }
    }
}
