//! Turns the parsed command line into a command with its settings, and runs it.

use std::path::PathBuf;
use std::time::Duration;

use clap::ArgMatches;
use log::LevelFilter;
use lycheelock::drain::wait_for_stop;
use lycheelock::entry::Node;
use lycheelock::jobs::JobSpec;
use lycheelock::operator::{self, Target};
use lycheelock::placement::Policy;
use lycheelock::settings::{EntrySettings, FleetSettings, form};
use lycheelock::{Error, Result, daemon, logs};
use tokio::runtime::Runtime;

#[cfg(feature = "standins")]
use lycheelock::demo::{self, DemoSettings};
#[cfg(feature = "standins")]
use lycheelock::load::{self, DirectSettings, LoadSettings, Phase};
#[cfg(feature = "standins")]
use lycheelock::settings::{PlatformSettings, WorkerSettings};

/// The command that the command line asks for, with its settings.
pub struct App {
    command: Command,
}

enum Command {
    Entry(PathBuf, Policy),
    Check(PathBuf, bool),
    Apply(ApplyArgs),
    Status(Target),
    Submit(JobSpec, Option<String>, Target),
    Job(String, Target),
    Cancel(String, Target),
    Account(Target),
    Drain(Duration, Target),
    Evacuate(EvacuateArgs),
    #[cfg(feature = "standins")]
    Demo(DemoSettings),
    #[cfg(feature = "standins")]
    Load(LoadSettings),
    #[cfg(feature = "standins")]
    CompareDirect(DirectSettings),
    #[cfg(feature = "standins")]
    MeasureSlopes(bool),
    #[cfg(feature = "standins")]
    Platform(PathBuf),
    #[cfg(feature = "standins")]
    Worker(PathBuf),
}

struct ApplyArgs {
    path: PathBuf,
    author: String,
    wait: Duration,
    target: Target,
}

struct EvacuateArgs {
    zone: String,
    end: bool,
    wait: Duration,
    target: Target,
}

impl App {
    /// Builds the command from the parsed command line.
    pub fn new(matches: &ArgMatches) -> Result<Self> {
        let (name, sub) = matches.subcommand().expect("a subcommand is required");
        let command = match name {
            "entry" => Command::Entry(path(sub, "config"), policy(sub)?),
            "check" => Command::Check(path(sub, "questionnaire"), sub.get_flag("json")),
            "apply" => Command::Apply(ApplyArgs {
                path: path(sub, "questionnaire"),
                author: text(sub, "author"),
                wait: duration(sub, "wait")?,
                target: target(sub),
            }),
            "status" => Command::Status(target(sub)),
            "submit" => Command::Submit(job_spec(sub)?, optional(sub, "key"), target(sub)),
            "job" => Command::Job(text(sub, "id"), target(sub)),
            "cancel" => Command::Cancel(text(sub, "id"), target(sub)),
            "account" => Command::Account(target(sub)),
            "drain" => Command::Drain(duration(sub, "wait")?, target(sub)),
            "evacuate" => Command::Evacuate(EvacuateArgs {
                zone: text(sub, "zone"),
                end: sub.get_flag("end"),
                wait: duration(sub, "wait")?,
                target: target(sub),
            }),
            #[cfg(feature = "standins")]
            "demo" => Command::Demo(demo_settings(sub)),
            #[cfg(feature = "standins")]
            "load" => load(sub)?,
            #[cfg(feature = "standins")]
            "standin" => standin(sub),
            other => unreachable!("unknown subcommand {other:?}"),
        };
        Ok(Self { command })
    }

    /// Runs the command. Returns false when it ran but did not reach its goal.
    pub fn run(self) -> Result<bool> {
        let runtime = Runtime::new()?;
        runtime.block_on(self.run_command())
    }

    async fn run_command(self) -> Result<bool> {
        match self.command {
            Command::Entry(path, _) if FleetSettings::has_fleet_section(&path)? => {
                daemon::run(&path).await
            }
            Command::Entry(path, policy) => entry(&EntrySettings::read(&path)?, policy).await,
            Command::Check(path, json) => operator::check(&path, json),
            Command::Apply(args) => {
                operator::apply(&args.path, &args.author, args.wait, &args.target).await
            }
            Command::Status(target) => operator::status(&target).await,
            Command::Submit(spec, key, target) => {
                operator::submit(&spec, key.as_deref(), &target).await
            }
            Command::Job(id, target) => operator::job(&id, &target).await,
            Command::Cancel(id, target) => operator::cancel(&id, &target).await,
            Command::Account(target) => operator::account(&target).await,
            Command::Drain(wait, target) => operator::drain(wait, &target).await,
            Command::Evacuate(args) => {
                operator::evacuate(&args.zone, args.end, args.wait, &args.target).await
            }
            #[cfg(feature = "standins")]
            Command::Demo(settings) => demo::run(&settings).await,
            #[cfg(feature = "standins")]
            Command::Load(settings) => load::run(&settings).await,
            #[cfg(feature = "standins")]
            Command::CompareDirect(settings) => load::compare_direct(&settings).await,
            #[cfg(feature = "standins")]
            Command::MeasureSlopes(json) => load::measure_slopes(json),
            #[cfg(feature = "standins")]
            Command::Platform(path) => platform(&PlatformSettings::read(&path)?).await,
            #[cfg(feature = "standins")]
            Command::Worker(path) => worker(WorkerSettings::read(&path)?).await,
        }
    }
}

fn path(matches: &ArgMatches, name: &str) -> PathBuf {
    PathBuf::from(text(matches, name))
}

fn text(matches: &ArgMatches, name: &str) -> String {
    optional(matches, name).unwrap_or_default()
}

