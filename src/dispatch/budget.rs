//! The retry budget of a service.

/// A retry costs as much as this many first attempts earn.
const ATTEMPTS_FOR_RETRY: u32 = 10;
/// The budget holds at most this many retries.
const MOST_RETRIES: u32 = 20;

/// Lets retries add at most a tenth to the load of first attempts.
#[derive(Debug)]
pub struct Budget {
    credit: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            credit: ATTEMPTS_FOR_RETRY * MOST_RETRIES,
        }
    }
}

impl Budget {
    /// Notes a first attempt.
    pub fn earn(&mut self) {
        self.credit = (self.credit + 1).min(ATTEMPTS_FOR_RETRY * MOST_RETRIES);
    }

    /// Takes a retry from the budget; tells whether it had one.
    ///
    /// ```
    /// use lycheelock::dispatch::Budget;
    ///
    /// let mut budget = Budget::default();
    /// let retries = (0..100).filter(|_| budget.spend()).count();
    /// assert_eq!(retries, 20);
    /// ```
    pub fn spend(&mut self) -> bool {
        let enough = self.credit >= ATTEMPTS_FOR_RETRY;
        if enough {
            self.credit -= ATTEMPTS_FOR_RETRY;
        }
        enough
    }
}
