//! Signals that stop the lab: SIGINT, SIGTERM and SIGHUP.

use tokio::signal::unix::{signal, SignalKind};

/// Waits for a signal to stop. Returns at once if no handler can be installed, because the lab could then not be
/// stopped in order.
pub async fn asked() {
    let kinds = [SignalKind::interrupt(), SignalKind::terminate(), SignalKind::hangup()];
    let [Ok(mut interrupt), Ok(mut terminate), Ok(mut hang_up)] = kinds.map(signal) else { return };
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
        _ = hang_up.recv() => {}
    }
}
