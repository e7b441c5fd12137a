//! How the workers are divided into shards.

use serde::{Deserialize, Serialize};

use crate::ids::stable_hash;

/// The workers that an owner can command with a core of its own.
const WORKERS_PER_CORE: usize = 1000;
/// The shard of all workers.
const WHOLE: &str = "all";

/// How the workers are divided into shards. It is fixed when the first
/// workers have registered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Layout {
    /// One owner commands all workers.
    Whole,
    /// The racks of each zone are divided into this many shards.
    Zones(u32),
}

impl Layout {
    /// The layout for a number of workers in a number of zones, if the strongest
    /// entry hosts may use `millicores` of their processor.
    ///
    /// ```
    /// use lycheelock::shards::Layout;
    ///
    /// assert_eq!(Layout::of(48, 3, 100), Layout::Whole);
    /// assert_eq!(Layout::of(350, 3, 100), Layout::Zones(2));
    /// assert_eq!(Layout::of(350, 3, 500), Layout::Whole);
    /// ```
    pub fn of(workers: usize, zones: usize, millicores: u32) -> Self {
        let carried = (WORKERS_PER_CORE * millicores as usize / 1000).max(1);
        if workers <= carried {
            return Self::Whole;
        }
        let each = workers.div_ceil(zones.max(1));
        Self::Zones(each.div_ceil(carried) as u32)
    }

    /// The names of all shards.
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
            Self::Whole => vec![WHOLE.to_owned()],
            Self::Zones(groups) => {
                let of_zone = |zone| (0..groups).map(move |group| format!("{zone}.{group}"));
                zones.iter().flat_map(of_zone).collect()
            }
        }
    }

    /// The shard of a worker.
    pub fn shard_of(self, zone: &str, rack: &str) -> String {
        match self {
            Self::Whole => WHOLE.to_owned(),
            Self::Zones(groups) => {
                let group = stable_hash(rack.as_bytes()) % u64::from(groups.max(1));
                format!("{zone}.{group}")
            }
        }
    }

    /// Whether a shard belongs to a zone.
    pub fn is_home(self, shard: &str, zone: &str) -> bool {
        match self {
            Self::Whole => true,
            Self::Zones(_) => shard.rsplit_once('.').is_some_and(|(home, _)| home == zone),
        }
    }
}
