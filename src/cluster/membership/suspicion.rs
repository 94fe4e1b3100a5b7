//! Suspicions that this member raised, and suspicions against this member that it has refuted.
//!
//! In SWIM a suspect learns of the suspicion by gossip, so the time to refute it has to be long. Here the suspecting
//! member queries the suspect repeatedly and directly (an extension of Lifeguard's buddy system), so that two probe
//! periods are enough at any cluster size.

use crate::cluster::membership::identity::Identity;
use crate::cluster::membership::members::{MemberRecord, MemberState};
use crate::decision::Micros;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Time between two queries to a suspect.
const QUERY_INTERVAL: Micros = Micros(250_000);

/// A suspicion against another member that this one raised.
#[derive(Debug, Clone)]
pub struct Suspicion {
    /// Identity of the suspect.
    pub suspect: Identity,
    /// The protocol's own incarnation number of the suspect; a refutation carries a higher one.
    pub number: u16,
    next_query_at: Micros,
}

/// Suspicions raised by this member, and those against it.
#[derive(Debug, Default)]
pub struct Suspicions {
    raised: BTreeMap<Rc<str>, Suspicion>,
    /// Highest protocol incarnation number with which others suspected this incarnation of the member.
    refuted: Option<u16>,
}

impl Suspicions {
    /// Adds a suspicion; the suspect is queried at the next opportunity.
    pub fn add(&mut self, suspect: Identity, number: u16, protocol_time: Micros) {
        let name = suspect.name.clone();
        self.raised.insert(name, Suspicion { suspect, number, next_query_at: protocol_time });
    }

    /// Returns the suspicions whose suspects are due for a query, and drops those that have ended.
    pub fn take_due(
        &mut self,
        protocol_time: Micros,
        records: &BTreeMap<Rc<str>, MemberRecord>,
    ) -> Vec<Suspicion> {
        self.raised.retain(|name, suspicion| {
            let record = records.get(name);
            record.is_some_and(|r| r.identity == suspicion.suspect && r.state == MemberState::Suspect)
        });
        let mut due = Vec::new();
        for suspicion in self.raised.values_mut() {
            if suspicion.next_query_at <= protocol_time {
                suspicion.next_query_at = protocol_time + QUERY_INTERVAL;
                due.push(suspicion.clone());
            }
        }
        due
    }

    /// Called when another member suspects this one. Returns whether the suspicion is new and has to be refuted: the
    /// same suspicion arrives from many members, and repeatedly until its refutation arrives, but counts once.
    pub fn is_new_suspicion_of_us(&mut self, number: u16) -> bool {
        if self.refuted.is_some_and(|refuted| refuted >= number) {
            return false;
        }
        self.refuted = Some(number);
        true
    }

    /// Called when this process takes another identity, which no member has suspected yet.
    pub fn identity_changed(&mut self) {
        self.refuted = None;
    }
}
