//! Services that gateways call: endpoints, discovery and the counter service.

use super::environment::{Attempt, CounterState, Fault};
use super::messages::{AttemptLine, CallOutcome, GatewayAction, GatewayInput, ListScope, LoadLine};
use super::site::{CLASSES, COUNTER_TIMEOUT, MS};
use super::Model;

impl Model {
    pub(super) fn draw_load_report(&mut self, endpoint: usize) -> LoadLine {
        let in_flight = self.endpoints[endpoint].in_flight;
        match self.rng.u32(0..4) {
            0 => LoadLine::default(),
            1 => LoadLine { in_flight: Some(in_flight), ..LoadLine::default() },
            2 => LoadLine { queued: Some(1.0), busy: Some(0.5), ..LoadLine::default() },
            _ => LoadLine { in_flight: Some(in_flight + 1.0), queued: Some(0.0), busy: Some(0.25) },
        }
    }

    /// Carries out an action of a gateway.
    pub fn carry_out(&mut self, gateway: u32, action: GatewayAction) {
        match action {
            GatewayAction::Send { request, endpoint, give_up_at } => {
                self.send_attempt(gateway, request, endpoint, give_up_at);
            }
            GatewayAction::Reject { request, retry_after } => self.on_rejected(gateway, request, retry_after),
            GatewayAction::Fail { request } => {
                if let Some(request) = self.requests.get_mut(&(gateway, request)) {
                    request.closed = true;
                }
            }
            GatewayAction::Cancel { request, attempt } => self.cancel_attempt(gateway, request, attempt),
            GatewayAction::Count { key, amount } => self.increment_counter(gateway, key, amount),
            GatewayAction::SetTimer { timer, after } => {
                self.enqueue_input(gateway, self.now + after, GatewayInput::Timer { timer });
            }
            GatewayAction::Subscribe => {
                let list = self.complete_list();
                let failed = GatewayInput::Endpoints { scope: ListScope::Failed, endpoints: Vec::new() };
                let list_event = if self.rng.u32(0..4) == 0 { failed } else { list };
                self.enqueue_input(gateway, self.now + 5 * MS, list_event);
            }
        }
    }

    pub(super) fn cancel_attempt(&mut self, gateway: u32, request_id: u64, attempt_number: usize) {
        let Some(request) = self.requests.get_mut(&(gateway, request_id)) else { return };
        let Some(attempt) = request.attempts.get_mut(attempt_number) else { return };
        let Some(key) = attempt.ends.take() else { return };
        let (endpoint, elapsed) = (attempt.endpoint, self.now - attempt.sent);
        self.event_queue.remove(&key);
        let how = CallOutcome::Cancelled;
        self.enqueue_attempt_end(
            gateway,
            self.now + MS,
            (request_id, attempt_number),
            endpoint,
            how,
            elapsed,
        );
    }

    pub(super) fn enqueue_attempt_end(
        &mut self,
        gateway: u32,
        at: u64,
        (request, attempt): (u64, usize),
        endpoint: u64,
        how: CallOutcome,
        elapsed: u64,
    ) {
        let load = self.draw_load_report(endpoint as usize);
        let is_settled = how == CallOutcome::Success && self.rng.u32(0..5) == 0;
        let settled = if is_settled { [0.5, 1.0, 3.0][self.rng.usize(0..3)] } else { 0.0 };
        let final_answer = false;
        let line = AttemptLine { request, attempt, endpoint, how, elapsed, final_answer, settled, load };
        let key = self.enqueue_input(gateway, at, GatewayInput::AttemptEnded(line));
        if let Some(request) = self.requests.get_mut(&(gateway, request)) {
            if let Some(attempt) = request.attempts.get_mut(attempt) {
                attempt.ends = Some(key);
            }
        }
    }

