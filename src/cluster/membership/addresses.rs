//! Where members are reached.
//!
//! A name is a member; where it is, each gateway decides for itself: its own configuration goes first, then the address
//! that the member advertises. The source of a datagram counts only if one of the two says the same, as anybody can send
//! an old datagram again from elsewhere.

use crate::cluster::membership::identity::Identity;
use crate::cluster::membership::members::{MemberRecord, MemberState};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// The addresses that one gateway knows.
#[derive(Debug)]
pub struct AddressBook {
    configured: BTreeMap<String, SocketAddr>,
    /// Where members' datagrams last came from, by name.
    observed: BTreeMap<Rc<str>, SocketAddr>,
}

impl AddressBook {
    /// With the addresses of the configuration, by name.
    pub fn new(configured: BTreeMap<String, SocketAddr>) -> AddressBook {
        AddressBook { configured, observed: BTreeMap::new() }
    }

    /// The configuration changed.
    pub fn configure(&mut self, configured: BTreeMap<String, SocketAddr>) {
        self.configured = configured;
    }

    /// The names of the configuration.
    pub fn configured_names(&self) -> impl Iterator<Item = &String> {
        self.configured.keys()
    }

    /// A sound message of this member came from there.
    pub fn observe(&mut self, sender: &Identity, from: SocketAddr) {
        let is_configured = self.configured.get(&*sender.name) == Some(&from);
        if is_configured || sender.metadata.advertise == Some(from) {
            self.observed.insert(sender.name.clone(), from);
        }
    }

    /// Forgets the observed addresses of members that are known no longer.
    pub fn retain_known(&mut self, records: &BTreeMap<Rc<str>, MemberRecord>) {
        self.observed.retain(|name, _| records.contains_key(name));
    }

    /// Where to send what is for a member: its observed, else its configured, else its advertised address. One
    /// that is not known to be alive is tried at both of these.
    pub fn candidates(
        &self,
        to: &Identity,
        records: &BTreeMap<Rc<str>, MemberRecord>,
    ) -> impl Iterator<Item = SocketAddr> {
        // An older incarnation that still sends is answered where it says that it is.
        let is_older = |latest: &Identity| to.incarnation > 0 && to.incarnation < latest.incarnation;
        let record = records.get(&to.name).filter(|record| !is_older(&record.identity));
        let advertised = record.map_or(to.metadata.advertise, |record| record.identity.metadata.advertise);
        let configured = self.configured.get(&*to.name).copied();
        let is_confirmed = |at: &SocketAddr| Some(*at) == configured || Some(*at) == advertised;
        let observed =
            record.and_then(|_| self.observed.get(&to.name).copied()).filter(|at| is_confirmed(at));
        let first = observed.or(configured).or(advertised);
        let is_alive = record.is_some_and(|record| record.state == MemberState::Alive);
        let alternative = if first == configured { advertised } else { configured };
        let second = alternative.filter(|at| !is_alive && Some(*at) != first);
        first.into_iter().chain(second)
    }
}
