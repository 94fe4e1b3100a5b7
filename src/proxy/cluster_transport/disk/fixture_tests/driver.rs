//! A cluster node that is driven by datagrams alone, on a disk that takes each batch at once.

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

pub type Stored = BTreeMap<Vec<u8>, Vec<u8>>;

pub const FLEET: &str = "norte";
pub const SEATS: [&str; 3] = ["a", "b", "c"];
/// What carries a message of these parts, by its place among all that datagrams carry.
pub const OF_LEDGER: u32 = 5;
pub const OF_ROLLOUT: u32 = 6;
pub const OF_BRANCH: u32 = 7;
/// Bytes before what a datagram carries.
pub const PRELUDE: usize = 11;

/// The start of the machine, its time and the process' own time when the fixture's process began.
pub const BOOT: u64 = 0x00c0_ffee;
pub const UPTIME: Micros = Micros(1_000_000_000);
pub const BEGAN: Micros = Micros(5_000_000);
/// Once it holds its votes the messages come.
pub const MESSAGES_AT: Micros = Micros(21_000_000);
pub const ENDED: Micros = Micros(23_400_000);

pub fn seat_list() -> u64 {
    xxh3_64(SEATS.join("\n").as_bytes())
}

pub fn datagram<M: Serialize>(kind: u32, seat: u16, message: &M) -> Vec<u8> {
    let body = postcard::to_allocvec(&(kind, seat_list(), seat, message)).expect("it can be written");
    let mut bytes = b"SH\x01".to_vec();
    bytes.extend((xxh3_64(FLEET.as_bytes()) as u32).to_le_bytes());
    bytes.extend((xxh3_64(&body) as u32).to_le_bytes());
    bytes.extend(body);
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
    bytes
}

/// What a datagram of this kind says.
pub fn decode<M: DeserializeOwned>(kind: u32, bytes: &[u8]) -> Option<M> {
    let body = bytes.get(PRELUDE..)?;
    let (found, _) = postcard::take_from_bytes::<u32>(body).ok()?;
    (found == kind).then(|| {
        let (_, _, _, message) = postcard::from_bytes::<(u32, u64, u16, M)>(body).expect("it can be read");
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
    let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    Settings {
        cluster: FLEET.into(),
        name: "b".into(),
        metadata,
        peers: [("a".to_string(), at(1)), ("b".to_string(), at(2)), ("c".to_string(), at(3))].into(),
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

/// A gateway on a disk that takes each batch at once.
pub struct Driver {
    pub fleet: ClusterNode,
    pub now: Micros,
    pub stored: Stored,
    pub batches: Vec<(u64, Vec<StorageWrite>)>,
    pub notices: Vec<ClusterNotice>,
    pub orphans: Vec<AbandonedRequest>,
    pub sent: Vec<Vec<u8>>,
}

impl Driver {
    pub fn start(machine: MachineId, now: Micros, stored: &Stored) -> Driver {
        let fleet =
            ClusterNode::new(settings(machine), now, Micros(1_790_000_000_000_000), 7).expect("sound");
        let (batches, notices, orphans, sent) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        let stored = stored.clone();
        let read =
            stored.iter().map(|(k, v)| StorageWrite { key: k.clone(), value: Some(v.clone()) }).collect();
        let mut driver = Driver { fleet, now, stored, batches, notices, orphans, sent };
        driver.event(Event::StorageLoaded { writes: read });
        driver
    }

    pub fn event(&mut self, event: Event<'_>) {
        let mut effects = Vec::new();
        self.fleet.handle(self.now, event, &mut effects);
        while let Some(at) = effects.iter().position(|effect| matches!(effect, Effect::PersistBatch { .. })) {
            let Effect::PersistBatch { batch, writes: puts } = effects.remove(at) else {
                unreachable!("it was found there")
            };
            for put in &puts {
                match &put.value {
                    Some(value) => drop(self.stored.insert(put.key.clone(), value.clone())),
                    None => drop(self.stored.remove(&put.key)),
                }
            }
            self.batches.push((batch, puts));
            self.fleet.handle(self.now, Event::StorageSynced { batch }, &mut effects);
        }
        for effect in effects {
            match effect {
                Effect::Notify(notice) => self.notices.push(notice),
                Effect::RequestAbandoned(orphan) => self.orphans.push(orphan),
                Effect::Send { bytes, .. } => self.sent.push(bytes),
                _ => {}
            }
        }
    }

    pub fn run_until(&mut self, until: Micros) {
        while self.now < until {
            self.now = self.now + LEDGER_TICK_INTERVAL;
            self.event(Event::LedgerTick);
        }
    }

    pub fn receive<M: Serialize>(&mut self, kind: u32, seat: u16, message: &M) {
        let from = SocketAddr::from(([127, 0, 0, 1], 1));
        self.event(Event::Datagram { from, bytes: &datagram(kind, seat, message) });
    }

    /// Answers every question for pages of names with an empty page without a vote: the branch begins anew.
    pub fn answer_pages(&mut self) {
        let asked: Vec<u64> = self
            .sent
            .iter()
            .filter_map(|bytes| match decode::<QueueMessage>(OF_BRANCH, bytes)? {
                QueueMessage::QueryPage { round, .. } => Some(round),
                _ => None,
            })
            .collect();
        for number in asked {
            let page = LogPage { round: number, entries: Vec::new(), has_more: false, has_vote: false };
            self.receive(OF_BRANCH, 0, &QueueMessage::Page(page));
        }
    }

    /// Asks for a promise; what the holder answers.
    pub fn prepare(&mut self, id: RecordId, ballot: Ballot) -> LedgerMessage {
        self.sent.clear();
        self.receive(OF_LEDGER, 2, &LedgerMessage::Prepare { id, ballot });
        let answers: Vec<LedgerMessage> =
            self.sent.iter().filter_map(|bytes| decode(OF_LEDGER, bytes)).collect();
        answers.into_iter().next().expect("an answer")
    }
}
