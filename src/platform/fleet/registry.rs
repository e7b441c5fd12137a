//! The entries under which workers register themselves in the store.

use std::time::Duration;

use serde::Deserialize;

use super::keys::REGISTRY_PREFIX;
use super::store::Item;
use crate::fleet::{Availability, Capacity, Registration};

#[derive(Deserialize)]
struct RegistryRow {
    backend: String,
    address: String,
    zone: String,
    state: StateWord,
    #[serde(default)]
    capacity: CapacityRow,
    #[serde(default)]
    labels: Vec<String>,
    /// When the worker started, in milliseconds since the Unix epoch. Identifies
    /// the worker's incarnation; 0 if it is not given.
    #[serde(default)]
    born: u64,
    /// How long a draining worker stays at least; absent if that is not known.
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
    /// Processor time in thousandths of a core.
    #[serde(default)]
    cpu: f64,
    #[serde(default)]
    mem_mb: f64,
    #[serde(default)]
    gpu: f64,
}

/// Decodes a worker's registry entry.
///
/// # Errors
///
/// Fails if the value is not a registry entry; another program may have written
/// it.
pub fn read_worker(item: &Item) -> Result<Registration, serde_json::Error> {
    let entry: RegistryRow = serde_json::from_slice(&item.value.0)?;
    let id = item.key.strip_prefix(REGISTRY_PREFIX).unwrap_or(&item.key);
    let availability = match entry.state {
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
        availability,
        remaining: entry
            .remaining_ms
            .map(|left| Duration::from_secs_f64(left.max(0.0) / 1000.0)),
    })
}
