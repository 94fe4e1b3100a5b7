//! The lines of JSON that two processes of one gateway exchange. Nothing behind this module knows their names; an older
//! build may be at the other end, so they never change.

use crate::decision::HandoverState;
use crate::proxy::control_plane::discovery::endpoint_list::EndpointList;
use serde::{Deserialize, Serialize};

/// What the predecessor hands over.
#[derive(Serialize, Deserialize)]
pub struct HandoverSnapshot {
    /// The endpoint list as it last had it.
    #[serde(rename = "members")]
    pub endpoints: EndpointList,
    /// What the decision module must know.
    #[serde(rename = "estate")]
    pub decision_state: HandoverState,
}

/// What the two processes send each other.
#[derive(Serialize, Deserialize)]
pub enum HandoverMessage {
    /// The successor's first: it is about to serve.
    Hello,
    /// The predecessor's reply. From here on it accepts no new connections.
    #[serde(rename = "Will")]
    Snapshot(Box<HandoverSnapshot>),
    /// The predecessor's: so many connections of clients it still has.
    #[serde(rename = "Held")]
    ClientConnections(usize),
    /// An operator's order to the other process.
    #[serde(rename = "Maintain")]
    SetMaintenance {
        /// The endpoint's name.
        #[serde(rename = "id")]
        endpoint: String,
        /// Out of service, or back.
        #[serde(rename = "out")]
        in_maintenance: bool,
    },
}
