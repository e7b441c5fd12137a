//! The log of events and decisions as JSON lines. It never blocks the caller.
//!
//! Lines go into a buffer of limited size, and a separate thread writes the buffer
//! to standard output. Lines that do not fit are dropped and counted by event. A part of
//! the buffer is kept for [`Importance::Essential`] lines, so that a burst of lines about
//! single tasks does not drop those that explain why a job failed. The daemon of
//! the users' platform uses this log; the other processes use [`logs`](crate::logs).

mod buffer;
#[cfg(test)]
mod tests;

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::LevelFilter;
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Logger, Root};
use serde::Serialize;

use crate::{Error, Result};
use buffer::{DroppedLines, Pending};

/// The delay between the first buffered line and the write, so that several lines
/// are written together.
const BATCH_DELAY: Duration = Duration::from_millis(80);

/// Which part of the buffer a line may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Importance {
    /// The line explains the end of a job or a refusal, or a change of ownership,
    /// configuration or evacuation. It may use the whole buffer.
    Essential,
    /// Any other line. A part of the buffer is closed to it.
    Ordinary,
}

/// An event or a decision that is written as one line.
///
/// ```
/// use lycheelock::journal::{self, Entry, Importance};
/// use serde::Serialize;
///
/// #[derive(Serialize)]
/// struct Ended {
///     event: &'static str,
///     id: u64,
/// }
///
/// impl Entry for Ended {
///     fn importance(&self) -> Importance {
///         Importance::Essential
///     }
/// }
///
/// // Has no effect here, as the log is not initialized.
/// journal::line(&Ended { event: "ended", id: 7 });
/// ```
pub trait Entry: Serialize {
    /// Which part of the buffer the line may use.
    fn importance(&self) -> Importance;
}

#[derive(Debug, Default)]
struct LineBuffer {
    pending: Mutex<Pending>,
    not_empty: Condvar,
    /// The number of lines dropped since the process started.
    dropped: AtomicU64,
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

impl Entry for Message {
    /// Libraries write messages too, so their number has no bound.
    fn importance(&self) -> Importance {
        Importance::Ordinary
    }
}

#[derive(Serialize)]
struct Dropped<'a> {
    event: &'static str,
    #[serde(flatten)]
    dropped: &'a DroppedLines,
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
pub fn line<T: Entry>(event: &T) {
    if let Some(buffer) = LINE_BUFFER.get() {
        buffer.push(&encode(event), event.importance());
    }
}

/// Returns the number of lines dropped since the process started.
///
/// ```
/// assert_eq!(lycheelock::journal::dropped_lines(), 0);
/// ```
pub fn dropped_lines() -> u64 {
    let buffer = LINE_BUFFER.get();
    buffer.map_or(0, |buffer| buffer.dropped.load(Ordering::Relaxed))
}

/// Encodes an event as a line with the present time; empty if it cannot be encoded.
fn encode<T: Serialize>(event: &T) -> Vec<u8> {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    let line = Line {
        time: time.map_or(0, |time| time.as_millis() as u64),
        event,
    };
    let Ok(mut bytes) = serde_json::to_vec(&line) else {
        return Vec::new();
    };
    bytes.push(b'\n');
    bytes
}

impl LineBuffer {
    fn push(&self, line: &[u8], importance: Importance) {
        let mut pending = self.pending.lock().expect("no holder panics");
        let first = pending.bytes.is_empty();
        if !pending.push(line, importance) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        } else if first {
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
        let mut pending = buffer.wait();
        // Added here and not to the buffer, where it could be dropped itself.
        if pending.dropped.lines > 0 {
            pending.bytes.extend(encode(&Dropped {
                event: "log_lines_dropped",
                dropped: &pending.dropped,
            }));
        }
        // A closed standard output cannot be reported anywhere.
        let _ = out.write_all(&pending.bytes);
        let _ = out.flush();
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
