//! Counts the calls to the key-value service, because the platform limits their rate.

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
use cowslipchute_ports::kv::TxnOutcome;
use cowslipchute_ports::kv::Update;
use tokio::sync::mpsc;

/// Number of calls of each kind that the platform's limits distinguish.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Reads.
    pub reads: u64,
    /// Transactions.
    pub commits: u64,
    /// Grants, renewals and revocations of leases.
    pub leases: u64,
    /// Watches opened.
    pub watches: u64,
}

impl Count {
    /// Returns the number of calls that the platform counts as writes.
    pub fn writes(self) -> u64 {
        self.commits + self.leases
    }

    /// Returns the number of all calls.
    pub fn total(self) -> u64 {
        self.reads + self.writes() + self.watches
    }
}

/// Shared counters of a [`Counted`] store.
#[derive(Clone, Debug, Default)]
pub struct Counter {
    totals: Arc<Totals>,
}

#[derive(Debug, Default)]
struct Totals {
    reads: AtomicU64,
    commits: AtomicU64,
    leases: AtomicU64,
    watches: AtomicU64,
}

impl Counter {
    /// Returns the counts so far.
    pub fn count(&self) -> Count {
        Count {
            reads: self.totals.reads.load(Ordering::Relaxed),
            commits: self.totals.commits.load(Ordering::Relaxed),
            leases: self.totals.leases.load(Ordering::Relaxed),
            watches: self.totals.watches.load(Ordering::Relaxed),
        }
    }
}

/// A store that counts its calls when they are made, whatever their outcome.
#[derive(Clone, Debug)]
pub struct Counted<S> {
    store: S,
    counter: Counter,
}

/// Wraps a store so that its calls are counted.
pub fn open<S: Store>(store: S) -> Counted<S> {
    Counted { store, counter: Counter::default() }
}

impl<S> Counted<S> {
    /// Returns the counters.
    pub fn counter(&self) -> Counter {
        self.counter.clone()
    }
}

fn increment(total: &AtomicU64) {
    total.fetch_add(1, Ordering::Relaxed);
}

impl<S: Store> Store for Counted<S> {
    async fn read(&self, prefix: &str) -> Result<Snapshot, Error> {
        increment(&self.counter.totals.reads);
        self.store.read(prefix).await
    }

    async fn commit(&self, txn: Txn) -> Result<TxnOutcome, Error> {
        increment(&self.counter.totals.commits);
        self.store.commit(txn).await
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        increment(&self.counter.totals.leases);
        self.store.grant(ttl).await
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<Duration, Error> {
        increment(&self.counter.totals.leases);
        self.store.keep_alive(lease).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        increment(&self.counter.totals.leases);
        self.store.revoke(lease).await
    }

    async fn watch(&self, prefix: &str, after: Revision) -> Result<mpsc::Receiver<Update>, Error> {
        increment(&self.counter.totals.watches);
        self.store.watch(prefix, after).await
    }
}
