//! Backoff after failed `accept` calls. Some errors concern only the connection that was to be accepted and do not
//! affect the next call; others, such as a shortage of descriptors, last for a while (accept(2), "Error handling").

use crate::proxy::log_rate_limit::LogRateLimiter;
use rustix::io::Errno;
use std::io;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{sleep, Instant};
use tracing::warn;

/// Pause after an error caused by a resource shortage of the process or the machine, during which every accept fails at
/// once.
const SHORTAGE_BACKOFF: Duration = Duration::from_millis(20);
/// Every time this many errors have occurred in a row, accepting pauses even after a connection error, so that the
/// accept loop never spins.
const MAX_CONSECUTIVE_ERRORS: u32 = 64;

/// Errors that were pending on the connection to be accepted, or that interrupted the call without any other effect.
const CONNECTION_ERRORS: [Errno; 11] = [
    Errno::CONNABORTED,
    Errno::INTR,
    Errno::PROTO,
    Errno::NETDOWN,
    Errno::NETUNREACH,
    Errno::NOPROTOOPT,
    Errno::HOSTDOWN,
    Errno::HOSTUNREACH,
    Errno::NONET,
    Errno::OPNOTSUPP,
    Errno::TIMEDOUT,
];

/// Accept errors of one listener and the backoff after them.
#[derive(Default)]
pub struct AcceptBackoff {
    consecutive_errors: u32,
    failures: u64,
    log_limit: LogRateLimiter,
}

impl AcceptBackoff {
    /// Called when an accept returned a connection.
    pub fn succeeded(&mut self) {
        self.consecutive_errors = 0;
    }

    /// Called when an accept failed. Returns when the next one may be tried.
    pub async fn failed(&mut self, error: &io::Error) {
        self.consecutive_errors = self.consecutive_errors.saturating_add(1);
        self.failures += 1;
        if self.log_limit.try_log(Instant::now()) {
            warn!(%error, failures = self.failures, "accepting a connection failed; will retry");
        }
        let is_connection_error =
            Errno::from_io_error(error).is_some_and(|errno| CONNECTION_ERRORS.contains(&errno));
        match is_connection_error && !self.consecutive_errors.is_multiple_of(MAX_CONSECUTIVE_ERRORS) {
            true => yield_now().await,
            false => sleep(SHORTAGE_BACKOFF).await,
        }
    }
}
