//! The commands of operators and submitters, as HTTP requests to an entry host.

mod client;
mod commands;

pub use client::EntryClient;
pub use commands::{Target, account, apply, cancel, check, drain, job, status, submit};
