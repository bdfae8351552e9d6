//! Port to the platform's key-value service: compare-and-swap, leases and watches.
//!
//! The platform limits the number of calls, and a waiting watch counts as one, so callers batch
//! writes and share watches (`docs/CAPACITY.md` has the budget). The store assigns revisions, which
//! increase with each change and never repeat.

use std::future::Future;
use std::time::Duration;

use cowslipchute_base::id::Revision;
use thiserror::Error;
use tokio::sync::mpsc;

/// Id of a lease, assigned by the store.
pub type LeaseId = i64;

/// Error of a store call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum Error {
    /// The call certainly changed nothing: it was never sent, or the store refused it.
    #[error("the store is unavailable: {0}")]
    Unavailable(String),
    /// The call may have taken effect; the writer must determine that by a read.
    #[error("the store's answer was lost: {0}")]
    Unknown(String),
    /// The revision to watch from has been compacted; read again and watch from the new revision.
    #[error("revision {0} is no longer kept")]
    Compacted(Revision),
    /// The lease has expired or was revoked.
    #[error("the lease has lapsed")]
    LeaseExpired,
    /// The store refuses the call itself, for instance since a value is too large. It changed
    /// nothing, and would refuse the same call again.
    #[error("the store refuses the call: {0}")]
    Refused(String),
    /// The store's answer violates its protocol.
    #[error("the store's answer can't be read: {0}")]
    Protocol(String),
}

/// Key and value as stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Complete key.
    pub key: String,
    /// Value of at most one megabyte.
    pub value: Vec<u8>,
    /// Revision of the last change to this key.
    pub revision: Revision,
    /// Lease to which the key is bound, or zero.
    pub lease: LeaseId,
}

/// Result of a read at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Revision of the store at the time of the read.
    pub revision: Revision,
    /// Entries in ascending order of their keys.
    pub entries: Vec<Entry>,
}

/// Condition under which a transaction is applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// The key doesn't exist.
    Missing(String),
    /// The key exists and was last changed at this revision.
    Unchanged(String, Revision),
    /// The key exists, whatever its revision.
    Present(String),
}

/// Change made by a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Writes the value, bound to the lease if it is not zero.
    Put {
        /// Complete key.
        key: String,
        /// Value of at most one megabyte.
        value: Vec<u8>,
        /// Lease to which the key is bound, or zero.
        lease: LeaseId,
    },
    /// Removes the key.
    Delete {
        /// Complete key.
        key: String,
    },
}

/// Transaction that makes all of its changes if all preconditions hold, and none otherwise.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// Conditions that must all hold.
    pub preconditions: Vec<Precondition>,
    /// Changes made together in one revision.
    pub changes: Vec<Change>,
}

/// Outcome of a transaction that the store has decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TxnOutcome {
    /// Whether the preconditions held and the changes were made.
    pub applied: bool,
    /// Revision of the store after the transaction.
    pub revision: Revision,
    /// Current entries of the keys in the preconditions if the transaction was not applied, without missing keys.
    pub current: Vec<Entry>,
}

/// Message from a watch of a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// A key was written.
    Put(Entry),
    /// A key was removed at this revision.
    Deleted {
        /// Complete key.
        key: String,
        /// Revision of the removal.
        revision: Revision,
    },
    /// All changes up to this revision were delivered; the watch is alive.
    Progress(Revision),
    /// The watch has ended; no further updates follow.
    Ended(Error),
}

/// The key-value service.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads every key that starts with `prefix`; a complete key as the prefix matches itself and longer keys.
    ///
    /// # Errors
    ///
    /// Returns any [`enum@Error`] except `Unknown`, since a read changes nothing.
    fn read(&self, prefix: &str) -> impl Future<Output = Result<Snapshot, Error>> + Send;

    /// Commits a transaction. The adapter never sends it twice.
    ///
    /// # Errors
    ///
    /// Returns `Unknown` if the transaction may have been applied.
    fn commit(&self, txn: Txn) -> impl Future<Output = Result<TxnOutcome, Error>> + Send;

    /// Grants a lease that expires unless it is renewed.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId, Error>> + Send;

    /// Renews a lease for its full time to live, which it returns.
    ///
    /// # Errors
    ///
    /// Fails if the lease has expired.
    fn keep_alive(&self, lease: LeaseId) -> impl Future<Output = Result<Duration, Error>> + Send;

    /// Revokes a lease and removes the keys bound to it.
    fn revoke(&self, lease: LeaseId) -> impl Future<Output = Result<(), Error>> + Send;

    /// Watches a prefix for changes after a revision until the receiver is dropped or the watch
    /// ends. Updates arrive in ascending order of their revisions.
    ///
    /// # Errors
    ///
    /// Returns `Compacted` if the store no longer keeps the revision.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
    ) -> impl Future<Output = Result<mpsc::Receiver<Update>, Error>> + Send;
}
