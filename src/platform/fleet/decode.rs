//! The errors for values that cannot be decoded, and the checks that several formats
//! share.

use std::net::SocketAddr;
use std::time::Duration;

use thiserror::Error;

/// The limit on a span of time.
pub(super) const MAX_SPAN: Duration = Duration::from_hours(366 * 24);
/// The limit on an amount of a resource: 100,000 cores in thousandths, or as many MB.
pub(super) const MAX_AMOUNT: u32 = 100_000_000;

/// Why a value cannot be decoded.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The value is not JSON, or its fields have other names or types.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A span of time is longer than allowed.
    #[error("{field} of {millis:e} ms: give at most {} ms", limit.as_millis())]
    Span {
        /// The name of the field.
        field: &'static str,
        /// The value of the field, in milliseconds.
        millis: f64,
        /// The longest span that the field may have.
        limit: Duration,
    },
    /// A number is larger than allowed.
    #[error("{field} of {value:e}: give at most {limit}")]
    Number {
        /// The name of the field.
        field: &'static str,
        /// The value of the field.
        value: f64,
        /// The largest value that the field may have.
        limit: f64,
    },
    /// A text is not the name of an availability zone.
    #[error(
        "the zone {name:?}: give a name of 1 to {limit} bytes without '/' and control characters"
    )]
    Zone {
        /// The text.
        name: String,
        /// The limit on the length of a name, in bytes.
        limit: usize,
    },
    /// An address cannot be connected to.
    #[error("{field} {value:?}: give an IP address and a port such as 10.0.0.1:80")]
    Address {
        /// The name of the field.
        field: &'static str,
        /// The value of the field.
        value: String,
    },
}

/// Decodes a span of time in milliseconds of at most `limit`; a negative one becomes
/// zero.
pub(super) fn span(
    field: &'static str,
    millis: f64,
    limit: Duration,
) -> Result<Duration, DecodeError> {
    if millis > limit.as_millis() as f64 {
        return Err(DecodeError::Span {
            field,
            millis,
            limit,
        });
    }
    let millis = millis.max(0.0);
    let fraction = Duration::from_secs_f64(millis.fract() / 1000.0);
    Ok(Duration::from_millis(millis as u64) + fraction)
}

/// Decodes a number of at most `limit`; a negative one becomes zero.
pub(super) fn number(field: &'static str, value: f64, limit: f64) -> Result<f64, DecodeError> {
    if value > limit {
        return Err(DecodeError::Number {
            field,
            value,
            limit,
        });
    }
    Ok(value.max(0.0))
}

/// Decodes an amount of a resource; a negative one becomes zero.
pub(super) fn amount(field: &'static str, value: f64) -> Result<u32, DecodeError> {
    number(field, value, f64::from(MAX_AMOUNT)).map(|value| value as u32)
}

/// Decodes the address of a listening process.
pub(super) fn address(field: &'static str, value: String) -> Result<SocketAddr, DecodeError> {
    let can_listen = |address: &SocketAddr| {
        let ip = address.ip();
        address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast()
    };
    let address = value.parse().ok().filter(can_listen);
    address.ok_or(DecodeError::Address { field, value })
}
