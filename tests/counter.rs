//! The calls to the shared counter, on loopback sockets.
#[path = "sockets/world/mod.rs"]
mod world;

use quota_gateway::decision::{CounterKey, Micros, Outcome};
use quota_gateway::proxy::control_plane::counter::{CounterClient, CounterReply, Increment, ReplyOrder};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use world::{http, on_runtime, Refusing, Reply, Stub};

const TIMEOUT: Duration = Duration::from_millis(80);

async fn add(counter: &CounterClient, name: u64) -> CounterReply {
    counter.increment(Increment { key: CounterKey(name), amount: -2.5, lifetime: Micros(4_000_000) }).await
}

#[test]
fn a_call_has_the_counters_wire_form() {
    let stub = Stub::start(|_| http("200 OK", "38.5\n"));
    let counter = CounterClient::new(stub.address, Duration::from_secs(5), 2);
    let counted = on_runtime(add(&counter, 9041552));
    assert_eq!(counted, CounterReply { outcome: Outcome::Success, total: 38.5 });
    assert_eq!(stub.requests()[0].line, "POST /v1/count/9041552?add=-2.5&ttl_ms=4000 HTTP/1.1");
}

#[test]
fn each_fault_has_its_own_outcome_and_no_call_is_made_twice() {
    let refusing = Refusing::start();
    let gone = refusing.address();
    let refused = CounterClient::new(gone, Duration::from_secs(5), 2);
    assert_eq!(on_runtime(add(&refused, 1)).outcome, Outcome::ConnectFailed);
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
        assert_eq!(on_runtime(add(&counter, 1)).outcome, outcome);
        assert_eq!(stub.requests().len(), 1, "{outcome:?}");
    }
}

#[test]
fn a_late_response_is_not_taken_for_a_later_calls_and_blocks_none() {
    let asked = AtomicUsize::new(0);
    let stub = Stub::start(move |_| match asked.fetch_add(1, Ordering::SeqCst) {
        0 => {
            std::thread::sleep(TIMEOUT * 3);
            http("200 OK", "1000")
        }
        _ => http("200 OK", "2"),
    });
    let counter = CounterClient::new(stub.address, TIMEOUT, 2);
    on_runtime(async {
        assert_eq!(add(&counter, 1).await.outcome, Outcome::Timeout);
        for _ in 0..4 {
            assert_eq!(add(&counter, 1).await, CounterReply { outcome: Outcome::Success, total: 2.0 });
        }
    });
}

#[test]
fn a_call_that_got_no_connection_was_never_made() {
    let stub = Stub::start(|_| Reply::Silence);
    let counter = CounterClient::new(stub.address, TIMEOUT, 1);
    on_runtime(async {
        let (first, second) = tokio::join!(add(&counter, 1), add(&counter, 2));
        assert_eq!((first.outcome, second.outcome), (Outcome::Timeout, Outcome::ConnectFailed));
    });
}

#[test]
fn replies_for_one_key_come_in_the_order_of_their_calls() {
    let told = |total| CounterReply { outcome: Outcome::Success, total };
    let mut order = ReplyOrder::default();
    let (a, b) = (CounterKey(1), CounterKey(2));
    let (first, second, other) = (order.call_made(a), order.call_made(a), order.call_made(b));
    assert_eq!(order.reply_received(a, second, told(2.0)), []);
    assert_eq!(order.reply_received(b, other, told(9.0)), [told(9.0)], "other names do not wait");
    assert_eq!(order.reply_received(a, first, told(1.0)), [told(1.0), told(2.0)]);
    assert_eq!(order.reply_received(a, first, told(1.0)), [], "each is told once");
}
