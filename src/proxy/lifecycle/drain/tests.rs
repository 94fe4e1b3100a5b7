//! Readiness and health of the process while it starts, drains, is replaced and shuts down.

use super::{Lifecycle, ShutdownPhase, IDLE_TIMEOUT};

#[test]
fn drain_is_reversible_and_shutdown_is_not() {
    let lifecycle = Lifecycle::default();
    assert!(lifecycle.mark_endpoints_known() && !lifecycle.mark_endpoints_known());
    assert!(!lifecycle.is_ready(), "not ready before the process may serve");
    lifecycle.start_serving();
    assert!(lifecycle.is_ready() && lifecycle.is_healthy() && !lifecycle.closes_connections());
    lifecycle.set_operator_drain(true);
    assert!(!lifecycle.is_ready() && !lifecycle.is_healthy() && lifecycle.closes_connections());
    lifecycle.set_operator_drain(false);
    assert!(lifecycle.is_ready() && !lifecycle.closes_connections());
    lifecycle.advance_shutdown(ShutdownPhase::Final);
    lifecycle.advance_shutdown(ShutdownPhase::Stopping);
    assert_eq!(lifecycle.state().shutdown, ShutdownPhase::Final);
    assert!(!lifecycle.is_ready() && !lifecycle.is_healthy() && lifecycle.closes_connections());
}

#[test]
fn replaced_process_stays_healthy_during_shutdown() {
    let lifecycle = Lifecycle::default();
    lifecycle.mark_endpoints_known();
    lifecycle.start_serving();
    lifecycle.set_replaced(true);
    lifecycle.advance_shutdown(ShutdownPhase::Stopping);
    assert!(lifecycle.is_healthy() && !lifecycle.is_ready() && lifecycle.closes_connections());
    assert_eq!(lifecycle.idle_timeout(), IDLE_TIMEOUT, "idle connections keep the ordinary time-out");
}
