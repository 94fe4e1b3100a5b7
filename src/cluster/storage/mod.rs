//! Persistent state of a gateway, and the gate that delays effects until the state that they depend on is stored.
//!
//! The module does no I/O: `proxy::cluster_transport::disk` writes the file. `docs/decisions/0004-ledger.md` and
//! `docs/decisions/0006-branch-queue.md` state which data survives a restart of the process or of the machine.

mod durability_gate;
mod persistence;
mod stored_format;

pub use durability_gate::{MachineId, MAX_WAITING_FOR_NEW_WRITES};
pub use persistence::{GatedEffect, Persistence, StorageStatus};
pub use stored_format::StorageWrite;
