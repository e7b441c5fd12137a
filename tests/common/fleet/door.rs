//! The public address of a worker, behind which its connections fail as those of a machine
//! that is down or cut off: open ones close or go silent, and the kernel refuses, holds or
//! drops new ones.

use std::net::{SocketAddr, TcpStream as StdStream};
use std::time::Duration;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, spawn_blocking};
use tokio::time::{sleep, timeout};

/// Connections that the kernel holds before they are accepted.
const BACKLOG: u32 = 16;
/// Limit on the connections that fill the backlog.
const MAX_FILLERS: usize = 4 * BACKLOG as usize;
/// Time after which an opening packet counts as dropped. Over loopback it is answered at once.
const DROPPED_AFTER: Duration = Duration::from_millis(50);
/// Time in which the connections that the kernel still holds are accepted.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which a refusing door tries to listen again.
const BIND_INTERVAL: Duration = Duration::from_millis(10);

/// What becomes of the connections that are open when a door shuts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenConnections {
    /// They are closed at once.
    Closed,
    /// They carry nothing any more, and are closed when the door opens again.
    Silent,
}

/// What becomes of the connections that clients open while a door is shut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NewConnections {
    /// No process listens.
    Refused,
    /// The kernel holds them, and the requests in them are read when the door opens.
    Held,
    /// Opening packets get no answer; the kernel of the client repeats them.
    Dropped,
}

/// How a door is shut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shut {
    pub open: OpenConnections,
    pub new: NewConnections,
}

/// Forwards the connections of a public address to a worker's server while it is open.
pub struct Door {
    pub address: SocketAddr,
    shut: watch::Sender<Option<Shut>>,
    listener: JoinHandle<()>,
}

impl Door {
    /// Opens a door on an address, through which connections lead to `target`.
    pub fn open_at(address: SocketAddr, target: SocketAddr) -> Self {
        let (shut, state) = watch::channel(None);
        let listener = listen(address).expect("the address is free");
        let listener = tokio::spawn(run(address, target, listener, state));
        Self {
            address,
            shut,
            listener,
        }
    }

    /// Opens the door, or shuts it.
    pub fn set(&self, shut: Option<Shut>) {
        self.shut.send_replace(shut);
    }
}

impl Drop for Door {
    fn drop(&mut self) {
        self.listener.abort();
    }
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Waits until the door is shut, and returns how.
async fn wait_shut(state: &mut watch::Receiver<Option<Shut>>) -> Option<Shut> {
    let shut = state.wait_for(Option::is_some).await;
    shut.ok().and_then(|shut| *shut)
}

async fn wait_open(state: &mut watch::Receiver<Option<Shut>>) {
    // The sender is only dropped at the end of the test.
    let _ = state.wait_for(Option::is_none).await;
}

async fn run(
    address: SocketAddr,
    target: SocketAddr,
    mut listener: TcpListener,
    mut state: watch::Receiver<Option<Shut>>,
) {
    loop {
        let shut = tokio::select! {
            biased;
            shut = wait_shut(&mut state) => shut,
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    tokio::spawn(forward(stream, target, state.clone()));
                }
                continue;
            }
        };
        let Some(shut) = shut else {
            return;
        };
        match shut.new {
            NewConnections::Refused => {
                drop(listener);
                wait_open(&mut state).await;
                listener = loop {
                    match listen(address) {
                        Ok(listener) => break listener,
                        Err(_) => sleep(BIND_INTERVAL).await,
                    }
                };
            }
            NewConnections::Held => wait_open(&mut state).await,
            NewConnections::Dropped => {
                let fillers = spawn_blocking(move || fill(address)).await;
                wait_open(&mut state).await;
                drop(fillers);
                // Connections that were opened before the backlog was full are lost as well.
                while timeout(DRAIN_INTERVAL, listener.accept()).await.is_ok() {}
            }
        }
    }
}

/// Opens connections that nobody accepts until the kernel drops further opening packets.
fn fill(address: SocketAddr) -> Vec<StdStream> {
    let open = || StdStream::connect_timeout(&address, DROPPED_AFTER).ok();
    std::iter::from_fn(open).take(MAX_FILLERS).collect()
}

/// Forwards a connection until it ends or the door is shut.
async fn forward(
    mut stream: TcpStream,
    target: SocketAddr,
    mut state: watch::Receiver<Option<Shut>>,
) {
    let _ = stream.set_nodelay(true);
    let Ok(mut upstream) = TcpStream::connect(target).await else {
        return;
    };
    let _ = upstream.set_nodelay(true);
    let shut = tokio::select! {
        biased;
        shut = wait_shut(&mut state) => shut,
        _ = copy_bidirectional(&mut stream, &mut upstream) => return,
    };
    drop(upstream);
    if shut.is_some_and(|shut| shut.open == OpenConnections::Silent) {
        wait_open(&mut state).await;
    }
}
