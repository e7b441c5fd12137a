//! Tests of entry daemons under callers that send without limits, each daemon in a
//! process of its own. The crowds are small, and the checks don't depend on the speed
//! of the machine: the daemon stays alive, its resident memory and its open
//! descriptors stay under a bound, and an ordinary request is answered afterwards.
//!
//! Crowds and bounds are fixed; see the commit that added them.

mod crowd;
#[allow(dead_code, reason = "the fleet tests use the rest of it")]
#[path = "../common/fleet/door.rs"]
mod door;
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
use std::time::Duration;

use crowd::{Client, Crowd, Framing, Script};
use rstest::rstest;
use serde_json::json;
use tokio::time::sleep;
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

/// The number of clients that announce a body of the greatest legal size and send none of
/// it. Together they announce more than the default budget.
const ANNOUNCING_CLIENTS: usize = 16;
/// The time without progress after which a connection is closed in their deployment: longer
/// than the tries of an ordinary caller last, so that none is served by waiting.
const LONG_STALL: &str = "stall = 60s\n";
/// The tries of an ordinary caller whose request is refused as not run.
const TRIES: usize = 20;
/// The pause between them.
const TRY_PAUSE: Duration = Duration::from_millis(200);

/// The number of clients in the measurement of a default host.
const MANY_CLIENTS: usize = 1000;
/// What each of them sends of a body, in bytes.
const MANY_BODY: u64 = 8 << 20;
/// The memory of the smallest host, which is the default, in MiB.
const DEFAULT_MEMORY: u64 = 160;

