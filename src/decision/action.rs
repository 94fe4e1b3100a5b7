//! The outputs of the decision module.

use super::ids::{CounterKey, EndpointId, RequestId, TimerId};
use super::time::Micros;
use strum::{IntoStaticStr, VariantArray};

/// What the caller is to do for a gateway.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the next attempt of a request.
    SendAttempt {
        /// The request.
        request: RequestId,
        /// Where to.
        endpoint: EndpointId,
        /// The attempt ends unanswered at this time.
        give_up_at: Micros,
    },
    /// Final answer: rejected.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait before it retries, if it is to be informed.
        retry_after: Option<Micros>,
        /// Why.
        reason: RejectionReason,
    },
    /// Final answer: failed. A retry of the client's may run the request twice.
    Fail {
        /// The request.
        request: RequestId,
        /// Why.
        reason: RejectionReason,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// Which of its attempts.
        attempt: usize,
    },
    /// Add to a counter and report its total.
    IncrementCounter {
        /// The counter.
        key: CounterKey,
        /// What to add, in units or attempts; negative to give back.
        amount: f64,
        /// The counter is forgotten after this time.
        lifetime: Micros,
    },
    /// Send [`Event::TimerFired`](super::Event::TimerFired) after this time.
    SetTimer {
        /// The timer.
        timer: TimerId,
        /// How long from now.
        after: Micros,
    },
    /// Watch the endpoint list.
    Subscribe,
}

/// Why a request ends without an endpoint's response. For logs and metrics alone: clients do not see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr, VariantArray)]
pub enum RejectionReason {
    /// Its class or plan is not among the settings'.
    #[strum(serialize = "unknown")]
    UnknownClassOrPlan,
    /// The last known total of the customer's counter leaves no room; the counter was not called.
    #[strum(serialize = "quota_full")]
    QuotaKnownExhausted,
    /// The counter's total exceeds the quota, or, without an answer, the local token bucket is empty.
    #[strum(serialize = "quota_spent")]
    QuotaExceeded,
    /// The customer has as many attempts in flight as its plan allows.
    #[strum(serialize = "too_many_out")]
    ConcurrencyQuota,
    /// Shed by chance, in proportion to late responses.
    #[strum(serialize = "shed")]
    LoadShed,
    /// No endpoint had capacity in time.
    #[strum(serialize = "no_server")]
    NoEndpoint,
    /// Its attempts ended without a response, and no further one is allowed.
    #[strum(serialize = "attempts_failed")]
    AttemptsExhausted,
    /// Its deadline came.
    #[strum(serialize = "deadline")]
    DeadlineExceeded,
}
