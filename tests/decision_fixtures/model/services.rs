//! What gateways call: endpoints, discovery and the counter service.

use super::site::{CLASSES, COUNTER_TIMEOUT, MS};
use super::surroundings::{Attempt, CounterState, Fault};
use super::terms::{AttemptLine, How, LoadLine, Response, Scope, Stimulus};
use super::Model;

impl Model {
    pub(super) fn load_of(&mut self, endpoint: usize) -> LoadLine {
        let in_flight = self.endpoints[endpoint].in_flight;
        match self.rng.u32(0..4) {
            0 => LoadLine::default(),
            1 => LoadLine { in_flight: Some(in_flight), ..LoadLine::default() },
            2 => LoadLine { queued: Some(1.0), busy: Some(0.5), ..LoadLine::default() },
            _ => LoadLine { in_flight: Some(in_flight + 1.0), queued: Some(0.0), busy: Some(0.25) },
        }
    }

    /// Takes what a gateway did.
    pub fn react(&mut self, gateway: u32, response: Response) {
        match response {
            Response::Send { request, endpoint, give_up_at } => {
                self.send(gateway, request, endpoint, give_up_at);
            }
            Response::Reject { request, retry_after } => self.rejected(gateway, request, retry_after),
            Response::Fail { request } => {
                if let Some(request) = self.requests.get_mut(&(gateway, request)) {
                    request.closed = true;
                }
            }
            Response::Cancel { request, attempt } => self.cancel(gateway, request, attempt),
            Response::Count { key, amount } => self.count(gateway, key, amount),
            Response::SetTimer { timer, after } => {
                self.tell(gateway, self.now + after, Stimulus::Timer { timer });
            }
            Response::Subscribe => {
                let list = self.complete_list();
                let lost = Stimulus::Endpoints { scope: Scope::Failed, endpoints: Vec::new() };
                let told = if self.rng.u32(0..4) == 0 { lost } else { list };
                self.tell(gateway, self.now + 5 * MS, told);
            }
        }
    }

    pub(super) fn cancel(&mut self, gateway: u32, request_id: u64, attempt_number: usize) {
        let Some(request) = self.requests.get_mut(&(gateway, request_id)) else { return };
        let Some(attempt) = request.attempts.get_mut(attempt_number) else { return };
        let Some(place) = attempt.ends.take() else { return };
        let (endpoint, elapsed) = (attempt.endpoint, self.now - attempt.sent);
        self.queue.remove(&place);
        let how = How::Cancelled;
        self.end(gateway, self.now + MS, (request_id, attempt_number), endpoint, how, elapsed);
    }

    pub(super) fn end(
        &mut self,
        gateway: u32,
        at: u64,
        (request, attempt): (u64, usize),
        endpoint: u64,
        how: How,
        elapsed: u64,
    ) {
        let load = self.load_of(endpoint as usize);
        let settles = how == How::Success && self.rng.u32(0..5) == 0;
        let settled = if settles { [0.5, 1.0, 3.0][self.rng.usize(0..3)] } else { 0.0 };
        let final_answer = false;
        let line = AttemptLine { request, attempt, endpoint, how, elapsed, final_answer, settled, load };
        let place = self.tell(gateway, at, Stimulus::AttemptEnded(line));
        if let Some(request) = self.requests.get_mut(&(gateway, request)) {
            if let Some(attempt) = request.attempts.get_mut(attempt) {
                attempt.ends = Some(place);
            }
        }
    }

    pub(super) fn send(&mut self, gateway: u32, request_id: u64, endpoint: u64, give_up_at: u64) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&(gateway, request_id)) else { return };
        let attempt = request.attempts.len();
        request.attempts.push(Attempt { endpoint, sent: now, ends: None });
        let class = request.arrival.as_ref().map_or(0, |a| a.class);
        // The work on an upload begins with its last byte.
        let begins = request.body_ends.max(now);
        let Some(to) = self.endpoints.get_mut(endpoint as usize) else { return };
        to.in_flight += 1.0;
        let (fault, in_flight, weight) = (to.fault, to.in_flight, to.line.weight);
        let slow = if fault == Fault::Slow { 12.0 } else { 1.0 };
        let usual = self.scenario.work as f64 * [1.0, 1.0, 0.5, 2.0, 1.0, 1.5][class];
        let work = usual * (0.4 + 1.2 * self.rng.f64()) * (1.0 + in_flight / (6.0 * weight)) * slow;
        let (how, ends) = match fault {
            Fault::Refuses => (How::ConnectFailed, now + MS),
            Fault::Silent => (How::Timeout, give_up_at),
            Fault::Errors => (How::ServerError, begins + self.rng.u64(20 * MS..700 * MS)),
            Fault::Full => (How::Rejected, begins + 3 * MS),
            Fault::Resets => (How::ConnectionReset, begins + 30 * MS),
            Fault::None | Fault::Slow if in_flight > 24.0 => (How::Rejected, begins + 3 * MS),
            Fault::None | Fault::Slow => match self.rng.u32(0..120) {
                0 => (How::ServerError, begins + 20 * MS),
                1 => (How::ConnectionReset, begins + 20 * MS),
                2 => (How::NotSent, now + MS),
                _ => (How::Success, begins + work as u64),
            },
        };
        let (how, ends) = if ends >= give_up_at { (How::Timeout, give_up_at) } else { (how, ends) };
        let key = (request_id, attempt);
        if how == How::Success && CLASSES[class].streaming {
            self.tell(gateway, ends, Stimulus::StreamStarted { request: request_id });
            let rest = self.rng.u64(20 * MS..900 * MS);
            let how = if self.rng.u32(0..8) == 0 { How::ConnectionReset } else { How::Success };
            return self.end(gateway, ends + rest, key, endpoint, how, ends + rest - now);
        }
        let long = self.scenario.module_only && how == How::Success && self.rng.u32(0..6) == 0;
        if long {
            let elapsed = ends - now;
            let started = Stimulus::ResponseStarted { request: request_id, attempt, elapsed };
            self.tell(gateway, ends, started);
            let rest = self.rng.u64(20 * MS..900 * MS);
            return self.end(gateway, ends + rest, key, endpoint, how, elapsed + rest);
        }
        self.end(gateway, ends, key, endpoint, how, ends.saturating_sub(now));
    }

    pub(super) fn count(&mut self, gateway: u32, key: u64, amount: f64) {
        let state = match self.counter {
            CounterState::Mixed => {
                let states = [CounterState::Healthy, CounterState::Slow, CounterState::Full];
                states[self.rng.usize(0..states.len())]
            }
            state => state,
        };
        let delay = self.rng.u64(500..3 * MS);
        let (how, delay, adds) = match state {
            CounterState::Healthy | CounterState::Mixed => (How::Success, delay, true),
            CounterState::Slow => {
                let delay = self.rng.u64(20 * MS..200 * MS);
                let how = if delay > COUNTER_TIMEOUT { How::Timeout } else { How::Success };
                (how, delay.min(COUNTER_TIMEOUT), true)
            }
            CounterState::Full => (How::Rejected, delay, false),
            CounterState::Unreachable => (How::ConnectFailed, delay, false),
            CounterState::Errors => (How::ServerError, delay, true),
        };
        let total = self.counts.entry(key).or_default();
        if adds {
            *total += amount;
        }
        let total = if how == How::Success { *total } else { 0.0 };
        self.tell(gateway, self.now + delay, Stimulus::CounterReplied { key, how, total });
    }
}