    pub(super) fn send_attempt(&mut self, gateway: u32, request_id: u64, endpoint: u64, give_up_at: u64) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&(gateway, request_id)) else { return };
        let attempt = request.attempts.len();
        request.attempts.push(Attempt { endpoint, sent: now, ends: None });
        let class = request.arrival.as_ref().map_or(0, |a| a.class);
        // An endpoint starts its work on an upload with the last byte of the body.
        let work_begins_at = request.body_ends.max(now);
        let Some(target) = self.endpoints.get_mut(endpoint as usize) else { return };
        target.in_flight += 1.0;
        let (fault, in_flight, weight) = (target.fault, target.in_flight, target.line.weight);
        let slowdown = if fault == Fault::Slow { 12.0 } else { 1.0 };
        let usual_time = self.scenario.service_time as f64 * [1.0, 1.0, 0.5, 2.0, 1.0, 1.5][class];
        let work = usual_time * (0.4 + 1.2 * self.rng.f64()) * (1.0 + in_flight / (6.0 * weight)) * slowdown;
        let (how, ends) = match fault {
            Fault::RefusesConnections => (CallOutcome::ConnectFailed, now + MS),
            Fault::Unresponsive => (CallOutcome::Timeout, give_up_at),
            Fault::ReturnsErrors => {
                (CallOutcome::ServerError, work_begins_at + self.rng.u64(20 * MS..700 * MS))
            }
            Fault::Overloaded => (CallOutcome::Rejected, work_begins_at + 3 * MS),
            Fault::ResetsConnections => (CallOutcome::ConnectionReset, work_begins_at + 30 * MS),
            Fault::None | Fault::Slow if in_flight > 24.0 => (CallOutcome::Rejected, work_begins_at + 3 * MS),
            Fault::None | Fault::Slow => match self.rng.u32(0..120) {
                0 => (CallOutcome::ServerError, work_begins_at + 20 * MS),
                1 => (CallOutcome::ConnectionReset, work_begins_at + 20 * MS),
                2 => (CallOutcome::NotSent, now + MS),
                _ => (CallOutcome::Success, work_begins_at + work as u64),
            },
        };
        let (how, ends) = if ends >= give_up_at { (CallOutcome::Timeout, give_up_at) } else { (how, ends) };
        let key = (request_id, attempt);
        if how == CallOutcome::Success && CLASSES[class].streaming {
            self.enqueue_input(gateway, ends, GatewayInput::StreamStarted { request: request_id });
            let streaming_time = self.rng.u64(20 * MS..900 * MS);
            let how =
                if self.rng.u32(0..8) == 0 { CallOutcome::ConnectionReset } else { CallOutcome::Success };
            return self.enqueue_attempt_end(
                gateway,
                ends + streaming_time,
                key,
                endpoint,
                how,
                ends + streaming_time - now,
            );
        }
        let is_long_response =
            self.scenario.module_only && how == CallOutcome::Success && self.rng.u32(0..6) == 0;
        if is_long_response {
            let elapsed = ends - now;
            let started = GatewayInput::ResponseStarted { request: request_id, attempt, elapsed };
            self.enqueue_input(gateway, ends, started);
            let streaming_time = self.rng.u64(20 * MS..900 * MS);
            return self.enqueue_attempt_end(
                gateway,
                ends + streaming_time,
                key,
                endpoint,
                how,
                elapsed + streaming_time,
            );
        }
        self.enqueue_attempt_end(gateway, ends, key, endpoint, how, ends.saturating_sub(now));
    }

    pub(super) fn increment_counter(&mut self, gateway: u32, key: u64, amount: f64) {
        let state = match self.counter {
            CounterState::Mixed => {
                let states = [CounterState::Healthy, CounterState::Slow, CounterState::Rejecting];
                states[self.rng.usize(0..states.len())]
            }
            state => state,
        };
        let delay = self.rng.u64(500..3 * MS);
        let (how, delay, adds) = match state {
            CounterState::Healthy | CounterState::Mixed => (CallOutcome::Success, delay, true),
            CounterState::Slow => {
                let delay = self.rng.u64(20 * MS..200 * MS);
                let how = if delay > COUNTER_TIMEOUT { CallOutcome::Timeout } else { CallOutcome::Success };
                (how, delay.min(COUNTER_TIMEOUT), true)
            }
            CounterState::Rejecting => (CallOutcome::Rejected, delay, false),
            CounterState::Unreachable => (CallOutcome::ConnectFailed, delay, false),
            CounterState::Errors => (CallOutcome::ServerError, delay, true),
        };
        let total = self.counts.entry(key).or_default();
        if adds {
            *total += amount;
        }
        let total = if how == CallOutcome::Success { *total } else { 0.0 };
        self.enqueue_input(gateway, self.now + delay, GatewayInput::CounterReplied { key, how, total });
    }
}
