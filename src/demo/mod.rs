//! The demo: runs a whole deployment in one process, injects failures and
//! summarizes the results.
//!
//! Like [`load`](crate::load), it serves lycheelock's own protocol and runs entry
//! hosts of the [`entry`](crate::entry) module.

mod run;
mod summary;

pub use run::{DemoSettings, run};
pub use summary::Summary;
