//! Choice of a server: who may be chosen, how well it is, and what a cold one bears.

use crate::decision::gateway::*;

impl Gateway {
    // ---- choice of a server ----

    /// How many servers are in this gateway's own part of the fleet.
    fn reach(&self) -> usize {
        (REACH_LEAST + REACH_FLOW * self.flow_rate()).min(self.ring.len() as f64) as usize
    }

    /// This gateway's part in the bound at one server: one where few gateways share it, else by how many do.
    pub(super) fn scale(&self) -> f64 {
        let sharing = f64::from(self.set.gateways) * self.reach() as f64 / self.ring.len().max(1) as f64;
        let part = match self.role {
            ProcessRole::Single => 1.0,
            ProcessRole::Predecessor => ELDER_PART,
            ProcessRole::Successor => 1.0 - ELDER_PART,
        };
        (FLEET_START / LIMIT_START / sharing.max(1e-9)).min(1.0) * part
    }

    /// So many gateways share the servers that bounds start below one attempt and say little.
    pub(super) fn sparse(&self) -> bool {
        LIMIT_START * self.scale() < 1.0
    }

    /// The listed servers, this gateway's own part of the fleet first. Guards against learning nothing of any
    /// server where each gateway sees few requests. The golden ratio spreads the parts evenly, also those of
    /// gateways in a row, through which one customer comes.
    fn own_part_first(&self) -> impl Iterator<Item = EndpointId> + '_ {
        let start =
            (f64::from(self.set.gateway_number) * 0.618_033_988_749_895).fract() * self.ring.len() as f64;
        let (before, first) = self.ring.split_at((start as usize).min(self.ring.len()));
        first.iter().chain(before).copied()
    }

    /// The allowed server with the least expected wait, beyond the own part only if that has none.
    pub(super) fn pick(&mut self, id: RequestId) -> Option<EndpointId> {
        let fresh = self.requests.get(&id).is_some_and(|r| r.attempts.is_empty() && r.held_since.is_none());
        self.warm_up(fresh);
        let salt = self.rng.u64(..);
        let (reach, scale) = (self.reach(), self.scale());
        let r = self.requests.get(&id)?;
        // Bounds may fall below one (many gateways): what is out in all stays within their sum.
        let fit =
            self.own_part_first().take(reach).map(|sid| &self.servers[&sid]).filter(|s| self.healthy(s));
        let most: f64 = fit.map(|s| s.limit * scale).sum();
        let any_healthy = most > 0.0 || self.servers.values().any(|s| s.in_service() && self.healthy(s));
        if most > 0.0 && self.out_now >= most.max(if self.sparse() { FEW_OUT } else { 1.0 }) {
            return None;
        }
        let mut best: Option<(f64, EndpointId)> = None;
        for (i, sid) in self.own_part_first().enumerate() {
            if i >= reach && best.is_some() {
                break;
            }
            let s = &self.servers[&sid];
            // With nothing healthy left, one at a time to whatever is listed.
            let most = if any_healthy { (s.limit * scale).floor().max(1.0) } else { 1.0 };
            let kept = s.out >= most || any_healthy && !self.healthy(s) || !self.may_send(r, s);
            if kept || r.route.spares(s, salt) {
                continue;
            }
            let slow = if self.latency > 0.0 { (s.latency / self.latency).clamp(0.7, 2.0) } else { 1.0 };
            let tried = r.attempts.iter().filter(|a| a.server == sid).count() as f64;
            let far = if s.zone == self.set.zone { 0.0 } else { 0.05 * scale };
            // The less of a server's load is this gateway's own, the more its word counts, and the wider the
            // choice is spread: guards against all gateways at once taking the server that looked best.
            let others = 1.0 - scale;
            let mut score = (s.out + 1.0 + others * self.expected(s)) * slow / s.weight
                * (1.0 + 3.0 * s.fail_share)
                + 4.0 * tried;
            score *= 1.0 + (0.1 + others) * (mix(salt ^ sid.0) as f64 / u64::MAX as f64) + far;
            // Chance has drawn it already.
            score *= if s.cold_since.is_some() && self.sparse() { 0.0 } else { 1.0 };
            // A server on trial is asked first, or one that failed would never be tried again.
            score *= if s.trial && r.attempts.is_empty() { 0.3 } else { 1.0 };
            score /= r.route.weight(s);
            if best.is_none_or(|(b, _)| score < b) {
                best = Some((score, sid));
            }
        }
        best.map(|(_, sid)| sid)
    }

    fn healthy(&self, s: &Server) -> bool {
        self.now >= s.ejected_until && (!s.trial || s.out < 1.0)
    }

    // ---- health and cold starts ----

    /// What a server says of its load is the one word on what the other gateways do to it.
    pub(super) fn hear(&mut self, server: EndpointId, report: LoadReport) {
        if let Some(inflight) = report.in_flight {
            self.inflight += SMOOTH * (inflight - self.inflight);
            self.servers.get_mut(&server).into_iter().for_each(|s| s.told = Some((inflight, self.now)));
        }
    }

    /// How many requests a server is expected to hold: as it said last, the less so the longer ago.
    fn expected(&self, s: &Server) -> f64 {
        let told = s.told.map(|(inflight, at)| (inflight, (-(self.now - at).secs() / TOLD_SPAN).exp()));
        told.map_or(self.inflight, |(inflight, trust)| self.inflight + trust * (inflight - self.inflight))
    }

    pub(super) fn judge(&mut self, server: EndpointId, outcome: Outcome, took: Micros, aim: Micros) {
        let now = self.now;
        let (jitter, scale) = (0.75 + 0.5 * self.rng.f64(), self.scale());
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.out = (s.out - 1.0).max(0.0);
        self.out_now = (self.out_now - 1.0).max(0.0);
        // Guards against servers that hold too much and work worse for it, by overload or by a trouble of
        // their own: the bound gives way fast and comes back slowly. May hurt just after short stalls.
        let answered = matches!(outcome, Outcome::Success | Outcome::Cancelled);
        let late = |time: Micros| answered && time > aim.times(LATE_PART);
        let turned = matches!(outcome, Outcome::Rejected | Outcome::Timeout);
        let jammed = turned || late(took + Micros(2 * s.latency as u64));
        // Shedding goes by the answer alone: the usual time is that of all classes, and of a class with a
        // short aim every longer piece of work would speak for overload, at servers half idle.
        let missed = turned || late(took);
        self.pass = if missed { self.pass * PASS_CUT } else { self.pass + PASS_GROW }.clamp(LEAST_PART, 1.0);
        if jammed {
            s.limit = (s.limit * LIMIT_CUT).max(LIMIT_LEAST);
        } else if outcome == Outcome::Success
            && s.out + 1.0 >= (s.limit * scale).floor()
            && took < aim.times(GROW_PART)
        {
            s.limit += LIMIT_GROW;
        }
        let bad = !matches!(outcome, Outcome::Success | Outcome::Cancelled | Outcome::NotSent) || took > aim;
        self.fail_share += SMOOTH / 3.0 * (f64::from(u8::from(bad)) - self.fail_share);
        if outcome == Outcome::Success {
            let sample = took.0 as f64;
            for smooth in [&mut s.latency, &mut self.latency] {
                *smooth = if *smooth == 0.0 { sample } else { *smooth + SMOOTH * (sample - *smooth) };
            }
            s.fail_share *= 1.0 - SMOOTH;
            if std::mem::take(&mut s.trial) {
                s.fail_share = 0.0; // The trial is passed.
            } else {
                s.ejections = 0;
            }
            // Guards against a restart that the list has not told yet: connects failed for a while and now it
            // answers, so it is taken to be cold.
            let unreached = s.unreached_since.take().is_some_and(|at| now - at > EJECT_FIRST);
            if unreached && s.cold_since.is_none() {
                s.cold_since = Some(now);
                s.cold_room = TokenBucket { level: 0.0, depth: 1.0, rate: 0.0, at: now };
                self.cold.insert(server);
            }
        }
        if matches!(outcome, Outcome::Success | Outcome::Cancelled | Outcome::NotSent) {
            return;
        }
        if outcome == Outcome::Rejected {
            s.ejected_until = s.ejected_until.max(now + REST);
            return;
        }
        s.fail_share += SMOOTH * (1.0 - s.fail_share);
        if outcome == Outcome::ConnectFailed {
            s.unreached_since.get_or_insert(now);
        }
        // Outlier ejection. Guards against servers that fail fast, hang or are unreachable; a server is out
        // of line only against the others, or overload would eject them one by one.
        let out_of_line =
            outcome == Outcome::ConnectFailed || s.fail_share > EJECT_SHARE.max(2.0 * self.fail_share);
        if now >= s.ejected_until && (out_of_line || s.trial) {
            s.ejected_until = now + EJECT_FIRST.times(f64::from(1 << s.ejections) * jitter);
            s.ejections = (s.ejections + 1).min(EJECT_DOUBLINGS);
            s.trial = true;
        }
    }

    /// Units a second that this gateway sends on, over the last moments.
    pub(super) fn flow_rate(&self) -> f64 {
        self.flow.level / FLOW_SPAN * (-(self.now - self.flow.at).secs() / FLOW_SPAN).exp()
    }

    /// Guards against pushing over a cold server: it is given the work that a warm one of its size gets from
    /// this gateway, times the part of its capacity that it must have by now. Warm servers bear that load,
    /// and each gateway scales its own, so the sum stays in proportion.
    fn warm_up(&mut self, fresh: bool) {
        if self.cold.is_empty() {
            return;
        }
        let due = self.now >= self.swept + PASS_EVERY.times(self.servers.len() as f64);
        if due {
            self.swept = self.now;
            self.end_slow_starts();
        }
        if self.sparse() {
            if !std::mem::replace(&mut self.draws, true) {
                self.empty_cold_rooms();
            }
            return self.draw_cold(fresh);
        }
        self.draws = false;
        if due {
            self.fill_cold_rooms();
        }
    }

    fn end_slow_starts(&mut self) {
        let (now, servers, lasts) = (self.now, &mut self.servers, self.set.slow_start_window);
        self.cold.retain(|id| {
            let Some(s) = servers.get_mut(id) else { return false };
            s.cold_since = s.cold_since.filter(|since| now < *since + lasts);
            s.cold_since.is_some()
        });
    }

    /// No cold server may be sent to until it is drawn.
    fn empty_cold_rooms(&mut self) {
        for id in &self.cold {
            self.servers.get_mut(id).into_iter().for_each(|s| s.cold_room.level = 0.0);
        }
    }

    fn fill_cold_rooms(&mut self) {
        let now = self.now;
        let usable = |s: &&Server| s.in_service() && now >= s.ejected_until;
        let warm: f64 =
            self.servers.values().filter(usable).filter(|s| s.cold_since.is_none()).map(|s| s.weight).sum();
        let all: f64 = self.servers.values().filter(|s| s.in_service()).map(|s| s.weight).sum();
        let per_weight = self.flow_rate() / if warm * 3.0 >= all { warm } else { all.max(1e-9) };
        for id in &self.cold {
            let Some(s) = self.servers.get_mut(id) else { continue };
            let Some(since) = s.cold_since else { continue };
            let part = warmed(&self.set, now - since);
            s.cold_room.rate = per_weight * s.weight * part * (self.set.overload_multiple / 2.0).min(1.0);
            s.cold_room.fill(now);
        }
    }

    /// Where many gateways share a cold server, each with too few requests to save up leave for one, chance
    /// decides once for each request: a server of the own part is drawn with its share of what that part can
    /// do now, or could do warm where hardly any of it is warm. Nothing is saved up and no flow need be
    /// known, so the sum over all gateways stays in proportion, also when all have just started.
    fn draw_cold(&mut self, fresh: bool) {
        for id in std::mem::take(&mut self.drawn) {
            self.servers.get_mut(&id).into_iter().for_each(|s| s.cold_room.level = 0.0);
        }
        let (now, reach) = (self.now, self.reach());
        let own: Vec<EndpointId> = self.own_part_first().take(reach).collect();
        let (mut warm, mut present, mut all) = (0.0, 0.0, 0.0);
        for s in own.iter().map(|sid| &self.servers[sid]).filter(|s| now >= s.ejected_until) {
            all += s.weight;
            present += s.weight * s.cold_since.map_or(1.0, |at| warmed(&self.set, now - at));
            warm += if s.cold_since.is_none() { s.weight } else { 0.0 };
        }
        let base = if warm * 3.0 >= all { present } else { all };
        let mut cold: Vec<EndpointId> = own.into_iter().filter(|id| self.cold.contains(id)).collect();
        // Draws in an order that does not depend on whose part it is.
        cold.sort_unstable();
        for id in cold {
            let Some(s) = self.servers.get_mut(&id) else { continue };
            let Some(since) = s.cold_since else { continue };
            let part =
                s.weight * warmed(&self.set, now - since) * (self.set.overload_multiple / 2.0).min(1.0);
            let drawn = fresh && self.rng.f64() * base < part;
            s.cold_room.level = if drawn { self.set.max_request_units } else { 0.0 };
            self.drawn.extend(drawn.then_some(id));
        }
    }
}
