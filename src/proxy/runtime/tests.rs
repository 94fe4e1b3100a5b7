//! The driver's table under what comes late, twice or from a client that has left.

use crate::decision::CustomerId;
use crate::proxy::runtime::*;
use crate::proxy::upstream::forwarded_request::RequestPayload;
use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};

const CONFIG: &str = r#"{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","counter":"127.0.0.1:1",
    "seed":"1","known":{"revision":1,"complete":true,"members":[
        {"id":"s-1","host_port":"127.0.0.1:1","locality":"a","phase":"ready"}]},
    "settings":{"balancers":2,"my_number":0,"tick":4000,"zone":"a","zones":["a"],
        "bounds":{"max_attempts":3},"specifics":{"counter":true,"count_limit":30000,"units_top":4},
        "classes":[{"name":"look","effect":"pure","deadline":4000000,"on_time":1000000}],
        "plans":[{"name":"team","per_second":10.0,"peak_units":20.0,"price":1.0}],"rules":{}}}"#;

fn driver() -> Runtime {
    driver_of(CONFIG)
}

fn driver_of(config: &str) -> Runtime {
    let config = Config::parse(config, None, None).expect("a configuration");
    let memory = Rc::new(MemoryBudget::new(config.memory_mb, config.sockets));
    Runtime::new(config, Clock::start(), Rc::default(), Rc::default(), memory).expect("settings").0
}

fn take(driver: &mut Runtime, id: RequestId) -> oneshot::Receiver<FinalResponse> {
    let (reply, answer) = oneshot::channel();
    let deadline = driver.clock.now() + Micros(4_000_000);
    let arrival = Arrival { id, deadline, units: 1.0, spread: 1, ..Arrival::default() };
    let body = RequestPayload::Buffered(Bytes::new());
    let forward = ForwardedRequest::new(Method::GET, Uri::from_static("/api"), HeaderMap::new(), body);
    driver.take(RuntimeEvent::RequestReceived(Box::new(NewRequest { arrival, forward, reply })));
    answer
}

/// Whether a request whose call to the counter is turned away is sent on.
fn goes_on_unheard(driver: &mut Runtime) -> bool {
    let now = driver.clock.now();
    goes_on_unheard_at(driver, now, 0)
}

/// The same at that time, for a customer.
fn goes_on_unheard_at(driver: &mut Runtime, now: Micros, customer: u64) -> bool {
    let mut out = Vec::new();
    let arrival = Arrival {
        id: RequestId(7 + customer),
        customer: CustomerId(customer),
        deadline: now + Micros(4_000_000),
        units: 1.0,
        spread: 1,
        ..Arrival::default()
    };
    driver.gateway.handle(now, Event::RequestArrived(arrival), &mut out);
    let name = out.iter().find_map(|action| match action {
        Action::IncrementCounter { key: name, .. } => Some(*name),
        _ => None,
    });
    driver.gateway.handle(
        now,
        Event::CounterReplied { key: name.expect("a call"), outcome: Outcome::Rejected, total: 0.0 },
        &mut out,
    );
    out.iter().any(|action| matches!(action, Action::SendAttempt { .. }))
}

#[test]
fn what_a_gateway_may_let_in_unheard_goes_over_to_the_younger_process() {
    let (mut elder, mut younger) = (driver(), driver());
    elder.turn();
    younger.turn();
    let will = serde_json::to_string(&elder.gateway.hand_over()).expect("a text");
    younger.gateway.take_over(serde_json::from_str(&will).expect("the same"));
    assert!(!goes_on_unheard(&mut elder) && goes_on_unheard(&mut younger));
    let mut alone = driver();
    alone.turn();
    assert!(goes_on_unheard(&mut alone));
}

#[test]
fn a_process_that_is_alone_again_lets_nobody_on_by_what_came_in_before() {
    let ceiling = r#""price":1.0,"ceiling_rate":20.0,"cap_depth":40.0"#;
    let mut elder = driver_of(&CONFIG.replace(r#""price":1.0"#, ceiling));
    elder.turn();
    let later = |seconds: u64| elder.clock.now() + Micros(seconds * 1_000_000);
    let (back, after) = (later(60), later(70));
    elder.gateway.hand_over();
    elder.gateway.handle(back, Event::PeerProcessExited, &mut Vec::new());
    assert!(!goes_on_unheard_at(&mut elder, back, 1), "the younger process may have spent it");
    assert!(goes_on_unheard_at(&mut elder, after, 2), "nobody else can have spent what came in since");
}

#[test]
fn a_send_for_a_client_that_left_unheard_is_told_its_end() {
    let mut driver = driver();
    let (id, server) = (RequestId(7), *driver.backends.keys().next().expect("a backend"));
    let _answer = take(&mut driver, id);
    driver.take(RuntimeEvent::ClientDisconnected(id));
    let now = driver.clock.now();
    driver
        .act(now, Action::SendAttempt { request: id, endpoint: server, give_up_at: now + Micros(1_000_000) });
    let told = driver.batch.iter().any(|event| {
        matches!(event, Event::AttemptEnded(end) if end.request == id && end.outcome == Outcome::NotSent && end.request_finished)
    });
    assert!(told, "the module never hears of it: {:?}", driver.batch);
}
