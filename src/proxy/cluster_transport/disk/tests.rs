//! Tests of the storage file with power loss, storage errors, a full disk, and a file of another program.
//!
//! These are unit tests because the store is not part of the library's public interface.

use super::{open, StorageWrite, Store, CACHE_BYTES, FILE_NAME, OPEN_RETRY_INTERVAL};
use redb::{Builder, Error, StorageBackend};
use std::collections::BTreeMap;
use std::io;
use std::sync::mpsc::sync_channel;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;

/// Unit in which an unsynced write survives a power loss or not.
const SECTOR_BYTES: usize = 512;

enum Operation {
    Write { offset: usize, data: Vec<u8> },
    SetLength(usize),
}

/// Storage in memory. A power loss keeps all synced data and a random part of the unsynced writes.
#[derive(Default)]
struct FaultyStorage {
    synced: Vec<u8>,
    current: Vec<u8>,
    unsynced: Vec<Operation>,
    /// Number of operations that still succeed before all fail; `None`: no limit.
    operations_left: Option<usize>,
    /// Maximum length in bytes; `None`: no limit.
    capacity: Option<usize>,
}

impl FaultyStorage {
    fn try_operation(&mut self) -> io::Result<()> {
        match self.operations_left.as_mut() {
            Some(0) => Err(io::Error::other("injected storage error")),
            Some(remaining) => {
                *remaining -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn apply(bytes: &mut Vec<u8>, operation: &Operation) {
        match operation {
            Operation::Write { offset, data } => {
                bytes.resize(bytes.len().max(offset + data.len()), 0);
                bytes[*offset..offset + data.len()].copy_from_slice(data);
            }
            Operation::SetLength(length) => bytes.resize(*length, 0),
        }
    }

    /// Simulates a power loss: of the unsynced writes each sector is kept or lost at random, regardless of their
    /// order.
    fn lose_power(&mut self) {
        let mut remaining = std::mem::take(&mut self.synced);
        for operation in std::mem::take(&mut self.unsynced) {
            match &operation {
                Operation::Write { offset, data } => {
                    for (number, sector) in data.chunks(SECTOR_BYTES).enumerate() {
                        if fastrand::bool() {
                            let (offset, data) = (offset + number * SECTOR_BYTES, sector.to_vec());
                            FaultyStorage::apply(&mut remaining, &Operation::Write { offset, data });
                        }
                    }
                }
                Operation::SetLength(_) => FaultyStorage::apply(&mut remaining, &operation),
            }
        }
        self.current.clone_from(&remaining);
        self.synced = remaining;
        self.operations_left = None;
        self.capacity = None;
    }
}

#[derive(Clone, Default)]
struct SharedStorage(Arc<Mutex<FaultyStorage>>);

impl SharedStorage {
    fn lock(&self) -> MutexGuard<'_, FaultyStorage> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn open(&self) -> Result<Store, Error> {
        let opened = Builder::new().set_cache_size(CACHE_BYTES).create_with_backend(self.clone());
        opened.map_err(Error::from).and_then(Store::new)
    }
}

impl std::fmt::Debug for SharedStorage {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("faulty storage")
    }
}

impl StorageBackend for SharedStorage {
    fn len(&self) -> io::Result<u64> {
        Ok(self.lock().current.len() as u64)
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let storage = self.lock();
        let start = offset as usize;
        let bytes = storage.current.get(start..start + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(bytes);
        Ok(())
    }
    fn set_len(&self, length: u64) -> io::Result<()> {
        let mut storage = self.lock();
        storage.try_operation()?;
        if storage.capacity.is_some_and(|capacity| length as usize > capacity) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let operation = Operation::SetLength(length as usize);
        FaultyStorage::apply(&mut storage.current, &operation);
        storage.unsynced.push(operation);
        Ok(())
    }
    fn sync_data(&self) -> io::Result<()> {
        let mut storage = self.lock();
        storage.try_operation()?;
        for operation in std::mem::take(&mut storage.unsynced) {
            FaultyStorage::apply(&mut storage.synced, &operation);
        }
        Ok(())
    }
    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut storage = self.lock();
        storage.try_operation()?;
        let operation = Operation::Write { offset: offset as usize, data: data.to_vec() };
        FaultyStorage::apply(&mut storage.current, &operation);
        storage.unsynced.push(operation);
        Ok(())
    }
}

type Contents = BTreeMap<Vec<u8>, Vec<u8>>;

fn contents_after(contents: &Contents, writes: &[StorageWrite]) -> Contents {
    let mut contents = contents.clone();
    for StorageWrite { key, value } in writes {
        match value {
            Some(value) => drop(contents.insert(key.clone(), value.clone())),
            None => drop(contents.remove(key)),
        }
    }
    contents
}

fn contents_of(store: &Store) -> Contents {
    let entries = store.read().expect("the store was just opened");
    entries.into_iter().filter_map(|write| Some((write.key, write.value?))).collect()
}

fn random_write() -> StorageWrite {
    StorageWrite {
        key: vec![b'w', fastrand::u8(..60)],
        value: fastrand::bool().then(|| vec![fastrand::u8(..); fastrand::usize(..1500)]),
    }
}

/// Number of faults of each kind, to check that the test has covered them.
#[derive(Default)]
struct FaultCounts {
    power_losses: usize,
    errors: usize,
    full: usize,
    /// Failed commits that were rolled back.
    torn: usize,
}

/// Expected contents of the store. If the last commit failed, `uncertain` is the alternative with that commit
/// applied.
#[derive(Default)]
struct Expected {
    certain: Contents,
    uncertain: Option<Contents>,
}

impl Expected {
    fn check(&mut self, found: Contents, seed: u64, counts: &mut FaultCounts) {
        counts.torn += usize::from(self.uncertain.is_some() && found == self.certain);
        let is_expected = found == self.certain || self.uncertain.as_ref() == Some(&found);
        assert!(is_expected, "seed {seed}: unexpected contents after reopening");
        *self = Expected { certain: found, uncertain: None };
    }

