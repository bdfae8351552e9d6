//! A server's slots with a bounded queue in front of them.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;

/// Slots with a bounded queue.
#[derive(Debug)]
pub struct Slots {
    free: Semaphore,
    waiting: AtomicUsize,
    queue: usize,
}

/// Counts a request as waiting until it is dropped, also if its caller gives up.
struct Waiting<'a>(&'a AtomicUsize);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Slots {
    /// Opens `slots` slots with a queue of `queue` places.
    pub fn open(slots: usize, queue: usize) -> Slots {
        Slots { free: Semaphore::new(slots), waiting: AtomicUsize::new(0), queue }
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Acquire)
    }

    /// Takes a slot, after waiting if none is free. Returns `None` if the queue is full.
    pub async fn take(&self) -> Option<SemaphorePermit<'_>> {
        if let Ok(permit) = self.free.try_acquire() {
            return Some(permit);
        }
        if self.waiting.fetch_add(1, Ordering::AcqRel) >= self.queue {
            self.waiting.fetch_sub(1, Ordering::AcqRel);
            return None;
        }
        let _waiting = Waiting(&self.waiting);
        self.free.acquire().await.ok()
    }
}
