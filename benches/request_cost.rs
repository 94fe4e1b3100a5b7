//! What the module takes for one request and its answer, and for one list, by the number of backends. Run by hand:
//! `cargo bench --bench request_cost`; the table stands in `docs/decisions/0010-fleet-size.md`.

use divan::Bencher;
use quota_gateway::decision::{
    Action, Arrival, AttemptEnded, CellId, Class, CustomerId, DeduplicationScope, EndpointId, EndpointStatus,
    EndpointUpdate, Event, Gateway, Idempotency, LabelId, LoadReport, Micros, Outcome, Plan, RequestId,
    Settings, WatchScope, ZoneId,
};

const SIZES: [u32; 4] = [50, 200, 800, 3200];
const GATEWAYS: u32 = 300;
const SECOND: u64 = 1_000_000;

fn main() {
    divan::main();
}

fn settings() -> Settings {
    let class = Class {
        latency_objective: Micros(800_000),
        deadline: Micros(3 * SECOND),
        priority_weight: 1.0,
        late_weight_fraction: 0.0,
        idempotency: Idempotency::Idempotent,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: Micros(SECOND),
        streaming: false,
    };
    let plan = Plan {
        rate: 0.0,
        burst: 0.0,
        concurrency_quota: 0.0,
        weight_factor: 1.0,
        overage_weight_fraction: 0.0,
        overage_cost_fraction: 1.0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_overdraft: 0.0,
    };
    Settings {
        gateways: GATEWAYS,
        gateway_number: 7,
        classes: vec![class],
        plans: vec![plan],
        max_attempts: 4,
        max_request_units: 4.0,
        slow_start_min_capacity: 0.3,
        slow_start_window: Micros(10 * SECOND),
        overload_multiple: 2.0,
        overload_after: Micros(2 * SECOND),
        tick: Micros(4_000),
        ..Settings::default()
    }
}

fn endpoint_list(endpoints: u32, started: Option<Micros>) -> Vec<EndpointUpdate> {
    let entry = |number: u32| EndpointUpdate {
        endpoint: EndpointId(u64::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        zone: ZoneId(0),
        cell: CellId(u64::from(number / 8)),
        status: EndpointStatus::InService,
        weight: 1.0,
        started_at: started.filter(|_| number.is_multiple_of(2)),
        label: LabelId::default(),
    };
    (0..endpoints).map(entry).collect()
}

/// A gateway, and its clock and next request.
struct GatewayRun {
    gateway: Gateway,
    now: Micros,
    next: u64,
    out: Vec<Action>,
}

impl GatewayRun {
    fn new(endpoints: u32, half_in_slow_start: bool) -> GatewayRun {
        let now = Micros(1_000 * SECOND);
        let mut gateway = Gateway::new(7, settings()).expect("sound settings");
        let mut out = Vec::new();
        let list = endpoint_list(endpoints, half_in_slow_start.then_some(now));
        gateway.handle(
            now,
            Event::EndpointsChanged { scope: WatchScope::Complete, endpoints: list },
            &mut out,
        );
        GatewayRun { gateway, now, next: 0, out }
    }
    /// One request and its answer; the clock stands still, so that slow starts do not end.
    fn request(&mut self) {
        self.next += 1;
        let id = RequestId(self.next);
        let deadline = self.now + Micros(3 * SECOND);
        let customer = CustomerId(self.next % 100);
        let arrival = Arrival { id, customer, deadline, units: 1.0, spread: 2, ..Arrival::default() };
        self.gateway.handle(self.now, Event::RequestArrived(arrival), &mut self.out);
        let sent = self.out.drain(..).find_map(|action| match action {
            Action::SendAttempt { endpoint, .. } => Some(endpoint),
            _ => None,
        });
        if let Some(endpoint) = sent {
            let (outcome, took, report) = (Outcome::Success, Micros(50_000), LoadReport::default());
            let end = AttemptEnded {
                request: id,
                attempt: 0,
                endpoint,
                outcome,
                elapsed: took,
                request_finished: true,
                settled_units: None,
                load: report,
            };
            self.gateway.handle(self.now, Event::AttemptEnded(end), &mut self.out);
        }
        self.out.clear();
    }
}

#[divan::bench(args = SIZES)]
fn request_without_slow_starts(bencher: Bencher, endpoints: u32) {
    let mut run = GatewayRun::new(endpoints, false);
    bencher.bench_local(|| run.request());
}

#[divan::bench(args = SIZES)]
fn request_with_half_in_slow_start(bencher: Bencher, endpoints: u32) {
    let mut run = GatewayRun::new(endpoints, true);
    bencher.bench_local(|| run.request());
}

#[divan::bench(args = SIZES)]
fn complete_list(bencher: Bencher, endpoints: u32) {
    let mut run = GatewayRun::new(endpoints, false);
    let now = run.now;
    let list = || endpoint_list(endpoints, None);
    bencher.with_inputs(list).bench_local_values(|list| {
        run.gateway.handle(
            now,
            Event::EndpointsChanged { scope: WatchScope::Complete, endpoints: list },
            &mut run.out,
        );
    });
}