fn optional(matches: &ArgMatches, name: &str) -> Option<String> {
    matches.get_one::<String>(name).cloned()
}

fn duration(matches: &ArgMatches, name: &str) -> Result<Duration> {
    parse_duration(name, &text(matches, name))
}

fn parse_duration(name: &str, value: &str) -> Result<Duration> {
    (form::DURATION.parse)(value).ok_or_else(|| Error::Argument {
        name: format!("--{name} {value:?}"),
        message: format!("give {}", form::DURATION.expected),
    })
}

fn policy(matches: &ArgMatches) -> Result<Policy> {
    text(matches, "policy")
        .parse()
        .map_err(|message| Error::Argument {
            name: "--policy".to_owned(),
            message,
        })
}

fn target(matches: &ArgMatches) -> Target {
    let team = matches.try_get_one::<String>("team").ok().flatten();
    Target {
        entry: text(matches, "entry"),
        token: text(matches, "token"),
        team: team.cloned(),
        json: matches.get_flag("json"),
    }
}

fn job_spec(matches: &ArgMatches) -> Result<JobSpec> {
    let deadline = match optional(matches, "deadline") {
        Some(value) => Some(parse_duration("deadline", &value)?.as_millis() as u64),
        None => None,
    };
    Ok(JobSpec {
        class: text(matches, "class"),
        tasks: matches.get_one::<u32>("tasks").copied().unwrap_or(1),
        payload: text(matches, "payload"),
        deadline_ms: deadline,
        size: None,
        duration_ms: None,
    })
}

/// Runs the daemon until it has stopped. The first signal starts a planned stop, the
/// second ends the process immediately.
async fn entry(settings: &EntrySettings, policy: Policy) -> Result<bool> {
    logs::init(settings.log.as_deref(), LevelFilter::Info)?;
    let started = Node::start(settings.clone(), policy).await?;
    let node = started.node.clone();
    let signals = async {
        wait_for_stop().await;
        let draining = node.clone();
        tokio::spawn(async move { draining.drain().await });
        wait_for_stop().await;
    };
    let watched = started.node.clone();
    tokio::select! {
        () = started.run_to_end() => Ok(true),
        () = signals => {
            let aborted = watched.in_progress();
            log::error!("second signal: stopped immediately, {aborted} requests aborted");
            eprintln!("lycheelock: stopped immediately, {aborted} requests aborted");
            Ok(false)
        }
    }
}

#[cfg(feature = "standins")]
fn demo_settings(matches: &ArgMatches) -> DemoSettings {
    let default = DemoSettings::default();
    DemoSettings {
        questionnaire: path(matches, "questionnaire"),
        requests: matches
            .get_one("requests")
            .copied()
            .unwrap_or(default.requests),
        jobs: matches.get_one("jobs").copied().unwrap_or(default.jobs),
        seed: matches.get_one("seed").copied().unwrap_or(default.seed),
        ..default
    }
}

#[cfg(feature = "standins")]
fn load(matches: &ArgMatches) -> Result<Command> {
    let json = matches.get_flag("json");
    if matches.get_flag("slopes") {
        return Ok(Command::MeasureSlopes(json));
    }
    if matches.get_flag("compare-direct") {
        return Ok(Command::CompareDirect(DirectSettings {
            json,
            ..DirectSettings::default()
        }));
    }
    let invalid = |name: &str| {
        let name = format!("--{name}");
        move |message| Error::Argument { name, message }
    };
    let policies = text(matches, "policies");
    let policies: std::result::Result<Vec<Policy>, String> =
        policies.split(',').map(str::parse).collect();
    let phases = match optional(matches, "phases") {
        None => Phase::ALL.to_vec(),
        Some(names) => names
            .split(',')
            .map(|name| Phase::find(name).ok_or_else(|| format!("unknown phase {name:?}")))
            .collect::<std::result::Result<Vec<Phase>, String>>()
            .map_err(invalid("phases"))?,
    };
    Ok(Command::Load(LoadSettings {
        profile: text(matches, "profile")
            .parse()
            .map_err(invalid("profile"))?,
        policies: policies.map_err(invalid("policies"))?,
        phases,
        span: duration(matches, "span")?,
        seed: matches.get_one("seed").copied().unwrap_or(1),
        json,
        plot: optional(matches, "plot").map(PathBuf::from),
    }))
}

#[cfg(feature = "standins")]
fn standin(matches: &ArgMatches) -> Command {
    let (name, sub) = matches.subcommand().expect("a subcommand is required");
    match name {
        "platform" => Command::Platform(path(sub, "config")),
        _ => Command::Worker(path(sub, "config")),
    }
}

#[cfg(feature = "standins")]
async fn platform(settings: &PlatformSettings) -> Result<bool> {
    logs::init(None, LevelFilter::Info)?;
    let standin = std::sync::Arc::new(lycheelock::standins::platform::PlatformStandin::default());
    let running = standin.start(settings.address).await?;
    log::info!("platform stand-in on {}", settings.address);
    wait_for_stop().await;
    running.stop().await;
    Ok(true)
}

#[cfg(feature = "standins")]
async fn worker(settings: WorkerSettings) -> Result<bool> {
    use lycheelock::standins::worker::{WorkerStandin, register_worker};

    logs::init(None, LevelFilter::Info)?;
    let platform = settings.platform;
    let worker = WorkerStandin::new(settings);
    let running = worker.start().await?;
    register_worker(platform, &worker.listed_host()).await?;
    log::info!("worker stand-in {} started", worker.listed_host().name);
    wait_for_stop().await;
    running.stop().await;
    Ok(true)
}
