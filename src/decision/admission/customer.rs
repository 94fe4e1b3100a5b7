//! The state that a gateway keeps for a customer, and the units that the customer's quota still admits.

use super::quota_window::{Period, QuotaWindow, CONCURRENCY_EPOCH};
use super::shared_count::SharedCount;
use crate::decision::circuit_breaker::CircuitBreaker;
use crate::decision::event::Arrival;
use crate::decision::ids::{ClassId, CustomerId, PlanId};
use crate::decision::settings::Plan;
use crate::decision::time::Micros;
use crate::decision::token_bucket::TokenBucket;

/// A customer's state is dropped after this time without a request.
pub(crate) const CUSTOMER_IDLE_TIMEOUT: Micros = Micros(120_000_000);
/// A request like a rejected one counts as its retry for this time.
const RETRY_DETECTION_WINDOW: Micros = Micros(1_000_000);
/// Fraction by which the figures of earlier windows decay at the start of each window.
const OBSERVED_TRAFFIC_DECAY: f64 = 0.3;

/// The last rejected request, by which a retry is recognized.
#[derive(Clone, Debug)]
pub(crate) struct RecentRejection {
    pub(crate) class: ClassId,
    pub(crate) units: f64,
    pub(crate) at: Micros,
}

/// Units spent in past windows, where older windows weigh less.
#[derive(Clone, Debug, Default)]
pub(crate) struct ObservedTraffic {
    /// Units through this gateway.
    pub(crate) own: f64,
    /// Units through all gateways.
    pub(crate) total: f64,
}

/// State of a customer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Customer {
    pub(crate) last_rejection: Option<RecentRejection>,
    pub(crate) plan: PlanId,
    /// Number of gateways through which the customer's requests come.
    pub(crate) gateway_count: f64,
    /// Number of the first of these gateways.
    pub(crate) first_gateway: u32,
    /// Version of the quota lease by which the local bucket was last filled.
    pub(crate) lease_version: u64,
    /// Counter of the current quota window.
    pub(crate) window: SharedCount,
    /// Counter of attempts in flight in the current epoch.
    pub(crate) epoch: SharedCount,
    pub(crate) observed: ObservedTraffic,
    /// Decides while the counter service is unavailable.
    pub(crate) local_bucket: Option<TokenBucket>,
    /// Units that may be forwarded under a hard limit beyond the quota or without the counter.
    pub(crate) hard_limit_bucket: TokenBucket,
    pub(crate) breaker: CircuitBreaker,
    /// Admitted requests of this gateway that have not ended, if the plan has a concurrency quota.
    pub(crate) in_flight: f64,
    pub(crate) last_used: Micros,
}

impl Customer {
    /// Records a request. `admitting_since` is when this process last began to admit requests.
    pub(crate) fn request_arrived(&mut self, arrival: &Arrival, now: Micros, admitting_since: Micros) {
        if self.last_used == Micros(0) {
            // The bucket is empty at the start of this process, as an earlier process may have spent it. It
            // has filled since then, even if the customer arrives only now: with many gateways, a customer is
            // new to most of them.
            self.hard_limit_bucket.filled_at = admitting_since.max(now - CUSTOMER_IDLE_TIMEOUT);
        }
        self.plan = arrival.plan;
        self.gateway_count = f64::from(arrival.gateway_count.max(1));
        self.first_gateway = arrival.first_gateway;
        self.last_used = now;
    }

    /// Returns whether a request is a retry: either its client marks it as one, or a similar request was just
    /// rejected here.
    pub(crate) fn is_retry(&self, arrival: &Arrival, now: Micros) -> bool {
        let is_similar = |rejection: &RecentRejection| {
            rejection.class == arrival.class
                && rejection.units == arrival.units
                && now < rejection.at + RETRY_DETECTION_WINDOW
        };
        arrival.is_retry || self.last_rejection.as_ref().is_some_and(is_similar)
    }

    /// Returns whether the state may be dropped.
    pub(crate) fn is_idle(&self, now: Micros) -> bool {
        self.last_used + CUSTOMER_IDLE_TIMEOUT < now && self.in_flight <= 0.0
    }

    /// Moves the counters to the current quota window and epoch.
    pub(crate) fn begin_periods(&mut self, id: CustomerId, plan: &Plan, now: Micros) {
        let no_quota = QuotaWindow { length: CONCURRENCY_EPOCH, units: 0.0 };
        let window = if plan.rate > 0.0 { QuotaWindow::for_plan(plan) } else { no_quota };
        let number = Period::containing(now, id, window.length).number;
        if self.window.period != number {
            self.begin_window(number, window.units, plan.burst);
        }
        let epoch = Period::containing(now, id, CONCURRENCY_EPOCH).number;
        if self.epoch.period != epoch {
            self.epoch = SharedCount { period: epoch, unreported: self.in_flight, ..SharedCount::default() };
        }
    }

    /// Begins a window. Carries over what the last window left if this gateway tracked that window, otherwise
    /// a share of the burst: gateways that rarely see a customer must not each assume that the whole burst is
    /// unspent.
    fn begin_window(&mut self, number: u64, window_units: f64, burst: f64) {
        let previous = &self.window;
        let retained = 1.0 - OBSERVED_TRAFFIC_DECAY;
        self.observed = ObservedTraffic {
            own: self.observed.own * retained + previous.own_counted,
            total: self.observed.total * retained + previous.last_total,
        };
        let is_consecutive = previous.period + 1 == number;
        let unspent = previous.carried_over + window_units - previous.known_total();
        self.window = SharedCount {
            period: number,
            carried_over: if is_consecutive { unspent.clamp(0.0, burst) } else { burst / self.gateway_count },
            carry_over_known: is_consecutive && previous.last_total > 0.0,
            ..SharedCount::default()
        };
    }

    /// Returns the units that the quota still admits in this window, given a total of the shared counter. The
    /// allowance is what the previous window left plus what has accrued since, if this gateway knows the
    /// previous window's total, otherwise at least the plain allowance of the window. Guards against
    /// rejecting within the quota, as the plain window ignores what the last one left, and against forwarding
    /// beyond the quota, as the plain window ignores what the last one spent.
    pub(crate) fn quota_left(&self, id: CustomerId, plan: &Plan, now: Micros, total: f64) -> f64 {
        if self.window.carry_over_known {
            self.accrued_units(id, plan, now) - total
        } else {
            self.quota_left_at_other_gateways(id, plan, now, total)
        }
    }

    /// Returns the units that the quota still admits at gateways that may not know the last window's total.
    pub(crate) fn quota_left_at_other_gateways(
        &self,
        id: CustomerId,
        plan: &Plan,
        now: Micros,
        total: f64,
    ) -> f64 {
        self.accrued_units(id, plan, now).max(QuotaWindow::for_plan(plan).units) - total
    }

    /// Returns what the previous window left plus what has accrued since.
    fn accrued_units(&self, id: CustomerId, plan: &Plan, now: Micros) -> f64 {
        let window = QuotaWindow::for_plan(plan);
        let remaining = Period::containing(now, id, window.length).remaining;
        self.window.carried_over + window.units * (1.0 - remaining.secs() / window.length.secs())
    }
}
