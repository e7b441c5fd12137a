//! The keys with which the operator asks to evacuate availability zones. Their values
//! have no meaning.

use super::decode::DecodeError;
use super::keys::EVACUATION_PREFIX;

/// The limit on the length of a zone's name, in bytes.
const MAX_ZONE_BYTES: usize = 128;

/// Decodes the name of the zone from the key of a request; `None` for other keys.
///
/// # Errors
///
/// Fails if the key names no valid zone.
///
/// ```
/// use lycheelock::platform::fleet::read_evacuated_zone;
///
/// assert_eq!(read_evacuated_zone("op/evacuate/ie-a").unwrap().unwrap(), "ie-a");
/// assert!(read_evacuated_zone("op/evacuate/").unwrap().is_err());
/// assert!(read_evacuated_zone("op/config").is_none());
/// ```
pub fn read_evacuated_zone(key: &str) -> Option<Result<&str, DecodeError>> {
    let zone = key.strip_prefix(EVACUATION_PREFIX)?;
    let odd = |c: char| c == '/' || c.is_control();
    let valid = !zone.is_empty() && zone.len() <= MAX_ZONE_BYTES && !zone.contains(odd);
    let error = || DecodeError::Zone {
        name: zone.chars().take(MAX_ZONE_BYTES).collect(),
        limit: MAX_ZONE_BYTES,
    };
    Some(valid.then_some(zone).ok_or_else(error))
}
