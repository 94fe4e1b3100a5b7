//! The little HTTP/1.1 that the stand-ins need.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// First line, header fields and body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    /// The status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn call_id(&self) -> String {
        self.header("x-call-id").unwrap_or("").to_string()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection, with the bytes that were read ahead.
pub struct Peer {
    pub stream: TcpStream,
    pub reader: BufReader<TcpStream>,
}

impl Peer {
    pub fn new(stream: TcpStream) -> io::Result<Peer> {
        stream.set_nodelay(true)?;
        Ok(Peer { reader: BufReader::new(stream.try_clone()?), stream })
    }

    pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<Peer> {
        let stream = TcpStream::connect_timeout(&address, limit)?;
        stream.set_read_timeout(Some(Duration::from_secs(30)))?;
        stream.set_write_timeout(Some(Duration::from_secs(30)))?;
        Peer::new(stream)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end_matches(['\r', '\n']).to_string())
    }

    /// Reads the first line and the header fields.
    pub fn read_head(&mut self) -> io::Result<Message> {
        let mut message = Message { start: self.line()?, ..Message::default() };
        loop {
            let line = self.line()?;
            let Some((name, value)) = line.split_once(':') else {
                if line.is_empty() {
                    return Ok(message);
                }
                return Err(io::ErrorKind::InvalidData.into());
            };
            message.headers.push((name.trim().to_string(), value.trim().to_string()));
        }
    }

    /// Reads one whole message whose length is declared or which is chunked.
    pub fn read(&mut self) -> io::Result<Message> {
        let mut message = self.read_head()?;
        if message.header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
            loop {
                let line = self.line()?;
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Ok(message);
                }
                let from = message.body.len();
                message.body.resize(from + size, 0);
                self.reader.read_exact(&mut message.body[from..])?;
                self.line()?;
            }
        }
        let length = message.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
        message.body.resize(length, 0);
        self.reader.read_exact(&mut message.body)?;
        Ok(message)
    }
}

/// An answer with a body of this text.
pub fn answer(status: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Makes one call over a connection of its own.
pub fn call(address: SocketAddr, method: &str, path: &str, limit: Duration) -> io::Result<Message> {
    let mut peer = Peer::connect(address, limit)?;
    peer.stream.set_read_timeout(Some(limit))?;
    let length = if method == "POST" { "Content-Length: 0\r\n" } else { "" };
    peer.write(
        format!("{method} {path} HTTP/1.1\r\nHost: stand-in\r\n{length}Connection: close\r\n\r\n").as_bytes(),
    )?;
    peer.read()
}

/// Sleeps until an instant, if it lies ahead.
pub fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}
