//! One request's work at the ledger, from its claim to its end. The ledger decides; this waits for it, within bounds.

use crate::cluster::ledger::{ClaimId, ClaimOutcome, RecordChange, ROUND_TRIP_LIMIT};
use crate::decision::{Micros, Outcome};
use crate::proxy::cluster_transport::ClusterTransport;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{timeout_at, Instant};

/// Holders that are slower than this are not waited for alone: early enough for a promise that counts.
const HURRY: Duration = Duration::from_micros(ROUND_TRIP_LIMIT.0 / 5);

/// What a claim found out so far.
#[derive(Default)]
pub struct ClaimProgress {
    /// The first finding, and after it the loss of the record.
    finding: RefCell<Option<ClaimOutcome>>,
    confirmed: Cell<u32>,
    changed: Notify,
}

impl ClaimProgress {
    /// The claim found out something.
    pub fn tell(&self, finding: ClaimOutcome) {
        match finding {
            ClaimOutcome::Confirmed(number) => self.confirmed.set(number.max(self.confirmed.get())),
            finding => *self.finding.borrow_mut() = Some(finding),
        }
        self.changed.notify_waiters();
    }

    /// Waits until `ready` says something.
    async fn wait<T>(&self, ready: impl Fn(&ClaimProgress) -> Option<T>) -> T {
        loop {
            let changed = self.changed.notified();
            if let Some(value) = ready(self) {
                return value;
            }
            changed.await;
        }
    }
}

/// A request's work. Once it is dropped, others may go on with it.
pub struct LedgerClaim {
    peers: Rc<ClusterTransport>,
    claim: ClaimId,
    /// Of which of this process's fleet parts the claim is.
    era: u64,
    slot: Rc<ClaimProgress>,
    bound: Duration,
    /// It goes on without a record.
    alone: Cell<bool>,
    answered: Cell<bool>,
}

impl LedgerClaim {
    /// The work of a claim that was just made; it waits for no longer than `bound` each time.
    pub fn new(
        peers: Rc<ClusterTransport>,
        claim: ClaimId,
        era: u64,
        slot: Rc<ClaimProgress>,
        bound: Duration,
    ) -> LedgerClaim {
        LedgerClaim { peers, claim, era, slot, bound, alone: Cell::new(false), answered: Cell::new(false) }
    }

    fn first(slot: &ClaimProgress) -> Option<ClaimOutcome> {
        slot.finding.borrow().clone()
    }

    /// What the record says. Holders that are slow are as good as none.
    pub async fn outcome(&self) -> ClaimOutcome {
        self.within(LedgerClaim::first).await.unwrap_or_else(|| {
            self.goes_alone();
            ClaimOutcome::Unavailable
        })
    }

    /// Waits for the holders, no longer than the bound; after a part of it further ones are asked.
    async fn within<T>(&self, ready: impl Fn(&ClaimProgress) -> Option<T>) -> Option<T> {
        let began = Instant::now();
        match timeout_at(began + (self.bound * 2 / 5).min(HURRY), self.slot.wait(&ready)).await {
            Ok(value) => Some(value),
            Err(_) => {
                self.peers.hurry(self.era, self.claim);
                timeout_at(began + self.bound, self.slot.wait(&ready)).await.ok()
            }
        }
    }

    /// Ends when the work is another's, or was begun before: then the record has to be looked at first.
    pub async fn overtaken(&self) {
        let others = |slot: &ClaimProgress| match &*slot.finding.borrow() {
            None | Some(ClaimOutcome::Unavailable | ClaimOutcome::Acquired { existed: false, .. }) => None,
            Some(_) => Some(()),
        };
        loop {
            self.slot.wait(others).await;
            if !self.alone.get() {
                return;
            }
            // What is found out too late changes nothing any more.
            std::future::pending::<()>().await;
        }
    }

    /// Ends when another took the record over.
    pub async fn lost(&self) {
        let lost =
            |slot: &ClaimProgress| matches!(&*slot.finding.borrow(), Some(ClaimOutcome::Lost)).then_some(());
        self.slot.wait(lost).await;
    }

    fn goes_alone(&self) {
        if !self.alone.replace(true) {
            self.peers.unprotected(self.era);
        }
    }

    /// An attempt is about to be sent to this server: the record says so first. Returns whether it may go.
    pub async fn record_attempt(&self, server: u64) -> bool {
        if self.alone.get() {
            return true;
        }
        match self.outcome().await {
            ClaimOutcome::Acquired { .. } => {}
            ClaimOutcome::Unavailable => {
                self.goes_alone();
                return true;
            }
            _ => return false,
        }
        let Some(number) = self.peers.change(self.era, self.claim, RecordChange::AddAttempt(server)) else {
            // Held back for too long, or more attempts than a record tells of.
            return self.may_act();
        };
        let confirmed = |slot: &ClaimProgress| match &*slot.finding.borrow() {
            Some(ClaimOutcome::Lost) => Some(false),
            _ => (slot.confirmed.get() >= number).then_some(true),
        };
        match self.within(confirmed).await {
            Some(mine) => mine,
            None => {
                self.peers.unprotected(self.era);
                self.may_act()
            }
        }
    }

    /// Whether something that others see may be done for it now. To be asked at the last moment.
    pub fn may_act(&self) -> bool {
        self.alone.get() || self.peers.may_act(self.era, self.claim)
    }

    /// An attempt at this server ended.
    pub fn attempt_ended(&self, server: u64, outcome: Outcome) {
        if outcome.never_ran() && !self.alone.get() {
            self.peers.never_ran(self.era, self.claim, server);
        }
    }

    /// Its answer, for whoever comes again.
    pub fn complete(&self, answer: &[u8]) {
        if !self.answered.replace(true) {
            self.peers.let_go(self.era, self.claim, Some(answer.to_vec()));
        }
    }
}

impl Drop for LedgerClaim {
    fn drop(&mut self) {
        if !self.answered.get() {
            self.peers.let_go(self.era, self.claim, None);
        }
        self.peers.forget(self.era, self.claim);
    }
}

/// How long a request that runs elsewhere is left alone before its record is looked at again.
pub fn retry_pause(times: u32, left: Micros) -> Duration {
    const FIRST: u64 = 20_000;
    const LONGEST: u64 = 200_000;
    let usual = (FIRST << times.min(10)).min(LONGEST);
    // A little is drawn, so that two that wait do not look in step.
    Duration::from_micros(usual.min(left.0 + 1000) + fastrand::u64(0..5_000))
}
