//! Shares the decisions between the tasks of a process.

use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use serde::Serialize;
use slotmap::SecondaryMap;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::{
    Admission, Budget, Check, ConnectionKey, Connections, OverloadSettings, Reason, Refusals, Stage,
};
use crate::counters::Reading;
use crate::journal::{self, Entry, Importance};
use crate::moment::Moment;

/// Writes a log line about a number of refusals of one reason.
type WriteLine = fn(Reason, u64);

/// The longest time that a request waits for the bytes of bodies without progress. Their
/// tasks only have to run once.
const ROOM_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Serialize)]
struct RefusedLine {
    event: &'static str,
    reason: &'static str,
    count: u64,
}

impl Entry for RefusedLine {
    fn importance(&self) -> Importance {
        Importance::Essential
    }
}

/// Writes the log event `connection_refused`.
pub fn write_event(reason: Reason, count: u64) {
    journal::line(&RefusedLine {
        event: "connection_refused",
        reason: reason.name(),
        count,
    });
}

#[derive(Debug)]
struct Shared {
    budget: Mutex<Budget>,
    refusals: Mutex<Refusals>,
    write: WriteLine,
    /// Tells requests that wait for bytes that some were given back.
    released: Notify,
}

/// What a connection is told.
#[derive(Debug, Default)]
struct Signal {
    /// It is closed for another connection.
    evicted: Notify,
    /// Its body loses its bytes to another request.
    displaced: Notify,
}

#[derive(Debug, Default)]
struct Signals {
    by_key: SecondaryMap<ConnectionKey, Arc<Signal>>,
}

/// Admits connections and bytes. The gates of one process share its budget; each
/// address has connections of its own.
#[derive(Debug)]
pub struct Gate {
    shared: Arc<Shared>,
    settings: OverloadSettings,
    connections: Mutex<Connections>,
    signals: Mutex<Signals>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder panics")
}

impl Gate {
    /// Creates the gate of a process; `write` writes log lines.
    pub fn new(settings: &OverloadSettings, write: WriteLine) -> Arc<Self> {
        let shared = Arc::new(Shared {
            budget: Mutex::new(Budget::new(settings.budget())),
            refusals: Mutex::default(),
            write,
            released: Notify::new(),
        });
        Self::with_connections(shared, settings, settings.connection_limit())
    }

    /// Creates a gate for another address of the process, with a limit on its
    /// connections.
    pub fn sibling(&self, connections: usize) -> Arc<Self> {
        Self::with_connections(self.shared.clone(), &self.settings, connections)
    }

    fn with_connections(
        shared: Arc<Shared>,
        settings: &OverloadSettings,
        connections: usize,
    ) -> Arc<Self> {
        Arc::new(Self {
            shared,
            settings: settings.clone(),
            connections: Mutex::new(Connections::new(connections, settings.stall)),
            signals: Mutex::default(),
        })
    }

    /// Admits a connection, or returns `None` if it has to be closed.
    pub fn open(self: &Arc<Self>) -> Option<OpenConnection> {
        let admission = lock(&self.connections).open(Moment::now());
        let key = match admission {
            Admission::Open(key) => key,
            Admission::Replace { opened, closed } => {
                self.refuse(Reason::Connections);
                if let Some(signal) = lock(&self.signals).by_key.get(closed) {
                    signal.evicted.notify_one();
                }
                opened
            }
            Admission::Refuse => {
                self.refuse(Reason::Connections);
                return None;
            }
        };
        let signal = Arc::new(Signal::default());
        lock(&self.signals).by_key.insert(key, signal.clone());
        Some(OpenConnection {
            gate: self.clone(),
            key,
            signal,
        })
    }

    /// Creates a charge without bytes.
    pub fn charge(self: &Arc<Self>) -> Charge {
        Charge {
            gate: self.clone(),
            connection: None,
            bytes: AtomicU64::new(0),
        }
    }

    /// Counts a refusal and writes it to the log, at most once a second and reason.
    pub fn refuse(&self, reason: Reason) {
        self.shared.refuse(reason);
    }

    /// Returns all counters, the bytes held and the open connections.
    pub fn read(&self) -> Vec<Reading> {
        let refusals = lock(&self.shared.refusals);
        let counts = Reason::ALL.iter().map(|reason| Reading {
            name: format!("connection_refused.{}", reason.name()),
            value: refusals.total(*reason),
        });
        let gauges = [
            ("request_bytes_held", lock(&self.shared.budget).held()),
            ("connections_open", lock(&self.connections).len() as u64),
        ];
        let gauges = gauges.into_iter().map(|(name, value)| Reading {
            name: name.to_owned(),
            value,
        });
        counts.chain(gauges).collect()
    }
}

impl Shared {
    fn refuse(&self, reason: Reason) {
        let due = lock(&self.refusals).record(reason, Moment::now());
        if let Some(count) = due {
            (self.write)(reason, count);
        }
    }
}

/// The place of an open connection; given back when it is dropped.
#[derive(Debug)]
pub struct OpenConnection {
    gate: Arc<Gate>,
    key: ConnectionKey,
    signal: Arc<Signal>,
}

impl OpenConnection {
    /// The gate that admitted the connection.
    pub const fn gate(&self) -> &Arc<Gate> {
        &self.gate
    }

