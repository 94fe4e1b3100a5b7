//! Every key of the configuration file and of the cluster file, and the errors for invalid values.
//!
//! The expected results are in `tests/fixtures/control`. They name each value by its key in the file, so that they do
//! not depend on the names of the fields.

use super::{ClusterConfig, Config, SocketLimits};
use crate::cluster::rollout::RuleConfig;
use crate::decision::{Class, DeduplicationScope, EndpointStatus, Idempotency, Plan};
use crate::fixture;
use std::fmt::{Debug, Write};

const GATEWAY: &str = include_str!("../../../../tests/fixtures/control/gateway.json");
const MINIMAL_GATEWAY: &str = include_str!("../../../../tests/fixtures/control/gateway_fewest.json");
const CLUSTER: &str = include_str!("../../../../tests/fixtures/control/fleet.toml");
const MINIMAL_CLUSTER: &str = include_str!("../../../../tests/fixtures/control/fleet_fewest.toml");

/// List of the values that were read, as lines of `key = value`.
#[derive(Default)]
struct ValueList(String);

impl ValueList {
    fn add(&mut self, key: &str, value: impl Debug) {
        writeln!(self.0, "{key} = {value:?}").expect("write to string");
    }
}

fn effect(idempotency: Idempotency) -> &'static str {
    match idempotency {
        Idempotency::Idempotent => "pure",
        Idempotency::WithKey => "token",
        Idempotency::NotIdempotent => "side_effect",
    }
}

fn key_scope(scope: DeduplicationScope) -> &'static str {
    match scope {
        DeduplicationScope::All => "all",
        DeduplicationScope::Zone => "zone",
        DeduplicationScope::Cell => "cell",
    }
}

fn add_class(out: &mut ValueList, index: usize, name: &str, class: &Class) {
    let key = |key: &str| format!("settings.classes.{index}.{key}");
    out.add(&key("name"), name);
    out.add(&key("effect"), effect(class.idempotency));
    out.add(&key("deadline"), class.deadline.0);
    out.add(&key("on_time"), class.latency_objective.0);
    out.add(&key("credit"), class.priority_weight);
    out.add(&key("late_share"), class.late_weight_fraction);
    out.add(&key("key_scope"), key_scope(class.deduplication_scope));
    out.add(&key("window"), class.deduplication_window.0);
    out.add(&key("streaming"), class.streaming);
}

fn add_plan(out: &mut ValueList, index: usize, name: &str, plan: &Plan) {
    let key = |key: &str| format!("settings.plans.{index}.{key}");
    out.add(&key("name"), name);
    out.add(&key("per_second"), plan.rate);
    out.add(&key("peak_units"), plan.burst);
    out.add(&key("open"), plan.concurrency_quota);
    out.add(&key("price"), plan.weight_factor);
    out.add(&key("extra_worth"), plan.overage_weight_fraction);
    out.add(&key("excess_cost"), plan.overage_cost_fraction);
    out.add(&key("ceiling_rate"), plan.hard_limit_rate);
    out.add(&key("cap_depth"), plan.hard_limit_burst);
    out.add(&key("tolerance"), plan.hard_limit_overdraft);
}

fn name_by_number(names: &std::collections::HashMap<String, usize>, number: usize) -> &str {
    let entry = names.iter().find(|(_, other)| **other == number);
    entry.map(|(name, _)| name.as_str()).expect("name for each number")
}

fn phase(status: EndpointStatus) -> &'static str {
    match status {
        EndpointStatus::InService => "ready",
        EndpointStatus::Draining => "draining",
        EndpointStatus::Removed => "gone",
    }
}

fn add_known_endpoints(out: &mut ValueList, config: &Config) {
    out.add("known.revision", config.known_endpoints.revision);
    out.add("known.complete", config.known_endpoints.complete);
    for (index, endpoint) in config.known_endpoints.endpoints.iter().enumerate() {
        let key = |key: &str| format!("known.members.{index}.{key}");
        out.add(&key("id"), &endpoint.name);
        out.add(&key("host_port"), endpoint.address);
        out.add(&key("locality"), &endpoint.zone);
        out.add(&key("flavor"), &endpoint.release_label);
        out.add(&key("cell"), endpoint.cell);
        out.add(&key("phase"), phase(endpoint.status));
        out.add(&key("size"), endpoint.weight);
        out.add(&key("up_since_ms"), endpoint.started_at_unix_ms);
    }
    out.add("known revision in use", config.known_revision());
}

