//! Learns which best-effort tasks disturb which serving tasks.
//!
//! Serves the users' platform; the counterpart for lycheelock's own protocol is
//! `placement::interference`. Tasks of the same image behave alike, so evidence is
//! kept for each pair of a serving image and a best-effort image.

mod baseline;
mod image;
mod pairs;
#[cfg(test)]
mod tests;

pub use baseline::{Baseline, Tail};
pub use image::{ImageKey, Images};
pub use pairs::{Evidence, ImagePairs, Neighbour, Observation};
