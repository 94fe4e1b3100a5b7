//! Calls to the shared counter service, on loopback sockets.
#[path = "sockets/world/mod.rs"]
mod world;

use quota_gateway::decision::{CounterKey, Micros, Outcome};
use quota_gateway::proxy::control_plane::counter::{CounterClient, CounterReply, Increment, ReplyOrder};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use world::{http, on_runtime, Refusing, Reply, Stub};

const TIMEOUT: Duration = Duration::from_millis(80);

async fn increment(counter: &CounterClient, key: u64) -> CounterReply {
    counter.increment(Increment { key: CounterKey(key), amount: -2.5, lifetime: Micros(4_000_000) }).await
}

#[test]
fn call_uses_the_wire_format_of_the_counter() {
    let stub = Stub::start(|_| http("200 OK", "38.5\n"));
    let counter = CounterClient::new(stub.address, Duration::from_secs(5), 2);
    let counted = on_runtime(increment(&counter, 9041552));
    assert_eq!(counted, CounterReply { outcome: Outcome::Success, total: 38.5 });
    assert_eq!(stub.requests()[0].line, "POST /v1/count/9041552?add=-2.5&ttl_ms=4000 HTTP/1.1");
}

#[test]
fn each_fault_has_its_own_outcome_and_no_call_is_retried() {
    let refusing = Refusing::start();
    let unused_address = refusing.address();
    let refused = CounterClient::new(unused_address, Duration::from_secs(5), 2);
    assert_eq!(on_runtime(increment(&refused, 1)).outcome, Outcome::ConnectFailed);
    let cases: [(fn() -> Reply, Outcome); 5] = [
        (|| http("503 Full", ""), Outcome::Rejected),
        (|| http("404 Nothing", ""), Outcome::NotSent),
        (|| http("200 OK", "NaN"), Outcome::ServerError),
        (|| Reply::RawThenClose(String::new()), Outcome::ConnectionReset),
        (|| Reply::Silence, Outcome::Timeout),
    ];
    for (reply, outcome) in cases {
        let stub = Stub::start(move |_| reply());
        let timeout = if outcome == Outcome::Timeout { TIMEOUT } else { Duration::from_secs(5) };
        let counter = CounterClient::new(stub.address, timeout, 2);
        assert_eq!(on_runtime(increment(&counter, 1)).outcome, outcome);
        assert_eq!(stub.requests().len(), 1, "{outcome:?}");
    }
}

#[test]
fn late_response_is_discarded_and_does_not_block_later_calls() {
    let calls = AtomicUsize::new(0);
    let stub = Stub::start(move |_| match calls.fetch_add(1, Ordering::SeqCst) {
        0 => {
            std::thread::sleep(TIMEOUT * 3);
            http("200 OK", "1000")
        }
        _ => http("200 OK", "2"),
    });
    let counter = CounterClient::new(stub.address, TIMEOUT, 2);
    on_runtime(async {
        assert_eq!(increment(&counter, 1).await.outcome, Outcome::Timeout);
        for _ in 0..4 {
            assert_eq!(increment(&counter, 1).await, CounterReply { outcome: Outcome::Success, total: 2.0 });
        }
    });
}

#[test]
fn call_without_a_free_connection_fails_as_not_connected() {
    let stub = Stub::start(|_| Reply::Silence);
    let counter = CounterClient::new(stub.address, TIMEOUT, 1);
    on_runtime(async {
        let (first, second) = tokio::join!(increment(&counter, 1), increment(&counter, 2));
        assert_eq!((first.outcome, second.outcome), (Outcome::Timeout, Outcome::ConnectFailed));
    });
}

#[test]
fn replies_for_one_key_are_delivered_in_call_order() {
    let reply = |total| CounterReply { outcome: Outcome::Success, total };
    let mut order = ReplyOrder::default();
    let (key, other_key) = (CounterKey(1), CounterKey(2));
    let (first, second, other) = (order.call_made(key), order.call_made(key), order.call_made(other_key));
    assert_eq!(order.reply_received(key, second, reply(2.0)), []);
    assert_eq!(
        order.reply_received(other_key, other, reply(9.0)),
        [reply(9.0)],
        "replies for other keys do not wait"
    );
    assert_eq!(order.reply_received(key, first, reply(1.0)), [reply(1.0), reply(2.0)]);
    assert_eq!(order.reply_received(key, first, reply(1.0)), [], "each reply is delivered once");
}
