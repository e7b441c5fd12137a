//! The division of the workers into shards.

use serde::{Deserialize, Serialize};

use crate::ids::stable_hash;

/// The number of workers that an owner can command with one processor core.
const WORKERS_PER_CORE: usize = 1000;
/// The name of the only shard in [`Layout::Whole`].
const WHOLE_SHARD: &str = "all";

/// How the workers are divided into shards. The layout is fixed once the first
/// workers have registered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Layout {
    /// One owner commands all workers.
    Whole,
    /// The racks of each zone are divided into this many shards.
    Zones(u32),
}

impl Layout {
    /// Chooses the layout for a number of workers in a number of zones, if the strongest
    /// entry host may use `millicores` of its processor.
    ///
    /// ```
    /// use lycheelock::shards::Layout;
    ///
    /// assert_eq!(Layout::of(48, 3, 100), Layout::Whole);
    /// assert_eq!(Layout::of(350, 3, 100), Layout::Zones(2));
    /// assert_eq!(Layout::of(350, 3, 500), Layout::Whole);
    /// ```
    pub fn of(workers: usize, zones: usize, millicores: u32) -> Self {
        let owner_limit = (WORKERS_PER_CORE * millicores as usize / 1000).max(1);
        if workers <= owner_limit {
            return Self::Whole;
        }
        let zone_workers = workers.div_ceil(zones.max(1));
        Self::Zones(zone_workers.div_ceil(owner_limit) as u32)
    }

    /// Returns the names of all shards.
    ///
    /// ```
    /// use lycheelock::shards::Layout;
    ///
    /// let zones = ["a".to_owned(), "b".to_owned()];
    /// assert_eq!(Layout::Whole.shards(&zones), ["all"]);
    /// assert_eq!(Layout::Zones(1).shards(&zones), ["a.0", "b.0"]);
    /// ```
    pub fn shards(self, zones: &[String]) -> Vec<String> {
        match self {
            Self::Whole => vec![WHOLE_SHARD.to_owned()],
            Self::Zones(groups) => {
                let of_zone = |zone| (0..groups).map(move |group| format!("{zone}.{group}"));
                zones.iter().flat_map(of_zone).collect()
            }
        }
    }

    /// Returns the name of the shard that a worker belongs to.
    pub fn shard_of(self, zone: &str, rack: &str) -> String {
        match self {
            Self::Whole => WHOLE_SHARD.to_owned(),
            Self::Zones(groups) => {
                let group = stable_hash(rack.as_bytes()) % u64::from(groups.max(1));
                format!("{zone}.{group}")
            }
        }
    }

    /// Whether a shard belongs to a zone; a single shard belongs to every zone.
    pub fn is_home(self, shard: &str, zone: &str) -> bool {
        match self {
            Self::Whole => true,
            Self::Zones(_) => shard.rsplit_once('.').is_some_and(|(home, _)| home == zone),
        }
    }
}
