//! What backends do to connections that rest, and to answers on their way.

use crate::message_sizes::{accepted, before_hand};
use crate::world::*;
use std::io::{Read, Write};

#[test]
fn an_idle_connection_with_unexpected_bytes_is_not_reused() {
    let unasked = [
        "HTTP/1.1 2",
        "rubbish\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale",
        "HTTP/1.1 200 OK\r\n\r\nstale",
    ];
    for text in unasked {
        let (listener, _discovery, _counter, node) = before_hand(128);
        let mut client = node.client();
        client.send(&request("once", 3000));
        let mut first = accepted(&listener);
        first.head();
        first.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none");
        assert_eq!(client.answer().expect("an answer").body, "one");
        // It stands in the gateway's socket before the next request is written.
        first.send(text);
        client.send(&request("once", 3000));
        let mut second = accepted(&listener);
        second.head();
        second.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo");
        let answer = client.answer().expect("an answer");
        assert_eq!((answer.status(), answer.body.as_str()), (200, "two"), "after {text:?}");
    }
}

#[test]
fn a_reset_does_not_complete_a_response_without_length() {
    for class in ["look", "buy", "once"] {
        let (listener, _discovery, _counter, node) = before_hand(128);
        let mut client = node.client();
        client.send(&request(class, 1000));
        let (mut stream, _) = listener.accept().expect("an attempt");
        stream.set_read_timeout(Some(LIMIT)).expect("an option");
        stream.read_exact(&mut [0; 10]).expect("the beginning of a head");
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nhalf of it").expect("taken");
        // Closed over the rest of the request, so it is a reset.
        drop(stream);
        // Any further attempt finds nobody.
        drop(listener);
        let status = client.answer().expect("an answer").status();
        let wanted = if class == "once" { 502 } else { 429 };
        assert_eq!(status, wanted, "{class}");
    }
}
