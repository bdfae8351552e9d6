//! What a keeper wants done.

use std::time::Duration;

use cowslipchute_base::event::Event;
use cowslipchute_base::id;
use cowslipchute_cell::event::Former;
use cowslipchute_ports::kv;
use cowslipchute_ports::peer;

use crate::event::CallId;
use crate::event::Ticket;
use crate::owner::Owner;

/// What a keeper wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the domain's whole prefix.
    ReadDomain {
        /// Number of the call.
        ticket: Ticket,
    },
    /// Decide a transaction.
    Commit {
        /// Number of the call.
        ticket: Ticket,
        /// The transaction.
        txn: kv::Txn,
    },
    /// Grant a lease.
    Grant {
        /// Number of the call.
        ticket: Ticket,
        /// How long it lasts.
        ttl: Duration,
    },
    /// Renew a lease.
    Renew {
        /// Number of the call.
        ticket: Ticket,
        /// The lease.
        lease: kv::LeaseId,
    },
    /// End a lease; nothing is told about the outcome.
    Revoke {
        /// The lease.
        lease: kv::LeaseId,
    },
    /// Run this cell from now on: read its records, then tell the cell `OwnershipAcquired`.
    Own {
        /// The cell.
        cell: id::Cell,
        /// The epoch.
        epoch: id::Epoch,
        /// Revision of the cell's key, which guards every record written for it.
        revision: id::Revision,
        /// How the former owners ended, as far as is known.
        former: Former,
    },
    /// Tell the cell how its former owners ended.
    PreviousOwners {
        /// The cell.
        cell: id::Cell,
        /// How.
        former: Former,
    },
    /// Finish what is in progress for a cell, write its last records, stop, then say `Quiesced`.
    Quiesce {
        /// The cell.
        cell: id::Cell,
        /// The epoch.
        epoch: id::Epoch,
    },
    /// Stop all that is done for a cell now, then say `Quiesced` once nothing of it is on its way.
    Stop {
        /// The cell.
        cell: id::Cell,
        /// The epoch that is lost.
        epoch: id::Epoch,
    },
    /// Ask a former owner over the peer link whether it has stopped.
    QueryStopped {
        /// The cell.
        cell: id::Cell,
        /// Our epoch.
        epoch: id::Epoch,
        /// Whom; an answer of another life of the instance is none.
        owner: Owner,
    },
    /// Answer an incoming call.
    Answer {
        /// The call.
        call: CallId,
        /// The answer.
        reply: peer::Reply,
    },
    /// Tell operators.
    Note {
        /// The event.
        event: Event,
        /// The cell or instance it is about.
        subject: id::Instance,
        /// Why, for a reader.
        reason: String,
    },
    /// Every cell is given up and the lease ended; the process may stop.
    Drained,
}
