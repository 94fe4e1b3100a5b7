//! Parses the head of a client's request and validates it against the classes, plans and limits of the site.

use super::request_error::RequestError;
use crate::decision::{Arrival, ClassId, CustomerId, Idempotency, Micros, PlanId};
use crate::proxy::upstream::forwarded_request::BUDGET_MS;
use hyper::header::HeaderMap;
use hyper::Method;
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Customer ids are below this number.
const CUSTOMER_LIMIT: u64 = 1 << 33;
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Rules that a class sets for its requests.
#[derive(Debug, Clone, Copy)]
pub struct ClassRules {
    /// Id of the class.
    pub id: ClassId,
    /// Whether requests of the class may run more than once.
    pub idempotency: Idempotency,
    /// Longest time that a client waits for a response.
    pub deadline: Micros,
}

/// Rules that request heads are validated against.
#[derive(Debug, Clone, Default)]
pub struct RequestRules {
    /// Classes, by name.
    pub classes: HashMap<String, ClassRules>,
    /// Plans, by name.
    pub plans: HashMap<String, PlanId>,
    /// Number of gateways.
    pub gateways: u32,
    /// Most units that one request may take.
    pub max_units: f64,
}

impl RequestRules {
    /// Returns the name of a class, or an empty string if the class is unknown.
    pub fn class_name(&self, class: ClassId) -> &str {
        self.classes.iter().find(|(_, rules)| rules.id == class).map_or("", |(name, _)| name.as_str())
    }

    /// Returns the deadline of a class, or zero if the class is unknown.
    pub fn deadline(&self, class: ClassId) -> Micros {
        self.classes.values().find(|rules| rules.id == class).map_or(Micros(0), |rules| rules.deadline)
    }

    /// Returns the longest deadline of any class.
    pub fn longest_deadline(&self) -> Micros {
        self.classes.values().map(|rules| rules.deadline).max().unwrap_or_default()
    }
}

/// A parsed and validated request head.
pub struct RequestHead {
    /// The request as the decision module sees it.
    pub arrival: Arrival,
    /// How long the client waits, at most the deadline of the class.
    pub budget: Micros,
    /// Hash of the class and the idempotency key, unless there is no key or the class is idempotent.
    pub idempotency_key: Option<u64>,
}

impl RequestHead {
    /// Parses and validates a request head.
    ///
    /// # Errors
    ///
    /// Returns the first violation found.
    pub fn read(
        method: &Method,
        query: Option<&str>,
        headers: &HeaderMap,
        rules: &RequestRules,
    ) -> Result<RequestHead, RequestError> {
        let class = header_text(headers, "x-call-class")
            .and_then(|class| rules.classes.get(class))
            .ok_or(RequestError::UnknownClass)?;
        let plan = header_text(headers, "x-plan").and_then(|plan| rules.plans.get(plan));
        let plan = *plan.ok_or(RequestError::UnknownPlan)?;
        let customer = query.and_then(parse_customer).ok_or(RequestError::BadCustomer)?;
        let budget_ms = header_text(headers, BUDGET_MS.as_str()).and_then(|v| v.parse::<u64>().ok());
        let budget_ms = budget_ms.ok_or(RequestError::BadBudget)?;
        let quota = header_text(headers, "x-quota")
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
            is_retry: header_text(headers, "x-again") == Some("1"),
            ..Arrival::default()
        };
        // A client waits no longer than the deadline of its class.
        let budget = Micros(budget_ms.saturating_mul(1000)).min(class.deadline);
        Ok(RequestHead { arrival, budget, idempotency_key: idempotency_key(headers, class) })
    }
}

fn header_text<'h>(headers: &'h HeaderMap, name: &str) -> Option<&'h str> {
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

fn parse_customer(query: &str) -> Option<CustomerId> {
    let digits = query.split('&').find_map(|pair| pair.strip_prefix("customer="))?;
    let is_hex = digits.len() == 16 && digits.bytes().all(|b| b.is_ascii_hexdigit());
    let number = u64::from_str_radix(digits, 16).ok().filter(|_| is_hex)?;
    (number < CUSTOMER_LIMIT).then_some(CustomerId(number))
}

/// The header `X-Quota: units=2,spread=3,first=1`.
struct QuotaHeader {
    /// Units that the request takes from the customer's quota.
    units: f64,
    /// Number of gateways that the customer's requests come through.
    spread: u32,
    /// Number of the first of those gateways.
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
