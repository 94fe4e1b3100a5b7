//! Applies changes of the addresses of discovery, the counter and the other gateways after a reload of the
//! configuration.

use super::config::ServiceAddresses;
use super::discovery::{self, PollTiming};
use crate::proxy::admin::metrics::Metrics;
use crate::proxy::runtime::messages::{RuntimeEvent, RuntimeSender};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;

/// Watches discovery, starting from the last known revision, and switches discovery and the counter to their new
/// addresses when these change. At a new address the complete list is fetched, because another discovery may number
/// its revisions differently.
pub async fn follow_services(
    mut services: watch::Receiver<ServiceAddresses>,
    mut last_known_revision: Option<u64>,
    timing: PollTiming,
    runtime: RuntimeSender,
    metrics: Rc<Metrics>,
) {
    loop {
        let address = services.borrow_and_update().discovery;
        let watch =
            discovery::watch(address, last_known_revision.take(), timing, runtime.clone(), metrics.clone());
        tokio::select! {
            () = watch => return,
            changed = services.changed() => if changed.is_err() {
                return;
            },
        }
        let counter = services.borrow().counter;
        if let Some(address) = counter {
            // Sending fails only if the runtime has ended, and then the gateway exits.
            let _ = runtime.send(RuntimeEvent::CounterAddressChanged(address)).await;
        }
    }
}

/// Passes on the addresses of the other gateways when they change.
pub async fn follow_peers(
    mut services: watch::Receiver<ServiceAddresses>,
    peer_addresses: watch::Sender<BTreeMap<String, SocketAddr>>,
) {
    while services.changed().await.is_ok() {
        let peers = services.borrow_and_update().peers.clone();
        peer_addresses.send_if_modified(|current| {
            let is_changed = *current != peers;
            *current = peers;
            is_changed
        });
    }
    // Keeps the sender alive: the receiver takes a closed channel for the end of the gateway.
    std::future::pending::<()>().await;
}