    /// Records that a stage begins.
    pub fn enter(&self, stage: Stage) {
        lock(&self.gate.connections).enter(self.key, stage, Moment::now());
    }

    /// Records that bytes were received or sent.
    pub fn record_moved(&self, bytes: usize) {
        lock(&self.gate.connections).record_moved(self.key, bytes as u64, Moment::now());
    }

    /// Sets the bytes that the request and response of the connection hold.
    pub fn set_held(&self, bytes: u64) {
        lock(&self.gate.connections).set_held(self.key, bytes);
    }

    /// The longest time without progress of a request or response.
    pub fn stall(&self) -> Duration {
        self.gate.settings.stall
    }

    /// Checks whether the connection stays open; counts the refusal if it does not.
    pub fn check(&self) -> Check {
        let check = lock(&self.gate.connections).check(self.key, Moment::now());
        if let Check::Close(Some(reason)) = check {
            self.gate.refuse(reason);
        }
        check
    }

    /// Waits until the connection has to be closed for another one.
    pub async fn wait_evicted(&self) {
        self.signal.evicted.notified().await;
    }

    /// Waits until the body that is being received has lost its bytes to another request.
    pub async fn wait_displaced(&self) {
        loop {
            self.signal.displaced.notified().await;
            // A signal for a body that ended meanwhile is left over.
            if lock(&self.gate.connections).is_displaced(self.key) {
                return;
            }
        }
    }

    /// Creates a charge without bytes for a request of this connection.
    pub fn charge(&self) -> Charge {
        Charge {
            gate: self.gate.clone(),
            connection: Some(self.key),
            bytes: AtomicU64::new(0),
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        lock(&self.gate.connections).close(self.key);
        lock(&self.gate.signals).by_key.remove(self.key);
    }
}

/// The bytes that a request and its response hold; given back when it is dropped.
#[derive(Debug)]
pub struct Charge {
    gate: Arc<Gate>,
    /// The connection of the request, if it came on one.
    connection: Option<ConnectionKey>,
    bytes: AtomicU64,
}

impl Charge {
    /// Reserves further bytes. Returns false, and counts a refusal, if the budget does
    /// not allow them.
    ///
    /// ```
    /// use lycheelock::overload::{Gate, OverloadSettings, write_event};
    ///
    /// let gate = Gate::new(&OverloadSettings::default(), write_event);
    /// let charge = gate.charge();
    /// assert!(charge.grow(8 << 20));
    /// assert!(!charge.grow(1 << 30));
    /// ```
    pub fn grow(&self, more: u64) -> bool {
        let reserved = self.try_grow(more);
        if !reserved {
            self.gate.shared.refuse(Reason::Budget);
        }
        reserved
    }

    fn try_grow(&self, more: u64) -> bool {
        let mut budget = lock(&self.gate.shared.budget);
        let own = self.bytes.load(Ordering::Relaxed);
        let reserved = budget.reserve(own, more);
        if reserved {
            self.bytes.store(own + more, Ordering::Relaxed);
        }
        reserved
    }

    /// Reserves further bytes like [`grow`](Self::grow). If the budget does not allow them,
    /// bodies that make too little progress lose theirs.
    pub async fn reserve(&self, more: u64) -> bool {
        if self.try_grow(more) {
            return true;
        }
        if self.displace(more) {
            let reserved = async {
                loop {
                    let mut released = pin!(self.gate.shared.released.notified());
                    released.as_mut().enable();
                    if self.try_grow(more) {
                        return;
                    }
                    released.await;
                }
            };
            if timeout(ROOM_TIMEOUT, reserved).await.is_ok() {
                return true;
            }
        }
        self.gate.refuse(Reason::Budget);
        false
    }

    /// Takes what a request lacks from bodies without progress. Returns whether that is
    /// enough.
    fn displace(&self, more: u64) -> bool {
        let missing = lock(&self.gate.shared.budget).missing(self.bytes(), more);
        let Some(missing) = missing else {
            return false;
        };
        let displaced =
            lock(&self.gate.connections).displace(self.connection, missing, Moment::now());
        let signals = lock(&self.gate.signals);
        for signal in displaced.iter().filter_map(|key| signals.by_key.get(*key)) {
            signal.displaced.notify_one();
        }
        !displaced.is_empty() || missing == 0
    }

    /// Gives back the bytes beyond `bytes`.
    pub fn shrink(&self, bytes: u64) {
        let mut budget = lock(&self.gate.shared.budget);
        let own = self.bytes.load(Ordering::Relaxed);
        if bytes < own {
            budget.release(own - bytes);
            self.bytes.store(bytes, Ordering::Relaxed);
            drop(budget);
            self.gate.shared.released.notify_waiters();
        }
    }

    /// Reserves or gives back bytes, so that `bytes` are reserved. Returns false, and
    /// counts a refusal, if the budget does not allow that.
    pub fn resize(&self, bytes: u64) -> bool {
        let own = self.bytes();
        self.shrink(bytes);
        bytes <= own || self.grow(bytes - own)
    }

    /// Resizes like [`resize`](Self::resize), and reserves like [`reserve`](Self::reserve).
    pub async fn fit(&self, bytes: u64) -> bool {
        let own = self.bytes();
        self.shrink(bytes);
        bytes <= own || self.reserve(bytes - own).await
    }

    /// The bytes that are reserved.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.shrink(0);
    }
}
