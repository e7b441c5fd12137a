//! The pace of log writes, so that all hosts together keep the store's budget.

use crate::moment::Moment;

/// The most writes that may be saved up.
const BURST: f64 = 20.0;

/// A token bucket.
#[derive(Debug)]
pub(super) struct Pace {
    tokens: f64,
    filled: Option<Moment>,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            tokens: BURST,
            filled: None,
        }
    }
}

impl Pace {
    /// Adds what `rate`, in writes a second, allows since the last call.
    pub fn refill(&mut self, rate: f64, now: Moment) {
        let since = self
            .filled
            .map_or(0.0, |filled| (now - filled).as_secs_f64());
        self.filled = Some(now);
        self.tokens = (self.tokens + since * rate).min(BURST);
    }

    /// Whether a write is allowed now.
    pub fn is_ready(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes one write.
    pub fn spend(&mut self) {
        self.tokens -= 1.0;
    }
}
