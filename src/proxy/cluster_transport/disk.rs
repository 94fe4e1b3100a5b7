//! The gateway's disk: batches of changes go into one file by a thread of their own, and are told once they are held there.
//!
//! The file is a `redb` database: copy on write, checksummed, synced at each commit; a commit that was torn is not there
//! after the next opening. Tests below hold it to that, with storage that loses, tears and fails.

use crate::cluster::{Machine, Micros, Put};
use redb::{Builder, Database, Error, ReadableDatabase, ReadableTable, TableDefinition};
use rustix::time::{clock_gettime, ClockId};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TryRecvError};
use std::thread;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tracing::warn;
use xxhash_rust::xxh3::xxh3_64;

const FILE: &str = "fleet.redb";
const TABLE: TableDefinition<&[u8], &[u8]> = TableDefinition::new("kept");
/// Pages that are kept in memory, in bytes.
const CACHE: usize = 1 << 20;
/// Batches that wait for the disk; beyond that it has failed.
const MOST_BATCHES: usize = 4096;
/// Batches in one commit.
const ONE_COMMIT: usize = 512;
/// Words that wait to be heard.
const MOST_WORDS: usize = 16;
/// More keys than a gateway ever has: the file is another's.
const MOST_KEYS: u64 = 200_000;
/// A process that takes another's place waits so long for that one to let go of the file.
const OPEN_FOR: Duration = Duration::from_secs(30);
const OPEN_AGAIN: Duration = Duration::from_millis(50);

/// What the disk says.
#[derive(Debug)]
pub enum Word {
    /// It is open, and held this.
    Read(Vec<Put>),
    /// It holds all up to this batch.
    Holds(u64),
    /// It can't be opened, or takes nothing more.
    Failed,
}

type Batch = (u64, Vec<Put>);

/// The way to the disk's thread, which ends when this is dropped.
pub struct Disk {
    batches: SyncSender<Batch>,
}

impl Disk {
    /// Opens the file in this folder, by and by; the first word is `Read`, or `Failed`.
    pub fn open(folder: &Path) -> (Disk, mpsc::Receiver<Word>) {
        let (batches, given) = sync_channel(MOST_BATCHES);
        let (words, heard) = mpsc::channel(MOST_WORDS);
        let path = folder.join(FILE);
        let begun = thread::Builder::new().name("disk".into()).spawn(move || {
            if let Err(error) = work(&path, &given, &words) {
                warn!(%error, path = %path.display(), "the disk has failed");
                // Nobody may listen any more.
                let _ = words.blocking_send(Word::Failed);
            }
        });
        if let Err(error) = begun {
            // The closed way of words says so as well.
            warn!(%error, "no thread for the disk");
        }
        (Disk { batches }, heard)
    }

    /// Gives it a batch; whether it was taken.
    pub fn give(&self, batch: u64, puts: Vec<Put>) -> bool {
        self.batches.try_send((batch, puts)).is_ok()
    }
}

/// This machine's own time, which the next process on it reads as well.
pub fn machine() -> Machine {
    let now = clock_gettime(ClockId::Boottime);
    let uptime = Micros(now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1000);
    let boot = std::fs::read("/proc/sys/kernel/random/boot_id").map(|id| xxh3_64(&id));
    // Where it can't be told apart from another start, every process takes it for a new one.
    Machine { boot: boot.unwrap_or_else(|_| fastrand::u64(..)), uptime }
}

/// Opens, tells what was there, and takes batches until nobody gives any.
fn work(path: &Path, given: &Receiver<Batch>, words: &mpsc::Sender<Word>) -> Result<(), Error> {
    let Some(store) = open(path, given)? else { return Ok(()) };
    if words.blocking_send(Word::Read(store.read()?)).is_err() {
        return Ok(());
    }
    while let Ok(first) = given.recv() {
        let mut batches = vec![first];
        while batches.len() < ONE_COMMIT {
            match given.try_recv() {
                Ok(batch) => batches.push(batch),
                Err(_) => break,
            }
        }
        let last = batches.last().map_or(0, |(number, _)| *number);
        store.put(batches.iter().flat_map(|(_, puts)| puts))?;
        if words.blocking_send(Word::Holds(last)).is_err() {
            break;
        }
    }
    Ok(())
}

/// Opens the file once no other process has it open; none: nobody wants it any more. What is no sound file of ours is
/// set aside, and a new one begun.
fn open(path: &Path, given: &Receiver<Batch>) -> Result<Option<Store>, Error> {
    let until = Instant::now() + OPEN_FOR;
    loop {
        let opened = Builder::new().set_cache_size(CACHE).create(path);
        match opened.map_err(Error::from).and_then(Store::of) {
            Err(Error::DatabaseAlreadyOpen) if Instant::now() < until => {}
            Err(Error::Corrupted(what)) => set_aside(path, &what)?,
            Err(Error::UpgradeRequired(_)) => set_aside(path, "of another form")?,
            Err(Error::Io(error)) if error.kind() == std::io::ErrorKind::InvalidData => {
                set_aside(path, &error.to_string())?;
            }
            opened => return opened.map(Some),
        }
        match given.try_recv() {
            // Nothing is given before the file was read.
            Ok(_) | Err(TryRecvError::Empty) => thread::sleep(OPEN_AGAIN),
            Err(TryRecvError::Disconnected) => return Ok(None),
        }
    }
}

