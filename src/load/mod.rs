//! The load and experiment tool, and the cluster in one process that it drives.
//!
//! Serves lycheelock's own protocol: the cluster runs entry hosts of the
//! [`entry`](crate::entry) module against the platform and workers of
//! [`standins`](crate::standins).

mod callers;
mod cluster;
mod direct;
mod phase;
mod plot;
mod profile;
mod run;
mod slopes;

pub use callers::{CallKind, CallOutcome, Callers, SentRequest, Tally};
pub use cluster::{Cluster, ClusterSettings};
pub use direct::{DirectSettings, compare_direct};
pub use phase::Phase;
pub use profile::Profile;
pub use run::{LoadSettings, run};
pub use slopes::measure as measure_slopes;
