//! What a host knows of the owners of all shards from the store.

use std::collections::HashMap;

use super::{Hint, Owner, OwnerRecord, View};
use crate::moment::Moment;

/// What a host knows of the owners of all shards.
///
/// ```
/// use lycheelock::moment::Moment;
/// use lycheelock::shards::Views;
///
/// let mut views = Views::default();
/// views.lay_out(vec!["a.0".to_owned()], Moment::from_micros(7));
/// let (shard, view) = views.iter().next().unwrap();
/// assert_eq!((shard, view.since), ("a.0", Moment::from_micros(7)));
/// ```
#[derive(Debug, Default)]
pub struct Views {
    shards: HashMap<String, View>,
}

impl Views {
    /// Returns the names of the known shards with their views.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &View)> {
        self.shards
            .iter()
            .map(|(shard, view)| (shard.as_str(), view))
    }

    /// Returns the view of a shard; an empty one if the shard is not known.
    pub fn get(&self, shard: &str) -> View {
        self.shards.get(shard).cloned().unwrap_or_default()
    }

    /// Adds the shards that are not known yet.
    pub fn lay_out(&mut self, shards: Vec<String>, now: Moment) {
        for shard in shards {
            self.entry(&shard, now);
        }
    }

    /// Forgets all owner leases, because they are about to be read again.
    pub fn forget_hints(&mut self, now: Moment) {
        for view in self.shards.values_mut() {
            if view.hint.take().is_some() {
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
            life: owner.life,
            fence: revision,
            released: owner.released,
        });
    }

    /// Records a shard's owner lease, or its removal.
    pub fn on_hint(&mut self, shard: &str, hint: Option<Hint>, now: Moment) {
        let view = self.entry(shard, now);
        view.since = now;
        view.hint = hint;
    }

    /// Returns the view of a shard. A shard that was not known counts as without an owner
    /// lease from now on, because it is unknown for how long it has been vacant.
    fn entry(&mut self, shard: &str, now: Moment) -> &mut View {
        let new_view = || View {
            since: now,
            ..View::default()
        };
        self.shards.entry(shard.to_owned()).or_insert_with(new_view)
    }
}
