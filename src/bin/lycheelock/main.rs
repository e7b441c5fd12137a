//! The program `lycheelock`: daemon, client and stand-ins.

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
            ExitCode::from(status(&error))
        }
    }
}

/// Runs the command; false is an answer that is no.
fn run() -> Result<bool> {
    let matches = clap_app::build().get_matches();
    App::new(&matches)?.run()
}

/// The exit status of an error: 1 for a refusal, 2 for bad input, 3 for
/// another process out of reach, 4 for this machine.
const fn status(error: &Error) -> u8 {
    match error {
        Error::Refused { .. } => 1,
        Error::Settings(_) | Error::Argument { .. } | Error::Read { .. } => 2,
        Error::Unreachable { .. } => 3,
        Error::Listen { .. } | Error::Log(_) | Error::Io(_) => 4,
    }
}
