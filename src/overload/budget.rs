//! Decides whether a request or response may hold more bytes.

/// The size up to which a request may use all of the budget, in bytes. Ordinary bodies
/// have 1 to 10 KB.
const ORDINARY_BYTES: u64 = 16 << 10;
/// The size up to which a request may use all but an eighth of the budget, in bytes.
const MEDIUM_BYTES: u64 = 128 << 10;

/// The bytes that all requests and responses in progress may hold.
///
/// Load: many large bodies at once. Large requests may use three quarters of the
/// budget and medium ones seven eighths, so ordinary requests are still served while
/// others hold the rest.
///
/// ```
/// use lycheelock::overload::Budget;
///
/// let mut budget = Budget::new(1 << 20);
/// assert!(budget.reserve(0, 768 << 10));
/// assert!(!budget.reserve(0, 200 << 10));
/// assert!(budget.reserve(0, 10 << 10));
/// budget.release(778 << 10);
/// assert_eq!(budget.held(), 0);
/// ```
#[derive(Debug)]
pub struct Budget {
    total: u64,
    held: u64,
}

impl Budget {
    /// Creates a budget of `total` bytes.
    pub const fn new(total: u64) -> Self {
        Self { total, held: 0 }
    }

    /// Reserves `more` bytes for a request that holds `own` bytes already. Returns
    /// whether they were reserved.
    pub fn reserve(&mut self, own: u64, more: u64) -> bool {
        let Some(held) = self.held.checked_add(more) else {
            return false;
        };
        let fits = held <= self.limit(own.saturating_add(more));
        if fits {
            self.held = held;
        }
        fits
    }

    /// Returns how many bytes must be given back before `more` bytes can be reserved for
    /// a request that holds `own`; absent if the request is too large for the budget.
    pub fn missing(&self, own: u64, more: u64) -> Option<u64> {
        let size = own.checked_add(more)?;
        let limit = self.limit(size);
        (size <= limit).then(|| self.held.saturating_add(more).saturating_sub(limit))
    }

    /// Gives bytes back.
    pub const fn release(&mut self, bytes: u64) {
        self.held = self.held.saturating_sub(bytes);
    }

    /// The bytes that are held.
    pub const fn held(&self) -> u64 {
        self.held
    }

    const fn limit(&self, size: u64) -> u64 {
        if size <= ORDINARY_BYTES {
            self.total
        } else if size <= MEDIUM_BYTES {
            self.total - self.total / 8
        } else {
            self.total - self.total / 4
        }
    }
}
