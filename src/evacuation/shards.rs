//! Which shards have workers in evacuated zones only.

use super::Evacuations;
use crate::shards::Layout;

impl Evacuations {
    /// Whether all zones of a shard are to be evacuated, so that it starts nothing. `zones`
    /// holds the names of all availability zones.
    ///
    /// ```
    /// use lycheelock::evacuation::Evacuations;
    /// use lycheelock::moment::Moment;
    /// use lycheelock::shards::Layout;
    ///
    /// let zones = ["a".to_owned(), "b".to_owned()];
    /// let mut known = Evacuations::default();
    /// known.request("a", 7, Moment::default());
    /// assert!(known.covers(Layout::Zones(1), &zones, "a.0"));
    /// assert!(!known.covers(Layout::Zones(1), &zones, "b.0"));
    /// assert!(!known.covers(Layout::Whole, &zones, "all"));
    /// ```
    pub fn covers(&self, layout: Layout, zones: &[String], shard: &str) -> bool {
        let mut home = zones
            .iter()
            .filter(|zone| layout.is_home(shard, zones, zone))
            .peekable();
        home.peek().is_some() && home.all(|zone| self.is_evacuated(zone))
    }
}
