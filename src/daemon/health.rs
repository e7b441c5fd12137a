//! Tracks whether the store answers this host.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::Node;
use super::lines::DaemonLine;
use crate::journal;
use crate::moment::Moment;
use crate::platform::fleet::StoreFault;
use crate::shards::LAYOUT_KEY;

/// The number of consecutive refused calls after which the store counts as lost.
/// A single unanswered call is enough if no other answer arrived after its
/// deadline.
const MAX_REFUSALS: u32 = 3;
/// The time after which an attempt to reach a lost store fails.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// The delay between two attempts to reach a lost store.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct State {
    /// The number of failed calls since the last answer.
    failures: u32,
    /// When the last answer arrived.
    last_answer: Moment,
    /// When the store was lost; absent while it answers.
    lost_since: Option<Moment>,
}

/// Tracks whether the store answers this host, from the results of all calls.
#[derive(Debug)]
pub(super) struct StoreHealth {
    state: Mutex<State>,
    /// The number of times the store was lost.
    lost: watch::Sender<u64>,
    /// The number of times the store answered again after it was lost.
    regained: watch::Sender<u64>,
}

impl Default for StoreHealth {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            lost: watch::Sender::new(0),
            regained: watch::Sender::new(0),
        }
    }
}

impl StoreHealth {
    /// Returns true unless the store counts as lost.
    pub fn is_good(&self) -> bool {
        self.state().lost_since.is_none()
    }

    /// Waits until the store answers again after it was lost. The caller should
    /// repeat its pending call then: calls sent earlier may be on dead connections.
    pub async fn wait_regained(&self) {
        let mut regained = self.regained.subscribe();
        // `changed` cannot fail: the sender is a field of `self`.
        let _ = regained.changed().await;
    }

    /// Waits until the store is lost; returns immediately if it already is.
    async fn wait_lost(&self) {
        let mut lost = self.lost.subscribe();
        if self.is_good() {
            // `changed` cannot fail: the sender is a field of `self`.
            let _ = lost.changed().await;
        }
    }

    /// Makes a call, records whether it was answered, and returns its result.
    /// The store is expected to answer the call after `wait` at the latest.
    pub async fn record<T>(
        &self,
        wait: Duration,
        call: impl Future<Output = Result<T, StoreFault>>,
    ) -> Result<T, StoreFault> {
        let due = Moment::now() + wait;
        let result = call.await;
        match &result {
            Ok(_) => self.record_answer(),
            Err(fault) => self.record_failure(due, fault),
        }
        result
    }

    fn record_answer(&self) {
        let mut state = self.state();
        state.failures = 0;
        state.last_answer = Moment::now();
        let Some(lost) = state.lost_since.take() else {
            return;
        };
        self.regained.send_modify(|count| *count += 1);
        journal::line(&DaemonLine::DependencyRegained {
            dependency: "store",
            after_ms: (Moment::now() - lost).as_millis() as u64,
        });
    }

    /// Counts a failed call, unless another answer arrived after this one was
    /// due: the store then answers, though not on every connection.
    fn record_failure(&self, due: Moment, fault: &StoreFault) {
        let mut state = self.state();
        if due < state.last_answer {
            return;
        }
        state.failures += 1;
        let tolerated = fault.had_no_effect() && state.failures < MAX_REFUSALS;
        if tolerated || state.lost_since.is_some() {
            return;
        }
        state.lost_since = Some(Moment::now());
        self.lost.send_modify(|count| *count += 1);
        journal::line(&DaemonLine::DependencyLost {
            dependency: "store",
            reason: fault.to_string(),
        });
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

/// Probes the store periodically while it is lost, for the lifetime of the
/// process.
pub(super) async fn probe(node: Arc<Node>) {
    loop {
        node.health.wait_lost().await;
        // `Node::call` records an answer; a failed probe changes nothing.
        let _ = timeout(PROBE_TIMEOUT, node.call(node.store.get(LAYOUT_KEY))).await;
        sleep(PROBE_INTERVAL).await;
    }
}
