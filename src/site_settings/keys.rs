//! Reads classes, plans and gateway settings by their keys.

use super::fields::{Fields, Result};
use crate::decision::{Class, DeduplicationScope, Idempotency, Micros, Plan, Settings, ZoneId};

/// Maximum number of classes, and of plans.
const MAX_ENTRIES: u64 = 10_000;
/// Time-out for opening a connection where none is set, in microseconds.
const DEFAULT_CONNECT_TIMEOUT_US: u64 = 250_000;

/// Classes or plans with their names, ordered by number.
pub(super) type NamedEntries<T> = Vec<(String, T)>;

pub(super) fn read_classes(fields: &Fields) -> Result<NamedEntries<Class>> {
    (0..read_count(fields, "classes.count")?).map(|number| read_class(fields, number)).collect()
}

pub(super) fn read_plans(fields: &Fields) -> Result<NamedEntries<Plan>> {
    (0..read_count(fields, "plans.count")?).map(|number| read_plan(fields, number)).collect()
}

fn read_count(fields: &Fields, key: &str) -> Result<u64> {
    let count = fields.u64_or(key, 0)?;
    if count > MAX_ENTRIES {
        return Err(fields.error(key, &format!("at most {MAX_ENTRIES}")));
    }
    Ok(count)
}

fn read_class(fields: &Fields, number: u64) -> Result<(String, Class)> {
    let key = |name: &str| format!("classes.{number}.{name}");
    let name = fields.required_text(&key("name"))?.to_string();
    let deadline = Micros(fields.required_u64(&key("deadline"))?);
    let class = Class {
        latency_objective: fields.micros_or(&key("on_time"), deadline.0)?,
        deadline,
        priority_weight: fields.f64_or(&key("credit"), 1.0)?,
        late_weight_fraction: fields.f64_or(&key("late_share"), 0.0)?,
        idempotency: read_idempotency(fields, &key("effect"))?,
        deduplication_scope: read_deduplication_scope(fields, &key("key_scope"))?,
        deduplication_window: fields.micros_or(&key("window"), 0)?,
        streaming: fields.bool_or(&key("streaming"), false)?,
    };
    Ok((name, class))
}

fn read_idempotency(fields: &Fields, key: &str) -> Result<Idempotency> {
    match fields.optional_text(key) {
        Some("pure") => Ok(Idempotency::Idempotent),
        Some("token") => Ok(Idempotency::WithKey),
        Some("side_effect") | None => Ok(Idempotency::NotIdempotent),
        Some(_) => Err(fields.error(key, "pure, token or side_effect")),
    }
}

fn read_deduplication_scope(fields: &Fields, key: &str) -> Result<DeduplicationScope> {
    match fields.optional_text(key) {
        Some("all") => Ok(DeduplicationScope::All),
        Some("zone") => Ok(DeduplicationScope::Zone),
        Some("cell") | None => Ok(DeduplicationScope::Cell),
        Some(_) => Err(fields.error(key, "all, zone or cell")),
    }
}

fn read_plan(fields: &Fields, number: u64) -> Result<(String, Plan)> {
    let key = |name: &str| format!("plans.{number}.{name}");
    let f64_or = |name: &str, default| fields.f64_or(&key(name), default);
    let name = fields.required_text(&key("name"))?.to_string();
    let plan = Plan {
        rate: f64_or("per_second", 0.0)?,
        burst: f64_or("peak_units", 0.0)?,
        concurrency_quota: f64_or("open", 0.0)?,
        weight_factor: f64_or("price", 1.0)?,
        overage_weight_fraction: f64_or("extra_worth", 0.0)?,
        overage_cost_fraction: f64_or("excess_cost", 0.0)?,
        hard_limit_rate: f64_or("ceiling_rate", 0.0)?,
        hard_limit_burst: f64_or("cap_depth", 0.0)?,
        hard_limit_overdraft: f64_or("tolerance", 0.0)?,
    };
    Ok((name, plan))
}

/// Reads a number, limited to the largest `u32`.
fn read_saturating_u32(fields: &Fields, key: &str, default: u64) -> Result<u32> {
    Ok(u32::try_from(fields.u64_or(key, default)?).unwrap_or(u32::MAX))
}

pub(super) fn read_settings(
    fields: &Fields,
    zone: ZoneId,
    classes: Vec<Class>,
    plans: Vec<Plan>,
) -> Result<Settings> {
    Ok(Settings {
        gateways: read_saturating_u32(fields, "balancers", 1)?,
        gateway_number: read_saturating_u32(fields, "my_number", 0)?,
        zone,
        classes,
        plans,
        max_attempts: fields.u64_or("bounds.max_attempts", 1)? as usize,
        hedging: fields.bool_or("bounds.second_copies", false)?,
        may_cancel: fields.bool_or("bounds.may_cancel", false)?,
        health_checks: fields.bool_or("bounds.probing", false)?,
        retry_after: fields.bool_or("bounds.retry_after", false)?,
        max_retry_after: fields.micros_or("bounds.max_retry_after", 0)?,
        counter_enabled: fields.bool_or("specifics.counter", false)?,
        counter_timeout: fields.micros_or("specifics.count_limit", 0)?,
        max_request_units: fields.f64_or("specifics.units_top", 1.0)?,
        must_subscribe: fields.optional_text("membership_mode") == Some("subscribe"),
        connect_timeout: fields.micros_or("bounds.dial_timeout", DEFAULT_CONNECT_TIMEOUT_US)?,
        answer_slack: fields.micros_or("rules.answer_slack", 0)?,
        slow_start_min_capacity: fields.f64_or("rules.cold_from", 1.0)?,
        slow_start_window: fields.micros_or("rules.cold", 0)?,
        overload_multiple: fields.f64_or("rules.fall_multiple", 1.0)?,
        overload_after: fields.micros_or("rules.tip_after", 0)?,
        tick: fields.micros_or("tick", 0)?,
    })
}
