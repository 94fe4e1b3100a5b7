//! Socket addresses of the members.
//!
//! Members are identified by name, and each gateway resolves a name itself: its own configuration takes precedence over
//! the address that the member advertises. The source address of a datagram is trusted only if it equals one of the
//! two, because anybody can replay an old datagram from another address.

use crate::cluster::membership::identity::Identity;
use crate::cluster::membership::members::{MemberRecord, MemberState};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// Addresses of the other members, as known to one gateway.
#[derive(Debug)]
pub struct AddressBook {
    configured: BTreeMap<String, SocketAddr>,
    /// Confirmed source address of each member's last datagram, by name.
    observed: BTreeMap<Rc<str>, SocketAddr>,
}

impl AddressBook {
    /// Creates an address book from the configured addresses, by name.
    pub fn new(configured: BTreeMap<String, SocketAddr>) -> AddressBook {
        AddressBook { configured, observed: BTreeMap::new() }
    }

    /// Replaces the configured addresses.
    pub fn configure(&mut self, configured: BTreeMap<String, SocketAddr>) {
        self.configured = configured;
    }

    /// Names of the configured gateways.
    pub fn configured_names(&self) -> impl Iterator<Item = &String> {
        self.configured.keys()
    }

    /// Records the source address of a decoded message if the configuration or the sender's metadata confirms the
    /// address.
    pub fn observe(&mut self, sender: &Identity, from: SocketAddr) {
        let is_configured = self.configured.get(&*sender.name) == Some(&from);
        if is_configured || sender.metadata.advertise == Some(from) {
            self.observed.insert(sender.name.clone(), from);
        }
    }

    /// Drops the observed addresses of members that have no record any more.
    pub fn retain_known(&mut self, records: &BTreeMap<Rc<str>, MemberRecord>) {
        self.observed.retain(|name, _| records.contains_key(name));
    }

    /// Returns the destinations for a message to a member: the observed address, else the configured, else the
    /// advertised one. For a member that is not known to be alive, both the configured and the advertised address are
    /// tried.
    pub fn candidates(
        &self,
        to: &Identity,
        records: &BTreeMap<Rc<str>, MemberRecord>,
    ) -> impl Iterator<Item = SocketAddr> {
        // An older incarnation that still sends is answered at the address that it advertises itself.
        let is_older = |latest: &Identity| to.incarnation > 0 && to.incarnation < latest.incarnation;
        let record = records.get(&to.name).filter(|record| !is_older(&record.identity));
        let advertised = record.map_or(to.metadata.advertise, |record| record.identity.metadata.advertise);
        let configured = self.configured.get(&*to.name).copied();
        let is_confirmed =
            |address: &SocketAddr| Some(*address) == configured || Some(*address) == advertised;
        let observed =
            record.and_then(|_| self.observed.get(&to.name).copied()).filter(|address| is_confirmed(address));
        let first = observed.or(configured).or(advertised);
        let is_alive = record.is_some_and(|record| record.state == MemberState::Alive);
        let alternative = if first == configured { advertised } else { configured };
        let second = alternative.filter(|address| !is_alive && Some(*address) != first);
        first.into_iter().chain(second)
    }
}
