//! A TCP stream that reports its progress.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::link::Link;

/// The limit on one read, in bytes. hyper's read buffer starts at 8 KiB and grows as
/// soon as a read fills it, so it would hold 32 KiB for each connection with a body.
const READ_BYTES: usize = (8 << 10) - 1;

/// Whether bytes are the head of a response of the class 4xx.
fn is_error_head(bytes: &[u8]) -> bool {
    bytes.starts_with(b"HTTP/1.") && bytes.get(9) == Some(&b'4')
}

/// A TCP stream that reports its progress to the state of its connection.
#[derive(Debug)]
pub(super) struct TrackedStream {
    stream: TcpStream,
    link: Arc<Link>,
}

impl TrackedStream {
    pub const fn new(stream: TcpStream, link: Arc<Link>) -> Self {
        Self { stream, link }
    }

    pub fn into_inner(self) -> TcpStream {
        self.stream
    }

    /// Whether hyper writes an error of its own, which is not sent: it has neither a kind nor
    /// a body.
    fn drops(&self, bytes: &[u8]) -> bool {
        is_error_head(bytes) && self.link.on_error_written()
    }

    fn record(&self, written: &io::Result<usize>) {
        if let Ok(bytes) = written {
            self.link.on_written(*bytes);
        }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let size = buffer.remaining().min(READ_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(size));
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut part))?;
        let bytes = part.filled().len();
        buffer.advance(bytes);
        if bytes > 0 {
            self.link.on_read(bytes);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.drops(bytes) {
            return Poll::Ready(Ok(bytes.len()));
        }
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, bytes));
        self.record(&written);
        Poll::Ready(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if parts.first().is_some_and(|part| self.drops(part)) {
            return Poll::Ready(Ok(parts.iter().map(|part| part.len()).sum()));
        }
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, parts));
        self.record(&written);
        Poll::Ready(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// hyper flushes only when it has written all bytes that it holds.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.link.on_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
