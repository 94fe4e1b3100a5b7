//! Attempts: sent, held back, given up early, answered, and repeated as far as the class allows.

use crate::decision::gateway::*;

impl Gateway {
    /// Sends the next attempt, or holds the request until a server is free.
    pub(super) fn dispatch(&mut self, id: RequestId) {
        if let Some(server) = self.pick(id) {
            return self.send(id, server);
        }
        if let Some(r) = self.requests.get_mut(&id).filter(|r| r.held_since.is_none()) {
            r.held_since = Some(self.now);
            self.held.push(id);
        }
        self.watch_held();
    }

    fn watch_held(&mut self) {
        if !self.held.is_empty() && !self.hold_timer {
            self.hold_timer = true;
            self.timer(Timer::Held, HOLD_STEP);
        }
    }

    pub(super) fn send(&mut self, id: RequestId, server: EndpointId) {
        let now = self.now;
        let suspect = self.servers.get(&server).is_some_and(|s| s.trial || s.fail_share > SUSPECT_SHARE);
        let most = self.requests.get(&id).map_or(0, |r| self.most_attempts(r));
        let Some(r) = self.requests.get_mut(&id) else { return };
        let class = &self.set.classes[r.a.class.0];
        // An attempt at a server that failed of late is given up while another could still meet the aim.
        // Guards against servers that fall silent. Not at others: there the work is long, it goes on all the
        // same, and its repeat comes on top at every gateway. Nor while attempts fail everywhere.
        let again = class.idempotency != Idempotency::NotIdempotent
            && !class.streaming
            && !r.a.streaming_body
            && r.attempts.len() + 1 < most
            && (class.idempotency == Idempotency::Idempotent
                || class.deduplication_scope == DeduplicationScope::All)
            && self.fail_share < CALM_SHARE
            && suspect;
        let early =
            r.arrived + class.latency_objective.times(r.route.give_up_fraction.unwrap_or(1.0 - SPARE_PART));
        let until = if again && early > now + class.latency_objective.times(SPARE_PART) {
            early
        } else {
            r.a.deadline
        };
        let placed = !r.a.streaming_body;
        r.attempts.push(Attempt { server, sent: now, out: true, placed, may_have_run: false });
        r.held_since = None;
        r.counted = None;
        let (units, until) = (r.a.units, until.min(r.a.deadline));
        self.flow.level = self.flow_rate() * FLOW_SPAN + units;
        self.flow.at = now;
        self.servers.get_mut(&server).into_iter().for_each(|s| s.cold_room.level -= units);
        if placed {
            self.take_place(server);
        }
        self.out.push(Action::SendAttempt { request: id, endpoint: server, give_up_at: until });
    }

    fn take_place(&mut self, server: EndpointId) {
        self.servers.get_mut(&server).into_iter().for_each(|s| s.out += 1.0);
        self.out_now += 1.0;
    }

