//! Stub servers that record requests and answer as a test says, and helpers that delay or refuse connections.

use super::{on_runtime, WAIT_TIMEOUT};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// An HTTP message: first line, headers with names in lower case, and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
    /// Number of the stub's connection that carried the message, from 0.
    pub connection: usize,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status")
    }
    pub fn read(from: &mut BufReader<TcpStream>) -> Option<Message> {
        let mut message = Message::default();
        loop {
            let mut line = String::new();
            if from.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim_end();
            match line.split_once(": ") {
                _ if line.is_empty() => break,
                Some((name, value)) if !message.line.is_empty() => {
                    message.headers.push((name.to_ascii_lowercase(), value.to_string()))
                }
                _ => message.line = line.to_string(),
            }
        }
        let length = message.header("content-length").map_or(0, |v| v.parse().expect("a length"));
        let mut body = vec![0; length];
        from.read_exact(&mut body).ok()?;
        message.body = String::from_utf8(body).expect("UTF-8 text");
        Some(message)
    }
}

/// What a stub does on a request.
pub enum Reply {
    /// Writes these bytes unchanged.
    Raw(String),
    /// Writes these bytes, then closes the connection.
    RawThenClose(String),
    /// Writes these bytes in pieces of this size, with this pause after each piece.
    Paced(String, usize, Duration),
    /// Writes nothing and keeps the connection open until the peer closes it.
    Silence,
}

pub fn http(status: &str, body: &str) -> Reply {
    Reply::Raw(format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
}

/// Requests and connections that a stub has seen.
#[derive(Default)]
pub struct Log {
    pub requests: Vec<Message>,
    pub opened: usize,
    /// Number of connections that have ended.
    pub closed: usize,
}

#[derive(Clone)]
pub struct Stub {
    pub address: SocketAddr,
    log: Arc<(Mutex<Log>, Condvar)>,
}

impl Stub {
    pub fn start(respond: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Stub {
        Stub::start_on(TcpListener::bind("127.0.0.1:0").expect("a port"), respond)
    }
    /// Starts a stub on a socket that listens already.
    pub fn start_on(
        listener: TcpListener,
        respond: impl Fn(&Message) -> Reply + Send + Sync + 'static,
    ) -> Stub {
        let stub = Stub { address: listener.local_addr().expect("the socket is bound"), log: Arc::default() };
        let (respond, recorder) = (Arc::new(respond), stub.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (respond, recorder) = (respond.clone(), recorder.clone());
                let mut connection = 0;
                recorder.update_log(|log| {
                    connection = log.opened;
                    log.opened += 1;
                });
                thread::spawn(move || {
                    recorder.serve(stream, connection, &*respond);
                    recorder.update_log(|log| log.closed += 1);
                });
            }
        });
        stub
    }
    fn serve(&self, stream: TcpStream, connection: usize, respond: &dyn Fn(&Message) -> Reply) {
        let mut reader = BufReader::new(stream.try_clone().expect("a socket"));
        let mut stream = stream;
        while let Some(message) = Message::read(&mut reader) {
            let message = Message { connection, ..message };
            self.update_log(|log| log.requests.push(message.clone()));
            match respond(&message) {
                Reply::Raw(text) => drop(stream.write_all(text.as_bytes())),
                Reply::RawThenClose(text) => {
                    drop(stream.write_all(text.as_bytes()));
                    drop(stream.shutdown(Shutdown::Both));
                    return;
                }
                Reply::Paced(text, piece, pause) => {
                    for piece in text.as_bytes().chunks(piece) {
                        if stream.write_all(piece).is_err() {
                            return;
                        }
                        thread::sleep(pause);
                    }
                }
                Reply::Silence => {}
            }
        }
    }
    fn update_log(&self, change: impl FnOnce(&mut Log)) {
        change(&mut self.log.0.lock().expect("the mutex is not poisoned"));
        self.log.1.notify_all();
    }
    /// Waits until the log satisfies `wanted`; `what` names the condition in the failure message.
    pub fn wait_for(&self, what: &str, wanted: impl Fn(&Log) -> bool) {
        let log = self.log.0.lock().expect("the mutex is not poisoned");
        let (_log, timeout) = self
            .log
            .1
            .wait_timeout_while(log, WAIT_TIMEOUT, |log| !wanted(log))
            .expect("the mutex is not poisoned");
        assert!(!timeout.timed_out(), "timed out while waiting for {what}");
    }
    pub fn requests(&self) -> Vec<Message> {
        self.log.0.lock().expect("the mutex is not poisoned").requests.clone()
    }
}

/// Blocks waiting threads until it is opened; it then stays open.
#[derive(Default)]
pub struct Gate {
    open: Mutex<bool>,
    changed: Condvar,
}

impl Gate {
    pub fn open(&self) {
        *self.open.lock().expect("the mutex is not poisoned") = true;
        self.changed.notify_all();
    }
    pub fn wait(&self) {
        let open = self.open.lock().expect("the mutex is not poisoned");
        let (_open, timeout) = self
            .changed
            .wait_timeout_while(open, WAIT_TIMEOUT, |open| !*open)
            .expect("the mutex is not poisoned");
        assert!(!timeout.timed_out(), "the gate was not opened in time");
    }
}

/// Starts a counter service that adds up increments and answers immediately.
pub fn counter_stub() -> Stub {
    let totals = Mutex::new(std::collections::HashMap::new());
    Stub::start(move |request| {
        let name = request.line.split(['/', '?']).nth(3).expect("a counter name").to_string();
        let add = request.line.split(['=', '&']).nth(1).expect("an amount");
        let mut totals = totals.lock().expect("the mutex is not poisoned");
        let total = totals.entry(name).or_insert(0.0);
        *total += add.parse::<f64>().expect("a number");
        http("200 OK", &total.to_string())
    })
}

/// An address that refuses connections until this value is dropped: the port is bound, so that no server of another test
/// can listen on it, but nothing listens there.
pub struct Refusing {
    socket: tokio::net::TcpSocket,
}

impl Refusing {
    pub fn start() -> Refusing {
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        Refusing { socket }
    }
    pub fn address(&self) -> SocketAddr {
        self.socket.local_addr().expect("the socket is bound")
    }
    /// Accepts connections from now on.
    pub fn listen(self) -> TcpListener {
        let listener = on_runtime(async { self.socket.listen(64).expect("the socket listens").into_std() });
        let listener = listener.expect("a socket");
        listener.set_nonblocking(false).expect("the socket option is set");
        listener
    }
}

/// A listener whose backlog is full, so that new connections are not established until the test accepts.
pub struct FullBacklogListener {
    listener: TcpListener,
    backlog_filler: Option<TcpStream>,
}

impl FullBacklogListener {
    pub fn start() -> FullBacklogListener {
        let listener = on_runtime(async {
            let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
            socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
            socket.listen(0).expect("the socket listens").into_std().expect("a socket")
        });
        listener.set_nonblocking(false).expect("the socket option is set");
        let address = listener.local_addr().expect("the socket is bound");
        FullBacklogListener {
            listener,
            backlog_filler: Some(TcpStream::connect(address).expect("the connection that fills the backlog")),
        }
    }
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("the socket is bound")
    }
    /// Accepts the connection that fills the backlog, then the next one, and returns all bytes received on the latter.
    pub fn accept_and_read_all(mut self) -> Vec<u8> {
        let backlog_filler = self.backlog_filler.take();
        drop(self.listener.accept().expect("the connection that fills the backlog"));
        drop(backlog_filler);
        let (mut stream, _) = self.listener.accept().expect("a connection");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the socket option is set");
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).expect("the peer closes the connection");
        bytes
    }
}
