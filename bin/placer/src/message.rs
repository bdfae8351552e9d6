//! Messages between the event loops.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_cell::event::Sequence;
use cowslipchute_ports::kv;
use cowslipchute_ports::list;
use cowslipchute_ports::peer;
use cowslipchute_ports::worker;
use cowslipchute_tenure::event::CallId;
use cowslipchute_tenure::event::Event;
use cowslipchute_tenure::event::Ticket;
use cowslipchute_tenure::owner::Owner;

use crate::records;

/// One period of ownership of a cell. Messages of an earlier period are never attributed to a later
/// one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Term {
    /// The cell.
    pub cell: id::Cell,
    /// Epoch of the ownership.
    pub epoch: id::Epoch,
}

/// Permission to send on behalf of a term; shared between the event loops that decide and send.
#[derive(Clone, Debug)]
pub struct Permit {
    valid: Arc<AtomicBool>,
}

impl Permit {
    /// Allows sending.
    pub fn open() -> Permit {
        Permit { valid: Arc::new(AtomicBool::new(true)) }
    }

    /// Forbids sending permanently.
    pub fn withdraw(&self) {
        self.valid.store(false, Ordering::Release);
    }

    /// Returns `true` if sending is allowed.
    pub fn is_valid(&self) -> bool {
        self.valid.load(Ordering::Acquire)
    }
}

/// From `decide` to `workers`: a request to perform one exchange.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Term on whose behalf the request is sent.
    pub term: Term,
    /// Permission, checked right before the send.
    pub permit: Permit,
    /// Number of the exchange.
    pub sequence: Sequence,
    /// The worker.
    pub worker: id::Instance,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Content to send.
    pub exchange: worker::Exchange,
}

/// From `workers` to `decide`: the result of an exchange.
#[derive(Clone, Debug)]
pub struct Completion {
    /// Term on whose behalf the request was sent.
    pub term: Term,
    /// Number of the exchange.
    pub sequence: Sequence,
    /// The worker.
    pub worker: id::Instance,
    /// Result of the exchange.
    pub outcome: Result<worker::Report, worker::Error>,
    /// Duration of the exchange.
    pub took: Duration,
}

/// From `decide` to `store`.
#[derive(Clone, Debug)]
pub enum Request {
    /// Read the domain's ownership keys.
    ReadDomain {
        /// Number assigned by the ownership manager.
        ticket: Ticket,
    },
    /// Commit a transaction of the ownership manager.
    Commit {
        /// Number assigned by the ownership manager.
        ticket: Ticket,
        /// The transaction.
        txn: kv::Txn,
    },
    /// Grant a lease.
    Grant {
        /// Number assigned by the ownership manager.
        ticket: Ticket,
        /// Time to live of the lease.
        ttl: Duration,
    },
    /// Renew a lease.
    Renew {
        /// Number assigned by the ownership manager.
        ticket: Ticket,
        /// The lease.
        lease: kv::LeaseId,
    },
    /// Revoke a lease.
    Revoke {
        /// The lease.
        lease: kv::LeaseId,
    },
    /// Read the records of a newly acquired cell.
    Load {
        /// Term that the records are read for.
        term: Term,
    },
    /// Write a batch of records.
    Write {
        /// Term that writes the batch.
        term: Term,
        /// The batch.
        batch: records::Batch,
    },
    /// Claim homes for jobs.
    Claim {
        /// The transaction.
        txn: kv::Txn,
    },
    /// List the cells of the whole deployment.
    Cells,
}

/// From `store` to `decide`.
#[derive(Clone, Debug)]
pub enum Answer {
    /// Response to a request of the ownership manager.
    Ownership(Event),
    /// Result of a lease revocation, which may have failed.
    Revoked,
    /// The records of a cell.
    Loaded {
        /// Term that the records were read for.
        term: Term,
        /// The records.
        outcome: Result<records::Loaded, kv::Error>,
    },
    /// Result of writing a batch of records.
    Written {
        /// Term that wrote the batch.
        term: Term,
        /// Number of the batch.
        number: u64,
        /// Result of the write.
        written: records::Written,
    },
    /// Result of a claim of homes.
    Claimed {
        /// Transaction that was requested.
        txn: kv::Txn,
        /// Result of the transaction.
        outcome: Result<kv::TxnOutcome, kv::Error>,
    },
    /// The cells of the whole deployment.
    Cells {
        /// Names of the cells.
        outcome: Result<Vec<id::Cell>, kv::Error>,
    },
}

/// One update while following a prefix of the store.
#[derive(Clone, Debug)]
pub enum Step {
    /// Everything below the prefix, as of one revision.
    Snapshot {
        /// The entries.
        snapshot: kv::Snapshot,
    },
    /// A key was written.
    Put {
        /// The entry.
        entry: kv::Entry,
    },
    /// A key was removed.
    Deleted {
        /// Full name of the key.
        key: String,
        /// Revision of the removal.
        revision: id::Revision,
    },
}

/// From `watch` to `decide`.
#[derive(Clone, Debug)]
pub enum Observation {
    /// The platform's list of instances.
    Listed(list::View),
    /// The list could not be read.
    ListFailed(String),
    /// A change to the domain's cells.
    Changed,
    /// A change to the homes of jobs.
    Homes(Step),
}

/// From `link` to `decide`.
#[derive(Clone, Debug)]
pub enum Inbound {
    /// Another placer asks whether this one has stopped owning a cell.
    Release {
        /// Number of the call, used to answer it.
        call: CallId,
        /// The cell.
        cell: id::Cell,
        /// Epoch of the caller.
        epoch: id::Epoch,
    },
    /// A previous owner has stopped.
    Released {
        /// The cell.
        cell: id::Cell,
        /// Epoch of this placer.
        epoch: id::Epoch,
        /// Instance that answered.
        owner: Owner,
    },
}

/// From `decide` to `link`.
#[derive(Clone, Debug)]
pub enum Outbound {
    /// Ask a previous owner whether it has stopped.
    Query {
        /// The cell.
        cell: id::Cell,
        /// Epoch of this placer.
        epoch: id::Epoch,
        /// Previous owner to ask.
        owner: Owner,
    },
    /// Answer an incoming call.
    Reply {
        /// The call.
        call: CallId,
        /// The answer.
        reply: peer::Reply,
    },
}
