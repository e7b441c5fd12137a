//! The log of events and decisions as JSON lines. It never blocks the caller.
//!
//! Lines go into a buffer of limited size, and a separate thread writes the buffer
//! to standard output. Lines that do not fit are dropped and counted. The daemon of
//! the users' platform uses this log; the other processes use [`logs`](crate::logs).

use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::LevelFilter;
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Logger, Root};
use serde::Serialize;

use crate::{Error, Result};

/// The limit on the buffered lines, in bytes.
const BUFFER_BYTES: usize = 256 << 10;
/// The delay between the first buffered line and the write, so that several lines
/// are written together.
const BATCH_DELAY: Duration = Duration::from_millis(80);

#[derive(Debug, Default)]
struct Pending {
    bytes: Vec<u8>,
    /// The number of lines that did not fit.
    dropped: u64,
}

#[derive(Debug, Default)]
struct LineBuffer {
    pending: Mutex<Pending>,
    not_empty: Condvar,
}

static LINE_BUFFER: OnceLock<Arc<LineBuffer>> = OnceLock::new();

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

/// Initializes the log as JSON lines on standard output.
///
/// # Errors
///
/// Fails if a log was already initialized.
pub fn init(level: LevelFilter) -> Result<()> {
    let buffer = LINE_BUFFER.get_or_init(Arc::default).clone();
    let fault = |error: String| Error::Log(error);
    std::thread::Builder::new()
        .name("journal".to_owned())
        .spawn(move || write_all(&buffer))
        .map_err(|error| fault(error.to_string()))?;
    let config = Config::builder()
        .appender(Appender::builder().build("out", Box::new(JournalAppender)))
        .logger(Logger::builder().build("rocket", LevelFilter::Error))
        .logger(Logger::builder().build("_", LevelFilter::Off))
        .build(Root::builder().appender("out").build(level))
        .map_err(|error| fault(error.to_string()))?;
    log4rs::init_config(config).map_err(|error| fault(error.to_string()))?;
    Ok(())
}

/// Writes one line about an event or a decision. Has no effect before [`init`].
pub fn line<T: Serialize>(event: &T) {
    let Some(buffer) = LINE_BUFFER.get() else {
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
    buffer.push(&bytes);
}

impl LineBuffer {
    fn push(&self, bytes: &[u8]) {
        let mut pending = self.pending.lock().expect("no holder panics");
        if pending.bytes.len() + bytes.len() > BUFFER_BYTES {
            pending.dropped += 1;
            return;
        }
        let first = pending.bytes.is_empty();
        pending.bytes.extend_from_slice(bytes);
        if first {
            self.not_empty.notify_one();
        }
    }

    /// Waits for a line, then for [`BATCH_DELAY`], and returns all lines that
    /// arrived.
    fn wait(&self) -> Pending {
        let mut pending = self.pending.lock().expect("no holder panics");
        while pending.bytes.is_empty() {
            pending = self.not_empty.wait(pending).expect("no holder panics");
        }
        drop(pending);
        std::thread::sleep(BATCH_DELAY);
        std::mem::take(&mut *self.pending.lock().expect("no holder panics"))
    }
}

fn write_all(buffer: &LineBuffer) {
    let mut out = std::io::stdout();
    loop {
        let pending = buffer.wait();
        // A closed standard output cannot be reported anywhere.
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

/// Passes the records of the `log` crate, from libraries and about faults, to the
/// journal.
#[derive(Debug)]
struct JournalAppender;

impl Append for JournalAppender {
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
