//! Clients ask, once the faults are over, what became of the writes that were accepted with 202.

use crate::cluster_poll::call_ops;
use crate::link::lock;
use crate::record::Fate;
use crate::run_context::RunContext;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// The longest wait for one answer.
const PATIENCE: Duration = Duration::from_millis(500);
/// All of them are asked within this.
const LONGEST: Duration = Duration::from_secs(20);

/// Asks for each receipt at one gateway after another, until one knows the write; any of them may have died.
pub async fn ask_receipts(context: &RunContext, gateways: &[SocketAddr]) {
    let places: Vec<String> = lock(&context.record).receipts.iter().map(|r| r.place.clone()).collect();
    let until = Instant::now() + LONGEST;
    for (number, place) in places.iter().enumerate() {
        let mut told = Fate::Nothing;
        for step in 0..gateways.len() {
            if Instant::now() >= until {
                break;
            }
            let at = gateways[(number + step) % gateways.len()];
            told = ask(at, place).await;
            if !matches!(told, Fate::Nothing | Fate::Lost) {
                break;
            }
        }
        context.note(|record| record.receipts[number].told = told);
    }
}

async fn ask(at: SocketAddr, place: &str) -> Fate {
    let call = format!("GET {place} HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n");
    match timeout(PATIENCE, call_ops(at, &call)).await {
        Ok(Some(answer)) => read(&answer),
        _ => Fate::Nothing,
    }
}

/// An answer in the words of `docs/fleet.md`.
fn read(answer: &str) -> Fate {
    let Some((_, words)) = answer.split_once("\r\n\r\n") else { return Fate::Nothing };
    let mut words = words.split_whitespace();
    match words.next().map(|word| word.trim_end_matches([':', ','])) {
        Some("waiting" | "sent") => Fate::Open,
        Some("done") => words.next().and_then(|status| status.parse().ok()).map_or(Fate::Nothing, Fate::Done),
        Some("superseded") => Fate::Superseded,
        Some("expired" | "stopped") => Fate::GivenUp,
        Some("unknown") => Fate::Unknown,
        Some("lost") => Fate::Lost,
        _ => Fate::Nothing,
    }
}
