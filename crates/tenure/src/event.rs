//! Events handled by an ownership manager.

use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_ports::kv;
use cowslipchute_ports::list;

use crate::owner::Owner;

/// Identifier of a store call, increasing within one manager.
pub type Ticket = u64;
/// Identifier of an incoming peer call, chosen by the process.
pub type CallId = u64;

/// An event handled by an ownership manager.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A new version of the platform's list of this failure domain; older versions are ignored.
    Listed {
        /// The list.
        view: list::View,
    },
    /// Something below the domain's prefix may have changed.
    Changed,
    /// A `ReadDomain` ended.
    DomainRead {
        /// The call.
        ticket: Ticket,
        /// The entries below the domain's prefix.
        outcome: Result<kv::Snapshot, kv::Error>,
    },
    /// A `Commit` ended.
    Committed {
        /// The call.
        ticket: Ticket,
        /// The outcome of the transaction.
        outcome: Result<kv::TxnOutcome, kv::Error>,
    },
    /// A `Grant` ended.
    Granted {
        /// The call.
        ticket: Ticket,
        /// The lease.
        outcome: Result<kv::LeaseId, kv::Error>,
    },
    /// A `Renew` ended.
    Renewed {
        /// The call.
        ticket: Ticket,
        /// The duration of the lease from its renewal.
        outcome: Result<Duration, kv::Error>,
    },
    /// A later owner of a cell asks whether this process has stopped the cell.
    StoppedQueried {
        /// The call, answered by exactly one `Answer`.
        call: CallId,
        /// The cell.
        cell: id::Cell,
        /// The epoch of the later owner.
        epoch: id::Epoch,
    },
    /// A previous owner confirmed that it has stopped a cell.
    StopConfirmed {
        /// The cell.
        cell: id::Cell,
        /// The epoch under which the query was sent.
        epoch: id::Epoch,
        /// The incarnation that answered, as it identified itself.
        owner: Owner,
    },
    /// A worker's report shows a higher epoch than this placer's.
    HigherEpoch {
        /// The cell.
        cell: id::Cell,
        /// The epoch in the report.
        epoch: id::Epoch,
    },
    /// The process has stopped a cell, and none of its requests is in flight.
    Quiesced {
        /// The cell.
        cell: id::Cell,
        /// The epoch under which the cell was run.
        epoch: id::Epoch,
    },
    /// The process was asked to stop: release all cells.
    Drain,
}