/// The limit on the body of a request on a small host, in bytes.
const SMALL_HOST_BODY: u64 = 1 << 20;
/// The memory of that host, in MiB.
const SMALL_HOST_MEMORY: u64 = 64;
/// The number of clients that send bodies to it.
const SMALL_HOST_CLIENTS: usize = 400;
/// Bound on the peak of resident memory there, in MiB: an eighth of the memory stays free.
const SMALL_HOST_PEAK: u64 = SMALL_HOST_MEMORY - SMALL_HOST_MEMORY / 8;
/// Bound on the growth of resident memory that remains after the clients have left, in
/// MiB: an eighth of the memory.
const SMALL_HOST_REST: u64 = SMALL_HOST_MEMORY / 8;
/// The time after which memory that nobody uses has been returned.
const RETURN_TIME: Duration = Duration::from_secs(10);

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

    /// Starts a daemon with these limits: `settings` holds lines of its settings.
    async fn start_limited(own: bool, body: u64, settings: &str) -> Self {
        if own {
            let size = processes::DeploymentSize {
                entries: 1,
                workers: 2,
            };
            let limits = format!("[limits]\nbody = {body}\nanswer = {body}\n{settings}");
            let deployment = processes::Deployment::start_with("overload", size, &limits).await;
            return Self::Own(Box::new(deployment));
        }
        let parts = fleet::Parts {
            body,
            settings,
            ..fleet::Parts::default()
        };
        let deployment = fleet::Deployment::start_parts("overload", &parts).await;
        Self::Fleet(Box::new(deployment))
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

    /// Sends an ordinary request with a body of the greatest legal size. Returns the status.
    async fn send_large_body(&self) -> u16 {
        match self {
            Self::Fleet(deployment) => {
                let steps = json!([{"count": 1, "cpu": 100, "mem_mb": 10, "est_ms": 300}]);
                let mut body = json!({"spec": "once", "steps": steps})
                    .to_string()
                    .into_bytes();
                body.resize(BODY_BYTES as usize, b' ');
                deployment.post(0, "/q/00000000000000fe", body).await
            }
            Self::Own(deployment) => {
                let mark = "m".repeat(BODY_BYTES as usize);
                let url = format!("http://{}/svc/shortlist/echo", deployment.entries[0]);
                let call = deployment
                    .http
                    .post(url)
                    .header("lycheelock-team", processes::TEAM);
                let call = call.header("lycheelock-deadline-ms", "20000").body(mark);
                call.send()
                    .await
                    .map_or(0, |answer| answer.status().as_u16())
            }
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

/// Guards against bodies that are only announced and keep honest large bodies out.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_large_body_is_served_while_others_are_only_announced(#[values(false, true)] own: bool) {
    let mut daemon = Daemon::start_limited(own, BODY_BYTES, LONG_STALL).await;
    let head = format!("{}content-length: {BODY_BYTES}\r\n\r\n", daemon.head());
    let client = Client::new(daemon.front(), Script::Bytes(head.into_bytes()));
    let crowd = Crowd::send(client, ANNOUNCING_CLIENTS).await;
    let mut statuses = Vec::new();
    while !statuses.contains(&200) && statuses.len() < TRIES {
        if !statuses.is_empty() {
            sleep(TRY_PAUSE).await;
        }
        statuses.push(daemon.send_large_body().await);
    }
    drop(crowd);
    assert!(statuses.contains(&200), "{statuses:?}");
    assert!(daemon.is_running());
    assert!(daemon.is_answered().await, "after the overload");
}

/// Lets a crowd send bodies to a small host and leave. Returns what the daemon used before,
/// and a while after the crowd has left.
async fn visit_small_host(own: bool, framing: Framing) -> (Usage, Usage) {
    let settings = format!("memory = {SMALL_HOST_MEMORY}MB\n");
    let mut daemon = Daemon::start_limited(own, SMALL_HOST_BODY, &settings).await;
    let before = Usage::read(daemon.process());
    let script = Script::Body {
        head: daemon.head(),
        bytes: SMALL_HOST_BODY as usize,
        framing,
    };
    let client = Client::new(daemon.front(), script);
    drop(Crowd::send(client, SMALL_HOST_CLIENTS).await);
    sleep(RETURN_TIME).await;
    let after = Usage::read(daemon.process());
    eprintln!(
        "resident before {} MiB, peak {} MiB, after {} MiB, descriptors {} and {}",
        before.resident >> 20,
        after.peak >> 20,
        after.resident >> 20,
        before.descriptors,
        after.descriptors
    );
    assert!(daemon.is_running());
    assert!(daemon.is_answered().await, "after the overload");
    (before, after)
}

/// Guards against bodies that hold more memory than is charged for them.
#[rstest]
#[case::whole(Framing::Whole)]
#[case::small_chunks(Framing::Chunks(1000))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_peak_stays_under_the_memory_of_a_small_host(
    #[case] framing: Framing,
    #[values(false, true)] own: bool,
) {
    let (before, after) = visit_small_host(own, framing).await;
    let peak = after.peak >> 20;
    assert!(peak < SMALL_HOST_PEAK, "peak {peak} MiB");
    assert!(after.descriptors < before.descriptors + MORE_DESCRIPTORS);
}

/// Guards against memory that a process keeps after an overload.
#[rstest]
#[case::whole(Framing::Whole)]
#[case::small_chunks(Framing::Chunks(1000))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn memory_is_returned_after_an_overload(
    #[case] framing: Framing,
    #[values(false, true)] own: bool,
) {
    let (before, after) = visit_small_host(own, framing).await;
    let rest = after.resident.saturating_sub(before.resident) >> 20;
    assert!(rest < SMALL_HOST_REST, "{rest} MiB more remain");
}

/// Measures a daemon with its default limits under many clients; for release builds:
/// `cargo test --release --test overload many_clients -- --ignored --test-threads 1
/// --nocapture`.
#[rstest]
#[case::whole(Framing::Whole)]
#[case::small_chunks(Framing::Chunks(1000))]
#[ignore = "a measurement of a minute a case, to be run alone"]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_clients(#[case] framing: Framing, #[values(false, true)] own: bool) {
    let mut daemon = Daemon::start_limited(own, MANY_BODY, "").await;
    let before = Usage::read(daemon.process());
    let script = Script::Body {
        head: daemon.head(),
        bytes: MANY_BODY as usize,
        framing,
    };
    let client = Client::new(daemon.front(), script);
    let crowd = Crowd::send(client, MANY_CLIENTS).await;
    let during = Usage::read(daemon.process());
    let answered = daemon.is_answered().await;
    drop(crowd);
    sleep(2 * RETURN_TIME).await;
    let after = Usage::read(daemon.process());
    eprintln!("before {before:?}\nduring {during:?}, answered: {answered}\nafter {after:?}");
    assert!(daemon.is_running());
    assert!(answered && daemon.is_answered().await);
    assert!(after.peak >> 20 < DEFAULT_MEMORY);
}
