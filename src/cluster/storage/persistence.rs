//! What the fleet's parts put on the gateway's disk, and what they remember from it at the start.

use crate::cluster::ledger::{Entry as Kept, Out, RecordId};
use crate::cluster::rollout::Order;
use crate::cluster::storage::durability_gate::{Durable, Head, Put, MOST_HELD};
use crate::cluster::write_queue::{Entry as Held, Telling};
use crate::cluster::{ClusterNode, ClusterNotice, Effect, Micros};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The form of what is written; another form is as good as nothing.
const FORM: u32 = 1;
const HEAD: &[u8] = b"head";
const ORDER: &[u8] = b"order";
/// An earlier life had a vote in the branch, at the ledger: what it said is all here.
const BRANCH_VOTED: &[u8] = b"voted/branch";
const LEDGER_VOTED: &[u8] = b"voted/ledger";
/// The first letters of the keys of writes and records.
const WRITE: u8 = b'w';
const RECORD: u8 = b'r';

/// What goes out once the disk holds what it rests on.
#[derive(Debug)]
pub(in crate::cluster) enum Word {
    Branch(Telling),
    Ledger(Out),
}

/// A gateway's disk, and what is on it that is not asked of the parts again.
pub(in crate::cluster) struct Keeping {
    way: Durable<Word>,
    branch_voted: bool,
    ledger_voted: bool,
    order: Option<Order>,
}

/// A write with the moment at which it was put there, both as the machine counts.
#[derive(Serialize, Deserialize)]
struct Dated {
    at: Micros,
    held: Held,
}

impl Keeping {
    pub(in crate::cluster) fn new(way: Durable<Word>) -> Keeping {
        Keeping { way, branch_voted: false, ledger_voted: false, order: None }
    }
    pub(in crate::cluster) fn way(&self) -> &Durable<Word> {
        &self.way
    }
}

fn bytes<T: Serialize>(value: &T) -> Option<Vec<u8>> {
    postcard::to_allocvec(value).ok()
}

fn key<T: Serialize>(letter: u8, name: &T) -> Vec<u8> {
    let mut key = vec![letter];
    key.extend(bytes(name).unwrap_or_default());
    key
}

fn read<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}

fn timed(held: Held, told: impl Fn(Micros) -> Micros) -> Held {
    Held { born: told(held.born), sent: held.sent.map(&told), over: held.over.map(&told), ..held }
}

impl ClusterNode {
    /// Whether the disk is being opened and read: until then nothing that it may hold is answered or changed.
    pub(in crate::cluster) fn awaits_disk(&self) -> bool {
        self.keeping.as_ref().is_some_and(|keeping| keeping.way.is_awaited())
    }

    /// What was to go out, as far as it may.
    pub(in crate::cluster) fn release(&mut self, words: Vec<Word>, out: &mut Vec<Effect>) {
        self.journal(out);
        let (mut free, mut choked) = (Vec::new(), false);
        match self.keeping.as_mut() {
            Some(keeping) => {
                free = keeping.way.hold(words);
                choked = keeping.way.waits() > MOST_HELD;
            }
            None => free.extend(words),
        }
        free.into_iter().for_each(|word| self.let_out(word, out));
        if choked {
            self.disk_failed(out);
        }
    }

    fn let_out(&mut self, word: Word, out: &mut Vec<Effect>) {
        match word {
            Word::Branch(telling) => self.file_out(telling, out),
            Word::Ledger(one) => self.book_out(one, out),
        }
    }

    /// The disk holds all up to this batch.
    pub(in crate::cluster) fn disk_holds(&mut self, batch: u64, out: &mut Vec<Effect>) {
        let free = self.keeping.as_mut().map(|keeping| keeping.way.holds(batch)).unwrap_or_default();
        free.into_iter().for_each(|word| self.let_out(word, out));
    }

    /// The disk takes nothing any more: the gateway gives up its votes, and serves on.
    pub(in crate::cluster) fn disk_failed(&mut self, out: &mut Vec<Effect>) {
        if !self.keeping.as_mut().is_some_and(|keeping| keeping.way.fail()) {
            return;
        }
        self.desk.iter_mut().for_each(|desk| desk.holder_mut().lose_disk());
        let (now, mut tellings) = (self.now, Vec::new());
        self.branch.iter_mut().for_each(|branch| branch.lose_disk(now, &mut tellings));
        out.push(Effect::Notify(ClusterNotice::StorageLost));
        self.file(tellings, out);
    }

