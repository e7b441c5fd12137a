//! Limits the retries of a service.

/// The number of first attempts that pay for one retry.
const ATTEMPTS_PER_RETRY: u32 = 10;
/// The maximum number of retries that a budget can store.
const MAX_STORED_RETRIES: u32 = 20;

/// A retry budget that limits retries to a tenth of the first attempts.
#[derive(Debug)]
pub struct RetryBudget {
    /// The available credit; a first attempt adds 1, a retry takes [`ATTEMPTS_PER_RETRY`].
    credit: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            credit: ATTEMPTS_PER_RETRY * MAX_STORED_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Adds the credit of a first attempt.
    pub fn deposit(&mut self) {
        self.credit = (self.credit + 1).min(ATTEMPTS_PER_RETRY * MAX_STORED_RETRIES);
    }

    /// Takes the credit of a retry. Returns false if the budget is used up.
    ///
    /// ```
    /// use lycheelock::dispatch::RetryBudget;
    ///
    /// let mut budget = RetryBudget::default();
    /// let retries = (0..100).filter(|_| budget.withdraw()).count();
    /// assert_eq!(retries, 20);
    /// ```
    pub fn withdraw(&mut self) -> bool {
        let enough = self.credit >= ATTEMPTS_PER_RETRY;
        if enough {
            self.credit -= ATTEMPTS_PER_RETRY;
        }
        enough
    }
}
