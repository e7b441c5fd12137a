//! The entries under which workers register themselves in the store.

use serde::Deserialize;

use super::decode::{DecodeError, MAX_SPAN, address, amount, span};
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
    /// How much longer the worker is slow after its start.
    #[serde(default)]
    cold_left_ms: f64,
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
pub fn read_worker(item: &Item) -> Result<Registration, DecodeError> {
    let entry: RegistryRow = serde_json::from_slice(&item.value.0)?;
    let id = item.key.strip_prefix(REGISTRY_PREFIX).unwrap_or(&item.key);
    let availability = match entry.state {
        StateWord::Ready => Availability::Ready,
        StateWord::Draining => Availability::Draining,
    };
    let remaining = entry.remaining_ms;
    let remaining = remaining.map(|left| span("remaining_ms", left, MAX_SPAN));
    Ok(Registration {
        id: id.to_owned(),
        incarnation: entry.born,
        pool: entry.backend,
        address: address("address", entry.address)?,
        zone: entry.zone,
        labels: entry.labels,
        capacity: Capacity {
            millicores: amount("capacity.cpu", entry.capacity.cpu)?,
            memory: amount("capacity.mem_mb", entry.capacity.mem_mb)?,
            accelerators: amount("capacity.gpu", entry.capacity.gpu)?,
        },
        availability,
        remaining: remaining.transpose()?,
        cold_left: span("cold_left_ms", entry.cold_left_ms, MAX_SPAN)?,
    })
}
