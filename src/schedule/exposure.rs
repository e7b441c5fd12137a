//! Counts the best-effort tasks that run beside each serving image, to limit their number while
//! it is unknown whether they interfere.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;

use super::Scheduler;
use crate::fleet::Worker;
use crate::interference::ImageKey;

/// The log odds of interference below which a pair of images counts as harmless.
const PROVEN_LOG_ODDS: f64 = -2.5;
/// The limit on the best-effort tasks of an image that run at full speed beside a serving
/// image, unless the pair is known to be harmless.
const MAX_UNPROVEN_RUNS: u32 = 4;

/// The number of best-effort tasks of an image on workers with a serving image.
#[derive(Debug, Default)]
pub(super) struct Exposure {
    runs: FxHashMap<(ImageKey, ImageKey), u32>,
}

impl Exposure {
    /// Counts the start of a best-effort task on a worker.
    pub fn add_best_effort(&mut self, worker: &mut Worker, image: ImageKey) {
        *worker.best_effort_images.entry(image).or_default() += 1;
        for serving in worker.serving_images.keys() {
            self.add(*serving, image, 1);
        }
    }

    /// Counts the end of a best-effort task on a worker.
    pub fn remove_best_effort(&mut self, worker: &mut Worker, image: ImageKey) {
        if !remove_one(&mut worker.best_effort_images, image) {
            return;
        }
        for serving in worker.serving_images.keys() {
            self.remove(*serving, image, 1);
        }
    }

    /// Counts the start of a serving task on a worker.
    pub fn add_serving(&mut self, worker: &mut Worker, image: ImageKey) {
        let count = worker.serving_images.entry(image).or_default();
        *count += 1;
        if *count > 1 {
            return;
        }
        for (best_effort, runs) in &worker.best_effort_images {
            self.add(image, *best_effort, *runs);
        }
    }

    /// Counts the end of a serving task on a worker.
    pub fn remove_serving(&mut self, worker: &mut Worker, image: ImageKey) {
        let removed = remove_one(&mut worker.serving_images, image);
        if !removed || worker.serving_images.contains_key(&image) {
            return;
        }
        for (best_effort, runs) in &worker.best_effort_images {
            self.remove(image, *best_effort, *runs);
        }
    }

    fn runs(&self, serving: ImageKey, best_effort: ImageKey) -> u32 {
        let runs = self.runs.get(&(serving, best_effort));
        runs.copied().unwrap_or_default()
    }

    fn add(&mut self, serving: ImageKey, best_effort: ImageKey, runs: u32) {
        *self.runs.entry((serving, best_effort)).or_default() += runs;
    }

    fn remove(&mut self, serving: ImageKey, best_effort: ImageKey, runs: u32) {
        let pair = (serving, best_effort);
        if let Some(known) = self.runs.get_mut(&pair) {
            *known = known.saturating_sub(runs);
            if *known == 0 {
                self.runs.remove(&pair);
            }
        }
    }
}

impl Scheduler {
    /// Whether as many best-effort tasks of an image as allowed already run beside a serving
    /// image of the worker, and the pair is not known to be harmless.
    pub(super) fn is_overexposed(&self, worker: &Worker, image: Option<ImageKey>) -> bool {
        let Some(image) = image else {
            return false;
        };
        worker.serving_images.keys().any(|serving| {
            self.exposure.runs(*serving, image) >= MAX_UNPROVEN_RUNS
                && self.pairs.log_odds(*serving, image) > PROVEN_LOG_ODDS
        })
    }
}

/// Removes one task of an image. Returns whether there was one.
fn remove_one(counts: &mut BTreeMap<ImageKey, u32>, image: ImageKey) -> bool {
    let Some(count) = counts.get_mut(&image) else {
        return false;
    };
    *count -= 1;
    if *count == 0 {
        counts.remove(&image);
    }
    true
}
