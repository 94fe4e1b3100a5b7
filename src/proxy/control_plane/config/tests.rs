//! Every key of the gateway's configuration and of the fleet's file, and the errors for wrong values.
//!
//! The files are in `tests/fixtures/control`. They name values by their keys in the file, so that they hold
//! whatever the fields are called.

use super::{ClusterConfig, Config, SocketLimits};
use crate::cluster::rollout::RuleConfig;
use crate::decision::{Class, DeduplicationScope, EndpointStatus, Idempotency, Plan};
use crate::fixture;
use std::fmt::{Debug, Write};

const GATEWAY: &str = include_str!("../../../../tests/fixtures/control/gateway.json");
const GATEWAY_FEWEST: &str = include_str!("../../../../tests/fixtures/control/gateway_fewest.json");
const FLEET: &str = include_str!("../../../../tests/fixtures/control/fleet.toml");
const FLEET_FEWEST: &str = include_str!("../../../../tests/fixtures/control/fleet_fewest.toml");

/// Lines of `key = value`.
#[derive(Default)]
struct Listing(String);

impl Listing {
    fn put(&mut self, key: &str, value: impl Debug) {
        writeln!(self.0, "{key} = {value:?}").expect("a text grows");
    }
}

fn effect(effect: Idempotency) -> &'static str {
    match effect {
        Idempotency::Idempotent => "pure",
        Idempotency::WithKey => "token",
        Idempotency::NotIdempotent => "side_effect",
    }
}

fn key_scope(group: DeduplicationScope) -> &'static str {
    match group {
        DeduplicationScope::All => "all",
        DeduplicationScope::Zone => "zone",
        DeduplicationScope::Cell => "cell",
    }
}

fn put_class(out: &mut Listing, at: usize, name: &str, class: &Class) {
    let key = |key: &str| format!("settings.classes.{at}.{key}");
    out.put(&key("name"), name);
    out.put(&key("effect"), effect(class.idempotency));
    out.put(&key("deadline"), class.deadline.0);
    out.put(&key("on_time"), class.latency_objective.0);
    out.put(&key("credit"), class.priority_weight);
    out.put(&key("late_share"), class.late_weight_fraction);
    out.put(&key("key_scope"), key_scope(class.deduplication_scope));
    out.put(&key("window"), class.deduplication_window.0);
    out.put(&key("streaming"), class.streaming);
}

fn put_plan(out: &mut Listing, at: usize, name: &str, plan: &Plan) {
    let key = |key: &str| format!("settings.plans.{at}.{key}");
    out.put(&key("name"), name);
    out.put(&key("per_second"), plan.rate);
    out.put(&key("peak_units"), plan.burst);
    out.put(&key("open"), plan.concurrency_quota);
    out.put(&key("price"), plan.weight_factor);
    out.put(&key("extra_worth"), plan.overage_weight_fraction);
    out.put(&key("excess_cost"), plan.overage_cost_fraction);
    out.put(&key("ceiling_rate"), plan.ceiling_rate);
    out.put(&key("cap_depth"), plan.ceiling_burst);
    out.put(&key("tolerance"), plan.ceiling_overdraft);
}

fn name_of(names: &std::collections::HashMap<String, usize>, at: usize) -> &str {
    let found = names.iter().find(|(_, place)| **place == at);
    found.map(|(name, _)| name.as_str()).expect("a name for each")
}

fn phase(status: EndpointStatus) -> &'static str {
    match status {
        EndpointStatus::InService => "ready",
        EndpointStatus::Draining => "draining",
        EndpointStatus::Removed => "gone",
    }
}

fn put_known(out: &mut Listing, config: &Config) {
    out.put("known.revision", config.known_endpoints.revision);
    out.put("known.complete", config.known_endpoints.complete);
    for (at, member) in config.known_endpoints.endpoints.iter().enumerate() {
        let key = |key: &str| format!("known.members.{at}.{key}");
        out.put(&key("id"), &member.name);
        out.put(&key("host_port"), member.address);
        out.put(&key("locality"), &member.zone);
        out.put(&key("flavor"), &member.release_label);
        out.put(&key("cell"), member.cell);
        out.put(&key("phase"), phase(member.status));
        out.put(&key("size"), member.weight);
        out.put(&key("up_since_ms"), member.started_at_unix_ms);
    }
    out.put("known revision in use", config.known_revision());
}