fn set_aside(path: &Path, why: &str) -> Result<(), Error> {
    let mut aside = PathBuf::from(path);
    aside.set_extension("redb.bad");
    warn!(why, aside = %aside.display(), "the disk's file is not sound: it is set aside, and a new one begun");
    std::fs::rename(path, aside).map_err(Error::Io)
}

/// The open file.
struct Store {
    database: Database,
}

impl Store {
    fn of(database: Database) -> Result<Store, Error> {
        let begun = database.begin_write()?;
        begun.open_table(TABLE)?;
        begun.commit()?;
        Ok(Store { database })
    }

    /// All that it holds.
    fn read(&self) -> Result<Vec<Put>, Error> {
        let reading = self.database.begin_read()?;
        let table = reading.open_table(TABLE)?;
        let mut puts = Vec::new();
        for pair in table.iter()?.take(MOST_KEYS as usize) {
            let (key, value) = pair?;
            puts.push(Put { key: key.value().to_vec(), value: Some(value.value().to_vec()) });
        }
        Ok(puts)
    }

    /// Changes all of these, or none; once this returns they are on the disk.
    fn put<'a>(&self, puts: impl Iterator<Item = &'a Put>) -> Result<(), Error> {
        let begun = self.database.begin_write()?;
        {
            let mut table = begun.open_table(TABLE)?;
            for put in puts {
                match &put.value {
                    Some(value) => drop(table.insert(put.key.as_slice(), value.as_slice())?),
                    None => drop(table.remove(put.key.as_slice())?),
                }
            }
        }
        begun.commit()?;
        Ok(())
    }
}

#[cfg(test)]
mod fixture_tests;

#[cfg(test)]
mod tests {
    use super::*;
    use redb::StorageBackend;
    use std::collections::BTreeMap;
    use std::io;
    use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

    const SECTOR: usize = 512;

    enum Op {
        Write(usize, Vec<u8>),
        Length(usize),
    }

    /// Storage that keeps what was synced, and of the rest what a loss of power leaves.
    #[derive(Default)]
    struct Medium {
        synced: Vec<u8>,
        now: Vec<u8>,
        since: Vec<Op>,
        /// So many operations go well; then each fails.
        good: Option<usize>,
        /// It holds no more than this.
        room: Option<usize>,
    }

    impl Medium {
        fn good(&mut self) -> io::Result<()> {
            match self.good.as_mut() {
                Some(0) => Err(io::Error::other("the medium fails")),
                Some(left) => {
                    *left -= 1;
                    Ok(())
                }
                None => Ok(()),
            }
        }

        fn apply(bytes: &mut Vec<u8>, op: &Op) {
            match op {
                Op::Write(at, data) => {
                    bytes.resize(bytes.len().max(at + data.len()), 0);
                    bytes[*at..at + data.len()].copy_from_slice(data);
                }
                Op::Length(length) => bytes.resize(*length, 0),
            }
        }

        /// The power goes: of what was not synced any part is there, sector by sector, whatever its order was.
        fn lose_power(&mut self) {
            let mut left = std::mem::take(&mut self.synced);
            for op in std::mem::take(&mut self.since) {
                match &op {
                    Op::Write(at, data) => {
                        for (number, sector) in data.chunks(SECTOR).enumerate() {
                            if fastrand::bool() {
                                Medium::apply(&mut left, &Op::Write(at + number * SECTOR, sector.to_vec()));
                            }
                        }
                    }
                    Op::Length(_) => Medium::apply(&mut left, &op),
                }
            }
            (self.now, self.synced) = (left.clone(), left);
            (self.good, self.room) = (None, None);
        }
    }

    #[derive(Clone)]
    struct Handle(Arc<Mutex<Medium>>);

