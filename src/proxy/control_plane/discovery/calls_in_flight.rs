//! Set of concurrent calls to discovery, and their time-outs. Hedged calls are made while discovery does not respond.

use super::call::{Call, CallFailure, ListResponse, Progress};
use crate::proxy::upstream::connection::Connection;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tracing::warn;

/// Limit on concurrent calls; each takes a descriptor.
pub(super) const MAX_CALLS: usize = 3;

/// Response time-out, beyond the hold, of one of the calls in flight, so that a slow or overloaded discovery can
/// answer. The other calls time out sooner, because their connection may be dead.
const LONG_RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// Result of a call that ended.
struct EndedCall {
    /// Whether the call had the long time-out.
    had_long_timeout: bool,
    result: Result<ListResponse, CallFailure>,
}

/// The calls in flight. Dropping the set aborts them and closes their connections.
#[derive(Default)]
pub(super) struct CallsInFlight {
    running: JoinSet<EndedCall>,
    /// Whether a call in flight has the long time-out.
    has_long_timeout_call: bool,
    progress: Rc<Progress>,
}

impl CallsInFlight {
    /// Starts a call with this response time-out, or with [`LONG_RESPONSE_TIMEOUT`] if no call in flight has that.
    pub fn start(&mut self, call: Call, idle: Option<Connection>, response_timeout: Duration) {
        let has_long_timeout = !self.has_long_timeout_call;
        self.has_long_timeout_call = true;
        let response_timeout = if has_long_timeout { LONG_RESPONSE_TIMEOUT } else { response_timeout };
        let response = call.make(idle, response_timeout, self.progress.clone());
        self.running.spawn_local(async move {
            EndedCall { had_long_timeout: has_long_timeout, result: response.await }
        });
    }

    /// Whether another call may be started.
    pub fn has_capacity(&self) -> bool {
        self.running.len() < MAX_CALLS
    }

    /// Whether no call is in flight.
    pub fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    /// Returns when any call last received a chunk of a list.
    pub fn last_progress(&self) -> Option<Instant> {
        self.progress.last()
    }

    /// Waits for the next call to end and returns its result, or `None` if no call is in flight.
    pub async fn next(&mut self) -> Option<Result<ListResponse, CallFailure>> {
        match self.running.join_next().await? {
            Ok(ended) => {
                if ended.had_long_timeout {
                    self.has_long_timeout_call = false;
                }
                if ended.result.is_err() {
                    // Progress of a failed call is no reason to wait longer for the others.
                    self.progress.reset();
                }
                Some(ended.result)
            }
            Err(error) => {
                warn!(%error, "task of a call to discovery panicked or was cancelled; the call counts as failed");
                self.has_long_timeout_call = false;
                Some(Err(CallFailure::Broken { received: 0 }))
            }
        }
    }
}
