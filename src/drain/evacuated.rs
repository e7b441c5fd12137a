//! The availability zones that are evacuated, by the newest known state of the store.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::platform::Range;

/// The prefix of the requests in the store. The rest of a key is the zone's name, and
/// the value has no meaning.
pub const EVACUATIONS_PREFIX: &str = "evacuations/";

/// Returns the key in the store of the request to evacuate a zone.
///
/// ```
/// assert_eq!(lycheelock::drain::evacuation_key("gt-a"), "evacuations/gt-a");
/// ```
pub fn evacuation_key(zone: &str) -> String {
    format!("{EVACUATIONS_PREFIX}{zone}")
}

/// The evacuated zones as one host reports them to another.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedList {
    /// The version of the store that the list shows; absent before the first reading.
    pub version: Option<u64>,
    /// The names of the evacuated zones.
    pub zones: BTreeSet<String>,
}

/// Whether the workers of an availability zone may be given work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ZoneState {
    /// The requests were not read yet. Nothing starts, because the zone may be
    /// evacuated.
    Unknown,
    /// The zone is not evacuated.
    #[default]
    InUse,
    /// No work may start in the zone.
    Evacuated,
}

/// What still runs on the workers of an evacuated zone, as far as one host knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemainingWork {
    /// Interactive requests that occupy a slot.
    pub requests: u32,
    /// Batch tasks that run or may have been started.
    pub tasks: u32,
    /// Workers that do not answer, of which it is not known what they run.
    pub silent: u32,
}

/// The newest known list of evacuated zones.
#[derive(Debug, Default)]
pub struct EvacuatedZones {
    list: EvacuatedList,
}

impl EvacuatedZones {
    /// Applies a reading of the requests: all of them if `after` is 0, or else those
    /// that changed after this version. Returns whether the list is newer than the known
    /// one; an older reading arrives late and is ignored.
    ///
    /// ```
    /// use lycheelock::drain::{EvacuatedZones, ZoneState, evacuation_key};
    /// use lycheelock::platform::{Entry, Range};
    ///
    /// let entry = Entry { key: evacuation_key("gt-a"), value: Some(String::new()), version: 4 };
    /// let mut zones = EvacuatedZones::default();
    /// assert_eq!(zones.state("gt-a"), ZoneState::Unknown);
    /// zones.on_range(&Range { entries: vec![entry], version: 9 }, 0);
    /// assert_eq!(zones.state("gt-a"), ZoneState::Evacuated);
    /// assert_eq!(zones.state("gt-b"), ZoneState::InUse);
    /// ```
    pub fn on_range(&mut self, range: &Range, after: u64) -> bool {
        let mut zones = match after {
            0 => BTreeSet::new(),
            _ => self.list.zones.clone(),
        };
        for entry in &range.entries {
            let Some(zone) = entry.key.strip_prefix(EVACUATIONS_PREFIX) else {
                continue;
            };
            match entry.value {
                Some(_) => zones.insert(zone.to_owned()),
                None => zones.remove(zone),
            };
        }
        self.replace(&EvacuatedList {
            version: Some(range.version),
            zones,
        })
    }

    /// Adopts a peer's list if it is newer than the known one; returns whether it was.
    pub fn on_peer_list(&mut self, list: &EvacuatedList) -> bool {
        self.replace(list)
    }

    fn replace(&mut self, list: &EvacuatedList) -> bool {
        // `None` is less than every version.
        let newer = list.version > self.list.version;
        if newer {
            self.list.clone_from(list);
        }
        newer
    }

    /// Whether the workers of a zone may be given work.
    pub fn state(&self, zone: &str) -> ZoneState {
        match self.list.version {
            None => ZoneState::Unknown,
            Some(_) if self.is_evacuated(zone) => ZoneState::Evacuated,
            Some(_) => ZoneState::InUse,
        }
    }

    /// Whether a zone is known to be evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.list.zones.contains(zone)
    }

    /// The list that this host sends to its peers.
    pub const fn list(&self) -> &EvacuatedList {
        &self.list
    }
}
