//! Errors that are answered with a 4xx status before a request is dispatched. Their texts are sent to clients.

use super::request_body::BodyError;
use hyper::StatusCode;

/// Why a request is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The class is missing or unknown.
    #[error("X-Call-Class: expected a known class")]
    UnknownClass,
    /// The plan is missing or unknown.
    #[error("X-Plan: expected a known plan")]
    UnknownPlan,
    /// The customer is missing or not a number below the limit.
    #[error("customer: expected 16 hex digits")]
    BadCustomer,
    /// The time budget is missing or not a number.
    #[error("X-Budget-Ms: expected whole milliseconds")]
    BadBudget,
    /// The quota header is missing, malformed or outside the limits of this site.
    #[error("X-Quota: expected the units, spread and first of this site")]
    BadQuota,
    /// The call id is missing, empty or given more than once.
    #[error("X-Call-Id: expected an id")]
    BadCallId,
    /// The class requires another method.
    #[error("not this class's method")]
    MethodNotAllowed,
    /// The class requires an idempotency key.
    #[error("Idempotency-Key: expected a key")]
    NoIdempotencyKey,
    /// The idempotency key was already used for another request.
    #[error("the key stands for another request")]
    IdempotencyKeyReused,
    /// A GET request has a body.
    #[error("a GET carries no body")]
    BodyOnGet,
    /// The body is longer than `MAX_REQUEST_BODY_BYTES`.
    #[error("the body is longer than 32 MiB")]
    BodyTooLong,
    /// The body arrived below the minimum rate.
    #[error("the body did not come in time")]
    BodyTooSlow,
    /// The body ended early, or is malformed.
    #[error("the body broke off")]
    BodyBroken,
}

impl RequestError {
    /// Returns the status of the response.
    pub fn status(self) -> StatusCode {
        match self {
            RequestError::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            RequestError::IdempotencyKeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            RequestError::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            RequestError::UnknownClass
            | RequestError::UnknownPlan
            | RequestError::BadCustomer
            | RequestError::BadBudget
            | RequestError::BadQuota
            | RequestError::BadCallId
            | RequestError::NoIdempotencyKey
            | RequestError::BodyOnGet
            | RequestError::BodyBroken => StatusCode::BAD_REQUEST,
        }
    }
}

impl From<BodyError> for RequestError {
    fn from(error: BodyError) -> RequestError {
        match error {
            BodyError::TooLong => RequestError::BodyTooLong,
            BodyError::TooSlow => RequestError::BodyTooSlow,
            BodyError::Broken => RequestError::BodyBroken,
        }
    }
}
