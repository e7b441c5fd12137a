//! Tests of what an entry host makes of a worker's answer.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::Bytes;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::{AttemptOutcome, BootId, REQUEST_HEADER, WorkerClient, WorkerRequest, http_client};
use crate::ids::{Epoch, HostId, RequestId, ShardId};
use crate::overload::{Gate, OverloadSettings, write_event};

const ID: RequestId = RequestId {
    host: HostId(7),
    number: 12,
};

/// Accepts one connection and answers its first request with a redirect.
async fn redirect(listener: TcpListener, status: u16, location: String) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut buffer = [0; 4096];
    let _ = stream.read(&mut buffer).await.unwrap();
    let answer = format!(
        "HTTP/1.1 {status} Redirect\r\n{REQUEST_HEADER}: {ID}\r\nlocation: {location}\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(answer.as_bytes()).await.unwrap();
}

async fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

#[rstest]
#[case(303)]
#[case(307)]
#[tokio::test]
async fn a_request_that_ran_and_was_answered_with_a_redirect_is_answered(#[case] status: u16) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let location = format!("http://{}/bookings/7", unused_address().await);
    tokio::spawn(redirect(listener, status, location));
    let gate = Gate::new(&OverloadSettings::default(), write_event);
    let client = WorkerClient::new(http_client(Duration::from_secs(2)), &address, 1000);
    let request = WorkerRequest {
        id: ID,
        shard: ShardId(0),
        epoch: Epoch(1),
        boot: BootId(1),
        method: "POST".to_owned(),
        path: "fit/bookings".to_owned(),
        headers: Vec::new(),
        body: Bytes::new(),
        deadline: Duration::from_secs(5),
    };
    let outcome = client.attempt(request, &gate.charge()).await;
    let AttemptOutcome::Answer(answer) = &outcome else {
        panic!("{outcome:?}");
    };
    let location = answer.headers.iter().any(|line| line.name == "location");
    assert_eq!((answer.status, location), (status, true));
}
