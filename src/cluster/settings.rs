//! What a gateway is told of its fleet, and whether that makes sense.

use crate::cluster::ledger::Terms;
use crate::cluster::membership::identity::{is_valid_name, MemberMetadata};
use crate::cluster::rollout::Rules;
use crate::cluster::{write_queue, Machine, Micros, SettingsError, MAX_MEMBERS, MAX_SEATS};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// What a gateway is told of its fleet.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The fleet's name; members of another are strangers.
    pub fleet: String,
    /// The gateway's name.
    pub name: String,
    /// What it tells of itself.
    pub metadata: MemberMetadata,
    /// Where other gateways are, as seen from here.
    pub peers: BTreeMap<String, SocketAddr>,
    /// How often a member is probed.
    pub period: Duration,
    /// The names of all gateways in the order of their numbers, the same at each; none: no view is agreed on and
    /// no share is lent.
    pub seats: Vec<String>,
    /// Records of work are kept by these terms; none: none are.
    pub ledger: Option<Terms>,
    /// Rules of routing may be rolled out, and these are in force before; none: it takes no part in rollouts.
    pub rules: Option<Rules>,
    /// This gateway is of a branch that accepts writes while it is cut off.
    pub branch: Option<write_queue::Terms>,
    /// It has a disk, and this is its machine; none: it forgets all at its end.
    pub disk: Option<Machine>,
}

impl Settings {
    /// What is begun under a lease takes no longer than this until the others have heard of it.
    pub(super) fn margin(&self) -> Micros {
        const MOST: u64 = 200_000;
        Micros(self.ledger.map_or(MOST, |terms| MOST.min(terms.lease.0 / 4)))
    }

    /// Whether these settings make sense.
    pub fn check(&self) -> Result<(), SettingsError> {
        let fail = |what: String| Err(SettingsError(what));
        let name = |what: &str, text: &str| match is_valid_name(text) {
            true => Ok(()),
            false => {
                fail(format!("{what}: expected 1 to 32 letters, digits, '.', '_' or '-', found '{text}'"))
            }
        };
        name("fleet", &self.fleet)?;
        name("name", &self.name)?;
        self.peers.keys().try_for_each(|peer| name("peers", peer))?;
        if !self.metadata.zone.is_empty() {
            name("zone", &self.metadata.zone)?;
        }
        if self.peers.len() >= MAX_MEMBERS {
            return fail(format!("peers: expected fewer than {MAX_MEMBERS}, found {}", self.peers.len()));
        }
        self.seats.iter().try_for_each(|seat| name("seats", seat))?;
        if !self.seats.is_empty() && !self.seats.contains(&self.name) {
            return fail(format!("seats: expected this gateway's name '{}' among them", self.name));
        }
        if self.seats.len() > MAX_SEATS {
            return fail(format!("seats: expected at most {MAX_SEATS}, found {}", self.seats.len()));
        }
        if self.seats.iter().collect::<std::collections::BTreeSet<_>>().len() < self.seats.len() {
            return fail("seats: expected each name once".into());
        }
        if let Some(terms) = &self.ledger {
            terms.check(self.seats.len())?;
        }
        if let Some(branch) = &self.branch {
            let own = self.seats.iter().position(|seat| *seat == self.name).unwrap_or(0);
            branch.check(own as u16, self.seats.len())?;
            if self.ledger.is_none() {
                return fail("branch: expected a ledger beside it".into());
            }
        }
        if self.disk.is_some() && self.ledger.is_none() {
            return fail("ledger.dir: expected a ledger".into());
        }
        if let Some(rules) = &self.rules {
            rules.check()?;
            if self.ledger.is_none() {
                return fail("rollout: expected a ledger beside it".into());
            }
        }
        if !(Duration::from_millis(100)..=Duration::from_secs(60)).contains(&self.period) {
            return fail(format!("period: expected 0.1 s to 60 s, found {:?}", self.period));
        }
        Ok(())
    }
}