fn read_gateway(text: &str) -> String {
    let mut config = Config::parse(text, None, None).expect("a configuration");
    let mut out = Listing::default();
    out.put("listen", config.listen);
    out.put("discovery", config.discovery);
    out.put("counter", config.counter);
    out.put("ops", config.operators);
    out.put("seed", format!("{:x}", config.seed));
    out.put("limits.sockets, for clients", config.sockets.clients);
    out.put("limits.sockets, for backends", config.sockets.backends);
    out.put("limits.sockets, for the counter", config.sockets.counter);
    out.put("limits.memory_mb", config.memory_mb);
    put_known(&mut out, &config);
    let settings = config.site.settings.clone();
    out.put("settings.balancers", settings.gateways);
    out.put("settings.my_number", settings.gateway_number);
    out.put("settings.zone", settings.zone.0);
    for zone in ["north", "south", "west", ""] {
        out.put(&format!("settings.zones, number of '{zone}'"), config.site.zone(zone).0);
    }
    out.put("settings.tick", settings.tick.0);
    out.put("settings.membership_mode is subscribe", settings.must_subscribe);
    out.put("settings.bounds.max_attempts", settings.max_attempts);
    out.put("settings.bounds.second_copies", settings.hedging);
    out.put("settings.bounds.may_cancel", settings.may_cancel);
    out.put("settings.bounds.probing", settings.health_checks);
    out.put("settings.bounds.retry_after", settings.retry_after);
    out.put("settings.bounds.max_retry_after", settings.max_retry_after.0);
    out.put("settings.bounds.dial_timeout", settings.connect_timeout.0);
    out.put("settings.bounds.conn_idle", config.backend_idle_timeout.as_micros());
    out.put("settings.specifics.counter", settings.counter_enabled);
    out.put("settings.specifics.count_limit", settings.counter_timeout.0);
    out.put("settings.specifics.units_top", settings.max_request_units);
    out.put("settings.rules.answer_slack", settings.answer_slack.0);
    out.put("settings.rules.cold_from", settings.slow_start_min_capacity);
    out.put("settings.rules.cold", settings.slow_start_window.0);
    out.put("settings.rules.fall_multiple", settings.overload_multiple);
    out.put("settings.rules.tip_after", settings.overload_after.0);
    for (at, class) in settings.classes.iter().enumerate() {
        put_class(&mut out, at, name_of(&config.site.classes, at), class);
    }
    for (at, plan) in settings.plans.iter().enumerate() {
        put_plan(&mut out, at, name_of(&config.site.plans, at), plan);
    }
    out.0
}

fn put_rule(out: &mut Listing, at: usize, rule: &RuleConfig) {
    let key = |key: &str| format!("rollout.rule.{at}.{key}");
    out.put(&key("class"), &rule.class);
    out.put(&key("plan"), &rule.plan);
    out.put(&key("zone"), &rule.zone);
    out.put(&key("zones"), &rule.zone_weights);
    out.put(&key("labels"), &rule.label_weights);
    out.put(&key("attempts"), rule.max_attempts);
    out.put(&key("give_up"), rule.give_up_percent);
    out.put(&key("cold"), rule.slow_start_percent);
}

