//! The operators' questionnaire and the configuration generated from it.
//!
//! A questionnaire is read and checked, a configuration is generated, and one
//! compare-and-swap publishes it under the next revision. Entry hosts take a
//! configuration with a higher revision and never a lower one.

mod generated;
mod publish;
mod questionnaire;
#[cfg(test)]
mod tests;

pub use generated::{
    Class, Configuration, Mark, Pattern, Service, Size, Team, Weights, Zone, same_secret,
};
pub use publish::{Current, Publication, PublishStep, Stored, Verdict};
pub use questionnaire::{Checked, Warning};

/// The key of the configuration in the platform's store.
pub const CONFIGURATION_KEY: &str = "configuration";
