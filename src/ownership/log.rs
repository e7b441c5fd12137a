//! The log of a shard: numbered entries in the store, each created once.

use serde::{Deserialize, Serialize};

use crate::ids::{Epoch, HostId, SessionId, ShardId};
use crate::jobs::Change;
use crate::moment::Moment;
use crate::platform::Entry;

/// One entry of a shard's log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Tells the writer's own entry from another's with the same number.
    pub nonce: u64,
    /// The epoch of the owner.
    pub epoch: Epoch,
    /// The session of the owner.
    pub session: SessionId,
    /// The process of the owner.
    pub host: HostId,
    /// What the entry says.
    pub body: EntryBody,
}

/// What an entry says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryBody {
    /// The writer is the owner from here on.
    Claim,
    /// Changes of the ledger.
    Changes(Vec<Change>),
    /// The whole ledger; entries before it are not needed.
    Snapshot(Vec<Change>),
    /// The writer owns the shard no longer.
    Release {
        /// The host that is to claim it.
        to: Option<HostId>,
    },
}

/// The prefix of a shard's log in the store.
pub fn log_prefix(shard: ShardId) -> String {
    format!("shards/{}/log/", shard.0)
}

/// The key of an entry in the store. The digits keep the keys in order.
///
/// ```
/// use lycheelock::ids::ShardId;
/// use lycheelock::ownership::log_key;
///
/// assert_eq!(log_key(ShardId(3), 17), "shards/3/log/000000000017");
/// ```
pub fn log_key(shard: ShardId, number: u64) -> String {
    format!("{}{number:012}", log_prefix(shard))
}

/// A shard's log as a host that wants to own it reads it.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Replay {
    /// The number of the next entry.
    pub next: u64,
    /// The last claim, none if there never was one or it was released.
    pub holder: Option<Holder>,
    /// The highest epoch.
    pub epoch: Epoch,
    /// The changes since the last snapshot, and that snapshot's.
    pub changes: Vec<Change>,
    /// The entries that the last snapshot made superfluous.
    pub stale: Vec<u64>,
}

/// The owner named by the last claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Holder {
    pub host: HostId,
    pub session: SessionId,
}

impl Replay {
    /// Reads the entries of a log. Entries before the last snapshot may be
    /// missing; a stray one among them has no effect.
    pub fn read(entries: &[Entry]) -> Option<Self> {
        let mut replay = Self {
            next: 1,
            holder: None,
            epoch: Epoch(0),
            changes: Vec::new(),
            stale: Vec::new(),
        };
        let mut numbers = Vec::new();
        for entry in entries {
            let number = number_of(&entry.key)?;
            let parsed: LogEntry = serde_json::from_str(entry.value.as_deref()?).ok()?;
            replay.apply(number, parsed, &mut numbers);
        }
        Some(replay)
    }

    fn apply(&mut self, number: u64, entry: LogEntry, numbers: &mut Vec<u64>) {
        self.next = number + 1;
        self.epoch = self.epoch.max(entry.epoch);
        let holder = Holder {
            host: entry.host,
            session: entry.session,
        };
        match entry.body {
            EntryBody::Claim => self.holder = Some(holder),
            EntryBody::Changes(changes) => self.changes.extend(changes),
            EntryBody::Snapshot(changes) => {
                self.stale.append(numbers);
                self.holder = Some(holder);
                self.changes = changes;
            }
            EntryBody::Release { .. } => self.holder = None,
        }
        numbers.push(number);
    }
}

fn number_of(key: &str) -> Option<u64> {
    key.rsplit('/').next()?.parse().ok()
}

/// The writing end of a log that this host owns.
#[derive(Debug)]
pub(super) struct Writer {
    pub next: u64,
    pub queue: Vec<Change>,
    pub flight: Option<Flight>,
    pub last_write: Moment,
    /// Changes since the last snapshot.
    pub since_snapshot: usize,
    /// Entries since the last snapshot.
    pub entries: Vec<u64>,
}

/// An entry whose write is not confirmed.
#[derive(Debug, Clone)]
pub(super) struct Flight {
    pub entry: LogEntry,
    pub stage: FlightStage,
}

/// Where the write of an entry stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FlightStage {
    /// The write is out.
    Writing,
    /// The answer is lost, or the number was taken: the entry is being read.
    ReadingBack,
    /// No answer came; the next step waits until this point.
    Waiting(Moment),
}

/// What a read-back shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadBack {
    /// The own entry stands.
    Own,
    /// Another's entry stands.
    Other,
    /// No entry stands.
    Absent,
}

impl Flight {
    /// Compares what stands under the entry's number with the entry.
    pub fn compare(&self, found: Option<&Entry>) -> ReadBack {
        let Some(found) = found else {
            return ReadBack::Absent;
        };
        let text = found.value.as_deref().unwrap_or_default();
        match serde_json::from_str::<LogEntry>(text) {
            Ok(entry) if entry.nonce == self.entry.nonce => ReadBack::Own,
            _ => ReadBack::Other,
        }
    }
}

impl Writer {
    pub const fn new(next: u64, now: Moment) -> Self {
        Self {
            next,
            queue: Vec::new(),
            flight: None,
            last_write: now,
            since_snapshot: 0,
            entries: Vec::new(),
        }
    }
}
