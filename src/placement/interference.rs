//! What batch work costs the interactive requests beside it.
//!
//! The mean latency of interactive requests is kept for several levels of a
//! worker's load, over all workers that this host commands: one worker alone
//! sees too few requests to learn within a noisy wave. The difference to the
//! lowest level, bounded by its uncertainty, is the cost. Reports of load lag,
//! so a sample counts for the level that was reported last.

use std::time::Duration;

/// Levels of batch load: 0 to 24 percent, 25 to 49, and so on. Tasks that use
/// more than they declare take the load above 100.
const LEVELS: usize = 16;
const LEVEL_PERCENT: u32 = 25;
/// The weight of a new sample once a level has enough of them.
const SMOOTHING: f64 = 0.05;
/// A level counts once it has this many samples.
const ENOUGH: u32 = 20;

/// The mean latencies at each level of load.
#[derive(Debug, Clone, Default)]
pub struct Interference {
    levels: [Level; LEVELS],
}

/// What a load costs.
#[derive(Debug, Clone, Copy)]
struct Cost {
    load: f64,
    slowdown: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Level {
    samples: u32,
    mean: f64,
    deviation: f64,
}

impl Interference {
    /// Adds the latency of one request at a load in percent.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lycheelock::placement::Interference;
    ///
    /// let mut interference = Interference::default();
    /// for _ in 0..30 {
    ///     interference.add(0, Duration::from_millis(2));
    ///     interference.add(90, Duration::from_millis(6));
    /// }
    /// assert!(interference.slowdown(90) > 2.5);
    /// assert_eq!(interference.slowdown(50), 1.0);
    /// ```
    pub fn add(&mut self, load: u32, latency: Duration) {
        let level = &mut self.levels[index(load)];
        level.samples = level.samples.saturating_add(1);
        let sample = latency.as_secs_f64();
        let weight = (1.0 / f64::from(level.samples)).max(SMOOTHING);
        let error = sample - level.mean;
        level.mean += weight * error;
        level.deviation += weight * (error.abs() - level.deviation);
    }

    /// The mean latency at a load, none before enough samples.
    pub fn latency(&self, load: u32) -> Option<Duration> {
        let level = &self.levels[index(load)];
        (level.samples >= ENOUGH).then(|| Duration::from_secs_f64(level.mean.max(0.0)))
    }

    /// The highest load, in percent, at which requests are at most `tolerance`
    /// times slower than without load. Between the levels with evidence the
    /// cost is taken to grow evenly; none if no level costs too much.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lycheelock::placement::Interference;
    ///
    /// let mut interference = Interference::default();
    /// for _ in 0..30 {
    ///     interference.add(0, Duration::from_millis(2));
    ///     interference.add(60, Duration::from_millis(4));
    /// }
    /// assert_eq!(interference.allowed_load(1.5), Some(25));
    /// assert_eq!(interference.allowed_load(3.0), None);
    /// ```
    pub fn allowed_load(&self, tolerance: f64) -> Option<u32> {
        let mut last = Cost {
            load: 0.0,
            slowdown: 1.0,
        };
        for level in 1..LEVELS {
            if self.levels[level].samples < ENOUGH {
                continue;
            }
            let load = level as u32 * LEVEL_PERCENT;
            let cost = Cost {
                load: f64::from(load),
                slowdown: self.slowdown(load),
            };
            if cost.slowdown > tolerance {
                let part = (tolerance - last.slowdown) / (cost.slowdown - last.slowdown);
                let allowed = last.load + part.clamp(0.0, 1.0) * (cost.load - last.load);
                return Some(allowed as u32);
            }
            last = cost;
        }
        None
    }

    /// How many times slower requests are at a load than without load, 1 as
    /// long as the evidence does not exceed its uncertainty.
    pub fn slowdown(&self, load: u32) -> f64 {
        let (idle, busy) = (&self.levels[0], &self.levels[index(load)]);
        if idle.samples < ENOUGH || busy.samples < ENOUGH {
            return 1.0;
        }
        let difference = busy.mean - idle.mean;
        let uncertainty = (busy.deviation + idle.deviation) / f64::from(ENOUGH).sqrt();
        match difference > uncertainty {
            true => busy.mean / idle.mean.max(f64::EPSILON),
            false => 1.0,
        }
    }
}

fn index(load: u32) -> usize {
    ((load / LEVEL_PERCENT) as usize).min(LEVELS - 1)
}
