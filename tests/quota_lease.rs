//! Quota leases: units that the gateways admit together by their local buckets while the counter is down.

use quota_gateway::decision::Gateway;
use quota_gateway::decision::{
    Action, Arrival, AttemptEnded, CellId, Class, DeduplicationScope, EndpointId, EndpointStatus,
    EndpointUpdate, Event, Idempotency, LabelId, LoadReport, Micros, Outcome, Plan, QuotaLease, RequestId,
    Settings, WatchScope, ZoneId,
};

const GATEWAYS: u32 = 4;
const RATE: f64 = 40.0;
const SECOND: Micros = Micros(1_000_000);

fn gateway(gateway_number: u32) -> Gateway {
    let class = Class {
        latency_objective: SECOND,
        deadline: Micros(4_000_000),
        priority_weight: 1.0,
        late_weight_fraction: 0.5,
        idempotency: Idempotency::Idempotent,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: Micros(0),
        streaming: false,
    };
    let plan = Plan {
        rate: RATE,
        burst: 40.0,
        concurrency_quota: 0.0,
        weight_factor: 1.0,
        overage_weight_fraction: 0.0,
        overage_cost_fraction: 0.0,
        hard_limit_rate: 0.0,
        hard_limit_burst: 0.0,
        hard_limit_overdraft: 0.0,
    };
    let settings = Settings {
        gateways: GATEWAYS,
        gateway_number,
        classes: vec![class],
        plans: vec![plan],
        max_attempts: 3,
        counter_enabled: true,
        max_request_units: 1.0,
        tick: Micros(4_000),
        slow_start_min_capacity: 1.0,
        overload_multiple: 2.0,
        ..Settings::default()
    };
    let mut gateway = Gateway::new(u64::from(gateway_number), settings).expect("valid settings");
    let endpoint_update = |number| EndpointUpdate {
        endpoint: EndpointId(number),
        zone: ZoneId(0),
        cell: CellId(0),
        status: EndpointStatus::InService,
        weight: 1.0,
        started_at: None,
        label: LabelId::default(),
    };
    let endpoints = (0..20).map(endpoint_update).collect();
    gateway.handle(
        SECOND,
        Event::EndpointsChanged { scope: WatchScope::Complete, endpoints },
        &mut Vec::new(),
    );
    gateway
}

/// Offers far more than the quota for this many seconds. Every call to the counter fails and every attempt is
/// answered at once. Returns the units forwarded.
fn run_overload(
    gateway: &mut Gateway,
    from: Micros,
    seconds: u64,
    gateway_count: u32,
    next_request: &mut u64,
) -> f64 {
    let (mut sent, mut out) = (0.0, Vec::new());
    for step in 0..seconds * 50 {
        let now = from + Micros(step * 20_000);
        *next_request += 1;
        let id = RequestId(*next_request);
        let arrival = Arrival {
            id,
            gateway_count,
            units: 1.0,
            deadline: now + Micros(4_000_000),
            ..Arrival::default()
        };
        let mut events = vec![Event::RequestArrived(arrival)];
        while let Some(event) = events.pop() {
            gateway.handle(now, event, &mut out);
            for action in out.drain(..) {
                match action {
                    Action::IncrementCounter { key, .. } => {
                        events.push(Event::CounterReplied { key, outcome: Outcome::Rejected, total: 0.0 })
                    }
                    Action::SendAttempt { request: id, endpoint, .. } => {
                        sent += 1.0;
                        events.push(Event::AttemptEnded(AttemptEnded {
                            request: id,
                            attempt: 0,
                            endpoint,
                            outcome: Outcome::Success,
                            elapsed: Micros(1_000),
                            request_finished: true,
                            settled_units: None,
                            load: LoadReport::default(),
                        }));
                    }
                    _ => {}
                }
            }
        }
    }
    sent
}

/// Returns the units that these gateways forward in 40 s, a minute after the outage began, as a fraction of
/// the quota.
fn forwarded_fraction(
    lease_of: impl Fn(u32) -> Option<QuotaLease>,
    gateway_numbers: &[u32],
    gateway_count: u32,
) -> f64 {
    let mut units = 0.0;
    for &gateway_number in gateway_numbers {
        let (mut gateway, mut next_request) = (gateway(gateway_number), 0);
        let apply_lease = |gateway: &mut Gateway, at: Micros| {
            lease_of(gateway_number)
                .into_iter()
                .for_each(|lease| gateway.handle(at, Event::QuotaLeaseChanged(lease), &mut Vec::new()));
        };
        apply_lease(&mut gateway, SECOND);
        run_overload(&mut gateway, Micros(2_000_000), 60, gateway_count, &mut next_request);
        apply_lease(&mut gateway, Micros(62_000_000));
        units += run_overload(&mut gateway, Micros(62_000_000), 40, gateway_count, &mut next_request);
    }
    units / (RATE * 40.0)
}

#[test]
fn gateways_use_leased_quota_shares_and_together_stay_within_the_quota() {
    let valid_lease = |absent: &[u32]| QuotaLease {
        fraction: 1.0,
        valid_until: Micros(u64::MAX),
        absent_gateways: absent.to_vec(),
    };
    let lapsed_lease = || QuotaLease { fraction: 1.0, ..QuotaLease::default() };
    let assert_near =
        |found: f64, expected: f64| assert!((found - expected).abs() < 0.03, "{found}, expected {expected}");
    // One of four is absent. Fixed shares leave a quarter of the quota unused. Half of that can be leased, as
    // the other half of a share depends on the traffic that each gateway has carried.
    assert_near(forwarded_fraction(|_| None, &[0, 1, 2], 4), 0.75);
    assert_near(forwarded_fraction(|_| Some(valid_lease(&[3])), &[0, 1, 2], 4), 0.875);
    // The absent gateway runs without a valid lease: the sum stays at one.
    assert_near(
        forwarded_fraction(
            |gateway_number| Some(if gateway_number == 3 { lapsed_lease() } else { valid_lease(&[3]) }),
            &[0, 1, 2, 3],
            4,
        ),
        1.0,
    );
    // No share is leased for a customer whose requests do not come through the absent gateway.
    assert_near(forwarded_fraction(|_| Some(valid_lease(&[3])), &[0, 1], 2), 1.0);
    // An expired lease is no longer used.
    let expired_lease =
        |_| Some(QuotaLease { fraction: 1.0, valid_until: Micros(30_000_000), absent_gateways: vec![3] });
    assert_near(forwarded_fraction(expired_lease, &[0, 1, 2], 4), 0.375);
}
