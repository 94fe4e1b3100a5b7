//! Minimal gateway for the lab's own tests: correct, or violating the one rule that the environment variable `FAULT`
//! names. It calls no counter and enforces no quota. The tests use it to show that the checker reports exactly the rules
//! that are violated.
#![forbid(unsafe_code)]

use serde_json::Value;
use std::collections::BTreeMap;
use std::env;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

type AnyError = Box<dyn std::error::Error + Send + Sync>;

/// HTTP message: first line, headers with names in lower case, body.
#[derive(Default)]
struct Message {
    line: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn read(from: &mut BufReader<TcpStream>) -> Result<Option<Message>, AnyError> {
        let mut message = Message::default();
        loop {
            let mut line = String::new();
            if from.read_line(&mut line)? == 0 {
                return Ok(None);
            }
            let line = line.trim_end();
            if line.is_empty() {
                break;
            }
            match line.split_once(": ") {
                Some((name, value)) if !message.line.is_empty() => {
                    message.headers.push((name.to_ascii_lowercase(), value.to_string()));
                }
                _ => message.line = line.to_string(),
            }
        }
        let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        from.read_exact(&mut message.body)?;
        Ok(Some(message))
    }
    fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }
    fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
    fn is(&self, class: &str) -> bool {
        self.header("x-call-class") == Some(class)
    }
}

/// Backend as listed by discovery.
struct Backend {
    address: SocketAddr,
    ready: bool,
    started: u64,
}

struct Gateway {
    fault: String,
    began: Instant,
    backends: Mutex<BTreeMap<String, Backend>>,
    ballast: Mutex<Vec<u8>>,
    next_index: Mutex<usize>,
}

impl Gateway {
    fn has_fault(&self, name: &str) -> bool {
        self.fault == name
    }

    fn update_backends(&self, list: &Value) {
        let mut backends = self.backends.lock().unwrap_or_else(|e| e.into_inner());
        for member in list["members"].as_array().into_iter().flatten() {
            let (Some(id), Some(address)) = (member["id"].as_str(), member["host_port"].as_str()) else {
                continue;
            };
            let Ok(address) = address.parse() else { continue };
            let ready = member["phase"] == "ready";
            let started = member["up_since_ms"].as_u64().unwrap_or(0);
            // With the fault `drain`, notices that a backend is draining or gone are ignored.
            if ready || !self.has_fault("drain") {
                backends.insert(id.to_string(), Backend { address, ready, started });
            }
        }
    }

    /// Selects the next ready backend round-robin. With the fault `cold`, selects the one that started last, so that it is
    /// overloaded while warming up.
    fn pick(&self) -> Option<SocketAddr> {
        let backends = self.backends.lock().unwrap_or_else(|e| e.into_inner());
        let ready: Vec<&Backend> = backends.values().filter(|b| b.ready).collect();
        if self.has_fault("cold") {
            return ready.iter().max_by_key(|b| b.started).map(|b| b.address);
        }
        let mut next_index = self.next_index.lock().unwrap_or_else(|e| e.into_inner());
        *next_index += 1;
        ready.get(*next_index % ready.len().max(1)).map(|b| b.address)
    }

    /// Makes one attempt and returns the answer, or `None` if there was none.
    fn attempt(&self, request: &Message) -> Option<Message> {
        let budget = request.header("x-budget-ms").and_then(|text| text.parse().ok()).unwrap_or(100);
        let mut stream = TcpStream::connect_timeout(&self.pick()?, Duration::from_millis(200)).ok()?;
        stream.set_read_timeout(Some(Duration::from_millis(budget))).ok()?;
        let mut text = format!("{}\r\n", request.line);
        for (name, value) in &request.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        stream.write_all(text.as_bytes()).ok()?;
        stream.write_all(&request.body).ok()?;
        Message::read(&mut BufReader::new(stream)).ok()?
    }

    /// Returns the answer to a client, or `None` to close the connection without an answer.
    fn answer(&self, request: &Message) -> Option<String> {
        let number = request.header("x-call-id").and_then(|id| u64::from_str_radix(id, 16).ok()).unwrap_or(0);
        let every_twentieth = number.is_multiple_of(20);
        let full = |status: &str, body: &[u8]| {
            let body = String::from_utf8_lossy(body);
            format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
        };
        if self.has_fault("lose") && every_twentieth {
            return None;
        }
        if self.has_fault("late") && every_twentieth {
            thread::sleep(Duration::from_secs(4));
        }
        if self.has_fault("made-up") && every_twentieth {
            return Some(full("200 OK", b"lab 0123456789abcdef\n"));
        }
        let mut response = self.attempt(request);
        if self.has_fault("repeat") && request.is("publish-cover") {
            response = self.attempt(request);
        }
        let Some(response) = response.filter(|response| response.status() == 200) else {
            return Some(full("502 Bad Gateway", b""));
        };
        let text = full("200 OK", &response.body);
        Some(if self.has_fault("twice") && every_twentieth { format!("{text}{text}") } else { text })
    }

    fn serve(&self, stream: TcpStream) -> Result<(), AnyError> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        while let Some(request) = Message::read(&mut reader)? {
            if request.line.starts_with("GET /_health") {
                stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            }
            if self.has_fault("crash") && self.began.elapsed() > Duration::from_secs(2) {
                std::process::exit(3);
            }
            if self.has_fault("memory") {
                let mut ballast = self.ballast.lock().unwrap_or_else(|e| e.into_inner());
                if ballast.is_empty() {
                    *ballast = vec![7; 64 << 20];
                }
            }
            match self.answer(&request) {
                Some(text) => stream.write_all(text.as_bytes())?,
                None => return Ok(()),
            }
        }
        Ok(())
    }

    fn watch(&self, discovery: &str) -> Result<(), AnyError> {
        let mut path = "/catalog/members".to_string();
        loop {
            let mut stream = TcpStream::connect(discovery)?;
            write!(stream, "GET {path} HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n")?;
            let answer = Message::read(&mut BufReader::new(stream))?.ok_or("no answer")?;
            let list: Value = serde_json::from_slice(&answer.body)?;
            self.update_backends(&list);
            path = format!("/catalog/members?from={}&hold_ms=5000", list["revision"]);
        }
    }
}

/// Ends the process 600 ms after SIGTERM, so that requests in flight are answered.
fn end_at_term() -> Result<(), AnyError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?.recv().await;
        Ok::<(), AnyError>(())
    })?;
    thread::sleep(Duration::from_millis(600));
    std::process::exit(0)
}

fn main() -> Result<(), AnyError> {
    let config: Value = serde_json::from_str(&std::fs::read_to_string(env::var("NODE_CONFIG")?)?)?;
    let fault = env::var("FAULT").unwrap_or_default();
    if fault == "stillborn" {
        return Err("this one is made to end at its start".into());
    }
    let gateway = Arc::new(Gateway {
        fault,
        began: Instant::now(),
        backends: Mutex::default(),
        ballast: Mutex::default(),
        next_index: Mutex::default(),
    });
    gateway.update_backends(&config["known"]);
    let discovery = env::var("NODE_DISCOVERY")?;
    let watcher = gateway.clone();
    thread::spawn(move || loop {
        // Retries after a pause if discovery did not answer.
        let _ = watcher.watch(&discovery);
        thread::sleep(Duration::from_millis(50));
    });
    thread::spawn(|| drop(end_at_term()));
    for stream in TcpListener::bind(env::var("NODE_LISTEN")?)?.incoming().flatten() {
        let gateway = gateway.clone();
        thread::spawn(move || drop(gateway.serve(stream)));
    }
    Ok(())
}
