//! Replies of the counter in the order of their calls, as the decision module expects them for each key, though they
//! come over several connections.

use super::CounterReply;
use crate::decision::CounterKey;
use std::collections::{HashMap, VecDeque};

/// Names one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallNumber(u64);

struct PendingCall {
    number: CallNumber,
    /// The reply, where it came before that of an earlier call.
    reply: Option<CounterReply>,
}

/// The calls whose replies were not passed on yet.
#[derive(Default)]
pub struct ReplyOrder {
    last_number: u64,
    pending: HashMap<CounterKey, VecDeque<PendingCall>>,
}

impl ReplyOrder {
    /// Notes a call and names it.
    pub fn call_made(&mut self, key: CounterKey) -> CallNumber {
        self.last_number += 1;
        let number = CallNumber(self.last_number);
        self.pending.entry(key).or_default().push_back(PendingCall { number, reply: None });
        number
    }

    /// Takes a reply; returns those for its key whose turn has come.
    pub fn reply_received(
        &mut self,
        key: CounterKey,
        number: CallNumber,
        reply: CounterReply,
    ) -> Vec<CounterReply> {
        let Some(queue) = self.pending.get_mut(&key) else { return Vec::new() };
        if let Some(call) = queue.iter_mut().find(|call| call.number == number) {
            call.reply = Some(reply);
        }
        let mut ready = Vec::new();
        while let Some(reply) = queue.front().and_then(|call| call.reply) {
            ready.push(reply);
            queue.pop_front();
        }
        if queue.is_empty() {
            self.pending.remove(&key);
        }
        ready
    }
}
