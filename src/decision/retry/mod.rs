//! Retries: which requests may be sent again, the retry budget, and attempt time-outs that leave time for a retry.

mod attempt_timeout;
mod budget;
mod policy;

pub(crate) use attempt_timeout::give_up_at;
pub(crate) use budget::RetryBudget;
pub(crate) use policy::{may_reject, AttemptGuard};
