//! The load and experiment tool, and the cluster in one process that it drives.

mod callers;
mod cluster;

pub use callers::{CallKind, Callers, Outcome, Sent, Tally};
pub use cluster::{Cluster, ClusterSettings};
