//! Estimates of run times and used cores, learned for each team and class.

use std::collections::HashMap;

use crate::configuration::Size;

/// Weight of a new sample in the exponential moving average.
const SMOOTHING_FACTOR: f64 = 0.2;
/// Lower and upper bound of a learned ratio.
const MIN_RATIO: f64 = 0.05;
const MAX_RATIO: f64 = 20.0;

/// Measured run time and used cores as multiples of the declared ones.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ratio {
    /// Measured divided by declared run time.
    pub duration: f64,
    /// Used divided by declared cores.
    pub cores: f64,
}

impl Default for Ratio {
    fn default() -> Self {
        Self {
            duration: 1.0,
            cores: 1.0,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Group {
    team: String,
    class: String,
}

/// Learned ratios of all teams and classes.
#[derive(Debug, Default)]
pub struct Estimates {
    ratios: HashMap<Group, Ratio>,
}

impl Estimates {
    /// Records the run time of a finished task, in milliseconds, and the
    /// resources it used.
    ///
    /// ```
    /// use lycheelock::configuration::Size;
    /// use lycheelock::placement::Estimates;
    ///
    /// let mut estimates = Estimates::default();
    /// for _ in 0..30 {
    ///     estimates.add("a", "review", 100, 400, Size::default(), Size::default());
    /// }
    /// assert!(estimates.duration("a", "review", 100) > 350);
    /// assert_eq!(estimates.duration("b", "review", 100), 100);
    /// ```
    pub fn add(
        &mut self,
        team: &str,
        class: &str,
        declared_ms: u64,
        ran_ms: u64,
        declared: Size,
        used: Size,
    ) {
        let group = Group {
            team: team.to_owned(),
            class: class.to_owned(),
        };
        let ratio = self.ratios.entry(group).or_default();
        let duration = ran_ms as f64 / declared_ms.max(1) as f64;
        let cores = f64::from(used.millicores) / f64::from(declared.millicores.max(1));
        ratio.duration = smoothed(ratio.duration, duration);
        ratio.cores = smoothed(ratio.cores, cores);
    }

    /// Returns the ratios of a team and class, 1 before the first sample.
    pub fn ratio(&self, team: &str, class: &str) -> Ratio {
        let group = Group {
            team: team.to_owned(),
            class: class.to_owned(),
        };
        self.ratios.get(&group).copied().unwrap_or_default()
    }

    /// Returns the expected run time in milliseconds.
    pub fn duration(&self, team: &str, class: &str, declared_ms: u64) -> u64 {
        (declared_ms as f64 * self.ratio(team, class).duration) as u64
    }
}

fn smoothed(old: f64, sample: f64) -> f64 {
    (old + SMOOTHING_FACTOR * (sample - old)).clamp(MIN_RATIO, MAX_RATIO)
}
