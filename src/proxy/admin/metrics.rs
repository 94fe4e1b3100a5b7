//! Counters of one process, each incremented where its event happens, so that reading them involves no request.
//!
//! [`super::stats`] writes them for operators. Counters by reason are named there by the variants' `strum(serialize)`
//! attributes, which are a wire form and never change.

use crate::decision::{ClassId, Outcome, RejectionReason};
use crate::proxy::control_plane::discovery::call::FailureKind;
use std::cell::Cell;
use std::marker::PhantomData;
use std::rc::Rc;
use strum::{IntoStaticStr, VariantArray};
use tokio::time::Instant;

/// Result of a request, as its client sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestResult {
    /// The client received a backend's complete response.
    Served,
    /// The request was rejected and can be sent again without harm.
    Rejected,
    /// Any other result.
    Failed,
}

/// Why an attempt was not written to its backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr, VariantArray)]
pub enum NotSentReason {
    /// The endpoint is draining or removed.
    #[strum(serialize = "drained")]
    EndpointDraining,
    /// The client has its response or has disconnected.
    #[strum(serialize = "unwanted")]
    RequestEnded,
    /// The process already has its maximum number of connections to backends.
    #[strum(serialize = "no_place")]
    NoConnectionPermit,
    /// This machine lacks a resource that a connection needs (descriptors, memory, ports); the backend was not
    /// contacted.
    #[strum(serialize = "shortage")]
    LocalResourceShortage,
    /// The attempt's time-out passed before its first byte.
    #[strum(serialize = "out_of_time")]
    AttemptTimedOut,
    /// Another gateway owns the request's record in the ledger.
    #[strum(serialize = "not_owner")]
    NotOwner,
    /// The streamed body has already been sent to another backend.
    #[strum(serialize = "body_spent")]
    BodyAlreadySent,
}

/// Why the gateway closed a client's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr, VariantArray)]
pub enum ConnectionCloseReason {
    /// The connection ended after a response, as one of the two sides requested.
    #[strum(serialize = "ended")]
    Completed,
    /// The connection broke, or the client sent something other than HTTP.
    #[strum(serialize = "broken")]
    Broken,
    /// The connection was idle for too long, or the request head came too slowly.
    #[strum(serialize = "quiet")]
    Idle,
    /// The client had closed its side of the connection.
    #[strum(serialize = "left_unread")]
    ClosedByClient,
    /// The connection's permit was needed, and its client was the slowest.
    #[strum(serialize = "evicted")]
    Evicted,
}

/// A counter of this process; each belongs to a single thread.
#[derive(Debug, Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Adds one to the counter.
    pub fn increment(&self) {
        self.add(1);
    }
    fn add(&self, amount: u64) {
        self.0.set(self.0.get() + amount);
    }
    /// Returns the current value.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// One counter for each variant of an enum.
pub struct CounterSet<Kind: VariantArray + 'static> {
    counters: Vec<Counter>,
    kind: PhantomData<Kind>,
}

impl<Kind: VariantArray> Default for CounterSet<Kind> {
    fn default() -> CounterSet<Kind> {
        CounterSet {
            counters: Kind::VARIANTS.iter().map(|_| Counter::default()).collect(),
            kind: PhantomData,
        }
    }
}

impl<Kind: VariantArray + PartialEq + Copy> CounterSet<Kind> {
    /// Adds one to the counter of this kind.
    pub fn increment(&self, kind: Kind) {
        let index = Kind::VARIANTS.iter().position(|variant| *variant == kind);
        if let Some(counter) = index.and_then(|index| self.counters.get(index)) {
            counter.increment();
        }
    }
    /// Returns all kinds with their counts, in the order of the variants.
    pub fn iter(&self) -> impl Iterator<Item = (Kind, u64)> + '_ {
        Kind::VARIANTS.iter().zip(&self.counters).map(|(kind, counter)| (*kind, counter.get()))
    }
}

