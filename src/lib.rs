//! A scheduler for hosts shared by latency-critical services and batch jobs.
//!
//! Each folder has one responsibility, with its own state, messages and tests.
//! Code that decides takes an event and the time and returns the actions to take;
//! the folders `front`, `workers`, `platform` and `peers` carry them out over the
//! network.
//!
//! Some folders serve lycheelock's own protocol and have a counterpart that serves
//! the users' platform: `entry` and `daemon`, `ownership` and `shards`, `jobs` and
//! `schedule` with `workflow`, `placement` and `fleet` with `interference`.

pub mod admission;
pub mod bounded;
pub mod bytes;
pub mod configuration;
pub mod counters;
pub mod daemon;
#[cfg(feature = "standins")]
pub mod demo;
pub mod dispatch;
pub mod drain;
pub mod entry;
pub mod error;
pub mod evacuation;
pub mod fleet;
pub mod front;
pub mod headroom;
pub mod ids;
pub mod interference;
pub mod jobs;
pub mod journal;
pub mod kind;
pub mod latency;
#[cfg(feature = "standins")]
pub mod load;
pub mod locality;
pub mod logs;
pub mod moment;
pub mod operator;
pub mod overload;
pub mod ownership;
pub mod peers;
pub mod placement;
pub mod platform;
pub mod routing;
pub mod schedule;
pub mod server;
pub mod settings;
pub mod shards;
#[cfg(feature = "standins")]
pub mod standins;
pub mod table;
pub mod workers;
pub mod workflow;

pub use error::{Error, Result};
