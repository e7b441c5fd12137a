//! The definition of the command line.

use clap::{Arg, ArgAction, Command, crate_version, value_parser};

const EXIT_STATUS_HELP: &str = "Exit status: 0 done, 1 refused or not done in time, 2 bad input, \
                        3 unreachable host, 4 an address or file of this machine.";

/// Builds the command line with all subcommands.
pub fn build() -> Command {
    Command::new("lycheelock")
        .version(crate_version!())
        .about("A scheduler for hosts shared by latency-critical services and batch jobs")
        .after_help(EXIT_STATUS_HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(entry())
        .subcommand(check())
        .subcommand(apply())
        .subcommand(status())
        .subcommand(submit())
        .subcommand(job())
        .subcommand(cancel())
        .subcommand(account())
        .subcommand(drain())
        .subcommand(evacuate())
        .subcommands(standins())
}

fn settings_file() -> Arg {
    Arg::new("config")
        .short('c')
        .long("config")
        .value_name("FILE")
        .required(true)
        .help("The settings file (INI)")
}

fn questionnaire() -> Arg {
    Arg::new("questionnaire")
        .value_name("QUESTIONNAIRE")
        .required(true)
        .help("The questionnaire file (INI)")
}

fn json() -> Arg {
    Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .help("Print JSON lines")
}

/// Adds the arguments of commands that call an entry host.
fn target(command: Command) -> Command {
    command
        .arg(
            Arg::new("entry")
                .long("entry")
                .value_name("ADDRESS")
                .default_value("127.0.0.1:8080")
                .help("The entry host to call"),
        )
        .arg(
            Arg::new("token")
                .long("token")
                .value_name("TOKEN")
                .env("LYCHEELOCK_TOKEN")
                .hide_env_values(true)
                .default_value("")
                .help("The operators' token, or the team's"),
        )
        .arg(json())
}

fn team() -> Arg {
    Arg::new("team")
        .long("team")
        .value_name("TEAM")
        .help("The team, if --token is the team's token")
}

fn wait() -> Arg {
    Arg::new("wait")
        .long("wait")
        .value_name("SPAN")
        .default_value("15s")
        .help("How long to wait")
}

fn entry() -> Command {
    Command::new("entry")
        .about("Run the daemon of an entry host")
        .arg(settings_file())
        .arg(
            Arg::new("policy")
                .long("policy")
                .value_name("NAME")
                .default_value("shipped")
                .help("shipped, baseline-random or baseline-fifo"),
        )
        .after_help("Example: lycheelock entry -c /etc/lycheelock/entry.ini")
}

fn check() -> Command {
    Command::new("check")
        .about("Check a questionnaire and print its configuration without publishing it")
        .arg(questionnaire())
        .arg(json())
        .after_help("Example: lycheelock check examples/nombrario.ini")
}

fn apply() -> Command {
    target(Command::new("apply"))
        .about("Publish the configuration of a questionnaire and wait until it is in force")
        .arg(questionnaire())
        .arg(
            Arg::new("author")
                .long("author")
                .value_name("NAME")
                .default_value("operator")
                .help("Your name, shown to operators whose changes conflict with yours"),
        )
        .arg(wait())
        .after_help("Example: lycheelock apply examples/nombrario.ini --author ana")
}

fn status() -> Command {
    target(Command::new("status"))
        .about("Show an entry host, its shards, workers, peers and counters")
        .after_help("Example: lycheelock status --entry 127.0.0.1:8080 --json")
}

fn submit() -> Command {
    target(Command::new("submit"))
        .about("Submit a batch job")
        .arg(team().required(true))
        .arg(
            Arg::new("class")
                .long("class")
                .value_name("CLASS")
                .required(true)
                .help("The job class"),
        )
        .arg(
            Arg::new("tasks")
                .long("tasks")
                .value_name("N")
                .default_value("1")
                .value_parser(value_parser!(u32))
                .help("The number of tasks"),
        )
        .arg(
            Arg::new("payload")
                .long("payload")
                .value_name("TEXT")
                .default_value("")
                .help("The payload of each task"),
        )
        .arg(
            Arg::new("deadline")
                .long("deadline")
                .value_name("SPAN")
                .help("The deadline, counted from submission [default: the class's]"),
        )
        .arg(
            Arg::new("key")
                .long("key")
                .value_name("KEY")
                .help("An idempotency key, which makes the submission safe to repeat"),
        )
        .after_help(
            "Example: lycheelock submit --team linguists --class review --tasks 20 --key r1",
        )
}

fn job_id() -> Arg {
    Arg::new("id")
        .value_name("JOB")
        .required(true)
        .help("The job's id")
}

fn job() -> Command {
    target(Command::new("job"))
        .about("Show a job")
        .arg(team())
        .arg(job_id())
        .after_help("Example: lycheelock job s3-00000000000000ff")
}

fn cancel() -> Command {
    target(Command::new("cancel"))
        .about("Cancel a job")
        .arg(team())
        .arg(job_id())
        .after_help("Example: lycheelock cancel s3-00000000000000ff")
}

fn account() -> Command {
    target(Command::new("account"))
        .about("Show what ran, what did not, and why")
        .arg(team())
        .after_help("Example: lycheelock account --team linguists")
}

fn drain() -> Command {
    target(Command::new("drain"))
        .about("Stop an entry host gracefully: hand over its shards and finish its requests")
        .arg(wait())
        .after_help("Example: lycheelock drain --entry 127.0.0.1:8080 --wait 60s")
}

fn evacuate() -> Command {
    target(Command::new("evacuate"))
        .about("Start no more work in an availability zone; what runs there runs to its end")
        .arg(
            Arg::new("zone")
                .value_name("ZONE")
                .required(true)
                .help("The availability zone"),
        )
        .arg(
            Arg::new("end")
                .long("end")
                .action(ArgAction::SetTrue)
                .help("End the evacuation: the zone is used again"),
        )
        .arg(wait())
        .after_help("Example: lycheelock evacuate gt-a --entry 127.0.0.1:8080")
}

#[cfg(feature = "standins")]
fn standins() -> Vec<Command> {
    vec![demo(), load(), standin()]
}

#[cfg(not(feature = "standins"))]
fn standins() -> Vec<Command> {
    Vec::new()
}

#[cfg(feature = "standins")]
fn demo() -> Command {
    Command::new("demo")
        .about("Run a whole deployment in one process and inject failures")
        .arg(
            Arg::new("questionnaire")
                .long("questionnaire")
                .value_name("FILE")
                .default_value("examples/nombrario.ini")
                .help("The questionnaire"),
        )
        .arg(
            Arg::new("requests")
                .long("requests")
                .value_name("N")
                .default_value("1500")
                .value_parser(value_parser!(usize))
                .help("The number of interactive requests"),
        )
        .arg(
            Arg::new("jobs")
                .long("jobs")
                .value_name("N")
                .default_value("48")
                .value_parser(value_parser!(usize))
                .help("The number of batch jobs"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .default_value("7")
                .value_parser(value_parser!(u64))
                .help("The seed of the random number generator"),
        )
        .after_help("Example: lycheelock demo --questionnaire examples/rothar.ini")
}

#[cfg(feature = "standins")]
fn load() -> Command {
    Command::new("load")
        .about("Run load experiments, such as floods and failures, under one or more policies")
        .arg(
            Arg::new("profile")
                .long("profile")
                .value_name("NAME")
                .default_value("nombrario")
                .help("nombrario or rothar"),
        )
        .arg(
            Arg::new("policies")
                .long("policies")
                .value_name("NAMES")
                .default_value("shipped,baseline-random,baseline-fifo")
                .help("The policies to compare, separated by commas"),
        )
        .arg(
            Arg::new("phases")
                .long("phases")
                .value_name("NAMES")
                .help("The phases to run, such as calm,batch-flood [default: all]"),
        )
        .arg(
            Arg::new("span")
                .long("span")
                .value_name("SPAN")
                .default_value("10s")
                .help("How long each phase lasts"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("The seed of the random number generator"),
        )
        .arg(
            Arg::new("plot")
                .long("plot")
                .value_name("FILE")
                .help("Write a plot to this file (SVG)"),
        )
        .arg(
            Arg::new("compare-direct")
                .long("compare-direct")
                .action(ArgAction::SetTrue)
                .help("Compare requests through an entry host with direct requests to a worker"),
        )
        .arg(
            Arg::new("slopes")
                .long("slopes")
                .action(ArgAction::SetTrue)
                .help("Measure the cost of decisions by the number of workers and tasks"),
        )
        .arg(json())
        .after_help("Example: lycheelock load --profile rothar --span 20s --plot load.svg")
}

#[cfg(feature = "standins")]
fn standin() -> Command {
    Command::new("standin")
        .about("Run a stand-in for the platform or a worker, for tests")
        .subcommand_required(true)
        .subcommand(
            Command::new("platform")
                .about("Run a stand-in for the platform: a key-value store and a host list")
                .arg(settings_file()),
        )
        .subcommand(
            Command::new("worker")
                .about("Run a stand-in for a worker")
                .arg(settings_file()),
        )
}
