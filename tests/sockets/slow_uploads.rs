//! Long request bodies of which one side is slow: the backend that reads them, or the client that writes them.

use crate::world::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Time budget of the uploads.
const BUDGET: Duration = Duration::from_millis(800);
/// How long after its budget a request may have its answer.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// An error is due this long after a client stopped in the middle of its request.
const MAX_SILENCE: Duration = Duration::from_secs(3);
/// Receive buffer of the backends, in bytes, so that little of a body waits in the system's buffers behind the gateway.
const BACKEND_BUFFER_BYTES: usize = 16 * 1024;

/// What a backend does with an upload.
#[derive(Clone, Copy, Debug)]
enum SlowBackend {
    /// Accepts the connection and reads nothing.
    Hangs,
    /// Reads this many bytes, then nothing.
    StopsReading(usize),
    /// Reads this many bytes a second.
    Reads(usize),
    /// Reads this many bytes, then resets the connection.
    ResetsAfter(usize),
}

fn listener_with_small_buffer() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    rustix::net::sockopt::set_socket_recv_buffer_size(&listener, BACKEND_BUFFER_BYTES)
        .expect("the socket option is set");
    listener
}

/// Starts a backend that treats each connection alike.
fn slow_backend(behaviour: SlowBackend) -> SocketAddr {
    let listener = listener_with_small_buffer();
    let address = listener.local_addr().expect("the socket is bound");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve_slowly(stream, behaviour));
        }
    });
    address
}

fn serve_slowly(mut stream: TcpStream, behaviour: SlowBackend) {
    match behaviour {
        SlowBackend::Hangs => thread::sleep(WAIT_TIMEOUT),
        SlowBackend::StopsReading(limit) => {
            read_up_to(&mut stream, limit);
            thread::sleep(WAIT_TIMEOUT);
        }
        SlowBackend::Reads(bytes_per_second) => {
            let step = bytes_per_second / 20;
            while read_up_to(&mut stream, step) == step {
                thread::sleep(Duration::from_millis(50));
            }
        }
        // Closing a socket whose input was not read resets the connection.
        SlowBackend::ResetsAfter(limit) => drop(read_up_to(&mut stream, limit)),
    }
}

fn read_up_to(stream: &mut TcpStream, limit: usize) -> usize {
    std::io::copy(&mut stream.take(limit as u64), &mut std::io::sink()).unwrap_or(0) as usize
}

/// A request with a long body.
fn upload(length: usize, chunked: bool) -> Vec<u8> {
    let framing = match chunked {
        true => "Transfer-Encoding: chunked".to_string(),
        false => format!("Content-Length: {length}"),
    };
    let head = request("buy", BUDGET.as_millis() as u32);
    let mut bytes = with_new_customer(&head)
        .replace("Content-Length: 5\r\n\r\nhello", &format!("{framing}\r\n\r\n"))
        .into_bytes();
    let piece = vec![b'x'; 16 * 1024];
    let mut left = length;
    while left > 0 {
        let piece = &piece[..piece.len().min(left)];
        if chunked {
            bytes.extend(format!("{:x}\r\n", piece.len()).as_bytes());
        }
        bytes.extend(piece);
        if chunked {
            bytes.extend(b"\r\n");
        }
        left -= piece.len();
    }
    if chunked {
        bytes.extend(b"0\r\n\r\n");
    }
    bytes
}

/// When the system had taken the last byte of an upload, and when its answer came.
#[derive(Debug)]
struct UploadTimes {
    handed_over_after: Option<Duration>,
    answered_after: Option<Duration>,
    status: Option<u16>,
}

fn send_upload(gateway: SocketAddr, bytes: Vec<u8>) -> UploadTimes {
    let stream = TcpStream::connect(gateway).expect("the gateway accepts connections");
    let start = Instant::now();
    let mut writing = stream.try_clone().expect("a socket");
    let writer = thread::spawn(move || writing.write_all(&bytes).ok().map(|()| start.elapsed()));
    let answer = client_over(stream.try_clone().expect("a socket")).read_response();
    let answered_after = answer.as_ref().map(|_| start.elapsed());
    // Ends a write that still waits for the gateway.
    drop(stream.shutdown(std::net::Shutdown::Both));
    let handed_over_after = writer.join().expect("the writer ends");
    UploadTimes { handed_over_after, answered_after, status: answer.map(|answer| answer.status()) }
}

