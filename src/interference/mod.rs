//! Learns which filling tasks disturb which serving tasks.
//!
//! Tasks of one image behave alike, so the evidence is kept for each pair of
//! images: a serving one and a filling one.

mod baseline;
mod image;
mod pairs;
#[cfg(test)]
mod tests;

pub use baseline::{Baseline, Tail};
pub use image::{ImageKey, Images};
pub use pairs::{Neighbour, Observation, Pairs};
