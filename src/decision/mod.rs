//! The decision module of a gateway: takes events, returns actions, and makes every admission, routing and retry
//! decision. It does no I/O, and the caller passes the time in. `docs/decision-rules.md` maps the questions of
//! on-call engineers to functions.
//!
//! - [`Event`], [`Action`], [`Settings`]: the public interface.
//! - `gateway`: dispatches each event to the rules that apply to it.
//! - `admission`: quotas, the hard limit, the concurrency quota, load shedding.
//! - `connection_reuse`: how long connections rest before they carry another request.
//! - `circuit_breaker`: limits calls to the counter service while they fail.
//! - `eviction`: which connections make room for one that waits to be accepted.
//! - `load_balancing`: subsetting, selection, concurrency limits, slow start, outlier ejection.
//! - `retry`: the retry budget, which requests may be sent again, and attempt time-outs.
//! - `routing`: routing rules that operators roll out.
//! - `upload_clock`: the deadline of a request whose body is still arriving.
//! - `handover_state`: the serialized state that one process hands to its successor.

mod action;
mod admission;
mod circuit_breaker;
mod connection_reuse;
mod context;
mod endpoint;
mod event;
mod eviction;
mod gateway;
mod handover_state;
mod hash;
mod ids;
mod load_balancing;
mod quota_lease;
mod read_progress;
mod request;
mod retry;
mod routing;
mod routing_rules;
mod settings;
mod time;
mod token_bucket;
mod upload_clock;

pub use action::{Action, RejectionReason};
pub use connection_reuse::ReuseRecord;
pub use endpoint::{EndpointCounts, EndpointStatus, EndpointUpdate, LoadReport, WatchScope};
pub use event::{Arrival, AttemptEnded, Event, Outcome, PriorAttempt};
pub use eviction::EvictionLimits;
pub use gateway::Gateway;
pub use handover_state::HandoverState;
pub use ids::{
    CellId, ClassId, CounterKey, CustomerId, EndpointId, LabelId, PlanId, RequestId, TimerId, ZoneId,
};
pub use quota_lease::QuotaLease;
pub use read_progress::{ReadProgress, NANOS_PER_CLIENT_BYTE};
pub use routing::has_canary_rules;
pub use routing_rules::{RouteRule, RoutingRules};
pub use settings::{Class, DeduplicationScope, Idempotency, Plan, Settings, SettingsError};
pub use time::Micros;
pub use upload_clock::{InputProgress, UploadClock};