/// Counters of one class's requests, by result.
#[derive(Debug, Default)]
pub struct ClassMetrics {
    /// Name of the class.
    pub name: String,
    /// Requests that were served.
    pub served: Counter,
    /// Requests that were rejected.
    pub rejected: Counter,
    /// Requests that failed.
    pub failed: Counter,
}

impl ClassMetrics {
    fn counter(&self, result: RequestResult) -> &Counter {
        match result {
            RequestResult::Served => &self.served,
            RequestResult::Rejected => &self.rejected,
            RequestResult::Failed => &self.failed,
        }
    }
}

/// Counters of calls to discovery and of the endpoint lists received.
#[derive(Default)]
pub struct DiscoveryMetrics {
    /// Calls that were made.
    pub calls: Counter,
    /// Calls that returned no list, or one that could not be applied.
    pub failures: CounterSet<FailureKind>,
    /// Endpoint lists that were applied.
    pub lists: Counter,
    /// Total length of the applied lists, in bytes.
    pub list_bytes: Counter,
    /// Revision of the last applied list.
    pub revision: Cell<u64>,
    /// Time at which the last list was applied.
    pub last_list_at: Cell<Option<Instant>>,
}

impl DiscoveryMetrics {
    /// Records that a call was made.
    pub fn call_started(&self) {
        self.calls.increment();
    }
    /// Records that a call returned no list, or one that could not be applied.
    pub fn call_failed(&self, kind: FailureKind) {
        self.failures.increment(kind);
    }
    /// Records that a list of this revision and length was applied.
    pub fn list_applied(&self, revision: u64, bytes: usize) {
        self.lists.increment();
        self.list_bytes.add(bytes as u64);
        self.revision.set(revision);
        self.last_list_at.set(Some(Instant::now()));
    }
}

/// All counters of one process, which start at 0.
#[derive(Default)]
pub struct Metrics {
    /// Requests by class, in the order of the classes' ids.
    pub classes: Vec<ClassMetrics>,
    in_flight: Cell<u64>,
    /// Attempts whose request was written completely.
    pub attempts_sent: Counter,
    /// Calls to discovery.
    pub discovery: DiscoveryMetrics,
    /// Connections to backends that were closed for bytes that no request asked for.
    pub unexpected_responses: Counter,
    /// Outcomes of attempts.
    pub attempt_outcomes: CounterSet<Outcome>,
    /// Why attempts were not sent.
    pub not_sent: CounterSet<NotSentReason>,
    /// Why requests were rejected or failed without a backend's response.
    pub rejections: CounterSet<RejectionReason>,
    /// Why clients' connections were closed.
    pub connection_closes: CounterSet<ConnectionCloseReason>,
}

impl Metrics {
    /// Creates the counters for these classes, in the order of their ids.
    pub fn new(classes: impl IntoIterator<Item = String>) -> Metrics {
        let classes = classes.into_iter().map(|name| ClassMetrics { name, ..ClassMetrics::default() });
        Metrics { classes: classes.collect(), ..Metrics::default() }
    }

    /// Records that a request was received; it counts as in flight until the returned guard is dropped.
    pub fn request_received(self: &Rc<Metrics>, class: ClassId) -> InFlightRequest {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlightRequest { metrics: self.clone(), class, result: None }
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.get()
    }
}

/// Counts a request as in flight until it is dropped, and then by its result. A request without a result, whose client
/// has disconnected, is counted in no result.
pub struct InFlightRequest {
    metrics: Rc<Metrics>,
    class: ClassId,
    result: Option<RequestResult>,
}

impl InFlightRequest {
    /// Sets the result that is counted when the guard is dropped.
    pub fn set_result(&mut self, result: RequestResult) {
        self.result = Some(result);
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        let metrics = &self.metrics;
        metrics.in_flight.set(metrics.in_flight.get().saturating_sub(1));
        if let (Some(result), Some(class)) = (self.result, metrics.classes.get(self.class.0)) {
            class.counter(result).increment();
        }
    }
}
