//! The evacuated zones as the owner of a shard treats them.

use std::collections::BTreeMap;

use super::{Evacuations, Request};

/// What a shard's workers of a zone run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ZoneRuns {
    /// The number of workers of the shard in the zone.
    pub workers: usize,
    /// The number of runs that may exist on them.
    pub runs: usize,
    /// Whether other runs, of which this owner does not know yet, may exist on them.
    pub unknown: bool,
}

/// A change of a zone that the log shows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ZoneChange {
    /// A pass has applied the request for the first time.
    Evacuated {
        /// The name of the zone.
        zone: String,
        /// The request.
        request: Request,
        /// The number of runs in the zone.
        runs: usize,
    },
    /// Nothing runs in the zone any more.
    Empty {
        /// The name of the zone.
        zone: String,
        /// The request.
        request: Request,
    },
    /// The request was withdrawn.
    Restored {
        /// The name of the zone.
        zone: String,
        /// The request.
        request: Request,
        /// The number of runs in the zone.
        runs: usize,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// No pass has seen workers of the zone since the request.
    Requested,
    /// The request is in the log.
    Announced,
    /// The log says that nothing runs in the zone.
    Empty,
}

#[derive(Debug, Clone, Copy)]
struct ZoneState {
    request: Request,
    stage: Stage,
}

/// The evacuated zones as the owner of a shard treats them. Zones without workers of the shard
/// do not appear in its log. Handles requests that come, go and come again between two passes.
///
/// ```
/// use lycheelock::evacuation::{Evacuations, ZoneChange, ZoneRuns, ZoneStates};
/// use lycheelock::moment::Moment;
///
/// let mut known = Evacuations::default();
/// known.request("ie-a", 7, Moment::default());
/// let mut zones = ZoneStates::default();
/// assert!(zones.follow(&known));
/// assert!(zones.is_evacuated("ie-a"));
/// let one_run = ZoneRuns { workers: 1, runs: 1, unknown: false };
/// let changes = zones.observe(|_| one_run);
/// assert!(matches!(changes[..], [ZoneChange::Evacuated { runs: 1, .. }]));
/// ```
#[derive(Debug, Clone, Default)]
pub struct ZoneStates {
    zones: BTreeMap<String, ZoneState>,
    ended: Vec<(String, Request)>,
    version: u64,
}

impl ZoneStates {
    /// Applies the requests that this host knows. Returns whether the evacuated zones changed.
    pub fn follow(&mut self, known: &Evacuations) -> bool {
        if known.version() == self.version {
            return false;
        }
        self.version = known.version();
        let requests = known.requests();
        let zones = requests.map(|(zone, request)| {
            // A request that was withdrawn and made again between two looks is read anew.
            let state = self.zones.remove(zone);
            let same = state.filter(|state| state.request.read == request.read);
            let stage = same.map_or(Stage::Requested, |state| state.stage);
            (zone.to_owned(), ZoneState { request, stage })
        });
        let zones = zones.collect();
        let former = std::mem::replace(&mut self.zones, zones);
        let announced = former
            .into_iter()
            .filter(|(_, state)| state.stage != Stage::Requested);
        self.ended
            .extend(announced.map(|(zone, state)| (zone, state.request)));
        true
    }

    /// Whether a zone is to be evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.zones.contains_key(zone)
    }

    /// Whether no zone is evacuated and nothing is left to be logged.
    pub fn is_idle(&self) -> bool {
        self.zones.is_empty() && self.ended.is_empty()
    }

    /// Returns what has changed since the last pass. `runs_in` tells what a zone's workers run.
    pub fn observe(&mut self, runs_in: impl Fn(&str) -> ZoneRuns) -> Vec<ZoneChange> {
        let mut changes = Vec::new();
        for (zone, request) in std::mem::take(&mut self.ended) {
            let runs = runs_in(&zone).runs;
            changes.push(ZoneChange::Restored {
                zone,
                request,
                runs,
            });
        }
        for (zone, state) in &mut self.zones {
            let found = runs_in(zone);
            let request = state.request;
            if found.workers > 0 && state.stage == Stage::Requested {
                state.stage = Stage::Announced;
                changes.push(ZoneChange::Evacuated {
                    zone: zone.clone(),
                    request,
                    runs: found.runs,
                });
            }
            if state.stage == Stage::Announced && found.runs == 0 && !found.unknown {
                state.stage = Stage::Empty;
                let zone = zone.clone();
                changes.push(ZoneChange::Empty { zone, request });
            }
        }
        changes
    }
}
