//! Tests of attempts for clients that have disconnected, and of what a gateway admits without the counter after a
//! hand-over.

use super::{Clock, FinalResponse, HandoverMessage, NewRequest, Runtime, RuntimeEvent, SharedParts};
use crate::decision::{Action, Arrival, CustomerId, Event, Micros, Outcome, RequestId};
use crate::proxy::control_plane::config::Config;
use crate::proxy::memory_budget::MemoryBudget;
use crate::proxy::upstream::forwarded_request::{ForwardedRequest, RequestPayload};
use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

const CONFIG: &str = r#"{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","counter":"127.0.0.1:1",
    "seed":"1","known":{"revision":1,"complete":true,"members":[
        {"id":"s-1","host_port":"127.0.0.1:1","locality":"a","phase":"ready"}]},
    "settings":{"balancers":2,"my_number":0,"tick":4000,"zone":"a","zones":["a"],
        "bounds":{"max_attempts":3},"specifics":{"counter":true,"count_limit":30000,"units_top":4},
        "classes":[{"name":"look","effect":"pure","deadline":4000000,"on_time":1000000}],
        "plans":[{"name":"team","per_second":10.0,"peak_units":20.0,"price":1.0}],"rules":{}}}"#;

fn runtime() -> Runtime {
    runtime_with_config(CONFIG)
}

fn runtime_with_config(config: &str) -> Runtime {
    let config = Config::parse(config, None, None).expect("valid configuration");
    let shared = SharedParts {
        clock: Clock::start(),
        lifecycle: Rc::default(),
        metrics: Rc::default(),
        memory: Rc::new(MemoryBudget::new(config.memory_mb, 1, config.sockets)),
        outcomes: Rc::default(),
    };
    Runtime::new(config, shared).expect("settings").0
}

fn receive_request(runtime: &mut Runtime, id: RequestId) -> oneshot::Receiver<FinalResponse> {
    let (reply, answer) = oneshot::channel();
    let deadline = runtime.clock.now() + Micros(4_000_000);
    let arrival = Arrival { id, deadline, units: 1.0, gateway_count: 1, ..Arrival::default() };
    let body = RequestPayload::Buffered(Bytes::new());
    let forward = ForwardedRequest::new(Method::GET, Uri::from_static("/api"), HeaderMap::new(), body);
    runtime.handle_event(RuntimeEvent::RequestReceived(Box::new(NewRequest { arrival, forward, reply })));
    answer
}

/// Returns whether a request is sent although its call to the counter is rejected.
fn admits_without_counter(runtime: &mut Runtime) -> bool {
    let now = runtime.clock.now();
    admits_without_counter_at(runtime, now, 0)
}

/// Like [`admits_without_counter`], for a request of this customer at this time.
fn admits_without_counter_at(runtime: &mut Runtime, now: Micros, customer: u64) -> bool {
    let mut actions = Vec::new();
    let arrival = Arrival {
        id: RequestId(7 + customer),
        customer: CustomerId(customer),
        deadline: now + Micros(4_000_000),
        units: 1.0,
        gateway_count: 1,
        ..Arrival::default()
    };
    runtime.gateway.handle(now, Event::RequestArrived(arrival), &mut actions);
    let key = actions.iter().find_map(|action| match action {
        Action::IncrementCounter { key, .. } => Some(*key),
        _ => None,
    });
    let rejected = Event::CounterReplied {
        key: key.expect("a call to the counter"),
        outcome: Outcome::Rejected,
        total: 0.0,
    };
    runtime.gateway.handle(now, rejected, &mut actions);
    actions.iter().any(|action| matches!(action, Action::SendAttempt { .. }))
}

#[test]
fn only_the_successor_admits_without_the_counter_after_a_handover() {
    let (mut predecessor, mut successor) = (runtime(), runtime());
    predecessor.run_tick();
    successor.run_tick();
    let state = serde_json::to_string(&predecessor.gateway.hand_over()).expect("serialized state");
    successor.gateway.take_over(serde_json::from_str(&state).expect("deserialized state"));
    assert!(!admits_without_counter(&mut predecessor) && admits_without_counter(&mut successor));
    let mut single = runtime();
    single.run_tick();
    assert!(admits_without_counter(&mut single));
}

