//! The fencing tokens under which a host may give orders.

use std::collections::BTreeSet;

/// The fencing tokens of the shards that a host owns, and the highest one that it gave up.
#[derive(Debug, Default)]
pub struct Tokens {
    held: BTreeSet<u64>,
    highest_ended: u64,
}

impl Tokens {
    /// Records that the host owns a shard under this token.
    pub fn hold(&mut self, fence: u64) {
        self.held.insert(fence);
    }

    /// Records that the host gives no more orders under this token. Returns the highest
    /// token up to which that holds for all its shards, if that includes this one.
    ///
    /// ```
    /// use lycheelock::shards::Tokens;
    ///
    /// let mut tokens = Tokens::default();
    /// [1, 2].into_iter().for_each(|fence| tokens.hold(fence));
    /// assert_eq!(tokens.end(2), None);
    /// assert_eq!(tokens.end(1), Some(2));
    /// ```
    pub fn end(&mut self, fence: u64) -> Option<u64> {
        self.held.remove(&fence);
        self.highest_ended = self.highest_ended.max(fence);
        let lowest_held = self.held.first().copied();
        let below = lowest_held.map_or(u64::MAX, |held| held.saturating_sub(1));
        let resigned = self.highest_ended.min(below);
        (resigned >= fence).then_some(resigned)
    }
}