    /// Puts what has changed on the disk.
    fn journal(&mut self, out: &mut Vec<Effect>) {
        let Some(keeping) = self.keeping.as_mut().filter(|keeping| keeping.way.works()) else { return };
        let (now, mut puts) = (self.now, Vec::new());
        let mut put = |key: Vec<u8>, value: Option<Vec<u8>>| puts.push(Put { key, value });
        if let Some(branch) = self.branch.as_mut() {
            let at = keeping.way.dated(now);
            for (dot, held) in branch.changed() {
                let held = held.map(|held| Dated { at, held: timed(held, |time| keeping.way.dated(time)) });
                put(key(WRITE, &dot), held.and_then(|dated| bytes(&dated)));
            }
            if branch.clerk().votes() && !std::mem::replace(&mut keeping.branch_voted, true) {
                put(BRANCH_VOTED.to_vec(), Some(Vec::new()));
            }
        }
        if let Some(desk) = self.desk.as_mut() {
            for (id, kept) in desk.holder_mut().take_changed() {
                let kept = kept.map(|kept| kept.timed(|time| keeping.way.dated(time)));
                put(key(RECORD, &id), kept.and_then(|kept| bytes(&kept)));
            }
            if desk.holder().votes(now) && !std::mem::replace(&mut keeping.ledger_voted, true) {
                put(LEDGER_VOTED.to_vec(), Some(Vec::new()));
            }
        }
        if let Some(order) = self.steward.as_ref().and_then(|steward| steward.order()) {
            if keeping.order.as_ref() != Some(order) {
                keeping.order = Some(order.clone());
                put(ORDER.to_vec(), bytes(order));
            }
        }
        if !puts.is_empty() {
            out.push(Effect::PersistBatch { batch: keeping.way.give(), writes: puts });
        }
    }

    /// The disk was opened and held this: what the parts said in an earlier life they remember. What is of other seats,
    /// or can't be read, is dropped from it; records are, too, where the machine was started since, as their times say
    /// nothing then.
    pub(in crate::cluster) fn remember(&mut self, on_disk: Vec<Put>, out: &mut Vec<Effect>) {
        let Some((list, seat)) = crate::cluster::ledger_node::own_seat(self) else { return };
        let now = self.now;
        let Some(keeping) = self.keeping.as_mut().filter(|keeping| keeping.way.is_awaited()) else { return };
        keeping.way.opened();
        let way = &keeping.way;
        let head = Head { form: FORM, list, seat, boot: way.boot() };
        let found =
            |name: &[u8]| on_disk.iter().find(|put| put.key == name).and_then(|put| put.value.as_deref());
        let before: Option<Head> = found(HEAD).and_then(read);
        let ours = before.as_ref().is_some_and(|b| (b.form, b.list, b.seat) == (FORM, list, seat));
        let same_boot = ours && before.is_some_and(|before| before.boot == head.boot);
        let mut puts = vec![Put { key: HEAD.to_vec(), value: bytes(&head) }];
        let (mut writes, mut records, mut order) = (Vec::new(), Vec::new(), None);
        let (mut all_writes, mut all_records) = (false, false);
        let mut unread = false;
        for put in &on_disk {
            let value = put.value.as_deref().unwrap_or_default();
            let name = put.key.split_first().filter(|_| ours);
            let taken = match name {
                _ if put.key == HEAD => true,
                _ if put.key == BRANCH_VOTED && ours => {
                    all_writes = true;
                    true
                }
                _ if put.key == LEDGER_VOTED && same_boot => {
                    all_records = true;
                    true
                }
                _ if put.key == ORDER && ours => {
                    order = read::<Order>(value);
                    order.is_some()
                }
                Some((&WRITE, _)) => match read::<Dated>(value) {
                    Some(Dated { at, held }) => {
                        // Over a start of the machine only the time before it is known.
                        let told = |time| match same_boot {
                            true => way.undated(time),
                            false => now - (at - time),
                        };
                        writes.push(timed(held, told));
                        true
                    }
                    None => {
                        unread = true;
                        false
                    }
                },
                Some((&RECORD, name)) if same_boot => match (read::<RecordId>(name), read::<Kept>(value)) {
                    (Some(id), Some(kept)) => {
                        records.push((id, kept.timed(|time| way.undated(time))));
                        true
                    }
                    _ => {
                        unread = true;
                        false
                    }
                },
                _ => false,
            };
            if !taken {
                puts.push(Put { key: put.key.clone(), value: None });
            }
        }
        (all_writes, all_records) = (all_writes && !unread, all_records && !unread);
        (keeping.branch_voted, keeping.ledger_voted) = (all_writes, all_records);
        keeping.order = order.clone();
        out.push(Effect::PersistBatch { batch: keeping.way.give(), writes: puts });
        let (held, kept) = (writes.len(), records.len());
        if let Some(branch) = self.branch.as_mut() {
            branch.remember(now, writes, all_writes);
        }
        if let Some(desk) = self.desk.as_mut() {
            desk.holder_mut().remember(now, records, all_records);
        }
        out.push(Effect::Notify(ClusterNotice::StorageLoaded {
            writes: held,
            records: kept,
            votes: (all_writes, all_records),
        }));
        self.take_up_rollout(order, out);
    }
}
