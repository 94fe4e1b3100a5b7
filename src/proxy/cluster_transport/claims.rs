//! A request's work at the ledger, as whoever carries it calls for it.

use super::ledger_claim::{ClaimProgress, LedgerClaim};
use super::ClusterTransport;
use crate::cluster::ledger::{ClaimId, RecordChange, RecordId};
use crate::cluster::{ClusterNode, Effect, Micros};
use std::rc::Rc;

impl ClusterTransport {
    /// Whether a ledger of work is kept.
    pub fn keeps_ledger(&self) -> bool {
        self.config.settings.ledger.is_some()
    }

    /// Whether requests of this class are finished by others where their gateway dies and no client comes again.
    pub fn finishes(&self, class: &str) -> bool {
        self.config.finish_classes.iter().any(|name| name == class)
    }
    /// A request of a gateway that is gone was finished, or can't be.
    pub fn finished(&self, done: bool) {
        let count = if done { &self.finished.0 } else { &self.finished.1 };
        count.set(count.get() + 1);
    }

    /// Claims a request's record; none where this process takes no part, or too much is claimed. The request is left
    /// with the record's holders.
    pub fn claim(
        self: &Rc<ClusterTransport>,
        id: RecordId,
        digest: u64,
        request: Option<Vec<u8>>,
    ) -> Option<Rc<LedgerClaim>> {
        let mut effects = Vec::new();
        let claim = {
            let mut fleet = self.fleet.borrow_mut();
            let fleet = fleet.as_mut()?;
            let claim = fleet.open_claim(self.clock.now(), id, digest, &mut effects)?;
            request.into_iter().for_each(|request| fleet.attach_request(claim, request));
            claim
        };
        let slot = Rc::new(ClaimProgress::default());
        self.slots.borrow_mut().insert(claim, slot.clone());
        self.perform(effects);
        Some(Rc::new(LedgerClaim::new(self.clone(), claim, self.era.get(), slot, self.config.ledger_timeout)))
    }

    /// Does something with a claim, if it is of the part that this process takes now.
    pub(super) fn with<T>(
        &self,
        era: u64,
        act: impl FnOnce(&mut ClusterNode, Micros, &mut Vec<Effect>) -> T,
    ) -> Option<T> {
        let mut effects = Vec::new();
        let done = match self.fleet.borrow_mut().as_mut() {
            Some(fleet) if era == self.era.get() => Some(act(fleet, self.clock.now(), &mut effects)),
            _ => None,
        };
        self.perform(effects);
        done
    }

    /// Writes a claim's record; the number of the write, or none where it may not.
    pub fn change(&self, era: u64, claim: ClaimId, change: RecordChange) -> Option<u32> {
        self.with(era, |fleet, now, out| fleet.write_claim(now, claim, change, out)).flatten()
    }
    /// The holders that a claim asked are slow.
    pub fn hurry(&self, era: u64, claim: ClaimId) {
        self.with(era, |fleet, now, out| fleet.contact_all_replicas(now, claim, out));
    }
    /// Whether the owner of a claim's record may act now.
    pub fn may_act(&self, era: u64, claim: ClaimId) -> bool {
        self.with(era, |fleet, now, _| fleet.may_act(now, claim)).unwrap_or(false)
    }
    /// An attempt of a claim's work surely never ran.
    pub fn never_ran(&self, era: u64, claim: ClaimId, server: u64) {
        self.with(era, |fleet, _, _| fleet.remove_attempt(claim, server));
    }
    /// A claim's work is over here.
    pub fn let_go(&self, era: u64, claim: ClaimId, answer: Option<Vec<u8>>) {
        self.with(era, |fleet, now, out| fleet.release_claim(now, claim, answer, out));
    }
    /// Nobody waits for a claim any more.
    pub fn forget(&self, era: u64, claim: ClaimId) {
        if era == self.era.get() {
            self.slots.borrow_mut().remove(&claim);
        }
    }
    /// Work goes on without a record.
    pub fn unprotected(&self, era: u64) {
        self.with(era, |fleet, _, _| fleet.count_unprotected());
    }
}
