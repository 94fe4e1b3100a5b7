//! Cost of the decision module for one request with its response, and for one complete endpoint list, by the number of
//! endpoints. Run with `cargo bench --bench request_cost`; results are in `docs/decisions/0010-fleet-size.md`.

use divan::Bencher;
use quota_gateway::decision::{
    Action, Arrival, AttemptEnded, CellId, Class, CustomerId, DeduplicationScope, EndpointId, EndpointStatus,
    EndpointUpdate, Event, Gateway, Idempotency, LabelId, LoadReport, Micros, Outcome, Plan, RequestId,
    Settings, WatchScope, ZoneId,
};

const ENDPOINT_COUNTS: [u32; 4] = [50, 200, 800, 3200];
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
        hard_limit_rate: 0.0,
        hard_limit_burst: 0.0,
        hard_limit_overdraft: 0.0,
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

fn endpoint_list(endpoints: u32, started_at: Option<Micros>) -> Vec<EndpointUpdate> {
    let entry = |number: u32| EndpointUpdate {
        endpoint: EndpointId(u64::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        zone: ZoneId(0),
        cell: CellId(u64::from(number / 8)),
        status: EndpointStatus::InService,
        weight: 1.0,
        started_at: started_at.filter(|_| number.is_multiple_of(2)),
        label: LabelId::default(),
    };
    (0..endpoints).map(entry).collect()
}

/// A gateway with its clock and the number of its last request.
struct GatewayRun {
    gateway: Gateway,
    now: Micros,
    last_request: u64,
    actions: Vec<Action>,
}

impl GatewayRun {
    fn new(endpoints: u32, half_in_slow_start: bool) -> GatewayRun {
        let now = Micros(1_000 * SECOND);
        let mut gateway = Gateway::new(7, settings()).expect("valid settings");
        let mut actions = Vec::new();
        let list = endpoint_list(endpoints, half_in_slow_start.then_some(now));
        gateway.handle(
            now,
            Event::EndpointsChanged { scope: WatchScope::Complete, endpoints: list },
            &mut actions,
        );
        GatewayRun { gateway, now, last_request: 0, actions }
    }
    /// Handles one request and its response. The clock does not advance, so that slow starts do not end.
    fn request(&mut self) {
        self.last_request += 1;
        let id = RequestId(self.last_request);
        let deadline = self.now + Micros(3 * SECOND);
        let customer = CustomerId(self.last_request % 100);
        let arrival = Arrival { id, customer, deadline, units: 1.0, gateway_count: 2, ..Arrival::default() };
        self.gateway.handle(self.now, Event::RequestArrived(arrival), &mut self.actions);
        let endpoint_sent_to = self.actions.drain(..).find_map(|action| match action {
            Action::SendAttempt { endpoint, .. } => Some(endpoint),
            _ => None,
        });
        if let Some(endpoint) = endpoint_sent_to {
            let (outcome, elapsed, load) = (Outcome::Success, Micros(50_000), LoadReport::default());
            let end = AttemptEnded {
                request: id,
                attempt: 0,
                endpoint,
                outcome,
                elapsed,
                request_finished: true,
                settled_units: None,
                load,
            };
            self.gateway.handle(self.now, Event::AttemptEnded(end), &mut self.actions);
        }
        self.actions.clear();
    }
}

#[divan::bench(args = ENDPOINT_COUNTS)]
fn request_without_slow_starts(bencher: Bencher, endpoints: u32) {
    let mut run = GatewayRun::new(endpoints, false);
    bencher.bench_local(|| run.request());
}

#[divan::bench(args = ENDPOINT_COUNTS)]
fn request_with_half_in_slow_start(bencher: Bencher, endpoints: u32) {
    let mut run = GatewayRun::new(endpoints, true);
    bencher.bench_local(|| run.request());
}

#[divan::bench(args = ENDPOINT_COUNTS)]
fn complete_list(bencher: Bencher, endpoints: u32) {
    let mut run = GatewayRun::new(endpoints, false);
    let now = run.now;
    let list = || endpoint_list(endpoints, None);
    bencher.with_inputs(list).bench_local_values(|list| {
        run.gateway.handle(
            now,
            Event::EndpointsChanged { scope: WatchScope::Complete, endpoints: list },
            &mut run.actions,
        );
    });
}
