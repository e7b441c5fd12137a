//! The commands of operators and submitters, as HTTP requests to an entry host.
//!
//! Serves lycheelock's own protocol; operators of the users' platform write to that
//! platform's store instead.

mod client;
mod commands;

pub use client::EntryClient;
pub use commands::{Target, account, apply, cancel, check, drain, evacuate, job, status, submit};
