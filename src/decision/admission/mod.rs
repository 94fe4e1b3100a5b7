//! Admission: whether a request may be forwarded at all.
//!
//! A customer's quota holds over all gateways together. Each request is counted at the shared counter
//! service, in windows ([`quota_window`]). While that service is unavailable, a local token bucket with this
//! gateway's share of the quota decides ([`local_bucket`]). A hard limit bounds both ([`ceiling`]). Attempts
//! in flight have a separate quota ([`concurrency_quota`]), and under overload some requests are shed
//! ([`load_shedding`]).

mod call_fraction;
mod ceiling;
pub(crate) mod concurrency_quota;
pub(crate) mod counter_calls;
mod customer;
pub(crate) mod load_shedding;
mod local_bucket;
pub(crate) mod quota_window;
mod shared_count;

pub(crate) use call_fraction::{CallFraction, MIN_CALL_FRACTION};
pub(crate) use counter_calls::{CounterCall, CounterCalls, CounterPurpose};
pub(crate) use customer::{Customer, ObservedTraffic, RecentRejection, CUSTOMER_IDLE_TIMEOUT};
pub(crate) use load_shedding::{LoadShedding, MIN_PASS_FRACTION};
pub(crate) use local_bucket::LeaseView;
pub(crate) use shared_count::SharedCount;
