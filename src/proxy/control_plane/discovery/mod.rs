//! The watch on discovery's endpoint list: a long poll that is repeated for ever, and that may fall silent at any time.
//!
//! Each call but the first is held by discovery until the list changes or the hold is over. A call without a response by
//! then counts as silent: further calls, not held, are made beside it, each over a connection of its own, until one is
//! answered. The others are dropped with their connections, so that the late response of an abandoned call is never
//! read. At most `MAX_CALLS` calls are in flight at once. A call whose list comes slowly, but comes, is waited for, and
//! no other is made beside it.
//!
//! Bound: while discovery can be reached, a change is in the runtime's channel at most hold + silence + one round trip
//! after discovery has it, which is below the 6 s after which it counts as announced.

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

/// The pause before a failed call is retried; a watch goes on if its next call comes within 200 ms.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// The backoff doubles with each failure in a row, up to this where the connection or the service may be back at any
/// moment, so that a change is heard well within the grace of a drain.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(300);
/// The same where a response came and can't be used: the next one is likely to be like it.
const MAX_UNUSABLE_PAUSE: Duration = Duration::from_secs(2);
/// The backoff stops doubling after so many failures, before its factor could overflow.
const MAX_DOUBLINGS: u32 = 8;
/// A retry comes after a random part of its pause, from this part of it to [`MAX_JITTER`], so that the gateways of a
/// fleet do not all come at once.
const MIN_JITTER: f64 = 0.75;
/// See [`MIN_JITTER`].
const MAX_JITTER: f64 = 1.25;

/// How often and for how long discovery is polled.
#[derive(Debug, Clone, Copy)]
pub struct PollTiming {
    /// How long discovery is asked to hold a call while the list does not change.
    hold: Duration,
    /// A call counts as silent so long after its hold is over.
    silence: Duration,
    /// Calls beside a silent one are made at intervals that double from `silence` to this.
    max_interval: Duration,
    /// A silent call is given up so long after its hold is over, but for the one that is waited for longest.
    patience: Duration,
}

impl PollTiming {
    /// Where lists are pushed, an agent on this machine answers at once and at no cost.
    const PUSHED: PollTiming = PollTiming {
        hold: Duration::from_secs(2),
        silence: Duration::from_millis(500),
        max_interval: Duration::from_millis(500),
        patience: Duration::from_secs(1),
    };
    /// Where lists are polled, one service answers all gateways in turn: an early retry would only make it slower.
    const POLLED: PollTiming = PollTiming {
        hold: Duration::from_secs(3),
        silence: Duration::from_secs(2),
        max_interval: Duration::from_secs(4),
        patience: Duration::from_secs(2),
    };

    /// The timing for a deployment.
    pub fn of(settings: &Settings) -> PollTiming {
        match settings.must_subscribe {
            true => PollTiming::POLLED,
            false => PollTiming::PUSHED,
        }
    }
}

/// Brings the list up to date, from the revision that the runtime holds if there is one, then watches it for ever and
/// passes each change on to the runtime.
pub async fn watch(
    address: SocketAddr,
    held_revision: Option<u64>,
    timing: PollTiming,
    runtime: RuntimeSender,
    metrics: Rc<Metrics>,
) {
    let mut watch = EndpointWatch {
        address,
        timing,
        revision: held_revision,
        answered: false,
        failing: None,
        failures: 0,
        log_limit: LogRateLimiter::default(),
        metrics,
    };
    let mut idle = None;
    loop {
        let ListResponse { list, length, connection } = watch.next_response(idle.take()).await;
        idle = Some(connection);
        if !watch.follows(&list) {
            watch.reject(&list);
            sleep(RETRY_PAUSE).await;
            continue;
        }
        watch.answered = true;
        watch.revision = Some(list.revision);
        watch.metrics.discovery.list_applied(list.revision, length);
        if runtime.send(RuntimeEvent::EndpointsChanged(list)).await.is_err() {
            return;
        }
    }
}

/// Where the watch stands.
struct EndpointWatch {
    address: SocketAddr,
    timing: PollTiming,
    /// The revision of the list that the runtime holds.
    revision: Option<u64>,
    /// This watch has brought a list.
    answered: bool,
    /// How the last call failed, if it did.
    failing: Option<FailureKind>,
    /// Failures since the last list.
    failures: u32,
    log_limit: LogRateLimiter,
    metrics: Rc<Metrics>,
}

