//! Reads and checks a questionnaire and generates a configuration from it.

use std::collections::BTreeSet;
use std::fmt;
use std::path::Path;
use std::time::Duration;

use super::generated::{Class, Configuration, Pattern, Service, Size, Team, Weights, Zone};
use crate::Result;
use crate::settings::{Section, Source, form};

/// The maximum number of shards in each zone.
const MAX_ZONE_SHARDS: u32 = 64;
/// The maximum share of a worker's cores, in percent, that a service may reserve.
const MAX_RESERVE_PERCENT: u32 = 90;
/// The share of a worker's cores, in percent, reserved for a service that gives none.
const DEFAULT_RESERVE_PERCENT: u32 = 50;
/// The number of attempts for a failing task of a class that gives none.
const DEFAULT_ATTEMPTS: u32 = 5;
/// The number of shards in each zone of a deployment that gives none.
const DEFAULT_ZONE_SHARDS: u32 = 4;

/// The result of checking a questionnaire that has no faults.
#[derive(Debug, Clone, PartialEq)]
pub struct CheckedQuestionnaire {
    /// The generated configuration; its revision is 0, because it is not published
    /// yet.
    pub configuration: Configuration,
    /// Warnings about answers that contradict each other.
    pub warnings: Vec<Warning>,
}

/// A warning about two answers that contradict each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Warning {
    /// The section of the answers.
    pub section: String,
    /// The contradiction.
    pub message: String,
}

impl fmt::Display for Warning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "warning: [{}] {}", self.section, self.message)
    }
}

impl CheckedQuestionnaire {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read, and with all of its faults.
    pub fn read(path: &Path) -> Result<Self> {
        Self::check(Source::read(path)?)
    }

    /// Checks a parsed questionnaire and generates its configuration.
    ///
    /// # Errors
    ///
    /// Fails with all faults of the questionnaire.
    ///
    /// ```
    /// use lycheelock::configuration::CheckedQuestionnaire;
    /// use lycheelock::settings::Source;
    ///
    /// let text = "[deployment]\nname = d\nzones = a\n\n[team:t]\ntoken = x\n";
    /// let checked =
    ///     CheckedQuestionnaire::check(Source::parse("d.ini", text).unwrap()).unwrap();
    /// assert_eq!(checked.configuration.teams[0].name, "t");
    /// ```
    pub fn check(mut source: Source) -> Result<Self> {
        let mut configuration = Configuration::default();
        if let Some(section) = source.required_section("deployment") {
            read_deployment(section, &mut configuration);
        }
        if let Some(section) = source.section("weights") {
            configuration.weights = read_weights(section);
        }
        configuration.services = read_sections(&mut source, "service", read_service);
        configuration.classes = read_sections(&mut source, "class", read_class);
        configuration.teams = read_sections(&mut source, "team", read_team);
        if configuration.teams.is_empty() {
            source.report("team:NAME", "", None, "at least one team is needed");
        }
        source.finish()?;
        let warnings = find_contradictions(&configuration);
        Ok(Self {
            configuration,
            warnings,
        })
    }
}

