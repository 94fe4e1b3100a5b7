//! Deadlines: a request that has no answer by its deadline is rejected.

use super::timers::Timer;
use super::Gateway;
use crate::decision::action::RejectionReason;
use crate::decision::ids::{RequestId, TimerId};
use crate::decision::request::Request;
use crate::decision::time::Micros;

impl Gateway {
    /// Sets the timer to two ticks before the deadline: it may fire one tick late, and the answer takes another.
    pub(super) fn set_deadline_timer(&mut self, id: RequestId, deadline: Micros) {
        let after = deadline - self.context.now - self.answer_time();
        let timer = self.set_timer(Timer::Deadline(id), after);
        let previous = self.requests.get_mut(&id).and_then(|request| request.deadline_timer.replace(timer));
        self.cancel_timer(previous);
    }

    /// Forgets a timer that is no longer needed, so that many short requests with long deadlines keep no state.
    pub(super) fn cancel_timer(&mut self, timer: Option<TimerId>) {
        if let Some(timer) = timer {
            self.timers.cancel(timer);
        }
    }

    /// Time between the decision on a request's end and its answer.
    fn answer_time(&self) -> Micros {
        let tick = self.context.settings.tick;
        tick + tick
    }

    /// Moves the deadline of a request. The timer of a later deadline is set when that of the present one fires.
    pub(super) fn on_deadline_changed(&mut self, id: RequestId, deadline: Micros) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| is_unanswered(request)) else {
            return;
        };
        let is_earlier = deadline < request.arrival.deadline;
        request.arrival.deadline = deadline;
        if is_earlier {
            self.set_deadline_timer(id, deadline);
        }
    }

    /// Rejects a request that has no answer by its deadline.
    pub(super) fn on_deadline(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id).filter(|request| is_unanswered(request)) else { return };
        let deadline = request.arrival.deadline;
        if deadline > self.context.now + self.answer_time() {
            self.set_deadline_timer(id, deadline);
        } else {
            self.reject(id, RejectionReason::DeadlineExceeded);
        }
    }
}

fn is_unanswered(request: &Request) -> bool {
    !request.finished && !request.streaming
}
