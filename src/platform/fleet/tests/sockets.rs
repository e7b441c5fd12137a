//! Tests of orders on real sockets whose server closes them, does not accept or drops packets.

use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::super::worker::{WorkerApi, WorkerFault};
use crate::fleet::StartOrder;

const TIMEOUT: Duration = Duration::from_millis(250);
/// Time in which copies of an order would arrive. The kernel repeats an opening packet after
/// 1 s and 3 s.
const COPIES_WINDOW: Duration = Duration::from_millis(4_500);
/// Orders of one test, and how many of them a connection answers before it is closed.
const ORDERS: u64 = 200;
const ANSWERED: usize = 2;
const BACKLOG: u32 = 4;
const MAX_FILLERS: usize = 64;

fn start_order(run: u64) -> StartOrder {
    StartOrder {
        task: "0000000000000001.0.0.0".parse().expect("a task's name"),
        run,
        payload: String::new(),
        lease_end: 5_000,
        fence: 1,
        incarnation: 1,
        checkpoint: String::new(),
    }
}

fn worker(address: SocketAddr) -> WorkerApi {
    WorkerApi::new(WorkerApi::pool(TIMEOUT), "w1", address, TIMEOUT)
}

fn listen() -> TcpListener {
    let socket = TcpSocket::new_v4().expect("a socket");
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    socket.bind(any).expect("a free port");
    socket.listen(BACKLOG).expect("the port is free")
}

/// Reads the runs that the start orders on a connection name, until the connection ends.
/// Answers the first `answered` of them, and closes the connection after the next one.
async fn serve(mut stream: TcpStream, answered: usize) -> Vec<u64> {
    let mut read = Vec::new();
    let mut runs = Vec::new();
    let mut buffer = [0; 4096];
    while let Ok(count) = stream.read(&mut buffer).await {
        if count == 0 {
            break;
        }
        read.extend_from_slice(&buffer[..count]);
        let text = String::from_utf8_lossy(&read).into_owned();
        let Some((_, after)) = text.split_once("\"run\":") else {
            continue;
        };
        if !text.ends_with('}') {
            continue;
        }
        let digits: String = after.chars().take_while(char::is_ascii_digit).collect();
        runs.push(digits.parse().expect("the number of a run"));
        read.clear();
        if runs.len() > answered {
            break;
        }
        let body = "{\"clock_ms\":1000}";
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(answer.as_bytes()).await.is_err() {
            break;
        }
    }
    runs
}

/// Accepts connections for a time, and returns the runs that their orders name.
async fn accepted_runs(listener: &TcpListener, window: Duration) -> Vec<u64> {
    let until = Instant::now() + window;
    let mut connections = JoinSet::new();
    while let Ok(Ok((stream, _))) = timeout_at(until, listener.accept()).await {
        connections.spawn(serve(stream, usize::MAX));
    }
    let mut runs = Vec::new();
    while let Ok(Some(ended)) = timeout(TIMEOUT, connections.join_next()).await {
        runs.extend(ended.expect("the connection is served"));
    }
    runs
}

/// The library must not repeat an order by itself: the next incarnation may read the copy.
#[rstest]
#[case::on_a_new_connection(0)]
#[case::on_a_pooled_connection(1)]
#[tokio::test]
async fn a_start_is_repeated_after_its_connection_was_closed(#[case] answered: usize) {
    let listener = listen();
    let api = worker(listener.local_addr().expect("an address"));
    let calls = tokio::spawn(async move {
        let mut results = Vec::new();
        for run in 1..=answered as u64 + 1 {
            results.push(api.start(&start_order(run)).await);
        }
        results
    });
    let (first, _) = listener.accept().await.expect("a connection");
    let runs = serve(first, answered).await;
    let expected: Vec<u64> = (1..=answered as u64 + 1).collect();
    assert_eq!(runs, expected);
    assert_eq!(accepted_runs(&listener, COPIES_WINDOW).await, [0; 0]);
    let results = calls.await.expect("the calls end");
    let (last, earlier) = results.split_last().expect("a call");
    assert!(earlier.iter().all(Result::is_ok), "{earlier:?}");
    assert!(matches!(last, Err(WorkerFault::Unanswered(_))), "{last:?}");
}

/// A server closes connections while orders are sent on them; each may arrive once.
#[tokio::test]
async fn a_start_arrives_twice_when_its_connection_is_closed_meanwhile() {
    let listener = listen();
    let api = worker(listener.local_addr().expect("an address"));
    let server = tokio::spawn(async move {
        let mut connections = JoinSet::new();
        let until = Instant::now() + COPIES_WINDOW;
        while let Ok(Ok((stream, _))) = timeout_at(until, listener.accept()).await {
            connections.spawn(serve(stream, ANSWERED));
        }
        connections.join_all().await.concat()
    });
    let mut unanswered = 0;
    for run in 1..=ORDERS {
        let result = api.start(&start_order(run)).await;
        unanswered += usize::from(result.is_err());
        sleep(Duration::from_millis(run % 4)).await;
    }
    drop(api);
    let mut arrived = server.await.expect("the server ends");
    arrived.sort_unstable();
    let total = arrived.len();
    arrived.dedup();
    assert_eq!(total, arrived.len(), "orders arrived twice: {arrived:?}");
    assert!(unanswered > 0, "no connection was closed below an order");
}

/// The kernel answers for a process that does not accept, and the next one reads the request.
#[tokio::test]
async fn a_start_that_the_backlog_holds_counts_as_undelivered() {
    let listener = listen();
    let api = worker(listener.local_addr().expect("an address"));
    let result = api.start(&start_order(1)).await;
    let fault = result.expect_err("nobody answers");
    assert!(fault.may_have_arrived(), "{fault}");
    assert_eq!(accepted_runs(&listener, TIMEOUT).await, [1]);
}

/// Fills the backlog of a listener, so that the kernel drops further opening packets.
async fn fill(address: SocketAddr) -> Vec<TcpStream> {
    let mut fillers = Vec::new();
    while fillers.len() < MAX_FILLERS
        && let Ok(Ok(filler)) = timeout(TIMEOUT, TcpStream::connect(address)).await
    {
        fillers.push(filler);
    }
    fillers
}

/// The kernel must not repeat the opening packet of a connection that was given up.
#[tokio::test]
async fn a_start_arrives_with_a_repeated_opening_packet_after_it_was_given_up() {
    let listener = listen();
    let address = listener.local_addr().expect("an address");
    let fillers = fill(address).await;
    let result = worker(address).start(&start_order(1)).await;
    assert!(result.is_err(), "{result:?}");
    drop(fillers);
    assert_eq!(accepted_runs(&listener, COPIES_WINDOW).await, [0; 0]);
}