fn read_fleet(text: &str) -> String {
    let config = ClusterConfig::parse(text, "named-by-the-environment").expect("a fleet's file");
    let mut out = Listing::default();
    let settings = &config.settings;
    out.put("fleet", &settings.cluster);
    out.put("listen", config.listen);
    out.put("advertise", settings.metadata.advertise);
    out.put("name", &settings.name);
    out.put("zone", &settings.metadata.zone);
    out.put("capabilities", settings.metadata.capabilities);
    out.put("period_ms", settings.probe_period.as_micros() as f64 / 1000.0);
    out.put("seats", &settings.seats);
    out.put("lend", config.lendable_part);
    out.put("peers", &settings.peers);
    let ledger = settings.ledger.as_ref();
    out.put("ledger.holders", ledger.map(|l| l.replicas));
    out.put("ledger.lease_ms", ledger.map(|l| l.lease.0 as f64 / 1000.0));
    out.put("ledger.life_ms", ledger.map(|l| l.record_lifetime.0 as f64 / 1000.0));
    out.put("ledger.wait_ms", config.ledger_timeout.as_micros() as f64 / 1000.0);
    out.put("ledger.dir", &config.storage_dir);
    out.put("ledger.finish", &config.finish_classes);
    let branch = settings.branch.as_ref();
    out.put("branch.seats", branch.map(|b| b.seats.clone()));
    out.put("branch.classes", &config.write_queue_classes);
    out.put("branch.writes", branch.map(|b| b.max_pending));
    out.put("branch.of_one", branch.map(|b| b.max_pending_per_customer));
    out.put("branch.longest_s", branch.map(|b| b.max_age.0 as f64 / 1e6));
    out.put("branch.cut_after_ms", branch.map(|b| b.uplink_timeout.0 as f64 / 1000.0));
    out.put("branch.out", branch.map(|b| b.max_in_flight));
    out.put("branch.per_s", branch.map(|b| b.max_sends_per_second));
    out.put("branch.on_failure, classes that stop", &config.write_queue_stop_classes);
    out.put("rollout.rule", settings.rules.as_ref().map(|rules| rules.0.len()));
    for (at, rule) in settings.rules.iter().flat_map(|rules| &rules.0).enumerate() {
        put_rule(&mut out, at, rule);
    }
    out.0
}

/// Each text with one part of it replaced, and what becomes of it.
fn errors(text: &str, replacements: &[(&str, &str)], read: impl Fn(&str) -> Result<(), String>) -> String {
    let mut out = String::new();
    for (part, wrong) in replacements {
        assert_eq!(text.matches(part).count(), 1, "{part}");
        let became = match read(&text.replacen(part, wrong, 1)) {
            Ok(()) => "accepted".to_string(),
            Err(error) => error,
        };
        assert_eq!(became.lines().count(), 1, "{became}");
        let (part, wrong) = (part.replace('\n', "\\n"), wrong.replace('\n', "\\n"));
        writeln!(out, "{part}  ->  {wrong}\n    {became}").expect("a text grows");
    }
    out
}

