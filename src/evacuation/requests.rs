//! The requests to evacuate zones, as a host has read them from the store.

use std::collections::BTreeMap;

use crate::moment::Moment;

/// A request to evacuate a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// The store revision of the request.
    pub revision: u64,
    /// When this host read the request.
    pub read: Moment,
}

/// The last known change of a zone.
#[derive(Debug, Clone, Copy)]
enum LastChange {
    Requested(Request),
    /// The request was withdrawn at this revision. Kept so that an older request, read late,
    /// has no effect.
    Withdrawn(u64),
}

impl LastChange {
    const fn revision(self) -> u64 {
        match self {
            Self::Requested(request) => request.revision,
            Self::Withdrawn(revision) => revision,
        }
    }
}

/// The zones that the operator has asked to evacuate.
///
/// Handles requests and withdrawals that are read in any order, by several tasks and from
/// snapshots of different age: the change with the highest revision counts. The state is
/// bounded by the number of zones that were named since the last snapshot.
///
/// ```
/// use lycheelock::evacuation::Evacuations;
/// use lycheelock::moment::Moment;
///
/// let mut known = Evacuations::default();
/// assert!(known.request("ie-a", 7, Moment::default()));
/// assert!(known.is_evacuated("ie-a"));
/// assert!(known.withdraw("ie-a", 9));
/// assert!(!known.request("ie-a", 7, Moment::default()));
/// assert_eq!(known.version(), 2);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    zones: BTreeMap<String, LastChange>,
    /// The revision of the newest snapshot. Zones that are not in `zones` had no request then.
    complete: u64,
    version: u64,
}

impl Evacuations {
    /// Records a request to evacuate a zone, written at `revision`. Returns whether the
    /// evacuation begins with it.
    pub fn request(&mut self, zone: &str, revision: u64, now: Moment) -> bool {
        let known = self.zones.get(zone).copied();
        if revision <= known.map_or(self.complete, LastChange::revision) {
            return false;
        }
        self.insert(zone, revision, now)
    }

    /// Records that the request for a zone was withdrawn at `revision`. Returns whether the
    /// evacuation ends with it.
    pub fn withdraw(&mut self, zone: &str, revision: u64) -> bool {
        let known = self.zones.get(zone).copied();
        if revision <= known.map_or(self.complete, LastChange::revision) {
            return false;
        }
        let change = LastChange::Withdrawn(revision);
        self.zones.insert(zone.to_owned(), change);
        let ends = matches!(known, Some(LastChange::Requested(_)));
        self.version += u64::from(ends);
        ends
    }

    /// Applies all requests that the store held at `revision`, each a zone with the revision
    /// of its request. A zone that is not listed and was not changed later has no request any
    /// more. Returns whether the evacuated zones changed.
    ///
    /// ```
    /// use lycheelock::evacuation::Evacuations;
    /// use lycheelock::moment::Moment;
    ///
    /// let mut known = Evacuations::default();
    /// known.request("ie-a", 7, Moment::default());
    /// known.request("ie-b", 8, Moment::default());
    /// assert!(known.restore(&[("ie-b", 8)], 9, Moment::default()));
    /// assert_eq!(known.zones().collect::<Vec<_>>(), ["ie-b"]);
    /// ```
    pub fn restore(&mut self, listed: &[(&str, u64)], revision: u64, now: Moment) -> bool {
        let before = self.version;
        for (zone, requested) in listed {
            // A newer snapshot than the last one also speaks for zones without a known change.
            let unknown = !self.zones.contains_key(*zone) && revision >= self.complete;
            if unknown {
                self.insert(zone, *requested, now);
            } else {
                self.request(zone, *requested, now);
            }
        }
        let is_listed = |zone: &str| listed.iter().any(|(other, _)| *other == zone);
        let gone: Vec<String> = self
            .zones
            .iter()
            .filter(|(zone, change)| change.revision() <= revision && !is_listed(zone))
            .map(|(zone, _)| zone.clone())
            .collect();
        for zone in gone {
            let change = self.zones.remove(&zone);
            self.version += u64::from(matches!(change, Some(LastChange::Requested(_))));
        }
        self.complete = self.complete.max(revision);
        self.version != before
    }

    /// Whether a zone is to be evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        matches!(self.zones.get(zone), Some(LastChange::Requested(_)))
    }

    /// The names of the evacuated zones, sorted.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.requests().map(|(zone, _)| zone)
    }

    /// The evacuated zones with their requests, sorted by name.
    pub fn requests(&self) -> impl Iterator<Item = (&str, Request)> {
        self.zones.iter().filter_map(|(zone, change)| match change {
            LastChange::Requested(request) => Some((zone.as_str(), *request)),
            LastChange::Withdrawn(_) => None,
        })
    }

    /// A number that rises whenever a zone is added or removed; 0 if there never was one.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Stores a request. Returns whether the zone had none before.
    fn insert(&mut self, zone: &str, revision: u64, now: Moment) -> bool {
        let known = self.zones.get(zone).copied();
        let read = match known {
            Some(LastChange::Requested(request)) => request.read,
            _ => now,
        };
        let request = Request { revision, read };
        let change = LastChange::Requested(request);
        self.zones.insert(zone.to_owned(), change);
        let begins = !matches!(known, Some(LastChange::Requested(_)));
        self.version += u64::from(begins);
        begins
    }
}
