//! Serialized state that a gateway's process hands to its successor.
//!
//! This file alone defines the serialized field names, except for the variants of [`EndpointStatus`]. Processes of
//! other versions read and write this state, so the serialized names must not change.

use super::admission::{Customer, ObservedTraffic, RecentRejection, SharedCount};
use super::circuit_breaker::CircuitBreaker;
use super::endpoint::EndpointStatus;
use super::ids::{CellId, ClassId, CustomerId, EndpointId, PlanId, ZoneId};
use super::load_balancing::EndpointState;
use super::time::Micros;
use super::token_bucket::TokenBucket;
use serde::{Deserialize, Serialize};

/// State that the successor process needs to keep enforcing quotas, limits and ejections.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct HandoverState {
    #[serde(rename = "servers")]
    pub(crate) endpoints: Vec<(EndpointId, EndpointRecord)>,
    pub(crate) customers: Vec<(CustomerId, CustomerRecord)>,
    pub(crate) breaker: BreakerRecord,
    #[serde(rename = "ask")]
    pub(crate) call_fraction: f64,
    #[serde(rename = "flow")]
    pub(crate) forward_rate: BucketRecord,
    #[serde(rename = "latency")]
    pub(crate) latency_us: f64,
    #[serde(rename = "fail_share")]
    pub(crate) failure_fraction: f64,
    #[serde(rename = "pass")]
    pub(crate) pass_fraction: f64,
    #[serde(rename = "usual_worth")]
    pub(crate) average_weight: f64,
}

#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct BucketRecord {
    level: f64,
    #[serde(rename = "depth")]
    capacity: f64,
    rate: f64,
    #[serde(rename = "at")]
    filled_at: Micros,
}

impl From<TokenBucket> for BucketRecord {
    fn from(bucket: TokenBucket) -> BucketRecord {
        BucketRecord {
            level: bucket.level,
            capacity: bucket.capacity,
            rate: bucket.rate,
            filled_at: bucket.filled_at,
        }
    }
}

impl From<BucketRecord> for TokenBucket {
    fn from(record: BucketRecord) -> TokenBucket {
        TokenBucket {
            level: record.level,
            capacity: record.capacity,
            rate: record.rate,
            filled_at: record.filled_at,
        }
    }
}

#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct BreakerRecord {
    #[serde(rename = "streak")]
    failure_streak: f64,
    #[serde(rename = "opened")]
    opened_at: Option<Micros>,
    probing: bool,
}

impl From<CircuitBreaker> for BreakerRecord {
    fn from(breaker: CircuitBreaker) -> BreakerRecord {
        BreakerRecord {
            failure_streak: breaker.failure_streak,
            opened_at: breaker.opened_at,
            probing: breaker.probing,
        }
    }
}

impl From<BreakerRecord> for CircuitBreaker {
    fn from(record: BreakerRecord) -> CircuitBreaker {
        CircuitBreaker {
            failure_streak: record.failure_streak,
            opened_at: record.opened_at,
            probing: record.probing,
        }
    }
}

#[derive(Debug, Default, Serialize, Deserialize)]
struct CountRecord {
    #[serde(rename = "span")]
    period: u64,
    #[serde(rename = "posted")]
    own_counted: f64,
    #[serde(rename = "owed")]
    unreported: f64,
    #[serde(rename = "posting")]
    in_flight: f64,
    #[serde(rename = "seen")]
    last_total: f64,
    #[serde(rename = "left")]
    carried_over: f64,
    #[serde(rename = "follows")]
    carry_over_known: bool,
}

impl From<SharedCount> for CountRecord {
    fn from(count: SharedCount) -> CountRecord {
        CountRecord {
            period: count.period,
            own_counted: count.own_counted,
            unreported: count.unreported,
            in_flight: count.in_flight,
            last_total: count.last_total,
            carried_over: count.carried_over,
            carry_over_known: count.carry_over_known,
        }
    }
}

