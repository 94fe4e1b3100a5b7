//! Polls the status of the writes that were accepted with 202, after the end of the load.

use crate::cluster_poll::call_ops;
use crate::link::lock;
use crate::record::Fate;
use crate::run_context::RunContext;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// Time-out of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Time-out of polling all writes.
const TOTAL_TIMEOUT: Duration = Duration::from_secs(20);

/// Polls the status of each receipt at one gateway after another until one knows the write, as any gateway may be down.
pub async fn ask_receipts(context: &RunContext, gateways: &[SocketAddr]) {
    let paths: Vec<String> = lock(&context.record).receipts.iter().map(|r| r.place.clone()).collect();
    let deadline = Instant::now() + TOTAL_TIMEOUT;
    for (number, path) in paths.iter().enumerate() {
        let mut status = Fate::Nothing;
        for offset in 0..gateways.len() {
            if Instant::now() >= deadline {
                break;
            }
            let gateway = gateways[(number + offset) % gateways.len()];
            status = poll_status(gateway, path).await;
            if !matches!(status, Fate::Nothing | Fate::Lost) {
                break;
            }
        }
        context.note(|record| record.receipts[number].told = status);
    }
}

async fn poll_status(gateway: SocketAddr, path: &str) -> Fate {
    let request = format!("GET {path} HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n");
    match timeout(REQUEST_TIMEOUT, call_ops(gateway, &request)).await {
        Ok(Some(answer)) => parse_status(&answer),
        _ => Fate::Nothing,
    }
}

/// Parses the status text of an answer, whose forms `docs/fleet.md` lists.
fn parse_status(answer: &str) -> Fate {
    let Some((_, body_words)) = answer.split_once("\r\n\r\n") else { return Fate::Nothing };
    let mut body_words = body_words.split_whitespace();
    match body_words.next().map(|word| word.trim_end_matches([':', ','])) {
        Some("waiting" | "sent") => Fate::Open,
        Some("done") => {
            body_words.next().and_then(|code| code.parse().ok()).map_or(Fate::Nothing, Fate::Done)
        }
        Some("superseded") => Fate::Superseded,
        Some("expired" | "stopped") => Fate::GivenUp,
        Some("unknown") => Fate::Unknown,
        Some("lost") => Fate::Lost,
        _ => Fate::Nothing,
    }
}
