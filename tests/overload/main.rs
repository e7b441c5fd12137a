//! Tests of entry daemons under callers that send without limits, each daemon in a
//! process of its own. The crowds are small, and the checks don't depend on the speed
//! of the machine: the daemon stays alive, its resident memory and its open
//! descriptors stay under a bound, and an ordinary request is answered afterwards.
//!
//! Crowds and bounds are fixed; see the commit that added them.

mod crowd;
#[allow(dead_code, reason = "the fleet tests use the rest of it")]
#[path = "../common/fleet/faults.rs"]
mod faults;
#[allow(dead_code, reason = "the fleet tests use the rest of it")]
#[path = "../common/fleet/deployment.rs"]
mod fleet;
mod jobs;
mod peers;
#[path = "../common/ports.rs"]
mod ports;
#[allow(dead_code, reason = "the process tests use the rest of it")]
#[path = "../common/processes.rs"]
mod processes;
#[allow(dead_code, reason = "the fleet tests use the rest of it")]
#[path = "../common/relay.rs"]
mod relay;
#[allow(dead_code, reason = "the fleet tests use the rest of it")]
#[path = "../common/fleet/store.rs"]
mod store;
mod usage;
#[allow(dead_code, reason = "the fleet tests use the rest of it")]
#[path = "../common/fleet/workers.rs"]
mod workers;
#[allow(dead_code, reason = "the fleet tests use the rest of it")]
#[path = "../common/fleet/writes.rs"]
mod writes;

use std::net::SocketAddr;

use crowd::{Client, Crowd, Framing, Script};
use rstest::rstest;
use serde_json::json;
use usage::Usage;

/// The limit on the body of a request in these deployments, in bytes.
const BODY_BYTES: u64 = 4 << 20;
/// The number of clients that send bodies or do not read responses.
const BODY_CLIENTS: usize = 40;
/// The number of clients whose requests need little memory each.
const SMALL_CLIENTS: usize = 60;
/// The number of connections of peers without the key.
const PEER_CLIENTS: usize = 16;
/// The size of the frame that such a peer announces, in bytes.
const FRAME_BYTES: u64 = 16 << 20;
/// The bytes of headers that a client sends without ending them.
const HEADER_BYTES: usize = 380 << 10;
/// The requests that a client sends without reading a response.
const PIPELINED: usize = 2000;

/// Bound on the growth of resident memory under bodies, responses and frames, in MiB.
const LARGE_GROWTH: u64 = 72;
/// Bound on the growth of resident memory under the other crowds, in MiB.
const SMALL_GROWTH: u64 = 12;
/// Bound on the descriptors that remain open beside one for each client.
const MORE_DESCRIPTORS: u64 = 128;

/// A daemon of one of the two protocols.
enum Daemon {
    Fleet(Box<fleet::Deployment>),
    Own(Box<processes::Deployment>),
}

impl Daemon {
    async fn start_fleet() -> Self {
        let parts = fleet::Parts {
            body: BODY_BYTES,
            ..fleet::Parts::default()
        };
        let deployment = fleet::Deployment::start_parts("overload", &parts).await;
        Self::Fleet(Box::new(deployment))
    }

    async fn start_own() -> Self {
        let size = processes::DeploymentSize {
            entries: 1,
            workers: 2,
        };
        let limits = format!("[limits]\nbody = {BODY_BYTES}\n");
        let deployment = processes::Deployment::start_with("overload", size, &limits).await;
        Self::Own(Box::new(deployment))
    }

    fn front(&self) -> SocketAddr {
        match self {
            Self::Fleet(deployment) => deployment.front_addresses[0],
            Self::Own(deployment) => deployment.entries[0],
        }
    }

    fn process(&self) -> u32 {
        match self {
            Self::Fleet(deployment) => deployment.entries[0].id(),
            Self::Own(deployment) => deployment.entry_processes[0].id(),
        }
    }

    fn is_running(&mut self) -> bool {
        match self {
            Self::Fleet(deployment) => deployment.entries[0].is_running(),
            Self::Own(deployment) => deployment.entry_processes[0].is_running(),
        }
    }

    /// The head of a request with a body, up to the headers that frame it.
    fn head(&self) -> String {
        match self {
            Self::Fleet(_) => "POST /q/00000000000000aa HTTP/1.1\r\nhost: jobs.example\r\n".into(),
            Self::Own(_) => own_head("POST /svc/shortlist/echo"),
        }
    }

    /// A complete request without a body whose response is as large as possible.
    fn large_read(&self) -> String {
        match self {
            Self::Fleet(_) => "GET /q/ HTTP/1.1\r\nhost: jobs.example\r\n\r\n".into(),
            Self::Own(_) => {
                let line = format!("GET /svc/shortlist/bytes/{BODY_BYTES}");
                own_head(&line) + "\r\n"
            }
        }
    }

    /// A complete request without a body and with a small response.
    fn small_read(&self) -> String {
        match self {
            Self::Fleet(_) => self.large_read(),
            Self::Own(_) => "GET /v1/ready HTTP/1.1\r\nhost: a\r\n\r\n".into(),
        }
    }

