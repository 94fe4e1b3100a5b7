//! Storage of a cluster node: stores changes of its components and delays their effects until the changes are stored.

use super::event::{ClusterNotice, Effect};
use super::ledger_node::OwnSeat;
use super::node::ClusterNode;
use super::storage::{GatedEffect, Persistence, StorageStatus, StorageWrite};

impl ClusterNode {
    /// Returns the status of the storage, or `None` if this gateway has none.
    pub fn storage_status(&self) -> Option<StorageStatus> {
        self.persistence.as_ref().map(Persistence::status)
    }

    /// Returns whether the storage is still being opened and read. Until it is, nothing that it may contain is
    /// sent or changed.
    pub(super) fn is_storage_opening(&self) -> bool {
        self.persistence.as_ref().is_some_and(Persistence::is_opening)
    }

    /// Passes changes to the storage and emits those effects that depend on no unstored change.
    pub(super) fn gate_effects(&mut self, effects: Vec<GatedEffect>, out: &mut Vec<Effect>) {
        self.store_changes(out);
        let Some(persistence) = self.persistence.as_mut() else {
            return self.emit_gated_effects(effects, out);
        };
        let released = persistence.submit(effects);
        let is_overrun = persistence.is_overrun();
        self.emit_gated_effects(released, out);
        if is_overrun {
            self.on_storage_failed(out);
        }
    }

    fn emit_gated_effects(&mut self, effects: Vec<GatedEffect>, out: &mut Vec<Effect>) {
        for effect in effects {
            match effect {
                GatedEffect::WriteQueue(effect) => self.emit_queue_effect(effect, out),
                GatedEffect::Ledger(effect) => self.emit_ledger_effect(effect, out),
            }
        }
    }

    /// Called when all batches up to this one are stored: emits the effects that waited for them.
    pub(super) fn on_storage_synced(&mut self, batch: u64, out: &mut Vec<Effect>) {
        if let Some(persistence) = self.persistence.as_mut() {
            let released = persistence.on_stored(batch);
            self.emit_gated_effects(released, out);
        }
    }

    /// Called when the storage has failed: the gateway gives up its votes and continues to serve.
    pub(super) fn on_storage_failed(&mut self, out: &mut Vec<Effect>) {
        if !self.persistence.as_mut().is_some_and(|persistence| persistence.on_failed()) {
            return;
        }
        if let Some(ledger) = self.ledger.as_mut() {
            ledger.replica_mut().lose_storage();
        }
        let mut effects = Vec::new();
        if let Some(queue) = self.write_queue.as_mut() {
            queue.replica_mut().lose_storage(self.now, &mut effects);
        }
        out.push(Effect::Notify(ClusterNotice::StorageFailed));
        self.gate_queue_effects(effects, out);
    }

    /// Passes all pending changes to the storage in one batch.
    fn store_changes(&mut self, out: &mut Vec<Effect>) {
        let Some(persistence) = self.persistence.as_mut().filter(|persistence| persistence.is_working())
        else {
            return;
        };
        let mut writes = Vec::new();
        if let Some(queue) = self.write_queue.as_mut() {
            writes.extend(persistence.queue_changes(self.now, queue.replica_mut()));
        }
        if let Some(ledger) = self.ledger.as_mut() {
            writes.extend(persistence.ledger_changes(self.now, ledger.replica_mut()));
        }
        if let Some(state) = self.rollout.as_ref().and_then(|controller| controller.state()) {
            writes.extend(persistence.rollout_state_change(state));
        }
        if !writes.is_empty() {
            let batch = persistence.next_batch();
            out.push(Effect::PersistBatch { batch, writes });
        }
    }

    /// Called with the contents of the storage once it is open: restores the state of earlier processes.
    pub(super) fn on_storage_loaded(&mut self, stored: &[StorageWrite], out: &mut Vec<Effect>) {
        let now = self.now;
        let Some(OwnSeat { seat_list, seat }) = self.own_seat() else { return };
        let Some(persistence) = self.persistence.as_mut().filter(|persistence| persistence.is_opening())
        else {
            return;
        };
        let (restored, writes) = persistence.restore(now, seat_list, seat, stored);
        let batch = persistence.next_batch();
        out.push(Effect::PersistBatch { batch, writes });
        let notice = ClusterNotice::StorageLoaded {
            writes: restored.writes.len(),
            records: restored.records.len(),
            votes: (restored.writes_complete, restored.records_complete),
        };
        if let Some(queue) = self.write_queue.as_mut() {
            queue.replica_mut().restore(now, &restored.writes, restored.writes_complete);
        }
        if let Some(ledger) = self.ledger.as_mut() {
            ledger.replica_mut().restore(now, restored.records, restored.records_complete);
        }
        out.push(Effect::Notify(notice));
        self.restore_rollout(restored.rollout_state, out);
    }
}
