//! The commands of operators, as calls to an entry host.

mod client;
mod commands;

pub use client::EntryClient;
pub use commands::{Target, account, apply, cancel, check, drain, job, status, submit};