    /// Writes batches until the storage fails or a random number of them is written.
    fn write_some(&mut self, storage: &SharedStorage, store: &Store, seed: u64, counts: &mut FaultCounts) {
        let fault = fastrand::u8(..4);
        let is_full = fault == 2;
        for round in 0..fastrand::usize(1..12) {
            if round > 2 && fault == 1 {
                storage.lock().operations_left = Some(fastrand::usize(..8));
            }
            if round > 2 && is_full {
                let capacity = storage.lock().current.len();
                storage.lock().capacity = Some(capacity);
            }
            let max_writes = if is_full { 600 } else { 20 };
            let writes: Vec<StorageWrite> =
                (0..fastrand::usize(1..max_writes)).map(|_| random_write()).collect();
            let next = contents_after(&self.certain, &writes);
            if store.write(writes.iter()).is_ok() {
                self.certain = next;
                continue;
            }
            counts.errors += 1;
            counts.full += usize::from(is_full);
            assert!(store.write(writes.iter()).is_err(), "seed {seed}: write succeeded after an error");
            self.uncertain = Some(next);
            break;
        }
    }

    /// Writes a last batch that a crash of the process may interrupt in the middle of the commit.
    fn write_last(&mut self, storage: &SharedStorage, store: &Store) {
        if self.uncertain.is_some() || !fastrand::bool() {
            return;
        }
        let writes = [StorageWrite { key: vec![b'x'], value: Some(vec![fastrand::u8(..); 900]) }];
        storage.lock().operations_left = Some(fastrand::usize(..6));
        let next = contents_after(&self.certain, &writes);
        match store.write(writes.iter()) {
            Ok(()) => self.certain = next,
            Err(_) => self.uncertain = Some(next),
        }
    }
}

/// A gateway replies to others only after its storage has confirmed the changes. If a power loss or an error undid a
/// confirmed change, a request could run twice. After each fault, all confirmed batches have to be there, and the
/// interrupted batch completely or not at all.
#[test]
fn confirmed_writes_survive_lost_power_errors_and_a_full_disk() {
    let mut counts = FaultCounts::default();
    for seed in 0..60 {
        fastrand::seed(seed);
        let storage = SharedStorage::default();
        let mut expected = Expected::default();
        for _ in 0..6 {
            let store = storage.open().expect("synced storage can be opened");
            expected.check(contents_of(&store), seed, &mut counts);
            expected.write_some(&storage, &store, seed, &mut counts);
            expected.write_last(&storage, &store);
            storage.lock().operations_left = Some(0);
            drop(store);
            storage.lock().lose_power();
            counts.power_losses += 1;
        }
    }
    let FaultCounts { power_losses, errors, full, torn } = counts;
    assert!(
        power_losses > 300 && errors > 50 && torn > 20,
        "too few faults: {power_losses} power losses, {errors} errors, {full} full, {torn} torn"
    );
}

/// A file of another program or a corrupt file must not keep the gateway from serving. Two processes must never have
/// the file open at the same time.
#[test]
fn invalid_file_is_renamed_and_replaced_by_a_new_one() {
    let folder = std::env::temp_dir().join(format!("quota-gateway-disk-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join(FILE_NAME);
    let text = b"no file of ours, but for its name, with bytes enough to look at".repeat(40);
    std::fs::write(&path, text).expect("written");
    let (batches, receiver) = sync_channel(1);
    let store = open(&path, &receiver).expect("a new file is created").expect("the handle is alive");
    assert_eq!(contents_of(&store), Contents::new());
    assert!(folder.join("fleet.redb.bad").is_file());
    let write = StorageWrite { key: vec![1], value: Some(vec![2]) };
    store.write([write].iter()).expect("the new file is writable");
    // Another process waits until this one closes the file, and gives up when its handle is dropped.
    let same_path = path.clone();
    let second = thread::spawn(move || open(&same_path, &receiver).expect("no error").is_none());
    thread::sleep(OPEN_RETRY_INTERVAL * 3);
    drop(batches);
    assert!(second.join().expect("no panic"), "a second process opened the file while it was open");
    drop(store);
    let (_batches, receiver) = sync_channel(1);
    let store = open(&path, &receiver).expect("the file is closed").expect("the handle is alive");
    assert_eq!(contents_of(&store), Contents::from([(vec![1], vec![2])]));
    drop(store);
    std::fs::remove_dir_all(folder).expect("removed");
}