/// A part of the gateway's configuration, and what stands there in its place.
const GATEWAY_WRONG: &[(&str, &str)] = &[
    ("\"listen\": \"127.0.0.1:7001\"", "\"listen\": \"here\""),
    ("\"listen\": \"127.0.0.1:7001\",", ""),
    ("\"discovery\": \"127.0.0.2:7002\"", "\"discovery\": 7002"),
    ("\"discovery\": \"127.0.0.2:7002\",", ""),
    ("\"counter\": \"127.0.0.3:7003\"", "\"counter\": \"127.0.0.3\""),
    ("\"counter\": \"127.0.0.3:7003\",", ""),
    ("\"ops\": \"127.0.0.4:7004\"", "\"ops\": true"),
    ("\"ops\": \"127.0.0.4:7004\",", ""),
    ("\"00c0ffee12345678\"", "\"seed\""),
    ("\"seed\": \"00c0ffee12345678\",", ""),
    ("\"sockets\": 384", "\"sockets\": -1"),
    ("\"memory_mb\": 96.5", "\"memory_mb\": \"much\""),
    ("\"limits\": {\"sockets\": 384, \"memory_mb\": 96.5},", "\"limits\": {},"),
    ("\"revision\": 41", "\"revision\": \"41\""),
    ("\"known-1\", \"host_port\": \"127.0.0.9:9001\"", "\"known-1\", \"host_port\": \"127.0.0.9\""),
    ("\"ready\"", "\"standby\""),
    ("\"known-2\"", "2"),
    ("\"balancers\": 7", "\"balancers\": \"many\""),
    ("\"balancers\": 7", "\"balancers\": 0"),
    ("\"balancers\": 7", "\"balancers\": 3"),
    ("\"my_number\": 3", "\"my_number\": -3"),
    ("\"my_number\": 3", "\"my_number\": 7"),
    ("\"zone\": \"south\"", "\"zone\": \"elsewhere\""),
    ("\"tick\": 4100", "\"tick\": 4.1"),
    ("\"membership_mode\": \"subscribe\"", "\"membership_mode\": \"unknown\""),
    ("\"max_attempts\": 4", "\"max_attempts\": 0"),
    ("\"max_attempts\": 4", "\"max_attempts\": true"),
    ("\"second_copies\": true", "\"second_copies\": \"perhaps\""),
    ("\"may_cancel\": true", "\"may_cancel\": 2"),
    ("\"probing\": true", "\"probing\": \"\""),
    ("\"retry_after\": true", "\"retry_after\": 1.0"),
    ("\"max_retry_after\": 2500000", "\"max_retry_after\": \"2.5 s\""),
    ("\"dial_timeout\": 190000", "\"dial_timeout\": -1"),
    ("\"conn_idle\": 9000000", "\"conn_idle\": 0.5"),
    ("\"counter\": true", "\"counter\": 3"),
    ("\"count_limit\": 31000", "\"count_limit\": []"),
    ("\"units_top\": 6.5", "\"units_top\": \"NaN\""),
    ("\"units_top\": 6.5", "\"units_top\": -1"),
    ("\"answer_slack\": 5100", "\"answer_slack\": \"x\""),
    ("\"cold_from\": 0.25", "\"cold_from\": -0.25"),
    ("\"cold\": 30000001", "\"cold\": 1e3"),
    ("\"fall_multiple\": 2.75", "\"fall_multiple\": \"inf\""),
    ("\"tip_after\": 700001", "\"tip_after\": -700001"),
    ("\"name\": \"look\", ", ""),
    ("\"effect\": \"pure\"", "\"effect\": \"none\""),
    ("\"deadline\": 4000001, ", ""),
    ("\"deadline\": 4000001", "\"deadline\": 0"),
    ("\"on_time\": 1000001", "\"on_time\": \"soon\""),
    ("\"credit\": 1.25", "\"credit\": \"much\""),
    ("\"credit\": 1.25", "\"credit\": -1"),
    ("\"late_share\": 0.4", "\"late_share\": -0.4"),
    ("\"key_scope\": \"all\"", "\"key_scope\": \"region\""),
    ("\"window\": 60000001", "\"window\": -1"),
    ("\"streaming\": true", "\"streaming\": \"yes\""),
    ("{\"name\": \"free\"}", "{}"),
    ("\"per_second\": 10.5", "\"per_second\": -10.5"),
    ("\"peak_units\": 21.25", "\"peak_units\": 0"),
    ("\"open\": 3", "\"open\": \"few\""),
    ("\"price\": 1.75", "\"price\": -1"),
    ("\"extra_worth\": 0.3", "\"extra_worth\": \"-inf\""),
    ("\"excess_cost\": 0.2", "\"excess_cost\": -0.2"),
    ("\"ceiling_rate\": 22.5", "\"ceiling_rate\": -22.5"),
    ("\"cap_depth\": 45.5", "\"cap_depth\": 0"),
    ("\"tolerance\": 4.5", "\"tolerance\": -4.5"),
    ("\"settings\": {", "\"settings\": [], \"other\": {"),
    ("\"tick\": 4100,", "\"tick\": 4100"),
];

