//! What operators read of a gateway: plain counters, each raised where its event happens. Reading them looks
//! at no request.

use crate::decision::{ClassId, EndpointCounts, Outcome, RejectionReason};
use crate::proxy::control_plane::discovery::call::FailureKind;
use std::cell::Cell;
use std::fmt::Write;
use std::marker::PhantomData;
use std::rc::Rc;
use strum::{IntoStaticStr, VariantArray};
use tokio::time::Instant;

/// How a request ended, as its client sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestResult {
    /// A backend's answer, whole.
    Served,
    /// Trying again is harmless.
    Refused,
    /// Anything else.
    Failed,
}

struct Class {
    name: String,
    served: Cell<u64>,
    refused: Cell<u64>,
    failed: Cell<u64>,
}

/// Why an attempt was not written to its backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub enum NotSentReason {
    /// The backend drains or is gone.
    Drained,
    /// The client has its answer or has left.
    Unwanted,
    /// No descriptor is left for a connection.
    NoPlace,
    /// This machine was short of what a connection takes; its backend was not asked.
    Shortage,
    /// The attempt's time was over before its first byte.
    OutOfTime,
    /// Another gateway owns the request's work.
    NotOwner,
    /// The body has gone to another backend.
    BodySpent,
}

/// Why the gateway closed a client's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub enum ConnectionCloseReason {
    /// After an answer, as one of the two sides wished.
    Ended,
    /// It broke, or what came over it was no HTTP.
    Broken,
    /// It was quiet for too long, or its place was needed.
    Quiet,
    /// The client had ended its side.
    LeftUnread,
}

/// One counter for each of an enum's variants.
pub struct CounterSet<Kind: VariantArray + 'static> {
    counts: Vec<Cell<u64>>,
    kind: PhantomData<Kind>,
}

impl<Kind: VariantArray> Default for CounterSet<Kind> {
    fn default() -> CounterSet<Kind> {
        CounterSet { counts: Kind::VARIANTS.iter().map(|_| Cell::new(0)).collect(), kind: PhantomData }
    }
}

impl<Kind: VariantArray + PartialEq + Copy + Into<&'static str>> CounterSet<Kind> {
    /// Counts one.
    pub fn raise(&self, kind: Kind) {
        let place = Kind::VARIANTS.iter().position(|variant| *variant == kind);
        place.and_then(|place| self.counts.get(place)).into_iter().for_each(raise);
    }
    fn each(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        Kind::VARIANTS.iter().zip(&self.counts).map(|(kind, count)| ((*kind).into(), count.get()))
    }
}

/// What came of the calls to discovery.
#[derive(Default)]
pub struct DiscoveryMetrics {
    calls: Cell<u64>,
    failures: CounterSet<FailureKind>,
    lists: Cell<u64>,
    bytes: Cell<u64>,
    revision: Cell<u64>,
    last_list: Cell<Option<Instant>>,
}

impl DiscoveryMetrics {
    /// A call was made.
    pub fn called(&self) {
        raise(&self.calls);
    }
    /// A call brought no list, or one that could not be taken.
    pub fn failed(&self, kind: FailureKind) {
        self.failures.raise(kind);
    }
    /// A list of this version and length was taken.
    pub fn listed(&self, revision: u64, bytes: usize) {
        raise(&self.lists);
        self.bytes.set(self.bytes.get() + bytes as u64);
        self.revision.set(revision);
        self.last_list.set(Some(Instant::now()));
    }
    fn write(&self, line: &mut impl FnMut(&str, u64)) {
        line("discovery.calls", self.calls.get());
        for (kind, count) in self.failures.each() {
            line(&format!("discovery.failed.{kind}"), count);
        }
        line("discovery.lists", self.lists.get());
        line("discovery.list_bytes", self.bytes.get());
        line("discovery.revision", self.revision.get());
        if let Some(at) = self.last_list.get() {
            line("discovery.last_list_ms_ago", at.elapsed().as_millis() as u64);
        }
    }
}

/// The counters of one process; all start at 0.
#[derive(Default)]
pub struct Metrics {
    classes: Vec<Class>,
    in_flight: Cell<u64>,
    attempts: Cell<u64>,
    /// What came of the calls to discovery.
    pub discovery: DiscoveryMetrics,
    /// How attempts ended.
    pub outcomes: CounterSet<Outcome>,
    /// Why attempts were not written.
    pub unsent: CounterSet<NotSentReason>,
    /// Why the module refused or failed requests.
    pub refusals: CounterSet<RejectionReason>,
    /// Why clients' connections were closed.
    pub closes: CounterSet<ConnectionCloseReason>,
}

