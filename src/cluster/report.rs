//! The answer to `/fleet`: the cluster as one gateway sees it, for operators.
//!
//! The names and forms of the JSON are a public interface. They are mapped here and nowhere else: pairs stay arrays, and
//! keys keep the names that operators' tools read.

use crate::cluster::datagram::DatagramError;
use crate::cluster::ledger::ClaimCounts;
use crate::cluster::membership::duplicate_name::DuplicateName;
use crate::cluster::membership::members::{MemberRecord, MemberState};
use crate::cluster::node::ClusterNode;
use crate::cluster::quota_lease::agreement::Agreement;
use crate::cluster::quota_lease::QuotaLeaseStatus;
use crate::decision::Micros;
use serde::{Serialize, Serializer};
use std::collections::BTreeMap;

/// Microseconds in a millisecond.
const MICROS_PER_MILLISECOND: u64 = 1000;

/// One member, as this gateway sees it.
#[derive(Debug, Clone, Serialize)]
pub struct MemberReport {
    /// Its name.
    pub name: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its state.
    pub state: MemberState,
    /// For how long it has been in this state, in milliseconds.
    pub since_ms: u64,
    /// Why.
    #[serde(rename = "why")]
    pub reason: &'static str,
    /// Its zone.
    pub zone: String,
    /// Its program's version.
    pub version: String,
    /// What it can do, one bit each.
    pub capabilities: u32,
}

impl MemberReport {
    fn new(record: &MemberRecord, now: Micros) -> MemberReport {
        let metadata = &record.identity.metadata;
        MemberReport {
            name: record.identity.name.to_string(),
            incarnation: record.identity.incarnation,
            state: record.state,
            since_ms: milliseconds(now - record.since),
            reason: record.reason,
            zone: metadata.zone.clone(),
            version: metadata.version.clone(),
            capabilities: metadata.capabilities,
        }
    }
}

/// Datagrams of one direction. In JSON an array of both.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrafficVolume {
    /// How many.
    pub datagrams: u64,
    /// Their bytes.
    pub bytes: u64,
}

impl Serialize for TrafficVolume {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.datagrams, self.bytes).serialize(serializer)
    }
}

/// Calls of the cluster node that came late. In JSON an array of both.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LateCalls {
    /// How many.
    pub count: u64,
    /// The longest delay, in milliseconds.
    pub longest_ms: u64,
}

impl Serialize for LateCalls {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.count, self.longest_ms).serialize(serializer)
    }
}

/// In JSON an array: the older incarnation, the newer.
impl Serialize for DuplicateName {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.older, self.newer).serialize(serializer)
    }
}

/// How many seats state exactly this view, state anything, and exist. In JSON an array of the three.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ViewSupport {
    /// Seats that state exactly this view.
    pub stating: usize,
    /// Seats whose statements, whatever they are, still count.
    pub reporting: usize,
    /// All seats.
    pub total: usize,
}

impl Serialize for ViewSupport {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.stating, self.reporting, self.total).serialize(serializer)
    }
}

/// The view of the seats, and the quota shares that follow.
#[derive(Debug, Clone, Serialize)]
pub struct ViewReport {
    /// The view's number.
    pub number: u64,
    /// Its digest, in hexadecimal digits.
    pub digest: String,
    /// Whether the cluster agrees.
    pub agreement: Agreement,
    /// How many seats support the view.
    #[serde(rename = "holding")]
    pub support: ViewSupport,
    /// For how long the own share is whole from now, in milliseconds; 0: it is cut to the part that is never lent.
    pub share_for_ms: u64,
    /// Seats whose shares are shared out.
    #[serde(rename = "away")]
    pub free_seats: Vec<u32>,
    /// Requests and replies of members that have another list of seats.
    pub differing: u64,
}

impl ViewReport {
    fn new(status: QuotaLeaseStatus, now: Micros) -> ViewReport {
        let counts = status.counts;
        ViewReport {
            number: status.number,
            digest: format!("{:016x}", status.digest),
            agreement: status.agreement,
            support: ViewSupport {
                stating: counts.stating_own_view,
                reporting: counts.reporting,
                total: counts.total,
            },
            share_for_ms: milliseconds(status.shares.until - now),
            free_seats: status.shares.free_seats,
            differing: status.seat_list_mismatches,
        }
    }
}

/// The cluster as one gateway sees it.
#[derive(Debug, Clone, Serialize)]
pub struct ClusterReport {
    /// The cluster's name.
    #[serde(rename = "fleet")]
    pub cluster: String,
    /// This gateway's name.
    pub name: String,
    /// This process's incarnation.
    pub incarnation: u64,
    /// The newer process under this name, where this one has yielded its seat to it.
    pub yielded_to: Option<u64>,
    /// Names under which two processes ran.
    #[serde(rename = "rivals")]
    pub duplicate_names: BTreeMap<String, DuplicateName>,
    /// How badly this process itself runs, 0 to 8; its time-outs are one more than this many times as long.
    pub health: u32,
    /// How often it was found late.
    #[serde(rename = "late")]
    pub late_calls: LateCalls,
    /// The view and the shares, where the settings name the seats.
    pub view: Option<ViewReport>,
    /// How claims at the ledger ended, where one is kept.
    pub ledger: Option<ClaimCounts>,
    /// Gateways that take part, this one among them.
    pub present: usize,
    /// Datagrams that were taken.
    #[serde(rename = "heard")]
    pub received: TrafficVolume,
    /// Datagrams that were sent.
    pub sent: TrafficVolume,
    /// Messages that had no address to go to.
    pub unaddressed: u64,
    /// Datagrams that were dropped, by reason.
    #[serde(rename = "strangers")]
    pub dropped: BTreeMap<&'static str, u64>,
    /// All other members.
    pub members: Vec<MemberReport>,
}

fn milliseconds(span: Micros) -> u64 {
    span.0 / MICROS_PER_MILLISECOND
}

impl ClusterNode {
    /// The report for operators.
    pub fn report(&self) -> ClusterReport {
        let own_incarnation = self.own().incarnation;
        let health = self.swim.health();
        let traffic = &self.traffic;
        let duplicate_names = self.duplicate_names.confirmed();
        ClusterReport {
            cluster: self.settings.cluster.clone(),
            name: self.settings.name.clone(),
            incarnation: own_incarnation,
            yielded_to: self.yielded_to,
            duplicate_names: duplicate_names.map(|(name, both)| (name.clone(), *both)).collect(),
            health: health.score(),
            late_calls: LateCalls {
                count: health.late_calls(),
                longest_ms: milliseconds(health.longest_delay()),
            },
            view: self.quota_leases.as_ref().map(|leases| {
                ViewReport::new(leases.status(self.now, own_incarnation, self.swim.records()), self.now)
            }),
            ledger: self.ledger.as_ref().map(|ledger| ledger.counts.clone()),
            present: self.present(),
            received: TrafficVolume { datagrams: traffic.received, bytes: traffic.received_bytes },
            sent: TrafficVolume { datagrams: traffic.sent, bytes: traffic.sent_bytes },
            unaddressed: traffic.unaddressed,
            dropped: DatagramError::ALL.into_iter().map(|why| (why.key(), self.dropped(why))).collect(),
            members: self.records().map(|record| MemberReport::new(record, self.now)).collect(),
        }
    }

    fn dropped(&self, why: DatagramError) -> u64 {
        self.traffic.dropped.get(&why).copied().unwrap_or(0)
    }
}
