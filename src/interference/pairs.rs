//! The evidence about each pair of images, as the logarithm of the odds that
//! the best-effort image disturbs the serving one.

use std::time::Duration;

use rustc_hash::FxHashMap;

use super::{ImageKey, Tail};

/// The log odds of a pair without evidence: it interferes with a probability of 15 percent.
const PRIOR_LOG_ODDS: f64 = -1.734_601;
/// The limit on the log odds of a pair in either direction, so that a pair whose
/// behaviour changes can still be relearned.
const MAX_LOG_ODDS: f64 = 5.0;
/// The log odds that a low tail takes away, for each unit of the neighbour's share,
/// and the limit on them.
const LOW_TAIL_EVIDENCE: f64 = 10.0;
const LOW_TAIL_LIMIT: f64 = 1.5;
/// The log odds that a high tail and a tail over the target add.
const HIGH_TAIL_EVIDENCE: f64 = 0.4;
const OVER_TARGET_EVIDENCE: f64 = 2.5;
/// How much positive log odds decay each second. A pair that is kept apart gives
/// no further evidence, so it has to become eligible for another try.
const DECAY_PER_SECOND: f64 = 0.04;
/// A neighbour that uses a smaller share of the worker than this is ignored.
const MIN_SHARE: f64 = 0.02;

/// A best-effort image on the same worker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Neighbour {
    /// The best-effort image.
    pub image: ImageKey,
    /// The share of the worker's processors that the image's tasks use, from 0 to 1.
    pub share: f64,
}

/// One report of a serving task's tail, with the best-effort images beside it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Observation<'a> {
    /// The image of the serving task.
    pub serving: ImageKey,
    /// How the tail compares with the usual tails of the image.
    pub tail: Tail,
    /// The best-effort images on the worker, each once.
    pub neighbours: &'a [Neighbour],
}

/// The evidence about a pair of images.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Evidence {
    /// The logarithm of the odds that the best-effort image disturbs the serving one.
    pub log_odds: f64,
    /// The sum of the changes of the log odds by reports of this shard's workers, without
    /// limits and decay. Other owners add what it has grown by since they last read it.
    pub observed: f64,
}

impl Default for Evidence {
    fn default() -> Self {
        Self {
            log_odds: PRIOR_LOG_ODDS,
            observed: 0.0,
        }
    }
}

impl Evidence {
    fn add(&mut self, change: f64) {
        self.log_odds = (self.log_odds + change).clamp(-MAX_LOG_ODDS, MAX_LOG_ODDS);
    }
}

/// The evidence about all pairs of images.
#[derive(Debug, Default)]
pub struct ImagePairs {
    evidence: FxHashMap<(ImageKey, ImageKey), Evidence>,
}

impl ImagePairs {
    /// Updates the evidence with one report.
    ///
    /// ```
    /// use lycheelock::interference::{Images, Neighbour, Observation, ImagePairs, Tail};
    ///
    /// let mut images = Images::default();
    /// let (serving, image) = (images.key("video"), images.key("batch"));
    /// let mut pairs = ImagePairs::default();
    /// let neighbours = [Neighbour { image, share: 0.2 }];
    /// pairs.learn(&Observation { serving, tail: Tail::OverTarget, neighbours: &neighbours });
    /// assert!(pairs.is_harmful(serving, image));
    /// ```
    pub fn learn(&mut self, observation: &Observation<'_>) {
        match observation.tail {
            Tail::Low => self.add_evidence_against(observation),
            Tail::Usual => {}
            Tail::High => self.add_evidence_for(observation, HIGH_TAIL_EVIDENCE),
            Tail::OverTarget => self.add_evidence_for(observation, OVER_TARGET_EVIDENCE),
        }
    }

    /// Whether tasks of the best-effort image probably disturb the serving one.
    pub fn is_harmful(&self, serving: ImageKey, best_effort: ImageKey) -> bool {
        self.log_odds(serving, best_effort) > 0.0
    }

    /// Returns the logarithm of the odds that the best-effort image disturbs the serving one.
    pub fn log_odds(&self, serving: ImageKey, best_effort: ImageKey) -> f64 {
        let known = self.evidence.get(&(serving, best_effort));
        known.map_or(PRIOR_LOG_ODDS, |evidence| evidence.log_odds)
    }

    /// Returns all pairs with evidence, sorted by their keys.
    pub fn all(&self) -> Vec<(ImageKey, ImageKey, Evidence)> {
        let rows = self.evidence.iter();
        let mut all: Vec<_> = rows
            .map(|((serving, best_effort), evidence)| (*serving, *best_effort, *evidence))
            .collect();
        all.sort_by_key(|row| (row.0, row.1));
        all
    }

    /// Lets evidence for interference decay over `span`.
    pub fn decay(&mut self, span: Duration) {
        let step = DECAY_PER_SECOND * span.as_secs_f64();
        let harmful = |evidence: &&mut Evidence| evidence.log_odds > 0.0;
        for evidence in self.evidence.values_mut().filter(harmful) {
            evidence.log_odds = (evidence.log_odds - step).max(0.0);
        }
    }

    /// Restores evidence that a former owner stored, unless the pair already has some.
    pub fn restore(&mut self, serving: ImageKey, best_effort: ImageKey, stored: Evidence) {
        let log_odds = stored.log_odds.clamp(-MAX_LOG_ODDS, MAX_LOG_ODDS);
        let restored = Evidence { log_odds, ..stored };
        self.evidence
            .entry((serving, best_effort))
            .or_insert(restored);
    }

    /// Adds evidence that the owner of another shard has observed.
    ///
    /// ```
    /// use lycheelock::interference::{ImagePairs, Images};
    ///
    /// let mut images = Images::default();
    /// let (serving, image) = (images.key("video"), images.key("batch"));
    /// let mut pairs = ImagePairs::default();
    /// pairs.merge(serving, image, 4.0);
    /// assert!(pairs.is_harmful(serving, image));
    /// assert_eq!(pairs.all()[0].2.observed, 0.0);
    /// ```
    pub fn merge(&mut self, serving: ImageKey, best_effort: ImageKey, change: f64) {
        self.evidence
            .entry((serving, best_effort))
            .or_default()
            .add(change);
    }

    fn add_evidence_against(&mut self, observation: &Observation<'_>) {
        for neighbour in observation
            .neighbours
            .iter()
            .filter(|row| row.share >= MIN_SHARE)
        {
            let evidence = (neighbour.share * LOW_TAIL_EVIDENCE).min(LOW_TAIL_LIMIT);
            self.observe(observation.serving, neighbour.image, -evidence);
        }
    }

    /// Divides the evidence among the neighbours in proportion to their odds and
    /// their shares.
    fn add_evidence_for(&mut self, observation: &Observation<'_>, evidence: f64) {
        let weight = |neighbour: &Neighbour| {
            self.log_odds(observation.serving, neighbour.image).exp() * neighbour.share
        };
        let present = observation
            .neighbours
            .iter()
            .filter(|row| row.share >= MIN_SHARE);
        let weighted: Vec<(ImageKey, f64)> = present.map(|row| (row.image, weight(row))).collect();
        let total: f64 = weighted.iter().map(|row| row.1).sum();
        for (image, weight) in weighted {
            self.observe(observation.serving, image, evidence * weight / total);
        }
    }

    fn observe(&mut self, serving: ImageKey, best_effort: ImageKey, change: f64) {
        let evidence = self.evidence.entry((serving, best_effort)).or_default();
        evidence.add(change);
        evidence.observed += change;
    }
}