    async fn is_answered(&self) -> bool {
        match self {
            Self::Fleet(deployment) => {
                let steps = json!([{"count": 1, "cpu": 100, "mem_mb": 10, "est_ms": 300}]);
                deployment
                    .submit(0, "00000000000000ff", "once", steps)
                    .await
                    == 200
            }
            Self::Own(deployment) => {
                let result = deployment.call(0, "/echo", "ordinary", None).await;
                result.status == 200
            }
        }
    }
}

fn own_head(line: &str) -> String {
    let team = processes::TEAM;
    format!(
        "{line} HTTP/1.1\r\nhost: a\r\nlycheelock-team: {team}\r\nlycheelock-deadline-ms: 20000\r\n"
    )
}

/// Lets a crowd send all that it can, then checks the daemon while the crowd stays
/// connected and after it has left.
async fn withstand(daemon: &mut Daemon, client: Client, count: usize, growth: u64) {
    withstand_while(daemon, Crowd::send(client, count), count, growth).await;
}

/// Does the same with a crowd of `count` clients that does not consist of one client's
/// copies.
async fn withstand_while<T>(
    daemon: &mut Daemon,
    sending: impl Future<Output = T>,
    count: usize,
    growth: u64,
) {
    let process = daemon.process();
    let before = Usage::read(process);
    let crowd = sending.await;
    let during = Usage::read(process);
    let more = during.peak.saturating_sub(before.resident) >> 20;
    eprintln!(
        "resident before {} MiB, peak {} MiB, growth {more} MiB, descriptors {} and {}",
        before.resident >> 20,
        during.peak >> 20,
        before.descriptors,
        during.descriptors
    );
    assert!(daemon.is_running());
    assert!(daemon.is_answered().await, "during the overload");
    assert!(more < growth, "grew by {more} MiB, bound {growth} MiB");
    let descriptors = before.descriptors + count as u64 + MORE_DESCRIPTORS;
    assert!(during.descriptors < descriptors, "{during:?}");
    drop(crowd);
    assert!(daemon.is_answered().await, "after the overload");
    assert!(daemon.is_running());
}

async fn start(own: bool) -> Daemon {
    match own {
        true => Daemon::start_own().await,
        false => Daemon::start_fleet().await,
    }
}

/// Guards against bodies that are held for as long as their client stays connected,
/// without a limit on their sum.
#[rstest]
#[case::whole(Framing::Whole)]
#[case::pieces(Framing::Pieces(64 << 10))]
#[case::large_chunks(Framing::Chunks(64 << 10))]
#[case::small_chunks(Framing::Chunks(200))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_stop_one_byte_short(
    #[case] framing: Framing,
    #[values(false, true)] own: bool,
) {
    let mut daemon = start(own).await;
    let script = Script::Body {
        head: daemon.head(),
        bytes: BODY_BYTES as usize,
        framing,
    };
    let client = Client::new(daemon.front(), script);
    withstand(&mut daemon, client, BODY_CLIENTS, LARGE_GROWTH).await;
}

/// Guards against read buffers that grow with headers.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn headers_that_never_end(#[values(false, true)] own: bool) {
    let mut daemon = start(own).await;
    let line = format!("x-filler: {}\r\n", "f".repeat(1000));
    let lines = line.repeat(HEADER_BYTES / line.len());
    let script = Script::Bytes(format!("{}{lines}", daemon.head()).into_bytes());
    let client = Client::new(daemon.front(), script);
    withstand(&mut daemon, client, SMALL_CLIENTS, SMALL_GROWTH).await;
}

/// Guards against connections that cost much before their first request.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_connections(#[values(false, true)] own: bool) {
    let mut daemon = start(own).await;
    let client = Client::new(daemon.front(), Script::Bytes(Vec::new()));
    withstand(&mut daemon, client, SMALL_CLIENTS, SMALL_GROWTH).await;
}

/// Guards against requests that are read on while no response is taken.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pipelined_requests(#[values(false, true)] own: bool) {
    let mut daemon = start(own).await;
    let script = Script::Bytes(daemon.small_read().repeat(PIPELINED).into_bytes());
    let client = Client::new(daemon.front(), script);
    withstand(&mut daemon, client, SMALL_CLIENTS, SMALL_GROWTH).await;
}

/// Guards against responses that are held for as long as their client does not read
/// them, without a limit on their sum.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn responses_that_are_not_read(#[values(false, true)] own: bool) {
    let mut daemon = start(own).await;
    let script = Script::Bytes(daemon.large_read().into_bytes());
    let client = Client::new(daemon.front(), script);
    withstand(&mut daemon, client, BODY_CLIENTS, LARGE_GROWTH).await;
}

/// Guards against memory that a peer gets before it has proved that it has the key.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frames_of_an_unauthenticated_peer() {
    let deployment = Daemon::start_own().await;
    let Daemon::Own(own) = &deployment else {
        unreachable!("started with the own protocol");
    };
    let client = Client::new(own.peers[0], Script::Frame(FRAME_BYTES as usize));
    let mut daemon = deployment;
    withstand(&mut daemon, client, PEER_CLIENTS, LARGE_GROWTH).await;
}
