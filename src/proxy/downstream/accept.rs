//! What a failed accept means: some errors concern one connection alone and say nothing of the next, others last for a
//! while (accept(2), "Error handling").

use crate::proxy::log_rate_limit::LogRateLimiter;
use rustix::io::Errno;
use std::io;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{sleep, Instant};
use tracing::warn;

/// The pause where the process or the machine lacks something: an accept fails at once for as long as that lasts.
const SHORTAGE_BACKOFF: Duration = Duration::from_millis(20);
/// After so many errors in a row of single connections, accepting pauses as well, so that it never spins.
const MAX_ERRORS_IN_A_ROW: u32 = 64;

/// Errors that were pending on the connection that was to be accepted, or that left nothing undone.
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

/// The errors of one listener's accepts.
#[derive(Default)]
pub struct AcceptBackoff {
    errors_in_a_row: u32,
    failures: u64,
    log_limit: LogRateLimiter,
}

impl AcceptBackoff {
    /// An accept brought a connection.
    pub fn succeeded(&mut self) {
        self.errors_in_a_row = 0;
    }

    /// An accept failed; returns when the next may be tried.
    pub async fn failed(&mut self, error: &io::Error) {
        self.errors_in_a_row = self.errors_in_a_row.saturating_add(1);
        self.failures += 1;
        if self.log_limit.allows(Instant::now()) {
            warn!(%error, failures = self.failures, "accept failed");
        }
        let of_one_connection =
            Errno::from_io_error(error).is_some_and(|errno| CONNECTION_ERRORS.contains(&errno));
        match of_one_connection && !self.errors_in_a_row.is_multiple_of(MAX_ERRORS_IN_A_ROW) {
            true => yield_now().await,
            false => sleep(SHORTAGE_BACKOFF).await,
        }
    }
}
