//! Limits the rate of log writes, so that all hosts together stay within the
//! store's write budget.

use crate::moment::Moment;

/// The most writes that can be sent at once after a pause.
const MAX_BURST: f64 = 20.0;

/// A token bucket that starts full.
#[derive(Debug)]
pub(super) struct RateLimiter {
    tokens: f64,
    last_refill: Option<Moment>,
}

impl Default for RateLimiter {
    fn default() -> Self {
        Self {
            tokens: MAX_BURST,
            last_refill: None,
        }
    }
}

impl RateLimiter {
    /// Adds the tokens for the time since the last call, at `rate` writes per second.
    pub fn refill(&mut self, rate: f64, now: Moment) {
        let elapsed = self
            .last_refill
            .map_or(0.0, |last_refill| (now - last_refill).as_secs_f64());
        self.last_refill = Some(now);
        self.tokens = (self.tokens + elapsed * rate).min(MAX_BURST);
    }

    /// Whether a write is allowed now.
    pub fn is_ready(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Uses the token of one write.
    pub fn spend(&mut self) {
        self.tokens -= 1.0;
    }
}
