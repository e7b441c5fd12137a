//! Serves one connection until it ends, stalls or has to make room for another one.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};

use super::dispatch::Dispatcher;
use super::link::Link;
use super::listener::wait_stopping;
use super::stream::TrackedStream;
use crate::front::refusal_parts;
use crate::kind::{ErrorKind, Refusal};
use crate::moment::Moment;
use crate::overload::{Check, Reason, Stage};

/// The limit on hyper's read buffer, and so on the headers of a request, in bytes.
const BUFFER_BYTES: usize = 32 << 10;
/// The limit on the header lines of a request: hyper's own.
const MAX_HEADERS: usize = 100;
/// How long the rest of a refused request is read and discarded, so that the caller
/// gets the refusal instead of a reset connection.
const DISCARD_TIME: Duration = Duration::from_secs(1);
/// How many bytes of the rest are discarded: more than the largest body that a caller may
/// send by mistake. Nothing of it is kept.
const DISCARD_BYTES: usize = 32 << 20;
/// The size of one read of them.
const DISCARD_PIECE: usize = 4 << 10;

type Connection = http1::Connection<TokioIo<TrackedStream>, Dispatcher>;

/// Serves a connection until it is closed.
pub(super) async fn serve(
    stream: TcpStream,
    link: Arc<Link>,
    dispatcher: Dispatcher,
    stopping: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let io = TokioIo::new(TrackedStream::new(stream, link.clone()));
    let mut connection = http1::Builder::new()
        .max_buf_size(BUFFER_BYTES)
        // `OpenConnection::check` has the time limit for headers.
        .header_read_timeout(None)
        .serve_connection(io, dispatcher);
    let ended = drive(&mut connection, &link, stopping).await;
    let refusal = match ended {
        Some(Ok(())) if link.is_unread() => Vec::new(),
        Some(Err(error)) => {
            if error.is_parse_too_large() {
                link.connection.gate().refuse(Reason::Headers);
            }
            if !link.is_malformed() {
                return;
            }
            encode_refusal(&malformed(&error))
        }
        _ => return,
    };
    let stream = connection.into_parts().io.into_inner().into_inner();
    tokio::select! {
        () = close(stream, &refusal) => {}
        () = link.connection.wait_evicted() => {}
    }
}

/// Returns the refusal of a request that hyper cannot parse.
fn malformed(error: &hyper::Error) -> Refusal {
    if error.is_parse_too_large() {
        let message = format!("the headers have over {BUFFER_BYTES} bytes or {MAX_HEADERS} lines");
        return Refusal::new(ErrorKind::TooLarge, message);
    }
    Refusal::new(
        ErrorKind::BadRequest,
        format!("not an HTTP request: {error}"),
    )
}

/// Encodes a refusal as the last response of a connection.
fn encode_refusal(refusal: &Refusal) -> Vec<u8> {
    let (status, headers, body) = refusal_parts(refusal, None);
    let reason = hyper::StatusCode::from_u16(status)
        .ok()
        .and_then(|status| status.canonical_reason());
    let mut head = format!("HTTP/1.1 {status} {}\r\n", reason.unwrap_or_default());
    for line in headers {
        head += &format!("{}: {}\r\n", line.name, line.value);
    }
    head += &format!(
        "content-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), &body].concat()
}

/// Drives a connection to its end. Returns `None` if it has to be closed before.
async fn drive(
    connection: &mut Connection,
    link: &Link,
    mut stopping: watch::Receiver<bool>,
) -> Option<hyper::Result<()>> {
    let stall = link.connection.stall();
    let mut is_stopping = false;
    loop {
        let due = match link.connection.check() {
            Check::Keep(at) => Instant::now() + Moment::now().until(at),
            Check::Close(_) => return None,
        };
        let served = poll_fn(|context| match connection.poll_without_shutdown(context) {
            Poll::Ready(ended) => Poll::Ready(Some(ended)),
            // A request has begun on an idle connection: the next check is too late.
            Poll::Pending if due > Instant::now() + stall && link.stage() != Stage::Idle => {
                Poll::Ready(None)
            }
            Poll::Pending => Poll::Pending,
        });
        tokio::select! {
            biased;
            ended = served => {
                if ended.is_some() {
                    return ended;
                }
            }
            () = link.connection.wait_evicted() => return None,
            () = wait_stopping(&mut stopping), if !is_stopping => {
                is_stopping = true;
                // While headers arrive, hyper would close the connection. The response
                // closes it then.
                if link.stage() != Stage::Receiving {
                    finish(connection);
                }
            }
            () = sleep_until(due) => {}
        }
    }
}

/// Lets a connection end with the request in progress, or at once without one.
fn finish(connection: &mut Connection) {
    Pin::new(connection).graceful_shutdown();
}

/// Sends the last bytes of a connection, then reads and discards what the caller still sends,
/// within limits.
async fn close(mut stream: TcpStream, last: &[u8]) {
    let mut buffer = vec![0; DISCARD_PIECE];
    let rest = async {
        if stream.write_all(last).await.is_err() || stream.shutdown().await.is_err() {
            return;
        }
        let mut left = DISCARD_BYTES;
        while let Ok(read) = stream.read(&mut buffer).await {
            left = left.saturating_sub(read);
            if read == 0 || left == 0 {
                return;
            }
        }
    };
    let _ = timeout(DISCARD_TIME, rest).await;
}
