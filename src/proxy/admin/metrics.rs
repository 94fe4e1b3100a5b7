//! The counters of one process, each incremented where its event happens. Reading them looks at no request.
//!
//! [`super::stats`] writes them for operators. The names that counters of reasons have there are the variants'
//! `strum(serialize)` names: a wire form, which never changes.

use crate::decision::{ClassId, Outcome, RejectionReason};
use crate::proxy::control_plane::discovery::call::FailureKind;
use std::cell::Cell;
use std::marker::PhantomData;
use std::rc::Rc;
use strum::{IntoStaticStr, VariantArray};
use tokio::time::Instant;

/// How a request ended, as its client sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestResult {
    /// With a backend's complete response.
    Served,
    /// Rejected: to send it again is harmless.
    Rejected,
    /// Anything else.
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
    /// The process holds as many connections to backends as it may.
    #[strum(serialize = "no_place")]
    NoConnectionPermit,
    /// This machine lacks what a connection takes (descriptors, memory, ports); the backend was not contacted.
    #[strum(serialize = "shortage")]
    LocalResourceShortage,
    /// The attempt's time was over before its first byte.
    #[strum(serialize = "out_of_time")]
    AttemptTimedOut,
    /// Another gateway owns the request's record in the ledger.
    #[strum(serialize = "not_owner")]
    NotOwner,
    /// The streamed body has gone to another backend.
    #[strum(serialize = "body_spent")]
    BodyAlreadySent,
}

/// Why the gateway closed a client's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr, VariantArray)]
pub enum ConnectionCloseReason {
    /// After a response, as one of the two sides wished.
    #[strum(serialize = "ended")]
    Completed,
    /// It broke, or what came over it was not HTTP.
    #[strum(serialize = "broken")]
    Broken,
    /// It was idle for too long, its head came too slowly, or its permit was needed.
    #[strum(serialize = "quiet")]
    Idle,
    /// The client had closed its side.
    #[strum(serialize = "left_unread")]
    ClosedByClient,
}

/// A counter of this process. Counters belong to one thread.
#[derive(Debug, Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Counts one.
    pub fn increment(&self) {
        self.add(1);
    }
    fn add(&self, amount: u64) {
        self.0.set(self.0.get() + amount);
    }
    /// What has been counted.
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
    /// Counts one of this kind.
    pub fn increment(&self, kind: Kind) {
        let place = Kind::VARIANTS.iter().position(|variant| *variant == kind);
        if let Some(counter) = place.and_then(|place| self.counters.get(place)) {
            counter.increment();
        }
    }
    /// All kinds with what has been counted of each, in their order.
    pub fn iter(&self) -> impl Iterator<Item = (Kind, u64)> + '_ {
        Kind::VARIANTS.iter().zip(&self.counters).map(|(kind, counter)| (*kind, counter.get()))
    }
}

/// Requests of one class, by their results.
#[derive(Debug, Default)]
pub struct ClassMetrics {
    /// The class's name.
    pub name: String,
    /// Served.
    pub served: Counter,
    /// Rejected.
    pub rejected: Counter,
    /// Failed.
    pub failed: Counter,
}

impl ClassMetrics {
    fn of(&self, result: RequestResult) -> &Counter {
        match result {
            RequestResult::Served => &self.served,
            RequestResult::Rejected => &self.rejected,
            RequestResult::Failed => &self.failed,
        }
    }
}

/// Calls to discovery and the endpoint lists that they brought.
#[derive(Default)]
pub struct DiscoveryMetrics {
    /// Calls made.
    pub calls: Counter,
    /// Calls that brought no list, or one that could not be applied.
    pub failures: CounterSet<FailureKind>,
    /// Lists applied.
    pub lists: Counter,
    /// Their length in all, in bytes.
    pub list_bytes: Counter,
    /// The revision of the last one.
    pub revision: Cell<u64>,
    /// When the last one was applied.
    pub last_list_at: Cell<Option<Instant>>,
}

impl DiscoveryMetrics {
    /// A call was made.
    pub fn call_started(&self) {
        self.calls.increment();
    }
    /// A call brought no list, or one that could not be applied.
    pub fn call_failed(&self, kind: FailureKind) {
        self.failures.increment(kind);
    }
    /// A list of this revision, so many bytes long, was applied.
    pub fn list_applied(&self, revision: u64, bytes: usize) {
        self.lists.increment();
        self.list_bytes.add(bytes as u64);
        self.revision.set(revision);
        self.last_list_at.set(Some(Instant::now()));
    }
}

/// The counters of one process; all start at 0.
#[derive(Default)]
pub struct Metrics {
    /// Requests by class, in the order of the classes' ids.
    pub classes: Vec<ClassMetrics>,
    in_flight: Cell<u64>,
    /// Attempts that were written to their end.
    pub attempts_sent: Counter,
    /// Calls to discovery.
    pub discovery: DiscoveryMetrics,
    /// How attempts ended.
    pub attempt_outcomes: CounterSet<Outcome>,
    /// Why attempts were not sent.
    pub not_sent: CounterSet<NotSentReason>,
    /// Why requests were rejected or failed without a backend's response.
    pub rejections: CounterSet<RejectionReason>,
    /// Why clients' connections were closed.
    pub connection_closes: CounterSet<ConnectionCloseReason>,
}

impl Metrics {
    /// Counters for these classes, in the order of their ids.
    pub fn new(classes: impl IntoIterator<Item = String>) -> Metrics {
        let classes = classes.into_iter().map(|name| ClassMetrics { name, ..ClassMetrics::default() });
        Metrics { classes: classes.collect(), ..Metrics::default() }
    }

    /// A request was received; it counts as in flight until the guard is dropped.
    pub fn request_received(self: &Rc<Metrics>, class: ClassId) -> InFlightRequest {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlightRequest { metrics: self.clone(), class, result: None }
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.get()
    }
}

/// Counts a request as in flight, and at its drop by its result. Without a result its client has disconnected, and it
/// counts nowhere.
pub struct InFlightRequest {
    metrics: Rc<Metrics>,
    class: ClassId,
    result: Option<RequestResult>,
}

impl InFlightRequest {
    /// Sets the result that counts at the drop.
    pub fn set_result(&mut self, result: RequestResult) {
        self.result = Some(result);
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        let metrics = &self.metrics;
        metrics.in_flight.set(metrics.in_flight.get().saturating_sub(1));
        if let (Some(result), Some(class)) = (self.result, metrics.classes.get(self.class.0)) {
            class.of(result).increment();
        }
    }
}
