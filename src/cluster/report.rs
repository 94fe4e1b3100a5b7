//! What operators read of the fleet.

use crate::cluster::ledger::Tallies;
use crate::cluster::{ClusterNode, DatagramError, MemberState, ViewReport};
use serde::Serialize;
use std::collections::BTreeMap;

/// One member, as this gateway sees it.
#[derive(Debug, Clone, Serialize)]
pub struct MemberReport {
    /// Its name.
    pub name: String,
    /// Its life.
    pub incarnation: u64,
    /// What is held of it.
    pub state: MemberState,
    /// For how long, in milliseconds.
    pub since_ms: u64,
    /// Why.
    pub why: &'static str,
    /// Its zone.
    pub zone: String,
    /// Its program's version.
    pub version: String,
    /// What it can do.
    pub capabilities: u32,
}

/// The fleet as one gateway sees it.
#[derive(Debug, Clone, Serialize)]
pub struct ClusterReport {
    /// The fleet's name.
    pub fleet: String,
    /// This gateway's name.
    pub name: String,
    /// This process's incarnation.
    pub incarnation: u64,
    /// The other process under this name, where this one has yielded its seat.
    pub yielded_to: Option<u64>,
    /// Names under which two processes sent: the older and the younger incarnation.
    pub rivals: BTreeMap<String, (u64, u64)>,
    /// How badly this process itself runs, 0 to 8; time-outs are so many times and once more as long.
    pub health: u32,
    /// How often its loop was found late, and the longest time, in milliseconds.
    pub late: (u64, u64),
    /// The view and the shares, where the settings name the seats.
    pub view: Option<ViewReport>,
    /// How claims at the ledger ended, where one is kept.
    pub ledger: Option<Tallies>,
    /// Gateways that take part, this one among them.
    pub present: usize,
    /// Datagrams and bytes heard and sent.
    pub heard: (u64, u64),
    /// The same, sent.
    pub sent: (u64, u64),
    /// Messages that had no address to go to.
    pub unaddressed: u64,
    /// Datagrams dropped, by why.
    pub strangers: BTreeMap<&'static str, u64>,
    /// All others.
    pub members: Vec<MemberReport>,
}

impl ClusterNode {
    /// The report for operators.
    pub fn report(&self) -> ClusterReport {
        let members = self.records().map(|r| MemberReport {
            name: r.identity.name.to_string(),
            incarnation: r.identity.incarnation,
            state: r.state,
            since_ms: (self.now - r.since).0 / 1000,
            why: r.reason,
            zone: r.identity.metadata.zone.clone(),
            version: r.identity.metadata.version.clone(),
            capabilities: r.identity.metadata.capabilities,
        });
        let count = |s: DatagramError| self.traffic.strangers.get(&s).copied().unwrap_or(0);
        let health = self.swim.health();
        ClusterReport {
            fleet: self.settings.fleet.clone(),
            name: self.settings.name.clone(),
            incarnation: self.own().incarnation,
            yielded_to: self.yielded,
            rivals: self
                .rivals
                .iter()
                .filter(|(_, r)| r.sure)
                .map(|(name, r)| (name.clone(), (r.older, r.newer)))
                .collect(),
            health: health.score(),
            late: (health.late, health.longest.0 / 1000),
            view: self
                .quota_leases
                .as_ref()
                .map(|l| l.report(self.now, self.own().incarnation, self.swim.records())),
            ledger: self.desk.as_ref().map(|desk| desk.tallies.clone()),
            present: self.present(),
            heard: (self.traffic.heard, self.traffic.heard_bytes),
            sent: (self.traffic.sent, self.traffic.sent_bytes),
            unaddressed: self.traffic.unaddressed,
            strangers: DatagramError::ALL.into_iter().map(|s| (s.name(), count(s))).collect(),
            members: members.collect(),
        }
    }
}
