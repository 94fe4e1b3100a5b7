//! Messages, as lines of JSON, that two processes of one gateway exchange. The other process may be an older build,
//! so the serialized names must never change; they occur in this module only.

use crate::decision::HandoverState;
use crate::proxy::control_plane::discovery::endpoint_list::EndpointList;
use serde::{Deserialize, Serialize};

/// State that the predecessor hands over.
#[derive(Serialize, Deserialize)]
pub struct HandoverSnapshot {
    /// The predecessor's latest endpoint list.
    #[serde(rename = "members")]
    pub endpoints: EndpointList,
    /// State of the predecessor's decision module.
    #[serde(rename = "estate")]
    pub decision_state: HandoverState,
    /// What the successor needs for the ledger, if the predecessor has one. Older builds send nothing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ledger: Option<LedgerHandover>,
}

/// What the successor needs for the ledger. A predecessor that sends this awaits [`HandoverMessage::LedgerReply`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerHandover {
    /// Seats of the gateways that take part in the ledger at present, of which the successor has not heard itself.
    #[serde(rename = "present")]
    pub present_seats: Vec<u16>,
}

/// Reply of a ledger replica to a claim of the predecessor.
#[derive(Serialize, Deserialize)]
pub struct LedgerReply {
    /// Seat of the replica.
    pub seat: u16,
    /// The encoded message.
    #[serde(rename = "bytes")]
    pub message: Vec<u8>,
}

/// Message between the two processes.
#[derive(Serialize, Deserialize)]
pub enum HandoverMessage {
    /// First message of the successor: it is about to serve.
    Hello,
    /// Reply of the predecessor, which has stopped accepting new connections.
    #[serde(rename = "Will")]
    Snapshot(Box<HandoverSnapshot>),
    /// Number of client connections that the predecessor still has.
    #[serde(rename = "Held")]
    ClientConnections(usize),
    /// Operator's command, relayed to the other process.
    #[serde(rename = "Maintain")]
    SetMaintenance {
        /// Name of the endpoint.
        #[serde(rename = "id")]
        endpoint: String,
        /// Whether the endpoint is taken out of service rather than put back.
        #[serde(rename = "out")]
        in_maintenance: bool,
    },
    /// Reply of a ledger replica to a claim of the predecessor, passed on by the successor, which has the cluster's socket.
    /// Sent only to a predecessor that awaits it.
    LedgerReply(LedgerReply),
}
