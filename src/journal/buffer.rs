//! The lines that wait to be written, and the count of those that did not fit.

use std::borrow::Cow;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Importance;

/// The limit on the buffered lines, in bytes.
pub(super) const BUFFER_BYTES: usize = 512 << 10;
/// The part of the buffer that only [`Importance::Essential`] lines may use, in bytes.
pub(super) const RESERVED_BYTES: usize = 256 << 10;
/// The limit on the events whose dropped lines are counted apart. It is above the
/// number of events that this program writes, and keeps the report short for any others.
pub(super) const MAX_COUNTED_EVENTS: usize = 64;
/// The name under which the lines of all further events are counted.
const OTHER_EVENTS: &str = "other";

/// The numbers of dropped lines.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub(super) struct DroppedLines {
    /// The number of all dropped lines.
    pub lines: u64,
    /// The number of dropped lines of each event.
    pub events: BTreeMap<String, u64>,
}

/// The lines that wait to be written, in the order in which they arrived.
#[derive(Debug, Default)]
pub(super) struct Pending {
    pub bytes: Vec<u8>,
    pub dropped: DroppedLines,
}

impl Pending {
    /// Adds a line if the part of the buffer that is open to it has room; counts it as
    /// dropped otherwise. Returns whether it was added.
    pub fn push(&mut self, line: &[u8], importance: Importance) -> bool {
        let limit = match importance {
            Importance::Essential => BUFFER_BYTES,
            Importance::Ordinary => BUFFER_BYTES - RESERVED_BYTES,
        };
        let fits = self.bytes.len() + line.len() <= limit;
        if fits {
            self.bytes.extend_from_slice(line);
        } else {
            self.dropped.count(line);
        }
        fits
    }
}

impl DroppedLines {
    fn count(&mut self, line: &[u8]) {
        self.lines += 1;
        let event = event_name(line);
        let known = self.events.contains_key(event.as_ref());
        let event = if known || self.events.len() < MAX_COUNTED_EVENTS {
            event
        } else {
            Cow::Borrowed(OTHER_EVENTS)
        };
        *self.events.entry(event.into_owned()).or_default() += 1;
    }
}

/// The name of the event that a line is about; empty if it names none.
fn event_name(line: &[u8]) -> Cow<'_, str> {
    #[derive(Deserialize)]
    struct Tag<'a> {
        #[serde(borrow)]
        event: Cow<'a, str>,
    }
    let tag = serde_json::from_slice(line).ok();
    tag.map_or(Cow::Borrowed(""), |tag: Tag<'_>| tag.event)
}
