//! The operators' questionnaire and the configuration generated from it.
//!
//! Serves lycheelock's own protocol; on the users' platform
//! [`daemon`](crate::daemon) follows the configuration in that platform's store.
//!
//! A questionnaire is read and checked, a configuration is generated from it, and
//! one compare-and-swap in the store publishes the configuration under the next
//! revision. Entry hosts replace their configuration only by one with a higher
//! revision.

mod generated;
mod publish;
mod questionnaire;
#[cfg(test)]
mod tests;

pub use generated::{
    Class, Configuration, HistoryEntry, Pattern, Service, Size, Team, Weights, Zone, same_secret,
};
pub use publish::{
    CurrentConfiguration, Publication, PublishOutcome, PublishStep, StoredConfiguration,
};
pub use questionnaire::{CheckedQuestionnaire, Warning};

/// The key that holds the configuration in the platform's store.
pub const CONFIGURATION_KEY: &str = "configuration";
