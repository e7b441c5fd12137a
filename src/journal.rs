//! Lines of the log about decisions: bounded in volume, never blocking.
//!
//! A line goes into a buffer of fixed size; a thread of its own writes the
//! buffer to standard output. What does not fit is counted and dropped.

use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::LevelFilter;
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Logger, Root};
use serde::Serialize;

use crate::{Error, Result};

/// What the buffer holds until it is written, in bytes.
const BUFFER: usize = 256 << 10;
/// Lines are written together, this long after the first.
const GATHER: Duration = Duration::from_millis(80);

#[derive(Debug, Default)]
struct Pending {
    bytes: Vec<u8>,
    dropped: u64,
}

#[derive(Debug, Default)]
struct Outlet {
    pending: Mutex<Pending>,
    filled: Condvar,
}

static OUTLET: OnceLock<Arc<Outlet>> = OnceLock::new();

#[derive(Serialize)]
struct Line<'a, T> {
    time: u64,
    #[serde(flatten)]
    event: &'a T,
}

#[derive(Serialize)]
struct Message {
    event: &'static str,
    level: &'static str,
    message: String,
}

#[derive(Serialize)]
struct Dropped {
    event: &'static str,
    lines: u64,
}

/// Sends the log to standard output, as JSON lines.
///
/// # Errors
///
/// Fails when a log is set up already.
pub fn init(level: LevelFilter) -> Result<()> {
    let outlet = OUTLET.get_or_init(Arc::default).clone();
    let fault = |error: String| Error::Log(error);
    std::thread::Builder::new()
        .name("journal".to_owned())
        .spawn(move || write_all(&outlet))
        .map_err(|error| fault(error.to_string()))?;
    let config = Config::builder()
        .appender(Appender::builder().build("out", Box::new(Lines)))
        .logger(Logger::builder().build("rocket", LevelFilter::Error))
        .logger(Logger::builder().build("_", LevelFilter::Off))
        .build(Root::builder().appender("out").build(level))
        .map_err(|error| fault(error.to_string()))?;
    log4rs::init_config(config).map_err(|error| fault(error.to_string()))?;
    Ok(())
}

/// Writes one line about a decision. Before [`init`] it does nothing.
pub fn line<T: Serialize>(event: &T) {
    let Some(outlet) = OUTLET.get() else {
        return;
    };
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    let line = Line {
        time: time.map_or(0, |time| time.as_millis() as u64),
        event,
    };
    let Ok(mut bytes) = serde_json::to_vec(&line) else {
        return;
    };
    bytes.push(b'\n');
    outlet.push(&bytes);
}

impl Outlet {
    fn push(&self, bytes: &[u8]) {
        let mut pending = self.pending.lock().expect("no holder panics");
        if pending.bytes.len() + bytes.len() > BUFFER {
            pending.dropped += 1;
            return;
        }
        let first = pending.bytes.is_empty();
        pending.bytes.extend_from_slice(bytes);
        if first {
            self.filled.notify_one();
        }
    }

    fn wait(&self) -> Pending {
        let mut pending = self.pending.lock().expect("no holder panics");
        while pending.bytes.is_empty() {
            pending = self.filled.wait(pending).expect("no holder panics");
        }
        drop(pending);
        std::thread::sleep(GATHER);
        std::mem::take(&mut *self.pending.lock().expect("no holder panics"))
    }
}

fn write_all(outlet: &Outlet) {
    let mut out = std::io::stdout();
    loop {
        let pending = outlet.wait();
        // A reader that is gone leaves nobody to tell.
        let _ = out.write_all(&pending.bytes);
        let _ = out.flush();
        if pending.dropped > 0 {
            line(&Dropped {
                event: "log_lines_dropped",
                lines: pending.dropped,
            });
        }
    }
}

/// Lines of the `log` crate, from libraries and from faults.
#[derive(Debug)]
struct Lines;

impl Append for Lines {
    fn append(&self, record: &log::Record<'_>) -> anyhow::Result<()> {
        line(&Message {
            event: "message",
            level: record.level().as_str(),
            message: record.args().to_string(),
        });
        Ok(())
    }

    fn flush(&self) {}
}
