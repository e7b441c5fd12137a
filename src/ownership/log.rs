//! The log of a shard: numbered entries in the store, each created once.

use serde::{Deserialize, Serialize};

use crate::ids::{Epoch, HostId, SessionId, ShardId};
use crate::jobs::Change;
use crate::moment::Moment;
use crate::platform::Entry;

/// One entry of a shard's log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Random number by which a writer recognises its own entry under a key.
    pub nonce: u64,
    /// The epoch of the owner that writes the entry.
    pub epoch: Epoch,
    /// The session under which the owner acts.
    pub session: SessionId,
    /// The entry process that is the owner.
    pub host: HostId,
    /// The claim, changes, snapshot or release that the entry records.
    pub body: EntryBody,
}

/// The content of a log entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryBody {
    /// The writer owns the shard from this entry on, or renews its claim under a
    /// new session.
    Claim,
    /// Changes to the shard's ledger.
    Changes(Vec<Change>),
    /// The whole ledger as changes; earlier entries are no longer needed.
    Snapshot(Vec<Change>),
    /// The writer no longer owns the shard.
    Release {
        /// The host that is to claim the shard next; absent if any host may.
        to: Option<HostId>,
    },
}

/// The prefix of a shard's log in the store.
pub fn log_prefix(shard: ShardId) -> String {
    format!("shards/{}/log/", shard.0)
}

/// The key of an entry in the store. The number is padded with zeros so that keys
/// sort in the order of the entries.
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

/// The state of a shard's log, as read by a host that claims the shard.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Replay {
    /// The number of the next entry.
    pub next: u64,
    /// The owner by the last claim; absent if there was none or the shard was released.
    pub former: Option<FormerOwner>,
    /// The highest epoch in the log.
    pub epoch: Epoch,
    /// The changes of the last snapshot and those after it.
    pub changes: Vec<Change>,
    /// The numbers of the entries before the last snapshot, which can be deleted.
    pub stale: Vec<u64>,
}

/// The owner recorded by the last claim or snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct FormerOwner {
    pub host: HostId,
    pub session: SessionId,
}

impl Replay {
    /// Replays the entries of a log; `None` if one of them cannot be parsed.
    /// Entries before the last snapshot may be missing, and those that are still
    /// there have no effect on the result.
    pub fn read(entries: &[Entry]) -> Option<Self> {
        let mut replay = Self {
            next: 1,
            former: None,
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
        let former = FormerOwner {
            host: entry.host,
            session: entry.session,
        };
        match entry.body {
            EntryBody::Claim => self.former = Some(former),
            EntryBody::Changes(changes) => self.changes.extend(changes),
            EntryBody::Snapshot(changes) => {
                self.stale.append(numbers);
                self.former = Some(former);
                self.changes = changes;
            }
            EntryBody::Release { .. } => self.former = None,
        }
        numbers.push(number);
    }
}

fn number_of(key: &str) -> Option<u64> {
    key.rsplit('/').next()?.parse().ok()
}

/// Writes the log of a shard that this host owns.
#[derive(Debug)]
pub(super) struct Writer {
    /// The number of the next entry.
    pub next: u64,
    /// Changes that wait to be written.
    pub queue: Vec<Change>,
    pub pending: Option<PendingWrite>,
    pub last_write: Moment,
    /// Number of changes written since the last snapshot.
    pub since_snapshot: usize,
    /// Numbers of the entries since the last snapshot, the snapshot included.
    pub entries: Vec<u64>,
}

/// A log entry whose write is not confirmed yet.
#[derive(Debug, Clone)]
pub(super) struct PendingWrite {
    pub entry: LogEntry,
    pub stage: WriteStage,
}

/// The progress of an entry's write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteStage {
    /// The write was sent to the store.
    Writing,
    /// The reply was lost or the number was already used; the entry under the
    /// number is being read.
    ReadingBack,
    /// No reply came; the entry is read at this time.
    Waiting(Moment),
}

/// What was found under the number of a pending write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadBack {
    /// The entry that this host wrote.
    Own,
    /// An entry of another writer, or one that cannot be parsed.
    Other,
    /// No entry.
    Absent,
}

impl PendingWrite {
    /// Compares the entry found under the number with the one to be written.
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
            pending: None,
            last_write: now,
            since_snapshot: 0,
            entries: Vec::new(),
        }
    }
}
