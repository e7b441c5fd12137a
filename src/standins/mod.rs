//! Simulated platform and workers, for tests, the demo and the load tool.
//!
//! They speak lycheelock's own protocol, the one of the
//! [`platform`](crate::platform) and [`workers`](crate::workers) modules, and take
//! no scheduling decisions. The workers keep a journal, in which the audit finds
//! violated invariants. The stand-ins for the users' platform belong to its tests,
//! in `tests/fleet`.

pub mod audit;
pub mod platform;
pub mod store;
pub mod tasks;
pub mod worker;
