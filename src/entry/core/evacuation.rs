//! Decisions on evacuations of availability zones.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Core, Effect};
use crate::drain::{EvacuatedList, RemainingWork, ZoneState};
use crate::moment::Moment;
use crate::platform::Range;

/// An evacuated zone and what still runs there, as far as one host knows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationView {
    /// Name of the zone.
    pub zone: String,
    /// What still runs on workers whose owners this host hears from.
    #[serde(flatten)]
    pub remaining: RemainingWork,
    /// Number of shards of the zone of which it is not known what runs there: no host
    /// that follows the evacuation reports that it owns them.
    pub unknown_shards: u32,
    /// Whether nothing runs in the zone any more.
    pub empty: bool,
}

impl Core {
    /// Applies a reading of the requests to evacuate zones: all of them if `after` is 0,
    /// or else those that changed after this version of the store.
    pub fn on_evacuations(&mut self, range: &Range, after: u64, now: Moment) {
        let before = self.evacuated.list().clone();
        if self.evacuated.on_range(range, after) {
            self.on_zones_changed(&before, now);
        }
    }

    /// Applies the list of a peer, which counts if it is newer than the known one.
    pub(super) fn on_evacuated_list(&mut self, list: &EvacuatedList, now: Moment) {
        let before = self.evacuated.list().clone();
        if self.evacuated.on_peer_list(list) {
            self.on_zones_changed(&before, now);
        }
    }

    fn on_zones_changed(&mut self, before: &EvacuatedList, now: Moment) {
        let zones = &self.evacuated.list().zones;
        if before.version.is_some() && before.zones == *zones {
            return;
        }
        for zone in before.zones.symmetric_difference(zones) {
            self.effects.push_back(Effect::ZoneChanged {
                zone: zone.clone(),
                evacuated: zones.contains(zone),
            });
        }
        self.placement.zone = self.evacuated.state(&self.settings.ownership.zone);
        let free = self.placement.free_slots(&self.acting_shards(now), now);
        self.update_summary(free, now);
        // Peers that cannot read the store learn of the change at once.
        self.ownership.trigger_heartbeats();
        // Requests that wait for a worker here may have to go elsewhere.
        for key in self.dispatch.wake_all() {
            self.effects.push_back(Effect::Wake(key));
        }
    }

    /// Returns what still runs on the workers of this host's shards while its zone is
    /// evacuated.
    pub(super) fn remaining(&self, now: Moment) -> RemainingWork {
        if self.placement.zone != ZoneState::Evacuated {
            return RemainingWork::default();
        }
        let shards = self.acting_shards(now);
        let mut remaining = self.placement.remaining(&shards);
        let ledgers = shards.iter().filter_map(|shard| self.ledgers.get(shard));
        remaining.tasks += ledgers
            .map(|ledger| ledger.unconfirmed_starts())
            .sum::<u32>();
        remaining
    }

    /// Whether a zone is known to be evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated.is_evacuated(zone)
    }

    /// Returns the evacuated zones and what still runs there.
    pub fn evacuations(&self, now: Moment) -> Vec<EvacuationView> {
        let zones = self.evacuated.list().zones.iter();
        zones.map(|zone| self.evacuation(zone, now)).collect()
    }

    fn evacuation(&self, zone: &str, now: Moment) -> EvacuationView {
        let me = self.ownership.me();
        let shards = self.current.get().map(|current| current.shards(zone));
        let mut view = EvacuationView {
            zone: zone.to_owned(),
            ..EvacuationView::default()
        };
        let mut owners = BTreeMap::new();
        for shard in shards.unwrap_or_default() {
            let owner = self.ownership.owner(shard, now);
            let remaining = owner.and_then(|owner| match owner == me {
                true if !self.ownership.may_act(shard, now) => None,
                true => Some(self.remaining(now)),
                false => self.ownership.remaining_at(owner, zone, now),
            });
            match (owner, remaining) {
                (Some(owner), Some(remaining)) => {
                    owners.insert(owner, remaining);
                }
                _ => view.unknown_shards += 1,
            }
        }
        for remaining in owners.values() {
            view.remaining.requests += remaining.requests;
            view.remaining.tasks += remaining.tasks;
            view.remaining.silent += remaining.silent;
        }
        view.empty = view.remaining == RemainingWork::default() && view.unknown_shards == 0;
        view
    }
}