    /// A server begins with a request's last byte; until then an upload waits for its client and takes none
    /// of the server's places, or a few slow clients would take all.
    pub(super) fn on_body_ended(&mut self, id: RequestId, deadline: Micros) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.done) else { return };
        (r.a.deadline, r.arrived) = (deadline, self.now);
        // An upload is sent once.
        let sent = r.attempts.first_mut().filter(|a| a.out && !a.placed);
        let server = sent.map(|a| {
            a.placed = true;
            a.server
        });
        server.into_iter().for_each(|server| self.take_place(server));
        self.timer(Timer::Deadline(id), deadline - self.now - self.set.tick - self.set.tick);
    }

    /// With the first bytes of a long answer its server has done its work: the place is free, and the time
    /// was the server's. What is left takes as long as the client does.
    pub(super) fn on_answer_begun(&mut self, id: RequestId, attempt: usize, took: Micros) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.streaming = true;
        let aim = self.set.classes[r.a.class.0].latency_objective;
        let Some(a) = r.attempts.get_mut(attempt).filter(|a| a.out && a.placed) else { return };
        a.placed = false;
        let server = a.server;
        self.judge(server, Outcome::Success, took, aim);
        if !self.held.is_empty() {
            self.serve_held();
        }
    }

    pub(super) fn serve_held(&mut self) {
        let now = self.now;
        let mut waiting = std::mem::take(&mut self.held);
        waiting.retain(|id| self.requests.get(id).is_some_and(|r| !r.done && r.held_since.is_some()));
        // In overload the least worth for its work waits longest and is refused first.
        waiting.sort_by_key(|id| (std::cmp::Reverse((self.worth(&self.requests[id]) * 1e6) as u64), *id));
        for id in waiting {
            let r = &self.requests[&id];
            let longest = self.set.classes[r.a.class.0].latency_objective.times(HOLD_PART);
            let overdue = r.held_since.is_some_and(|at| now >= at + longest);
            if let Some(server) = self.pick(id) {
                self.send(id, server);
            } else if overdue {
                self.refuse(id, RejectionReason::NoEndpoint);
            } else {
                self.held.push(id);
            }
        }
        self.watch_held();
    }

    pub(super) fn on_attempt(&mut self, end: AttemptEnded) {
        let (id, outcome) = (end.request, end.outcome);
        let Some(r) = self.requests.get_mut(&id) else { return };
        let named = r.attempts.get_mut(end.attempt);
        let Some(a) = named.filter(|a| a.out && a.server == end.endpoint) else { return };
        a.out = false;
        a.may_have_run = !outcome.never_ran();
        let placed = std::mem::take(&mut a.placed);
        let (aim, was_done, streaming) =
            (self.set.classes[r.a.class.0].latency_objective, r.done, r.streaming);
        r.done |= end.request_finished || outcome == Outcome::Success;
        let (answered, in_time) = (r.done, self.now < r.arrived + aim);
        if let (Some(true_units), Outcome::Success, false) = (end.settled_units, outcome, was_done) {
            if let Some(c) = self.customers.get_mut(&r.a.customer) {
                c.window.owed += true_units - r.a.units;
            }
        }
        if !placed && !streaming {
            self.take_place(end.endpoint); // An upload that ended early is judged like any other attempt.
        }
        self.hear(end.endpoint, end.load);
        if placed || !streaming {
            self.judge(end.endpoint, outcome, end.elapsed, aim);
        }
        if answered {
            self.let_go(id);
        } else if in_time && self.may_repeat(id) && self.retries >= 1.0 {
            self.retries -= 1.0;
            self.dispatch(id);
        } else if self.requests.get(&id).is_some_and(|r| !r.is_out()) {
            self.refuse(id, RejectionReason::AttemptsExhausted);
        }
        if !self.held.is_empty() {
            self.serve_held();
        }
    }

    /// Whether an operator took this server out.
    pub fn is_in_maintenance(&self, server: EndpointId) -> bool {
        self.servers.get(&server).is_some_and(|s| s.maintained)
    }

    // ---- guards of the rules: every send and every refusal passes here ----

    fn may_repeat(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|r| self.servers.values().any(|s| self.may_send(r, s)))
    }

    /// Whether this request may go to this server now: lists and drains, effect, copies, cold servers.
    pub(super) fn may_send(&self, r: &Request, s: &Server) -> bool {
        let class = &self.set.classes[r.a.class.0];
        let over =
            r.done || r.streaming || self.now >= r.a.deadline || r.attempts.len() >= self.most_attempts(r);
        let pushed =
            s.cold_since.is_some() && (s.cold_room.level <= 0.0 || self.role == ProcessRole::Predecessor);
        let second = r.is_out() && !self.set.hedging || r.a.streaming_body && !r.attempts.is_empty();
        if over || pushed || second || !s.in_service() {
            return false;
        }
        let mut ran = r.attempts.iter().filter(|a| a.out || a.may_have_run);
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => ran.next().is_none(),
            Idempotency::WithKey => ran.all(|a| {
                self.in_window(class, a, self.set.connect_timeout)
                    && self.servers.get(&a.server).is_some_and(|first| match class.deduplication_scope {
                        DeduplicationScope::All => true,
                        DeduplicationScope::Zone => first.zone == s.zone,
                        DeduplicationScope::Cell => first.cell == s.cell,
                    })
            }),
        }
    }

    /// Repeats of this attempt are dropped still, also those that go out so much later: its window counts
    /// from the send, less a tick on the way.
    fn in_window(&self, class: &Class, a: &Attempt, later: Micros) -> bool {
        self.now + later + self.set.tick + self.set.tick < a.sent + class.deduplication_window
    }

    /// Whether trying again is harmless for the client.
    pub(super) fn may_refuse(&self, r: &Request) -> bool {
        let class = &self.set.classes[r.a.class.0];
        let mut ran = r.attempts.iter().filter(|a| a.out || a.may_have_run);
        !r.streaming
            && match class.idempotency {
                Idempotency::Idempotent => true,
                Idempotency::WithKey => ran.all(|a| {
                    class.deduplication_scope == DeduplicationScope::All
                        && self.in_window(class, a, Micros(0))
                }),
                Idempotency::NotIdempotent => ran.next().is_none(),
            }
    }
}
