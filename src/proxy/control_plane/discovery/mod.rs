//! Watches discovery's endpoint list by long polling, with hedged calls while discovery does not respond.
//!
//! Discovery holds each call but the first until the list changes or the hold is over. If a call has no response some
//! time after its hold, hedged calls without a hold are made, each over its own connection, until one is answered.
//! The other calls are then dropped with their connections, so that a late response of an abandoned call is never
//! read. At most `MAX_CALLS` calls are in flight at once. While a list arrives slowly but makes progress, no hedged
//! call is made.
//!
//! Bound: while discovery can be reached, a change reaches the runtime's channel at most hold + hedge delay + one
//! round trip after discovery has it, which is less than the 6 s after which a change counts as announced.

pub(in crate::proxy) mod call;
mod calls_in_flight;
pub(in crate::proxy) mod endpoint_list;
mod wire;

pub use call::FailureKind;
pub use endpoint_list::{DiscoveredEndpoint, EndpointList, MAX_ENDPOINTS, MAX_LIST_BYTES};

use crate::decision::Settings;
use crate::proxy::admin::metrics::Metrics;
use crate::proxy::log_rate_limit::LogRateLimiter;
use crate::proxy::runtime::messages::{RuntimeEvent, RuntimeSender};
use crate::proxy::upstream::connection::Connection;
use call::{Call, CallFailure, ListResponse};
use calls_in_flight::CallsInFlight;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};
use tracing::{info, warn};

/// Initial backoff before a failed call is retried. Discovery continues a watch if its next call comes within 200 ms.
const RETRY_BACKOFF: Duration = Duration::from_millis(100);
/// Upper bound on the backoff, which doubles with each consecutive failure. Used where the connection or the service
/// may recover at any moment, so that a change arrives well within the grace period of a drain.
const MAX_RETRY_BACKOFF: Duration = Duration::from_millis(300);
/// Upper bound on the backoff after an unusable response, since the next response is likely to be unusable too.
const MAX_UNUSABLE_RESPONSE_BACKOFF: Duration = Duration::from_secs(2);
/// Limit on the doublings of the backoff, which keeps its factor from overflowing.
const MAX_DOUBLINGS: u32 = 8;
/// Lower bound on the random factor of a backoff, which reaches up to [`MAX_JITTER`]. Jitter keeps the gateways of a
/// cluster from retrying all at once.
const MIN_JITTER: f64 = 0.75;
/// Upper bound on the random factor of a backoff.
const MAX_JITTER: f64 = 1.25;

/// Timing of the calls to discovery.
#[derive(Debug, Clone, Copy)]
pub struct PollTiming {
    /// How long discovery may hold a call while the list does not change.
    hold: Duration,
    /// Delay after the hold of an unanswered call until the first hedged call.
    hedge_delay: Duration,
    /// Upper bound on the interval between hedged calls, which doubles from `hedge_delay`.
    max_hedge_interval: Duration,
    /// Time after the hold at which an unanswered call is given up, except for the one call with the long time-out.
    response_timeout: Duration,
}

impl PollTiming {
    /// Timing for pushed lists: an agent on this machine answers at once and at no cost.
    const PUSHED: PollTiming = PollTiming {
        hold: Duration::from_secs(2),
        hedge_delay: Duration::from_millis(500),
        max_hedge_interval: Duration::from_millis(500),
        response_timeout: Duration::from_secs(1),
    };
    /// Timing for polled lists: one service answers all gateways in turn, so an early hedged call would only slow it
    /// down.
    const POLLED: PollTiming = PollTiming {
        hold: Duration::from_secs(3),
        hedge_delay: Duration::from_secs(2),
        max_hedge_interval: Duration::from_secs(4),
        response_timeout: Duration::from_secs(2),
    };

    /// Returns the timing for a deployment.
    pub fn from_settings(settings: &Settings) -> PollTiming {
        match settings.must_subscribe {
            true => PollTiming::POLLED,
            false => PollTiming::PUSHED,
        }
    }
}

/// Fetches the endpoint list, as changes since the revision that the runtime already has, if any. Then watches the
/// list and passes each change to the runtime. Returns only when the runtime has ended.
pub async fn watch(
    address: SocketAddr,
    last_known_revision: Option<u64>,
    timing: PollTiming,
    runtime: RuntimeSender,
    metrics: Rc<Metrics>,
) {
    let mut watch = EndpointWatch {
        address,
        timing,
        revision: last_known_revision,
        has_received_list: false,
        last_failure: None,
        consecutive_failures: 0,
        log_limit: LogRateLimiter::default(),
        metrics,
    };
    let mut idle = None;
    loop {
        let ListResponse { list, length, connection } = watch.next_response(idle.take()).await;
        idle = Some(connection);
        if !watch.is_applicable(&list) {
            watch.reject(&list);
            sleep(RETRY_BACKOFF).await;
            continue;
        }
        watch.has_received_list = true;
        watch.revision = Some(list.revision);
        watch.metrics.discovery.list_applied(list.revision, length);
        if runtime.send(RuntimeEvent::EndpointsChanged(list)).await.is_err() {
            return;
        }
    }
}

