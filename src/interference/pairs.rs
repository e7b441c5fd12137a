//! The evidence about each pair of images, as the logarithm of the odds that
//! the filling one disturbs the serving one.

use std::collections::HashMap;

use super::ImageKey;

/// How likely a strained tail is beside an image that disturbs, for each unit
/// of the share that it uses, and at most.
const STRAINED_BY_SHARE: f64 = 4.0;
const STRAINED_AT_MOST: f64 = 0.6;
/// How likely a strained tail is beside none.
const STRAINED_IF_HARMLESS: f64 = 0.005;
/// The share of pairs that disturb, before any evidence.
const PRIOR: f64 = 0.15;
/// Bounds of the evidence, so that a pair whose nature changes is learned anew.
const STRONGEST: f64 = 5.0;

/// What a tail says, by its ratio to the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tail {
    /// Well under the target.
    Calm,
    /// Too near to the target to say anything.
    Unclear,
    /// Over the target.
    Strained,
}

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

impl Tail {
    const CALM: u32 = 75;

    /// Judges a tail, given in percent of its target.
    ///
    /// ```
    /// use lycheelock::interference::Tail;
    ///
    /// assert_eq!(Tail::of(50), Tail::Calm);
    /// assert_eq!(Tail::of(130), Tail::Strained);
    /// ```
    pub const fn of(percent: u32) -> Self {
        match percent {
            0..=Self::CALM => Self::Calm,
            101.. => Self::Strained,
            _ => Self::Unclear,
        }
    }
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
            Tail::Calm => self.acquit(seen),
            Tail::Unclear => {}
            Tail::Strained => self.blame(seen),
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

    /// Takes up evidence that a former owner left.
    pub fn restore(&mut self, serving: ImageKey, filling: ImageKey, odds: f64) {
        let odds = odds.clamp(-STRONGEST, STRONGEST);
        self.odds.entry((serving, filling)).or_insert(odds);
    }

    fn acquit(&mut self, seen: &Observation<'_>) {
        for neighbour in seen.neighbours {
            let ratio = (1.0 - strained_if_harmful(neighbour)) / (1.0 - STRAINED_IF_HARMLESS);
            self.add(seen.serving, neighbour.image, ratio.ln());
        }
    }

    /// Divides the blame by how likely each neighbour is to be the cause.
    fn blame(&mut self, seen: &Observation<'_>) {
        let weight = |neighbour: &Neighbour| {
            self.odds(seen.serving, neighbour.image).exp() * strained_if_harmful(neighbour)
        };
        let weights: Vec<f64> = seen.neighbours.iter().map(weight).collect();
        let whole: f64 = weights.iter().sum();
        if whole <= 0.0 {
            return;
        }
        for (neighbour, weight) in seen.neighbours.iter().zip(weights) {
            let ratio = strained_if_harmful(neighbour) / STRAINED_IF_HARMLESS;
            let evidence = ratio.ln().max(0.0) * weight / whole;
            self.add(seen.serving, neighbour.image, evidence);
        }
    }

    fn add(&mut self, serving: ImageKey, filling: ImageKey, evidence: f64) {
        let known = self.odds(serving, filling);
        let odds = (known + evidence).clamp(-STRONGEST, STRONGEST);
        self.odds.insert((serving, filling), odds);
    }
}

fn strained_if_harmful(neighbour: &Neighbour) -> f64 {
    (neighbour.share * STRAINED_BY_SHARE).clamp(STRAINED_IF_HARMLESS, STRAINED_AT_MOST)
}
