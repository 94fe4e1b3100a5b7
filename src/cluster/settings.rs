//! A cluster node's settings, and whether they are valid.
//!
//! Errors name the keys of the cluster's file, so that whoever wrote it finds the line.

use crate::cluster::ledger::LedgerSettings;
use crate::cluster::membership::identity::{is_valid_name, MemberMetadata};
use crate::cluster::membership::members::MAX_MEMBERS;
use crate::cluster::quota_lease::view::MAX_SEATS;
use crate::cluster::rollout::RuleSet;
use crate::cluster::storage::MachineId;
use crate::cluster::write_queue::WriteQueueSettings;
use crate::decision::{Micros, SettingsError};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

/// The probe periods that are allowed.
const PROBE_PERIODS: RangeInclusive<Duration> = Duration::from_millis(100)..=Duration::from_secs(60);
/// The longest safety margin of a lease, in microseconds.
const MAX_LEASE_MARGIN: u64 = 200_000;
/// The part of a lease that its safety margin is at most.
const LEASE_MARGIN_DIVISOR: u64 = 4;

/// A cluster node's settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The cluster's name; datagrams of another are dropped.
    pub cluster: String,
    /// The gateway's name.
    pub name: String,
    /// What it publishes of itself.
    pub metadata: MemberMetadata,
    /// The other gateways' addresses, as seen from here, by name.
    pub peers: BTreeMap<String, SocketAddr>,
    /// The time between two probes.
    pub probe_period: Duration,
    /// The names of all gateways in the order of their seats, the same at each; empty: no quota shares are leased, and
    /// no ledger is kept.
    pub seats: Vec<String>,
    /// The ledger's settings; none: it keeps none.
    pub ledger: Option<LedgerSettings>,
    /// The routing rules in force before any rollout; none: it takes no part in rollouts.
    pub rules: Option<RuleSet>,
    /// The write queue's settings, where this gateway accepts writes while it is cut off from the backends.
    pub branch: Option<WriteQueueSettings>,
    /// The machine that it runs on, where it has a storage there; none: it forgets everything at its end.
    pub disk: Option<MachineId>,
}

impl Settings {
    /// The safety margin of a lease: what is begun under it is known to the others within this time.
    pub(super) fn lease_margin(&self) -> Micros {
        let part_of_lease = self.ledger.map(|settings| settings.lease.0 / LEASE_MARGIN_DIVISOR);
        Micros(part_of_lease.map_or(MAX_LEASE_MARGIN, |part| MAX_LEASE_MARGIN.min(part)))
    }

    /// Checks these settings.
    ///
    /// # Errors
    ///
    /// The first key that has an invalid value, with what was expected and found.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.check_names()?;
        self.check_seats()?;
        self.check_parts()?;
        if !PROBE_PERIODS.contains(&self.probe_period) {
            return fail(format!("period: expected 0.1 s to 60 s, found {:?}", self.probe_period));
        }
        Ok(())
    }

    fn check_names(&self) -> Result<(), SettingsError> {
        check_name("fleet", &self.cluster)?;
        check_name("name", &self.name)?;
        self.peers.keys().try_for_each(|peer| check_name("peers", peer))?;
        if !self.metadata.zone.is_empty() {
            check_name("zone", &self.metadata.zone)?;
        }
        if self.peers.len() >= MAX_MEMBERS {
            return fail(format!("peers: expected fewer than {MAX_MEMBERS}, found {}", self.peers.len()));
        }
        Ok(())
    }

    fn check_seats(&self) -> Result<(), SettingsError> {
        self.seats.iter().try_for_each(|seat| check_name("seats", seat))?;
        if !self.seats.is_empty() && !self.seats.contains(&self.name) {
            return fail(format!("seats: expected this gateway's name '{}' among them", self.name));
        }
        if self.seats.len() > MAX_SEATS {
            return fail(format!("seats: expected at most {MAX_SEATS}, found {}", self.seats.len()));
        }
        if self.seats.iter().collect::<BTreeSet<_>>().len() < self.seats.len() {
            return fail("seats: expected each name once".into());
        }
        Ok(())
    }

    /// The ledger, and the parts that need one.
    fn check_parts(&self) -> Result<(), SettingsError> {
        if let Some(ledger) = &self.ledger {
            ledger.check(self.seats.len())?;
        }
        if let Some(branch) = &self.branch {
            let own_seat = self.seats.iter().position(|seat| *seat == self.name).unwrap_or(0);
            branch.check(own_seat as u16, self.seats.len())?;
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
        Ok(())
    }
}

fn fail(what: String) -> Result<(), SettingsError> {
    Err(SettingsError(what))
}

fn check_name(key: &str, text: &str) -> Result<(), SettingsError> {
    if is_valid_name(text) {
        return Ok(());
    }
    fail(format!("{key}: expected 1 to 32 letters, digits, '.', '_' or '-', found '{text}'"))
}
