//! The handshake in which two entry hosts prove that they have the same key.

use crate::configuration::same_secret;
use crate::ids::HostId;

/// Separates keys derived for this handshake from other uses of the shared key.
const KEY_CONTEXT: &str = "lycheelock 2026-12 entry host handshake";

/// The identity that a process presents to its peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// The id of this process.
    pub host: HostId,
    /// The availability zone of this process.
    pub zone: String,
    /// The key that all entry hosts share.
    pub key: String,
}

/// Returns the proof that `sender` has the key, bound to the nonces of both sides.
///
/// The proof is a keyed BLAKE3 hash. Source: O'Connor, Aumasson, Neves, Wilcox-O'Hearn,
/// "BLAKE3: one function, fast everywhere" (2020).
///
/// ```
/// use lycheelock::ids::HostId;
/// use lycheelock::peers::proof;
///
/// assert_ne!(proof("k", HostId(1), 2, 3), proof("l", HostId(1), 2, 3));
/// ```
pub fn proof(key: &str, sender: HostId, own_nonce: u64, other_nonce: u64) -> String {
    let key = blake3::derive_key(KEY_CONTEXT, key.as_bytes());
    let mut text = Vec::new();
    for number in [sender.0, own_nonce, other_nonce] {
        text.extend_from_slice(&number.to_le_bytes());
    }
    blake3::keyed_hash(&key, &text).to_hex().to_string()
}

/// Verifies the proof of the other side, in constant time.
pub(super) fn verify_proof(
    key: &str,
    sender: HostId,
    their_nonce: u64,
    own_nonce: u64,
    mac: &str,
) -> bool {
    same_secret(&proof(key, sender, their_nonce, own_nonce), mac)
}
