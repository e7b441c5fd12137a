//! The command line.

use clap::{Arg, ArgAction, Command, crate_version, value_parser};

const STATUSES: &str = "Exit status: 0 done, 1 refused or not all in force, 2 bad input, \
                        3 a host out of reach, 4 an address or file of this machine.";

/// The whole command line.
pub fn build() -> Command {
    Command::new("lycheelock")
        .version(crate_version!())
        .about("A scheduler for hosts shared by latency-critical services and batch jobs")
        .after_help(STATUSES)
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
        .subcommands(standins())
}

fn settings_file() -> Arg {
    Arg::new("config")
        .short('c')
        .long("config")
        .value_name("FILE")
        .required(true)
        .help("The settings, an INI file")
}

fn questionnaire() -> Arg {
    Arg::new("questionnaire")
        .value_name("QUESTIONNAIRE")
        .required(true)
        .help("The questionnaire, an INI file")
}

fn json() -> Arg {
    Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .help("Print JSON lines")
}

/// The arguments of every command that calls an entry host.
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
        .help("The team, with its token; none with the operators' token")
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
        .about("Check a questionnaire and show its configuration; publish nothing")
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
                .help("Your name, shown to operators who lose a race to you"),
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
                .help("How many tasks"),
        )
        .arg(
            Arg::new("payload")
                .long("payload")
                .value_name("TEXT")
                .default_value("")
                .help("What each task is given"),
        )
        .arg(
            Arg::new("deadline")
                .long("deadline")
                .value_name("SPAN")
                .help("The deadline, if not the class's"),
        )
        .arg(
            Arg::new("key")
                .long("key")
                .value_name("KEY")
                .help("Makes the submission safe to repeat"),
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
        .about("Stop an entry host as planned: hand over its shards, finish its requests")
        .arg(wait())
        .after_help("Example: lycheelock drain --entry 127.0.0.1:8080 --wait 60s")
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
        .about("Run a whole deployment in one process, with failures on the way")
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
                .help("Interactive requests"),
        )
        .arg(
            Arg::new("jobs")
                .long("jobs")
                .value_name("N")
                .default_value("48")
                .value_parser(value_parser!(usize))
                .help("Batch jobs"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .default_value("7")
                .value_parser(value_parser!(u64))
                .help("The seed of all choices"),
        )
        .after_help("Example: lycheelock demo --questionnaire examples/rothar.ini")
}

#[cfg(feature = "standins")]
fn load() -> Command {
    Command::new("load")
        .about("Run experiments: floods, noisy waves, failures, with one policy or several")
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
                .help("Only these phases, such as calm,batch-flood"),
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
                .help("The seed of all choices"),
        )
        .arg(
            Arg::new("plot")
                .long("plot")
                .value_name("FILE")
                .help("Write a plot, SVG"),
        )
        .arg(
            Arg::new("compare-direct")
                .long("compare-direct")
                .action(ArgAction::SetTrue)
                .help("Compare requests through an entry host with requests straight to a worker"),
        )
        .arg(
            Arg::new("slopes")
                .long("slopes")
                .action(ArgAction::SetTrue)
                .help("Measure what the decisions cost by workers and tasks"),
        )
        .arg(json())
        .after_help("Example: lycheelock load --profile rothar --span 20s --plot load.svg")
}

#[cfg(feature = "standins")]
fn standin() -> Command {
    Command::new("standin")
        .about("Run a stand-in for tests")
        .subcommand_required(true)
        .subcommand(
            Command::new("platform")
                .about("Run a key-value service and a host list")
                .arg(settings_file()),
        )
        .subcommand(
            Command::new("worker")
                .about("Run a worker")
                .arg(settings_file()),
        )
}
