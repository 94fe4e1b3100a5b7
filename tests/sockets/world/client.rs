//! Client side of a connection to the gateway.

use super::{Message, WAIT_TIMEOUT};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// Opens a connection to `address`.
pub fn connect(address: SocketAddr) -> Client {
    client_over(TcpStream::connect(address).expect("the address accepts connections"))
}

/// Returns a client on an open connection; its reads time out after `WAIT_TIMEOUT`.
pub fn client_over(stream: TcpStream) -> Client {
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket");
    Client { reader: BufReader::new(stream.try_clone().expect("a socket")), stream }
}

pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("the peer reads");
    }
    /// Reads exactly `length` bytes.
    pub fn read_bytes(&mut self, length: usize) -> Vec<u8> {
        let mut bytes = vec![0; length];
        self.reader.read_exact(&mut bytes).expect("the peer writes all bytes");
        bytes
    }
    /// Reads one line and returns it without the line break.
    pub fn read_line(&mut self) -> String {
        let mut line = String::new();
        self.reader.read_line(&mut line).expect("UTF-8 text");
        line.trim_end().to_string()
    }
    /// Reads a message head and returns its lines.
    pub fn read_head(&mut self) -> Vec<String> {
        let lines = std::iter::from_fn(|| Some(self.read_line()).filter(|line| !line.is_empty()));
        lines.collect()
    }
    /// Reads the next response; returns `None` when the connection ends without a response.
    pub fn read_response(&mut self) -> Option<Message> {
        Message::read(&mut self.reader)
    }
    /// Sends a request and returns the response, or `None` when the connection ends without a response.
    pub fn try_round_trip(&mut self, text: &str) -> Option<Message> {
        self.stream.write_all(text.as_bytes()).ok()?;
        self.read_response()
    }
    /// Whether the gateway closes the connection or answers with 4xx or 5xx before the read times out.
    pub fn is_closed_or_gets_error(&mut self) -> bool {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(0) => true,
            Ok(_) => line.starts_with("HTTP/1.1 4") || line.starts_with("HTTP/1.1 5"),
            Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }
    pub fn round_trip(&mut self, text: &str) -> Message {
        self.send(text);
        self.read_response().expect("a response")
    }
}

/// Returns the text of a valid request of this class.
pub fn request(class: &str, budget_ms: u32) -> String {
    let method = if class == "look" { "GET" } else { "POST" };
    let key = if class == "buy" { "Idempotency-Key: k-17\r\n" } else { "" };
    let body = if class == "look" { "" } else { "Content-Length: 5\r\n\r\nhello" };
    let last_line_break = if class == "look" { "\r\n" } else { "" };
    format!(
        "{method} /api?customer=00000000b4d65521&x=1 HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: 9b1f03aa5c7e2d41\r\n\
        X-Call-Class: {class}\r\nX-Plan: team\r\nX-Budget-Ms: {budget_ms}\r\n{key}X-Quota: units=2,spread=2,first=0\r\n{body}{last_line_break}"
    )
}
