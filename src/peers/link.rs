//! One connection between two entry hosts.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::{WebSocketStream, accept_async_with_config, client_async_with_config};

use super::frame::{Frame, PeerAnswer, PeerCall};
use super::handshake::{Identity, proof, verify_proof};
use super::unproved::{LimitedStream, UnprovedConnections};
use crate::ids::HostId;
use crate::kind::{ErrorKind, Refusal};
use crate::overload::{Charge, Gate, Reason};
use crate::ownership::PeerMessage;

/// Limit on the frames queued for one connection. When it is reached, messages are
/// dropped and calls fail.
pub(super) const OUTBOX_CAPACITY: usize = 4096;
/// Limit on the size of one WebSocket message or frame.
const MAX_FRAME_BYTES: usize = 40 << 20;
/// The size of a connection's read buffer, in bytes; with the default of 128 KiB,
/// connections without a proof would hold megabytes.
const READ_BUFFER_BYTES: usize = 16 << 10;
/// The pause after a failed accept, as when all descriptors are in use.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

type Socket = WebSocketStream<LimitedStream>;

/// Handles the connections, messages and calls of peers.
pub trait Handler: Send + Sync + 'static {
    /// Called once the handshake with a peer has succeeded.
    fn on_connected(&self, host: HostId, zone: &str);
    /// Handles a one-way message from a peer.
    fn on_message(&self, from: HostId, message: PeerMessage);
    /// Handles a call from a peer and returns its answer.
    fn on_call(
        self: Arc<Self>,
        from: HostId,
        call: PeerCall,
    ) -> impl Future<Output = CallAnswer> + Send;
}

/// The answer to a call, with the bytes that it holds until it is sent.
#[derive(Debug)]
pub struct CallAnswer {
    /// The answer.
    pub answer: PeerAnswer,
    /// The bytes that are reserved for a large answer.
    pub charge: Option<Arc<Charge>>,
}

impl From<PeerAnswer> for CallAnswer {
    fn from(answer: PeerAnswer) -> Self {
        Self {
            answer,
            charge: None,
        }
    }
}

/// A frame that waits to be sent.
#[derive(Debug)]
struct Outgoing {
    frame: Frame,
    charge: Option<Arc<Charge>>,
}

impl From<Frame> for Outgoing {
    fn from(frame: Frame) -> Self {
        Self {
            frame,
            charge: None,
        }
    }
}

/// The reason why a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// There is no connection; nothing was sent.
    NotConnected,
    /// Too many frames wait to be sent on the connection; nothing was sent.
    OutboxFull,
    /// The connection closed or the call timed out before the answer arrived.
    Lost,
}

/// The open connections to peers, by the peer's process.
#[derive(Debug, Default)]
pub struct Links {
    links: Mutex<HashMap<HostId, Link>>,
    next_call: AtomicU64,
}

#[derive(Debug, Clone)]
struct Link {
    serial: u64,
    outbox: mpsc::Sender<Outgoing>,
    calls: Arc<Mutex<HashMap<u64, oneshot::Sender<PeerAnswer>>>>,
}

impl Links {
    /// Sends a message, or drops it if there is no connection or the outbox is full.
    pub fn send(&self, to: HostId, message: PeerMessage) {
        if let Some(link) = self.get(to) {
            let _ = link.outbox.try_send(Frame::Message(message).into());
        }
    }

    /// Calls a peer and waits for its answer.
    ///
    /// # Errors
    ///
    /// Fails when there is no connection or its outbox is full, or when no answer arrives
    /// within the timeout.
    pub async fn call(
        &self,
        to: HostId,
        call: PeerCall,
        reply_timeout: Duration,
    ) -> Result<PeerAnswer, CallFailure> {
        let link = self.get(to).ok_or(CallFailure::NotConnected)?;
        let id = self.next_call.fetch_add(1, Ordering::Relaxed);
        let (answer, answered) = oneshot::channel();
        lock(&link.calls).insert(id, answer);
        let call = Box::new(call);
        if let Err(failure) = link.outbox.try_send(Frame::Call { id, call }.into()) {
            lock(&link.calls).remove(&id);
            return Err(match failure {
                TrySendError::Full(_) => CallFailure::OutboxFull,
                TrySendError::Closed(_) => CallFailure::NotConnected,
            });
        }
        let end = timeout(reply_timeout, answered).await;
        lock(&link.calls).remove(&id);
        match end {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) | Err(_) => Err(CallFailure::Lost),
        }
    }

    /// Returns whether there is a connection to a peer.
    pub fn is_connected(&self, host: HostId) -> bool {
        self.get(host).is_some()
    }

    /// Returns the peers that have a connection.
    pub fn connected(&self) -> Vec<HostId> {
        lock(&self.links).keys().copied().collect()
    }

    fn get(&self, host: HostId) -> Option<Link> {
        lock(&self.links).get(&host).cloned()
    }

    pub(super) fn open(&self, host: HostId) -> OpenedLink {
        let (outbox, frames) = mpsc::channel(OUTBOX_CAPACITY);
        let link = Link {
            serial: self.next_call.fetch_add(1, Ordering::Relaxed),
            outbox,
            calls: Arc::default(),
        };
        lock(&self.links).insert(host, link.clone());
        OpenedLink { link, frames }
    }

    /// Removes a connection unless a newer one has replaced it, and fails its
    /// unanswered calls.
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

