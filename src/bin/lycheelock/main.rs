//! The `lycheelock` program: the entry daemon, the commands of operators and the
//! stand-ins.

mod app;
mod clap_app;

use std::process::ExitCode;

use lycheelock::{Error, Result};

use app::App;

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("lycheelock: {error}");
            ExitCode::from(exit_status(&error))
        }
    }
}

/// Runs the command. Returns false when it ran but did not reach its goal, such as
/// an `apply` that is not yet in force everywhere.
fn run() -> Result<bool> {
    let matches = clap_app::build().get_matches();
    App::new(&matches)?.run()
}

/// Returns the exit status for an error: 1 for a refusal, 2 for bad input, 3 for an
/// unreachable process, 4 for an address or file of this machine, 5 for a fault in
/// lycheelock.
const fn exit_status(error: &Error) -> u8 {
    match error {
        Error::Refused { .. } => 1,
        Error::Settings(_) | Error::Argument { .. } | Error::Read { .. } => 2,
        Error::Unreachable { .. } => 3,
        Error::Panicked => 5,
        Error::Listen { .. } | Error::Log(_) | Error::Io(_) => 4,
    }
}
