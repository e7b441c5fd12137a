//! Passes TCP bytes on, until it is told to swallow them.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;

/// A relay to one address.
pub struct Relay {
    pub address: SocketAddr,
    /// Connections opened before this count are silent.
    silent_below: Arc<AtomicU64>,
    opened: Arc<AtomicU64>,
    closed: Arc<AtomicBool>,
}

impl Relay {
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let relay = Self {
            address: listener.local_addr().expect("a bound address"),
            silent_below: Arc::default(),
            opened: Arc::default(),
            closed: Arc::default(),
        };
        let (silent_below, opened, closed) = (
            relay.silent_below.clone(),
            relay.opened.clone(),
            relay.closed.clone(),
        );
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if closed.load(Ordering::Relaxed) {
                    continue;
                }
                let Ok(other) = TcpStream::connect(target) else {
                    continue;
                };
                let serial = opened.fetch_add(1, Ordering::Relaxed);
                pump(&stream, &other, serial, &silent_below, &closed);
                pump(&other, &stream, serial, &silent_below, &closed);
            }
        });
        relay
    }

    /// Every connection that stands goes silent for good; new ones work.
    pub fn silence(&self) {
        let opened = self.opened.load(Ordering::Relaxed);
        self.silent_below.store(opened, Ordering::Relaxed);
    }

    /// Nothing passes any more, in either direction, until it is opened again.
    pub fn cut(&self, cut: bool) {
        self.closed.store(cut, Ordering::Relaxed);
        self.silence();
    }
}

/// Copies one direction of a connection in a thread of its own.
fn pump(
    from: &TcpStream,
    to: &TcpStream,
    serial: u64,
    silent_below: &Arc<AtomicU64>,
    closed: &Arc<AtomicBool>,
) {
    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
        return;
    };
    let (silent_below, closed) = (silent_below.clone(), closed.clone());
    thread::spawn(move || {
        let mut buffer = [0; 16 << 10];
        while let Ok(count) = from.read(&mut buffer) {
            let silent = serial < silent_below.load(Ordering::Relaxed);
            if silent || closed.load(Ordering::Relaxed) {
                // The bytes are lost, and the connection stays open.
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
