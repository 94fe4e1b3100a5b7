//! What a request's head says of it, checked against the site.

use crate::decision::{Arrival, CustomerId, Idempotency, Micros};
use crate::proxy::downstream::server::{ProxyContext, RequestError};
use crate::proxy::upstream::forwarded_request::BUDGET_MS;
use hyper::header::{HeaderMap, HeaderName};
use hyper::{Method, StatusCode};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What a request's head says of it.
pub struct RequestHead {
    /// What the module is told.
    pub arrival: Arrival,
    /// How long its client waits.
    pub budget: Micros,
    /// Stands for its class and key, where it has a key.
    pub key: Option<u64>,
}

impl RequestHead {
    /// Reads a head.
    pub fn read(
        method: &Method,
        query: Option<&str>,
        headers: &HeaderMap,
        front: &ProxyContext,
    ) -> Result<RequestHead, RequestError> {
        let bad = |problem| RequestError(StatusCode::BAD_REQUEST, problem);
        let text = |name: HeaderName| headers.get(name).and_then(|v| v.to_str().ok());
        let named = |name| text(HeaderName::from_static(name));
        let (class, effect, longest) = named("x-call-class")
            .and_then(|class| front.classes.get(class))
            .ok_or_else(|| bad("X-Call-Class: expected a known class\n"))?;
        let plan = named("x-plan").and_then(|plan| front.plans.get(plan));
        let plan = plan.ok_or_else(|| bad("X-Plan: expected a known plan\n"))?;
        let customer = query.and_then(customer).ok_or_else(|| bad("customer: expected 16 hex digits\n"))?;
        let budget = text(BUDGET_MS).and_then(|v| v.parse::<u64>().ok());
        let budget = budget.ok_or_else(|| bad("X-Budget-Ms: expected whole milliseconds\n"))?;
        let (units, spread, first) = named("x-quota")
            .and_then(quota)
            .filter(|quota| quota.units <= front.most_units)
            .filter(|quota| quota.spread <= front.gateways && quota.first < front.gateways)
            .map(|quota| (quota.units, quota.spread, quota.first))
            .ok_or_else(|| bad("X-Quota: expected the units, spread and first of this site\n"))?;
        let mut ids = headers.get_all("x-call-id").iter();
        if ids.next().is_none_or(|id| id.is_empty()) || ids.next().is_some() {
            return Err(bad("X-Call-Id: expected an id\n"));
        }
        let (wanted, keyed) = match effect {
            Idempotency::Idempotent => (Method::GET, false),
            Idempotency::WithKey => (Method::POST, true),
            Idempotency::NotIdempotent => (Method::POST, false),
        };
        if *method != wanted {
            return Err(RequestError(StatusCode::METHOD_NOT_ALLOWED, "not this class's method\n"));
        }
        if keyed && headers.get("idempotency-key").is_none_or(|key| key.is_empty()) {
            return Err(bad("Idempotency-Key: expected a key\n"));
        }
        let arrival = Arrival {
            class: *class,
            plan: *plan,
            customer,
            spread,
            first_gateway: first,
            units,
            is_retry: named("x-again") == Some("1"),
            ..Arrival::default()
        };
        // No client waits longer than its class says.
        let budget = Micros(budget.saturating_mul(1000)).min(*longest);
        let key = headers.get("idempotency-key").filter(|_| *effect != Idempotency::Idempotent);
        let key = key.map(|key| xxh3_64_with_seed(key.as_bytes(), class.0 as u64));
        Ok(RequestHead { arrival, budget, key })
    }
}

/// Customers are numbers below this.
const CUSTOMERS: u64 = 1 << 33;

fn customer(query: &str) -> Option<CustomerId> {
    let digits = query.split('&').find_map(|pair| pair.strip_prefix("customer="))?;
    let hex = digits.len() == 16 && digits.bytes().all(|b| b.is_ascii_hexdigit());
    let number = u64::from_str_radix(digits, 16).ok().filter(|_| hex)?;
    (number < CUSTOMERS).then_some(CustomerId(number))
}

/// What `X-Quota` says.
struct Quota {
    units: f64,
    spread: u32,
    first: u32,
}

fn quota(value: &str) -> Option<Quota> {
    let (mut units, mut spread, mut first) = (None, None, None);
    for part in value.split(',') {
        match part.trim().split_once('=')? {
            ("units", v) => units = v.parse::<f64>().ok().filter(|u| u.is_finite() && *u > 0.0),
            ("spread", v) => spread = v.parse::<u32>().ok().filter(|s| *s > 0),
            ("first", v) => first = v.parse::<u32>().ok(),
            _ => {}
        }
    }
    Some(Quota { units: units?, spread: spread?, first: first? })
}
