//! Evidence of interference that the owners of other shards have observed.
//!
//! Each owner stores how much evidence it has observed in sum. The others add by how much
//! that has grown since they last read it, so that a record that is read twice, late or not
//! at all does no harm.

use std::collections::HashMap;

use super::write::{MAX_IMAGE_BYTES, MAX_STORED_PAIRS};
use super::{Event, PairRecord, Scheduler};
use crate::interference::ImageKey;

/// The limit on the evidence that an owner may have observed for a pair, as log odds in sum.
const MAX_OBSERVED: f64 = 1e9;

/// What was last read of the evidence of one shard's owner.
#[derive(Debug, Default)]
pub(super) struct PeerEvidence {
    /// The store's revision of the record.
    revision: u64,
    observed: HashMap<(ImageKey, ImageKey), f64>,
}

/// A field of a record of evidence that has an impossible value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct BadField {
    name: &'static str,
    value: String,
}

impl BadField {
    fn new(name: &'static str, value: impl ToString) -> Self {
        let value = value.to_string();
        Self { name, value }
    }

    /// The event that says that the record of a shard's owner is refused for this field.
    pub fn refused(self, shard: &str) -> Event {
        Event::EvidenceRefused {
            from: shard.to_owned(),
            field: self.name,
            value: self.value,
        }
    }
}

impl Scheduler {
    /// Adds the evidence that the owner of another shard has observed since its record was
    /// last read. A record that is not newer, or has a field with an impossible value, adds
    /// nothing.
    pub fn merge_peer_pairs(&mut self, shard: &str, revision: u64, records: &[PairRecord]) {
        self.read_peer_pairs(shard, revision, records, true);
    }

    /// Takes the evidence of another shard's owner as known: the evidence of the former
    /// owner of this shard includes it.
    pub fn skip_peer_pairs(&mut self, shard: &str, revision: u64, records: &[PairRecord]) {
        self.read_peer_pairs(shard, revision, records, false);
    }

    fn read_peer_pairs(
        &mut self,
        shard: &str,
        revision: u64,
        records: &[PairRecord],
        merges: bool,
    ) {
        let mut peer = self.peers.remove(shard).unwrap_or_default();
        if revision > peer.revision {
            peer.revision = revision;
            match check_records(records) {
                Ok(()) => self.apply_peer_pairs(&mut peer, shard, records, merges),
                Err(field) => self.record(field.refused(shard)),
            }
        }
        self.peers.insert(shard.to_owned(), peer);
    }

    fn apply_peer_pairs(
        &mut self,
        peer: &mut PeerEvidence,
        shard: &str,
        records: &[PairRecord],
        merges: bool,
    ) {
        let mut changed = 0;
        for record in records {
            let serving = self.images.key(&record.serving);
            let best_effort = self.images.key(&record.best_effort);
            let known = peer
                .observed
                .insert((serving, best_effort), record.observed);
            let change = record.observed - known.unwrap_or_default();
            if merges && change != 0.0 {
                self.pairs.merge(serving, best_effort, change);
                changed += 1;
            }
        }
        self.record(Event::EvidenceMerged {
            from: shard.to_owned(),
            pairs: records.len(),
            changed,
        });
    }
}

/// Checks the evidence that another process has stored.
pub(super) fn check_records(records: &[PairRecord]) -> Result<(), BadField> {
    if records.len() > MAX_STORED_PAIRS {
        return Err(BadField::new("pairs", records.len()));
    }
    records.iter().try_for_each(check_record)
}

fn check_record(record: &PairRecord) -> Result<(), BadField> {
    if record.serving.len() > MAX_IMAGE_BYTES {
        return Err(BadField::new("serving", record.serving.len()));
    }
    if record.best_effort.len() > MAX_IMAGE_BYTES {
        return Err(BadField::new("filling", record.best_effort.len()));
    }
    if !record.log_odds.is_finite() {
        return Err(BadField::new("odds", format!("{:e}", record.log_odds)));
    }
    if !record.observed.is_finite() || record.observed.abs() > MAX_OBSERVED {
        return Err(BadField::new("observed", format!("{:e}", record.observed)));
    }
    Ok(())
}
