//! Orders the replies of the counter. The decision module expects the replies for a key in the order of the calls,
//! but replies arrive over several connections in any order.

use super::CounterReply;
use crate::decision::CounterKey;
use std::collections::{HashMap, VecDeque};

/// Number of a call, unique within the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallNumber(u64);

struct PendingCall {
    number: CallNumber,
    /// Reply that arrived before that of an earlier call.
    reply: Option<CounterReply>,
}

/// Calls whose replies have not been passed on yet.
#[derive(Default)]
pub struct ReplyOrder {
    last_number: u64,
    pending: HashMap<CounterKey, VecDeque<PendingCall>>,
}

impl ReplyOrder {
    /// Registers a call and returns its number.
    pub fn call_made(&mut self, key: CounterKey) -> CallNumber {
        self.last_number += 1;
        let number = CallNumber(self.last_number);
        self.pending.entry(key).or_default().push_back(PendingCall { number, reply: None });
        number
    }

    /// Records a reply. Returns the replies for the key that are next in order.
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
