//! Runs a cluster node on datagrams and ticks alone, with storage in memory that syncs each batch immediately.

use crate::cluster::ledger::{AbandonedRequest, Ballot, LedgerMessage, LedgerSettings, RecordId};
use crate::cluster::rollout::{RuleConfig, RuleSet};
use crate::cluster::write_queue::{LogPage, QueueMessage, WriteQueueSettings};
use crate::cluster::{
    ClusterNode, ClusterNotice, Effect, Event, MachineId, MemberMetadata, Settings, StorageWrite,
    CAPABILITY_LEDGER, CAPABILITY_ROLLOUT, LEDGER_TICK_INTERVAL, MAX_DATAGRAM_BYTES,
};
use crate::decision::Micros;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Contents of the storage, by key.
pub type StoredEntries = BTreeMap<Vec<u8>, Vec<u8>>;

pub const CLUSTER_NAME: &str = "norte";
pub const SEATS: [&str; 3] = ["a", "b", "c"];
/// Postcard indices of the payload variants that carry messages of the ledger, the rollout and the write queue.
pub const LEDGER_PAYLOAD: u32 = 5;
pub const ROLLOUT_PAYLOAD: u32 = 6;
pub const WRITE_QUEUE_PAYLOAD: u32 = 7;
/// Number of bytes before the payload of a datagram: magic number, version, cluster tag and checksum.
pub const HEADER_BYTES: usize = 11;

/// Boot id of the machine on which the fixture's process runs.
pub const BOOT_ID: u64 = 0x00c0_ffee;
/// Uptime of the machine when the fixture's process starts.
pub const UPTIME_AT_START: Micros = Micros(1_000_000_000);
/// Time on the process's own clock when the fixture's process starts.
pub const STARTED_AT: Micros = Micros(5_000_000);
/// Time of the first messages. By then the gateway has its votes.
pub const MESSAGES_AT: Micros = Micros(21_000_000);
/// Time at which the fixture's process ends.
pub const ENDED_AT: Micros = Micros(23_400_000);

/// The digest of the list of seats.
pub fn seat_list_digest() -> u64 {
    xxh3_64(SEATS.join("\n").as_bytes())
}

/// Encodes a datagram from this seat with the payload variant `kind`.
pub fn datagram<M: Serialize>(kind: u32, seat: u16, message: &M) -> Vec<u8> {
    let body = postcard::to_allocvec(&(kind, seat_list_digest(), seat, message))
        .expect("the payload can be serialized");
    let mut bytes = b"SH\x01".to_vec();
    bytes.extend((xxh3_64(CLUSTER_NAME.as_bytes()) as u32).to_le_bytes());
    bytes.extend((xxh3_64(&body) as u32).to_le_bytes());
    bytes.extend(body);
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
    bytes
}

/// Decodes the message of a datagram; `None` if its payload variant is not `kind`.
pub fn decode<M: DeserializeOwned>(kind: u32, bytes: &[u8]) -> Option<M> {
    let body = bytes.get(HEADER_BYTES..)?;
    let (found_kind, _) = postcard::take_from_bytes::<u32>(body).ok()?;
    (found_kind == kind).then(|| {
        let (_, _, _, message) =
            postcard::from_bytes::<(u32, u64, u16, M)>(body).expect("the payload can be deserialized");
        message
    })
}

pub fn settings(machine: MachineId) -> Settings {
    let metadata = MemberMetadata {
        zone: "east".into(),
        version: "1".into(),
        capabilities: CAPABILITY_LEDGER | CAPABILITY_ROLLOUT,
        advertise: None,
    };
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    Settings {
        cluster: CLUSTER_NAME.into(),
        name: "b".into(),
        metadata,
        peers: [("a".to_string(), address(1)), ("b".to_string(), address(2)), ("c".to_string(), address(3))]
            .into(),
        probe_period: Duration::from_secs(1),
        seats: SEATS.map(str::to_string).to_vec(),
        ledger: Some(LedgerSettings {
            replicas: 3,
            lease: Micros(2_000_000),
            record_lifetime: Micros(10_000_000),
        }),
        rules: Some(RuleSet(vec![RuleConfig { max_attempts: Some(3), ..RuleConfig::default() }])),
        branch: Some(WriteQueueSettings {
            seats: vec![0, 1, 2],
            max_pending: 100,
            max_pending_per_customer: 50,
            max_age: Micros(3_600_000_000),
            uplink_timeout: Micros(600_000),
            send_timeout: Micros(4_000_000),
            max_in_flight: 10,
            max_sends_per_second: 100,
            blocking_classes: vec![1],
        }),
        disk: Some(machine),
    }
}

