//! The connections between entry hosts: CBOR frames over WebSocket.
//!
//! Part of lycheelock's own protocol; it has no counterpart on the users'
//! platform. Each call carries an id that its answer repeats; an id is never
//! reused on a connection. A connection is closed when nothing has arrived on
//! it within the idle timeout, and then dialled again.

mod frame;
mod handshake;
mod link;
#[cfg(test)]
mod tests;
mod unproved;

pub use frame::{Frame, IdempotencyKey, PeerAnswer, PeerCall, ServeCall};
pub use handshake::{Identity, proof};
pub use link::{CallAnswer, CallFailure, Handler, Links, dial, listen};