fn list_gateway_values(text: &str) -> String {
    let mut config = Config::parse(text, None, None).expect("valid configuration");
    let mut out = ValueList::default();
    out.add("listen", config.listen);
    out.add("discovery", config.discovery);
    out.add("counter", config.counter);
    out.add("ops", config.operators);
    out.add("seed", format!("{:x}", config.seed));
    out.add("limits.sockets, for clients", config.sockets.clients);
    out.add("limits.sockets, for backends", config.sockets.backends);
    out.add("limits.sockets, for the counter", config.sockets.counter);
    out.add("limits.memory_mb", config.memory_mb);
    add_known_endpoints(&mut out, &config);
    let settings = config.site.settings.clone();
    out.add("settings.balancers", settings.gateways);
    out.add("settings.my_number", settings.gateway_number);
    out.add("settings.zone", settings.zone.0);
    for zone in ["north", "south", "west", ""] {
        out.add(&format!("settings.zones, number of '{zone}'"), config.site.zone(zone).0);
    }
    out.add("settings.tick", settings.tick.0);
    out.add("settings.membership_mode is subscribe", settings.must_subscribe);
    out.add("settings.bounds.max_attempts", settings.max_attempts);
    out.add("settings.bounds.second_copies", settings.hedging);
    out.add("settings.bounds.may_cancel", settings.may_cancel);
    out.add("settings.bounds.probing", settings.health_checks);
    out.add("settings.bounds.retry_after", settings.retry_after);
    out.add("settings.bounds.max_retry_after", settings.max_retry_after.0);
    out.add("settings.bounds.dial_timeout", settings.connect_timeout.0);
    out.add("settings.bounds.conn_idle", config.backend_idle_timeout.as_micros());
    out.add("settings.specifics.counter", settings.counter_enabled);
    out.add("settings.specifics.count_limit", settings.counter_timeout.0);
    out.add("settings.specifics.units_top", settings.max_request_units);
    out.add("settings.rules.answer_slack", settings.answer_slack.0);
    out.add("settings.rules.cold_from", settings.slow_start_min_capacity);
    out.add("settings.rules.cold", settings.slow_start_window.0);
    out.add("settings.rules.fall_multiple", settings.overload_multiple);
    out.add("settings.rules.tip_after", settings.overload_after.0);
    for (index, class) in settings.classes.iter().enumerate() {
        add_class(&mut out, index, name_by_number(&config.site.classes, index), class);
    }
    for (index, plan) in settings.plans.iter().enumerate() {
        add_plan(&mut out, index, name_by_number(&config.site.plans, index), plan);
    }
    out.0
}

fn add_rule(out: &mut ValueList, index: usize, rule: &RuleConfig) {
    let key = |key: &str| format!("rollout.rule.{index}.{key}");
    out.add(&key("class"), &rule.class);
    out.add(&key("plan"), &rule.plan);
    out.add(&key("zone"), &rule.zone);
    out.add(&key("zones"), &rule.zone_weights);
    out.add(&key("labels"), &rule.label_weights);
    out.add(&key("attempts"), rule.max_attempts);
    out.add(&key("give_up"), rule.give_up_percent);
    out.add(&key("cold"), rule.slow_start_percent);
}

