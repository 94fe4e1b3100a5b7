//! Judged requests of a soak, each on a connection of its own.

use super::backend::Behaviour;
use super::judge::RequestRecord;
use super::plan::SoakPlan;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Time budget of uploads.
const UPLOAD_BUDGET: Duration = Duration::from_millis(800);
/// Time budget of other requests.
const BUDGET: Duration = Duration::from_millis(2_000);
/// When a client leaves that does.
const LEAVE_AFTER: Duration = Duration::from_millis(150);
/// Longest time that a client waits beyond all rules.
const PATIENCE: Duration = Duration::from_secs(12);

/// Records of the judged requests.
pub struct RequestLog {
    start: Instant,
    records: Mutex<Vec<RequestRecord>>,
}

impl RequestLog {
    /// Returns an empty log; times count from `start`.
    pub fn new(start: Instant) -> RequestLog {
        RequestLog { start, records: Mutex::default() }
    }

    /// Takes all records.
    pub fn take(&self) -> Vec<RequestRecord> {
        std::mem::take(&mut self.records.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn add(&self, record: RequestRecord) {
        self.records.lock().unwrap_or_else(PoisonError::into_inner).push(record);
    }
}

/// A request that is to be sent.
struct JudgedRequest {
    record: RequestRecord,
    bytes: Vec<u8>,
    leaves: bool,
}

/// Sends the judged requests of a play, and returns when all have ended.
pub async fn send_judged(gateway: SocketAddr, plan: SoakPlan, log: Arc<RequestLog>) {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed ^ 0x5eed);
    let mut open = JoinSet::new();
    let mut number = 0;
    let mut next = log.start;
    while log.start.elapsed() < plan.length {
        number += 1;
        next += Duration::from_secs_f64(rng.random_range(0.2..1.8) / f64::from(plan.requests_per_second));
        sleep_until(next).await;
        let request = draw_request(&mut rng, plan.seed, number);
        let log = log.clone();
        open.spawn(async move {
            let record = send(gateway, request, log.start).await;
            // A connection that was not established is no request.
            record.into_iter().for_each(|record| log.add(record));
        });
    }
    open.join_all().await;
}

fn draw_request(rng: &mut ChaCha8Rng, seed: u64, number: u64) -> JudgedRequest {
    let (length, rate) = (rng.random_range(100_000..4_000_000), rng.random_range(30_000..200_000));
    let (kind, behaviour, class, length) = match rng.random_range(0..20) {
        0 => ("upload, stuck", Behaviour::StopReading(rng.random_range(0..60_000)), "once", length),
        1 => ("upload, stuck", Behaviour::StopReading(rng.random_range(0..60_000)), "buy", length),
        2 => ("upload, slow", Behaviour::ReadSlowly(rate), "buy", length),
        3 => ("upload, closed", Behaviour::Close(rng.random_range(0..60_000)), "once", length),
        4 => ("upload", Behaviour::Answer, "once", length),
        5 => ("slow answer", Behaviour::WriteSlowly, "look", 0),
        6 | 7 => ("left", Behaviour::AnswerLate, "once", 500),
        8..=11 => ("write", Behaviour::Answer, "once", 500),
        _ => ("plain", Behaviour::Answer, "look", 0),
    };
    let id = format!("{seed:x}-{number:x}");
    let budget = if length > 1_000 { UPLOAD_BUDGET } else { BUDGET };
    let is_chunked = length > 0 && rng.random_bool(0.5);
    let bytes = request_bytes(&id, class, behaviour, budget, length, is_chunked);
    let must_run_once = class == "once";
    let record = RequestRecord { id, kind: kind.into(), budget, must_run_once, ..RequestRecord::default() };
    JudgedRequest { record, bytes, leaves: kind == "left" }
}

/// Returns the bytes of a request of the soak's settings.
pub fn request_bytes(
    id: &str,
    class: &str,
    behaviour: Behaviour,
    budget: Duration,
    length: usize,
    is_chunked: bool,
) -> Vec<u8> {
    let method = if class == "look" { "GET" } else { "POST" };
    let key = if class == "buy" { format!("Idempotency-Key: k{id}\r\n") } else { String::new() };
    let framing = match (length, is_chunked) {
        (0, _) => String::new(),
        (_, true) => "Transfer-Encoding: chunked\r\n".into(),
        (length, false) => format!("Content-Length: {length}\r\n"),
    };
    let customer = id.bytes().fold(1_u64, |hash, byte| (hash * 31 + u64::from(byte)) % (1 << 32));
    let mut bytes = format!(
        "{method} /api?customer={customer:016x}&serve={} HTTP/1.1\r\nHost: h\r\nX-Call-Id: {id}\r\nX-Call-Class: {class}\r\n\
         X-Plan: team\r\nX-Budget-Ms: {}\r\n{key}X-Quota: units=1,spread=1,first=0\r\n{framing}\r\n",
        behaviour.parameter(),
        budget.as_millis()
    )
    .into_bytes();
    if is_chunked && length > 0 {
        bytes.extend(format!("{length:x}\r\n").as_bytes());
    }
    bytes.resize(bytes.len() + length, b'x');
    if is_chunked && length > 0 {
        bytes.extend(b"\r\n0\r\n\r\n");
    }
    bytes
}

async fn send(gateway: SocketAddr, request: JudgedRequest, start: Instant) -> Option<RequestRecord> {
    let JudgedRequest { mut record, bytes, leaves } = request;
    let stream = timeout(PATIENCE, TcpStream::connect(gateway)).await.ok()?.ok()?;
    let (reading, mut writing) = stream.into_split();
    let mut writer = tokio::spawn(async move {
        let written = writing.write_all(&bytes).await;
        // The half stays open until the answer has come.
        (written.is_ok().then(|| start.elapsed()), writing)
    });
    let mut reader = BufReader::new(reading);
    if leaves {
        sleep(LEAVE_AFTER).await;
        drop(reader);
        writer.abort();
        drop(writer.await);
        record.left_at = Some(start.elapsed());
        record.ended_at = start.elapsed();
        return Some(record);
    }
    if let Ok(Ok(answer)) = timeout(PATIENCE, read_answer(&mut reader)).await {
        (record.status, record.is_cut) = (Some(answer.status), answer.is_cut);
    }
    record.ended_at = start.elapsed();
    let written = timeout(Duration::from_millis(1), &mut writer).await;
    writer.abort();
    record.sent_at = written.ok().and_then(Result::ok).and_then(|(sent_at, _)| sent_at);
    Some(record)
}

/// An answer as far as it came.
struct Answer {
    status: u16,
    is_cut: bool,
}

async fn read_answer(reader: &mut BufReader<OwnedReadHalf>) -> std::io::Result<Answer> {
    let mut line = String::new();
    reader.read_line(&mut line).await?;
    let status = line.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let mut length = 0;
    loop {
        line.clear();
        reader.read_line(&mut line).await?;
        if line.trim_end().is_empty() {
            break;
        }
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().map_err(std::io::Error::other)?;
        }
    }
    let read = tokio::io::copy(&mut reader.take(length), &mut tokio::io::sink()).await.unwrap_or(0);
    Ok(Answer { status, is_cut: read < length })
}
