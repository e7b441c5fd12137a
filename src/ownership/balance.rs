//! Which host should own which shard: an even spread with few moves.

use std::collections::BTreeMap;
use std::time::Duration;

use super::machine::{Ownership, Release, Slot};
use crate::ids::{HostId, ShardId, mix};
use crate::moment::Moment;

/// A host that holds at least this many shards more than another gives one away.
const IMBALANCE: usize = 2;
/// The shortest time between two planned moves of one host.
const MOVE_GAP: Duration = Duration::from_secs(1);

impl Ownership {
    /// Whether this host should claim a shard that nobody owns: if the even
    /// spread gives it to this host, or if nobody did for a while.
    pub(super) fn wants(&self, shard: ShardId, now: Moment) -> bool {
        let Some(Slot::Free(take)) = self.slots.get(&shard) else {
            return false;
        };
        if self.stopping {
            return false;
        }
        let free_for = now - take.free_since;
        let patience = self.settings.silence * 2;
        let assigned = self.assigned(shard, now) == Some(self.me);
        (assigned && free_for >= self.settings.heartbeat) || free_for >= patience
    }

    /// The host to which the even spread gives a shard that nobody owns.
    fn assigned(&self, wanted: ShardId, now: Moment) -> Option<HostId> {
        let mut counts = self.counts(now);
        for shard in self.slots.keys() {
            if self.owner(*shard, now).is_some() && *shard != wanted {
                continue;
            }
            let host = least(&counts, *shard)?;
            if *shard == wanted {
                return Some(host);
            }
            *counts.entry(host).or_default() += 1;
        }
        None
    }

    /// How many shards each reachable host of the zone owns.
    fn counts(&self, now: Moment) -> BTreeMap<HostId, usize> {
        let near = self.peers.iter().filter(|(_, peer)| {
            peer.zone == self.settings.zone && !peer.stopping && self.is_heard(peer, now)
        });
        let mut counts: BTreeMap<HostId, usize> =
            near.map(|(host, peer)| (*host, peer.owned.len())).collect();
        if !self.stopping {
            counts.insert(self.me, self.owned_count());
        }
        counts
    }

    fn owned_count(&self) -> usize {
        let owned = self.slots.values().filter(|slot| match slot {
            Slot::Owned(owned) => owned.release.is_none(),
            Slot::Free(_) => false,
        });
        owned.count()
    }

    pub(super) fn tick_balance(&mut self, now: Moment) {
        if !self.is_leased(now) {
            return;
        }
        if self.stopping {
            self.release_all(now);
        } else if now - self.last_release >= MOVE_GAP {
            self.release_one(now);
        }
    }

    fn release_all(&mut self, now: Moment) {
        let mut counts = self.counts(now);
        let shards: Vec<ShardId> = self.slots.keys().copied().collect();
        for shard in shards {
            let to = least(&counts, shard);
            if let Some(Slot::Owned(owned)) = self.slots.get_mut(&shard)
                && owned.release.is_none()
            {
                owned.release = Some(Release { to });
                if let Some(to) = to {
                    *counts.entry(to).or_default() += 1;
                }
            }
        }
    }

    fn release_one(&mut self, now: Moment) {
        let counts = self.counts(now);
        let Some((to, fewest)) = counts.iter().min_by_key(|(_, count)| **count) else {
            return;
        };
        let (to, fewest) = (*to, *fewest);
        let pending = self.slots.values().any(|slot| match slot {
            Slot::Owned(owned) => owned.release.is_some(),
            Slot::Free(_) => false,
        });
        if pending || self.owned_count() < fewest + IMBALANCE {
            return;
        }
        let last = self.slots.values_mut().rev().find_map(|slot| match slot {
            Slot::Owned(owned) => Some(owned),
            Slot::Free(_) => None,
        });
        if let Some(owned) = last {
            owned.release = Some(Release { to: Some(to) });
            self.last_release = now;
        }
    }
}

/// The host with the fewest shards; among equals a fixed order for each shard.
fn least(counts: &BTreeMap<HostId, usize>, shard: ShardId) -> Option<HostId> {
    let order = |host: HostId| mix(host.0 ^ mix(u64::from(shard.0)));
    counts
        .iter()
        .min_by_key(|(host, count)| (**count, order(**host)))
        .map(|(host, _)| *host)
}
