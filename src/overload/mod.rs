//! Bounds what callers can make a process hold: bytes of requests and responses, and
//! connections.
//!
//! The load: callers that send without limits. They send many large bodies at once and
//! stop just short of the end, send headers that never end, open many connections, or
//! do not read responses. Bytes and connections that a caller holds count from before
//! they are read until they are given back, so their sum has a bound whatever callers
//! do; and a connection without progress is closed, so that they are given back.
//!
//! [`Budget`], [`Connections`] and [`Refusals`] decide; time is an argument. [`Gate`]
//! and [`Charge`] share these decisions between tasks; [`server`](crate::server),
//! [`workers`](crate::workers) and [`peers`](crate::peers) carry them out.

mod budget;
mod connections;
mod gate;
mod refusals;
mod settings;
#[cfg(test)]
mod tests;

pub use budget::Budget;
pub use connections::{Admission, Check, ConnectionKey, Connections, Stage};
pub use gate::{Charge, Gate, OpenConnection, write_event};
pub use refusals::{Reason, Refusals};
pub use settings::OverloadSettings;
