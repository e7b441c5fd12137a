//! The signals that begin a planned stop.

use tokio::signal::unix::{SignalKind, signal};

/// Waits for a signal to stop: an interrupt or a termination.
pub async fn wait_for_stop() {
    let (Ok(mut interrupt), Ok(mut terminate)) = (
        signal(SignalKind::interrupt()),
        signal(SignalKind::terminate()),
    ) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
}
