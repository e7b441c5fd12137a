//! The servers of an entry daemon under callers that stop, reset, pipeline or send too
//! much, over loopback connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rocket::http::Method;
use rocket::route::{Handler, Outcome};
use rocket::{Data, Request, Route};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

use super::{RunningServer, build, direct_answer, read_body};
use crate::drain::RequestCounter;
use crate::front::refusal_answer;
use crate::kind::{ErrorKind, Refusal};
use crate::overload::{Gate, OverloadSettings};

/// The limit on the body of a request, in bytes.
const LIMIT: u64 = 1 << 20;
const GRACE: Duration = Duration::from_secs(5);
/// The budget of the servers: one body of the greatest legal size fits, two do not.
const BUDGET: u64 = 2 << 20;

/// Echoes the body; panics, waits or refuses first under some paths.
#[derive(Clone)]
struct Echo;

#[rocket::async_trait]
impl Handler for Echo {
    async fn handle<'r>(&self, request: &'r Request<'_>, _: Data<'r>) -> Outcome<'r> {
        if request.uri().path() == "/refused" {
            let refusal = Refusal::new(ErrorKind::Overloaded, "by its headers");
            return Outcome::Success(refusal_answer(&refusal, None));
        }
        let body = match read_body(request, LIMIT).await {
            Ok(body) => body,
            Err(error) => {
                let refusal = error.refusal("too large".to_owned());
                return Outcome::Success(refusal_answer(&refusal, None));
            }
        };
        match request.uri().path().as_str() {
            "/panic" => panic!("as the test wants"),
            "/slow" => sleep(Duration::from_millis(300)).await,
            _ => {}
        }
        Outcome::Success(direct_answer(request, 200, &[], body.into()))
    }
}

struct Server {
    running: RunningServer,
    address: SocketAddr,
    gate: Arc<Gate>,
    counter: RequestCounter,
}

impl Server {
    async fn start(settings: OverloadSettings) -> Self {
        let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = free.local_addr().unwrap();
        drop(free);
        let routes =
            [Method::Get, Method::Post].map(|method| Route::new(method, "/<path..>", Echo));
        let rocket = build(address, GRACE, LIMIT).mount("/", routes.to_vec());
        let gate = Gate::new(&settings, |_, _| {});
        let counter = RequestCounter::default();
        let running = RunningServer::serve(rocket, gate.clone(), counter.clone());
        Self {
            running: running.await.unwrap(),
            address,
            gate,
            counter,
        }
    }

    async fn small() -> Self {
        Self::start(OverloadSettings {
            requests: Some(BUDGET),
            stall: Duration::from_secs(1),
            ..OverloadSettings::default()
        })
        .await
    }

    async fn send(&self, text: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        stream.write_all(text.as_bytes()).await.unwrap();
        stream
    }

    /// Sends a request whose body lacks its last byte, and waits until it is held.
    async fn hold(&self, bytes: u64) -> TcpStream {
        let before = self.reading("request_bytes_held");
        let mut stream = self.send(&head("/", bytes)).await;
        stream
            .write_all(&vec![b'x'; bytes as usize - 1])
            .await
            .unwrap();
        self.wait_for("request_bytes_held", before + bytes).await;
        stream
    }

    fn reading(&self, name: &str) -> u64 {
        let readings = self.gate.read();
        readings
            .iter()
            .find(|each| each.name == name)
            .unwrap()
            .value
    }

    async fn wait_for(&self, name: &str, value: u64) {
        let reached = async {
            while self.reading(name) != value {
                sleep(Duration::from_millis(5)).await;
            }
        };
        let ended = timeout(Duration::from_secs(20), reached).await;
        assert!(
            ended.is_ok(),
            "{name} is {}, not {value}",
            self.reading(name)
        );
    }

    async fn post(&self, path: &str, body: reqwest::Body) -> reqwest::Response {
        let url = format!("http://{}{path}", self.address);
        reqwest::Client::new()
            .post(url)
            .body(body)
            .send()
            .await
            .unwrap()
    }
}

fn head(path: &str, bytes: u64) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: {bytes}\r\n\r\n")
}