/// Sends uploads of several lengths and both framings, all at once, to backends that behave like this, and checks the
/// times of their answers.
fn check_answers_in_time(behaviour: SlowBackend) {
    let members: Vec<String> = (0..4)
        .map(|number| backend_entry(&format!("s-{number}"), slow_backend(behaviour), "ready"))
        .collect();
    let (discovery, counter) = (Discovery::start(&members.join(",")), counter_stub());
    let gateway = Gateway::start(&discovery, &counter);
    let cases: Vec<(usize, bool)> = [200_000, 1_000_000, 3_000_000, 7_000_000]
        .into_iter()
        .flat_map(|length| [(length, false), (length, true)])
        .collect();
    let uploads = cases.into_iter().map(|(length, chunked)| {
        let address = gateway.address;
        thread::spawn(move || ((length, chunked), send_upload(address, upload(length, chunked))))
    });
    for upload in uploads.collect::<Vec<_>>() {
        let (case, times) = upload.join().expect("the upload ends");
        println!("{behaviour:?}, {case:?}: {times:?}");
        assert!(times.status.is_some_and(|status| status >= 400), "{behaviour:?}, {case:?}: {times:?}");
        let answered = times.answered_after.expect("an answer");
        // A client whose last byte the system has not taken by then was answered early.
        let handed_over = times.handed_over_after.unwrap_or(answered).min(answered);
        assert!(answered <= handed_over + BUDGET + ANSWER_SLACK, "{behaviour:?}, {case:?}: {times:?}");
    }
}

#[test]
fn an_upload_is_answered_in_time_if_its_backend_reads_nothing() {
    check_answers_in_time(SlowBackend::Hangs);
}

#[test]
fn an_upload_is_answered_in_time_if_its_backend_stops_reading() {
    check_answers_in_time(SlowBackend::StopsReading(30_000));
}

#[test]
fn an_upload_is_answered_in_time_if_its_backend_reads_slowly() {
    check_answers_in_time(SlowBackend::Reads(90_000));
}

#[test]
fn an_upload_is_answered_in_time_if_its_backend_resets_the_connection_half_way() {
    check_answers_in_time(SlowBackend::ResetsAfter(100_000));
}

#[test]
fn a_client_that_stops_in_a_long_body_gets_its_error_within_three_seconds() {
    let (_backend, _discovery, _counter, gateway) = crate::gateway_with_backend(|_| http("200 OK", "ok"));
    let uploads = [(600_000, 300_000), (5_000_000, 2_000_000), (100_000, 99_000)].map(|(length, sent)| {
        let address = gateway.address;
        thread::spawn(move || {
            let mut bytes = upload(length, false);
            bytes.truncate(bytes.len() - (length - sent));
            let mut client = connect(address);
            client.send(std::str::from_utf8(&bytes).expect("UTF-8 text"));
            let stopped_at = Instant::now();
            let status = client.read_response().map(|answer| answer.status());
            (status, stopped_at.elapsed())
        })
    });
    for upload in uploads {
        let (status, after) = upload.join().expect("the upload ends");
        assert!(
            status.is_none_or(|status| status >= 400) && after <= MAX_SILENCE,
            "{status:?} after {after:?}"
        );
    }
}

#[test]
fn a_client_at_the_slowest_allowed_rate_is_served() {
    let (_backend, _discovery, _counter, gateway) = crate::gateway_with_backend(|_| http("200 OK", "ok"));
    let mut client = gateway.client();
    let bytes = upload(260_000, false);
    // 64 kB a second, in one piece every 0.5 s.
    for piece in bytes.chunks(32_000) {
        client.send(std::str::from_utf8(piece).expect("UTF-8 text"));
        thread::sleep(Duration::from_millis(500));
    }
    assert_eq!(client.read_response().expect("an answer").status(), 200);
}

#[test]
fn a_body_longer_than_all_buffers_is_served_while_it_moves() {
    let listener = listener_with_small_buffer();
    let address = listener.local_addr().expect("the socket is bound");
    let length = 32_000_000;
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("an attempt");
        // 20 MB a second: longer than the time budget in all.
        let mut read = 0;
        while read < length {
            read += read_up_to(&mut stream, 1_000_000.min(length - read));
            thread::sleep(Duration::from_millis(50));
        }
        read_up_to(&mut stream, 200);
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").expect("the gateway reads");
        thread::sleep(Duration::from_secs(1));
    });
    let discovery = Discovery::start(&backend_entry("s-1", address, "ready"));
    let counter = counter_stub();
    let gateway = Gateway::start(&discovery, &counter);
    let times = send_upload(gateway.address, upload(length, false));
    assert_eq!(times.status, Some(200), "{times:?}");
    assert!(times.answered_after.is_some_and(|after| after > BUDGET + ANSWER_SLACK), "{times:?}");
}
