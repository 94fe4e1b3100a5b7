//! The gateway's disk: batches of changes are written to one file by a thread of its own, and reported once they are
//! synced.
//!
//! The file is a `redb` database: copy on write, checksummed, synced at each commit; a commit that was torn is not there
//! after the next opening. The tests hold it to that, with storage that loses, tears and fails.

use crate::cluster::{MachineId, Micros, StorageWrite};
use redb::{Builder, Database, Error, ReadableDatabase, ReadableTable, TableDefinition};
use rustix::time::{clock_gettime, ClockId};
use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TryRecvError};
use std::thread;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tracing::warn;
use xxhash_rust::xxh3::xxh3_64;

const FILE: &str = "fleet.redb";
const TABLE: TableDefinition<&[u8], &[u8]> = TableDefinition::new("kept");
/// Pages that are cached, in bytes.
const CACHE_BYTES: usize = 1 << 20;
/// Batches that wait for the disk; beyond that it has failed.
const MAX_WAITING_BATCHES: usize = 4096;
/// Batches in one commit.
const MAX_BATCHES_PER_COMMIT: usize = 512;
/// Events that wait to be received.
const MAX_WAITING_EVENTS: usize = 16;
/// More keys than a gateway ever has: the file is another's.
const MAX_KEYS: usize = 200_000;
/// A process that replaces another waits so long for that one to close the file.
const OPEN_TIMEOUT: Duration = Duration::from_secs(30);
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// What the disk reports.
#[derive(Debug)]
pub enum DiskEvent {
    /// It is open, and held this.
    Loaded(Vec<StorageWrite>),
    /// It holds all up to this batch.
    Synced(u64),
    /// It can't be opened, or takes nothing more.
    Failed,
}

/// Changes that are written together.
struct Batch {
    number: u64,
    writes: Vec<StorageWrite>,
}

/// The way to the disk's thread, which ends when this is dropped.
pub struct Disk {
    batches: SyncSender<Batch>,
}

impl Disk {
    /// Opens the file in this folder, by and by; the first event is `Loaded`, or `Failed`.
    pub fn open(folder: &Path) -> (Disk, mpsc::Receiver<DiskEvent>) {
        let (batches, batch_receiver) = sync_channel(MAX_WAITING_BATCHES);
        let (event_sender, events) = mpsc::channel(MAX_WAITING_EVENTS);
        let path = folder.join(FILE);
        let spawned = thread::Builder::new().name("disk".into()).spawn(move || {
            if let Err(error) = run(&path, &batch_receiver, &event_sender) {
                warn!(%error, path = %path.display(), "disk failed");
                // Nobody may listen any more.
                let _ = event_sender.blocking_send(DiskEvent::Failed);
            }
        });
        if let Err(error) = spawned {
            // The closed channel of events says so as well.
            warn!(%error, "no thread for the disk");
        }
        (Disk { batches }, events)
    }

    /// Gives it a batch; whether it was taken.
    pub fn submit(&self, number: u64, writes: Vec<StorageWrite>) -> bool {
        self.batches.try_send(Batch { number, writes }).is_ok()
    }
}

/// This start of the machine and its clock, which the next process on it reads as well.
pub fn machine_id() -> MachineId {
    let now = clock_gettime(ClockId::Boottime);
    let uptime = Micros(now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1000);
    let boot = std::fs::read("/proc/sys/kernel/random/boot_id").map(|id| xxh3_64(&id));
    // Where it can't be told apart from another start, every process takes it for a new one.
    MachineId { boot: boot.unwrap_or_else(|_| fastrand::u64(..)), uptime }
}

/// Opens the file, reports what was there, and writes batches until nobody gives any.
fn run(path: &Path, batches: &Receiver<Batch>, events: &mpsc::Sender<DiskEvent>) -> Result<(), Error> {
    let Some(store) = open(path, batches)? else { return Ok(()) };
    if events.blocking_send(DiskEvent::Loaded(store.read()?)).is_err() {
        return Ok(());
    }
    while let Ok(first) = batches.recv() {
        let mut commit = vec![first];
        while commit.len() < MAX_BATCHES_PER_COMMIT {
            match batches.try_recv() {
                Ok(batch) => commit.push(batch),
                Err(_) => break,
            }
        }
        let last = commit.last().map_or(0, |batch| batch.number);
        store.write(commit.iter().flat_map(|batch| &batch.writes))?;
        if events.blocking_send(DiskEvent::Synced(last)).is_err() {
            break;
        }
    }
    Ok(())
}

/// Opens the file once no other process has it open; none: nobody wants it any more. What is no sound file of ours is set
/// aside, and a new one begun.
fn open(path: &Path, batches: &Receiver<Batch>) -> Result<Option<Store>, Error> {
    let deadline = Instant::now() + OPEN_TIMEOUT;
    loop {
        let opened = Builder::new().set_cache_size(CACHE_BYTES).create(path);
        match opened.map_err(Error::from).and_then(Store::new) {
            Err(Error::DatabaseAlreadyOpen) if Instant::now() < deadline => {}
            Err(Error::Corrupted(problem)) => set_aside(path, &problem)?,
            Err(Error::UpgradeRequired(_)) => set_aside(path, "of another form")?,
            Err(Error::Io(error)) if error.kind() == ErrorKind::InvalidData => {
                set_aside(path, &error.to_string())?;
            }
            opened => return opened.map(Some),
        }
        match batches.try_recv() {
            // Nothing is given before the file was read.
            Ok(_) | Err(TryRecvError::Empty) => thread::sleep(OPEN_RETRY_INTERVAL),
            Err(TryRecvError::Disconnected) => return Ok(None),
        }
    }
}

fn set_aside(path: &Path, why: &str) -> Result<(), Error> {
    let mut aside = PathBuf::from(path);
    aside.set_extension("redb.bad");
    warn!(why, aside = %aside.display(), "the storage file is corrupt: set aside, starting with an empty one");
    std::fs::rename(path, aside).map_err(Error::Io)
}

/// The open file.
struct Store {
    database: Database,
}

impl Store {
    fn new(database: Database) -> Result<Store, Error> {
        let transaction = database.begin_write()?;
        transaction.open_table(TABLE)?;
        transaction.commit()?;
        Ok(Store { database })
    }

    /// All that it holds.
    fn read(&self) -> Result<Vec<StorageWrite>, Error> {
        let transaction = self.database.begin_read()?;
        let table = transaction.open_table(TABLE)?;
        let mut held = Vec::new();
        for pair in table.iter()?.take(MAX_KEYS) {
            let (key, value) = pair?;
            held.push(StorageWrite { key: key.value().to_vec(), value: Some(value.value().to_vec()) });
        }
        Ok(held)
    }

    /// Changes all of these, or none; once this returns they are on the disk.
    fn write<'a>(&self, writes: impl Iterator<Item = &'a StorageWrite>) -> Result<(), Error> {
        let transaction = self.database.begin_write()?;
        {
            let mut table = transaction.open_table(TABLE)?;
            for StorageWrite { key, value } in writes {
                match value {
                    Some(value) => drop(table.insert(key.as_slice(), value.as_slice())?),
                    None => drop(table.remove(key.as_slice())?),
                }
            }
        }
        transaction.commit()?;
        Ok(())
    }
}

#[cfg(test)]
mod fixture_tests;
#[cfg(test)]
mod tests;
