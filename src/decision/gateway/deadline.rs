//! Deadlines: a request that has no answer by its deadline is rejected.

use super::timers::Timer;
use super::Gateway;
use crate::decision::action::RejectionReason;
use crate::decision::ids::RequestId;
use crate::decision::request::Request;
use crate::decision::time::Micros;

impl Gateway {
    /// Sets the timer to two ticks before the deadline: it may fire one tick late, and the answer takes another.
    pub(super) fn set_deadline_timer(&mut self, id: RequestId, deadline: Micros) {
        let after = deadline - self.context.now - self.answer_time();
        self.set_timer(Timer::Deadline(id), after);
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
