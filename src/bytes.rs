//! Serialization of byte strings in messages.
//!
//! Binary formats get a byte string, text formats get hexadecimal digits. Written by
//! hand because derived code would write a list of numbers.

use std::fmt;

use serde::de::{Error, Visitor};
use serde::{Deserializer, Serializer};

const HEX_DIGITS: &[u8; 16] = b"0123456789abcdef";

/// Serializes bytes, for use in `#[serde(with = "crate::bytes")]`.
///
/// # Errors
///
/// Returns the error of the serializer.
pub fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    if serializer.is_human_readable() {
        return serializer.serialize_str(&to_hex(bytes));
    }
    serializer.serialize_bytes(bytes)
}

/// Deserializes bytes.
///
/// # Errors
///
/// Fails if the value is neither a byte string nor hexadecimal digits.
pub fn deserialize<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: From<Vec<u8>>,
{
    let bytes = match deserializer.is_human_readable() {
        true => deserializer.deserialize_str(BytesVisitor),
        false => deserializer.deserialize_byte_buf(BytesVisitor),
    };
    bytes.map(T::from)
}

struct BytesVisitor;

impl Visitor<'_> for BytesVisitor {
    type Value = Vec<u8>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a byte string or hexadecimal digits")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Vec<u8>, E> {
        from_hex(text)
            .ok_or_else(|| E::custom("invalid hexadecimal digits or an odd number of them"))
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
        Ok(bytes.to_vec())
    }

    fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<Vec<u8>, E> {
        Ok(bytes)
    }
}

/// Encodes bytes as lowercase hexadecimal digits, two for each byte.
///
/// ```
/// assert_eq!(lycheelock::bytes::to_hex(&[1, 0xab]), "01ab");
/// ```
pub fn to_hex(bytes: &[u8]) -> String {
    let digits = bytes.iter().flat_map(|byte| {
        [
            HEX_DIGITS[usize::from(byte >> 4)],
            HEX_DIGITS[usize::from(byte & 15)],
        ]
    });
    digits.map(char::from).collect()
}

/// Decodes hexadecimal digits; returns `None` if they are invalid or their number
/// is odd.
///
/// ```
/// assert_eq!(lycheelock::bytes::from_hex("01ab"), Some(vec![1, 0xab]));
/// assert_eq!(lycheelock::bytes::from_hex("0"), None);
/// ```
pub fn from_hex(text: &str) -> Option<Vec<u8>> {
    let digit = |byte: &u8| (*byte as char).to_digit(16);
    let pairs = text.as_bytes().chunks(2);
    pairs
        .map(|pair| match pair {
            [high, low] => Some((digit(high)? * 16 + digit(low)?) as u8),
            _ => None,
        })
        .collect()
}
