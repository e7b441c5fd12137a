//! Counts the requests that a planned stop has to wait for.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts the requests in progress, each from its arrival until the last byte of
/// the response is handed to the connection.
#[derive(Debug, Clone, Default)]
pub struct RequestCounter {
    count: Arc<AtomicUsize>,
}

/// Counts one request as in progress until it is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    count: Arc<AtomicUsize>,
}

impl RequestCounter {
    /// Counts a request until the returned guard is dropped.
    ///
    /// ```
    /// use lycheelock::drain::RequestCounter;
    ///
    /// let all = RequestCounter::default();
    /// let one = all.begin();
    /// assert_eq!(all.len(), 1);
    /// drop(one);
    /// assert!(all.is_empty());
    /// ```
    pub fn begin(&self) -> RequestGuard {
        self.count.fetch_add(1, Ordering::Relaxed);
        RequestGuard {
            count: self.count.clone(),
        }
    }

    /// Number of requests in progress.
    pub fn len(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }

    /// Whether no request is in progress.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}
