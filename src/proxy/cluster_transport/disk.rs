//! The gateway's storage file. A dedicated thread writes batches of changes and reports each commit once it is synced
//! to the disk.
//!
//! The file is a `redb` database: copy-on-write, checksummed, and synced at each commit. A torn commit is rolled back
//! when the file is next opened. The tests check this with storage that loses power, tears writes and returns errors.

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

/// Names of the storage file and its table. They are part of the stored form and never change.
const FILE_NAME: &str = "fleet.redb";
const TABLE: TableDefinition<&[u8], &[u8]> = TableDefinition::new("kept");
/// Size of the page cache, in bytes.
const CACHE_BYTES: usize = 1 << 20;
/// Maximum number of batches waiting for the disk. With more, the storage counts as failed.
const MAX_WAITING_BATCHES: usize = 4096;
/// Maximum number of batches in one commit.
const MAX_BATCHES_PER_COMMIT: usize = 512;
/// Capacity of the event channel.
const EVENT_CAPACITY: usize = 16;
/// Maximum number of keys that are read at opening. A gateway never stores as many, so only a file that no gateway wrote
/// has more.
const MAX_KEYS: usize = 200_000;
/// Maximum wait of a successor for its predecessor to close the file.
const OPEN_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between attempts to open the file.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// An event of the storage thread.
#[derive(Debug)]
pub enum DiskEvent {
    /// The file is open; these are its contents.
    Loaded(Vec<StorageWrite>),
    /// All batches up to this number are on the disk.
    Synced(u64),
    /// The file can't be opened or written any more.
    Failed,
}

/// Changes that are written atomically.
struct Batch {
    number: u64,
    writes: Vec<StorageWrite>,
}

/// Handle of the storage thread. The thread ends when the handle is dropped.
pub struct Disk {
    batches: SyncSender<Batch>,
}

impl Disk {
    /// Opens the file in this folder, in the background. The first event is `Loaded` or `Failed`.
    pub fn open(folder: &Path) -> (Disk, mpsc::Receiver<DiskEvent>) {
        let (batches, batch_receiver) = sync_channel(MAX_WAITING_BATCHES);
        let (event_sender, events) = mpsc::channel(EVENT_CAPACITY);
        let path = folder.join(FILE_NAME);
        let spawned = thread::Builder::new().name("disk".into()).spawn(move || {
            if let Err(error) = run(&path, &batch_receiver, &event_sender) {
                warn!(%error, path = %path.display(), "storage file failed; the storage thread ends");
                // The receiver may have been dropped.
                let _ = event_sender.blocking_send(DiskEvent::Failed);
            }
        });
        if let Err(error) = spawned {
            // The receiver sees the closed event channel, which counts as a failure.
            warn!(%error, "can't start the storage thread");
        }
        (Disk { batches }, events)
    }

    /// Queues a batch for writing. Returns whether there was capacity and the storage thread still runs.
    pub fn submit(&self, number: u64, writes: Vec<StorageWrite>) -> bool {
        self.batches.try_send(Batch { number, writes }).is_ok()
    }
}

/// Identifies the current boot of the machine and reads its uptime. A later process on the same boot gets the same
/// boot id, so stored times can be converted to that process's clock.
pub fn machine_id() -> MachineId {
    let now = clock_gettime(ClockId::Boottime);
    let uptime = Micros(now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1000);
    let boot = std::fs::read("/proc/sys/kernel/random/boot_id").map(|id| xxh3_64(&id));
    // Without a boot id, every process assumes that the machine has been rebooted.
    MachineId { boot: boot.unwrap_or_else(|_| fastrand::u64(..)), uptime }
}

/// Opens the file, reports its contents, and writes batches until the handle is dropped.
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
        let last_number = commit.last().map_or(0, |batch| batch.number);
        store.write(commit.iter().flat_map(|batch| &batch.writes))?;
        if events.blocking_send(DiskEvent::Synced(last_number)).is_err() {
            break;
        }
    }
    Ok(())
}

/// Opens the file, waiting while another process has it open. Returns `None` if the handle is dropped meanwhile. A
/// corrupt or foreign file is renamed, and a new one is created.
fn open(path: &Path, batches: &Receiver<Batch>) -> Result<Option<Store>, Error> {
    let deadline = Instant::now() + OPEN_TIMEOUT;
    loop {
        let opened = Builder::new().set_cache_size(CACHE_BYTES).create(path);
        match opened.map_err(Error::from).and_then(Store::new) {
            Err(Error::DatabaseAlreadyOpen) if Instant::now() < deadline => {}
            Err(Error::Corrupted(reason)) => move_aside(path, &reason)?,
            Err(Error::UpgradeRequired(_)) => move_aside(path, "unsupported file format version")?,
            Err(Error::Io(error)) if error.kind() == ErrorKind::InvalidData => {
                move_aside(path, &error.to_string())?;
            }
            opened => return opened.map(Some),
        }
        match batches.try_recv() {
            // No batch is expected before the file was read.
            Ok(_) | Err(TryRecvError::Empty) => thread::sleep(OPEN_RETRY_INTERVAL),
            Err(TryRecvError::Disconnected) => return Ok(None),
        }
    }
}

fn move_aside(path: &Path, reason: &str) -> Result<(), Error> {
    let mut renamed_to = PathBuf::from(path);
    renamed_to.set_extension("redb.bad");
    warn!(reason, renamed_to = %renamed_to.display(), "unusable storage file renamed; starting with an empty one");
    std::fs::rename(path, renamed_to).map_err(Error::Io)
}

/// The open storage file.
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

    /// Reads all entries.
    fn read(&self) -> Result<Vec<StorageWrite>, Error> {
        let transaction = self.database.begin_read()?;
        let table = transaction.open_table(TABLE)?;
        let mut entries = Vec::new();
        for pair in table.iter()?.take(MAX_KEYS) {
            let (key, value) = pair?;
            entries.push(StorageWrite { key: key.value().to_vec(), value: Some(value.value().to_vec()) });
        }
        Ok(entries)
    }

    /// Applies all of these changes or none. When it returns without an error, they are synced to the disk.
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