impl From<CountRecord> for SharedCount {
    fn from(record: CountRecord) -> SharedCount {
        SharedCount {
            period: record.period,
            own_counted: record.own_counted,
            unreported: record.unreported,
            in_flight: record.in_flight,
            last_total: record.last_total,
            carried_over: record.carried_over,
            carry_over_known: record.carry_over_known,
        }
    }
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct RejectionRecord {
    pub(crate) class: ClassId,
    units: f64,
    at: Micros,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct CustomerRecord {
    #[serde(rename = "refused")]
    pub(crate) last_rejection: Option<RejectionRecord>,
    pub(crate) plan: PlanId,
    #[serde(rename = "spread")]
    gateway_count: f64,
    #[serde(rename = "first", default)]
    pub(crate) first_gateway: u32,
    window: CountRecord,
    epoch: CountRecord,
    /// Units through this gateway, and units through all gateways.
    #[serde(rename = "heard")]
    observed: (f64, f64),
    #[serde(rename = "bucket")]
    local_bucket: Option<BucketRecord>,
    #[serde(rename = "beyond")]
    hard_limit_bucket: BucketRecord,
    breaker: BreakerRecord,
    #[serde(rename = "used")]
    last_used: Micros,
}

impl From<Customer> for CustomerRecord {
    fn from(customer: Customer) -> CustomerRecord {
        let rejection = |rejection: RecentRejection| RejectionRecord {
            class: rejection.class,
            units: rejection.units,
            at: rejection.at,
        };
        CustomerRecord {
            last_rejection: customer.last_rejection.map(rejection),
            plan: customer.plan,
            gateway_count: customer.gateway_count,
            first_gateway: customer.first_gateway,
            window: customer.window.into(),
            epoch: customer.epoch.into(),
            observed: (customer.observed.own, customer.observed.total),
            local_bucket: customer.local_bucket.map(BucketRecord::from),
            hard_limit_bucket: customer.hard_limit_bucket.into(),
            breaker: customer.breaker.into(),
            last_used: customer.last_used,
        }
    }
}

impl From<CustomerRecord> for Customer {
    fn from(record: CustomerRecord) -> Customer {
        let rejection = |record: RejectionRecord| RecentRejection {
            class: record.class,
            units: record.units,
            at: record.at,
        };
        Customer {
            last_rejection: record.last_rejection.map(rejection),
            plan: record.plan,
            gateway_count: record.gateway_count,
            first_gateway: record.first_gateway,
            window: record.window.into(),
            epoch: record.epoch.into(),
            observed: ObservedTraffic { own: record.observed.0, total: record.observed.1 },
            local_bucket: record.local_bucket.map(TokenBucket::from),
            hard_limit_bucket: record.hard_limit_bucket.into(),
            breaker: record.breaker.into(),
            last_used: record.last_used,
            ..Customer::default()
        }
    }
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct EndpointRecord {
    zone: ZoneId,
    cell: CellId,
    weight: f64,
    #[serde(rename = "listed")]
    status: Option<EndpointStatus>,
    #[serde(rename = "maintained")]
    in_maintenance: bool,
    #[serde(rename = "latency")]
    latency_us: f64,
    #[serde(rename = "limit")]
    concurrency_limit: f64,
    #[serde(rename = "fail_share")]
    failure_fraction: f64,
    #[serde(rename = "ejected_until")]
    excluded_until: Micros,
    #[serde(rename = "ejections")]
    ejection_doublings: u32,
    #[serde(rename = "trial")]
    on_trial: bool,
    #[serde(rename = "unreached_since")]
    unreachable_since: Option<Micros>,
    #[serde(rename = "cold_since")]
    slow_start_since: Option<Micros>,
    #[serde(rename = "cold_room")]
    slow_start_allowance: BucketRecord,
}

impl From<EndpointState> for EndpointRecord {
    fn from(endpoint: EndpointState) -> EndpointRecord {
        EndpointRecord {
            zone: endpoint.zone,
            cell: endpoint.cell,
            weight: endpoint.weight,
            status: endpoint.status,
            in_maintenance: endpoint.in_maintenance,
            latency_us: endpoint.latency_us,
            concurrency_limit: endpoint.concurrency_limit,
            failure_fraction: endpoint.failure_fraction,
            excluded_until: endpoint.excluded_until,
            ejection_doublings: endpoint.ejection_doublings,
            on_trial: endpoint.on_trial,
            unreachable_since: endpoint.unreachable_since,
            slow_start_since: endpoint.slow_start_since,
            slow_start_allowance: endpoint.slow_start_allowance.into(),
        }
    }
}

impl From<EndpointRecord> for EndpointState {
    fn from(record: EndpointRecord) -> EndpointState {
        EndpointState {
            zone: record.zone,
            cell: record.cell,
            weight: record.weight,
            status: record.status,
            in_maintenance: record.in_maintenance,
            latency_us: record.latency_us,
            concurrency_limit: record.concurrency_limit,
            failure_fraction: record.failure_fraction,
            excluded_until: record.excluded_until,
            ejection_doublings: record.ejection_doublings,
            on_trial: record.on_trial,
            unreachable_since: record.unreachable_since,
            slow_start_since: record.slow_start_since,
            slow_start_allowance: record.slow_start_allowance.into(),
            ..EndpointState::default()
        }
    }
}
