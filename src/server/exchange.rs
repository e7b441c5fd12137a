//! One request and its response, as they pass between the connection and a handler.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use rocket::Request;
use rocket::data::{Data, FromData, Outcome};
use serde::de::DeserializeOwned;
use thiserror::Error;

use super::buffer::BodyBuffer;
use super::link::Link;
use crate::kind::{ErrorKind, Refusal};
use crate::overload::{Charge, Reason};

/// The first reservation for a body whose length is not given, in bytes.
const FIRST_BYTES: u64 = 8 << 10;
/// The size up to which the reservation doubles, in bytes.
const DOUBLED_BYTES: u64 = 128 << 10;
/// The steps of the reservation after that, in bytes.
const STEP_BYTES: u64 = 64 << 10;
/// Why the body of a request was not read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BodyError {
    /// The body has more bytes than the handler allows.
    #[error("data limit exceeded")]
    TooLarge,
    /// The budget for requests in progress does not allow the body.
    #[error("the requests in progress leave no memory for the body; try again")]
    NoBudget,
    /// The body ended early.
    #[error("{0}")]
    EndedEarly(String),
}

impl BodyError {
    /// Returns the refusal; `too_large` is its message for a body over the limit.
    pub(crate) fn refusal(self, too_large: String) -> Refusal {
        match self {
            Self::TooLarge => Refusal::new(ErrorKind::TooLarge, too_large),
            Self::NoBudget => Refusal::new(ErrorKind::Overloaded, self.to_string()),
            Self::EndedEarly(error) => Refusal::new(ErrorKind::BadRequest, error),
        }
    }
}

/// A part of a body, or why there are no more.
type Received = Result<Frame<Bytes>, hyper::Error>;

/// The part of a request and its response that does not pass through Rocket. Bodies are
/// read when the handler asks for them, so a request that is refused by its headers
/// holds nothing.
#[derive(Debug, Clone)]
pub(super) struct Exchange(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    link: Arc<Link>,
    charge: Arc<Charge>,
    incoming: Mutex<Option<Incoming>>,
    answer: Mutex<Option<Vec<u8>>>,
}

impl Exchange {
    pub fn new(link: Arc<Link>, incoming: Incoming) -> Self {
        let charge = Arc::new(link.connection.charge());
        Self(Arc::new(Inner {
            link,
            charge,
            incoming: Mutex::new(Some(incoming)),
            answer: Mutex::default(),
        }))
    }

    /// Returns the exchange of a request.
    fn of<'r>(request: &'r Request<'_>) -> Option<&'r Self> {
        request.local_cache(|| None::<Self>).as_ref()
    }

    pub fn charge(&self) -> &Arc<Charge> {
        &self.0.charge
    }

    /// Takes the response body that the handler left, if it left one.
    pub fn take_answer(&self) -> Option<Vec<u8>> {
        self.0.answer.lock().expect("no holder panics").take()
    }

    /// Takes what the handler did not ask for.
    pub fn take_unread(&self) -> Option<Incoming> {
        let mut incoming = self.0.incoming.lock().expect("no holder panics");
        incoming.take().filter(|body| !body.is_end_stream())
    }

    async fn read_body(&self, limit: u64) -> Result<Bytes, BodyError> {
        let Some(mut incoming) = self.take_unread() else {
            return Ok(Bytes::new());
        };
        let read = self.fill(&mut incoming, limit).await;
        if read.is_err() {
            self.0.charge.shrink(0);
            self.0.link.set_discards();
        }
        self.0.link.on_request();
        read
    }

    async fn fill(&self, incoming: &mut Incoming, limit: u64) -> Result<Bytes, BodyError> {
        let mut body = BodyBuffer::new();
        let mut reserved = 0;
        if let Some(length) = incoming.size_hint().exact() {
            if length > limit {
                return Err(BodyError::TooLarge);
            }
            self.charge_body(length).await?;
            make_room(&mut body, length, length)?;
            reserved = length;
        }
        self.0.link.on_body();
        while let Some(frame) = self.next_frame(incoming).await? {
            let frame = frame.map_err(|error| BodyError::EndedEarly(error.to_string()))?;
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            let length = (body.len() + bytes.len()) as u64;
            if length > limit {
                return Err(BodyError::TooLarge);
            }
            if length > reserved {
                let next = match reserved {
                    0..DOUBLED_BYTES => (reserved * 2).max(FIRST_BYTES),
                    _ => reserved + STEP_BYTES,
                };
                let next = next.max(length).min(limit);
                self.charge_body(next - reserved).await?;
                make_room(&mut body, next, limit)?;
                reserved = next;
            }
            body.push(&bytes);
        }
        Ok(body.into_bytes())
    }

