//! The workers that are leaving, by the newest known reading of the host list.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::moment::Moment;

/// The leaving workers as one host reports them to another.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingList {
    /// Age of the sender's reading of the host list, in milliseconds; absent
    /// before its first reading.
    pub age_ms: Option<u64>,
    /// The names of the leaving workers.
    pub names: BTreeSet<String>,
}

/// The newest known list of leaving workers.
#[derive(Debug, Default)]
pub struct LeavingWorkers {
    /// When the host list behind `names` was read; absent before the first reading.
    read_at: Option<Moment>,
    names: BTreeSet<String>,
}

impl LeavingWorkers {
    /// Replaces the leaving workers by those of a host list read at `now`.
    pub fn on_host_list(&mut self, names: BTreeSet<String>, now: Moment) {
        self.read_at = Some(now);
        self.names = names;
    }

    /// Adopts a peer's list if it is newer than the known one; returns whether it was.
    ///
    /// ```
    /// use lycheelock::drain::{LeavingList, LeavingWorkers};
    /// use lycheelock::moment::Moment;
    ///
    /// let mut leaving = LeavingWorkers::default();
    /// let now = Moment::from_micros(5_000_000);
    /// leaving.on_host_list(Default::default(), Moment::from_micros(1_000_000));
    /// let list = LeavingList { age_ms: Some(100), names: ["w1".to_owned()].into() };
    /// assert!(leaving.on_peer_list(&list, now));
    /// assert!(leaving.is_leaving("w1"));
    /// ```
    pub fn on_peer_list(&mut self, list: &LeavingList, now: Moment) -> bool {
        let Some(age) = list.age_ms.map(Duration::from_millis) else {
            return false;
        };
        let now_micros = now.as_micros();
        let read_at = Moment::from_micros(now_micros.saturating_sub(age.as_micros() as u64));
        let newer = self.read_at.is_none_or(|own| own < read_at);
        if newer {
            self.read_at = Some(read_at);
            self.names.clone_from(&list.names);
        }
        newer
    }

    /// Whether a worker is leaving.
    pub fn is_leaving(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// The list that this host sends to its peers.
    pub fn list(&self, now: Moment) -> LeavingList {
        LeavingList {
            age_ms: self.read_at.map(|at| (now - at).as_millis() as u64),
            names: self.names.clone(),
        }
    }
}
