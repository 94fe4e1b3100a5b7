//! The local token bucket, which decides while the counter service does not answer.

use super::customer::Customer;
use crate::decision::context::{Context, ProcessRole};
use crate::decision::ids::CustomerId;
use crate::decision::quota_lease::QuotaLease;
use crate::decision::settings::Plan;
use crate::decision::time::Micros;
use crate::decision::token_bucket::TokenBucket;

/// The quota lease in force, with a version that counts changes of the shares.
#[derive(Debug, Default)]
pub(crate) struct LeaseView {
    /// `None` if no quota is leased among the gateways.
    pub(crate) lease: Option<QuotaLease>,
    version: u64,
}

/// This gateway's share of a customer's quota, as a fraction of it.
struct QuotaShare {
    /// Lower bound of the share that [`Customer::try_take_from_local_bucket`] computes, whatever the other
    /// gateways do.
    lower_bound: f64,
    /// Current share by the gateways through which the customer's requests come.
    current: f64,
}

impl LeaseView {
    /// Replaces the lease. Increments the version if the last lease had expired or the shares differ, because
    /// this gateway's share may have been lower in between.
    pub(crate) fn replace(&mut self, lease: QuotaLease, now: Micros) {
        let unchanged = self.lease.as_ref().is_some_and(|current| {
            now < current.valid_until
                && current.absent_gateways == lease.absent_gateways
                && current.fraction == lease.fraction
        });
        self.version += u64::from(!unchanged);
        self.lease = Some(lease);
    }

    /// Returns the share by the gateways through which a customer's requests come. The leased quota shares of
    /// absent gateways are distributed evenly among the others. A gateway without a valid lease can't show
    /// that it counts as present, and keeps only the part that is never leased.
    fn share_of(&self, customer: &Customer, gateways: u32, now: Micros) -> QuotaShare {
        let even = 1.0 / customer.gateway_count;
        let Some(lease) = &self.lease else { return QuotaShare { lower_bound: even, current: even } };
        let never_leased = (1.0 - lease.fraction) / customer.gateway_count;
        let lower_bound = never_leased / 2.0;
        if now >= lease.valid_until {
            return QuotaShare { lower_bound, current: never_leased };
        }
        let first_gateway = customer.first_gateway % gateways;
        let comes_through = |gateway: &&u32| {
            (**gateway + gateways - first_gateway) % gateways < customer.gateway_count as u32
        };
        let absent = lease.absent_gateways.iter().filter(|gateway| **gateway < gateways);
        let absent = absent.filter(comes_through).count() as f64;
        QuotaShare {
            lower_bound,
            current: never_leased + lease.fraction / (customer.gateway_count - absent).max(1.0),
        }
    }
}

impl Customer {
    /// Takes units from the local bucket, and returns whether enough units were left.
    ///
    /// The bucket fills with this gateway's share of the customer's rate. It starts with the same share of
    /// what the quota was last known to have left. Under a hard limit, [`Customer::try_take_above_quota`] is
    /// called first, and its bucket does start empty. Guards against rejecting customers of few units: a
    /// share that starts empty admits nothing for them for seconds.
    pub(crate) fn try_take_from_local_bucket(
        &mut self,
        context: &Context,
        lease: &LeaseView,
        id: CustomerId,
        quota_plan: &Plan,
        plan: &Plan,
        units: f64,
    ) -> bool {
        if context.role == ProcessRole::Predecessor {
            return false;
        }
        let now = context.now;
        let remaining = self.quota_left(id, quota_plan, now, self.window.known_total()).max(0.0);
        let by_gateways = lease.share_of(self, context.settings.gateways, now);
        // Half by the gateways through which requests come, half by the traffic seen here, so that the shares
        // sum to one.
        let share = (self.observed_share() + by_gateways.current) / 2.0;
        // Guards against shares of less than one request, which would reject everything.
        let min_units = context.settings.max_request_units;
        let (level, capacity) = ((remaining * share).max(min_units), (plan.burst * share).max(min_units));
        let rate = plan.rate * share;
        let bucket = self.local_bucket.get_or_insert(TokenBucket { level, capacity, rate, filled_at: now });
        if lease.lease.is_some() {
            // Since the last use, the share may have been as low as its lower bound.
            let unchanged = self.lease_version == lease.version;
            bucket.rate = bucket.rate.min(if unchanged { rate } else { plan.rate * by_gateways.lower_bound });
            bucket.fill(now);
            (bucket.rate, bucket.capacity) = (rate, capacity);
            self.lease_version = lease.version;
        }
        bucket.try_take(now, units)
    }

    /// Returns the fraction of the customer's traffic that came through this gateway, or an even share if no
    /// traffic is known.
    fn observed_share(&self) -> f64 {
        if self.observed.total > 0.0 {
            (self.observed.own / self.observed.total).clamp(0.0, 1.0)
        } else {
            1.0 / self.gateway_count
        }
    }
}
