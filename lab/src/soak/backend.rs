//! Backends of a soak. What a backend does with a request is said in the request's path, so that its client knows it.

use crate::soak::judge::BackendRecord;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, Instant};

/// Length of a long response, in bytes.
pub const LONG_RESPONSE_BYTES: usize = 400_000;
/// Time over which a long response is written.
const LONG_RESPONSE_TIME: Duration = Duration::from_secs(4);
/// Pieces of a long response.
const PIECES: u32 = 40;
/// Receive buffer, in bytes, so that little of a body waits behind the gateway.
const RECEIVE_BUFFER_BYTES: u32 = 16 * 1024;
/// Time until the answer to a request whose client leaves.
const LATE: Duration = Duration::from_millis(400);
/// How long a backend that hangs keeps its connection.
const HANG_TIME: Duration = Duration::from_secs(30);

/// What a backend does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers at once.
    Answer,
    /// Answers after some time.
    AnswerLate,
    /// Writes a long response slowly.
    WriteSlowly,
    /// Writes a response of many megabytes at once.
    WriteMuch,
    /// Reads this many bytes of the body, then nothing.
    StopReading(usize),
    /// Reads this many bytes of the body a second.
    ReadSlowly(usize),
    /// Reads this many bytes of the body, then closes.
    Close(usize),
}

impl Behaviour {
    /// Returns the value of the query parameter `serve`.
    pub fn parameter(self) -> String {
        match self {
            Behaviour::Answer => "answer".into(),
            Behaviour::AnswerLate => "late".into(),
            Behaviour::WriteSlowly => "dribble".into(),
            Behaviour::WriteMuch => "much".into(),
            Behaviour::StopReading(bytes) => format!("stop-{bytes}"),
            Behaviour::ReadSlowly(bytes) => format!("slow-{bytes}"),
            Behaviour::Close(bytes) => format!("close-{bytes}"),
        }
    }

    fn parse(request_line: &str) -> Behaviour {
        let value = request_line.split("serve=").nth(1).unwrap_or_default();
        let value = value.split([' ', '&']).next().unwrap_or_default();
        let (name, number) = value.split_once('-').unwrap_or((value, "0"));
        let number = number.parse().unwrap_or(0);
        match name {
            "late" => Behaviour::AnswerLate,
            "dribble" => Behaviour::WriteSlowly,
            "much" => Behaviour::WriteMuch,
            "stop" => Behaviour::StopReading(number),
            "slow" => Behaviour::ReadSlowly(number),
            "close" => Behaviour::Close(number),
            _ => Behaviour::Answer,
        }
    }
}

/// All backends of a play, and what they recorded.
pub struct Backends {
    addresses: Vec<SocketAddr>,
    records: Arc<Mutex<Vec<BackendRecord>>>,
}

impl Backends {
    /// Starts the backends.
    ///
    /// # Errors
    /// Returns an error if a port can't be opened.
    pub async fn start(count: usize, start: Instant) -> io::Result<Backends> {
        let records = Arc::new(Mutex::new(Vec::new()));
        let mut addresses = Vec::new();
        for _ in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            socket2::SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES as usize)?;
            addresses.push(listener.local_addr()?);
            tokio::spawn(accept(listener, records.clone(), start));
        }
        Ok(Backends { addresses, records })
    }

    /// Addresses of the backends.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.addresses.clone()
    }

    /// Takes what was recorded.
    pub fn take_records(&self) -> Vec<BackendRecord> {
        std::mem::take(&mut self.records.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

async fn accept(listener: TcpListener, records: Arc<Mutex<Vec<BackendRecord>>>, start: Instant) {
    while let Ok((stream, _)) = listener.accept().await {
        let records = records.clone();
        // The gateway may end the connection at any time.
        tokio::spawn(async move { serve(BufReader::new(stream), &records, start).await });
    }
}

/// Head of a request.
struct Head {
    behaviour: Behaviour,
    id: String,
    /// `None` for a chunked body.
    length: Option<usize>,
}

async fn read_head(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut head = Head { behaviour: Behaviour::Answer, id: String::new(), length: Some(0) };
    let mut is_first = true;
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(head));
        }
        let lower = line.to_ascii_lowercase();
        if std::mem::take(&mut is_first) {
            head.behaviour = Behaviour::parse(line);
        } else if let Some(id) = lower.strip_prefix("x-call-id: ") {
            head.id = id.to_string();
        } else if let Some(length) = lower.strip_prefix("content-length: ") {
            head.length = length.parse().ok();
        } else if lower.starts_with("transfer-encoding:") {
            head.length = None;
        }
    }
}

async fn serve(
    mut stream: BufReader<TcpStream>,
    records: &Mutex<Vec<BackendRecord>>,
    start: Instant,
) -> io::Result<()> {
    while let Some(head) = read_head(&mut stream).await? {
        let record = |ran| {
            let record = BackendRecord { id: head.id.clone(), at: start.elapsed(), ran };
            records.lock().unwrap_or_else(PoisonError::into_inner).push(record);
        };
        record(false);
        match head.behaviour {
            Behaviour::StopReading(bytes) => {
                discard(&mut stream, bytes).await?;
                sleep(HANG_TIME).await;
                return Ok(());
            }
            Behaviour::Close(bytes) => return discard(&mut stream, bytes).await.map(drop),
            Behaviour::ReadSlowly(bytes) => {
                let length = head.length.unwrap_or(usize::MAX);
                read_slowly(&mut stream, length, bytes).await?;
            }
            _ => read_body(&mut stream, head.length).await?,
        }
        record(true);
        respond(&mut stream, head.behaviour).await?;
    }
    Ok(())
}

async fn discard(stream: &mut BufReader<TcpStream>, bytes: usize) -> io::Result<u64> {
    tokio::io::copy(&mut stream.take(bytes as u64), &mut tokio::io::sink()).await
}

async fn read_slowly(stream: &mut BufReader<TcpStream>, length: usize, rate: usize) -> io::Result<()> {
    const STEPS_PER_SECOND: usize = 20;
    let mut left = length;
    while left > 0 {
        let read = discard(stream, (rate / STEPS_PER_SECOND).clamp(1, left)).await? as usize;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        left -= read;
        sleep(Duration::from_secs(1) / STEPS_PER_SECOND as u32).await;
    }
    Ok(())
}

async fn read_body(stream: &mut BufReader<TcpStream>, length: Option<usize>) -> io::Result<()> {
    if let Some(length) = length {
        return discard(stream, length).await.map(drop);
    }
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).await?;
        let chunk = usize::from_str_radix(line.trim_end(), 16).map_err(io::Error::other)?;
        discard(stream, chunk + 2).await?;
        if chunk == 0 {
            return Ok(());
        }
    }
}

async fn respond(stream: &mut BufReader<TcpStream>, behaviour: Behaviour) -> io::Result<()> {
    const MUCH_BYTES: usize = 4 << 20;
    let length = match behaviour {
        Behaviour::WriteSlowly => LONG_RESPONSE_BYTES,
        Behaviour::WriteMuch => MUCH_BYTES,
        Behaviour::AnswerLate => {
            sleep(LATE).await;
            2
        }
        _ => 2,
    };
    stream.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n").as_bytes()).await?;
    if behaviour != Behaviour::WriteSlowly {
        return stream.write_all(&vec![b'y'; length]).await;
    }
    let piece = vec![b'y'; LONG_RESPONSE_BYTES / PIECES as usize];
    for _ in 0..PIECES {
        stream.write_all(&piece).await?;
        sleep(LONG_RESPONSE_TIME / PIECES).await;
    }
    Ok(())
}
