//! A TCP relay that can drop the bytes of its connections without closing them.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;

/// A relay to one address, which forwards until it is silenced or cut.
pub struct Relay {
    pub address: SocketAddr,
    /// Connections with lower numbers are silent: their bytes are dropped.
    silent_below: Arc<AtomicU64>,
    /// Number of connections opened so far.
    opened: Arc<AtomicU64>,
    /// All bytes are dropped and no connection is opened.
    is_cut: Arc<AtomicBool>,
}

impl Relay {
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let relay = Self {
            address: listener.local_addr().expect("a bound address"),
            silent_below: Arc::default(),
            opened: Arc::default(),
            is_cut: Arc::default(),
        };
        let (silent_below, opened, is_cut) = (
            relay.silent_below.clone(),
            relay.opened.clone(),
            relay.is_cut.clone(),
        );
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if is_cut.load(Ordering::Relaxed) {
                    continue;
                }
                let Ok(upstream) = TcpStream::connect(target) else {
                    continue;
                };
                let connection = opened.fetch_add(1, Ordering::Relaxed);
                forward(&stream, &upstream, connection, &silent_below, &is_cut);
                forward(&upstream, &stream, connection, &silent_below, &is_cut);
            }
        });
        relay
    }

    /// Silences every open connection permanently. New connections work.
    pub fn silence_open_connections(&self) {
        let opened = self.opened.load(Ordering::Relaxed);
        self.silent_below.store(opened, Ordering::Relaxed);
    }

    /// Drops all bytes in both directions until the cut is lifted. Connections that
    /// were open before stay silent.
    pub fn set_cut(&self, cut: bool) {
        self.is_cut.store(cut, Ordering::Relaxed);
        self.silence_open_connections();
    }
}

/// Forwards one direction of a connection in a thread of its own.
fn forward(
    from: &TcpStream,
    to: &TcpStream,
    connection: u64,
    silent_below: &Arc<AtomicU64>,
    is_cut: &Arc<AtomicBool>,
) {
    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
        return;
    };
    let (silent_below, is_cut) = (silent_below.clone(), is_cut.clone());
    thread::spawn(move || {
        let mut buffer = [0; 16 << 10];
        while let Ok(count) = from.read(&mut buffer) {
            let silent = connection < silent_below.load(Ordering::Relaxed);
            if silent || is_cut.load(Ordering::Relaxed) {
                // Drops the bytes and keeps the connection open.
                if count == 0 {
                    return;
                }
                continue;
            }
            if count == 0 || to.write_all(&buffer[..count]).is_err() {
                let _ = to.shutdown(std::net::Shutdown::Write);
                return;
            }
        }
    });
}
