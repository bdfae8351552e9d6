//! What a keeper is told.

use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_ports::kv;
use cowslipchute_ports::list;

use crate::owner::Owner;

/// Number of one store call, rising within a keeper.
pub type Ticket = u64;
/// Number of one incoming peer call, chosen by the process.
pub type CallId = u64;

/// What a keeper is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The platform's list of this failure domain; an older version than the last is ignored.
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
        /// What was found.
        outcome: Result<kv::Snapshot, kv::Error>,
    },
    /// A `Commit` ended.
    Committed {
        /// The call.
        ticket: Ticket,
        /// The store's verdict.
        outcome: Result<kv::Verdict, kv::Error>,
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
        /// How long the lease lasts from the renewal on.
        outcome: Result<Duration, kv::Error>,
    },
    /// A later owner of a cell asks whether this process has stopped.
    StoppedQueried {
        /// The call, answered by exactly one `Answer`.
        call: CallId,
        /// The cell.
        cell: id::Cell,
        /// The epoch that the asker has taken.
        epoch: id::Epoch,
    },
    /// A former owner said that it has stopped.
    StopConfirmed {
        /// The cell.
        cell: id::Cell,
        /// The epoch for which it was asked.
        epoch: id::Epoch,
        /// The life that answered, as it named itself.
        owner: Owner,
    },
    /// A worker's report shows a higher epoch than ours.
    HigherEpoch {
        /// The cell.
        cell: id::Cell,
        /// The epoch seen.
        epoch: id::Epoch,
    },
    /// The process has stopped all it did for a cell, sending included.
    Quiesced {
        /// The cell.
        cell: id::Cell,
        /// The epoch under which it did it.
        epoch: id::Epoch,
    },
    /// The process is asked to stop: give up every cell.
    Drain,
}
