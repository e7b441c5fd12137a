//! The limits on stored evidence of interference, and the check of records of it.

use super::{Event, PairRecord};

/// The limit on the pairs of images whose evidence is stored, so that the record stays below
/// the store's limit on values, a megabyte.
pub(super) const MAX_STORED_PAIRS: usize = 4000;
/// The limit on the names of these images, in bytes, for the same reason.
pub(super) const MAX_IMAGE_BYTES: usize = 64;
/// The limit on the evidence that an owner may have observed for a pair, as log odds in sum.
const MAX_OBSERVED: f64 = 1e9;

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
