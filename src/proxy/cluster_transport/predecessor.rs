//! Open claims at the ledger during a replacement of this process. They stay with the predecessor, as their requests do:
//! it goes on sending to the replicas, whose replies arrive at the successor, which has the cluster's socket. The successor
//! passes them on over the hand-over connection.

use super::ClusterTransport;
use crate::cluster::ledger::LedgerMessage;
use crate::cluster::{ClusterNode, Event, LEDGER_TICK_INTERVAL};
use crate::proxy::lifecycle::handover::message::{LedgerHandover, LedgerReply};
use crate::proxy::lifecycle::handover::HandoverMessage;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::interval;
use tracing::{info, warn};

impl ClusterTransport {
    /// Drives the open claims of a process that was replaced, until it is not any more.
    pub(super) async fn serve_open_claims(&self) {
        if !self.lifecycle.is_replaced() {
            return;
        }
        let address = self.listen();
        if let Some(node) = self.node.borrow_mut().as_mut() {
            node.hand_over_seat(address);
        }
        match UdpSocket::bind(any_port(address)).await {
            Ok(socket) => *self.socket.borrow_mut() = Some(Rc::new(socket)),
            Err(error) => warn!(%error, "no socket for the open claims of this process; their leases end"),
        }
        info!("a successor has taken over the seat; this process keeps its open claims");
        let mut lifecycle = self.lifecycle.subscribe();
        let mut tick = interval(Duration::from_micros(LEDGER_TICK_INTERVAL.0));
        loop {
            tokio::select! {
                _ = tick.tick() => self.handle(Event::LedgerTick),
                _ = lifecycle.wait_for(|state| !state.replaced) => return,
            }
        }
    }

    /// Returns what a successor needs for the ledger.
    pub fn to_hand_over(&self) -> LedgerHandover {
        let node = self.node.borrow();
        LedgerHandover { present_seats: node.as_ref().map(ClusterNode::present_replicas).unwrap_or_default() }
    }

    /// Takes over from a predecessor that awaits the replies to its claims. Called before this process joins the cluster.
    pub fn take_over(&self, predecessor: mpsc::Sender<HandoverMessage>, handover: LedgerHandover) {
        *self.predecessor.borrow_mut() = Some(predecessor);
        *self.assumed_present.borrow_mut() = handover.present_seats;
    }

    /// Called when the predecessor has exited.
    pub fn predecessor_exited(&self) {
        *self.predecessor.borrow_mut() = None;
    }

    /// Passes a reply on to the predecessor. If its queue is full, the reply is dropped, as a datagram may be.
    pub(super) fn pass_to_predecessor(&self, seat: u16, message: &LedgerMessage) {
        let predecessor = self.predecessor.borrow();
        let Some(predecessor) = predecessor.as_ref() else { return };
        if let Ok(message) = postcard::to_allocvec(message) {
            let _ = predecessor.try_send(HandoverMessage::LedgerReply(LedgerReply { seat, message }));
        }
    }

    /// Handles a reply that the successor has passed on.
    pub fn on_ledger_reply(&self, reply: &LedgerReply) {
        match postcard::from_bytes(&reply.message) {
            Ok(message) => self.handle(Event::LedgerReply { seat: reply.seat, message }),
            Err(error) => warn!(%error, "invalid ledger reply from the successor; ignoring it"),
        }
    }
}

/// Returns the address of any free port of the same family, from which the peers of `address` can be reached.
fn any_port(address: SocketAddr) -> SocketAddr {
    let any: IpAddr = match address.ip() {
        ip if ip.is_loopback() => ip,
        IpAddr::V4(_) => Ipv4Addr::UNSPECIFIED.into(),
        IpAddr::V6(_) => Ipv6Addr::UNSPECIFIED.into(),
    };
    SocketAddr::new(any, 0)
}
