//! Counts the requests that a planned stop has to wait for.

use std::io;
use std::io::Cursor;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use rocket::tokio::io::{AsyncRead, AsyncSeek, ReadBuf};

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

/// A response body that keeps its request counted as in progress until the body
/// is dropped, after it was sent or its connection failed.
#[derive(Debug)]
pub(crate) struct CountedBody {
    bytes: Cursor<Vec<u8>>,
    _guard: RequestGuard,
}

impl CountedBody {
    pub const fn new(bytes: Vec<u8>, guard: RequestGuard) -> Self {
        Self {
            bytes: Cursor::new(bytes),
            _guard: guard,
        }
    }
}

impl AsyncRead for CountedBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.bytes).poll_read(context, buffer)
    }
}

impl AsyncSeek for CountedBody {
    fn start_seek(mut self: Pin<&mut Self>, position: io::SeekFrom) -> io::Result<()> {
        Pin::new(&mut self.bytes).start_seek(position)
    }

    fn poll_complete(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<u64>> {
        Pin::new(&mut self.bytes).poll_complete(context)
    }
}