fn raise(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

impl Metrics {
    /// Counters for these classes, in the order of their ids.
    pub fn new(classes: impl IntoIterator<Item = String>) -> Metrics {
        let class = |name| Class { name, served: Cell::new(0), refused: Cell::new(0), failed: Cell::new(0) };
        Metrics { classes: classes.into_iter().map(class).collect(), ..Metrics::default() }
    }

    /// A request was taken; it counts as in flight for as long as its ticket lives.
    pub fn taken(self: &Rc<Metrics>, class: ClassId) -> InFlightRequest {
        raise(&self.in_flight);
        InFlightRequest { figures: self.clone(), class, end: None }
    }

    /// An attempt was written whole to a backend.
    pub fn attempt(&self) {
        raise(&self.attempts);
    }

    /// The figures, one a line.
    pub fn text(&self, fleet: EndpointCounts) -> String {
        let mut text = String::new();
        let mut line = |name: &str, value: u64| {
            // Writing to a string never fails.
            let _ = writeln!(text, "edge_node.{name}={value}");
        };
        for class in &self.classes {
            let name = &class.name;
            line(&format!("requests.{name}.served"), class.served.get());
            line(&format!("requests.{name}.refused"), class.refused.get());
            line(&format!("requests.{name}.failed"), class.failed.get());
        }
        line("attempts", self.attempts.get());
        line("in_flight", self.in_flight.get());
        line("backends_known", fleet.known as u64);
        line("backends_excluded", fleet.excluded as u64);
        self.discovery.write(&mut line);
        for (outcome, count) in self.outcomes.each() {
            line(&format!("attempt_ends.{outcome}"), count);
        }
        for (reason, count) in self.unsent.each() {
            line(&format!("attempts_unsent.{reason}"), count);
        }
        for (reason, count) in self.refusals.each() {
            line(&format!("refusals.{reason}"), count);
        }
        for (reason, count) in self.closes.each() {
            line(&format!("client_closes.{reason}"), count);
        }
        text
    }
}

/// One request in flight. Dropped without an end, its client left, and it counts nowhere.
pub struct InFlightRequest {
    figures: Rc<Metrics>,
    class: ClassId,
    end: Option<RequestResult>,
}

impl InFlightRequest {
    /// How the request ends once this ticket is dropped.
    pub fn ends(&mut self, end: RequestResult) {
        self.end = Some(end);
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        let InFlightRequest { figures, class, end } = self;
        figures.in_flight.set(figures.in_flight.get().saturating_sub(1));
        if let (Some(end), Some(class)) = (end, figures.classes.get(class.0)) {
            raise(match end {
                RequestResult::Served => &class.served,
                RequestResult::Refused => &class.refused,
                RequestResult::Failed => &class.failed,
            });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn requests_count_as_in_flight_until_they_end_and_then_by_their_end() {
        let figures = Rc::new(Metrics::new(["look".to_string(), "buy".to_string()]));
        let (mut served, mut refused, left) =
            (figures.taken(ClassId(0)), figures.taken(ClassId(1)), figures.taken(ClassId(1)));
        served.ends(RequestResult::Served);
        refused.ends(RequestResult::Failed);
        refused.ends(RequestResult::Refused);
        assert!(figures.text(EndpointCounts::default()).contains("edge_node.in_flight=3\n"));
        drop((served, refused, left));
        figures.attempt();
        let text = figures.text(EndpointCounts { known: 4, excluded: 1 });
        let told: Vec<&str> = text.lines().take(10).collect();
        assert_eq!(
            told,
            [
                "edge_node.requests.look.served=1",
                "edge_node.requests.look.refused=0",
                "edge_node.requests.look.failed=0",
                "edge_node.requests.buy.served=0",
                "edge_node.requests.buy.refused=1",
                "edge_node.requests.buy.failed=0",
                "edge_node.attempts=1",
                "edge_node.in_flight=0",
                "edge_node.backends_known=4",
                "edge_node.backends_excluded=1",
            ]
        );
    }

    #[test]
    fn every_reason_has_a_line_that_counts_its_events() {
        let figures = Metrics::default();
        figures.discovery.failed(FailureKind::TooLong);
        figures.discovery.listed(7, 41);
        figures.unsent.raise(NotSentReason::Drained);
        figures.outcomes.raise(Outcome::ConnectFailed);
        figures.refusals.raise(RejectionReason::QuotaKnownExhausted);
        figures.closes.raise(ConnectionCloseReason::Quiet);
        let text = figures.text(EndpointCounts::default());
        for line in [
            "discovery.failed.too_long=1",
            "discovery.failed.broken=0",
            "discovery.revision=7",
            "discovery.list_bytes=41",
            "attempts_unsent.drained=1",
            "attempt_ends.connect_failed=1",
            "refusals.quota_full=1",
            "client_closes.quiet=1",
        ] {
            assert!(text.contains(&format!("edge_node.{line}\n")), "{line}: {text}");
        }
    }
}
