//! How two entry hosts prove to each other that they share a key.

use crate::configuration::same_secret;
use crate::ids::HostId;

const CONTEXT: &str = "lycheelock 2026-12 entry host handshake";

/// Who a process is towards its peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// The process.
    pub host: HostId,
    /// Its availability zone.
    pub zone: String,
    /// The shared key.
    pub key: String,
}

/// The proof of `sender` for the nonces of both sides.
///
/// A keyed BLAKE3 hash. Source: O'Connor, Aumasson, Neves, Wilcox-O'Hearn,
/// "BLAKE3: one function, fast everywhere" (2020).
///
/// ```
/// use lycheelock::ids::HostId;
/// use lycheelock::peers::proof;
///
/// assert_ne!(proof("k", HostId(1), 2, 3), proof("l", HostId(1), 2, 3));
/// ```
pub fn proof(key: &str, sender: HostId, own_nonce: u64, other_nonce: u64) -> String {
    let key = blake3::derive_key(CONTEXT, key.as_bytes());
    let mut text = Vec::new();
    for number in [sender.0, own_nonce, other_nonce] {
        text.extend_from_slice(&number.to_le_bytes());
    }
    blake3::keyed_hash(&key, &text).to_hex().to_string()
}

/// Checks the proof of the other side in constant time.
pub(super) fn accepts(
    key: &str,
    sender: HostId,
    their_nonce: u64,
    own_nonce: u64,
    mac: &str,
) -> bool {
    same_secret(&proof(key, sender, their_nonce, own_nonce), mac)
}
