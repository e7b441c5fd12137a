//! The error type of the library and of the command line.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

use crate::settings::Fault;

/// A result whose error is [`enum@Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// An error that ends a command or a daemon.
#[derive(Debug, Error)]
pub enum Error {
    /// A file could not be read.
    #[error("cannot read {path:?}: {source}")]
    Read {
        /// The path of the file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// A settings file or a questionnaire is invalid; lists every fault.
    #[error("{}", join_lines(.0))]
    Settings(Vec<Fault>),
    /// A server could not be started.
    #[error("server on {address} did not start: {reason}")]
    Listen {
        /// The address that the server should listen on.
        address: String,
        /// The cause, as text.
        reason: String,
    },
    /// Another process could not be reached or did not answer in time.
    #[error("no answer from {address}: {reason}")]
    Unreachable {
        /// The address of the other process.
        address: String,
        /// The cause, as text.
        reason: String,
    },
    /// Another process refused a call.
    #[error("{address} refused: {message}")]
    Refused {
        /// The address of the other process.
        address: String,
        /// The text of its answer.
        message: String,
    },
    /// A command-line argument has an invalid value.
    #[error("argument {name}: {message}")]
    Argument {
        /// The name of the argument.
        name: String,
        /// What is wrong with the value and which values are accepted.
        message: String,
    },
    /// Logging could not be set up.
    #[error("log: {0}")]
    Log(String),
    /// A task that the daemon cannot work without has panicked.
    #[error("a task of the daemon panicked, see the log")]
    Panicked,
    /// Input or output failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

fn join_lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}
