//! One connection between two entry hosts.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until, timeout};
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::{WebSocketStream, accept_async_with_config, client_async_with_config};

use super::frame::{Frame, PeerAnswer, PeerCall};
use super::handshake::{Identity, accepts, proof};
use crate::ids::HostId;
use crate::kind::{ErrorKind, Refusal};
use crate::ownership::PeerMessage;

/// Frames that wait for a connection; more are dropped.
const OUTBOX: usize = 4096;
const MAX_FRAME: usize = 40 << 20;

/// What a process does with what its peers send.
pub trait Handler: Send + Sync + 'static {
    /// A connection to a peer stands.
    fn on_connected(&self, host: HostId, zone: &str);
    /// A message arrived.
    fn on_message(&self, from: HostId, message: PeerMessage);
    /// A call arrived.
    fn on_call(
        self: Arc<Self>,
        from: HostId,
        call: PeerCall,
    ) -> impl Future<Output = PeerAnswer> + Send;
}

/// Why a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// There is no connection; nothing was sent.
    NotSent,
    /// The connection ended or the time was over before the answer came.
    Lost,
}

/// The connections that stand.
#[derive(Debug, Default)]
pub struct Links {
    links: Mutex<HashMap<HostId, Link>>,
    next_call: AtomicU64,
}

#[derive(Debug, Clone)]
struct Link {
    serial: u64,
    outbox: mpsc::Sender<Frame>,
    calls: Arc<Mutex<HashMap<u64, oneshot::Sender<PeerAnswer>>>>,
}

impl Links {
    /// Sends a message, if there is a connection.
    pub fn send(&self, to: HostId, message: PeerMessage) {
        if let Some(link) = self.get(to) {
            let _ = link.outbox.try_send(Frame::Message(message));
        }
    }

    /// Calls a peer and waits for its answer.
    ///
    /// # Errors
    ///
    /// Fails when there is no connection, or no answer in time.
    pub async fn call(
        &self,
        to: HostId,
        call: PeerCall,
        patience: Duration,
    ) -> Result<PeerAnswer, CallFailure> {
        let link = self.get(to).ok_or(CallFailure::NotSent)?;
        let id = self.next_call.fetch_add(1, Ordering::Relaxed);
        let (answer, answered) = oneshot::channel();
        lock(&link.calls).insert(id, answer);
        let call = Box::new(call);
        if link.outbox.try_send(Frame::Call { id, call }).is_err() {
            lock(&link.calls).remove(&id);
            return Err(CallFailure::NotSent);
        }
        let end = timeout(patience, answered).await;
        lock(&link.calls).remove(&id);
        match end {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) | Err(_) => Err(CallFailure::Lost),
        }
    }

    /// Whether there is a connection to a peer.
    pub fn is_connected(&self, host: HostId) -> bool {
        self.get(host).is_some()
    }

    /// The peers with a connection.
    pub fn connected(&self) -> Vec<HostId> {
        lock(&self.links).keys().copied().collect()
    }

    fn get(&self, host: HostId) -> Option<Link> {
        lock(&self.links).get(&host).cloned()
    }

    fn open(&self, host: HostId) -> Opened {
        let (outbox, frames) = mpsc::channel(OUTBOX);
        let link = Link {
            serial: self.next_call.fetch_add(1, Ordering::Relaxed),
            outbox,
            calls: Arc::default(),
        };
        lock(&self.links).insert(host, link.clone());
        Opened { link, frames }
    }

    /// Ends a connection; calls without an answer are lost.
    fn close(&self, host: HostId, link: &Link) {
        lock(&link.calls).clear();
        let mut links = lock(&self.links);
        if links
            .get(&host)
            .is_some_and(|each| each.serial == link.serial)
        {
            links.remove(&host);
        }
    }
}

struct Opened {
    link: Link,
    frames: mpsc::Receiver<Frame>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no panic while locked")
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME))
        .max_frame_size(Some(MAX_FRAME))
}

/// Takes connections of other entry hosts until the listener fails.
pub async fn listen<H: Handler>(
    listener: TcpListener,
    identity: Identity,
    silence: Duration,
    links: Arc<Links>,
    handler: Arc<H>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let (identity, links, handler) = (identity.clone(), links.clone(), handler.clone());
        tokio::spawn(async move {
            let _ = stream.set_nodelay(true);
            let accepted = accept_async_with_config(stream, Some(config()));
            if let Ok(Ok(socket)) = timeout(silence, accepted).await {
                run(socket, &identity, silence, &links, &handler).await;
            }
        });
    }
}

/// Connects to another entry host and serves the connection until it ends.
/// Returns the process that answered, none if none did.
pub async fn dial<H: Handler>(
    address: SocketAddr,
    identity: &Identity,
    silence: Duration,
    links: &Arc<Links>,
    handler: &Arc<H>,
) -> Option<HostId> {
    let connecting = TcpStream::connect(address);
    let stream = timeout(silence, connecting).await.ok()?.ok()?;
    let _ = stream.set_nodelay(true);
    let upgrading =
        client_async_with_config(format!("ws://{address}/peers"), stream, Some(config()));
    let (socket, _) = timeout(silence, upgrading).await.ok()?.ok()?;
    run(socket, identity, silence, links, handler).await
}

