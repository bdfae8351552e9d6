//! Memory for the bodies of requests in progress.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Bytes of each body that aren't charged: bodies up to this size are received while large ones are
/// refused. Their sum is bounded by the number of connections.
pub const FREE_BYTES: usize = 16 << 10;

/// The budget is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exhausted;

/// Memory for all bodies together.
#[derive(Clone, Debug)]
pub struct Budget {
    limit: usize,
    used: Arc<AtomicUsize>,
}

impl Budget {
    /// Opens a budget of this many bytes.
    pub fn open(limit: usize) -> Budget {
        Budget { limit, used: Arc::default() }
    }

    /// Returns the number of bytes that are charged.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Opens the charge of one body, which is returned when it is dropped.
    pub fn charge(&self) -> Charge {
        Charge { budget: self.clone(), charged: 0 }
    }

    fn try_add(&self, bytes: usize) -> Result<(), Exhausted> {
        let add = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= self.limit);
        let added = self.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        added.map(drop).map_err(|_| Exhausted)
    }
}

/// What one body has taken of the budget.
#[derive(Debug)]
pub struct Charge {
    budget: Budget,
    charged: usize,
}

impl Charge {
    /// Charges a body that takes this many bytes of memory from now on; it never takes fewer.
    ///
    /// # Errors
    ///
    /// Fails if the budget is used up; the body is then to be refused.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), Exhausted> {
        let due = bytes.saturating_sub(FREE_BYTES);
        let more = due.saturating_sub(self.charged);
        self.budget.try_add(more)?;
        self.charged += more;
        Ok(())
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.charged, Ordering::Relaxed);
    }
}
