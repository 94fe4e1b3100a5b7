//! Detection of two processes that run under the same name.
//!
//! A single datagram of an older incarnation may just have been delayed in the network. If such datagrams still arrive
//! after the maximum delay, the older process is running beside the newer one.

use crate::cluster::membership::codec::OutdatedSender;
use crate::cluster::membership::members::MAX_MEMBERS;
use crate::decision::Micros;
use std::collections::BTreeMap;

/// Maximum time that a datagram can be delayed in the network.
const MAX_DATAGRAM_AGE: Micros = Micros(3_000_000);

/// Two incarnations that sent datagrams under the same name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DuplicateName {
    /// Incarnation of the older process.
    pub older: u64,
    /// Incarnation of the newer process, as known when the older one was first seen beside it.
    pub newer: u64,
}

#[derive(Debug)]
struct SuspectedDuplicate {
    duplicate: DuplicateName,
    /// Time of the first datagram of the older incarnation received while the newer one was known.
    since: Micros,
    is_confirmed: bool,
}

/// Detects names under which two processes run.
#[derive(Debug, Default)]
pub struct DuplicateNameDetector {
    suspected: BTreeMap<String, SuspectedDuplicate>,
}

impl DuplicateNameDetector {
    /// Records a message of an outdated incarnation. Returns the two incarnations once, as soon as it is certain that
    /// both run.
    pub fn observe(&mut self, sender: &OutdatedSender, now: Micros) -> Option<DuplicateName> {
        // Bounds the memory that forged names can take.
        if self.suspected.len() >= MAX_MEMBERS {
            return None;
        }
        let duplicate = DuplicateName { older: sender.identity.incarnation, newer: sender.latest };
        let new = || SuspectedDuplicate { duplicate, since: now, is_confirmed: false };
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

    /// Names under which two processes have been confirmed to run.
    pub fn confirmed(&self) -> impl Iterator<Item = (&String, &DuplicateName)> {
        let confirmed = self.suspected.iter().filter(|(_, suspected)| suspected.is_confirmed);
        confirmed.map(|(name, suspected)| (name, &suspected.duplicate))
    }
}
