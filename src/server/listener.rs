//! Accepts connections.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rocket::local::asynchronous::Client;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::connection::serve;
use super::dispatch::Dispatcher;
use super::link::Link;
use crate::drain::RequestCounter;
use crate::overload::Gate;

/// The kernel's receive buffer of each connection, in bytes: what a client can send
/// ahead counts towards the memory of the host. Linux reserves twice as much.
const RECEIVE_BUFFER: u32 = 16 << 10;
/// The kernel's send buffer of each connection, in bytes. At 32 KB the buffers of all
/// connections and the budget together exceeded the memory of the smallest host.
const SEND_BUFFER: u32 = 12 << 10;
/// The connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// The pause after a failed accept, as when all descriptors are in use.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What the connections of one address share.
pub(super) struct Listener {
    pub client: Arc<Client>,
    pub gate: Arc<Gate>,
    pub counter: RequestCounter,
    pub grace: Duration,
}

/// Waits until the server is told to stop, or its handle is dropped.
pub(super) async fn wait_stopping(stopping: &mut watch::Receiver<bool>) {
    let _ = stopping.wait_for(|stopping| *stopping).await;
}

/// Binds an address. Platforms that emulate sockets may ignore the buffer sizes.
pub(super) fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    let _ = socket.set_reuseaddr(true);
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER);
    let _ = socket.set_send_buffer_size(SEND_BUFFER);
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

impl Listener {
    /// Accepts connections until the server stops, then waits for the open ones up to
    /// the grace period. Dropping this future closes all connections.
    pub async fn run(self, listener: TcpListener, stopping: watch::Receiver<bool>) {
        let mut connections = JoinSet::new();
        let mut stopped = stopping.clone();
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, remote)) => {
                        self.open(stream, remote, &stopping, &mut connections);
                    }
                    Err(_) => sleep(ACCEPT_PAUSE).await,
                },
                Some(_) = connections.join_next() => {}
                () = wait_stopping(&mut stopped) => break,
            }
        }
        drop(listener);
        let ended = async { while connections.join_next().await.is_some() {} };
        let _ = timeout(self.grace, ended).await;
    }

    fn open(
        &self,
        stream: TcpStream,
        remote: SocketAddr,
        stopping: &watch::Receiver<bool>,
        connections: &mut JoinSet<()>,
    ) {
        let Some(connection) = self.gate.open() else {
            return;
        };
        let link = Arc::new(Link::new(connection, self.counter.clone()));
        let dispatcher = Dispatcher {
            client: self.client.clone(),
            link: link.clone(),
            remote,
            stopping: stopping.clone(),
        };
        connections.spawn(serve(stream, link, dispatcher, stopping.clone()));
    }
}
