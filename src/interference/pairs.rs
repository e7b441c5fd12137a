//! The evidence about each pair of images, as the logarithm of the odds that
//! the filling one disturbs the serving one.

use std::collections::HashMap;
use std::time::Duration;

use super::{ImageKey, Tail};

/// The share of pairs that disturb, before any evidence.
const PRIOR: f64 = 0.15;
/// Bounds of the evidence, so that a pair whose nature changes is learned anew.
const STRONGEST: f64 = 5.0;
/// What a low tail says against harm, for each unit of the neighbour's share,
/// and at most.
const LOW_BY_SHARE: f64 = 10.0;
const LOW_AT_MOST: f64 = 1.5;
/// What a high and a strained tail say for harm.
const HIGH: f64 = 0.4;
const STRAINED: f64 = 2.5;
/// How fast a belief in harm fades, each second: a pair that is kept apart
/// shows nothing, so it is tried again some time.
const FADES: f64 = 0.04;
/// A neighbour with less than this share of the worker says nothing.
const LEAST_SHARE: f64 = 0.02;

/// A filling image on the same worker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Neighbour {
    /// The image.
    pub image: ImageKey,
    /// The share of the worker's processors that its tasks use.
    pub share: f64,
}

/// One report of a serving task's tail, with what ran beside it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Observation<'a> {
    /// The serving image.
    pub serving: ImageKey,
    /// Its tail.
    pub tail: Tail,
    /// The filling images on the worker, each once.
    pub neighbours: &'a [Neighbour],
}

/// The evidence about all pairs.
#[derive(Debug, Default)]
pub struct Pairs {
    odds: HashMap<(ImageKey, ImageKey), f64>,
}

impl Pairs {
    /// Takes in one report.
    ///
    /// ```
    /// use lycheelock::interference::{Images, Neighbour, Observation, Pairs, Tail};
    ///
    /// let mut images = Images::default();
    /// let (serving, image) = (images.key("video"), images.key("batch"));
    /// let mut pairs = Pairs::default();
    /// let neighbours = [Neighbour { image, share: 0.2 }];
    /// pairs.learn(&Observation { serving, tail: Tail::Strained, neighbours: &neighbours });
    /// assert!(pairs.is_harmful(serving, image));
    /// ```
    pub fn learn(&mut self, seen: &Observation<'_>) {
        match seen.tail {
            Tail::Low => self.acquit(seen),
            Tail::Usual => {}
            Tail::High => self.blame(seen, HIGH),
            Tail::Strained => self.blame(seen, STRAINED),
        }
    }

    /// Whether tasks of the filling image probably disturb the serving one.
    pub fn is_harmful(&self, serving: ImageKey, filling: ImageKey) -> bool {
        self.odds(serving, filling) > 0.0
    }

    /// The logarithm of the odds that the filling image disturbs the serving one.
    pub fn odds(&self, serving: ImageKey, filling: ImageKey) -> f64 {
        let known = self.odds.get(&(serving, filling));
        known
            .copied()
            .unwrap_or_else(|| (PRIOR / (1.0 - PRIOR)).ln())
    }

    /// All pairs with evidence, in a fixed order.
    pub fn all(&self) -> Vec<(ImageKey, ImageKey, f64)> {
        let rows = self.odds.iter();
        let mut all: Vec<_> = rows
            .map(|((serving, filling), odds)| (*serving, *filling, *odds))
            .collect();
        all.sort_by_key(|row| (row.0, row.1));
        all
    }

    /// Lets beliefs in harm fade.
    pub fn fade(&mut self, span: Duration) {
        let step = FADES * span.as_secs_f64();
        for odds in self.odds.values_mut().filter(|odds| **odds > 0.0) {
            *odds = (*odds - step).max(0.0);
        }
    }

    /// Takes up evidence that a former owner left.
    pub fn restore(&mut self, serving: ImageKey, filling: ImageKey, odds: f64) {
        let odds = odds.clamp(-STRONGEST, STRONGEST);
        self.odds.entry((serving, filling)).or_insert(odds);
    }

    fn acquit(&mut self, seen: &Observation<'_>) {
        for neighbour in seen
            .neighbours
            .iter()
            .filter(|row| row.share >= LEAST_SHARE)
        {
            let evidence = (neighbour.share * LOW_BY_SHARE).min(LOW_AT_MOST);
            self.add(seen.serving, neighbour.image, -evidence);
        }
    }

    /// Divides the blame by how likely each neighbour is to be the cause.
    fn blame(&mut self, seen: &Observation<'_>, evidence: f64) {
        let weight = |neighbour: &Neighbour| {
            self.odds(seen.serving, neighbour.image).exp() * neighbour.share
        };
        let present = seen
            .neighbours
            .iter()
            .filter(|row| row.share >= LEAST_SHARE);
        let weighed: Vec<(ImageKey, f64)> = present.map(|row| (row.image, weight(row))).collect();
        let whole: f64 = weighed.iter().map(|row| row.1).sum();
        for (image, weight) in weighed {
            self.add(seen.serving, image, evidence * weight / whole);
        }
    }

    fn add(&mut self, serving: ImageKey, filling: ImageKey, evidence: f64) {
        let known = self.odds(serving, filling);
        let odds = (known + evidence).clamp(-STRONGEST, STRONGEST);
        self.odds.insert((serving, filling), odds);
    }
}