fn list_cluster_values(text: &str) -> String {
    let config = ClusterConfig::parse(text, "named-by-the-environment").expect("valid cluster file");
    let mut out = ValueList::default();
    let settings = &config.settings;
    out.add("fleet", &settings.cluster);
    out.add("listen", config.listen);
    out.add("advertise", settings.metadata.advertise);
    out.add("name", &settings.name);
    out.add("zone", &settings.metadata.zone);
    out.add("capabilities", settings.metadata.capabilities);
    out.add("period_ms", settings.probe_period.as_micros() as f64 / 1000.0);
    out.add("seats", &settings.seats);
    out.add("lend", config.leasable_fraction);
    out.add("peers", &settings.peers);
    let ledger = settings.ledger.as_ref();
    out.add("ledger.holders", ledger.map(|ledger| ledger.replicas));
    out.add("ledger.lease_ms", ledger.map(|ledger| ledger.lease.0 as f64 / 1000.0));
    out.add("ledger.life_ms", ledger.map(|ledger| ledger.record_lifetime.0 as f64 / 1000.0));
    out.add("ledger.wait_ms", config.ledger_timeout.as_micros() as f64 / 1000.0);
    out.add("ledger.dir", &config.storage_dir);
    out.add("ledger.finish", &config.finish_classes);
    let branch = settings.branch.as_ref();
    out.add("branch.seats", branch.map(|branch| branch.seats.clone()));
    out.add("branch.classes", &config.write_queue_classes);
    out.add("branch.writes", branch.map(|branch| branch.max_pending));
    out.add("branch.of_one", branch.map(|branch| branch.max_pending_per_customer));
    out.add("branch.longest_s", branch.map(|branch| branch.max_age.0 as f64 / 1e6));
    out.add("branch.cut_after_ms", branch.map(|branch| branch.uplink_timeout.0 as f64 / 1000.0));
    out.add("branch.out", branch.map(|branch| branch.max_in_flight));
    out.add("branch.per_s", branch.map(|branch| branch.max_sends_per_second));
    out.add("branch.on_failure, classes that stop", &config.write_queue_stop_classes);
    out.add("rollout.rule", settings.rules.as_ref().map(|rules| rules.0.len()));
    for (index, rule) in settings.rules.iter().flat_map(|rules| &rules.0).enumerate() {
        add_rule(&mut out, index, rule);
    }
    out.0
}

/// Makes each replacement on its own and lists the result of parsing the text: accepted, or the one-line error.
fn list_errors(
    text: &str,
    replacements: &[(&str, &str)],
    parse: impl Fn(&str) -> Result<(), String>,
) -> String {
    let mut out = String::new();
    for (part, wrong) in replacements {
        assert_eq!(text.matches(part).count(), 1, "{part}");
        let result = match parse(&text.replacen(part, wrong, 1)) {
            Ok(()) => "accepted".to_string(),
            Err(error) => error,
        };
        assert_eq!(result.lines().count(), 1, "{result}");
        let (part, wrong) = (part.replace('\n', "\\n"), wrong.replace('\n', "\\n"));
        writeln!(out, "{part}  ->  {wrong}\n    {result}").expect("write to string");
    }
    out
}

/// Parts of the configuration file, each with a replacement that is invalid or, in a few cases, accepted.
const INVALID_GATEWAY_VALUES: &[(&str, &str)] = &[
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

/// Parts of the cluster file, each with a replacement that is invalid or, in a few cases, accepted.
const INVALID_CLUSTER_VALUES: &[(&str, &str)] = &[
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
fn all_keys_of_the_configuration_file_are_read() {
    fixture::assert_same("control/gateway.read.txt", &list_gateway_values(GATEWAY));
    fixture::assert_same("control/gateway_fewest.read.txt", &list_gateway_values(MINIMAL_GATEWAY));
}

#[test]
fn errors_of_the_configuration_file_are_one_line() {
    let parse = |text: &str| Config::parse(text, None, None).map(drop).map_err(|error| error.to_string());
    fixture::assert_same("control/gateway.errors.txt", &list_errors(GATEWAY, INVALID_GATEWAY_VALUES, parse));
}

#[test]
fn all_keys_of_the_cluster_file_are_read() {
    fixture::assert_same("control/fleet.read.txt", &list_cluster_values(CLUSTER));
    fixture::assert_same("control/fleet_fewest.read.txt", &list_cluster_values(MINIMAL_CLUSTER));
}

#[test]
fn errors_of_the_cluster_file_are_one_line() {
    let parse =
        |text: &str| ClusterConfig::parse(text, "gate-1").map(drop).map_err(|error| error.to_string());
    fixture::assert_same("control/fleet.errors.txt", &list_errors(CLUSTER, INVALID_CLUSTER_VALUES, parse));
}

#[test]
fn descriptors_are_divided_within_the_limit() {
    for sockets in [24, 256, 384, 1024] {
        let limits = SocketLimits::from_descriptors(sockets);
        let all = limits.clients + limits.backends + limits.counter;
        assert!(all + 11 <= sockets, "{sockets}: {limits:?}");
        // A third is for clients; peers that send nothing may take as much again.
        assert!(sockets < 256 || limits.clients * 8 >= sockets * 5, "{sockets}: {limits:?}");
    }
}
