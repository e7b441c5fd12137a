//! Limits on connections whose peer has not proved yet that it has the key.

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::oneshot;

/// The bytes that are read from a peer before its proof: the upgrade, a hello, the
/// proof and one read of what follows.
const UNPROVED_BYTES: usize = 64 << 10;
/// The connections without a proof. A peer needs one round trip for its proof.
const MAX_UNPROVED: usize = 32;

/// A stream that fails when too many bytes arrive before the limit is lifted.
#[derive(Debug)]
pub(super) struct LimitedStream {
    stream: TcpStream,
    /// The bytes that may still be read; absent without a limit.
    left: Option<usize>,
}

impl LimitedStream {
    pub const fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            left: Some(UNPROVED_BYTES),
        }
    }

    /// Lifts the limit, after the peer's proof.
    pub const fn lift(&mut self) {
        self.left = None;
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let read = buffer.filled().len() - before;
        match self.left {
            Some(left) if read > left => {
                let message = "too many bytes before the proof";
                Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)))
            }
            Some(left) => {
                self.left = Some(left - read);
                Poll::Ready(Ok(()))
            }
            None => Poll::Ready(Ok(())),
        }
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// The accepted connections without a proof, oldest first. Each holds the receiver of
/// its place until the proof; it ends when the sender is dropped.
#[derive(Debug, Default)]
pub(super) struct UnprovedConnections(VecDeque<oneshot::Sender<()>>);

impl UnprovedConnections {
    /// Adds a connection. Returns its place, and whether the oldest one lost its own.
    /// The oldest goes first, so that connections that never prove the key cannot keep
    /// out a peer that has it.
    pub fn add(&mut self) -> (oneshot::Receiver<()>, bool) {
        self.0.retain(|place| !place.is_closed());
        let replaced = self.0.len() >= MAX_UNPROVED;
        if replaced {
            self.0.pop_front();
        }
        let (place, ended) = oneshot::channel();
        self.0.push_back(place);
        (ended, replaced)
    }
}
