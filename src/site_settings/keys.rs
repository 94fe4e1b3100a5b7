//! The keys of the settings: the only place that knows them.

use super::fields::{Fields, Result};
use crate::decision::{Class, DeduplicationScope, Idempotency, Micros, Plan, Settings, ZoneId};

/// The most classes, and the most plans.
const MOST_ENTRIES: u64 = 10_000;
/// Where no time-out of connections is set, in microseconds.
const DEFAULT_CONNECT_TIMEOUT_US: u64 = 250_000;

/// Classes or plans with their names, in the order of their numbers.
pub(super) type Named<T> = Vec<(String, T)>;

pub(super) fn read_classes(fields: &Fields) -> Result<Named<Class>> {
    (0..read_count(fields, "classes.count")?).map(|number| read_class(fields, number)).collect()
}

pub(super) fn read_plans(fields: &Fields) -> Result<Named<Plan>> {
    (0..read_count(fields, "plans.count")?).map(|number| read_plan(fields, number)).collect()
}

fn read_count(fields: &Fields, key: &str) -> Result<u64> {
    let count = fields.whole_or(key, 0)?;
    if count > MOST_ENTRIES {
        return Err(fields.error(key, &format!("at most {MOST_ENTRIES}")));
    }
    Ok(count)
}

fn read_class(fields: &Fields, number: u64) -> Result<(String, Class)> {
    let key = |name: &str| format!("classes.{number}.{name}");
    let name = fields.text(&key("name"))?.to_string();
    let deadline = Micros(fields.whole(&key("deadline"))?);
    let class = Class {
        latency_objective: fields.micros_or(&key("on_time"), deadline.0)?,
        deadline,
        priority_weight: fields.real_or(&key("credit"), 1.0)?,
        late_weight_fraction: fields.real_or(&key("late_share"), 0.0)?,
        idempotency: read_idempotency(fields, &key("effect"))?,
        deduplication_scope: read_deduplication_scope(fields, &key("key_scope"))?,
        deduplication_window: fields.micros_or(&key("window"), 0)?,
        streaming: fields.flag_or(&key("streaming"), false)?,
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
    let real_or = |name: &str, default| fields.real_or(&key(name), default);
    let name = fields.text(&key("name"))?.to_string();
    let plan = Plan {
        rate: real_or("per_second", 0.0)?,
        burst: real_or("peak_units", 0.0)?,
        concurrency_quota: real_or("open", 0.0)?,
        weight_factor: real_or("price", 1.0)?,
        overage_weight_fraction: real_or("extra_worth", 0.0)?,
        overage_cost_fraction: real_or("excess_cost", 0.0)?,
        ceiling_rate: real_or("ceiling_rate", 0.0)?,
        ceiling_burst: real_or("cap_depth", 0.0)?,
        ceiling_overdraft: real_or("tolerance", 0.0)?,
    };
    Ok((name, plan))
}

/// Numbers beyond the largest of their kind are that one.
fn read_number(fields: &Fields, key: &str, default: u64) -> Result<u32> {
    Ok(u32::try_from(fields.whole_or(key, default)?).unwrap_or(u32::MAX))
}

pub(super) fn read_settings(
    fields: &Fields,
    zone: ZoneId,
    classes: Vec<Class>,
    plans: Vec<Plan>,
) -> Result<Settings> {
    Ok(Settings {
        gateways: read_number(fields, "balancers", 1)?,
        gateway_number: read_number(fields, "my_number", 0)?,
        zone,
        classes,
        plans,
        max_attempts: fields.whole_or("bounds.max_attempts", 1)? as usize,
        hedging: fields.flag_or("bounds.second_copies", false)?,
        may_cancel: fields.flag_or("bounds.may_cancel", false)?,
        health_checks: fields.flag_or("bounds.probing", false)?,
        retry_after: fields.flag_or("bounds.retry_after", false)?,
        max_retry_after: fields.micros_or("bounds.max_retry_after", 0)?,
        counter_enabled: fields.flag_or("specifics.counter", false)?,
        counter_timeout: fields.micros_or("specifics.count_limit", 0)?,
        max_request_units: fields.real_or("specifics.units_top", 1.0)?,
        must_subscribe: fields.optional_text("membership_mode") == Some("subscribe"),
        connect_timeout: fields.micros_or("bounds.dial_timeout", DEFAULT_CONNECT_TIMEOUT_US)?,
        answer_slack: fields.micros_or("rules.answer_slack", 0)?,
        slow_start_min_capacity: fields.real_or("rules.cold_from", 1.0)?,
        slow_start_window: fields.micros_or("rules.cold", 0)?,
        overload_multiple: fields.real_or("rules.fall_multiple", 1.0)?,
        overload_after: fields.micros_or("rules.tip_after", 0)?,
        tick: fields.micros_or("tick", 0)?,
    })
}
