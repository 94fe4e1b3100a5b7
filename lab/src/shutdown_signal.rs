//! Word that the lab has to stop: Ctrl-C, SIGTERM, or the end of its terminal.

use tokio::signal::unix::{signal, SignalKind};

/// Waits for it. Where signals can't be waited for there is no way to stop in order, so it is time at once.
pub async fn asked() {
    let kinds = [SignalKind::interrupt(), SignalKind::terminate(), SignalKind::hangup()];
    let [Ok(mut interrupt), Ok(mut terminate), Ok(mut hang_up)] = kinds.map(signal) else { return };
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
        _ = hang_up.recv() => {}
    }
}
