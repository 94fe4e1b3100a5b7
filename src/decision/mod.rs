//! The decision module: events in, actions out, and every decision in between. No I/O; time is passed in. `docs/decision-rules.md` leads from the questions of on-call engineers to the functions.
//!
//! - [`Event`], [`Action`], [`Settings`]: the interface.
//! - `gateway`: dispatches each event to the rules that it concerns.
//! - `admission`: quotas, the ceiling, the concurrency quota, load shedding.
//! - `circuit_breaker`: calls to the counter service while it fails.
//! - `load_balancing`: subsetting, selection, concurrency limits, slow start, outlier ejection.
//! - `retry`: the retry budget, what may be sent again, when an attempt is given up.
//! - `routing`: routing rules that operators roll out.
//! - `handover_state`: the form in which one process hands the gateway to the next.

mod action;
mod admission;
mod circuit_breaker;
mod context;
mod endpoint;
mod event;
mod gateway;
mod handover_state;
mod hash;
mod ids;
mod load_balancing;
mod quota_lease;
mod request;
mod retry;
mod routing;
mod routing_rules;
mod settings;
mod time;
mod token_bucket;

pub use action::{Action, RejectionReason};
pub use endpoint::{EndpointCounts, EndpointStatus, EndpointUpdate, LoadReport, WatchScope};
pub use event::{Arrival, AttemptEnded, Event, Outcome, PriorAttempt};
pub use gateway::Gateway;
pub use handover_state::HandoverState;
pub use ids::{
    CellId, ClassId, CounterKey, CustomerId, EndpointId, LabelId, PlanId, RequestId, TimerId, ZoneId,
};
pub use quota_lease::QuotaLease;
pub use routing::has_canary_rules;
pub use routing_rules::{RouteRule, RoutingRules};
pub use settings::{Class, DeduplicationScope, Idempotency, Plan, Settings, SettingsError};
pub use time::Micros;
