//! Sizes and run times learned for each team and class.

use std::collections::HashMap;

use crate::configuration::Size;

/// The weight of a new sample.
const SMOOTHING: f64 = 0.2;
/// The bounds of a learned ratio.
const LEAST: f64 = 0.05;
const MOST: f64 = 20.0;

/// What really happened, as a multiple of what was declared.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ratio {
    /// Run time.
    pub duration: f64,
    /// Memory and cores used.
    pub size: f64,
}

impl Default for Ratio {
    fn default() -> Self {
        Self {
            duration: 1.0,
            size: 1.0,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Group {
    team: String,
    class: String,
}

/// The ratios of all teams and classes.
#[derive(Debug, Default)]
pub struct Estimates {
    ratios: HashMap<Group, Ratio>,
}

impl Estimates {
    /// Notes how long a finished task took, in milliseconds, and what it used.
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
        let size = f64::from(used.cores) / f64::from(declared.cores.max(1));
        ratio.duration = blend(ratio.duration, duration);
        ratio.size = blend(ratio.size, size);
    }

    /// The ratios of a team and class, 1 before any evidence.
    pub fn ratio(&self, team: &str, class: &str) -> Ratio {
        let group = Group {
            team: team.to_owned(),
            class: class.to_owned(),
        };
        self.ratios.get(&group).copied().unwrap_or_default()
    }

    /// The expected run time in milliseconds.
    pub fn duration(&self, team: &str, class: &str, declared_ms: u64) -> u64 {
        (declared_ms as f64 * self.ratio(team, class).duration) as u64
    }
}

fn blend(old: f64, sample: f64) -> f64 {
    (old + SMOOTHING * (sample - old)).clamp(LEAST, MOST)
}
