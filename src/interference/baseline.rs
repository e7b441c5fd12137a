//! The usual tail latency of a serving image that nothing disturbs.

/// The quantiles of the undisturbed tails that the lower and the upper bound track.
const LOW_QUANTILE: f64 = 0.45;
const HIGH_QUANTILE: f64 = 0.93;
/// The bounds before the first report, in percent of the target.
const INITIAL_LOW: f64 = 40.0;
const INITIAL_HIGH: f64 = 70.0;
/// The limit on how far one report moves a bound, in percent of the target.
const MAX_STEP: f64 = 2.0;
/// A tail above this is too long, in percent of the target.
const TARGET_PERCENT: f64 = 100.0;

/// How a tail compares with the usual tails of its image.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tail {
    /// Not above the lower bound, like about half of the undisturbed tails.
    Low,
    /// Between the bounds.
    Usual,
    /// Longer than nearly all undisturbed tails, but within the target.
    High,
    /// Longer than the target.
    OverTarget,
}

/// The bounds between the low, usual and high tails of a serving image.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Baseline {
    low: f64,
    high: f64,
}

impl Default for Baseline {
    fn default() -> Self {
        Self {
            low: INITIAL_LOW,
            high: INITIAL_HIGH,
        }
    }
}

impl Baseline {
    /// Moves the bounds by an undisturbed tail, in percent of the target.
    pub fn learn(&mut self, percent: u32) {
        let seen = f64::from(percent);
        let moved = |bound: f64, quantile: f64| {
            let weight = if seen < bound {
                quantile - 1.0
            } else {
                quantile
            };
            (bound + MAX_STEP * weight).clamp(1.0, TARGET_PERCENT)
        };
        self.low = moved(self.low, LOW_QUANTILE);
        self.high = moved(self.high, HIGH_QUANTILE);
    }

    /// Classifies a tail, in percent of the target.
    ///
    /// ```
    /// use lycheelock::interference::{Baseline, Tail};
    ///
    /// let baseline = Baseline::default();
    /// assert_eq!(baseline.classify(30), Tail::Low);
    /// assert_eq!(baseline.classify(130), Tail::OverTarget);
    /// ```
    pub fn classify(self, percent: u32) -> Tail {
        match f64::from(percent) {
            seen if seen > TARGET_PERCENT => Tail::OverTarget,
            seen if seen > self.high => Tail::High,
            seen if seen > self.low => Tail::Usual,
            _ => Tail::Low,
        }
    }
}