/// Reads until the server closes the connection or is silent for a while.
async fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut piece = [0; 4096];
    while let Ok(Ok(read)) = timeout(Duration::from_secs(3), stream.read(&mut piece)).await {
        if read == 0 {
            break;
        }
        bytes.extend_from_slice(&piece[..read]);
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Guards against limits that a single legal request meets.
#[rstest]
#[case::whole(false)]
#[case::chunked(true)]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_of_the_greatest_legal_size_is_served(#[case] chunked: bool) {
    let server = Server::small().await;
    let bytes: Vec<u8> = (0..LIMIT).map(|place| (place % 251) as u8).collect();
    let body = match chunked {
        true => {
            let pieces: Vec<_> = bytes.chunks(700).map(<[u8]>::to_vec).collect();
            let pieces = pieces.into_iter().map(Ok::<_, std::io::Error>);
            reqwest::Body::wrap_stream(futures_util::stream::iter(pieces))
        }
        false => bytes.clone().into(),
    };
    let response = server.post("/", body).await;
    assert_eq!(response.status(), 200);
    assert_eq!(response.bytes().await.unwrap(), bytes);
    server.wait_for("request_bytes_held", 0).await;
}

/// Guards against a body over the limit that is read to its end, or served.
#[rstest]
#[case::whole(false)]
#[case::chunked(true)]
#[tokio::test(flavor = "multi_thread")]
async fn a_body_over_the_limit_is_refused_as_not_run(#[case] chunked: bool) {
    let server = Server::small().await;
    let bytes = vec![0; LIMIT as usize + 1];
    let body = match chunked {
        true => {
            let pieces = futures_util::stream::iter([Ok::<_, std::io::Error>(bytes)]);
            reqwest::Body::wrap_stream(pieces)
        }
        false => bytes.into(),
    };
    let response = server.post("/", body).await;
    assert_eq!(response.status(), 413);
    assert_eq!(response.headers()["lycheelock-run"], "no");
    server.wait_for("request_bytes_held", 0).await;
}

/// Guards against a budget that one class of requests uses up, and against a refusal
/// that does not say what it is.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_body_beyond_the_budget_is_refused_and_a_small_one_is_served() {
    let server = Server::small().await;
    let held = server.hold(LIMIT).await;
    let mut refused = server.send(&head("/", LIMIT)).await;
    let text = read_all(&mut refused).await.to_ascii_lowercase();
    assert!(text.starts_with("http/1.1 503"), "{text}");
    for part in [
        "lycheelock-error: overloaded",
        "lycheelock-run: no",
        "retry-after: 1",
        "connection: close",
        "\"retry_after_ms\":200",
    ] {
        assert!(text.contains(part), "{part} in {text}");
    }
    assert_eq!(server.post("/", "small".into()).await.status(), 200);
    assert_eq!(server.reading("connection_refused.budget"), 1);
    drop(held);
    server.wait_for("request_bytes_held", 0).await;
    assert_eq!(
        server
            .post("/", vec![0; LIMIT as usize].into())
            .await
            .status(),
        200
    );
}

/// Guards against a refusal that is lost as the connection is reset when the rest of a short
/// body arrives.
#[rstest]
#[case::whole(0)]
#[case::part(5000)]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_refused_before_its_body_arrives_does_not_reset(#[case] early: usize) {
    let server = Server::small().await;
    let body = vec![b'x'; 10_000];
    let mut stream = server.send(&head("/refused", 10_000)).await;
    stream.write_all(&body[..early]).await.unwrap();
    sleep(Duration::from_millis(200)).await;
    for piece in body[early..].chunks(1000) {
        stream.write_all(piece).await.unwrap();
        sleep(Duration::from_millis(5)).await;
    }
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    let answer = answer.to_ascii_lowercase();
    for part in ["http/1.1 503", "lycheelock-run: no", "connection: close"] {
        assert!(answer.contains(part), "{part} in {answer}");
    }
    server.wait_for("connections_open", 0).await;
}

