//! The request table under what comes late, twice or from a client that has left, and what a gateway admits without an
//! answer of the counter after a hand-over.

use super::{Clock, FinalResponse, NewRequest, Runtime, RuntimeEvent, SharedParts};
use crate::decision::{Action, Arrival, CustomerId, Event, Micros, Outcome, RequestId};
use crate::proxy::control_plane::config::Config;
use crate::proxy::memory_budget::MemoryBudget;
use crate::proxy::upstream::forwarded_request::{ForwardedRequest, RequestPayload};
use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use std::rc::Rc;
use tokio::sync::oneshot;

const CONFIG: &str = r#"{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","counter":"127.0.0.1:1",
    "seed":"1","known":{"revision":1,"complete":true,"members":[
        {"id":"s-1","host_port":"127.0.0.1:1","locality":"a","phase":"ready"}]},
    "settings":{"balancers":2,"my_number":0,"tick":4000,"zone":"a","zones":["a"],
        "bounds":{"max_attempts":3},"specifics":{"counter":true,"count_limit":30000,"units_top":4},
        "classes":[{"name":"look","effect":"pure","deadline":4000000,"on_time":1000000}],
        "plans":[{"name":"team","per_second":10.0,"peak_units":20.0,"price":1.0}],"rules":{}}}"#;

fn runtime() -> Runtime {
    runtime_of(CONFIG)
}

fn runtime_of(config: &str) -> Runtime {
    let config = Config::parse(config, None, None).expect("a configuration");
    let shared = SharedParts {
        clock: Clock::start(),
        lifecycle: Rc::default(),
        metrics: Rc::default(),
        memory: Rc::new(MemoryBudget::new(config.memory_mb, config.sockets)),
        outcomes: Rc::default(),
    };
    Runtime::new(config, shared).expect("settings").0
}

fn receive_request(runtime: &mut Runtime, id: RequestId) -> oneshot::Receiver<FinalResponse> {
    let (reply, answer) = oneshot::channel();
    let deadline = runtime.clock.now() + Micros(4_000_000);
    let arrival = Arrival { id, deadline, units: 1.0, spread: 1, ..Arrival::default() };
    let body = RequestPayload::Buffered(Bytes::new());
    let forward = ForwardedRequest::new(Method::GET, Uri::from_static("/api"), HeaderMap::new(), body);
    runtime.handle_event(RuntimeEvent::RequestReceived(Box::new(NewRequest { arrival, forward, reply })));
    answer
}

/// Whether a request whose call to the counter is rejected is sent.
fn admits_without_counter(runtime: &mut Runtime) -> bool {
    let now = runtime.clock.now();
    admits_without_counter_at(runtime, now, 0)
}

/// The same at that time, for a customer.
fn admits_without_counter_at(runtime: &mut Runtime, now: Micros, customer: u64) -> bool {
    let mut actions = Vec::new();
    let arrival = Arrival {
        id: RequestId(7 + customer),
        customer: CustomerId(customer),
        deadline: now + Micros(4_000_000),
        units: 1.0,
        spread: 1,
        ..Arrival::default()
    };
    runtime.gateway.handle(now, Event::RequestArrived(arrival), &mut actions);
    let key = actions.iter().find_map(|action| match action {
        Action::IncrementCounter { key, .. } => Some(*key),
        _ => None,
    });
    let rejected =
        Event::CounterReplied { key: key.expect("a call"), outcome: Outcome::Rejected, total: 0.0 };
    runtime.gateway.handle(now, rejected, &mut actions);
    actions.iter().any(|action| matches!(action, Action::SendAttempt { .. }))
}

#[test]
fn the_right_to_admit_without_the_counter_goes_over_to_the_successor() {
    let (mut predecessor, mut successor) = (runtime(), runtime());
    predecessor.turn();
    successor.turn();
    let state = serde_json::to_string(&predecessor.gateway.hand_over()).expect("a text");
    successor.gateway.take_over(serde_json::from_str(&state).expect("the same"));
    assert!(!admits_without_counter(&mut predecessor) && admits_without_counter(&mut successor));
    let mut single = runtime();
    single.turn();
    assert!(admits_without_counter(&mut single));
}

#[test]
fn a_process_that_is_alone_again_admits_nothing_by_what_its_buckets_held_before() {
    let ceiling = r#""price":1.0,"ceiling_rate":20.0,"cap_depth":40.0"#;
    let mut predecessor = runtime_of(&CONFIG.replace(r#""price":1.0"#, ceiling));
    predecessor.turn();
    let later = |seconds: u64| predecessor.clock.now() + Micros(seconds * 1_000_000);
    let (back, after) = (later(60), later(70));
    predecessor.gateway.hand_over();
    predecessor.gateway.handle(back, Event::PeerProcessExited, &mut Vec::new());
    let admitted = admits_without_counter_at(&mut predecessor, back, 1);
    assert!(!admitted, "the successor may have spent it");
    let admitted = admits_without_counter_at(&mut predecessor, after, 2);
    assert!(admitted, "nobody else can have spent what came in since");
}

#[test]
fn an_attempt_for_a_client_that_has_left_is_reported_as_not_sent() {
    let mut runtime = runtime();
    let (request, endpoint) = (RequestId(7), *runtime.backends.keys().next().expect("a backend"));
    let _answer = receive_request(&mut runtime, request);
    runtime.handle_event(RuntimeEvent::ClientDisconnected(request));
    let now = runtime.clock.now();
    runtime.perform(now, Action::SendAttempt { request, endpoint, give_up_at: now + Micros(1_000_000) });
    let is_reported = runtime.pending_events.iter().any(|event| match event {
        Event::AttemptEnded(end) => {
            end.request == request && end.outcome == Outcome::NotSent && end.request_finished
        }
        _ => false,
    });
    assert!(is_reported, "the decision module never hears of it: {:?}", runtime.pending_events);
}
