//! What a gateway remembers of a customer, and what the customer's quota still admits.

use super::quota_window::{Period, QuotaWindow, CONCURRENCY_EPOCH};
use super::shared_count::SharedCount;
use crate::decision::circuit_breaker::CircuitBreaker;
use crate::decision::event::Arrival;
use crate::decision::ids::{ClassId, CustomerId, PlanId};
use crate::decision::settings::Plan;
use crate::decision::time::Micros;
use crate::decision::token_bucket::TokenBucket;

/// A customer is forgotten after this time without a request.
pub(crate) const CUSTOMER_IDLE_TIMEOUT: Micros = Micros(120_000_000);
/// How long after a rejection a request like the rejected one counts as its retry.
const RETRY_DETECTION_WINDOW: Micros = Micros(1_000_000);
/// Fraction of the earlier windows' figures that each new window drops.
const OBSERVED_TRAFFIC_DECAY: f64 = 0.3;

/// The last rejected request, by which a retry is recognized.
#[derive(Clone, Debug)]
pub(crate) struct RecentRejection {
    pub(crate) class: ClassId,
    pub(crate) units: f64,
    pub(crate) at: Micros,
}

/// Spending in past windows, older windows weighing less.
#[derive(Clone, Debug, Default)]
pub(crate) struct ObservedTraffic {
    /// Through this gateway, in units.
    pub(crate) own: f64,
    /// Through all gateways, in units.
    pub(crate) total: f64,
}

/// A customer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Customer {
    pub(crate) last_rejection: Option<RecentRejection>,
    pub(crate) plan: PlanId,
    /// Through how many gateways its requests come.
    pub(crate) spread: f64,
    /// The first of these gateways.
    pub(crate) first_gateway: u32,
    /// The version of the quota lease by which the local bucket was last filled.
    pub(crate) lease_version: u64,
    /// The counter of the present quota window.
    pub(crate) window: SharedCount,
    /// The counter of attempts in flight in the present epoch.
    pub(crate) epoch: SharedCount,
    pub(crate) observed: ObservedTraffic,
    /// Decides while the counter service is silent.
    pub(crate) local_bucket: Option<TokenBucket>,
    /// What may be forwarded beyond the quota, or without the counter, under a ceiling.
    pub(crate) ceiling_bucket: TokenBucket,
    pub(crate) breaker: CircuitBreaker,
    /// Own requests that are admitted and not over, where the plan has a concurrency quota.
    pub(crate) in_flight: f64,
    pub(crate) last_used: Micros,
}

impl Customer {
    /// Notes a request; `admitting_since` is when this gateway began to admit requests by itself.
    pub(crate) fn request_arrived(&mut self, arrival: &Arrival, now: Micros, admitting_since: Micros) {
        if self.last_used == Micros(0) {
            // Empty at the start of this process, as an earlier one may have spent it. It has filled since, though
            // the customer came only now: with many gateways most see it for the first time.
            self.ceiling_bucket.filled_at = admitting_since.max(now - CUSTOMER_IDLE_TIMEOUT);
        }
        self.plan = arrival.plan;
        self.spread = f64::from(arrival.spread.max(1));
        self.first_gateway = arrival.first_gateway;
        self.last_used = now;
    }

    /// Whether a request is a retry: its client says so, or the like of it was just rejected here.
    pub(crate) fn is_retry(&self, arrival: &Arrival, now: Micros) -> bool {
        let is_alike = |rejection: &RecentRejection| {
            rejection.class == arrival.class
                && rejection.units == arrival.units
                && now < rejection.at + RETRY_DETECTION_WINDOW
        };
        arrival.is_retry || self.last_rejection.as_ref().is_some_and(is_alike)
    }

    /// May be forgotten.
    pub(crate) fn is_idle(&self, now: Micros) -> bool {
        self.last_used + CUSTOMER_IDLE_TIMEOUT < now && self.in_flight <= 0.0
    }

    /// Brings the counters to the present quota window and epoch.
    pub(crate) fn begin_periods(&mut self, id: CustomerId, plan: &Plan, now: Micros) {
        let no_quota = QuotaWindow { length: CONCURRENCY_EPOCH, units: 0.0 };
        let window = if plan.rate > 0.0 { QuotaWindow::of(plan) } else { no_quota };
        let number = Period::at(now, id, window.length).number;
        if self.window.period != number {
            self.begin_window(number, window.units, plan.burst);
        }
        let epoch = Period::at(now, id, CONCURRENCY_EPOCH).number;
        if self.epoch.period != epoch {
            self.epoch = SharedCount { period: epoch, owed: self.in_flight, ..SharedCount::default() };
        }
    }

    /// Begins a window with what the last one left, as far as it was followed here, else with a share of the
    /// burst: gateways that see a customer seldom must not each believe the burst unspent.
    fn begin_window(&mut self, number: u64, window_units: f64, burst: f64) {
        let last = &self.window;
        let kept = 1.0 - OBSERVED_TRAFFIC_DECAY;
        self.observed = ObservedTraffic {
            own: self.observed.own * kept + last.own_counted,
            total: self.observed.total * kept + last.last_total,
        };
        let follows = last.period + 1 == number;
        let left = last.carried_over + window_units - last.known_total();
        self.window = SharedCount {
            period: number,
            carried_over: if follows { left.clamp(0.0, burst) } else { burst / self.spread },
            carry_over_known: follows && last.last_total > 0.0,
            ..SharedCount::default()
        };
    }

    /// What the quota still admits in this window by a total of the shared counter: what the window before left
    /// and what has come in since, where this gateway knows that window's total, else at least the window's plain
    /// allowance. Guards against rejecting inside the quota, as the plain window forgets what the last one
    /// left, and against forwarding beyond it, as the plain window forgets what the last one spent.
    pub(crate) fn quota_left(&self, id: CustomerId, plan: &Plan, now: Micros, total: f64) -> f64 {
        if self.window.carry_over_known {
            self.saved_units(id, plan, now) - total
        } else {
            self.quota_left_elsewhere(id, plan, now, total)
        }
    }

    /// The same for gateways that may not know the last window's total.
    pub(crate) fn quota_left_elsewhere(&self, id: CustomerId, plan: &Plan, now: Micros, total: f64) -> f64 {
        self.saved_units(id, plan, now).max(QuotaWindow::of(plan).units) - total
    }

    /// What the window before left, and what has come in since.
    fn saved_units(&self, id: CustomerId, plan: &Plan, now: Micros) -> f64 {
        let window = QuotaWindow::of(plan);
        let remaining = Period::at(now, id, window.length).remaining;
        self.window.carried_over + window.units * (1.0 - remaining.secs() / window.length.secs())
    }
}
