//! Memory for the bodies of requests in progress.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Bytes of each body that aren't charged: bodies up to this size are received while large ones are
/// refused. Their sum is bounded by the number of connections.
pub const FREE_BYTES: usize = 16 << 10;

/// Capacity of a buffer when the first bytes arrive.
const INITIAL_BYTES: usize = 4 << 10;

/// The budget is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exhausted;

/// Reason for which a body isn't received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It is larger than allowed.
    TooLarge,
    /// The budget is used up.
    Exhausted,
}

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

/// One body, received into one buffer that is charged as it grows. A list of its chunks would hold
/// the connection's read buffer once for each of them.
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    limit: usize,
    charge: Charge,
}

impl Buffer {
    /// Opens a buffer for a body of at most `limit` bytes.
    pub fn open(budget: &Budget, limit: usize) -> Buffer {
        Buffer { bytes: Vec::new(), limit, charge: budget.charge() }
    }

    /// Appends bytes that have arrived.
    ///
    /// # Errors
    ///
    /// Fails if the body becomes larger than allowed, or the budget is used up.
    pub fn push(&mut self, data: &[u8]) -> Result<(), Refusal> {
        let size = self.bytes.len() + data.len();
        if size > self.limit {
            return Err(Refusal::TooLarge);
        }
        if size > self.bytes.capacity() {
            let doubled = (self.bytes.capacity() * 2).max(INITIAL_BYTES).min(self.limit);
            let capacity = size.max(doubled);
            self.charge.grow_to(capacity).map_err(|_| Refusal::Exhausted)?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Returns the body, and its charge, to be kept for as long as the body or what was made of it.
    pub fn finish(self) -> (Vec<u8>, Charge) {
        (self.bytes, self.charge)
    }
}
