//! What a gateway keeps on its disk, and what it sends only once that is there.
//!
//! No I/O: `proxy::cluster_transport::disk` holds the file. `docs/decisions/0004-ledger.md` and
//! `docs/decisions/0006-branch-queue.md` say what outlives a process and a machine.

mod durability_gate;
mod persistence;
mod stored_form;

pub use durability_gate::{MachineId, BUSY_WAITING};
pub use persistence::{GatedEffect, Persistence, StorageStatus};
pub use stored_form::StorageWrite;
