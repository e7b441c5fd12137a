//! What a host knows of the owners of all shards from the store.

use std::collections::HashMap;
use std::time::Duration;

use super::{Heard, Owner, OwnerLease, OwnerRecord, OwnershipView};
use crate::moment::Moment;

/// What a host knows of the owners of all shards.
///
/// ```
/// use lycheelock::moment::Moment;
/// use lycheelock::shards::OwnershipViews;
///
/// let mut views = OwnershipViews::default();
/// views.add_shards(vec!["a.0".to_owned()], Moment::from_micros(7));
/// let (shard, view) = views.iter().next().unwrap();
/// assert_eq!((shard, view.since), ("a.0", Moment::from_micros(7)));
/// ```
#[derive(Debug, Default)]
pub struct OwnershipViews {
    shards: HashMap<String, OwnershipView>,
}

impl OwnershipViews {
    /// Returns the names of the known shards with their views.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &OwnershipView)> {
        self.shards
            .iter()
            .map(|(shard, view)| (shard.as_str(), view))
    }

    /// Returns the view of a shard; an empty one if the shard is not known.
    pub fn get(&self, shard: &str) -> OwnershipView {
        self.shards.get(shard).cloned().unwrap_or_default()
    }

    /// Adds the shards that are not known yet.
    pub fn add_shards(&mut self, shards: Vec<String>, now: Moment) {
        for shard in shards {
            self.entry(&shard, now);
        }
    }

    /// Forgets all owner leases, because they are about to be read again.
    pub fn forget_owner_leases(&mut self, now: Moment) {
        for view in self.shards.values_mut() {
            if view.owner_lease.take().is_some() {
                view.since = now;
            }
        }
    }

    /// Records the last claim of a shard.
    pub fn on_epoch(&mut self, shard: &str, owner: OwnerRecord, revision: u64, now: Moment) {
        let view = self.entry(shard, now);
        view.epoch = revision;
        view.owner = Some(Owner {
            host: owner.host,
            incarnation: owner.incarnation,
            fence: revision,
            released: owner.released,
        });
    }

    /// Records a shard's owner lease, or its removal.
    pub fn on_owner_lease(&mut self, shard: &str, owner_lease: Option<OwnerLease>, now: Moment) {
        let view = self.entry(shard, now);
        view.since = now;
        view.owner_lease = owner_lease;
    }

    /// Records the last heartbeat of a shard's owner.
    pub fn on_heartbeat(&mut self, shard: &str, owner: &OwnerRecord, revision: u64, now: Moment) {
        let view = self.entry(shard, now);
        if view.heartbeat == revision {
            return;
        }
        view.heartbeat = revision;
        view.pools.clone_from(&owner.pools);
        let age = Duration::from_millis(owner.former_age);
        view.heard = Heard {
            last: now,
            before: Moment::default() + (now - Moment::default()).saturating_sub(age),
        };
    }

    /// Returns the view of a shard. A shard that was not known counts as without an owner
    /// lease from now on, because it is unknown for how long it has had none.
    fn entry(&mut self, shard: &str, now: Moment) -> &mut OwnershipView {
        let new_view = || OwnershipView {
            since: now,
            heard: Heard {
                last: now,
                before: now,
            },
            ..OwnershipView::default()
        };
        self.shards.entry(shard.to_owned()).or_insert_with(new_view)
    }
}
