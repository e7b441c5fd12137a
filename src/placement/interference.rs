//! Estimates how much batch work slows down interactive requests on the same
//! worker.
//!
//! The mean latency of interactive requests is kept for several levels of
//! worker load, over all workers in the shards that this host owns: a single
//! worker sees too few requests to learn from within one burst of batch load.
//! The slowdown is the ratio to the mean of the lowest level and counts only
//! where the difference exceeds its uncertainty. Load reports lag behind, so a
//! sample counts for the level that was reported last.

use std::time::Duration;

/// Number of load levels: 0 to 24 percent, 25 to 49, and so on. Tasks that use
/// more than they declare raise the load above 100 percent.
const LEVELS: usize = 16;
const LEVEL_PERCENT: u32 = 25;
/// Minimum weight of a new sample in the moving averages of a level. Until
/// `1 / samples` falls below it, the average is the plain mean.
const MIN_SMOOTHING_FACTOR: f64 = 0.05;
/// Samples that a level needs before it is used.
const MIN_SAMPLES: u32 = 20;

/// Mean latency and deviation of interactive requests at each load level.
#[derive(Debug, Clone, Default)]
pub struct Interference {
    levels: [Level; LEVELS],
}

/// A point of the curve from load (in percent) to slowdown.
#[derive(Debug, Clone, Copy)]
struct CurvePoint {
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
    /// Records the latency of one request at a load in percent.
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
        let level = &mut self.levels[level_index(load)];
        level.samples = level.samples.saturating_add(1);
        let sample = latency.as_secs_f64();
        let weight = (1.0 / f64::from(level.samples)).max(MIN_SMOOTHING_FACTOR);
        let error = sample - level.mean;
        level.mean += weight * error;
        level.deviation += weight * (error.abs() - level.deviation);
    }

    /// Returns the mean latency at a load, or `None` before its level has
    /// enough samples.
    pub fn latency(&self, load: u32) -> Option<Duration> {
        let level = &self.levels[level_index(load)];
        (level.samples >= MIN_SAMPLES).then(|| Duration::from_secs_f64(level.mean.max(0.0)))
    }

    /// Returns the highest load, in percent, at which requests are at most
    /// `max_slowdown` times slower than without load, or `None` if no level
    /// exceeds it. Interpolates linearly between levels with enough samples.
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
    pub fn allowed_load(&self, max_slowdown: f64) -> Option<u32> {
        let mut previous = CurvePoint {
            load: 0.0,
            slowdown: 1.0,
        };
        for level in 1..LEVELS {
            if self.levels[level].samples < MIN_SAMPLES {
                continue;
            }
            let load = level as u32 * LEVEL_PERCENT;
            let point = CurvePoint {
                load: f64::from(load),
                slowdown: self.slowdown(load),
            };
            if point.slowdown > max_slowdown {
                let fraction =
                    (max_slowdown - previous.slowdown) / (point.slowdown - previous.slowdown);
                let allowed =
                    previous.load + fraction.clamp(0.0, 1.0) * (point.load - previous.load);
                return Some(allowed as u32);
            }
            previous = point;
        }
        None
    }

    /// Returns how many times slower requests are at a load than without load;
    /// 1 as long as the difference does not exceed its uncertainty.
    pub fn slowdown(&self, load: u32) -> f64 {
        let (idle, busy) = (&self.levels[0], &self.levels[level_index(load)]);
        if idle.samples < MIN_SAMPLES || busy.samples < MIN_SAMPLES {
            return 1.0;
        }
        let difference = busy.mean - idle.mean;
        let uncertainty = (busy.deviation + idle.deviation) / f64::from(MIN_SAMPLES).sqrt();
        match difference > uncertainty {
            true => busy.mean / idle.mean.max(f64::EPSILON),
            false => 1.0,
        }
    }
}

fn level_index(load: u32) -> usize {
    ((load / LEVEL_PERCENT) as usize).min(LEVELS - 1)
}