impl EndpointWatch {
    /// Guards against a stale response that would undo a drain already announced, and against changes to a list that is
    /// not held. The complete list, which is fetched anew, is what discovery has.
    fn follows(&self, list: &EndpointList) -> bool {
        match self.revision {
            Some(held) => list.revision >= held,
            None => list.complete,
        }
    }

    fn reject(&mut self, list: &EndpointList) {
        warn!(
            revision = list.revision,
            complete = list.complete,
            held = self.revision,
            "endpoint list does not follow the one that is held; asking for the complete list"
        );
        self.metrics.discovery.call_failed(FailureKind::OutOfOrder);
        self.revision = None;
    }

    /// The call for the list as it is, without a hold.
    fn prompt_call(&self) -> Call {
        Call { address: self.address, since: self.revision, hold: Duration::ZERO }
    }

    /// How long discovery may hold the next call. A list from before this watch may be old: the first call brings what
    /// there is at once.
    fn hold(&self) -> Duration {
        match self.answered && self.revision.is_some() {
            true => self.timing.hold,
            false => Duration::ZERO,
        }
    }

    /// The first response to any of as many calls as it takes.
    async fn next_response(&mut self, idle: Option<Connection>) -> ListResponse {
        let idle = idle.and_then(|mut connection| connection.is_usable().then_some(connection));
        let hold = self.hold();
        // Dropped with the response, which ends the other calls and closes their connections.
        let mut calls = CallsInFlight::default();
        self.metrics.discovery.call_started();
        calls.start(Call { hold, ..self.prompt_call() }, idle, self.timing.patience);
        let mut interval = self.timing.silence;
        let mut next_call = Instant::now() + hold + interval;
        loop {
            tokio::select! {
                biased;
                Some(ended) = calls.next() => match ended {
                    Ok(response) => {
                        self.note_recovery();
                        return response;
                    }
                    Err(failure) => {
                        self.note_failure(&failure);
                        let retry_at = Instant::now() + self.retry_pause();
                        next_call = if calls.is_empty() { retry_at } else { next_call.min(retry_at) };
                    }
                },
                () = sleep_until(next_call) => {
                    let now = Instant::now();
                    // A list that comes slowly is not silent: another call would only make it slower.
                    let silent_at = calls.last_progress().map(|last| last + self.timing.silence);
                    if let Some(later) = silent_at.filter(|at| now < *at) {
                        next_call = later;
                        continue;
                    }
                    if calls.have_room() {
                        self.metrics.discovery.call_started();
                        calls.start(self.prompt_call(), None, self.timing.patience);
                    }
                    next_call = now + interval;
                    interval = (interval * 2).min(self.timing.max_interval);
                }
            }
        }
    }

    /// How long after the last failure a call is retried: exponential backoff with jitter.
    fn retry_pause(&self) -> Duration {
        let longest = match self.failing {
            Some(FailureKind::TooLong | FailureKind::Malformed) => MAX_UNUSABLE_PAUSE,
            _ => MAX_RETRY_PAUSE,
        };
        let doublings = self.failures.saturating_sub(1).min(MAX_DOUBLINGS);
        let pause = (RETRY_PAUSE * (1 << doublings)).min(longest);
        pause.mul_f64(MIN_JITTER + (MAX_JITTER - MIN_JITTER) * fastrand::f64())
    }

    fn note_failure(&mut self, failure: &CallFailure) {
        let kind = failure.kind();
        self.metrics.discovery.call_failed(kind);
        self.failures += 1;
        let is_new = self.failing.replace(kind) != Some(kind);
        if self.log_limit.allows(Instant::now()) || is_new {
            warn!(
                problem = %failure,
                failures = self.failures,
                held = self.revision,
                "call to discovery failed; the endpoint list stays as it is"
            );
        }
    }

    fn note_recovery(&mut self) {
        if self.failing.take().is_some() {
            info!(failures = self.failures, "discovery answers again");
            self.failures = 0;
        }
    }
}