/// State of the watch on the endpoint list.
struct EndpointWatch {
    address: SocketAddr,
    timing: PollTiming,
    /// Revision of the runtime's list; `None` requests the complete list.
    revision: Option<u64>,
    /// Whether this watch has received a list.
    has_received_list: bool,
    /// Kind of the last failure, until discovery answers again.
    last_failure: Option<FailureKind>,
    /// Failed calls since the last response.
    consecutive_failures: u32,
    log_limit: LogRateLimiter,
    metrics: Rc<Metrics>,
}

impl EndpointWatch {
    /// Whether the list may be applied to the runtime's list. Rejects a stale list, which would undo a drain already
    /// announced, and changes to a list that the runtime does not have. After a rejection the complete list is
    /// fetched and applied whatever its revision.
    fn is_applicable(&self, list: &EndpointList) -> bool {
        match self.revision {
            Some(current) => list.revision >= current,
            None => list.complete,
        }
    }

    fn reject(&mut self, list: &EndpointList) {
        warn!(
            revision = list.revision,
            complete = list.complete,
            held = self.revision,
            "endpoint list is stale or incomplete; requesting the complete list"
        );
        self.metrics.discovery.call_failed(FailureKind::OutOfOrder);
        self.revision = None;
    }

    /// Returns a call without a hold, which discovery answers at once.
    fn immediate_call(&self) -> Call {
        Call { address: self.address, since: self.revision, hold: Duration::ZERO }
    }

    /// Returns how long discovery may hold the next call. The first call has no hold, because a list from before this
    /// watch may be stale.
    fn hold(&self) -> Duration {
        match self.has_received_list && self.revision.is_some() {
            true => self.timing.hold,
            false => Duration::ZERO,
        }
    }

    /// Makes calls, with hedged calls and retries as needed, until one is answered.
    async fn next_response(&mut self, idle: Option<Connection>) -> ListResponse {
        let idle = idle.and_then(|mut connection| connection.is_usable().then_some(connection));
        let hold = self.hold();
        // Dropped at return, which aborts the other calls and closes their connections.
        let mut calls = CallsInFlight::default();
        self.metrics.discovery.call_started();
        calls.start(Call { hold, ..self.immediate_call() }, idle, self.timing.response_timeout);
        let mut hedge_interval = self.timing.hedge_delay;
        let mut next_call_at = Instant::now() + hold + hedge_interval;
        loop {
            tokio::select! {
                biased;
                Some(ended) = calls.next() => match ended {
                    Ok(response) => {
                        self.record_recovery();
                        return response;
                    }
                    Err(failure) => {
                        self.record_failure(&failure);
                        let retry_at = Instant::now() + self.retry_backoff();
                        next_call_at = if calls.is_empty() { retry_at } else { next_call_at.min(retry_at) };
                    }
                },
                () = sleep_until(next_call_at) => {
                    let now = Instant::now();
                    // No hedged call while a list makes progress: another call would only slow it down.
                    let hedge_at = calls.last_progress().map(|last| last + self.timing.hedge_delay);
                    if let Some(later) = hedge_at.filter(|at| now < *at) {
                        next_call_at = later;
                        continue;
                    }
                    if calls.has_capacity() {
                        self.metrics.discovery.call_started();
                        calls.start(self.immediate_call(), None, self.timing.response_timeout);
                    }
                    next_call_at = now + hedge_interval;
                    hedge_interval = (hedge_interval * 2).min(self.timing.max_hedge_interval);
                }
            }
        }
    }

    /// Returns the delay before a failed call is retried: exponential backoff with jitter.
    fn retry_backoff(&self) -> Duration {
        let max_backoff = match self.last_failure {
            Some(FailureKind::TooLong | FailureKind::Malformed) => MAX_UNUSABLE_RESPONSE_BACKOFF,
            _ => MAX_RETRY_BACKOFF,
        };
        let doublings = self.consecutive_failures.saturating_sub(1).min(MAX_DOUBLINGS);
        let backoff = (RETRY_BACKOFF * (1 << doublings)).min(max_backoff);
        backoff.mul_f64(MIN_JITTER + (MAX_JITTER - MIN_JITTER) * fastrand::f64())
    }

    fn record_failure(&mut self, failure: &CallFailure) {
        let kind = failure.kind();
        self.metrics.discovery.call_failed(kind);
        self.consecutive_failures += 1;
        let is_new = self.last_failure.replace(kind) != Some(kind);
        if self.log_limit.try_log(Instant::now()) || is_new {
            warn!(
                problem = %failure,
                failures = self.consecutive_failures,
                held = self.revision,
                "call to discovery failed; the current endpoint list stays in use"
            );
        }
    }

    fn record_recovery(&mut self) {
        if self.last_failure.take().is_some() {
            info!(failures = self.consecutive_failures, "discovery answers again");
            self.consecutive_failures = 0;
        }
    }
}
