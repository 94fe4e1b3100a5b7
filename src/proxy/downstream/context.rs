//! State shared by all client connections.

use super::request_head::RequestRules;
use crate::decision::{Micros, RequestId};
use crate::proxy::admin::metrics::Metrics;
use crate::proxy::cluster_transport::ClusterTransport;
use crate::proxy::lifecycle::drain::Lifecycle;
use crate::proxy::lifecycle::permits::Permits;
use crate::proxy::memory_budget::MemoryBudget;
use crate::proxy::runtime::clock::Clock;
use crate::proxy::runtime::messages::RuntimeSender;
use std::cell::Cell;
use std::rc::Rc;

/// Generates the request ids of this process, from 1.
#[derive(Debug, Default)]
pub struct RequestIds(Cell<u64>);

impl RequestIds {
    /// Returns the next id.
    pub fn next(&self) -> RequestId {
        self.0.set(self.0.get() + 1);
        RequestId(self.0.get())
    }
}

/// State shared by all client connections.
pub struct ProxyContext {
    /// Sends events to the runtime.
    pub runtime: RuntimeSender,
    /// Clock of the decision module.
    pub clock: Clock,
    /// Whether the process serves, drains or shuts down.
    pub lifecycle: Rc<Lifecycle>,
    /// Counters for operators.
    pub metrics: Rc<Metrics>,
    /// Permits of client connections, one for each.
    pub permits: Rc<Permits>,
    /// Memory budget for buffered messages and connection buffers.
    pub memory: Rc<MemoryBudget>,
    /// Rules that request heads are validated against.
    pub rules: RequestRules,
    /// Source of request ids.
    pub request_ids: RequestIds,
    /// How long before its deadline a request must have its response.
    pub response_margin: Micros,
    /// Cluster transport, if the cluster keeps a ledger.
    pub cluster: Option<Rc<ClusterTransport>>,
}
