//! The head of a client's request: a wire form, read and checked against the site's classes, plans and bounds.

use super::request_error::RequestError;
use crate::decision::{Arrival, ClassId, CustomerId, Idempotency, Micros, PlanId};
use crate::proxy::upstream::forwarded_request::BUDGET_MS;
use hyper::header::HeaderMap;
use hyper::Method;
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Customers are numbers below this.
const CUSTOMER_LIMIT: u64 = 1 << 33;
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// What a request's class says of it.
#[derive(Debug, Clone, Copy)]
pub struct ClassRules {
    /// Its number.
    pub id: ClassId,
    /// Whether its requests may run more than once.
    pub idempotency: Idempotency,
    /// The longest that a client waits.
    pub deadline: Micros,
}

/// What heads of requests are checked against.
#[derive(Debug, Clone, Default)]
pub struct RequestRules {
    /// Classes by name.
    pub classes: HashMap<String, ClassRules>,
    /// Plans by name.
    pub plans: HashMap<String, PlanId>,
    /// How many gateways there are.
    pub gateways: u32,
    /// The units of the largest request.
    pub max_units: f64,
}

impl RequestRules {
    /// A class's name; empty if there is none of this number.
    pub fn class_name(&self, class: ClassId) -> &str {
        self.classes.iter().find(|(_, rules)| rules.id == class).map_or("", |(name, _)| name.as_str())
    }

    /// The longest that a client of a class waits.
    pub fn deadline(&self, class: ClassId) -> Micros {
        self.classes.values().find(|rules| rules.id == class).map_or(Micros(0), |rules| rules.deadline)
    }

    /// The longest that any client waits.
    pub fn longest_deadline(&self) -> Micros {
        self.classes.values().map(|rules| rules.deadline).max().unwrap_or_default()
    }
}

/// A request's head.
pub struct RequestHead {
    /// What the decision module is told of the request.
    pub arrival: Arrival,
    /// How long its client waits.
    pub budget: Micros,
    /// A hash of its class and idempotency key, where it has a key.
    pub idempotency_key: Option<u64>,
}

impl RequestHead {
    /// Reads a head.
    ///
    /// # Errors
    ///
    /// The first thing that is wrong with it.
    pub fn read(
        method: &Method,
        query: Option<&str>,
        headers: &HeaderMap,
        rules: &RequestRules,
    ) -> Result<RequestHead, RequestError> {
        let class = text(headers, "x-call-class")
            .and_then(|class| rules.classes.get(class))
            .ok_or(RequestError::UnknownClass)?;
        let plan = text(headers, "x-plan").and_then(|plan| rules.plans.get(plan));
        let plan = *plan.ok_or(RequestError::UnknownPlan)?;
        let customer = query.and_then(customer).ok_or(RequestError::BadCustomer)?;
        let budget_ms = text(headers, BUDGET_MS.as_str()).and_then(|v| v.parse::<u64>().ok());
        let budget_ms = budget_ms.ok_or(RequestError::BadBudget)?;
        let quota = text(headers, "x-quota")
            .and_then(QuotaHeader::parse)
            .filter(|quota| quota.is_within(rules))
            .ok_or(RequestError::BadQuota)?;
        check_call_id(headers)?;
        check_method(method, headers, class.idempotency)?;
        let arrival = Arrival {
            class: class.id,
            plan,
            customer,
            gateway_count: quota.spread,
            first_gateway: quota.first,
            units: quota.units,
            is_retry: text(headers, "x-again") == Some("1"),
            ..Arrival::default()
        };
        // No client waits longer than its class says.
        let budget = Micros(budget_ms.saturating_mul(1000)).min(class.deadline);
        Ok(RequestHead { arrival, budget, idempotency_key: idempotency_key(headers, class) })
    }
}

fn text<'h>(headers: &'h HeaderMap, name: &str) -> Option<&'h str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn check_call_id(headers: &HeaderMap) -> Result<(), RequestError> {
    let mut ids = headers.get_all("x-call-id").iter();
    match (ids.next(), ids.next()) {
        (Some(id), None) if !id.is_empty() => Ok(()),
        _ => Err(RequestError::BadCallId),
    }
}

fn check_method(method: &Method, headers: &HeaderMap, idempotency: Idempotency) -> Result<(), RequestError> {
    let expected = match idempotency {
        Idempotency::Idempotent => Method::GET,
        Idempotency::WithKey | Idempotency::NotIdempotent => Method::POST,
    };
    if *method != expected {
        return Err(RequestError::MethodNotAllowed);
    }
    let has_key = headers.get(IDEMPOTENCY_KEY).is_some_and(|key| !key.is_empty());
    match idempotency == Idempotency::WithKey && !has_key {
        true => Err(RequestError::NoIdempotencyKey),
        false => Ok(()),
    }
}

fn idempotency_key(headers: &HeaderMap, class: &ClassRules) -> Option<u64> {
    let key = headers.get(IDEMPOTENCY_KEY).filter(|_| class.idempotency != Idempotency::Idempotent)?;
    Some(xxh3_64_with_seed(key.as_bytes(), class.id.0 as u64))
}

fn customer(query: &str) -> Option<CustomerId> {
    let digits = query.split('&').find_map(|pair| pair.strip_prefix("customer="))?;
    let is_hex = digits.len() == 16 && digits.bytes().all(|b| b.is_ascii_hexdigit());
    let number = u64::from_str_radix(digits, 16).ok().filter(|_| is_hex)?;
    (number < CUSTOMER_LIMIT).then_some(CustomerId(number))
}

/// The header `X-Quota: units=2,spread=3,first=1`.
struct QuotaHeader {
    /// What the request takes of its customer's quota.
    units: f64,
    /// How many gateways the customer's requests come through.
    spread: u32,
    /// The first of them.
    first: u32,
}

impl QuotaHeader {
    fn parse(value: &str) -> Option<QuotaHeader> {
        let (mut units, mut spread, mut first) = (None, None, None);
        for part in value.split(',') {
            match part.trim().split_once('=')? {
                ("units", v) => units = v.parse::<f64>().ok().filter(|u| u.is_finite() && *u > 0.0),
                ("spread", v) => spread = v.parse::<u32>().ok().filter(|s| *s > 0),
                ("first", v) => first = v.parse::<u32>().ok(),
                _ => {}
            }
        }
        Some(QuotaHeader { units: units?, spread: spread?, first: first? })
    }

    fn is_within(&self, rules: &RequestRules) -> bool {
        self.units <= rules.max_units && self.spread <= rules.gateways && self.first < rules.gateways
    }
}
