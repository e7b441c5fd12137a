//! What one host knows of all shards' owners, from what the store shows.

use std::collections::HashMap;

use super::{Hint, Owner, OwnerRecord, View};
use crate::moment::Moment;

/// What one host knows of all shards' owners.
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
    /// The names of the known shards, with their views.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &View)> {
        self.shards
            .iter()
            .map(|(shard, view)| (shard.as_str(), view))
    }

    /// The view of a shard; empty if it is not known.
    pub fn get(&self, shard: &str) -> View {
        self.shards.get(shard).cloned().unwrap_or_default()
    }

    /// Adds shards that are not known yet.
    pub fn lay_out(&mut self, shards: Vec<String>, now: Moment) {
        for shard in shards {
            self.entry(&shard, now);
        }
    }

    /// Forgets all hints, as they are about to be read anew.
    pub fn forget_hints(&mut self, now: Moment) {
        for view in self.shards.values_mut() {
            if view.hint.take().is_some() {
                view.since = now;
            }
        }
    }

    /// Takes in the last claim of a shard.
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

    /// Takes in a shard's hint, or that it is gone.
    pub fn on_hint(&mut self, shard: &str, hint: Option<Hint>, now: Moment) {
        let view = self.entry(shard, now);
        view.since = now;
        view.hint = hint;
    }

    /// A shard that was not known before has been without a hint since now:
    /// how long it was vacant is not known.
    fn entry(&mut self, shard: &str, now: Moment) -> &mut View {
        let fresh = || View {
            since: now,
            ..View::default()
        };
        self.shards.entry(shard.to_owned()).or_insert_with(fresh)
    }
}
