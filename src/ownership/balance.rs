//! Spreads the shards evenly over the hosts of a zone, with few moves.

use std::collections::BTreeMap;
use std::time::Duration;

use super::machine::{Ownership, Release, ShardState};
use crate::ids::{HostId, ShardId, mix};
use crate::moment::Moment;

/// The smallest difference in owned shards at which a host hands one over to another.
/// A move at a difference of one would only swap the two hosts.
const MIN_IMBALANCE: usize = 2;
/// The shortest time between two shards that one host hands over for balance.
const MOVE_INTERVAL: Duration = Duration::from_secs(1);

impl Ownership {
    /// Whether this host should claim a shard that nobody owns: if the shard is
    /// assigned to this host, or if no other host has claimed it in time.
    pub(super) fn should_claim(&self, shard: ShardId, now: Moment) -> bool {
        let Some(ShardState::Free(takeover)) = self.shards.get(&shard) else {
            return false;
        };
        if self.stopping {
            return false;
        }
        let free_for = now - takeover.free_since;
        let timeout = self.settings.peer_timeout * 2;
        let assigned = self.assigned_host(shard, now) == Some(self.me);
        (assigned && free_for >= self.settings.heartbeat_interval) || free_for >= timeout
    }

    /// The host that should claim an unowned shard so that the shards are spread
    /// evenly. Unowned shards are assigned in order of their identifiers, so that
    /// hosts with the same view assign them alike.
    fn assigned_host(&self, wanted: ShardId, now: Moment) -> Option<HostId> {
        let mut counts = self.shard_counts(now);
        for shard in self.shards.keys() {
            if self.owner(*shard, now).is_some() && *shard != wanted {
                continue;
            }
            let host = least_loaded(&counts, *shard)?;
            if *shard == wanted {
                return Some(host);
            }
            *counts.entry(host).or_default() += 1;
        }
        None
    }

    /// Number of shards that each reachable host of the zone owns, without hosts
    /// that are stopping.
    fn shard_counts(&self, now: Moment) -> BTreeMap<HostId, usize> {
        let reachable = self.peers.iter().filter(|(_, peer)| {
            peer.zone == self.settings.zone && !peer.stopping && self.is_reachable(peer, now)
        });
        let mut counts: BTreeMap<HostId, usize> = reachable
            .map(|(host, peer)| (*host, peer.owned.len()))
            .collect();
        if !self.stopping {
            counts.insert(self.me, self.owned_count());
        }
        counts
    }

    fn owned_count(&self) -> usize {
        let owned = self.shards.values().filter(|state| match state {
            ShardState::Owned(owned) => owned.release.is_none(),
            ShardState::Free(_) => false,
        });
        owned.count()
    }

    pub(super) fn tick_balance(&mut self, now: Moment) {
        if !self.is_leased(now) {
            return;
        }
        if self.stopping {
            self.release_all(now);
        } else if now - self.last_release >= MOVE_INTERVAL {
            self.release_one(now);
        }
    }

    fn release_all(&mut self, now: Moment) {
        let mut counts = self.shard_counts(now);
        let shards: Vec<ShardId> = self.shards.keys().copied().collect();
        for shard in shards {
            let to = least_loaded(&counts, shard);
            if let Some(ShardState::Owned(owned)) = self.shards.get_mut(&shard)
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
        let counts = self.shard_counts(now);
        let Some((to, fewest)) = counts.iter().min_by_key(|(_, count)| **count) else {
            return;
        };
        let (to, fewest) = (*to, *fewest);
        let releasing = self.shards.values().any(|state| match state {
            ShardState::Owned(owned) => owned.release.is_some(),
            ShardState::Free(_) => false,
        });
        if releasing || self.owned_count() < fewest + MIN_IMBALANCE {
            return;
        }
        let last = self
            .shards
            .values_mut()
            .rev()
            .find_map(|state| match state {
                ShardState::Owned(owned) => Some(owned),
                ShardState::Free(_) => None,
            });
        if let Some(owned) = last {
            owned.release = Some(Release { to: Some(to) });
            self.last_release = now;
        }
    }
}

/// The host with the fewest shards. Ties are broken by a hash of host and shard,
/// which every host computes alike.
fn least_loaded(counts: &BTreeMap<HostId, usize>, shard: ShardId) -> Option<HostId> {
    let order = |host: HostId| mix(host.0 ^ mix(u64::from(shard.0)));
    counts
        .iter()
        .min_by_key(|(host, count)| (**count, order(**host)))
        .map(|(host, _)| *host)
}
