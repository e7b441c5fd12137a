//! Evidence of interference that the owners of other shards have observed.
//!
//! Each owner stores how much evidence it has observed in sum. The others add by how much
//! that has grown since they last read it, so that a record that is read twice, late or not
//! at all does no harm.

use std::collections::HashMap;

use super::pairs::check_records;
use super::{Event, PairRecord, Scheduler};
use crate::interference::ImageKey;

/// What was last read of the evidence of one shard's owner.
#[derive(Debug, Default)]
pub(super) struct PeerEvidence {
    /// The store's revision of the record.
    revision: u64,
    observed: HashMap<(ImageKey, ImageKey), f64>,
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
