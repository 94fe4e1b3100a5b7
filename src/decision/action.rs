//! Actions, the output of the decision module.

use super::ids::{CounterKey, EndpointId, RequestId, TimerId};
use super::time::Micros;
use strum::{IntoStaticStr, VariantArray};

/// An action that the caller must carry out for a gateway.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the next attempt of a request.
    SendAttempt {
        /// Request to send.
        request: RequestId,
        /// Endpoint to send it to.
        endpoint: EndpointId,
        /// Time at which the attempt is given up if there is no response.
        give_up_at: Micros,
    },
    /// Reject the request as its final answer. The client may safely retry it.
    Reject {
        /// Request to reject.
        request: RequestId,
        /// Value of the Retry-After; `None`: none is sent.
        retry_after: Option<Micros>,
        /// Reason of the rejection.
        reason: RejectionReason,
    },
    /// Fail the request as its final answer. A retry by the client could run it twice.
    Fail {
        /// Request to fail.
        request: RequestId,
        /// Reason of the failure.
        reason: RejectionReason,
    },
    /// Cancel an attempt that is in flight.
    CancelAttempt {
        /// Request of the attempt.
        request: RequestId,
        /// Index of the attempt among the request's attempts, prior attempts included.
        attempt: usize,
    },
    /// Add to a shared counter and report its total.
    IncrementCounter {
        /// Counter to add to.
        key: CounterKey,
        /// Quota units or attempts to add; negative for a refund.
        amount: f64,
        /// How long the counter service keeps the counter.
        lifetime: Micros,
    },
    /// Report [`Event::TimerFired`](super::Event::TimerFired) once the delay has passed.
    SetTimer {
        /// Timer to report.
        timer: TimerId,
        /// Delay from now.
        after: Micros,
    },
    /// Subscribe to changes of the endpoint list.
    Subscribe,
}

/// Why a request ends without a response from an endpoint. Used in logs and metrics; clients don't see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr, VariantArray)]
pub enum RejectionReason {
    /// The settings don't define the request's class or plan.
    #[strum(serialize = "unknown")]
    UnknownClassOrPlan,
    /// By the last known total of the customer's counter, the quota is exhausted. The counter was not called.
    #[strum(serialize = "quota_full")]
    QuotaKnownExhausted,
    /// The counter's total exceeds the quota, or the counter gave no total and the local token bucket is empty.
    #[strum(serialize = "quota_spent")]
    QuotaExceeded,
    /// The customer has as many attempts in flight as the plan allows.
    #[strum(serialize = "too_many_out")]
    ConcurrencyQuota,
    /// Shed at random, with a probability that grows with the rate of late responses.
    #[strum(serialize = "shed")]
    LoadShed,
    /// No endpoint had capacity within the time that a request may be queued.
    #[strum(serialize = "no_server")]
    NoEndpoint,
    /// The attempts ended without a response, and no further attempt is allowed.
    #[strum(serialize = "attempts_failed")]
    AttemptsExhausted,
    /// The deadline passed.
    #[strum(serialize = "deadline")]
    DeadlineExceeded,
}