pub(super) struct OpenedLink {
    link: Link,
    frames: mpsc::Receiver<Outgoing>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no panic while locked")
}

fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
        .read_buffer_size(READ_BUFFER_BYTES)
}

/// Accepts connections of other entry hosts. Until a peer has proved that it has the
/// key, few bytes are read from it and few such connections are open; `gate` counts
/// those that had to be closed.
pub async fn listen<H: Handler>(
    listener: TcpListener,
    identity: Identity,
    idle_timeout: Duration,
    links: Arc<Links>,
    handler: Arc<H>,
    gate: Arc<Gate>,
) {
    let mut unproved = UnprovedConnections::default();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let (place, replaced) = unproved.add();
        if replaced {
            gate.refuse(Reason::Peers);
        }
        let (identity, links, handler) = (identity.clone(), links.clone(), handler.clone());
        tokio::spawn(async move {
            let proved = tokio::select! {
                proved = accept_peer(stream, &identity, idle_timeout) => proved,
                // The place was given to a newer connection.
                _ = place => None,
            };
            if let Some((socket, peer)) = proved {
                serve_connection(socket, &peer, idle_timeout, &links, &handler).await;
            }
        });
    }
}

/// Upgrades an accepted connection and checks the peer's proof.
async fn accept_peer(
    stream: TcpStream,
    identity: &Identity,
    idle_timeout: Duration,
) -> Option<(Socket, VerifiedPeer)> {
    let _ = stream.set_nodelay(true);
    let stream = LimitedStream::new(stream);
    let accepted = accept_async_with_config(stream, Some(websocket_config()));
    let socket = timeout(idle_timeout, accepted).await.ok()?.ok()?;
    prove(socket, identity, idle_timeout).await
}

/// Exchanges proofs, then lifts the limit on what is read.
async fn prove(
    mut socket: Socket,
    identity: &Identity,
    idle_timeout: Duration,
) -> Option<(Socket, VerifiedPeer)> {
    let exchanged = handshake(&mut socket, identity);
    let peer = timeout(idle_timeout, exchanged).await.ok()??;
    socket.get_mut().lift();
    Some((socket, peer))
}

/// Connects to another entry host and serves the connection until it ends.
/// Returns the process that answered, or `None` if the connection or the
/// handshake failed.
pub async fn dial<H: Handler>(
    address: SocketAddr,
    identity: &Identity,
    idle_timeout: Duration,
    links: &Arc<Links>,
    handler: &Arc<H>,
) -> Option<HostId> {
    let connecting = TcpStream::connect(address);
    let stream = timeout(idle_timeout, connecting).await.ok()?.ok()?;
    let _ = stream.set_nodelay(true);
    let upgrading = client_async_with_config(
        format!("ws://{address}/peers"),
        LimitedStream::new(stream),
        Some(websocket_config()),
    );
    let (socket, _) = timeout(idle_timeout, upgrading).await.ok()?.ok()?;
    let (socket, peer) = prove(socket, identity, idle_timeout).await?;
    serve_connection(socket, &peer, idle_timeout, links, handler).await;
    Some(peer.host)
}

async fn serve_connection<H: Handler>(
    socket: Socket,
    peer: &VerifiedPeer,
    idle_timeout: Duration,
    links: &Arc<Links>,
    handler: &Arc<H>,
) {
    let opened = links.open(peer.host);
    handler.on_connected(peer.host, &peer.zone);
    exchange_frames(
        socket,
        peer.host,
        idle_timeout,
        opened.frames,
        &opened.link,
        handler,
    )
    .await;
    links.close(peer.host, &opened.link);
}

struct VerifiedPeer {
    host: HostId,
    zone: String,
}

