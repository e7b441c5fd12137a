//! What workers write about themselves in the store.

use std::time::Duration;

use serde::Deserialize;

use super::keys::REGISTRY_PREFIX;
use super::store::Item;
use crate::fleet::{Availability, Capacity, Registration};

#[derive(Deserialize)]
struct Entry {
    backend: String,
    address: String,
    zone: String,
    state: StateWord,
    #[serde(default)]
    capacity: CapacityRow,
    #[serde(default)]
    labels: Vec<String>,
    /// Unix milliseconds of the worker's start; tells one life from the next.
    #[serde(default)]
    born: u64,
    #[serde(default)]
    remaining_ms: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum StateWord {
    Ready,
    Draining,
}

#[derive(Default, Deserialize)]
struct CapacityRow {
    /// Thousandths of a core.
    #[serde(default)]
    cpu: f64,
    #[serde(default)]
    mem_mb: f64,
    #[serde(default)]
    gpu: f64,
}

/// Reads a worker's entry.
///
/// # Errors
///
/// Fails when another writer left something there that is no worker's entry.
pub fn read_worker(item: &Item) -> Result<Registration, serde_json::Error> {
    let entry: Entry = serde_json::from_slice(&item.value.0)?;
    let id = item.key.strip_prefix(REGISTRY_PREFIX).unwrap_or(&item.key);
    let standing = match entry.state {
        StateWord::Ready => Availability::Ready,
        StateWord::Draining => Availability::Draining,
    };
    Ok(Registration {
        id: id.to_owned(),
        incarnation: entry.born,
        pool: entry.backend,
        address: entry.address,
        zone: entry.zone,
        labels: entry.labels,
        capacity: Capacity {
            millicores: entry.capacity.cpu.max(0.0) as u32,
            memory: entry.capacity.mem_mb.max(0.0) as u32,
            accelerators: entry.capacity.gpu.max(0.0) as u32,
        },
        availability: standing,
        remaining: entry
            .remaining_ms
            .map(|left| Duration::from_secs_f64(left.max(0.0) / 1000.0)),
    })
}
