//! Backends that write to idle connections or reset a connection during a response.

use crate::message_sizes::{accept_attempt, gateway_with_manual_backend};
use crate::world::*;
use std::io::{Read, Write};

#[test]
fn an_idle_connection_with_unexpected_bytes_is_not_reused() {
    let unexpected_texts = [
        "HTTP/1.1 2",
        "rubbish\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale",
        "HTTP/1.1 200 OK\r\n\r\nstale",
    ];
    for text in unexpected_texts {
        let (listener, _discovery, _counter, gateway) = gateway_with_manual_backend(128);
        let mut client = gateway.client();
        client.send(&request("once", 3000));
        let mut first = accept_attempt(&listener);
        first.read_head();
        first.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none");
        assert_eq!(client.read_response().expect("a response").body, "one");
        // The bytes are in the gateway's socket buffer before the next request is written.
        first.send(text);
        client.send(&request("once", 3000));
        let mut second = accept_attempt(&listener);
        second.read_head();
        second.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo");
        let response = client.read_response().expect("a response");
        assert_eq!((response.status(), response.body.as_str()), (200, "two"), "after {text:?}");
    }
}

#[test]
fn a_reset_does_not_complete_a_response_without_length() {
    for class in ["look", "buy", "once"] {
        let (listener, _discovery, _counter, gateway) = gateway_with_manual_backend(128);
        let mut client = gateway.client();
        client.send(&request(class, 1000));
        let (mut stream, _) = listener.accept().expect("an attempt");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the socket option is set");
        stream.read_exact(&mut [0; 10]).expect("the beginning of a head");
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nhalf of it").expect("the bytes are written");
        // Closing with unread request bytes sends a reset.
        drop(stream);
        // Any further attempt is refused.
        drop(listener);
        let status = client.read_response().expect("a response").status();
        let expected_status = if class == "once" { 502 } else { 429 };
        assert_eq!(status, expected_status, "{class}");
    }
}