    /// Waits for the next part of the body, unless another request gets its bytes.
    async fn next_frame(&self, incoming: &mut Incoming) -> Result<Option<Received>, BodyError> {
        tokio::select! {
            biased;
            frame = incoming.frame() => Ok(frame),
            () = self.0.link.connection.wait_displaced() => {
                self.0.link.connection.gate().refuse(Reason::Stalled);
                Err(BodyError::NoBudget)
            }
        }
    }

    /// Reserves bytes of the budget before they are received.
    async fn charge_body(&self, more: u64) -> Result<(), BodyError> {
        if !self.0.charge.reserve(more).await {
            return Err(BodyError::NoBudget);
        }
        self.0.link.connection.set_held(self.0.charge.bytes());
        Ok(())
    }
}

/// Makes room for `size` bytes of a body. A system that provides none is out of memory.
fn make_room(body: &mut BodyBuffer, size: u64, limit: u64) -> Result<(), BodyError> {
    let made = body.reserve(size as usize, limit as usize);
    made.map_err(|_| BodyError::NoBudget)
}

/// Reads the body of a request, of at most `limit` bytes.
///
/// # Errors
///
/// Fails if the body is too large, ended early, or does not fit into the budget.
pub(crate) async fn read_body(request: &Request<'_>, limit: u64) -> Result<Bytes, BodyError> {
    match Exchange::of(request) {
        Some(exchange) => exchange.read_body(limit).await,
        None => Ok(Bytes::new()),
    }
}

/// Returns the bytes that a request and its response hold.
pub(crate) fn charge(request: &Request<'_>) -> Option<Arc<Charge>> {
    Exchange::of(request).map(|exchange| exchange.charge().clone())
}

/// Hands over the body of the response, without a copy. The handler answers with an
/// empty body.
pub(super) fn hand_over(request: &Request<'_>, body: Vec<u8>) -> Result<(), Vec<u8>> {
    let Some(exchange) = Exchange::of(request) else {
        return Err(body);
    };
    *exchange.0.answer.lock().expect("no holder panics") = Some(body);
    Ok(())
}

/// The body of a request, for routes with a data guard. Its limit is Rocket's limit for
/// JSON.
#[derive(Debug)]
pub(crate) struct RequestBody(Result<Bytes, BodyError>);

impl RequestBody {
    /// Parses the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Refusal> {
        let bad = |error: String| Refusal::new(ErrorKind::BadRequest, format!("body: {error}"));
        match &self.0 {
            Ok(body) => serde_json::from_slice(body).map_err(|error| bad(error.to_string())),
            Err(BodyError::NoBudget) => Err(BodyError::NoBudget.refusal(String::new())),
            Err(error) => Err(bad(error.to_string())),
        }
    }
}

#[rocket::async_trait]
impl<'r> FromData<'r> for RequestBody {
    type Error = ();

    async fn from_data(request: &'r Request<'_>, _: Data<'r>) -> Outcome<'r, Self> {
        let limit = request.limits().get("json").unwrap_or_default();
        Outcome::Success(Self(read_body(request, limit.as_u64()).await))
    }
}

/// The body of a response on its way to the connection.
#[derive(Debug)]
pub(super) struct ResponseBody {
    bytes: Option<Bytes>,
    link: Arc<Link>,
}

impl ResponseBody {
    pub fn new(bytes: Vec<u8>, link: Arc<Link>) -> Self {
        let bytes = (!bytes.is_empty()).then(|| bytes.into());
        Self { bytes, link }
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        self.link.on_taken();
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let frame = self.bytes.take().map(Frame::data);
        Poll::Ready(frame.map(Ok))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.as_ref().map_or(0, Bytes::len) as u64)
    }
}