/// A part of the fleet's file, and what stands there in its place.
const FLEET_WRONG: &[(&str, &str)] = &[
    ("fleet = \"harbour\"", "fleet = \"the harbour\""),
    ("fleet = \"harbour\"\n", ""),
    ("listen = \"127.0.0.1:7100\"", "listen = \"127.0.0.1\""),
    ("advertise = \"192.0.2.7:7101\"", "advertise = 7101"),
    ("name = \"gate-2\"", "name = \"gate-9\""),
    ("name = \"gate-2\"\n", ""),
    ("zone = \"south\"\nperiod", "zone = \"in the south\"\nperiod"),
    ("period_ms = 450", "period_ms = 99"),
    ("period_ms = 450", "period_ms = 60001"),
    ("period_ms = 450", "period_ms = -1"),
    ("\"gate-5\"]\nlend", "\"gate-4\"]\nlend"),
    ("\"gate-5\"]\nlend", "\"gate 5\"]\nlend"),
    ("lend = 0.75", "lend = 1.5"),
    ("lend = 0.75", "lend = true"),
    ("gate-1 = \"127.0.0.1:7110\"", "gate-1 = \"gate-1:7110\""),
    ("gate-1 = \"127.0.0.1:7110\"", "\"gate 1\" = \"127.0.0.1:7110\""),
    ("holders = 5", "holders = 4"),
    ("holders = 5", "holders = 7"),
    ("lease_ms = 700", "lease_ms = 199"),
    ("life_ms = 12000", "life_ms = 60001"),
    ("wait_ms = 25", "wait_ms = 101"),
    ("dir = \"/var/lib/gate-2\"", "dir = 7"),
    ("finish = [\"order\"]", "finish = \"order\""),
    ("finish = [\"order\"]", "finished = [\"order\"]"),
    ("seats = [\"gate-2\", \"gate-4\", \"gate-5\"]", "seats = [\"gate-2\", \"gate-6\"]"),
    ("seats = [\"gate-2\", \"gate-4\", \"gate-5\"]", "seats = [\"gate-4\"]"),
    ("seats = [\"gate-2\", \"gate-4\", \"gate-5\"]", "seats = [\"gate-2\", \"gate-2\"]"),
    ("classes = [\"order\", \"pay\"]", "classes = 2"),
    ("writes = 9000", "writes = 20001"),
    ("of_one = 900", "of_one = 9001"),
    ("longest_s = 1800", "longest_s = 0"),
    ("cut_after_ms = 2500", "cut_after_ms = 199"),
    ("out = 15", "out = 0"),
    ("per_s = 80", "per_s = 10001"),
    ("order = \"stop\"", "order = \"halt\""),
    ("[branch.on_failure]\norder = \"stop\"\npay = \"go on\"\n", "on_failure = \"stop\"\n"),
    ("[branch.on_failure]\norder = \"stop\"\npay = \"go on\"\n", "on_failure = \"halt\"\n"),
    ("class = \"look\"", "class = 1"),
    ("plan = \"team\"", "plan = []"),
    ("zone = \"south\"\nzones", "zone = 3\nzones"),
    ("north = 50", "north = 4"),
    ("v7 = 25", "v7 = 401"),
    ("attempts = 2", "attempts = 9"),
    ("give_up = 40", "give_up = 29"),
    ("cold = 60", "cold = 101"),
    ("cold = 60", "warm = 60"),
    ("[ledger]\n", "[leger]\n"),
    ("[peers]\n", "[peers\n"),
];

#[test]
fn every_key_of_the_configuration_is_read() {
    fixture::assert_same("control/gateway.read.txt", &read_gateway(GATEWAY));
    fixture::assert_same("control/gateway_fewest.read.txt", &read_gateway(GATEWAY_FEWEST));
}

#[test]
fn a_wrong_value_of_the_configuration_is_one_plain_line() {
    let read = |text: &str| Config::parse(text, None, None).map(drop).map_err(|e| e.to_string());
    fixture::assert_same("control/gateway.errors.txt", &errors(GATEWAY, GATEWAY_WRONG, read));
}

#[test]
fn every_key_of_the_fleets_file_is_read() {
    fixture::assert_same("control/fleet.read.txt", &read_fleet(FLEET));
    fixture::assert_same("control/fleet_fewest.read.txt", &read_fleet(FLEET_FEWEST));
}

#[test]
fn a_wrong_value_of_the_fleets_file_is_one_plain_line() {
    let read = |text: &str| ClusterConfig::parse(text, "gate-1").map(drop).map_err(|e| e.to_string());
    fixture::assert_same("control/fleet.errors.txt", &errors(FLEET, FLEET_WRONG, read));
}

#[test]
fn clients_have_what_the_others_leave_and_the_sum_fits() {
    for sockets in [24, 256, 384, 1024] {
        let limits = SocketLimits::of(sockets);
        let all = limits.clients + limits.backends + limits.counter;
        assert!(all + 11 <= sockets, "{sockets}: {limits:?}");
        // A third is for clients; as much again may be held by peers that send nothing.
        assert!(sockets < 256 || limits.clients * 8 >= sockets * 5, "{sockets}: {limits:?}");
    }
}
