//! JSON form of the endpoint list, as used by discovery, in the configuration file and in hand-over messages. The
//! names on the wire occur in this module only.

use super::endpoint_list::{DiscoveredEndpoint, EndpointList};
use crate::decision::EndpointStatus;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::net::SocketAddr;

/// JSON form of [`EndpointList`].
#[derive(Serialize, Deserialize)]
struct WireEndpointList {
    revision: u64,
    #[serde(default)]
    complete: bool,
    #[serde(rename = "members")]
    endpoints: Vec<WireEndpoint>,
}

/// JSON form of [`DiscoveredEndpoint`].
#[derive(Serialize, Deserialize)]
struct WireEndpoint {
    #[serde(rename = "id")]
    name: String,
    #[serde(rename = "host_port")]
    address: SocketAddr,
    #[serde(rename = "locality", default)]
    zone: String,
    #[serde(rename = "flavor", default)]
    release_label: String,
    #[serde(default)]
    cell: u64,
    #[serde(rename = "phase")]
    status: WireStatus,
    #[serde(rename = "size", default = "default_weight")]
    weight: f64,
    #[serde(rename = "up_since_ms", default)]
    started_at_unix_ms: u64,
}

/// JSON form of [`EndpointStatus`].
#[derive(Serialize, Deserialize)]
enum WireStatus {
    #[serde(rename = "ready")]
    InService,
    #[serde(rename = "draining")]
    Draining,
    #[serde(rename = "gone")]
    Removed,
}

fn default_weight() -> f64 {
    1.0
}

impl<'de> Deserialize<'de> for EndpointList {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<EndpointList, D::Error> {
        WireEndpointList::deserialize(deserializer).map(EndpointList::from)
    }
}

impl Serialize for EndpointList {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        WireEndpointList::from(self.clone()).serialize(serializer)
    }
}

impl From<WireEndpointList> for EndpointList {
    fn from(wire: WireEndpointList) -> EndpointList {
        let WireEndpointList { revision, complete, endpoints } = wire;
        let endpoints = endpoints.into_iter().map(DiscoveredEndpoint::from).collect();
        EndpointList { revision, complete, endpoints }
    }
}

impl From<EndpointList> for WireEndpointList {
    fn from(list: EndpointList) -> WireEndpointList {
        let EndpointList { revision, complete, endpoints } = list;
        let endpoints = endpoints.into_iter().map(WireEndpoint::from).collect();
        WireEndpointList { revision, complete, endpoints }
    }
}

impl From<WireEndpoint> for DiscoveredEndpoint {
    fn from(wire: WireEndpoint) -> DiscoveredEndpoint {
        DiscoveredEndpoint {
            name: wire.name,
            address: wire.address,
            zone: wire.zone,
            release_label: wire.release_label,
            cell: wire.cell,
            status: wire.status.into(),
            weight: wire.weight,
            started_at_unix_ms: wire.started_at_unix_ms,
        }
    }
}

impl From<DiscoveredEndpoint> for WireEndpoint {
    fn from(endpoint: DiscoveredEndpoint) -> WireEndpoint {
        WireEndpoint {
            name: endpoint.name,
            address: endpoint.address,
            zone: endpoint.zone,
            release_label: endpoint.release_label,
            cell: endpoint.cell,
            status: endpoint.status.into(),
            weight: endpoint.weight,
            started_at_unix_ms: endpoint.started_at_unix_ms,
        }
    }
}

impl From<WireStatus> for EndpointStatus {
    fn from(wire: WireStatus) -> EndpointStatus {
        match wire {
            WireStatus::InService => EndpointStatus::InService,
            WireStatus::Draining => EndpointStatus::Draining,
            WireStatus::Removed => EndpointStatus::Removed,
        }
    }
}

impl From<EndpointStatus> for WireStatus {
    fn from(status: EndpointStatus) -> WireStatus {
        match status {
            EndpointStatus::InService => WireStatus::InService,
            EndpointStatus::Draining => WireStatus::Draining,
            EndpointStatus::Removed => WireStatus::Removed,
        }
    }
}
