//! Suspicions: whom this member suspects and asks, and which suspicions of itself it has refuted.
//!
//! In SWIM a suspect learns of its suspicion by gossip, so the time to refute has to be long. Here the suspecting
//! member asks the suspect itself, again and again (Lifeguard's buddy system, made direct), so that two probe periods
//! are enough at any size of the cluster.

use crate::cluster::membership::identity::Identity;
use crate::cluster::membership::members::{MemberRecord, MemberState};
use crate::decision::Micros;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The time between two questions to a suspect.
const ASK_INTERVAL: Micros = Micros(250_000);

/// A member that this one suspects.
#[derive(Debug, Clone)]
pub struct Suspicion {
    /// The suspect.
    pub suspect: Identity,
    /// The protocol's own incarnation of it that is suspected; a refutation carries a higher one.
    pub number: u16,
    ask_at: Micros,
}

/// The suspicions that concern this member.
#[derive(Debug, Default)]
pub struct Suspicions {
    suspected_by_us: BTreeMap<Rc<str>, Suspicion>,
    /// The highest number by which others suspected this incarnation.
    refuted: Option<u16>,
}

impl Suspicions {
    /// This member suspects another from now on. It is asked at the next chance.
    pub fn add(&mut self, suspect: Identity, number: u16, awake: Micros) {
        let name = suspect.name.clone();
        self.suspected_by_us.insert(name, Suspicion { suspect, number, ask_at: awake });
    }

    /// The suspects that are to be asked now; those that are suspects no longer are dropped.
    pub fn take_due(&mut self, awake: Micros, records: &BTreeMap<Rc<str>, MemberRecord>) -> Vec<Suspicion> {
        self.suspected_by_us.retain(|name, suspicion| {
            let record = records.get(name);
            record.is_some_and(|r| r.identity == suspicion.suspect && r.state == MemberState::Suspect)
        });
        let mut due = Vec::new();
        for suspicion in self.suspected_by_us.values_mut() {
            if suspicion.ask_at <= awake {
                suspicion.ask_at = awake + ASK_INTERVAL;
                due.push(suspicion.clone());
            }
        }
        due
    }

    /// Others suspect this member. Returns whether that is to be refuted: the same suspicion comes from many members,
    /// and again until its refutation arrives, and counts once.
    pub fn is_new_suspicion_of_us(&mut self, number: u16) -> bool {
        if self.refuted.is_some_and(|refuted| refuted >= number) {
            return false;
        }
        self.refuted = Some(number);
        true
    }

    /// This process goes on under another identity, which nobody has suspected yet.
    pub fn identity_changed(&mut self) {
        self.refuted = None;
    }
}
