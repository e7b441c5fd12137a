//! The error of the library and the command line.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

use crate::settings::Fault;

/// A result whose error is [`enum@Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// What can stop a command or a daemon.
#[derive(Debug, Error)]
pub enum Error {
    /// A file could not be read.
    #[error("cannot read {path:?}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A settings file or a questionnaire has faults; all of them are listed.
    #[error("{}", join_lines(.0))]
    Settings(Vec<Fault>),
    /// A server could not be started on its address.
    #[error("server on {address} did not start: {reason}")]
    Listen {
        /// The address from the settings.
        address: String,
        /// The cause.
        reason: String,
    },
    /// Another process could not be reached or did not answer in time.
    #[error("no answer from {address}: {reason}")]
    Unreachable {
        /// The address that was called.
        address: String,
        /// The cause.
        reason: String,
    },
    /// Another process refused a call.
    #[error("{address} refused: {message}")]
    Refused {
        /// The address that was called.
        address: String,
        /// The text of its answer.
        message: String,
    },
    /// An argument of the command line has a bad value.
    #[error("argument {name}: {message}")]
    Argument {
        /// The argument.
        name: String,
        /// What is wrong and what would be accepted.
        message: String,
    },
    /// The log could not be set up.
    #[error("log: {0}")]
    Log(String),
    /// Input or output failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

fn join_lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}