/// A cluster node with storage in memory, and a log of its effects.
pub struct Driver {
    pub node: ClusterNode,
    pub now: Micros,
    pub stored: StoredEntries,
    pub batches: Vec<(u64, Vec<StorageWrite>)>,
    pub notices: Vec<ClusterNotice>,
    pub abandoned_requests: Vec<AbandonedRequest>,
    pub sent: Vec<Vec<u8>>,
}

impl Driver {
    pub fn start(machine: MachineId, now: Micros, stored: &StoredEntries) -> Driver {
        let node = ClusterNode::new(settings(machine), now, Micros(1_790_000_000_000_000), 7)
            .expect("valid settings");
        let (batches, notices, abandoned_requests, sent) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        let stored = stored.clone();
        let writes = stored
            .iter()
            .map(|(key, value)| StorageWrite { key: key.clone(), value: Some(value.clone()) })
            .collect();
        let mut driver = Driver { node, now, stored, batches, notices, abandoned_requests, sent };
        driver.handle(Event::StorageLoaded { writes });
        driver
    }

    pub fn handle(&mut self, event: Event<'_>) {
        let mut effects = Vec::new();
        self.node.handle(self.now, event, &mut effects);
        while let Some(index) =
            effects.iter().position(|effect| matches!(effect, Effect::PersistBatch { .. }))
        {
            let Effect::PersistBatch { batch, writes } = effects.remove(index) else {
                unreachable!("the position is that of a batch")
            };
            for write in &writes {
                match &write.value {
                    Some(value) => drop(self.stored.insert(write.key.clone(), value.clone())),
                    None => drop(self.stored.remove(&write.key)),
                }
            }
            self.batches.push((batch, writes));
            self.node.handle(self.now, Event::StorageSynced { batch }, &mut effects);
        }
        for effect in effects {
            match effect {
                Effect::Notify(notice) => self.notices.push(notice),
                Effect::RequestAbandoned(request) => self.abandoned_requests.push(request),
                Effect::Send { bytes, .. } => self.sent.push(bytes),
                _ => {}
            }
        }
    }

    pub fn run_until(&mut self, until: Micros) {
        while self.now < until {
            self.now = self.now + LEDGER_TICK_INTERVAL;
            self.handle(Event::LedgerTick);
        }
    }

    pub fn receive<M: Serialize>(&mut self, kind: u32, seat: u16, message: &M) {
        let from = SocketAddr::from(([127, 0, 0, 1], 1));
        self.handle(Event::Datagram { from, bytes: &datagram(kind, seat, message) });
    }

    /// Replies to every page query of the write queue with an empty page without a vote, as in a new branch.
    pub fn reply_to_page_queries(&mut self) {
        let rounds: Vec<u64> = self
            .sent
            .iter()
            .filter_map(|bytes| match decode::<QueueMessage>(WRITE_QUEUE_PAYLOAD, bytes)? {
                QueueMessage::QueryPage { round, .. } => Some(round),
                _ => None,
            })
            .collect();
        for round in rounds {
            let page = LogPage { round, entries: Vec::new(), has_more: false, has_vote: false };
            self.receive(WRITE_QUEUE_PAYLOAD, 0, &QueueMessage::Page(page));
        }
    }

    /// Sends a prepare message of the ledger, and returns the replica's reply.
    pub fn prepare(&mut self, id: RecordId, ballot: Ballot) -> LedgerMessage {
        self.sent.clear();
        self.receive(LEDGER_PAYLOAD, 2, &LedgerMessage::Prepare { id, ballot });
        let replies: Vec<LedgerMessage> =
            self.sent.iter().filter_map(|bytes| decode(LEDGER_PAYLOAD, bytes)).collect();
        replies.into_iter().next().expect("a reply")
    }
}
