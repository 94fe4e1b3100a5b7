//! Settings of a cluster node, and their validation.
//!
//! Errors name the keys of the cluster's configuration file, so that operators find the line.

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

/// Range of valid probe periods.
const PROBE_PERIODS: RangeInclusive<Duration> = Duration::from_millis(100)..=Duration::from_secs(60);
/// Maximum safety margin of a lease, in microseconds.
const MAX_LEASE_MARGIN: u64 = 200_000;
/// The safety margin of a lease is at most the duration of the lease divided by this divisor.
const LEASE_MARGIN_DIVISOR: u64 = 4;

/// Settings of a cluster node.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the cluster; datagrams of other clusters are dropped.
    pub cluster: String,
    /// Name of this gateway.
    pub name: String,
    /// Metadata that this gateway publishes to the other members.
    pub metadata: MemberMetadata,
    /// Addresses of the other gateways as reachable from this one, by name.
    pub peers: BTreeMap<String, SocketAddr>,
    /// Time between two probes.
    pub probe_period: Duration,
    /// Names of all gateways in the order of their seats, identical at every gateway. If empty, quota shares are not
    /// leased and there is no ledger.
    pub seats: Vec<String>,
    /// Settings of the ledger, or `None` if this gateway is not a ledger node.
    pub ledger: Option<LedgerSettings>,
    /// Routing rules in force before any rollout, or `None` if this gateway takes no part in rollouts.
    pub baseline_rules: Option<RuleSet>,
    /// Settings of the write queue, if this gateway accepts writes while it is isolated from the backends.
    pub write_queue: Option<WriteQueueSettings>,
    /// Identifies the clock of this gateway's machine, or `None` if the gateway has no storage. Without
    /// storage the gateway's state is lost when the process ends.
    pub storage_machine: Option<MachineId>,
}

impl Settings {
    /// Safety margin of a lease: time within which the other members learn of an action started under the lease.
    pub(super) fn lease_margin(&self) -> Micros {
        let part_of_lease = self.ledger.map(|settings| settings.lease.0 / LEASE_MARGIN_DIVISOR);
        Micros(part_of_lease.map_or(MAX_LEASE_MARGIN, |part| MAX_LEASE_MARGIN.min(part)))
    }

    /// Validates these settings.
    ///
    /// # Errors
    ///
    /// Names the first key with an invalid value, the expected value and the value found.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.check_names()?;
        self.check_seats()?;
        self.check_ledger_and_dependents()?;
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
            return fail("seats: expected each name once, found a duplicate".into());
        }
        Ok(())
    }

    /// Checks the ledger and the parts that require one.
    fn check_ledger_and_dependents(&self) -> Result<(), SettingsError> {
        if let Some(ledger) = &self.ledger {
            ledger.check(self.seats.len())?;
        }
        if let Some(branch) = &self.write_queue {
            let own_seat = self.seats.iter().position(|seat| *seat == self.name).unwrap_or(0);
            branch.check(own_seat as u16, self.seats.len())?;
            if self.ledger.is_none() {
                return fail("branch: expected a configured ledger, found none".into());
            }
        }
        if self.storage_machine.is_some() && self.ledger.is_none() {
            return fail("ledger.dir: expected a configured ledger, found none".into());
        }
        if let Some(rules) = &self.baseline_rules {
            rules.check()?;
            if self.ledger.is_none() {
                return fail("rollout: expected a configured ledger, found none".into());
            }
        }
        Ok(())
    }
}

fn fail(message: String) -> Result<(), SettingsError> {
    Err(SettingsError(message))
}

fn check_name(key: &str, text: &str) -> Result<(), SettingsError> {
    if is_valid_name(text) {
        return Ok(());
    }
    fail(format!("{key}: expected 1 to 32 letters, digits, '.', '_' or '-', found '{text}'"))
}
