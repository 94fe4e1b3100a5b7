//! Two processes that run under one name.
//!
//! A datagram of an older incarnation may only have been under way for long. Where such datagrams go on coming, the
//! older process still runs beside the newer one.

use crate::cluster::membership::codec::OutdatedSender;
use crate::cluster::membership::members::MAX_MEMBERS;
use crate::decision::Micros;
use std::collections::BTreeMap;

/// The longest time that a datagram may be under way.
const MAX_DATAGRAM_AGE: Micros = Micros(3_000_000);

/// Two incarnations that sent datagrams under one name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DuplicateName {
    /// The older process's incarnation.
    pub older: u64,
    /// The newer one's, as it was known when the older first sent beside it.
    pub newer: u64,
}

#[derive(Debug)]
struct Suspected {
    duplicate: DuplicateName,
    /// When the older first sent although the newer was known.
    since: Micros,
    is_confirmed: bool,
}

/// Finds names under which two processes run.
#[derive(Debug, Default)]
pub struct DuplicateNameDetector {
    suspected: BTreeMap<String, Suspected>,
}

impl DuplicateNameDetector {
    /// A message of an outdated incarnation came. Returns the two incarnations once it is certain that both run.
    pub fn observe(&mut self, sender: &OutdatedSender, now: Micros) -> Option<DuplicateName> {
        // Guards the memory against forged names.
        if self.suspected.len() >= MAX_MEMBERS {
            return None;
        }
        let duplicate = DuplicateName { older: sender.identity.incarnation, newer: sender.latest };
        let new = || Suspected { duplicate, since: now, is_confirmed: false };
        let suspected = self.suspected.entry(sender.identity.name.to_string()).or_insert_with(new);
        if suspected.duplicate.older != duplicate.older {
            *suspected = new();
        }
        if suspected.is_confirmed || now - suspected.since < MAX_DATAGRAM_AGE {
            return None;
        }
        suspected.is_confirmed = true;
        Some(duplicate)
    }

    /// The names under which two processes certainly ran.
    pub fn confirmed(&self) -> impl Iterator<Item = (&String, &DuplicateName)> {
        let confirmed = self.suspected.iter().filter(|(_, suspected)| suspected.is_confirmed);
        confirmed.map(|(name, suspected)| (name, &suspected.duplicate))
    }
}
