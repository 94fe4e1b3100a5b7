//! Quota leases: what the gateways admit together by their local buckets while the counter is down.

use quota_gateway::decision::Gateway;
use quota_gateway::decision::{
    Action, Arrival, AttemptEnded, CellId, Class, DeduplicationScope, EndpointId, EndpointStatus,
    EndpointUpdate, Event, Idempotency, LabelId, LoadReport, Micros, Outcome, Plan, QuotaLease, RequestId,
    Settings, WatchScope, ZoneId,
};

const GATEWAYS: u32 = 4;
const RATE: f64 = 40.0;
const SECOND: Micros = Micros(1_000_000);

fn gateway(me: u32) -> Gateway {
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
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_overdraft: 0.0,
    };
    let set = Settings {
        gateways: GATEWAYS,
        gateway_number: me,
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
    let mut new = Gateway::new(u64::from(me), set).expect("sound settings");
    let entry = |n| EndpointUpdate {
        endpoint: EndpointId(n),
        zone: ZoneId(0),
        cell: CellId(0),
        status: EndpointStatus::InService,
        weight: 1.0,
        started_at: None,
        label: LabelId::default(),
    };
    let endpoints = (0..20).map(entry).collect();
    new.handle(SECOND, Event::EndpointsChanged { scope: WatchScope::Complete, endpoints }, &mut Vec::new());
    new
}

/// Offers far more than the quota for so many seconds; every call to the counter fails, every attempt is answered
/// at once. Returns the units forwarded.
fn play(gateway: &mut Gateway, from: Micros, seconds: u64, spread: u32, serial: &mut u64) -> f64 {
    let (mut sent, mut out) = (0.0, Vec::new());
    for step in 0..seconds * 50 {
        let now = from + Micros(step * 20_000);
        *serial += 1;
        let id = RequestId(*serial);
        let arrival =
            Arrival { id, spread, units: 1.0, deadline: now + Micros(4_000_000), ..Arrival::default() };
        let mut events = vec![Event::RequestArrived(arrival)];
        while let Some(event) = events.pop() {
            gateway.handle(now, event, &mut out);
            for action in out.drain(..) {
                match action {
                    Action::IncrementCounter { key: name, .. } => events.push(Event::CounterReplied {
                        key: name,
                        outcome: Outcome::Rejected,
                        total: 0.0,
                    }),
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

/// What all gateways forward in 40 s, a minute after the outage began, in parts of the quota.
fn parts(lent: impl Fn(u32) -> Option<QuotaLease>, who: &[u32], spread: u32) -> f64 {
    let mut sum = 0.0;
    for &me in who {
        let (mut gateway, mut serial) = (gateway(me), 0);
        let tell = |gateway: &mut Gateway, at: Micros| {
            lent(me)
                .into_iter()
                .for_each(|l| gateway.handle(at, Event::QuotaLeaseChanged(l), &mut Vec::new()));
        };
        tell(&mut gateway, SECOND);
        play(&mut gateway, Micros(2_000_000), 60, spread, &mut serial);
        tell(&mut gateway, Micros(62_000_000));
        sum += play(&mut gateway, Micros(62_000_000), 40, spread, &mut serial);
    }
    sum / (RATE * 40.0)
}

#[test]
fn present_gateways_use_leased_shares_and_all_together_never_more_than_the_quota() {
    let whole = |away: &[u32]| QuotaLease {
        fraction: 1.0,
        valid_until: Micros(u64::MAX),
        absent_gateways: away.to_vec(),
    };
    let alone = || QuotaLease { fraction: 1.0, ..QuotaLease::default() };
    let near = |found: f64, wanted: f64| assert!((found - wanted).abs() < 0.03, "{found}, not {wanted}");
    // One of four is absent: fixed shares leave a quarter of the quota unused, of which half can be leased, as the
    // other half of a share goes by what each was seen to carry.
    near(parts(|_| None, &[0, 1, 2], 4), 0.75);
    near(parts(|_| Some(whole(&[3])), &[0, 1, 2], 4), 0.875);
    // It runs, cut off, and knows it: the sum stays at one.
    near(parts(|me| Some(if me == 3 { alone() } else { whole(&[3]) }), &[0, 1, 2, 3], 4), 1.0);
    // A customer that does not come through the absent one has nothing to be leased.
    near(parts(|_| Some(whole(&[3])), &[0, 1], 2), 1.0);
    // A lease that ran out is not used any more.
    let over =
        |_| Some(QuotaLease { fraction: 1.0, valid_until: Micros(30_000_000), absent_gateways: vec![3] });
    near(parts(over, &[0, 1, 2], 4), 0.375);
}
