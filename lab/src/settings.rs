//! Settings in a gateway's configuration, under the names of the simulator's first message.

use crate::plan::{us, Plan, MOST_UNITS};
use crate::scenario::Effect;
use serde_json::{json, Value};

/// Returns the settings of one gateway.
pub fn settings(plan: &Plan, gateway: usize) -> Value {
    let scenario = &plan.scenario;
    let zones = &scenario.net.zones;
    let classes: Vec<Value> = scenario
        .classes
        .iter()
        .map(|class| {
            let effect = match class.effect {
                Effect::Safe => "pure",
                Effect::Keyed => "token",
                Effect::Unsafe => "side_effect",
            };
            json!({"name": class.name, "effect": effect, "key_scope": "all", "streaming": false,
                "window": us(class.window_ms / 1000.0), "deadline": us(class.deadline_ms / 1000.0),
                "on_time": us(class.aim_ms / 1000.0), "credit": class.worth, "late_share": class.late_worth})
        })
        .collect();
    let plans: Vec<Value> = scenario
        .plans
        .iter()
        .enumerate()
        .map(|(number, spec)| {
            let (rate, burst, slack) = plan.ceiling(number).unwrap_or_default();
            json!({"name": spec.name, "per_second": spec.rate, "peak_units": plan.burst(spec), "open": 0,
                "price": spec.price, "extra_worth": 0.0, "excess_cost": spec.over_cost,
                "ceiling_rate": rate, "cap_depth": burst, "tolerance": slack})
        })
        .collect();
    json!({
        "family": "gate", "layer": 0, "stages": "lab", "tick": 4000, "membership_mode": "automatic",
        "balancers": scenario.gateways.count, "my_number": gateway, "weights": "none", "kinds": ["lab"],
        "zone": zones[gateway % zones.len()], "zones": zones,
        "bounds": {"conn_idle": us(scenario.backends.idle_s), "dial_timeout": 250_000, "max_attempts": MAX_ATTEMPTS,
            "max_open": 20_000, "max_retry_after": 500_000, "max_streams": 1, "may_cancel": true,
            "peer_messages": scenario.gateways.peers, "probing": true, "retry_after": true, "second_copies": true},
        "classes": classes, "plans": plans, "clients": {"marks_retry": true},
        "specifics": {"counter": true, "count_limit": us(scenario.counter.timeout_ms / 1000.0), "count_fee": 0.01,
            "units_top": MOST_UNITS, "cost_after": false, "meter_period": 0, "peer_in_per_s": 0},
        "report": {"fields": ["concurrent", "load_share"], "via": "answers"},
        "rules": {"answer_slack": 16_000, "stop_sending_within": 1_000_000, "cold": us(scenario.backends.cold_s),
            "cold_from": scenario.backends.cold_from, "fall_multiple": scenario.backends.fall_multiple,
            "tip_after": us(scenario.backends.fall_s), "must_ask_in": 10_000_000},
    })
}

/// Maximum number of attempts per request.
pub const MAX_ATTEMPTS: usize = 6;
