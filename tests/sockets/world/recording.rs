//! Backends that record when the attempts of each request began and ended.

use super::{backend_entry, Message, WAIT_TIMEOUT};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Work on a repeat of a key.
const REPEAT_WORK: Duration = Duration::from_millis(100);
/// An attempt may begin this long after its client has gone.
const GRACE: Duration = Duration::from_millis(150);
/// A backend notices this late that the connection of an attempt was closed.
const NOTICE_TIME: Duration = Duration::from_millis(50);

/// One attempt, as the backend saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub key: String,
    pub began: Instant,
    ended: Option<Instant>,
}

/// Backends that work on the first attempt of a key for as long as the request says, and on a repeat for a tenth of a second.
#[derive(Default)]
pub struct RecordingBackends {
    attempts: Arc<Mutex<Vec<Attempt>>>,
}

impl RecordingBackends {
    /// Starts this many backends. Returns their entries in the endpoint list.
    pub fn start(&self, count: usize) -> String {
        let entries =
            (0..count).map(|number| backend_entry(&format!("s-{number}"), self.start_one(), "ready"));
        entries.collect::<Vec<_>>().join(",")
    }

    /// Starts a backend. Returns its address.
    fn start_one(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("the socket is bound");
        let recorded = self.attempts.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let recorded = recorded.clone();
                thread::spawn(move || serve(stream, &recorded));
            }
        });
        address
    }

    pub fn attempts(&self) -> Vec<Attempt> {
        self.attempts.lock().expect("no panic").clone()
    }

    pub fn wait_for_attempts(&self, count: usize) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while self.attempts().len() < count {
            assert!(Instant::now() < deadline, "the requests were not forwarded");
            thread::sleep(Duration::from_millis(2));
        }
    }
}

/// Serves the requests of one connection.
fn serve(stream: TcpStream, attempts: &Mutex<Vec<Attempt>>) {
    let mut reader = BufReader::new(stream.try_clone().expect("a socket"));
    let mut writer = stream.try_clone().expect("a socket");
    while let Some(message) = Message::read(&mut reader) {
        let key = message.header("idempotency-key").expect("a key").to_string();
        let work = message.line.split("work=").nth(1).and_then(|rest| rest.split(' ').next());
        let work = Duration::from_millis(work.and_then(|work| work.parse().ok()).expect("the work"));
        let (number, is_repeat) = {
            let mut attempts = attempts.lock().expect("no panic");
            let is_repeat = attempts.iter().any(|attempt| attempt.key == key);
            attempts.push(Attempt { key, began: Instant::now(), ended: None });
            (attempts.len() - 1, is_repeat)
        };
        let stays = works_for(&stream, if is_repeat { REPEAT_WORK } else { work });
        attempts.lock().expect("no panic")[number].ended = Some(Instant::now());
        if !stays || writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone").is_err() {
            return;
        }
    }
}

/// Waits for this long. Returns whether the gateway has kept the connection open.
fn works_for(stream: &TcpStream, work: Duration) -> bool {
    let until = Instant::now() + work;
    let mut byte = [0];
    while Instant::now() < until {
        stream.set_read_timeout(Some(Duration::from_millis(10))).expect("a socket");
        if matches!(stream.peek(&mut byte), Ok(0)) {
            return false;
        }
    }
    stream.set_read_timeout(None).expect("a socket");
    true
}

/// The answer of one request.
#[derive(Clone, Debug)]
pub struct Answer {
    pub key: String,
    pub status: u16,
    pub at: Instant,
}

/// Checks that no attempt began after its client had its answer.
pub fn check_no_attempt_after_answer(answers: &[Answer], attempts: &[Attempt]) {
    for later in attempts {
        let answer = answers.iter().find(|answer| answer.key == later.key).expect("an answer");
        assert!(later.began <= answer.at + GRACE, "{later:?} began after {answer:?}");
    }
}

/// Checks that no attempt began after its client had its answer, or while another attempt of the request was out.
pub fn check_attempts(answers: &[Answer], attempts: &[Attempt]) {
    check_no_attempt_after_answer(answers, attempts);
    for (number, later) in attempts.iter().enumerate() {
        let overlaps = |earlier: &&Attempt| {
            earlier.key == later.key && earlier.ended.is_none_or(|end| end > later.began + NOTICE_TIME)
        };
        let earlier = attempts[..number].iter().find(overlaps);
        assert!(earlier.is_none(), "two attempts at once: {earlier:?}, {later:?}");
    }
}
