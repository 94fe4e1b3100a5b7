//! Actions of the module: attempts that are sent and how they end, and the one answer of each request.

use crate::proxy::runtime::*;

impl Runtime {
    pub(super) fn attempt_over(&mut self, id: RequestId, attempt: usize) {
        let open = self.requests.get_mut(&id);
        open.and_then(|o| o.attempts.get_mut(attempt)).into_iter().for_each(|a| a.out = false);
    }

    /// Tells the module of an attempt's end with the next batch.
    pub(super) fn ended(
        &mut self,
        id: RequestId,
        attempt: usize,
        server: EndpointId,
        outcome: Outcome,
        took: Micros,
        report: LoadReport,
    ) {
        let ended = self.requests.get(&id).is_none_or(|open| open.reply.is_none());
        let end = AttemptEnded {
            request: id,
            attempt,
            endpoint: server,
            outcome,
            elapsed: took,
            request_finished: ended,
            settled_units: None,
            load: report,
        };
        self.batch.push(Event::AttemptEnded(end));
    }

    pub(super) fn act(&mut self, now: Micros, action: Action) {
        match action {
            Action::SendAttempt { request: id, endpoint: server, give_up_at: until } => {
                self.send(now, id, server, until)
            }
            Action::Reject { request: id, retry_after: wait, reason } => {
                self.turn_back(id, FinalResponse::Rejected { retry_after: wait }, reason)
            }
            Action::Fail { request: id, reason } => self.turn_back(id, FinalResponse::Failed, reason),
            Action::CancelAttempt { request: id, attempt } => {
                let attempt = self.requests.get_mut(&id).and_then(|open| open.attempts.get_mut(attempt));
                if let Some(call_off) = attempt.and_then(|a| a.call_off.take()) {
                    // The attempt tells its end itself, once its connection is closed; it may have ended.
                    let _ = call_off.send(());
                }
            }
            Action::IncrementCounter { key: name, amount, lifetime: life } => self.count(name, amount, life),
            Action::SetTimer { timer: id, after } => self.timers.push(Reverse((now + after, id))),
            // The watch on the list never stops.
            Action::Subscribe => {}
        }
    }

    /// Answers a request for which no backend did.
    fn turn_back(&mut self, id: RequestId, answer: FinalResponse, reason: RejectionReason) {
        let refused = matches!(answer, FinalResponse::Rejected { .. });
        debug!(request = id.0, refused, ?reason, "answered without a backend");
        self.figures.rejections.increment(reason);
        self.answer(id, answer);
    }

    pub(super) fn answer(&mut self, id: RequestId, answer: FinalResponse) {
        if let Some(reply) = self.requests.get_mut(&id).and_then(Open::take_reply) {
            let open = self.requests.get(&id);
            if let Some((open, judged)) = open.and_then(|open| Some((open, open.judged?))) {
                let sent = open.attempts.len() > judged.before;
                let ended = if sent { RequestOutcome::Failed } else { RequestOutcome::Rejected };
                self.arms.note(RolloutOutcome { judged, at: self.clock.now(), ended, part_of_aim: 0.0 });
            }
            // A client that has just gone needs no answer.
            let _ = reply.send(answer);
            self.tidy(id);
        }
    }

    pub(super) fn send(&mut self, now: Micros, id: RequestId, server: EndpointId, until: Micros) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let attempt = open.attempts.len();
        let backend = self.backends.get(&server).filter(|_| open.reply.is_some()).cloned();
        let Some(backend) = backend else {
            // The client went, or the list changed, after the module was told last.
            open.attempts.push(Attempt { out: false, call_off: None });
            return self.ended(id, attempt, server, Outcome::NotSent, Micros(0), LoadReport::default());
        };
        debug!(request = id.0, attempt, backend = %backend.address, "attempt begins");
        let sent_attempt = AttemptId { request: id, number: attempt, endpoint: server };
        let (call_off, called_off) = oneshot::channel();
        open.attempts.push(Attempt { out: true, call_off: Some(call_off) });
        let (pool, forward, inbox) = (self.pool.clone(), open.forward.clone(), self.inbox.clone());
        let (until, clock, arms) = (self.clock.instant(until), self.clock, self.arms.clone());
        // Before its request can be answered: whoever asks then has to hear of it.
        if let Some(tracker) = &forward.tracker {
            tracker.attempt_started();
        }
        tokio::task::spawn_local(async move {
            let ended = match &forward.claim {
                Some(claim) if !claim.record_attempt(server.0).await => {
                    pool.not_sent(NotSentReason::NotOwner)
                }
                _ => pool.attempt(&backend, &forward, until, called_off).await,
            };
            if let Some(claim) = &forward.claim {
                claim.attempt_ended(server.0, ended.outcome);
            }
            if let Some(tracker) = &forward.tracker {
                tracker.attempt_ended(ended.outcome);
            }
            match ended.outcome {
                Outcome::Success | Outcome::ServerError | Outcome::Rejected => arms.saw(true),
                Outcome::ConnectFailed | Outcome::Timeout => arms.saw(false),
                Outcome::ConnectionReset | Outcome::Cancelled | Outcome::NotSent => {}
            }
            // An upload's time begins with its last byte.
            let since = ended.request_sent_at.map_or(now, |at| clock.at(at).max(now));
            let took = ended.response_started_at.map_or(clock.now(), |at| clock.at(at)) - since;
            // The driver outlives every attempt but for the exit of the process.
            let _ = inbox
                .send(RuntimeEvent::AttemptEnded { attempt: sent_attempt, result: ended, elapsed: took })
                .await;
        });
    }

    pub(super) fn count(&mut self, name: CounterKey, amount: f64, life: Micros) {
        let serial = self.order.made(name);
        let (counter, inbox) = (self.counter.clone(), self.inbox.clone());
        tokio::task::spawn_local(async move {
            let counted = match counter {
                Some(counter) => counter.add(name, amount, life).await,
                None => Outcome::ConnectFailed.into(),
            };
            let _ = inbox.send(RuntimeEvent::CounterReplied { name, call: serial, reply: counted }).await;
        });
    }
}
