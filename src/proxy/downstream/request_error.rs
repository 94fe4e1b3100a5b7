//! Why a request is answered with 4xx before it is dispatched. The texts are what clients get.

use super::request_body::BodyError;
use hyper::StatusCode;

/// What is wrong with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The class is missing or unknown.
    #[error("X-Call-Class: expected a known class")]
    UnknownClass,
    /// The plan is missing or unknown.
    #[error("X-Plan: expected a known plan")]
    UnknownPlan,
    /// The customer is missing or no number below the limit.
    #[error("customer: expected 16 hex digits")]
    BadCustomer,
    /// The time budget is missing or no number.
    #[error("X-Budget-Ms: expected whole milliseconds")]
    BadBudget,
    /// The quota is missing, malformed or beyond this site's bounds.
    #[error("X-Quota: expected the units, spread and first of this site")]
    BadQuota,
    /// The call's id is missing, empty or there twice.
    #[error("X-Call-Id: expected an id")]
    BadCallId,
    /// The class takes another method.
    #[error("not this class's method")]
    MethodNotAllowed,
    /// The class needs an idempotency key.
    #[error("Idempotency-Key: expected a key")]
    NoIdempotencyKey,
    /// The idempotency key was used for another request.
    #[error("the key stands for another request")]
    IdempotencyKeyReused,
    /// A GET with a body.
    #[error("a GET carries no body")]
    BodyOnGet,
    /// The body is longer than `MAX_REQUEST_BODY_BYTES`.
    #[error("the body is longer than 32 MiB")]
    BodyTooLong,
    /// The body came more slowly than clients are promised.
    #[error("the body did not come in time")]
    BodyTooSlow,
    /// The body broke off, or was malformed.
    #[error("the body broke off")]
    BodyBroken,
}

impl RequestError {
    /// The status of its response.
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
