//! Counts the calls that go to the key-value service, since the platform counts and limits them.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cowslipchute_base::id::Revision;
use cowslipchute_ports::kv::Error;
use cowslipchute_ports::kv::LeaseId;
use cowslipchute_ports::kv::Snapshot;
use cowslipchute_ports::kv::Store;
use cowslipchute_ports::kv::Txn;
use cowslipchute_ports::kv::Update;
use cowslipchute_ports::kv::Verdict;
use tokio::sync::mpsc;

/// How many calls were made, by what the platform's limits tell apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Reads.
    pub reads: u64,
    /// Transactions.
    pub commits: u64,
    /// Grants, renewals and ends of leases.
    pub leases: u64,
    /// Watches opened.
    pub watches: u64,
}

impl Count {
    /// Returns the calls that the platform counts as writes.
    pub fn writes(self) -> u64 {
        self.commits + self.leases
    }

    /// Returns all calls.
    pub fn total(self) -> u64 {
        self.reads + self.writes() + self.watches
    }
}

/// The counters behind a [`Counted`] store, shared with whoever reports them.
#[derive(Clone, Debug, Default)]
pub struct Counter {
    cells: Arc<Cells>,
}

#[derive(Debug, Default)]
struct Cells {
    reads: AtomicU64,
    commits: AtomicU64,
    leases: AtomicU64,
    watches: AtomicU64,
}

impl Counter {
    /// Returns the counts so far.
    pub fn count(&self) -> Count {
        Count {
            reads: self.cells.reads.load(Ordering::Relaxed),
            commits: self.cells.commits.load(Ordering::Relaxed),
            leases: self.cells.leases.load(Ordering::Relaxed),
            watches: self.cells.watches.load(Ordering::Relaxed),
        }
    }
}

/// A store whose calls are counted when they are made, whatever becomes of them.
#[derive(Clone, Debug)]
pub struct Counted<S> {
    store: S,
    counter: Counter,
}

/// Opens a counted view of a store.
pub fn open<S: Store>(store: S) -> Counted<S> {
    Counted { store, counter: Counter::default() }
}

impl<S> Counted<S> {
    /// Returns the counters.
    pub fn counter(&self) -> Counter {
        self.counter.clone()
    }
}

fn add(cell: &AtomicU64) {
    cell.fetch_add(1, Ordering::Relaxed);
}

impl<S: Store> Store for Counted<S> {
    async fn read(&self, prefix: &str) -> Result<Snapshot, Error> {
        add(&self.counter.cells.reads);
        self.store.read(prefix).await
    }

    async fn commit(&self, txn: Txn) -> Result<Verdict, Error> {
        add(&self.counter.cells.commits);
        self.store.commit(txn).await
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        add(&self.counter.cells.leases);
        self.store.grant(ttl).await
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<Duration, Error> {
        add(&self.counter.cells.leases);
        self.store.keep_alive(lease).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        add(&self.counter.cells.leases);
        self.store.revoke(lease).await
    }

    async fn watch(&self, prefix: &str, after: Revision) -> Result<mpsc::Receiver<Update>, Error> {
        add(&self.counter.cells.watches);
        self.store.watch(prefix, after).await
    }
}
