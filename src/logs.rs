//! The log as JSON lines, in a file or on standard error. The daemon of the users'
//! platform uses [`journal`](crate::journal) instead.

use std::path::Path;

use log::LevelFilter;
use log4rs::append::Append;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Config, Logger, Root};
use log4rs::encode::json::JsonEncoder;

use crate::{Error, Result};

/// Initializes the log to a file, or to standard error if none is given.
///
/// # Errors
///
/// Fails if the file cannot be opened, or a log was already initialized.
pub fn init(file: Option<&Path>, level: LevelFilter) -> Result<()> {
    let encoder = Box::new(JsonEncoder::new());
    let appender: Box<dyn Append> = match file {
        Some(path) => {
            let appender = FileAppender::builder().encoder(encoder).build(path);
            Box::new(appender.map_err(|error| Error::Log(error.to_string()))?)
        }
        None => {
            let builder = ConsoleAppender::builder().target(Target::Stderr);
            Box::new(builder.encoder(encoder).build())
        }
    };
    let config = Config::builder()
        .appender(Appender::builder().build("out", appender))
        .logger(Logger::builder().build("rocket", LevelFilter::Error))
        .logger(Logger::builder().build("_", LevelFilter::Off))
        .build(Root::builder().appender("out").build(level))
        .map_err(|error| Error::Log(error.to_string()))?;
    log4rs::init_config(config).map_err(|error| Error::Log(error.to_string()))?;
    Ok(())
}
