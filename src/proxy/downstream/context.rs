//! What all connections of clients share.

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

/// Numbers the requests of this process, from 1.
#[derive(Debug, Default)]
pub struct RequestIds(Cell<u64>);

impl RequestIds {
    /// The next number.
    pub fn next(&self) -> RequestId {
        self.0.set(self.0.get() + 1);
        RequestId(self.0.get())
    }
}

/// What all connections of clients share.
pub struct ProxyContext {
    /// Events to the runtime.
    pub runtime: RuntimeSender,
    /// The decision module's clock.
    pub clock: Clock,
    /// Whether the gateway serves, drains or ends.
    pub lifecycle: Rc<Lifecycle>,
    /// The counters for operators.
    pub metrics: Rc<Metrics>,
    /// A permit for each connection.
    pub permits: Rc<Permits>,
    /// The memory for buffered messages, and for buffers.
    pub memory: Rc<MemoryBudget>,
    /// What heads of requests are checked against.
    pub rules: RequestRules,
    /// The numbers of requests.
    pub request_ids: RequestIds,
    /// How long before its deadline a request has its response.
    pub response_margin: Micros,
    /// The cluster, where a ledger is kept there.
    pub cluster: Option<Rc<ClusterTransport>>,
}
