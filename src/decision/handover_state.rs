//! What the process that takes a gateway over must know, in the form in which it is sent: the only place that knows
//! the names of its fields, but for the variants of [`EndpointStatus`]. Processes of other versions read and write it, so the names stay as they are.

use super::admission::{Customer, ObservedTraffic, RecentRejection, SharedCount};
use super::circuit_breaker::CircuitBreaker;
use super::endpoint::EndpointStatus;
use super::ids::{CellId, ClassId, CustomerId, EndpointId, PlanId, ZoneId};
use super::load_balancing::EndpointState;
use super::time::Micros;
use super::token_bucket::TokenBucket;
use serde::{Deserialize, Serialize};

/// What the process that takes a gateway over must know to keep the quotas and guards.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct HandoverState {
    #[serde(rename = "servers")]
    pub(crate) endpoints: Vec<(EndpointId, EndpointForm)>,
    pub(crate) customers: Vec<(CustomerId, CustomerForm)>,
    pub(crate) breaker: BreakerForm,
    #[serde(rename = "ask")]
    pub(crate) call_fraction: f64,
    #[serde(rename = "flow")]
    pub(crate) forward_rate: BucketForm,
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
pub(crate) struct BucketForm {
    level: f64,
    #[serde(rename = "depth")]
    capacity: f64,
    rate: f64,
    #[serde(rename = "at")]
    filled_at: Micros,
}

impl From<TokenBucket> for BucketForm {
    fn from(bucket: TokenBucket) -> BucketForm {
        BucketForm {
            level: bucket.level,
            capacity: bucket.capacity,
            rate: bucket.rate,
            filled_at: bucket.filled_at,
        }
    }
}

impl From<BucketForm> for TokenBucket {
    fn from(form: BucketForm) -> TokenBucket {
        TokenBucket { level: form.level, capacity: form.capacity, rate: form.rate, filled_at: form.filled_at }
    }
}

#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct BreakerForm {
    #[serde(rename = "streak")]
    failure_streak: f64,
    #[serde(rename = "opened")]
    opened_at: Option<Micros>,
    probing: bool,
}

impl From<CircuitBreaker> for BreakerForm {
    fn from(breaker: CircuitBreaker) -> BreakerForm {
        BreakerForm {
            failure_streak: breaker.failure_streak,
            opened_at: breaker.opened_at,
            probing: breaker.probing,
        }
    }
}

impl From<BreakerForm> for CircuitBreaker {
    fn from(form: BreakerForm) -> CircuitBreaker {
        CircuitBreaker {
            failure_streak: form.failure_streak,
            opened_at: form.opened_at,
            probing: form.probing,
        }
    }
}

#[derive(Debug, Default, Serialize, Deserialize)]
struct CountForm {
    #[serde(rename = "span")]
    period: u64,
    #[serde(rename = "posted")]
    own_counted: f64,
    owed: f64,
    #[serde(rename = "posting")]
    in_transit: f64,
    #[serde(rename = "seen")]
    last_total: f64,
    #[serde(rename = "left")]
    carried_over: f64,
    #[serde(rename = "follows")]
    carry_over_known: bool,
}

impl From<SharedCount> for CountForm {
    fn from(count: SharedCount) -> CountForm {
        CountForm {
            period: count.period,
            own_counted: count.own_counted,
            owed: count.owed,
            in_transit: count.in_transit,
            last_total: count.last_total,
            carried_over: count.carried_over,
            carry_over_known: count.carry_over_known,
        }
    }
}

impl From<CountForm> for SharedCount {
    fn from(form: CountForm) -> SharedCount {
        SharedCount {
            period: form.period,
            own_counted: form.own_counted,
            owed: form.owed,
            in_transit: form.in_transit,
            last_total: form.last_total,
            carried_over: form.carried_over,
            carry_over_known: form.carry_over_known,
        }
    }
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct RejectionForm {
    pub(crate) class: ClassId,
    units: f64,
    at: Micros,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct CustomerForm {
    #[serde(rename = "refused")]
    pub(crate) last_rejection: Option<RejectionForm>,
    pub(crate) plan: PlanId,
    spread: f64,
    #[serde(rename = "first", default)]
    pub(crate) first_gateway: u32,
    window: CountForm,
    epoch: CountForm,
    /// Units through this gateway, and through all.
    #[serde(rename = "heard")]
    observed: (f64, f64),
    #[serde(rename = "bucket")]
    local_bucket: Option<BucketForm>,
    #[serde(rename = "beyond")]
    ceiling_bucket: BucketForm,
    breaker: BreakerForm,
    #[serde(rename = "used")]
    last_used: Micros,
}

impl From<Customer> for CustomerForm {
    fn from(customer: Customer) -> CustomerForm {
        let rejection = |rejection: RecentRejection| RejectionForm {
            class: rejection.class,
            units: rejection.units,
            at: rejection.at,
        };
        CustomerForm {
            last_rejection: customer.last_rejection.map(rejection),
            plan: customer.plan,
            spread: customer.spread,
            first_gateway: customer.first_gateway,
            window: customer.window.into(),
            epoch: customer.epoch.into(),
            observed: (customer.observed.own, customer.observed.total),
            local_bucket: customer.local_bucket.map(BucketForm::from),
            ceiling_bucket: customer.ceiling_bucket.into(),
            breaker: customer.breaker.into(),
            last_used: customer.last_used,
        }
    }
}

impl From<CustomerForm> for Customer {
    fn from(form: CustomerForm) -> Customer {
        let rejection =
            |form: RejectionForm| RecentRejection { class: form.class, units: form.units, at: form.at };
        Customer {
            last_rejection: form.last_rejection.map(rejection),
            plan: form.plan,
            spread: form.spread,
            first_gateway: form.first_gateway,
            window: form.window.into(),
            epoch: form.epoch.into(),
            observed: ObservedTraffic { own: form.observed.0, total: form.observed.1 },
            local_bucket: form.local_bucket.map(TokenBucket::from),
            ceiling_bucket: form.ceiling_bucket.into(),
            breaker: form.breaker.into(),
            last_used: form.last_used,
            ..Customer::default()
        }
    }
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct EndpointForm {
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
    slow_start_allowance: BucketForm,
}

impl From<EndpointState> for EndpointForm {
    fn from(endpoint: EndpointState) -> EndpointForm {
        EndpointForm {
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

impl From<EndpointForm> for EndpointState {
    fn from(form: EndpointForm) -> EndpointState {
        EndpointState {
            zone: form.zone,
            cell: form.cell,
            weight: form.weight,
            status: form.status,
            in_maintenance: form.in_maintenance,
            latency_us: form.latency_us,
            concurrency_limit: form.concurrency_limit,
            failure_fraction: form.failure_fraction,
            excluded_until: form.excluded_until,
            ejection_doublings: form.ejection_doublings,
            on_trial: form.on_trial,
            unreachable_since: form.unreachable_since,
            slow_start_since: form.slow_start_since,
            slow_start_allowance: form.slow_start_allowance.into(),
            ..EndpointState::default()
        }
    }
}
