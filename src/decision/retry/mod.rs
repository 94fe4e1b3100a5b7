//! Retries: whether a request may be sent again, how often retries happen in all, and when an attempt is given up
//! so that a retry can still be in time.

mod attempt_timeout;
mod budget;
mod policy;

pub(crate) use attempt_timeout::give_up_at;
pub(crate) use budget::RetryBudget;
pub(crate) use policy::{may_reject, AttemptGuard};
