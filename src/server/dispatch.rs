//! Passes complete requests to Rocket and turns its responses into hyper's.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_LENGTH};
use hyper::service::Service;
use hyper::{Request, Response, Uri};
use rocket::http::uri::Origin;
use rocket::http::{Header, Method};
use rocket::local::asynchronous::{Client, LocalResponse};
use tokio::io::AsyncReadExt;
use tokio::sync::{oneshot, watch};

use super::exchange::{Exchange, ResponseBody};
use super::link::Link;
use crate::front::{RUN_HEADER, refusal_parts};
use crate::kind::{ErrorKind, Refusal};
use crate::overload::Charge;
use crate::workers::HeaderLine;

/// The size up to which a response is not charged, in bytes. The allowance for each
/// connection covers it, so a refusal can always be sent.
const FREE_BYTES: usize = 4 << 10;
/// The size up to which hyper may read the rest of a body that no handler asked for, so
/// that the connection can be used again.
const SKIPPED_BYTES: u64 = 16 << 10;

type HttpResponse = Response<ResponseBody>;

/// Serves the requests of one connection.
#[derive(Clone)]
pub(super) struct Dispatcher {
    pub client: Arc<Client>,
    pub link: Arc<Link>,
    pub remote: SocketAddr,
    pub stopping: watch::Receiver<bool>,
}

impl Service<Request<Incoming>> for Dispatcher {
    type Response = HttpResponse;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<HttpResponse, Infallible>> + Send>>;

    /// Runs the handler in a task of its own, so that it ends even if the caller
    /// disconnects.
    fn call(&self, request: Request<Incoming>) -> Self::Future {
        self.link.on_request();
        let (answer, answered) = oneshot::channel();
        let dispatcher = self.clone();
        tokio::spawn(async move {
            let _ = answer.send(dispatcher.dispatch(request).await);
        });
        let link = self.link.clone();
        Box::pin(async move {
            Ok(answered.await.unwrap_or_else(|_| {
                link.set_unread(true);
                let refusal = Refusal::new(ErrorKind::Internal, "the handler failed");
                let charge = Arc::new(link.connection.charge());
                build(refusal_parts(&refusal, None), charge, &link)
            }))
        })
    }
}

