//! The signals that start a planned stop.

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGINT or SIGTERM. Never returns if no handler can be installed.
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