/// Guards against bytes that a panic leaves reserved.
#[tokio::test(flavor = "multi_thread")]
async fn a_panic_is_answered_and_gives_its_bytes_back() {
    let server = Server::small().await;
    let response = server.post("/panic", vec![0; 100_000].into()).await;
    assert_eq!(response.status(), 500);
    server.wait_for("request_bytes_held", 0).await;
    assert_eq!(server.post("/", "next".into()).await.status(), 200);
}

/// Guards against a client that holds bytes by sending nothing more.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_without_progress_is_given_up() {
    let server = Server::small().await;
    let mut held = server.hold(100_000).await;
    server.wait_for("request_bytes_held", 0).await;
    assert_eq!(read_all(&mut held).await, "");
    assert_eq!(server.reading("connection_refused.stalled"), 1);
    server.wait_for("connections_open", 0).await;
}

/// Guards against a response that is held for as long as its client does not read.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_is_not_read_is_given_up() {
    let server = Server::small().await;
    let socket = TcpSocket::new_v4().unwrap();
    // The kernel's buffers must not take all of the response.
    socket.set_recv_buffer_size(8 << 10).unwrap();
    let mut unread = socket.connect(server.address).await.unwrap();
    let head = head("/", LIMIT);
    unread.write_all(head.as_bytes()).await.unwrap();
    unread.write_all(&vec![b'x'; LIMIT as usize]).await.unwrap();
    server.wait_for("request_bytes_held", LIMIT).await;
    server.wait_for("request_bytes_held", 0).await;
    assert_eq!(server.reading("connection_refused.stalled"), 1);
}

/// Guards against headers without end.
#[tokio::test(flavor = "multi_thread")]
async fn headers_over_the_buffer_close_the_connection() {
    let server = Server::small().await;
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    let line = format!("x-filler: {}\r\n", "f".repeat(1000));
    let _ = stream.write_all(b"GET / HTTP/1.1\r\n").await;
    for _ in 0..100 {
        let _ = stream.write_all(line.as_bytes()).await;
    }
    read_all(&mut stream).await;
    server.wait_for("connection_refused.headers", 1).await;
    server.wait_for("connections_open", 0).await;
}

/// Guards against answers to malformed requests that name no kind, and that a reset of the
/// connection loses.
#[rstest]
#[case::headers_too_large(
    "GET / HTTP/1.1\r\n",
    "x-filler: ffffffffffffffffffffff\r\n",
    4000,
    413
)]
#[case::too_many_headers("GET / HTTP/1.1\r\n", "x-filler: f\r\n", 101, 413)]
#[case::path_too_long("GET /", "ffffffffffffffffffffffffffffffff", 3000, 413)]
#[case::header_name("GET / HTTP/1.1\r\n", "not a name: f\r\n", 1, 400)]
#[case::method("G@T / HTTP/1.1\r\n", "host: a\r\n", 1, 400)]
#[case::version("GET / HTTP/9.1\r\n", "host: a\r\n", 1, 400)]
#[case::lengths(
    "POST / HTTP/1.1\r\ncontent-length: 1\r\n",
    "content-length: 2\r\n",
    1,
    400
)]
#[tokio::test(flavor = "multi_thread")]
async fn a_malformed_request_is_refused_with_its_kind(
    #[case] start: &str,
    #[case] line: &str,
    #[case] lines: usize,
    #[case] status: u16,
    #[values("", "GET / HTTP/1.1\r\nhost: a\r\n\r\n")] before: &str,
) {
    let server = Server::small().await;
    let mut stream = server.send(before).await;
    if !before.is_empty() {
        stream.readable().await.unwrap();
        while !server.counter.is_empty() {
            sleep(Duration::from_millis(5)).await;
        }
    }
    let request = format!("{start}{}\r\n", line.repeat(lines));
    stream.write_all(request.as_bytes()).await.unwrap();
    stream.shutdown().await.unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).await.unwrap();
    let answer = text.rfind("HTTP/1.1").map(|place| &text[place..]).unwrap();
    let (head, body) = answer.split_once("\r\n\r\n").unwrap();
    let kind = if status == 413 {
        "too_large"
    } else {
        "bad_request"
    };
    assert!(head.starts_with(&format!("HTTP/1.1 {status} ")), "{head}");
    for line in [
        &format!("lycheelock-error: {kind}"),
        "lycheelock-run: no",
        "content-type: application/json",
        "connection: close",
        &format!("content-length: {}", body.len()),
    ] {
        assert!(head.lines().any(|each| each == line), "{line} in {head}");
    }
    let body: serde_json::Value = serde_json::from_str(body).unwrap();
    assert_eq!((&body["error"], &body["run"]), (&kind.into(), &"no".into()));
    server.wait_for("connections_open", 0).await;
}

