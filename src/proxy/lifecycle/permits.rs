//! Permits for connections and memory, shared between two processes of one gateway.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::sleep;

/// While permits are reserved for another process, this process keeps at least `1 / MIN_KEPT_DIVISOR` of the total.
pub const MIN_KEPT_DIVISOR: usize = 8;

/// How often it is checked whether all permits are unused.
const UNUSED_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Fixed number of permits, some of which may be reserved for the other process.
pub struct Permits {
    available: Arc<Semaphore>,
    total: usize,
    /// Number of permits reserved for the other process.
    reserved: Cell<usize>,
}

impl Permits {
    /// Creates `total` permits, all of them available.
    pub fn new(total: usize) -> Permits {
        Permits { available: Arc::new(Semaphore::new(total)), total, reserved: Cell::new(0) }
    }

    /// Number of permits, including those reserved for the other process.
    pub fn total(&self) -> usize {
        self.total
    }

    /// Number of permits that this process may still acquire.
    pub fn available(&self) -> usize {
        self.available.available_permits()
    }

    /// Number of permits that this process has acquired.
    pub fn in_use(&self) -> usize {
        self.total.saturating_sub(self.reserved.get() + self.available())
    }

    /// Acquires a permit if one is available.
    pub fn try_acquire(&self) -> Option<OwnedSemaphorePermit> {
        self.try_acquire_many(1)
    }

    /// Acquires the given number of permits if all are available.
    pub fn try_acquire_many(&self, permits: usize) -> Option<OwnedSemaphorePermit> {
        let permits = u32::try_from(permits).ok()?;
        self.available.clone().try_acquire_many_owned(permits).ok()
    }

    /// Acquires a permit, waiting until one is available.
    pub async fn acquire(&self) -> OwnedSemaphorePermit {
        match self.available.clone().acquire_owned().await {
            Ok(permit) => permit,
            // The semaphore is never closed.
            Err(_) => std::future::pending().await,
        }
    }

    /// Sets the number of permits reserved for the other process. Only available permits are reserved, and this
    /// process keeps at least an eighth of the total.
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

    /// Returns once this process holds no permit.
    pub async fn wait_until_unused(&self) {
        // A waiter for all permits would take those that become available, so that all would count as in use.
        while self.in_use() > 0 {
            sleep(UNUSED_CHECK_INTERVAL).await;
        }
    }
}

#[cfg(test)]
mod tests;
