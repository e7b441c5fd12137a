//! Entry hosts whose connection to another one is slow.

use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use lycheelock::ids::HostId;
use lycheelock::peers::{Frame, PeerCall, ServeCall, proof};
use lycheelock::standins::worker::WorkerFaults;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::sleep;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::{WebSocketStream, client_async};

use super::crowd::READ_TIME;
use super::{BODY_BYTES, Daemon, LARGE_GROWTH, SocketAddr, processes, withstand_while};

/// The calls whose answers a peer does not read.
const UNREAD_CALLS: u64 = 60;
/// The time that workers take, so that the daemon has read all calls before it sends an answer.
const WORKER_DELAY: Duration = Duration::from_millis(500);
/// The time for which a connection that moves nothing is kept: the length of the test. One
/// that is only slow is kept for as long as its peer sends.
const SILENCE: &str = "30s";
/// The key of these deployments.
const KEY: &str = "secret";

type Peer = WebSocketStream<TcpStream>;

fn encode(frame: &Frame) -> Message {
    let mut bytes = Vec::new();
    ciborium::into_writer(frame, &mut bytes).expect("frames serialize to CBOR");
    Message::Binary(bytes.into())
}

async fn receive(peer: &mut Peer) -> Frame {
    loop {
        let message = peer.next().await.expect("a frame").expect("a frame");
        if let Message::Binary(bytes) = message {
            return ciborium::from_reader(bytes.as_ref()).expect("a valid frame");
        }
    }
}

/// Connects as an entry host that has the key.
async fn connect(address: SocketAddr) -> Peer {
    let socket = TcpSocket::new_v4().expect("a socket");
    // The kernel's buffers must not take the answers.
    socket
        .set_recv_buffer_size(8 << 10)
        .expect("a small buffer");
    let stream = socket.connect(address).await.expect("a connection");
    let url = format!("ws://{address}/peers");
    let (mut peer, _) = client_async(url, stream).await.expect("an upgrade");
    let (host, own) = (HostId(1), 7);
    let hello = Frame::Hello {
        host,
        zone: processes::ZONE.to_owned(),
        nonce: own,
    };
    peer.send(encode(&hello)).await.expect("the hello is sent");
    let Frame::Hello { nonce, .. } = receive(&mut peer).await else {
        panic!("no hello");
    };
    let mac = proof(KEY, host, own, nonce);
    let sent = peer.send(encode(&Frame::Proof { mac })).await;
    sent.expect("the proof is sent");
    assert!(matches!(receive(&mut peer).await, Frame::Proof { .. }));
    peer
}

/// Forwards requests with large answers, and does not read the answers.
async fn forward(address: SocketAddr) -> Peer {
    let mut peer = connect(address).await;
    for id in 0..UNREAD_CALLS {
        let call = ServeCall {
            service: "shortlist".to_owned(),
            method: "GET".to_owned(),
            path: format!("/bytes/{BODY_BYTES}"),
            headers: Vec::new(),
            body: Vec::new().into(),
            deadline_ms: 20_000,
            once: false,
            forwarded: true,
            key: None,
        };
        let call = Box::new(PeerCall::Serve(call));
        let sent = peer.send(encode(&Frame::Call { id, call })).await;
        sent.expect("the call is sent");
    }
    sleep(WORKER_DELAY + READ_TIME).await;
    peer
}

/// Guards against answers that wait for a slow connection to a peer without being counted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_that_a_peer_does_not_read() {
    let size = processes::DeploymentSize {
        entries: 1,
        workers: 2,
    };
    let sections = format!("[limits]\nbody = {BODY_BYTES}\n\n[timing]\nsilence = {SILENCE}\n");
    let own = processes::Deployment::start_with("overload", size, &sections).await;
    for worker in 0..size.workers {
        let slow = WorkerFaults {
            delay_ms: WORKER_DELAY.as_millis() as u64,
            ..WorkerFaults::default()
        };
        own.set_worker_faults(worker, slow).await;
    }
    let crowd = forward(own.peers[0]);
    let mut daemon = Daemon::Own(Box::new(own));
    withstand_while(&mut daemon, crowd, 1, LARGE_GROWTH).await;
}