/// Exchanges hellos and proofs. Returns `None` if the other side does not have
/// the key, or is this process itself.
async fn handshake(socket: &mut Socket, identity: &Identity) -> Option<VerifiedPeer> {
    let own_nonce: u64 = rand::random();
    let hello = Frame::Hello {
        host: identity.host,
        zone: identity.zone.clone(),
        nonce: own_nonce,
    };
    socket.send(encode(&hello)).await.ok()?;
    let Frame::Hello { host, zone, nonce } = receive_frame(socket).await? else {
        return None;
    };
    let mac = proof(&identity.key, identity.host, own_nonce, nonce);
    socket.send(encode(&Frame::Proof { mac })).await.ok()?;
    let Frame::Proof { mac } = receive_frame(socket).await? else {
        return None;
    };
    if host == identity.host || !verify_proof(&identity.key, host, nonce, own_nonce, &mac) {
        log::warn!("rejected peer {host} in {zone}: wrong key, or the address is our own");
        return None;
    }
    Some(VerifiedPeer { host, zone })
}

async fn receive_frame(socket: &mut Socket) -> Option<Frame> {
    loop {
        let message = socket.next().await?.ok()?;
        if let Some(frame) = decode(&message) {
            return Some(frame);
        }
    }
}

/// Passes frames in both directions until the connection closes or no message
/// has arrived within the idle timeout.
async fn exchange_frames<H: Handler>(
    socket: Socket,
    host: HostId,
    idle_timeout: Duration,
    mut frames: mpsc::Receiver<Outgoing>,
    link: &Link,
    handler: &Arc<H>,
) {
    let (mut sink, mut stream) = socket.split();
    let mut idle_deadline = Instant::now() + idle_timeout;
    let mut ping_at = Instant::now() + idle_timeout / 3;
    loop {
        tokio::select! {
            message = stream.next() => {
                let Some(Ok(message)) = message else {
                    return;
                };
                idle_deadline = Instant::now() + idle_timeout;
                if let Some(frame) = decode(&message) {
                    dispatch_frame(host, frame, link, handler);
                }
            }
            outgoing = frames.recv() => {
                let Some(Outgoing { frame, charge }) = outgoing else {
                    return;
                };
                let message = encode(&frame);
                drop(frame);
                if !send_in_time(&mut sink, message, idle_timeout).await {
                    return;
                }
                drop(charge);
            }
            () = sleep_until(ping_at) => {
                ping_at = Instant::now() + idle_timeout / 3;
                let ping = Message::Ping(Vec::new().into());
                if !send_in_time(&mut sink, ping, idle_timeout).await {
                    return;
                }
            }
            () = sleep_until(idle_deadline) => {
                log::warn!("closing the idle connection to peer {host}");
                return;
            }
        }
    }
}

async fn send_in_time<S>(sink: &mut S, message: Message, idle_timeout: Duration) -> bool
where
    S: SinkExt<Message> + Unpin,
{
    matches!(timeout(idle_timeout, sink.send(message)).await, Ok(Ok(())))
}

fn dispatch_frame<H: Handler>(host: HostId, frame: Frame, link: &Link, handler: &Arc<H>) {
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
                let CallAnswer { answer, charge } = handler.on_call(host, *call).await;
                let answer = Box::new(answer);
                let frame = Frame::Answer { id, answer };
                let _ = outbox.send(Outgoing { frame, charge }).await;
            });
        }
        Frame::Hello { .. } | Frame::Proof { .. } => {}
    }
}

fn encode(frame: &Frame) -> Message {
    let mut bytes = Vec::new();
    ciborium::into_writer(frame, &mut bytes).expect("frames serialize to CBOR");
    Message::Binary(bytes.into())
}

fn decode(message: &Message) -> Option<Frame> {
    match message {
        Message::Binary(bytes) => match ciborium::from_reader(bytes.as_ref()) {
            Ok(frame) => Some(frame),
            Err(error) => {
                log::warn!("cannot decode a frame of a peer: {error}");
                None
            }
        },
        _ => None,
    }
}

impl CallFailure {
    /// Converts the failure to a refusal. If the call was not sent, the refusal
    /// says that nothing ran.
    ///
    /// ```
    /// use lycheelock::kind::ErrorKind;
    /// use lycheelock::peers::CallFailure;
    ///
    /// assert_eq!(CallFailure::NotConnected.refusal().kind, ErrorKind::OwnerUnavailable);
    /// ```
    pub fn refusal(self) -> Refusal {
        match self {
            Self::NotConnected => Refusal::new(
                ErrorKind::OwnerUnavailable,
                "no connection to the entry host that owns the shard",
            ),
            Self::OutboxFull => Refusal::new(
                ErrorKind::OwnerUnavailable,
                "too many calls wait to be sent to the entry host that owns the shard",
            ),
            Self::Lost => Refusal::new(ErrorKind::AnswerLost, "the entry host did not answer"),
        }
    }
}
