//! The division of the workers into shards.

use serde::{Deserialize, Serialize};

use crate::ids::stable_hash;

/// The number of workers that an owner can command with one processor core.
const WORKERS_PER_CORE: usize = 1200;
/// The name of the only shard in [`Layout::Whole`].
const WHOLE_SHARD: &str = "all";
/// The part before the number in the names of the shards in [`Layout::ZoneGroups`].
const GROUP_PREFIX: &str = "zones";

/// How the workers are divided into shards. The layout is fixed once the first
/// workers have registered.
///
/// The number of shards is the smallest that the owners can command, as jobs wait for
/// the workers of their own shard although those of others have free capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Layout {
    /// One owner commands all workers.
    Whole,
    /// The zones are divided into this many shards, of one or more zones each.
    ZoneGroups(u32),
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
    /// assert_eq!(Layout::of(350, 5, 150), Layout::ZoneGroups(3));
    /// assert_eq!(Layout::of(900, 3, 100), Layout::Zones(3));
    /// assert_eq!(Layout::of(350, 3, 500), Layout::Whole);
    /// ```
    pub fn of(workers: usize, zones: usize, millicores: u32) -> Self {
        let owner_limit = (WORKERS_PER_CORE * millicores as usize / 1000).max(1);
        if workers <= owner_limit {
            return Self::Whole;
        }
        let zone_workers = workers.div_ceil(zones.max(1));
        let holds_groups = |groups: &usize| zones.div_ceil(*groups) * zone_workers <= owner_limit;
        match (2..zones).find(holds_groups) {
            Some(groups) => Self::ZoneGroups(groups as u32),
            None => Self::Zones(zone_workers.div_ceil(owner_limit) as u32),
        }
    }

    /// Returns the names of all shards.
    ///
    /// ```
    /// use lycheelock::shards::Layout;
    ///
    /// let zones = ["a".to_owned(), "b".to_owned(), "c".to_owned()];
    /// assert_eq!(Layout::Whole.shards(&zones), ["all"]);
    /// assert_eq!(Layout::ZoneGroups(2).shards(&zones), ["zones.0", "zones.1"]);
    /// assert_eq!(Layout::Zones(1).shards(&zones), ["a.0", "b.0", "c.0"]);
    /// ```
    pub fn shards(self, zones: &[String]) -> Vec<String> {
        match self {
            Self::Whole => vec![WHOLE_SHARD.to_owned()],
            Self::ZoneGroups(groups) => (0..groups).map(group_name).collect(),
            Self::Zones(groups) => {
                let of_zone = |zone| (0..groups).map(move |group| format!("{zone}.{group}"));
                zones.iter().flat_map(of_zone).collect()
            }
        }
    }

    /// Returns the name of the shard that a worker belongs to.
    ///
    /// ```
    /// use lycheelock::shards::Layout;
    ///
    /// let zones = ["a".to_owned(), "b".to_owned(), "c".to_owned()];
    /// assert_eq!(Layout::ZoneGroups(2).shard_of(&zones, "c", "r7"), "zones.0");
    /// ```
    pub fn shard_of(self, zones: &[String], zone: &str, rack: &str) -> String {
        match self {
            Self::Whole => WHOLE_SHARD.to_owned(),
            Self::ZoneGroups(groups) => group_name(group_of(zones, zone, groups)),
            Self::Zones(groups) => {
                let group = stable_hash(rack.as_bytes()) % u64::from(groups.max(1));
                format!("{zone}.{group}")
            }
        }
    }

    /// Whether a shard has workers of a zone; a single shard has those of every zone.
    ///
    /// ```
    /// use lycheelock::shards::Layout;
    ///
    /// let zones = ["a".to_owned(), "b".to_owned(), "c".to_owned()];
    /// assert!(Layout::ZoneGroups(2).is_home("zones.1", &zones, "b"));
    /// assert!(!Layout::ZoneGroups(2).is_home("zones.1", &zones, "c"));
    /// ```
    pub fn is_home(self, shard: &str, zones: &[String], zone: &str) -> bool {
        match self {
            Self::Whole => true,
            Self::ZoneGroups(groups) => shard == group_name(group_of(zones, zone, groups)),
            Self::Zones(_) => shard.rsplit_once('.').is_some_and(|(home, _)| home == zone),
        }
    }
}

/// The group of a zone. It depends on the names of the zones and not on their order, which
/// may differ between the settings of two hosts.
fn group_of(zones: &[String], zone: &str, groups: u32) -> u32 {
    let rank = zones.iter().filter(|other| other.as_str() < zone).count();
    rank as u32 % groups.max(1)
}

fn group_name(group: u32) -> String {
    format!("{GROUP_PREFIX}.{group}")
}
