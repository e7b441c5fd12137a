//! Whether the store answers this host.

use std::sync::Mutex;

use super::lines::DaemonLine;
use crate::journal;
use crate::moment::Moment;
use crate::platform::fleet::StoreFault;

/// How many calls in a row must fail before the store counts as lost.
const LOST_AFTER: u32 = 3;

#[derive(Debug, Default)]
struct State {
    failures: u32,
    lost: Option<Moment>,
}

/// Whether the store answers this host.
#[derive(Debug, Default)]
pub(super) struct StoreHealth(Mutex<State>);

impl StoreHealth {
    /// Whether the store answers.
    pub fn is_good(&self) -> bool {
        self.0.lock().expect("no holder panics").lost.is_none()
    }

    /// Notes the result of a call and hands it on.
    pub fn note<T>(&self, result: Result<T, StoreFault>) -> Result<T, StoreFault> {
        let mut state = self.0.lock().expect("no holder panics");
        match &result {
            Ok(_) => {
                state.failures = 0;
                if let Some(lost) = state.lost.take() {
                    journal::line(&DaemonLine::DependencyRegained {
                        dependency: "store",
                        after_ms: (Moment::now() - lost).as_millis() as u64,
                    });
                }
            }
            Err(fault) => {
                state.failures += 1;
                if state.failures >= LOST_AFTER && state.lost.is_none() {
                    state.lost = Some(Moment::now());
                    journal::line(&DaemonLine::DependencyLost {
                        dependency: "store",
                        reason: fault.to_string(),
                    });
                }
            }
        }
        result
    }
}