#[test]
fn predecessor_does_not_reuse_old_tokens_after_the_successor_exits() {
    let hard_limit = r#""price":1.0,"ceiling_rate":20.0,"cap_depth":40.0"#;
    let mut predecessor = runtime_with_config(&CONFIG.replace(r#""price":1.0"#, hard_limit));
    predecessor.run_tick();
    let later = |seconds: u64| predecessor.clock.now() + Micros(seconds * 1_000_000);
    let (successor_exit, after_refill) = (later(60), later(70));
    predecessor.gateway.hand_over();
    predecessor.gateway.handle(successor_exit, Event::PeerProcessExited, &mut Vec::new());
    let admitted = admits_without_counter_at(&mut predecessor, successor_exit, 1);
    assert!(!admitted, "the successor may have spent the tokens");
    let admitted = admits_without_counter_at(&mut predecessor, after_refill, 2);
    assert!(admitted, "no other process can have spent the tokens added since the exit");
}

#[test]
fn attempt_after_client_disconnect_is_reported_as_not_sent() {
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
    assert!(is_reported, "the end of the attempt is not reported: {:?}", runtime.pending_events);
}

// Guards against orders that are forgotten as the state of a predecessor that has not heard of them is taken over.
#[test]
fn an_order_that_was_given_before_the_take_over_outlives_it_and_reaches_the_predecessor() {
    for in_maintenance in [true, false] {
        let (mut predecessor, mut successor) = (runtime(), runtime());
        assert!(predecessor.set_maintenance("s-1".to_string(), !in_maintenance, false));
        assert!(successor.set_maintenance("s-1".to_string(), in_maintenance, false));
        assert!(!successor.set_maintenance("s-2".to_string(), in_maintenance, false), "an unknown endpoint");
        let (messages, mut to_predecessor) = mpsc::channel(4);
        let snapshot = predecessor.hand_over(mpsc::channel(4).0);
        successor.take_over(snapshot, messages);
        let endpoint = successor.site.known_endpoint_id("s-1").expect("a known endpoint");
        assert_eq!(successor.gateway.is_in_maintenance(endpoint), in_maintenance);
        let relayed = serde_json::to_string(&to_predecessor.try_recv().expect("a message")).expect("JSON");
        assert_eq!(relayed, format!(r#"{{"Maintain":{{"id":"s-1","out":{in_maintenance}}}}}"#));
        assert!(to_predecessor.try_recv().is_err(), "each order is relayed once");
    }
}

// Guards against orders that the other process never hears of, as many come at once.
#[tokio::test]
async fn orders_reach_the_other_process_in_order_although_its_queue_is_full() {
    const ORDERS: usize = 20;
    tokio::task::LocalSet::new()
        .run_until(async {
            let mut runtime = runtime();
            let (messages, mut to_other) = mpsc::channel(2);
            let _ = runtime.hand_over(messages);
            for number in 0..ORDERS {
                assert!(runtime.set_maintenance("s-1".to_string(), number % 2 == 0, false));
            }
            for number in 0..ORDERS {
                let message = to_other.recv().await.expect("a message");
                let is_out = matches!(message, HandoverMessage::SetMaintenance { in_maintenance: true, .. });
                assert_eq!(is_out, number % 2 == 0, "order {number}");
            }
        })
        .await;
}

// Guards against orders that are lost on a process whose endpoint list is behind the other's.
#[test]
fn a_relayed_order_applies_to_an_endpoint_that_is_listed_later() {
    let mut runtime = runtime();
    assert!(runtime.set_maintenance("s-9".to_string(), true, true));
    let list = r#"{"revision":2,"complete":true,"members":[
        {"id":"s-9","host_port":"127.0.0.1:9","locality":"a","phase":"ready"}]}"#;
    runtime.apply_endpoint_list(serde_json::from_str(list).expect("an endpoint list"));
    runtime.run_tick();
    assert_eq!(runtime.gateway.endpoint_counts(runtime.clock.now()).excluded, 1);
}
