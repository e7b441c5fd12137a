//! Counts the requests that a planned stop has to wait for.

use std::io;
use std::io::Cursor;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use rocket::tokio::io::{AsyncRead, AsyncSeek, ReadBuf};

/// The requests in progress, from their arrival until the last byte of the
/// answer is handed to the connection.
#[derive(Debug, Clone, Default)]
pub struct InProgress {
    count: Arc<AtomicUsize>,
}

/// One request in progress; it ends when this is dropped.
#[derive(Debug)]
pub struct Progress {
    count: Arc<AtomicUsize>,
}

impl InProgress {
    /// Counts a request.
    ///
    /// ```
    /// use lycheelock::drain::InProgress;
    ///
    /// let all = InProgress::default();
    /// let one = all.begin();
    /// assert_eq!(all.len(), 1);
    /// drop(one);
    /// assert!(all.is_empty());
    /// ```
    pub fn begin(&self) -> Progress {
        self.count.fetch_add(1, Ordering::Relaxed);
        Progress {
            count: self.count.clone(),
        }
    }

    /// How many requests are in progress.
    pub fn len(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }

    /// Whether none is in progress.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The body of an answer, which keeps its request in progress until it is
/// read to its end or dropped.
#[derive(Debug)]
pub(crate) struct CountedBody {
    bytes: Cursor<Vec<u8>>,
    _progress: Progress,
}

impl CountedBody {
    pub const fn new(bytes: Vec<u8>, progress: Progress) -> Self {
        Self {
            bytes: Cursor::new(bytes),
            _progress: progress,
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