impl Dispatcher {
    async fn dispatch(&self, request: Request<Incoming>) -> HttpResponse {
        let (head, incoming) = request.into_parts();
        let exchange = Exchange::new(self.link.clone(), incoming);
        let parts = match head.method.as_str().parse() {
            Ok(method) => self.run(method, &head, &exchange).await,
            Err(_) => {
                let message = format!("method {} is not supported", head.method);
                refusal_parts(&Refusal::new(ErrorKind::BadRequest, message), None)
            }
        };
        let unread = exchange.take_unread();
        self.link.set_unread(unread.is_some());
        if unread.is_some_and(|body| is_long(&body)) {
            self.link.set_discards();
        }
        let mut response = build(parts, exchange.charge().clone(), &self.link);
        if self.link.discards() || *self.stopping.borrow() {
            let close = hyper::header::HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    async fn run(
        &self,
        method: Method,
        head: &hyper::http::request::Parts,
        exchange: &Exchange,
    ) -> AnswerParts {
        let mut request = self
            .client
            .req(method, origin(&head.uri))
            .remote(self.remote);
        for (name, value) in &head.headers {
            // Rocket supports UTF-8 values only.
            if let Ok(value) = str::from_utf8(value.as_bytes()) {
                request.add_header(Header::new(name.as_str().to_owned(), value.to_owned()));
            }
        }
        request.inner().local_cache(|| Some(exchange.clone()));
        let mut response = request.dispatch().await;
        let (status, headers) = read_head(&response);
        let charge = exchange.charge();
        let body = match exchange.take_answer() {
            Some(body) if body.len() <= FREE_BYTES => Some(body),
            Some(body) => charge.fit(body.len() as u64).await.then_some(body),
            None => read_answer(&mut response, charge).await,
        };
        match body {
            Some(body) => (status, headers, body),
            None => unaffordable(status, headers),
        }
    }
}

/// The status, headers and body of a response.
type AnswerParts = (u16, Vec<HeaderLine>, Vec<u8>);

fn is_long(body: &Incoming) -> bool {
    use hyper::body::Body;
    body.size_hint()
        .upper()
        .is_none_or(|bytes| bytes > SKIPPED_BYTES)
}

/// Returns the path and query of a request. hyper accepts a few characters that Rocket
/// does not; they are percent-encoded then.
fn origin(uri: &Uri) -> Origin<'static> {
    let text = uri.path_and_query().map_or("/", |path| path.as_str());
    Origin::parse_owned(text.to_owned())
        .or_else(|_| Origin::parse_owned(encode(text)))
        .unwrap_or_else(|_| Origin::path_only(text.to_owned()))
}

fn encode(text: &str) -> String {
    let accepted =
        |byte: u8| byte.is_ascii_alphanumeric() || b"/?%-._~!$&'()*+,;=:@".contains(&byte);
    let parts = text.bytes().map(|byte| match accepted(byte) {
        true => char::from(byte).to_string(),
        false => format!("%{byte:02X}"),
    });
    parts.collect()
}

fn read_head(response: &LocalResponse<'_>) -> (u16, Vec<HeaderLine>) {
    let headers = response.headers().iter().map(|header| HeaderLine {
        name: header.name().as_str().to_owned(),
        value: header.value().to_owned(),
    });
    (response.status().code, headers.collect())
}

/// Reads a response body that passed through Rocket. Returns `None` if the budget does
/// not allow it.
async fn read_answer(response: &mut LocalResponse<'_>, charge: &Charge) -> Option<Vec<u8>> {
    let size = response.body().preset_size().unwrap_or_default();
    if size > FREE_BYTES && !charge.fit(size as u64).await {
        return None;
    }
    let mut body = Vec::with_capacity(size);
    loop {
        let capacity = body.capacity();
        if body.len() == capacity {
            let doubled = (capacity * 2).max(FREE_BYTES);
            if doubled > FREE_BYTES && size == 0 && !charge.fit(doubled as u64).await {
                return None;
            }
            body.reserve_exact(doubled - body.len());
        }
        // A body that fails is cut short, as it would be on the connection.
        if !matches!(response.read_buf(&mut body).await, Ok(read) if read > 0) {
            return Some(body);
        }
        if size > 0 && body.len() >= size {
            return Some(body);
        }
    }
}

/// Refuses in place of a response that the budget does not allow. What the response
/// says of the run stays.
fn unaffordable(status: u16, headers: Vec<HeaderLine>) -> AnswerParts {
    if headers
        .iter()
        .any(|line| line.name.eq_ignore_ascii_case(RUN_HEADER))
    {
        return (status, headers, Vec::new());
    }
    let message = "the request ran; the requests in progress leave no memory for its response";
    refusal_parts(&Refusal::new(ErrorKind::AnswerTooLarge, message), None)
}

fn build(parts: AnswerParts, charge: Arc<Charge>, link: &Arc<Link>) -> HttpResponse {
    let (status, headers, body) = parts;
    if body.len() <= FREE_BYTES {
        charge.shrink(0);
    }
    link.on_response(charge);
    let mut builder = Response::builder().status(status);
    for line in &headers {
        if !line.name.eq_ignore_ascii_case(CONTENT_LENGTH.as_str()) {
            builder = builder.header(&line.name, &line.value);
        }
    }
    let built = builder.body(ResponseBody::new(body, link.clone()));
    built.unwrap_or_else(|_| {
        let mut response = Response::new(ResponseBody::new(Vec::new(), link.clone()));
        *response.status_mut() = hyper::StatusCode::INTERNAL_SERVER_ERROR;
        response
    })
}