/// Guards against a malformed request that takes away the response to the one before it.
#[tokio::test(flavor = "multi_thread")]
async fn a_malformed_request_behind_another_one_is_refused_after_its_response() {
    let server = Server::small().await;
    let first = head("/slow", 4) + "body";
    let mut stream = server.send(&(first + "G@T / HTTP/1.1\r\n\r\n")).await;
    let mut text = String::new();
    stream.read_to_string(&mut text).await.unwrap();
    let (response, refusal) = text.split_once("bodyHTTP/1.1 400 ").unwrap();
    assert!(response.starts_with("HTTP/1.1 200 "), "{text}");
    assert!(refusal.contains("lycheelock-error: bad_request"), "{text}");
}

/// Guards against idle connections that keep out an ordinary caller.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_over_the_limit_replaces_an_idle_one() {
    let settings = OverloadSettings {
        connections: Some(8),
        ..OverloadSettings::default()
    };
    let server = Server::start(settings).await;
    let mut idle = Vec::new();
    for _ in 0..20 {
        idle.push(server.send("").await);
    }
    server.wait_for("connections_open", 8).await;
    assert_eq!(server.post("/", "ordinary".into()).await.status(), 200);
    assert_eq!(server.reading("connection_refused.connections"), 13);
}

/// Guards against responses out of order or left out.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_requests_are_answered_in_order() {
    let server = Server::small().await;
    let one = |body: &str| head("/", body.len() as u64) + body;
    let mut stream = server
        .send(&[one("first"), one("second"), one("third")].concat())
        .await;
    let text = read_all(&mut stream).await;
    let places = ["first", "second", "third"].map(|body| text.find(body));
    assert!(places.is_sorted() && places[0].is_some(), "{text}");
    server.wait_for("request_bytes_held", 0).await;
    assert!(server.counter.is_empty());
}

/// Guards against a planned stop that cuts off a request which is being received or
/// handled, or that waits for an idle connection.
#[rstest]
#[case::headers("POST / HTTP/1.1\r\nhost: a\r\ncontent-", "length: 4\r\n\r\nbody")]
#[case::body("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbo", "dy")]
#[case::handler("POST /slow HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody", "")]
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_finishes_what_has_begun(#[case] begun: &str, #[case] rest: &str) {
    let server = Server::start(OverloadSettings::default()).await;
    let mut idle = server.send("GET / HTTP/1.1\r\nhost: a\r\n\r\n").await;
    // The first request must not be taken for the second one.
    idle.readable().await.unwrap();
    while !server.counter.is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    let mut stream = server.send(begun).await;
    while server.counter.len() != 1 || server.reading("connections_open") != 2 {
        sleep(Duration::from_millis(5)).await;
    }
    server.running.close();
    sleep(Duration::from_millis(100)).await;
    assert_eq!(server.counter.len(), 1);
    stream.write_all(rest.as_bytes()).await.unwrap();
    let text = read_all(&mut stream).await;
    assert!(
        text.starts_with("HTTP/1.1 200") && text.ends_with("body"),
        "{text}"
    );
    assert!(read_all(&mut idle).await.starts_with("HTTP/1.1 200"));
    timeout(GRACE, server.running.stop()).await.unwrap();
    assert!(server.counter.is_empty());
    assert!(TcpStream::connect(server.address).await.is_err());
}

/// Guards against characters that hyper accepts in a path and Rocket does not.
#[tokio::test(flavor = "multi_thread")]
async fn a_path_with_unusual_characters_reaches_its_handler() {
    let server = Server::small().await;
    let mut stream = server
        .send("GET /a[1]|\"x\"?q={y} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
        .await;
    let text = read_all(&mut stream).await;
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
}