async fn run<S, H>(
    mut socket: WebSocketStream<S>,
    identity: &Identity,
    silence: Duration,
    links: &Arc<Links>,
    handler: &Arc<H>,
) -> Option<HostId>
where
    S: AsyncRead + AsyncWrite + Unpin,
    H: Handler,
{
    let hello = timeout(silence, greet(&mut socket, identity))
        .await
        .ok()??;
    let opened = links.open(hello.host);
    handler.on_connected(hello.host, &hello.zone);
    exchange(
        socket,
        hello.host,
        silence,
        opened.frames,
        &opened.link,
        handler,
    )
    .await;
    links.close(hello.host, &opened.link);
    Some(hello.host)
}

struct Greeting {
    host: HostId,
    zone: String,
}

/// Exchanges hellos and proofs; none if the other side does not have the key.
async fn greet<S>(socket: &mut WebSocketStream<S>, identity: &Identity) -> Option<Greeting>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let own_nonce: u64 = rand::random();
    let hello = Frame::Hello {
        host: identity.host,
        zone: identity.zone.clone(),
        nonce: own_nonce,
    };
    socket.send(encode(&hello)).await.ok()?;
    let Frame::Hello { host, zone, nonce } = receive(socket).await? else {
        return None;
    };
    let mac = proof(&identity.key, identity.host, own_nonce, nonce);
    socket.send(encode(&Frame::Proof { mac })).await.ok()?;
    let Frame::Proof { mac } = receive(socket).await? else {
        return None;
    };
    if host == identity.host || !accepts(&identity.key, host, nonce, own_nonce, &mac) {
        log::warn!("peer {host} in {zone} did not prove the shared key");
        return None;
    }
    Some(Greeting { host, zone })
}

async fn receive<S>(socket: &mut WebSocketStream<S>) -> Option<Frame>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    loop {
        let message = socket.next().await?.ok()?;
        if let Some(frame) = decode(&message) {
            return Some(frame);
        }
    }
}

/// Passes frames in both directions until the connection ends or is silent.
async fn exchange<S, H>(
    socket: WebSocketStream<S>,
    host: HostId,
    silence: Duration,
    mut frames: mpsc::Receiver<Frame>,
    link: &Link,
    handler: &Arc<H>,
) where
    S: AsyncRead + AsyncWrite + Unpin,
    H: Handler,
{
    let (mut sink, mut stream) = socket.split();
    let mut silent_at = Instant::now() + silence;
    let mut ping_at = Instant::now() + silence / 3;
    loop {
        tokio::select! {
            message = stream.next() => {
                let Some(Ok(message)) = message else {
                    return;
                };
                silent_at = Instant::now() + silence;
                if let Some(frame) = decode(&message) {
                    take(host, frame, link, handler);
                }
            }
            frame = frames.recv() => {
                let Some(frame) = frame else {
                    return;
                };
                if !send_in_time(&mut sink, encode(&frame), silence).await {
                    return;
                }
            }
            () = sleep_until(ping_at) => {
                ping_at = Instant::now() + silence / 3;
                let ping = Message::Ping(Vec::new().into());
                if !send_in_time(&mut sink, ping, silence).await {
                    return;
                }
            }
            () = sleep_until(silent_at) => {
                log::warn!("the connection to peer {host} is silent and is replaced");
                return;
            }
        }
    }
}

async fn send_in_time<S>(sink: &mut S, message: Message, silence: Duration) -> bool
where
    S: SinkExt<Message> + Unpin,
{
    matches!(timeout(silence, sink.send(message)).await, Ok(Ok(())))
}

fn take<H: Handler>(host: HostId, frame: Frame, link: &Link, handler: &Arc<H>) {
    match frame {
        Frame::Message(message) => handler.on_message(host, message),
        Frame::Answer { id, answer } => {
            if let Some(waiting) = lock(&link.calls).remove(&id) {
                let _ = waiting.send(*answer);
            }
        }
        Frame::Call { id, call } => {
            let (outbox, handler) = (link.outbox.clone(), handler.clone());
            tokio::spawn(async move {
                let answer = Box::new(handler.on_call(host, *call).await);
                let _ = outbox.send(Frame::Answer { id, answer }).await;
            });
        }
        Frame::Hello { .. } | Frame::Proof { .. } => {}
    }
}

fn encode(frame: &Frame) -> Message {
    let mut bytes = Vec::new();
    ciborium::into_writer(frame, &mut bytes).expect("frames have a CBOR form");
    Message::Binary(bytes.into())
}

fn decode(message: &Message) -> Option<Frame> {
    match message {
        Message::Binary(bytes) => match ciborium::from_reader(bytes.as_ref()) {
            Ok(frame) => Some(frame),
            Err(error) => {
                log::warn!("a frame is not understood: {error}");
                None
            }
        },
        _ => None,
    }
}

/// The refusal for a failed call: without a connection nothing ran.
impl CallFailure {
    /// How a caller is told.
    ///
    /// ```
    /// use lycheelock::kind::ErrorKind;
    /// use lycheelock::peers::CallFailure;
    ///
    /// assert_eq!(CallFailure::NotSent.refusal().kind, ErrorKind::OwnerUnavailable);
    /// ```
    pub fn refusal(self) -> Refusal {
        match self {
            Self::NotSent => Refusal::new(
                ErrorKind::OwnerUnavailable,
                "no connection to the entry host that owns the shard",
            ),
            Self::Lost => Refusal::new(
                ErrorKind::AnswerLost,
                "the entry host that was asked did not answer",
            ),
        }
    }
}
