//! The connections between entry hosts: WebSocket frames in CBOR.
//!
//! Each call carries an id that its answer repeats; ids are never used twice
//! on a connection. A connection without any frame for a while is replaced.

mod frame;
mod handshake;
mod link;
#[cfg(test)]
mod tests;

pub use frame::{Frame, KeyCall, PeerAnswer, PeerCall, ServeCall};
pub use handshake::{Identity, proof};
pub use link::{CallFailure, Handler, Links, dial, listen};
