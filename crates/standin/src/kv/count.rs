//! Counts of calls to the store.

use std::sync::atomic::AtomicI64;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use serde::Deserialize;
use serde::Serialize;

use crate::kv::rate::Rate;
use crate::plan::Limits;

/// The number of calls to the store, by the kinds that the platform counts separately.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Count {
    /// Reads.
    pub reads: u64,
    /// Transactions.
    pub commits: u64,
    /// Grants, renewals and revocations of leases.
    pub leases: u64,
    /// Watches opened.
    pub watches: u64,
    /// Watches open now.
    pub watches_waiting: i64,
    /// Highest number of reads in one second.
    pub peak_reads: u64,
    /// Highest number of transactions and lease calls in one second.
    pub peak_writes: u64,
    /// Calls refused or broken off by a fault before any effect.
    pub refused: u64,
    /// Responses lost after the call took effect.
    pub lost: u64,
}

/// The live counters behind a [`Count`].
#[derive(Debug)]
pub struct Counts {
    /// Reads.
    pub reads: AtomicU64,
    /// Transactions.
    pub commits: AtomicU64,
    /// Grants, renewals and revocations of leases.
    pub leases: AtomicU64,
    /// Watches opened.
    pub watches: AtomicU64,
    /// Watches open now.
    pub watches_waiting: AtomicI64,
    /// The rate of reads.
    pub read_rate: Rate,
    /// The rate of transactions and lease calls.
    pub write_rate: Rate,
    /// Calls refused or broken off by a fault.
    pub refused: AtomicU64,
    /// Responses lost after the call took effect.
    pub lost: AtomicU64,
}

impl Counts {
    /// Opens counters that admit calls within limits.
    pub fn open(limits: Limits) -> Counts {
        Counts {
            reads: AtomicU64::new(0),
            commits: AtomicU64::new(0),
            leases: AtomicU64::new(0),
            watches: AtomicU64::new(0),
            watches_waiting: AtomicI64::new(0),
            read_rate: Rate::open(limits.reads),
            write_rate: Rate::open(limits.writes),
            refused: AtomicU64::new(0),
            lost: AtomicU64::new(0),
        }
    }

    /// Returns the current counts.
    pub fn count(&self) -> Count {
        Count {
            reads: self.reads.load(Ordering::Relaxed),
            commits: self.commits.load(Ordering::Relaxed),
            leases: self.leases.load(Ordering::Relaxed),
            watches: self.watches.load(Ordering::Relaxed),
            watches_waiting: self.watches_waiting.load(Ordering::Relaxed),
            peak_reads: self.read_rate.peak(),
            peak_writes: self.write_rate.peak(),
            refused: self.refused.load(Ordering::Relaxed),
            lost: self.lost.load(Ordering::Relaxed),
        }
    }
}
