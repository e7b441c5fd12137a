//! The tails that a serving image has when nothing disturbs it.

/// The share of undisturbed tails below each bound.
const LOW_SHARE: f64 = 0.45;
const HIGH_SHARE: f64 = 0.93;
/// The bounds before there are reports, in percent of the target.
const FIRST_LOW: f64 = 40.0;
const FIRST_HIGH: f64 = 70.0;
/// How far one report moves a bound at the most, in percent of the target.
const STEP: f64 = 2.0;
/// From this on, in percent of the target, the tail is too long.
const TARGET: f64 = 100.0;

/// What a tail says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tail {
    /// As short as half of the undisturbed ones.
    Low,
    /// Usual.
    Usual,
    /// Longer than nearly all undisturbed ones.
    High,
    /// Over the target.
    Strained,
}

/// The bounds between low, usual and high tails of a serving image.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Baseline {
    low: f64,
    high: f64,
}

impl Default for Baseline {
    fn default() -> Self {
        Self {
            low: FIRST_LOW,
            high: FIRST_HIGH,
        }
    }
}

impl Baseline {
    /// Takes in an undisturbed tail, in percent of the target.
    pub fn learn(&mut self, percent: u32) {
        let seen = f64::from(percent);
        let moved = |bound: f64, share: f64| {
            let pull = if seen < bound { share - 1.0 } else { share };
            (bound + STEP * pull).clamp(1.0, TARGET)
        };
        self.low = moved(self.low, LOW_SHARE);
        self.high = moved(self.high, HIGH_SHARE);
    }

    /// Judges a tail, in percent of the target.
    ///
    /// ```
    /// use lycheelock::interference::{Baseline, Tail};
    ///
    /// let baseline = Baseline::default();
    /// assert_eq!(baseline.judge(30), Tail::Low);
    /// assert_eq!(baseline.judge(130), Tail::Strained);
    /// ```
    pub fn judge(self, percent: u32) -> Tail {
        match f64::from(percent) {
            seen if seen > TARGET => Tail::Strained,
            seen if seen > self.high => Tail::High,
            seen if seen > self.low => Tail::Usual,
            _ => Tail::Low,
        }
    }
}
