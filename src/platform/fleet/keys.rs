//! The store keys that the operator and the workers write.

/// The key of the operator's configuration.
pub const CONFIGURATION_KEY: &str = "op/config";
/// The prefix of all keys that the operator writes.
pub const OPERATOR_PREFIX: &str = "op/";
/// The prefix of the requests to evacuate a zone; the name of the zone follows.
pub const EVACUATION_PREFIX: &str = "op/evacuate/";
/// The prefix of the worker registry; the id of the worker follows.
pub const REGISTRY_PREFIX: &str = "servers/";
