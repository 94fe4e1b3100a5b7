//! Response of `/fleet`: the cluster as seen by one gateway, for operators.
//!
//! The JSON is a public interface that operators' tools read. Its keys and forms are mapped in this module alone and
//! stay as they are: pairs are arrays, and renamed fields keep their former keys.

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

/// One member as seen by this gateway.
#[derive(Debug, Clone, Serialize)]
pub struct MemberReport {
    /// Name of the member.
    pub name: String,
    /// Incarnation of the member.
    pub incarnation: u64,
    /// State of the member.
    pub state: MemberState,
    /// Time in this state, in milliseconds.
    pub since_ms: u64,
    /// Reason of the change to this state.
    #[serde(rename = "why")]
    pub reason: &'static str,
    /// Zone of the member; empty if none is configured.
    pub zone: String,
    /// Program version of the member.
    pub version: String,
    /// Capability bits.
    pub capabilities: u32,
}

impl MemberReport {
    fn new(record: &MemberRecord, now: Micros) -> MemberReport {
        let metadata = &record.identity.metadata;
        MemberReport {
            name: record.identity.name.to_string(),
            incarnation: record.identity.incarnation,
            state: record.state,
            since_ms: milliseconds(now - record.changed_at),
            reason: record.reason,
            zone: metadata.zone.clone(),
            version: metadata.version.clone(),
            capabilities: metadata.capabilities,
        }
    }
}

/// Datagrams of one direction, in JSON an array `[datagrams, bytes]`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrafficVolume {
    /// Number of datagrams.
    pub datagrams: u64,
    /// Total length of the datagrams, in bytes.
    pub bytes: u64,
}

impl Serialize for TrafficVolume {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.datagrams, self.bytes).serialize(serializer)
    }
}

/// Late calls of the cluster node, in JSON an array `[count, longest_ms]`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LateCalls {
    /// Number of late calls.
    pub count: u64,
    /// Longest delay beyond the tolerance, in milliseconds.
    pub longest_ms: u64,
}

impl Serialize for LateCalls {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.count, self.longest_ms).serialize(serializer)
    }
}

/// In JSON an array of the incarnations `[older, newer]`.
impl Serialize for DuplicateName {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.older, self.newer).serialize(serializer)
    }
}

/// Number of seats that support a view, in JSON an array `[stating, reporting, total]`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ViewSupport {
    /// Seats that state exactly this view.
    pub stating: usize,
    /// Seats with valid statements, whatever these are.
    pub reporting: usize,
    /// Number of all seats.
    pub total: usize,
}

impl Serialize for ViewSupport {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.stating, self.reporting, self.total).serialize(serializer)
    }
}

/// View of the seats, and the resulting quota shares.
#[derive(Debug, Clone, Serialize)]
pub struct ViewReport {
    /// Number of the view.
    pub number: u64,
    /// Digest of the view, in hexadecimal.
    pub digest: String,
    /// Agreement of the cluster.
    pub agreement: Agreement,
    /// Number of seats that support the view.
    #[serde(rename = "holding")]
    pub support: ViewSupport,
    /// Remaining time in which this gateway may use its complete share, in milliseconds; 0: only the part that is never
    /// leased.
    pub share_for_ms: u64,
    /// Seats whose shares are divided among the other gateways.
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

/// The cluster as seen by one gateway.
#[derive(Debug, Clone, Serialize)]
pub struct ClusterReport {
    /// Name of the cluster.
    #[serde(rename = "fleet")]
    pub cluster: String,
    /// Name of this gateway.
    pub name: String,
    /// Incarnation of this process.
    pub incarnation: u64,
    /// Incarnation of the newer process under this name, to which this process has yielded its seat, if any.
    pub yielded_to: Option<u64>,
    /// Names under which two processes have been confirmed to run.
    #[serde(rename = "rivals")]
    pub duplicate_names: BTreeMap<String, DuplicateName>,
    /// Health score of this process, from 0 (healthy) to 8 (worst); its time-outs are multiplied by the score plus one.
    pub health: u32,
    /// Late calls of the cluster node.
    #[serde(rename = "late")]
    pub late_calls: LateCalls,
    /// View and quota shares, if the settings list the seats.
    pub view: Option<ViewReport>,
    /// Outcomes of claims at the ledger, if there is one.
    pub ledger: Option<ClaimCounts>,
    /// Number of gateways that take part, including this one.
    pub present: usize,
    /// Datagrams received and processed.
    #[serde(rename = "heard")]
    pub received: TrafficVolume,
    /// Datagrams sent.
    pub sent: TrafficVolume,
    /// Messages not sent because the receiver's address is unknown.
    pub unaddressed: u64,
    /// Received datagrams that were dropped, by reason.
    #[serde(rename = "strangers")]
    pub dropped: BTreeMap<&'static str, u64>,
    /// All other members, ordered by name.
    pub members: Vec<MemberReport>,
}

fn milliseconds(span: Micros) -> u64 {
    span.0 / MICROS_PER_MILLISECOND
}

impl ClusterNode {
    /// Returns the report for operators.
    pub fn report(&self) -> ClusterReport {
        let own_incarnation = self.own_identity().incarnation;
        let health = self.swim.health();
        let traffic = &self.traffic;
        let duplicate_names = self.duplicate_names.confirmed();
        ClusterReport {
            cluster: self.settings.cluster.clone(),
            name: self.settings.name.clone(),
            incarnation: own_incarnation,
            yielded_to: self.yielded_to,
            duplicate_names: duplicate_names
                .map(|(name, incarnations)| (name.clone(), *incarnations))
                .collect(),
            health: health.score(),
            late_calls: LateCalls {
                count: health.late_calls(),
                longest_ms: milliseconds(health.longest_delay()),
            },
            view: self.quota_leases.as_ref().map(|leases| {
                ViewReport::new(leases.status(self.now, own_incarnation, self.swim.records()), self.now)
            }),
            ledger: self.ledger.as_ref().map(|ledger| ledger.counts.clone()),
            present: self.present_count(),
            received: TrafficVolume { datagrams: traffic.received, bytes: traffic.received_bytes },
            sent: TrafficVolume { datagrams: traffic.sent, bytes: traffic.sent_bytes },
            unaddressed: traffic.unaddressed,
            dropped: DatagramError::ALL.into_iter().map(|error| (error.key(), self.dropped(error))).collect(),
            members: self.records().map(|record| MemberReport::new(record, self.now)).collect(),
        }
    }

    fn dropped(&self, error: DatagramError) -> u64 {
        self.traffic.dropped.get(&error).copied().unwrap_or(0)
    }
}
