//! Keys of the store that belong to the operator and to the workers.

/// The newest configuration.
pub const CONFIGURATION_KEY: &str = "op/config";
/// All that the operator writes.
pub const OPERATOR_PREFIX: &str = "op/";
/// The workers' descriptions of themselves, each under the worker's id.
pub const REGISTRY_PREFIX: &str = "servers/";
