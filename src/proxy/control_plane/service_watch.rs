//! Follows the addresses of discovery, of the counter and of other gateways, which a reload of the configuration changes.

use super::config::ServiceAddresses;
use super::discovery::{self, PollTiming};
use crate::proxy::admin::metrics::Metrics;
use crate::proxy::runtime::messages::{RuntimeEvent, RuntimeSender};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;

/// Watches discovery from the revision that is held from before, and after a change of the services' addresses calls
/// discovery and the counter at the new ones. Another discovery may count its revisions otherwise: there the complete
/// list is fetched.
pub async fn follow_services(
    mut services: watch::Receiver<ServiceAddresses>,
    mut held_revision: Option<u64>,
    timing: PollTiming,
    runtime: RuntimeSender,
    metrics: Rc<Metrics>,
) {
    loop {
        let address = services.borrow_and_update().discovery;
        let watch = discovery::watch(address, held_revision.take(), timing, runtime.clone(), metrics.clone());
        tokio::select! {
            () = watch => return,
            changed = services.changed() => if changed.is_err() {
                return;
            },
        }
        let counter = services.borrow().counter;
        if let Some(address) = counter {
            // Without a runtime the gateway ends.
            let _ = runtime.send(RuntimeEvent::CounterAddressChanged(address)).await;
        }
    }
}

/// Passes on where other gateways listen, when that changes.
pub async fn follow_peers(
    mut services: watch::Receiver<ServiceAddresses>,
    peer_addresses: watch::Sender<BTreeMap<String, SocketAddr>>,
) {
    while services.changed().await.is_ok() {
        let peers = services.borrow_and_update().peers.clone();
        peer_addresses.send_if_modified(|held| {
            let is_changed = *held != peers;
            *held = peers;
            is_changed
        });
    }
    // The receiver takes an end for the end of the gateway.
    std::future::pending::<()>().await;
}
