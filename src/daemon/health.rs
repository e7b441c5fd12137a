//! Whether the store answers this host.

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

/// How many calls in a row the store must refuse before it counts as lost. One
/// that it does not answer is enough: nothing was answered since it was due.
const REFUSALS: u32 = 3;
/// A try to reach a lost store fails after this time.
const PROBE_SILENCE: Duration = Duration::from_millis(500);
/// Between two tries to reach a lost store.
const PROBE_PAUSE: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct State {
    failures: u32,
    /// When the last answer arrived.
    answered: Moment,
    lost: Option<Moment>,
}

/// Whether the store answers this host.
#[derive(Debug)]
pub(super) struct StoreHealth {
    state: Mutex<State>,
    /// How often the store was lost.
    lost: watch::Sender<u64>,
    /// How often it was regained.
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
    /// Whether the store answers.
    pub fn is_good(&self) -> bool {
        self.state().lost.is_none()
    }

    /// Waits until the store answers again after it was lost. Calls that were
    /// sent before may be on connections that stay silent.
    pub async fn wait_regained(&self) {
        let mut regained = self.regained.subscribe();
        // The sender lives as long as this.
        let _ = regained.changed().await;
    }

    /// Waits until the store is lost, if it is not.
    async fn wait_lost(&self) {
        let mut lost = self.lost.subscribe();
        if self.is_good() {
            // The sender lives as long as this.
            let _ = lost.changed().await;
        }
    }

    /// Makes a call that the store answers within `wait` at the latest, notes
    /// whether it was answered and hands its result on.
    pub async fn note<T>(
        &self,
        wait: Duration,
        call: impl Future<Output = Result<T, StoreFault>>,
    ) -> Result<T, StoreFault> {
        let due = Moment::now() + wait;
        let result = call.await;
        match &result {
            Ok(_) => self.note_answer(),
            Err(fault) => self.note_failure(due, fault),
        }
        result
    }

    fn note_answer(&self) {
        let mut state = self.state();
        state.failures = 0;
        state.answered = Moment::now();
        let Some(lost) = state.lost.take() else {
            return;
        };
        self.regained.send_modify(|count| *count += 1);
        journal::line(&DaemonLine::DependencyRegained {
            dependency: "store",
            after_ms: (Moment::now() - lost).as_millis() as u64,
        });
    }

    /// An answer that arrived after this one was due shows that the store
    /// answers, though not on every connection.
    fn note_failure(&self, due: Moment, fault: &StoreFault) {
        let mut state = self.state();
        if due < state.answered {
            return;
        }
        state.failures += 1;
        let refused = fault.is_certain() && state.failures < REFUSALS;
        if refused || state.lost.is_some() {
            return;
        }
        state.lost = Some(Moment::now());
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

/// Tries to reach the store again and again while it is lost, as long as the
/// process lives.
pub(super) async fn probe(node: Arc<Node>) {
    loop {
        node.health.wait_lost().await;
        // Any answer counts; a failure changes nothing.
        let _ = timeout(PROBE_SILENCE, node.call(node.store.get(LAYOUT_KEY))).await;
        sleep(PROBE_PAUSE).await;
    }
}
