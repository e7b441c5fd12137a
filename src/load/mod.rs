//! The load and experiment tool, and the cluster in one process that it drives.

mod callers;
mod cluster;
mod direct;
mod phase;
mod plot;
mod profile;
mod run;
mod slopes;

pub use callers::{CallKind, Callers, Outcome, Sent, Tally};
pub use cluster::{Cluster, ClusterSettings};
pub use direct::{DirectSettings, compare_direct};
pub use phase::Phase;
pub use profile::Profile;
pub use run::{LoadSettings, run};
pub use slopes::measure as measure_slopes;