fn read_sections<T>(source: &mut Source, prefix: &str, read: fn(&str, Section<'_>) -> T) -> Vec<T> {
    let names = source.names_with_prefix(prefix);
    let mut sections = Vec::new();
    for name in names {
        let full = format!("{prefix}:{name}");
        if (form::NAME.parse)(&name).is_none() {
            source.report(&full, "", None, &format!("give {}", form::NAME.expected));
        }
        if let Some(section) = source.section(&full) {
            sections.push(read(&name, section));
        }
    }
    sections
}

fn read_deployment(mut section: Section<'_>, configuration: &mut Configuration) {
    if let Some(name) = section.required("name", &form::NAME) {
        configuration.deployment = name;
    }
    let zones = section.required("zones", &form::NAMES).unwrap_or_default();
    let distinct: BTreeSet<&String> = zones.iter().collect();
    if distinct.len() < zones.len() {
        section.report("zones", "a zone is named twice");
    }
    let shards = section.value("shards", &form::COUNT, DEFAULT_ZONE_SHARDS);
    if shards > MAX_ZONE_SHARDS {
        section.report("shards", &format!("must be at most {MAX_ZONE_SHARDS}"));
    }
    configuration.zones = zones
        .into_iter()
        .map(|name| Zone {
            name,
            shards: shards.min(MAX_ZONE_SHARDS) as u16,
        })
        .collect();
    section.finish();
}

const WEIGHT: form::Form<f64> = form::Form {
    expected: "a weight from 0 to 100",
    parse: |text| {
        text.parse()
            .ok()
            .filter(|weight| (0.0..=100.0).contains(weight))
    },
};

fn read_weights(mut section: Section<'_>) -> Weights {
    let default = Weights::default();
    let weights = Weights {
        latency: section.value("tail_latency", &WEIGHT, default.latency),
        throughput: section.value("throughput", &WEIGHT, default.throughput),
        evictions: section.value("evictions", &WEIGHT, default.evictions),
        share: section.value("flood_share", &WEIGHT, default.share),
    };
    let sum = weights.latency + weights.throughput + weights.evictions + weights.share;
    if sum < 1.0 {
        section.report("tail_latency", "the four weights must add up to 1 or more");
    }
    section.finish();
    weights
}

const PATTERNS: form::Form<Vec<Pattern>> = form::Form {
    expected: "a method and a path prefix, such as POST /bookings, separated by commas",
    parse: parse_patterns,
};

fn parse_patterns(text: &str) -> Option<Vec<Pattern>> {
    let parse = |part: &str| {
        let (method, prefix) = part.trim().split_once(' ')?;
        let accepted = prefix.starts_with('/') && !method.is_empty();
        accepted.then(|| Pattern {
            method: method.to_owned(),
            prefix: prefix.trim().to_owned(),
        })
    };
    text.split(',').map(parse).collect()
}

fn read_service(name: &str, mut section: Section<'_>) -> Service {
    let second = Duration::from_secs(1);
    let service = Service {
        name: name.to_owned(),
        target: section
            .required("latency_target", &form::DURATION)
            .unwrap_or(second),
        deadline: section.value("deadline", &form::DURATION, 10 * second),
        once: section
            .optional("non_idempotent", &PATTERNS)
            .unwrap_or_default(),
        reserve: section.value("reserve_percent", &form::NUMBER, DEFAULT_RESERVE_PERCENT),
    };
    if service.reserve > MAX_RESERVE_PERCENT {
        section.report(
            "reserve_percent",
            &format!("must be at most {MAX_RESERVE_PERCENT}"),
        );
    }
    section.finish();
    service
}

fn read_class(name: &str, mut section: Section<'_>) -> Class {
    let minute = Duration::from_secs(60);
    let class = Class {
        name: name.to_owned(),
        deadline: section
            .required("deadline", &form::DURATION)
            .unwrap_or(minute),
        duration: section
            .required("duration", &form::DURATION)
            .unwrap_or(minute),
        size: Size {
            millicores: section.required("cores", &form::CORES).unwrap_or(1000),
            memory: section.required("memory_mb", &form::COUNT).unwrap_or(1),
            accelerators: section.value("accelerators", &form::NUMBER, 0),
        },
        overnight: section.value("may_wait_overnight", &form::YES_NO, false),
        checkpointable: section.value("checkpointable", &form::YES_NO, false),
        idempotent: section.value("idempotent", &form::YES_NO, true),
        urgent: section.value("urgent", &form::YES_NO, false),
        attempts: section.value("attempts", &form::COUNT, DEFAULT_ATTEMPTS),
    };
    section.finish();
    class
}

fn read_team(name: &str, mut section: Section<'_>) -> Team {
    let team = Team {
        name: name.to_owned(),
        token: section.required("token", &form::TEXT).unwrap_or_default(),
        requests: section.value("requests", &form::COUNT, 256),
        tasks: section.value("tasks", &form::COUNT, 256),
    };
    section.finish();
    team
}

fn find_contradictions(configuration: &Configuration) -> Vec<Warning> {
    let services = configuration.services.iter().flat_map(service_warnings);
    let classes = configuration.classes.iter().flat_map(class_warnings);
    let mut all: Vec<Warning> = services.chain(classes).collect();
    all.extend(shared_tokens(&configuration.teams));
    all
}

fn service_warnings(service: &Service) -> Vec<Warning> {
    let mut messages = Vec::new();
    if service.target > service.deadline {
        messages.push("latency_target is longer than deadline: requests end before their target");
    }
    if service
        .once
        .iter()
        .any(|pattern| pattern.method.eq_ignore_ascii_case("GET"))
    {
        messages.push("non_idempotent names GET, which HTTP defines as safe to repeat");
    }
    warnings(&format!("service:{}", service.name), messages)
}

fn class_warnings(class: &Class) -> Vec<Warning> {
    let mut messages = Vec::new();
    if class.duration > class.deadline {
        messages.push("duration is longer than deadline: every job will miss it");
    }
    if class.urgent && class.overnight {
        messages.push("urgent work cannot also wait overnight");
    }
    if class.overnight && class.deadline < Duration::from_secs(3600) {
        messages.push("may_wait_overnight with a deadline under an hour");
    }
    if !class.idempotent && class.checkpointable {
        messages
            .push("a task that is not idempotent never resumes from its checkpoint after a loss");
    }
    if !class.idempotent && class.attempts > 1 && class.attempts != DEFAULT_ATTEMPTS {
        messages.push("attempts has no effect: a task that is not idempotent runs at most once");
    }
    warnings(&format!("class:{}", class.name), messages)
}

fn shared_tokens(teams: &[Team]) -> Vec<Warning> {
    let mut seen = BTreeSet::new();
    let repeated = teams.iter().filter(|team| !seen.insert(&team.token));
    repeated
        .flat_map(|team| {
            warnings(
                &format!("team:{}", team.name),
                vec!["token is also another team's"],
            )
        })
        .collect()
}

fn warnings(section: &str, messages: Vec<&str>) -> Vec<Warning> {
    let warn = |message: &str| Warning {
        section: section.to_owned(),
        message: message.to_owned(),
    };
    messages.into_iter().map(warn).collect()
}
