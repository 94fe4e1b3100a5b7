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
}
