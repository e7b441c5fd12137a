//! Ports for the servers of a test.

use std::net::{SocketAddr, TcpListener};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU16, Ordering};

/// Ports that are not handed out to outgoing connections, in ranges of which a
/// process of tests holds one by its first port.
const FIRST_PORT: u16 = 10_000;
const RANGE: u16 = 400;
const RANGES: u16 = 55;

/// A port that no other process of tests uses.
pub fn free_address() -> SocketAddr {
    static HELD: OnceLock<TcpListener> = OnceLock::new();
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let held = HELD.get_or_init(hold_range);
    let first = held.local_addr().expect("a bound address").port();
    loop {
        let offset = 1 + NEXT.fetch_add(1, Ordering::Relaxed) % (RANGE - 1);
        let address = SocketAddr::from(([127, 0, 0, 1], first + offset));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

fn hold_range() -> TcpListener {
    let mut ports = (0..RANGES).map(|range| FIRST_PORT + range * RANGE);
    let held = ports.find_map(|port| TcpListener::bind(("127.0.0.1", port)).ok());
    held.expect("a range of ports is free")
}
