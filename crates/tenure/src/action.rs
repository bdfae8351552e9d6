//! Actions requested by an ownership manager.

use std::time::Duration;

use cowslipchute_base::event::Event;
use cowslipchute_base::id;
use cowslipchute_cell::event::Former;
use cowslipchute_ports::kv;
use cowslipchute_ports::peer;

use crate::event::CallId;
use crate::event::Ticket;
use crate::owner::Owner;

/// An action requested by an ownership manager.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read all keys below the domain's prefix.
    ReadDomain {
        /// Identifier of the call.
        ticket: Ticket,
    },
    /// Commit a transaction.
    Commit {
        /// Identifier of the call.
        ticket: Ticket,
        /// The transaction.
        txn: kv::Txn,
    },
    /// Grant a lease.
    Grant {
        /// Identifier of the call.
        ticket: Ticket,
        /// The duration of the lease.
        ttl: Duration,
    },
    /// Renew a lease.
    Renew {
        /// Identifier of the call.
        ticket: Ticket,
        /// The lease.
        lease: kv::LeaseId,
    },
    /// Revoke a lease; the outcome is not reported back.
    Revoke {
        /// The lease.
        lease: kv::LeaseId,
    },
    /// Start running this cell: read its records, then send the cell `OwnershipAcquired`.
    Own {
        /// The cell.
        cell: id::Cell,
        /// The epoch.
        epoch: id::Epoch,
        /// Revision of the cell's key, which guards every record written for the cell.
        revision: id::Revision,
        /// What is known about whether the previous owners have stopped.
        former: Former,
    },
    /// Tell the cell that all its previous owners have stopped or ended.
    PreviousOwners {
        /// The cell.
        cell: id::Cell,
        /// How the previous owners stopped.
        former: Former,
    },
    /// Finish the work in progress for a cell, write its last records, stop the cell, then report
    /// `Quiesced`.
    Quiesce {
        /// The cell.
        cell: id::Cell,
        /// The epoch.
        epoch: id::Epoch,
    },
    /// Stop a cell immediately, then report `Quiesced` once none of its requests is in flight.
    Stop {
        /// The cell.
        cell: id::Cell,
        /// The epoch whose ownership was lost.
        epoch: id::Epoch,
    },
    /// Ask a previous owner over the peer connection whether it has stopped.
    QueryStopped {
        /// The cell.
        cell: id::Cell,
        /// This placer's epoch.
        epoch: id::Epoch,
        /// The previous owner; an answer of another incarnation of the instance doesn't count.
        owner: Owner,
    },
    /// Answer an incoming call.
    Answer {
        /// The call.
        call: CallId,
        /// The answer.
        reply: peer::Reply,
    },
    /// Write a log event.
    Note {
        /// The event.
        event: Event,
        /// The cell or instance that the event is about.
        subject: id::Instance,
        /// The reason, in plain text.
        reason: String,
    },
    /// Report that all cells are released and the lease is revoked; the process may exit.
    Drained,
}
