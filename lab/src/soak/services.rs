//! Discovery and the counter of a soak: always there, with a list that does not change.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Revision of the list.
const REVISION: u64 = 41;
/// How long a watch is held.
const HOLD: Duration = Duration::from_secs(2);

/// Addresses of the services.
pub struct Services {
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Address of the counter.
    pub counter: SocketAddr,
}

/// Starts discovery, which lists these backends, and the counter.
///
/// # Errors
/// Returns an error if a port can't be opened.
pub async fn start(backends: &[SocketAddr]) -> io::Result<Services> {
    let entry = |(number, address): (usize, &SocketAddr)| {
        format!(
            r#"{{"id":"s-{number}","host_port":"{address}","locality":"a","flavor":"m","cell":0,"phase":"ready","size":1.0,"up_since_ms":0}}"#
        )
    };
    let members = backends.iter().enumerate().map(entry).collect::<Vec<_>>().join(",");
    let list = format!(r#"{{"revision":{REVISION},"complete":true,"members":[{members}]}}"#);
    let unchanged = format!(r#"{{"revision":{REVISION},"complete":false,"members":[]}}"#);
    let (discovery, counter) =
        (TcpListener::bind("127.0.0.1:0").await?, TcpListener::bind("127.0.0.1:0").await?);
    let services = Services { discovery: discovery.local_addr()?, counter: counter.local_addr()? };
    tokio::spawn(accept(discovery, list, unchanged));
    tokio::spawn(accept(counter, "1".into(), "1".into()));
    Ok(services)
}

async fn accept(listener: TcpListener, answer: String, watch_answer: String) {
    while let Ok((stream, _)) = listener.accept().await {
        let (answer, watch_answer) = (answer.clone(), watch_answer.clone());
        // The gateway may end the connection at any time.
        tokio::spawn(async move { serve(BufReader::new(stream), &answer, &watch_answer).await });
    }
}

async fn serve(mut stream: BufReader<TcpStream>, answer: &str, watch_answer: &str) -> io::Result<()> {
    loop {
        let mut request = String::new();
        if stream.read_line(&mut request).await? == 0 {
            return Ok(());
        }
        let mut line = String::new();
        while stream.read_line(&mut line).await? > 2 {
            line.clear();
        }
        let is_watch = request.contains("hold_ms=");
        if is_watch {
            sleep(HOLD).await;
        }
        let body = if is_watch { watch_answer } else { answer };
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        stream.write_all(text.as_bytes()).await?;
    }
}
