//! The decision module: what a gateway is told, what it may do, and every decision in between. No I/O; time is
//! passed in.

mod action;
mod endpoint;
mod event;
pub mod gateway;
mod ids;
mod quota_lease;
mod routing_rules;
mod settings;
pub(crate) mod state;
mod time;

pub use action::{Action, RejectionReason};
pub use endpoint::{EndpointCounts, EndpointStatus, EndpointUpdate, LoadReport, WatchScope};
pub use event::{Arrival, AttemptEnded, Event, Outcome, PriorAttempt};
pub use gateway::{has_canary_rules, Gateway};
pub use ids::{
    CellId, ClassId, CounterKey, CustomerId, EndpointId, LabelId, PlanId, RequestId, TimerId, ZoneId,
};
pub use quota_lease::QuotaLease;
pub use routing_rules::{RouteRule, RoutingRules};
pub use settings::{Class, DeduplicationScope, Idempotency, Plan, Settings, SettingsError};
pub use state::HandoverState;
pub use time::Micros;
