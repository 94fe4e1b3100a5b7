//! Permits for connections and memory, and how two processes of one gateway share them.

use std::cell::Cell;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// While another process has permits, this one keeps at least one of so many.
const MIN_KEPT_DIVISOR: usize = 8;

/// A fixed number of permits, some of which may be the other process's.
pub struct Permits {
    available: Arc<Semaphore>,
    total: usize,
    /// The other process's.
    reserved: Cell<usize>,
}

impl Permits {
    /// So many permits, all available.
    pub fn new(total: usize) -> Permits {
        Permits { available: Arc::new(Semaphore::new(total)), total, reserved: Cell::new(0) }
    }

    /// How many there are, the other process's included.
    pub fn total(&self) -> usize {
        self.total
    }

    /// How many this process may still take.
    pub fn available(&self) -> usize {
        self.available.available_permits()
    }

    /// How many this process has taken.
    pub fn in_use(&self) -> usize {
        self.total.saturating_sub(self.reserved.get() + self.available())
    }

    /// A permit, if one is available.
    pub fn try_acquire(&self) -> Option<OwnedSemaphorePermit> {
        self.try_acquire_many(1)
    }

    /// So many permits, if they are available.
    pub fn try_acquire_many(&self, permits: usize) -> Option<OwnedSemaphorePermit> {
        let permits = u32::try_from(permits).ok()?;
        self.available.clone().try_acquire_many_owned(permits).ok()
    }

    /// A permit, once one is available.
    pub async fn acquire(&self) -> OwnedSemaphorePermit {
        match self.available.clone().acquire_owned().await {
            Ok(permit) => permit,
            // The semaphore is never closed.
            Err(_) => std::future::pending().await,
        }
    }

    /// So many permits are the other process's from now on, as far as they are available here and an eighth stays.
    pub fn reserve_for_other_process(&self, permits: usize) {
        let permits = permits.min(self.total - self.total.div_ceil(MIN_KEPT_DIVISOR));
        let reserved = self.reserved.get();
        if permits > reserved {
            self.reserved.set(reserved + self.available.forget_permits(permits - reserved));
        } else {
            self.available.add_permits(reserved - permits);
            self.reserved.set(permits);
        }
    }

    /// Returns when this process has taken none.
    pub async fn wait_until_unused(&self) {
        let own = u32::try_from(self.total - self.reserved.get()).unwrap_or(u32::MAX);
        // The semaphore is never closed.
        drop(self.available.acquire_many(own).await);
    }
}

#[cfg(test)]
mod tests;
