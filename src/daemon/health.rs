//! Whether the store answers this host.

use std::sync::Mutex;

use tokio::sync::watch;

use super::lines::DaemonLine;
use crate::journal;
use crate::moment::Moment;
use crate::platform::fleet::StoreFault;

/// How many calls in a row the store must refuse before it counts as lost. One
/// that it does not answer is enough: nothing sent later was answered either.
const REFUSALS: u32 = 3;

#[derive(Debug, Default)]
struct State {
    failures: u32,
    /// When the last call that was answered was sent.
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

    /// Waits until the store is lost.
    pub async fn wait_lost(&self) {
        let mut lost = self.lost.subscribe();
        // The sender lives as long as this.
        let _ = lost.changed().await;
    }

    /// Makes a call, notes whether it was answered and hands its result on.
    pub async fn note<T>(
        &self,
        call: impl Future<Output = Result<T, StoreFault>>,
    ) -> Result<T, StoreFault> {
        let sent = Moment::now();
        let result = call.await;
        match &result {
            Ok(_) => self.note_answer(sent),
            Err(fault) => self.note_failure(sent, fault),
        }
        result
    }

    fn note_answer(&self, sent: Moment) {
        let mut state = self.state();
        state.failures = 0;
        state.answered = state.answered.max(sent);
        let Some(lost) = state.lost.take() else {
            return;
        };
        self.regained.send_modify(|count| *count += 1);
        journal::line(&DaemonLine::DependencyRegained {
            dependency: "store",
            after_ms: (Moment::now() - lost).as_millis() as u64,
        });
    }

    fn note_failure(&self, sent: Moment, fault: &StoreFault) {
        let mut state = self.state();
        if sent < state.answered {
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
