//! Places of one kind that a process may fill, and its share of them while two processes form the gateway.

use std::cell::Cell;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// So many places, some of them perhaps another process's.
pub struct Permits {
    free: Arc<Semaphore>,
    all: usize,
    elsewhere: Cell<usize>,
}

impl Permits {
    /// All places, none taken.
    pub fn new(all: usize) -> Permits {
        Permits { free: Arc::new(Semaphore::new(all)), all, elsewhere: Cell::new(0) }
    }

    /// How many there are, the other process's included.
    pub fn total(&self) -> usize {
        self.all
    }

    /// How many are free here.
    pub fn available(&self) -> usize {
        self.free.available_permits()
    }

    /// How many are taken here.
    pub fn in_use(&self) -> usize {
        self.all.saturating_sub(self.elsewhere.get() + self.available())
    }

    /// A place, if one is free.
    pub fn try_acquire(&self) -> Option<OwnedSemaphorePermit> {
        self.try_acquire_many(1)
    }

    /// So many places, if they are free.
    pub fn try_acquire_many(&self, places: usize) -> Option<OwnedSemaphorePermit> {
        self.free.clone().try_acquire_many_owned(u32::try_from(places).ok()?).ok()
    }

    /// A place, once one is free.
    pub async fn acquire(&self) -> OwnedSemaphorePermit {
        match self.free.clone().acquire_owned().await {
            Ok(place) => place,
            // The semaphore is never closed.
            Err(_) => std::future::pending().await,
        }
    }

    /// So many are the other process's, as far as they are free here and an eighth stays.
    pub fn reserve_for_other_process(&self, elsewhere: usize) {
        let elsewhere = elsewhere.min(self.all - self.all.div_ceil(8));
        let left = self.elsewhere.get();
        if elsewhere > left {
            self.elsewhere.set(left + self.free.forget_permits(elsewhere - left));
        } else {
            self.free.add_permits(left - elsewhere);
            self.elsewhere.set(elsewhere);
        }
    }

    /// Returns when none is taken here.
    pub async fn wait_until_unused(&self) {
        let all = u32::try_from(self.all - self.elsewhere.get()).unwrap_or(u32::MAX);
        // The semaphore is never closed.
        drop(self.free.acquire_many(all).await);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_left_to_another_process_comes_back() {
        let share = Permits::new(8);
        let held = share.try_acquire();
        share.reserve_for_other_process(4);
        assert_eq!((share.available(), share.in_use()), (3, 1));
        share.reserve_for_other_process(100);
        assert_eq!((share.available(), share.in_use()), (0, 1), "one of eight stays, and it is taken");
        drop(held);
        assert_eq!((share.available(), share.in_use()), (1, 0));
        share.reserve_for_other_process(0);
        assert_eq!((share.available(), share.in_use()), (8, 0));
    }
}