    impl Handle {
        fn medium(&self) -> MutexGuard<'_, Medium> {
            self.0.lock().unwrap_or_else(PoisonError::into_inner)
        }
        fn open(&self) -> Result<Store, Error> {
            let opened = Builder::new().set_cache_size(CACHE).create_with_backend(self.clone());
            opened.map_err(Error::from).and_then(Store::of)
        }
    }

    impl std::fmt::Debug for Handle {
        fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
            f.write_str("a medium")
        }
    }

    impl StorageBackend for Handle {
        fn len(&self) -> io::Result<u64> {
            Ok(self.medium().now.len() as u64)
        }
        fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
            let medium = self.medium();
            let from = offset as usize;
            let part = medium.now.get(from..from + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
            out.copy_from_slice(part);
            Ok(())
        }
        fn set_len(&self, length: u64) -> io::Result<()> {
            let mut medium = self.medium();
            medium.good()?;
            if medium.room.is_some_and(|room| length as usize > room) {
                return Err(io::ErrorKind::StorageFull.into());
            }
            let op = Op::Length(length as usize);
            Medium::apply(&mut medium.now, &op);
            medium.since.push(op);
            Ok(())
        }
        fn sync_data(&self) -> io::Result<()> {
            let mut medium = self.medium();
            medium.good()?;
            let since = std::mem::take(&mut medium.since);
            since.iter().for_each(|op| Medium::apply(&mut medium.synced, op));
            Ok(())
        }
        fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
            let mut medium = self.medium();
            medium.good()?;
            let op = Op::Write(offset as usize, data.to_vec());
            Medium::apply(&mut medium.now, &op);
            medium.since.push(op);
            Ok(())
        }
    }

    type Model = BTreeMap<Vec<u8>, Vec<u8>>;

    fn changed(model: &Model, puts: &[Put]) -> Model {
        let mut model = model.clone();
        for put in puts {
            match &put.value {
                Some(value) => drop(model.insert(put.key.clone(), value.clone())),
                None => drop(model.remove(&put.key)),
            }
        }
        model
    }

    fn held(store: &Store) -> Model {
        let puts = store.read().expect("it was just opened");
        puts.into_iter().filter_map(|put| Some((put.key, put.value?))).collect()
    }

    /// What was told to be held is there after every loss of power and every error, and of the batch that was under way
    /// all or nothing.
    #[test]
    fn what_was_held_outlives_lost_power_errors_and_a_full_medium() {
        let (mut losses, mut errors, mut full, mut torn) = (0, 0, 0, 0);
        for seed in 0..60 {
            fastrand::seed(seed);
            let handle = Handle(Arc::default());
            let (mut model, mut maybe): (Model, Option<Model>) = (Model::new(), None);
            for _ in 0..6 {
                let store = handle.open().expect("what was synced can be opened");
                let found = held(&store);
                torn += usize::from(maybe.is_some() && found == model);
                assert!(found == model || maybe.as_ref() == Some(&found), "seed {seed}: not what was held");
                (model, maybe) = (found, None);
                let fails = fastrand::u8(..4);
                for round in 0..fastrand::usize(1..12) {
                    if round > 2 && fails == 1 {
                        handle.medium().good = Some(fastrand::usize(..8));
                    }
                    if round > 2 && fails == 2 {
                        let room = handle.medium().now.len();
                        handle.medium().room = Some(room);
                    }
                    let put = |_| Put {
                        key: vec![b'w', fastrand::u8(..60)],
                        value: fastrand::bool().then(|| vec![fastrand::u8(..); fastrand::usize(..1500)]),
                    };
                    let many = if fails == 2 { 600 } else { 20 };
                    let puts: Vec<Put> = (0..fastrand::usize(1..many)).map(put).collect();
                    let next = changed(&model, &puts);
                    match store.put(puts.iter()) {
                        Ok(()) => model = next,
                        Err(_) => {
                            (errors, full) = (errors + 1, full + usize::from(fails == 2));
                            assert!(store.put(puts.iter()).is_err(), "seed {seed}: it takes nothing more");
                            maybe = Some(next);
                            break;
                        }
                    }
                }
                // The process is gone in the middle of a commit, or after it.
                if maybe.is_none() && fastrand::bool() {
                    let puts = [Put { key: vec![b'x'], value: Some(vec![fastrand::u8(..); 900]) }];
                    handle.medium().good = Some(fastrand::usize(..6));
                    match store.put(puts.iter()) {
                        Ok(()) => model = changed(&model, &puts),
                        Err(_) => maybe = Some(changed(&model, &puts)),
                    }
                }
                handle.medium().good = Some(0);
                drop(store);
                handle.medium().lose_power();
                losses += 1;
            }
        }
        assert!(
            losses > 300 && errors > 50 && torn > 20,
            "{losses} losses, {errors} errors, {full} full, {torn} torn"
        );
    }

    #[test]
    fn a_file_that_is_not_sound_is_set_aside_and_a_new_one_begun() {
        let folder = std::env::temp_dir().join(format!("quota-gateway-disk-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let path = folder.join(FILE);
        std::fs::write(&path, b"no file of ours, but for its name, with bytes enough to look at".repeat(40))
            .expect("written");
        let (batches, given) = sync_channel(1);
        let store = open(&path, &given).expect("a new one").expect("wanted");
        assert_eq!(held(&store), Model::new());
        assert!(folder.join("fleet.redb.bad").is_file());
        store.put([Put { key: vec![1], value: Some(vec![2]) }].iter()).expect("it takes what is given");
        // Another process waits until this one lets go, and gives up once nobody wants it any more.
        let there = path.clone();
        let second = thread::spawn(move || open(&there, &given).expect("no error").is_none());
        thread::sleep(OPEN_AGAIN * 3);
        drop(batches);
        assert!(second.join().expect("no panic"), "it opened what another has open");
        drop(store);
        let (_batches, given) = sync_channel(1);
        let store = open(&path, &given).expect("let go of").expect("wanted");
        assert_eq!(held(&store), Model::from([(vec![1], vec![2])]));
        drop(store);
        std::fs::remove_dir_all(folder).expect("removed");
    }
}
